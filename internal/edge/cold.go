package edge

import (
	"maps"
	"slices"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"guavaloom.example/guavaloom/internal/explain"
	"guavaloom.example/guavaloom/internal/forwarding"
	"guavaloom.example/guavaloom/internal/metric"
	"guavaloom.example/guavaloom/internal/rendezvous"
	"guavaloom.example/guavaloom/internal/view"
)

// instanceMemory is how long an instance counts after it was last seen, so that a view that
// loses entries does not raise the shares of the allowance of cold targets.
const instanceMemory = 30 * time.Second

// ownEntrySettling is how long after an instance first saw its own entry it gives cold targets
// nothing. It covers the spread of registrations when all instances start together
// (firstStartSpread) and the delay until they are seen; each of them would otherwise begin
// with the share of a smaller fleet. It exceeds allowance.Period, so that the uses of an
// earlier process of the same instance are over.
const ownEntrySettling = firstStartSpread + time.Second

// recentInstances has the instances of the data centre that were seen recently.
type recentInstances map[uint64]time.Duration // when last seen, by rendezvous seed

// update records the instances that are known now and returns the seeds of all recent ones
// in ascending order.
func (r recentInstances) update(now time.Duration, known []uint64) []uint64 {
	for _, seed := range known {
		r[seed] = now
	}
	maps.DeleteFunc(r, func(_ uint64, seen time.Duration) bool { return now > seen+instanceMemory })
	return slices.Sorted(maps.Keys(r))
}

// zoneInstances returns the seeds of the instances of this data centre, or none until this
// instance has seen its own entry. A list without it is older than this instance's start and
// may lack others that started at the same time.
func (r *registry) zoneInstances() []uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.selfListed {
		return nil
	}
	var seeds []uint64
	for _, p := range r.ranks[r.self.zone] {
		seeds = append(seeds, rendezvous.Seed(p.name))
	}
	return seeds
}

// updateColdInstances passes the instances that share the allowance of cold targets to the
// forwarder. The caller holds Instance.mu.
func (i *Instance) updateColdInstances(now time.Duration) {
	known := i.registry.zoneInstances()
	if len(known) == 0 {
		return
	}
	if len(i.recent) == 0 {
		i.ownEntryAt = now
	}
	seeds := i.recent.update(now, known)
	if now >= i.ownEntryAt+ownEntrySettling {
		i.forward.SetColdInstances(seeds)
	}
}

// coldCounters count flows that the allowance of cold targets affected.
type coldCounters struct{ heldBack, refused metrics.Counter }

func newColdCounters(s *metric.Set) coldCounters {
	return coldCounters{s.Counter(metric.EdgeColdFlows, "held_back"), s.Counter(metric.EdgeColdFlows, "refused")}
}

func (c *coldCounters) count(d *forwarding.Decision) {
	switch {
	case d.Reason == forwarding.Cold:
		c.refused.Inc(1)
	case d.HeldBack:
		c.heldBack.Inc(1)
	}
}

// allowanceStatus returns the allowance of a cold target, or nil if it has no limit.
func (i *Instance) allowanceStatus(now time.Duration, t *view.Target) *explain.AllowanceStatus {
	r, ok := i.forward.Cold(now, t.ID)
	if !ok {
		return nil
	}
	return &explain.AllowanceStatus{Share: r.Share, Used: r.Used}
}
