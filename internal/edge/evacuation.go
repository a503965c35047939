package edge

import (
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"guavaloom.example/guavaloom/internal/logfield"
	"guavaloom.example/guavaloom/internal/metric"
	"guavaloom.example/guavaloom/internal/objectstore"
	"guavaloom.example/guavaloom/internal/view"
)

// applyEvacuation applies an operator's request to evacuate a data centre, or its withdrawal.
// The content of the object has no meaning: its name is the data centre.
func (i *Instance) applyEvacuation(now time.Duration, zone, source string, o objectstore.Object, restored bool) {
	v, version := i.forward.View, uint64(o.Version)
	switch {
	case !v.KnownZone(zone):
		if !o.Deleted {
			i.reportUnreadable(i.platform.EvacuationKind, zone, errors.New("unknown data centre, the request has no effect"))
		}
	case o.Deleted && restored:
		v.WithdrawRestored(now, zone, version)
	case o.Deleted:
		if v.WithdrawEvacuation(zone, version) {
			i.reportEvacuation("evacuation withdrawn", zone, source, o.Version)
		}
	case v.PutEvacuation(now, zone, version):
		i.reportEvacuation("evacuation", zone, source, o.Version)
	}
}

// settleEvacuations ends the evacuations that a restored store lacks and that were not written
// again. After ReadStoreAfter it also stops waiting for a first list.
func (i *Instance) settleEvacuations(now time.Duration) {
	i.forward.View.SettleEvacuations(now, func(e view.Evacuation) {
		i.reportEvacuation("evacuation withdrawn", e.Zone, restoredSource, objectstore.Version(e.Version))
	})
	if now >= i.timing.ReadStoreAfter && i.forward.View.SkipEvacuations() {
		i.log.Event(viewClass, "evacuations unknown, placing flows without them", nil)
		i.releaseHeld(now)
	}
}

func (i *Instance) reportEvacuation(message, zone, source string, version objectstore.Version) {
	age, _ := i.replica.Age(i.now(), i.platform.EvacuationKind)
	i.metrics.Counter(metric.EdgeChanges, message).Inc(1)
	i.metrics.Gauge(metric.EdgeEvacuations, "").Update(float64(len(i.forward.View.Evacuations())))
	i.log.Event(viewClass, message, logrus.Fields{
		logfield.Zone: zone, logfield.Source: source, logfield.Age: age.Milliseconds(),
		logfield.Epoch: version.Epoch(), logfield.Version: version.Revision(),
	})
}
