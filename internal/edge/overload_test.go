package edge

import (
	"bytes"
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"guavaloom.example/guavaloom/internal/forwarding"
	"guavaloom.example/guavaloom/internal/logfield"
	"guavaloom.example/guavaloom/internal/service"
	"guavaloom.example/guavaloom/internal/view"
)

// Load pattern: 3,000 first packets in 3 s at one target of one slot that answers none of
// them. Guards against a setting that does not reach the decision, and against overload that
// an operator sees neither in the metrics nor in the log.
func TestOverloadIsReported(t *testing.T) {
	run := func(on bool) (log string, i *Instance) {
		var out bytes.Buffer
		logger, err := logfield.New(&out, "info", logfield.JSON)
		must.NoError(t, err)
		s := &Settings{Name: "i", Zone: "a", Deployment: DefaultDeployment(), Overload: on}
		i = New(s, Platform{ConfigKind: "config", TargetKind: "targets", InstanceKind: "instances", Codec: failingPlatform{}, Entries: failingPlatform{}}, logger)
		v := i.forward.View
		to := view.Endpoint{Addr: [4]byte{198, 18, 0, 1}, Port: 443}
		v.SetConfig(view.Config{Version: 1, IdleTimeout: time.Minute, Routes: []view.Route{
			{Name: "feed", Endpoint: to, Kind: view.Idempotent, Priority: 2, Objective: 250 * time.Millisecond,
				Shares: []view.Share{{Service: service.ID("booking"), Weight: 1}}},
		}}, 1)
		v.MarkListed()
		tg, _ := v.Put(0, view.TargetEntry{ID: "i-1", Key: 1, Service: "booking", Addr: netip.MustParseAddrPort("10.0.0.1:80"), Zone: "a", Slots: 1}, 1)
		i.forward.UpdateTarget(tg)
		for n := range 3000 {
			flow := forwarding.FlowID{Client: view.Endpoint{Addr: [4]byte{100, 64, byte(n >> 8), byte(n)}, Port: 1025}, Service: to}
			i.forward.Handle(time.Duration(n)*time.Millisecond, &forwarding.Segment{Flow: flow, SYN: true, Seq: 1})
		}
		i.tick()
		i.forward.Tick(10 * time.Second)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		i.log.Run(ctx)
		return out.String(), i
	}
	log, i := run(true)
	must.Positive(t, i.metrics.Value("guavaloom_edge_overload_total", "rejected:2:idempotent"))
	must.Positive(t, i.metrics.Value("guavaloom_edge_overload_total", "admitted:2:idempotent"))
	must.Eq(t, 1, i.metrics.Value("guavaloom_edge_full_services", ""))
	must.StrContains(t, log, "service full")
	must.StrContains(t, log, "service recovered")
	log, i = run(false)
	must.Zero(t, i.metrics.Value("guavaloom_edge_overload_total", "rejected:2:idempotent"))
	must.StrNotContains(t, log, "service full")
}
