package forwarding

import (
	"cmp"
	"time"

	"guavaloom.example/guavaloom/internal/overload"
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

// maxRemoteCandidates is how many targets of other data centres are examined for one flow.
// They rotate, so that the cost of a placement does not grow with the fleet.
const maxRemoteCandidates = 128

// chooser selects targets for new flows.
type chooser struct {
	zone string
	// instances is how many instances share the load of this data centre's targets.
	instances int
	// paced is set if local targets are ordered by their paces.
	paced bool
	// rotation is where the next examination of remote targets begins.
	rotation int
	cold     coldLimits
	// trace, if not nil, is called for each target that was examined.
	trace func(Examined)
}

// flowParams are the properties of a new flow that affect the choice of its target.
type flowParams struct {
	route *view.Route
	// exclude, if not nil, is chosen only if no other target is left.
	exclude *targetLoad
	// maxLatency is the latency above which a target is late for the flow; 0 if the flow is
	// placed regardless of latency.
	maxLatency time.Duration
	// flow is valid if byClass is set: admission by class decides on the flow.
	flow    overload.Flow
	byClass bool
	// coldRate is the rate of the service's cold targets; 0 if it has no limit.
	coldRate float64
}

// exclusions say why targets that are able to serve a flow were not considered for it.
type exclusions struct{ evacuated, localEvacuated, noHome, cold, localCold bool }

func (e *exclusions) add(o exclusions) {
	e.evacuated = e.evacuated || o.evacuated
	e.localEvacuated = e.localEvacuated || o.localEvacuated
	e.noHome = e.noHome || o.noHome
	e.cold = e.cold || o.cold
	e.localCold = e.localCold || o.localCold
}

func (e *exclusions) any() bool { return e.evacuated || e.noHome || e.cold }

// reason returns the reason to report: an operator can withdraw an evacuation, while the homes
// of a route rule a target out whatever happens. Cold targets become warm by themselves.
func (e *exclusions) reason() Reason {
	switch {
	case e.evacuated:
		return Evacuated
	case e.noHome:
		return NoHome
	}
	return Cold
}

// choice is the result of choosing a target.
type choice struct {
	// load is the chosen target; nil if there is none or the flow is rejected.
	load       *targetLoad
	candidates int
	rejected   bool
	// diverted is set if the own data centre's targets were not to get the flow.
	diverted bool
	local    zoneLoad
	excluded exclusions
}

// choose returns the best of a service's targets for a new flow. While the own data centre
// is overloaded, a flow that may be rejected goes to a remote target that answers in time,
// if there is one.
//
// Otherwise a remote target is chosen only if requests queue at the best local one. Open
// but idle flows don't count as queued: there are many of them, and a flow to another data
// centre breaks when the links fail.
func (c *chooser) choose(now time.Duration, v *view.View, s *serviceTargets, p flowParams) (out choice) {
	if s == nil {
		return out
	}
	if p.byClass {
		p.maxLatency = s.arrive(now, &p)
	}
	var best bestCandidates
	var paced pacedChoice
	if z := s.zone(c.zone); z != nil && c.mayUse(v, z, p.route, &out.excluded) {
		c.examineLocal(now, v, z, p, &best, &paced, &out)
	}
	overloaded := c.mustDivert(now, s, &p, &out.local)
	if !overloaded && best.local.load != nil && best.local.utilization < remotePenaltyFor(p.route.Kind) {
		out.load = c.orderByPace(&paced, best.local.load) // no remote target can rank before it
		return out
	}
	var remote remoteCandidates
	c.examineRemote(now, v, s, p, &best, &remote, &out)
	overloaded = overloaded || s.mustDivertRemote(now, &p, c.instances, &out.local, &remote)
	if !overloaded {
		if out.load = best.pick(p.route.Kind); out.load == best.local.load {
			out.load = c.orderByPace(&paced, out.load)
		}
		return out
	}
	out.load = remote.pick()
	out.rejected, out.diverted = out.load == nil, true
	return out
}

// mayUse reports whether a flow may go to the targets of a data centre, and records why not.
func (c *chooser) mayUse(v *view.View, z *zoneTargets, r *view.Route, e *exclusions) bool {
	if !v.IsHome(r, z.zone) {
		e.noHome = true
		return false
	}
	if v.Evacuated(z.zone) {
		e.evacuated = true
		e.localEvacuated = e.localEvacuated || z.zone == c.zone
		return false
	}
	return true
}

func (c *chooser) examineLocal(now time.Duration, v *view.View, z *zoneTargets, p flowParams, best *bestCandidates, paced *pacedChoice, out *choice) {
	for _, l := range z.targets {
		if !v.AcceptsNewFlows(now, l.target) || c.holdsBack(now, l, p.coldRate, &out.excluded) {
			c.traceSkipped(now, v, l)
			continue
		}
		out.candidates++
		o, reliable := c.assess(now, l, c.instances, p)
		c.traceCandidate(&o, reliable)
		best.local.keepBetter(o)
		if c.paced {
			paced.add(now, &z.pacing, l, o, c.instances, reliable)
		}
		if reliable {
			out.local.add(now, l, p.maxLatency)
		}
	}
	if c.paced && c.trace == nil { // an explanation records nothing
		paced.finish(&z.pacing, out.candidates)
	}
}

// orderByPace returns the local target to be given a flow, where best is the one without regard
// to the paces.
func (c *chooser) orderByPace(paced *pacedChoice, best *targetLoad) *targetLoad {
	if !c.paced || best == nil {
		return best
	}
	return paced.best.load
}

func (c *chooser) examineRemote(now time.Duration, v *view.View, s *serviceTargets, p flowParams, best *bestCandidates, remote *remoteCandidates, out *choice) {
	c.rotation++
	perZone := max(maxRemoteCandidates/len(s.zones), 1)
	for _, z := range s.zones {
		if z.zone == c.zone || !c.mayUse(v, z, p.route, &out.excluded) {
			continue
		}
		left := perZone
		for m := range z.targets {
			l := z.targets[(c.rotation+m)%len(z.targets)]
			if !v.AcceptsNewFlows(now, l.target) {
				continue
			}
			if left--; left < 0 {
				break
			}
			if c.holdsBack(now, l, p.coldRate, &out.excluded) {
				c.traceSkipped(now, v, l)
				continue
			}
			out.candidates++
			o, reliable := c.assess(now, l, 1, p)
			c.traceCandidate(&o, reliable)
			best.remote.keepBetter(o)
			if reliable {
				remote.add(now, o, p.maxLatency)
			}
		}
	}
}

// assess ranks a target for a flow. instances is how many instances share its load. reliable
// is false for targets that are chosen only if no other is left.
func (c *chooser) assess(now time.Duration, l *targetLoad, instances int, p flowParams) (o candidate, reliable bool) {
	o = candidate{load: l, utilization: l.utilization(now, instances)}
	if l.reported != nil && !c.paced { // else the pace takes account of reports
		o.utilization *= l.slowness(now)
	}
	reliable = !l.avoided(now) && !l.target.Removed
	if !reliable {
		o.utilization += suspectPenalty
	}
	if l == p.exclude {
		o.utilization += 2 * suspectPenalty
		reliable = false
	}
	o.cost = o.utilization + l.idleUtilization(instances)
	return o, reliable
}

// bestCandidates holds the best candidate of the own data centre and of all others.
type bestCandidates struct{ local, remote candidate }

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
