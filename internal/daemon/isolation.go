package daemon

import (
	"slices"
	"time"

	"guavaloom.example/guavaloom/internal/instance"
	"guavaloom.example/guavaloom/internal/isolation"
	"guavaloom.example/guavaloom/internal/logfield"
	"guavaloom.example/guavaloom/internal/metric"
)

// Labels of metric.ZoneEvents in addition to the membership event kinds.
const (
	eventIsolated       = "isolated"
	eventIsolationEnded = "isolation_ended"
)

// detectIsolation is called on each tick of the zone protocol, and not on messages: a
// message that arrives after a pause says nothing about the length of the pause.
func (z *zoneController) detectIsolation() {
	z.mu.Lock()
	defer z.mu.Unlock()
	now := z.d.now()
	t := z.node.Table()
	f := isolation.Inputs{Member: t != nil && slices.ContainsFunc(t.Roster, z.d.self.Same) && !z.d.stopping.Load()}
	if z.node.Leased(now) {
		f.LeaseEnd = z.node.LeaseEnd(now)
	}
	_, f.HasLeader = z.node.Leader()
	change := z.isolation.Tick(now, f)
	z.d.isolatedEnd.Store(int64(z.isolation.Until()))
	if change == isolation.None {
		return
	}
	log := z.d.log
	if t != nil {
		log = log.WithField(logfield.Version, t.Version)
	}
	if change == isolation.Entered {
		z.d.metrics.Counter(metric.ZoneEvents, eventIsolated).Inc(1)
		log.Warn("isolated from the zone: serving only requests that need no agreement")
		return
	}
	z.d.metrics.Counter(metric.ZoneEvents, eventIsolationEnded).Inc(1)
	log.Info("isolation ended")
}

// recordLapse records an incarnation that left the roster because its lease lapsed. The
// caller holds mu.
func (z *zoneController) recordLapse(r instance.Ref) {
	z.absent[r.ID] = r
	if _, known := z.lapsed[r]; !known {
		z.lapsed[r] = z.d.now()
	}
}

// possiblyIsolated returns the former members that may still send requests according
// to an old table. The caller holds mu.
func (z *zoneController) possiblyIsolated(now time.Duration) []instance.Ref {
	var refs []instance.Ref
	for r, at := range z.lapsed {
		if now >= at+isolation.ReleaseHold {
			delete(z.lapsed, r)
			continue
		}
		refs = append(refs, r)
	}
	slices.SortFunc(refs, instance.Ref.Compare)
	return refs
}
