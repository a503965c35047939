package forwarding

import (
	"cmp"
	"time"

	"guavaloom.example/guavaloom/internal/view"
)

const (
	// remotePenalty and remoteUploadPenalty are how much less loaded a target of
	// another data centre must be, in parts of a target's slots. Links between data centres
	// are dear: an upload of 80 KB across costs nearly what it is worth, a small
	// request next to nothing.
	remotePenalty       = 2
	remoteUploadPenalty = 6
	// suspectPenalty puts silent targets and those without an entry behind all others.
	suspectPenalty = 1000
)

// chooser picks targets for new flows.
type chooser struct {
	zone string
	// parts is how many instances share the load of this data centre's targets.
	parts int
}

// placement is what a choice depends on beside the targets.
type placement struct {
	kind view.Kind
	// exclude, if not nil, is taken only if no other target is left.
	exclude *load
	// limit is the latency above which a target is late for the flow; 0 if it is placed
	// however late its answer may be.
	limit time.Duration
}

// choice is the outcome of a choice.
type choice struct {
	// load is the chosen target; nil if there is none, or if the flow is turned away.
	load       *load
	candidates int
	turnedAway bool
	own        crowd
}

// choose returns the best of a service's targets for a new flow. While the own data centre
// is overloaded, a flow that may be turned away goes to one that answers in time, if there
// is one elsewhere.
//
// A target of another data centre is chosen only if the requests at the best own
// one queue. Flows that are open but idle don't count for that: they are many, and
// a flow that leaves its data centre ends when the links do.
func (c *chooser) choose(now time.Duration, v *view.View, all []*load, p placement) (out choice) {
	var near nearest
	var others elsewhere
	for _, l := range all {
		if !v.TakesFlows(now, l.target) {
			continue
		}
		out.candidates++
		here, parts := l.target.Zone == c.zone, 1
		if here {
			parts = c.parts
		}
		o := option{load: l, queue: l.queue(now, parts)}
		doubtful := l.suspect(now) || l.target.Missing
		if doubtful {
			o.queue += suspectPenalty
		}
		if l == p.exclude {
			o.queue += 2 * suspectPenalty
		}
		o.cost = o.queue + l.idle(parts)
		near.add(o, here)
		switch {
		case doubtful || l == p.exclude:
		case here:
			out.own.add(now, l, p.limit)
		default:
			others.add(now, o, p.limit)
		}
	}
	if p.limit == 0 || !out.own.overloaded(c.parts) {
		out.load = near.pick(p.kind)
		return out
	}
	out.load = others.pick()
	out.turnedAway = out.load == nil
	return out
}

// nearest are the best options of the own data centre and of others.
type nearest struct{ own, other option }

func (b *nearest) add(o option, own bool) {
	if own {
		b.own.improve(o)
		return
	}
	b.other.improve(o)
}

// pick returns the target of a new flow, or nil if there is no option.
func (b *nearest) pick(kind view.Kind) *load {
	switch {
	case b.own.load == nil:
		return b.other.load
	case b.other.load == nil, b.own.queue < b.other.queue+penalty(kind):
		return b.own.load
	}
	return b.other.load
}

// option is a target that could be chosen.
type option struct {
	load *load
	// queue is the target's load by requests, cost that by all flows.
	queue, cost float64
}

// better reports whether the option goes before another one; of equal ones the
// target that was given a flow longer ago does.
func (o option) better(than option) bool {
	return cmp.Or(cmp.Compare(o.cost, than.cost), cmp.Compare(o.load.placedAt, than.load.placedAt),
		cmp.Compare(o.load.order, than.load.order)) < 0
}

// improve replaces the option by a better one.
func (o *option) improve(to option) {
	if o.load == nil || to.better(*o) {
		*o = to
	}
}

// penalty is how much less loaded a target of another data centre must be.
func penalty(kind view.Kind) float64 {
	if kind == view.Upload {
		return remoteUploadPenalty
	}
	return remotePenalty
}

// pickShare returns the position of the share that a flow belongs to.
func pickShare(shares []view.Share, hash uint64) int {
	total := 0
	for _, s := range shares {
		total += s.Weight
	}
	at := int(hash % uint64(total))
	for i, s := range shares {
		if at -= s.Weight; at < 0 {
			return i
		}
	}
	return len(shares) - 1
}
