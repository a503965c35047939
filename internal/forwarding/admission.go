package forwarding

import (
	"time"

	"guavaloom.example/guavaloom/internal/view"
)

// Load pattern: more requests arrive than a service's targets can work on, so that all
// their queues are full and every answer is late. Two thirds of the requests come on new
// flows, since clients open one where none is free and one for each further try. An instance
// turns away new flows of requests that are safe to repeat while most targets of its data
// centre answer late and none elsewhere is known to answer in time. The targets do as much
// work as before, for callers who get their answers in time, and the others learn at once
// that nothing was run.

const (
	// lateLatencyShare is the part of a route's objective beyond which the mean answer counts as
	// late: single answers take up to twice as long as the mean, and a client that was turned
	// away once has used some of the time.
	lateLatencyShare = 0.4
	// remoteLatencyShare is the part of that time within which targets of other data centres
	// have to answer. When all are near it, flows would cross the links for nothing.
	remoteLatencyShare = 0.75
	// maxLatencyAge is how long the latency of a target's answers tells of its queue.
	maxLatencyAge = time.Second
)

// latencyLimit returns the latency from which on targets are late for a new flow, or 0 if the
// flow is not to be turned away: its requests must not be repeated or are the most urgent
// ones, or the packet is a copy, whose first one may have opened the flow meanwhile.
func latencyLimit(r *view.Route, retransmitted bool) time.Duration {
	if retransmitted || r.Kind != view.Idempotent || r.Priority == view.HighestPriority {
		return 0
	}
	return time.Duration(lateLatencyShare * float64(r.Objective))
}

// hasRecentLatency reports whether the target's latency tells of its queue.
func (l *targetLoad) hasRecentLatency(now time.Duration) bool {
	return l.latency > 0 && now <= l.latencyAt+maxLatencyAge
}

// remoteCandidates are the targets of other data centres that are expected to answer in time.
type remoteCandidates struct {
	inTime, unmeasured candidate
	// probing tells that a flow is on its way to one of which nothing is known.
	probing bool
}

func (e *remoteCandidates) add(now time.Duration, o candidate, limit time.Duration) {
	l := o.load
	switch {
	case l.hasRecentLatency(now):
		if float64(l.latency) <= remoteLatencyShare*float64(limit) {
			e.inTime.keepBetter(o)
		}
	case l.opening+l.busy > 0:
		e.probing = true
	default:
		e.unmeasured.keepBetter(o)
	}
}

// pick returns the best target, or nil. Where nothing is known, one flow at a time tries.
func (e *remoteCandidates) pick() *targetLoad {
	if e.inTime.load == nil && !e.probing {
		return e.unmeasured.load
	}
	return e.inTime.load
}

// zoneLoad sums up the targets of a service in the own data centre.
type zoneLoad struct{ targets, late, slots, busy int }

func (c *zoneLoad) add(now time.Duration, l *targetLoad, limit time.Duration) {
	c.targets++
	c.slots += l.target.Slots
	c.busy += l.busy + l.opening
	if l.hasRecentLatency(now) && l.latency > limit {
		c.late++
	}
}

// overloaded reports whether most targets answer late and the requests in flight, of which
// this instance sees one of so many equal parts, fill all slots. Where slots are free, the
// work itself takes long, and turning flows away would not make it faster.
func (c *zoneLoad) overloaded(instances int) bool {
	return 2*c.late > c.targets && c.busy*instances >= c.slots
}

// report returns what a flow was turned away for.
func (c *choice) report() LoadReport {
	return LoadReport{Busy: c.local.busy, Candidates: c.candidates, Late: c.local.late}
}
