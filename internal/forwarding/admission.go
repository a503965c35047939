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
	// lateShare is the part of a route's objective beyond which the mean answer counts as
	// late: single answers take up to twice as long as the mean, and a client that was turned
	// away once has used some of the time.
	lateShare = 0.4
	// elsewhereShare is the part of that time within which targets of other data centres
	// have to answer. When all are near it, flows would cross the links for nothing.
	elsewhereShare = 0.75
	// latencyFresh is how long the latency of a target's answers tells of its queue.
	latencyFresh = time.Second
)

// lateLimit returns the latency from which on targets are late for a new flow, or 0 if the
// flow is not to be turned away: its requests must not be repeated or are the most urgent
// ones, or the packet is a copy, whose first one may have opened the flow meanwhile.
func lateLimit(r *view.Route, copied bool) time.Duration {
	if copied || r.Kind != view.Idempotent || r.Priority == view.MostUrgent {
		return 0
	}
	return time.Duration(lateShare * float64(r.Objective))
}

// measured reports whether the target's latency tells of its queue.
func (l *load) measured(now time.Duration) bool {
	return l.latency > 0 && now <= l.latencyAt+latencyFresh
}

// elsewhere are the targets of other data centres that are expected to answer in time.
type elsewhere struct {
	prompt, unknown option
	// trying tells that a flow is on its way to one of which nothing is known.
	trying bool
}

func (e *elsewhere) add(now time.Duration, o option, limit time.Duration) {
	l := o.load
	switch {
	case l.measured(now):
		if float64(l.latency) <= elsewhereShare*float64(limit) {
			e.prompt.improve(o)
		}
	case l.opening+l.busy > 0:
		e.trying = true
	default:
		e.unknown.improve(o)
	}
}

// pick returns the best target, or nil. Where nothing is known, one flow at a time tries.
func (e *elsewhere) pick() *load {
	if e.prompt.load == nil && !e.trying {
		return e.unknown.load
	}
	return e.prompt.load
}

// crowd sums up the targets of a service in the own data centre.
type crowd struct{ targets, late, slots, busy int }

func (c *crowd) add(now time.Duration, l *load, limit time.Duration) {
	c.targets++
	c.slots += l.target.Slots
	c.busy += l.busy + l.opening
	if l.measured(now) && l.latency > limit {
		c.late++
	}
}

// overloaded reports whether most targets answer late and the requests in flight, of which
// this instance sees one of so many equal parts, fill all slots. Where slots are free, the
// work itself takes long, and turning flows away would not make it faster.
func (c *crowd) overloaded(parts int) bool {
	return 2*c.late > c.targets && c.busy*parts >= c.slots
}

// report returns what a flow was turned away for.
func (c *choice) report() LoadReport {
	return LoadReport{Busy: c.own.busy, Candidates: c.candidates, Late: c.own.late}
}
