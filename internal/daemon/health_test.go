package daemon

import (
	"testing"

	"github.com/shoenig/test/must"

	"guavaloom.example/guavaloom/internal/service"
	"guavaloom.example/guavaloom/internal/zone"
)

// Guards against a zone table that grows with the services of other zones, and
// against one that loses a service to which pins still refer.
func TestServicesOfOtherZonesStayOut(t *testing.T) {
	held := &zone.Table{Services: []zone.ServiceTable{{Service: service.Service{ID: "held"}}}}
	desired := func(id service.ID, kind service.Kind, targets int) zone.DesiredService {
		return zone.DesiredService{Service: service.Service{ID: id, Kind: kind}, Targets: make([]zone.DesiredTarget, targets)}
	}
	must.True(t, isRemoteFlowService(desired("far", service.Flow, 0), held))
	must.True(t, isRemoteFlowService(desired("far", service.Flow, 0), nil))
	must.False(t, isRemoteFlowService(desired("near", service.Flow, 1), held))
	must.False(t, isRemoteFlowService(desired("held", service.Flow, 0), held))
	must.False(t, isRemoteFlowService(desired("spills", service.Request, 0), held))
}
