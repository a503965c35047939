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

// choose returns the best of a service's targets for a new flow, or nil, and how
// many there were to choose from. exclude, if not nil, is taken only if no other
// target is left.
//
// A target of another data centre is chosen only if the requests at the best own
// one queue. Flows that are open but idle don't count for that: they are many, and
// a flow that leaves its data centre ends when the links do.
func (c *chooser) choose(now time.Duration, v *view.View, all []*load, kind view.Kind, exclude *load) (best *load, candidates int) {
	var own, other option
	for _, l := range all {
		if !v.TakesFlows(now, l.target) {
			continue
		}
		candidates++
		to := &other
		parts := 1
		if l.target.Zone == c.zone {
			to, parts = &own, c.parts
		}
		o := option{load: l, queue: l.queue(now, parts)}
		if l.suspect(now) || l.target.Missing {
			o.queue += suspectPenalty
		}
		if l == exclude {
			o.queue += 2 * suspectPenalty
		}
		o.cost = o.queue + l.idle(parts)
		if to.load == nil || o.better(*to) {
			*to = o
		}
	}
	switch {
	case own.load == nil:
		return other.load, candidates
	case other.load == nil, own.queue < other.queue+penalty(kind):
		return own.load, candidates
	}
	return other.load, candidates
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
