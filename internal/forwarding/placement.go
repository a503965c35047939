package forwarding

import (
	"time"

	"guavaloom.example/guavaloom/internal/view"
)

const (
	// remotePenalty and remoteUploadPenalty are added to the load of targets in
	// other data centres, in parts of a target's slots. Links between data centres
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
func (c *chooser) choose(now time.Duration, v *view.View, all []*load, kind view.Kind, exclude *load) (best *load, candidates int) {
	var bestCost float64
	for _, l := range all {
		if !v.TakesFlows(now, l.target) {
			continue
		}
		candidates++
		cost := c.cost(now, l, kind)
		if l == exclude {
			cost += 2 * suspectPenalty
		}
		if best == nil || cost < bestCost || cost == bestCost && l.placedAt < best.placedAt {
			best, bestCost = l, cost
		}
	}
	return best, candidates
}

func (c *chooser) cost(now time.Duration, l *load, kind view.Kind) float64 {
	var cost float64
	if l.target.Zone == c.zone {
		cost = l.slots(now, c.parts)
	} else {
		cost = l.slots(now, 1) + remotePenalty
		if kind == view.Upload {
			cost += remoteUploadPenalty
		}
	}
	if l.suspect(now) || l.target.Missing {
		cost += suspectPenalty
	}
	return cost
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
