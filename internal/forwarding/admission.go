package forwarding

import (
	"time"

	"guavaloom.example/guavaloom/internal/view"
)

// Admission control under overload.
//
// When more requests arrive than a service's targets can process, all their queues fill up
// and every answer is late. Two thirds of the requests come on new flows, since clients open
// one when none is free and one for each retry. An instance therefore rejects new flows whose
// requests are idempotent while most targets of its data centre answer late and no remote
// target is known to answer in time. The targets still do as much work as before, for callers
// whose answers arrive in time, and rejected callers learn immediately that nothing was run.

const (
	// lateLatencyShare is the fraction of a route's objective above which a target's mean
	// latency counts as late: single answers take up to twice the mean, and a client that
	// was rejected once has already used some of its time.
	lateLatencyShare = 0.4
	// remoteLatencyShare is the fraction of the late limit within which targets of other
	// data centres have to answer. When all targets are near the limit, sending flows
	// across the links would gain nothing.
	remoteLatencyShare = 0.75
	// maxLatencyAge is how long a latency sample is taken to reflect the target's current
	// queue.
	maxLatencyAge = time.Second
)

// latencyLimit returns the latency above which targets are late for a new flow, or 0 if the
// flow must not be rejected: its requests are not idempotent or have the highest priority,
// or the packet is a retransmission, whose original may have opened the flow in the
// meantime.
func latencyLimit(r *view.Route, retransmitted bool) time.Duration {
	if retransmitted || r.Kind != view.Idempotent || r.Priority == view.HighestPriority {
		return 0
	}
	return time.Duration(lateLatencyShare * float64(r.Objective))
}

// hasRecentLatency reports whether the latency is recent enough to reflect the target's
// queue.
func (l *targetLoad) hasRecentLatency(now time.Duration) bool {
	return l.latency > 0 && now <= l.latencyAt+maxLatencyAge
}

// remoteCandidates holds the best targets of other data centres, for flows that the own
// data centre can't serve in time.
type remoteCandidates struct {
	// inTime is the best target that answers in time, unmeasured the best one without a
	// recent latency sample.
	inTime, unmeasured candidate
	// probing is set if an unmeasured target already has a flow or request in progress.
	probing bool
	// targets, slots and busy sum up the targets; measured are those with a recent latency
	// sample, late those of them above the limit; fastest is the shortest latency.
	targets, slots, busy, measured, late int
	fastest                              time.Duration
}

func (e *remoteCandidates) add(now time.Duration, o candidate, limit time.Duration) {
	l := o.load
	e.targets++
	e.slots += l.target.Slots
	e.busy += l.busy + l.opening
	switch {
	case l.recentlyRefused(now):
	case l.hasRecentLatency(now):
		e.measure(l.latency, limit)
		if float64(l.latency) <= remoteLatencyShare*float64(limit) {
			e.inTime.keepBetter(o)
		}
	case l.opening+l.busy > 0:
		e.probing = true
	default:
		e.unmeasured.keepBetter(o)
	}
}

func (e *remoteCandidates) measure(latency, limit time.Duration) {
	e.measured++
	if latency > limit {
		e.late++
	}
	if e.fastest == 0 || latency < e.fastest {
		e.fastest = latency
	}
}

// pick returns the best target, or nil. If no target is known to answer in time, only one
// flow at a time is sent to an unmeasured one.
func (e *remoteCandidates) pick() *targetLoad {
	if e.inTime.load == nil && !e.probing {
		return e.unmeasured.load
	}
	return e.inTime.load
}

// zoneLoad sums up the load of a service's targets in the own data centre.
type zoneLoad struct{ targets, late, slots, busy int }

func (c *zoneLoad) add(now time.Duration, l *targetLoad, limit time.Duration) {
	c.targets++
	c.slots += l.target.Slots
	c.busy += l.busy + l.opening
	if l.hasRecentLatency(now) && l.latency > limit || l.recentlyRefused(now) {
		c.late++
	}
}

// overloaded reports whether most targets answer late and the requests in flight fill all
// slots. The instances share the load equally, so the total is estimated from this
// instance's share. If slots are free, the requests themselves are slow, and rejecting
// flows would not make them faster.
func (c *zoneLoad) overloaded(instances int) bool {
	return 2*c.late > c.targets && c.busy*instances >= c.slots
}

// report returns the load that caused a flow to be rejected.
func (c *choice) report() LoadReport {
	return LoadReport{Busy: c.local.busy, Candidates: c.candidates, Late: c.local.late}
}
