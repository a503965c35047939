package forwarding

import (
	"cmp"
	"time"

	"guavaloom.example/guavaloom/internal/view"
)

const (
	// remotePenalty and remoteUploadPenalty are how much less utilized a target of another
	// data centre must be, as a multiple of its slots. Links between data centres are
	// expensive: sending an upload of 80 KB across costs nearly what it is worth, a small
	// request next to nothing.
	remotePenalty       = 2
	remoteUploadPenalty = 6
	// suspectPenalty ranks suspected targets and those whose entry was removed behind all
	// others.
	suspectPenalty = 1000
)

// chooser selects targets for new flows.
type chooser struct {
	zone string
	// instances is how many instances share the load of this data centre's targets.
	instances int
}

// flowParams are the properties of a new flow that affect the choice of its target.
type flowParams struct {
	kind view.Kind
	// exclude, if not nil, is chosen only if no other target is left.
	exclude *targetLoad
	// maxLatency is the latency above which a target is late for the flow; 0 if the flow is
	// placed regardless of latency.
	maxLatency time.Duration
}

// choice is the result of choosing a target.
type choice struct {
	// load is the chosen target; nil if there is none or the flow is rejected.
	load       *targetLoad
	candidates int
	rejected   bool
	local      zoneLoad
}

// choose returns the best of a service's targets for a new flow. While the own data centre
// is overloaded, a flow that may be rejected goes to a remote target that answers in time,
// if there is one.
//
// Otherwise a remote target is chosen only if requests queue at the best local one. Open
// but idle flows don't count as queued: there are many of them, and a flow to another data
// centre breaks when the links fail.
func (c *chooser) choose(now time.Duration, v *view.View, all []*targetLoad, p flowParams) (out choice) {
	var best bestCandidates
	var remote remoteCandidates
	for _, l := range all {
		if !v.AcceptsNewFlows(now, l.target) {
			continue
		}
		out.candidates++
		isLocal, instances := l.target.Zone == c.zone, 1
		if isLocal {
			instances = c.instances
		}
		o := candidate{load: l, utilization: l.utilization(now, instances)}
		unreliable := l.avoided(now) || l.target.Removed
		if unreliable {
			o.utilization += suspectPenalty
		}
		if l == p.exclude {
			o.utilization += 2 * suspectPenalty
		}
		o.cost = o.utilization + l.idleUtilization(instances)
		best.add(o, isLocal)
		switch {
		case unreliable || l == p.exclude:
		case isLocal:
			out.local.add(now, l, p.maxLatency)
		default:
			remote.add(now, o, p.maxLatency)
		}
	}
	if p.maxLatency == 0 || !out.local.overloaded(c.instances) {
		out.load = best.pick(p.kind)
		return out
	}
	out.load = remote.pick()
	out.rejected = out.load == nil
	return out
}

// bestCandidates holds the best candidate of the own data centre and of all others.
type bestCandidates struct{ local, remote candidate }

func (b *bestCandidates) add(o candidate, local bool) {
	if local {
		b.local.keepBetter(o)
		return
	}
	b.remote.keepBetter(o)
}

// pick returns the target of a new flow, or nil if there is no candidate.
func (b *bestCandidates) pick(kind view.Kind) *targetLoad {
	switch {
	case b.local.load == nil:
		return b.remote.load
	case b.remote.load == nil, b.local.utilization < b.remote.utilization+remotePenaltyFor(kind):
		return b.local.load
	}
	return b.remote.load
}

// candidate is a target that could be chosen.
type candidate struct {
	load *targetLoad
	// utilization counts requests only, cost idle open flows as well.
	utilization, cost float64
}

// better reports whether the candidate ranks before another one. Of equal ones, the target
// least recently given a flow ranks first.
func (o candidate) better(than candidate) bool {
	return cmp.Or(cmp.Compare(o.cost, than.cost), cmp.Compare(o.load.lastPlacement, than.load.lastPlacement),
		cmp.Compare(o.load.tieBreak, than.load.tieBreak)) < 0
}

// keepBetter replaces the candidate by other if that one is better.
func (o *candidate) keepBetter(other candidate) {
	if o.load == nil || other.better(*o) {
		*o = other
	}
}

// remotePenaltyFor returns how much less utilized a target of another data centre must be.
func remotePenaltyFor(kind view.Kind) float64 {
	if kind == view.Upload {
		return remoteUploadPenalty
	}
	return remotePenalty
}

// pickShare returns the index of the share that a flow hashes to.
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
