package forwarding

import (
	"slices"
	"time"

	"guavaloom.example/guavaloom/internal/allowance"
	"guavaloom.example/guavaloom/internal/rendezvous"
	"guavaloom.example/guavaloom/internal/target"
)

// coldLimits compute this instance's share of the allowance of cold targets.
type coldLimits struct {
	overage, slack float64
	// self and instances are the rendezvous seeds of this instance and of all instances of the
	// data centre; instances is empty while they are not known, and no cold target gets a flow.
	self      uint64
	instances []uint64
	// generation changes with the instances, so that shares are computed only then.
	generation uint64
}

// coldTarget is what this instance has used of the allowance of a cold target.
type coldTarget struct {
	window allowance.Window
	// seed is the rendezvous seed of the target. rate and generation are those for which
	// the limit of the window was computed.
	seed       uint64
	rate       float64
	generation uint64
}

// SetColdLimits sets by which factor and number of flows a cold target may get more than its
// rate, and the rendezvous seed of this instance.
func (f *Forwarder) SetColdLimits(overage, slack float64, self uint64) {
	c := &f.chooser.cold
	c.overage, c.slack, c.self = overage, slack, self
	c.generation++
}

// SetColdInstances sets the rendezvous seeds of the instances that share the allowance of the
// data centre's cold targets. Without any, cold targets with a rate get no new flows.
func (f *Forwarder) SetColdInstances(seeds []uint64) {
	c := &f.chooser.cold
	if slices.Equal(c.instances, seeds) {
		return
	}
	c.instances = slices.Clone(seeds)
	c.generation++
}

// isCold reports whether a target is cold and its service has a rate for cold targets.
func (l *targetLoad) isCold(now time.Duration, rate float64) bool {
	return rate > 0 && now < l.target.WarmAt
}

// of returns the allowance of a cold target, with its current limit.
func (c *coldLimits) of(l *targetLoad, rate float64) *allowance.Window {
	cold := l.cold
	if cold == nil {
		cold = &coldTarget{seed: rendezvous.Seed(string(l.target.ID))}
		l.cold = cold
	}
	if cold.rate != rate || cold.generation != c.generation {
		share := 0
		if len(c.instances) > 0 {
			share = allowance.Share(rate, c.overage, c.slack, c.instances, c.self, cold.seed)
		}
		cold.window.SetLimit(share)
		cold.rate, cold.generation = rate, c.generation
	}
	return &cold.window
}

// holdsBack reports whether a target may not get a new flow because it is cold: it is in
// another data centre, or this instance has no allowance left. It records the reason.
func (c *chooser) holdsBack(now time.Duration, l *targetLoad, rate float64, e *exclusions) bool {
	if !l.isCold(now, rate) {
		l.cold = nil
		return false
	}
	local := l.zone == c.zone
	if local && c.cold.of(l, rate).Allows(now) {
		return false
	}
	e.cold = true
	e.localCold = e.localCold || local
	return true
}

// useAllowance records that a target gets a first packet or a request.
func (f *Forwarder) useAllowance(now time.Duration, l *targetLoad) {
	if rate := f.View.Config().ColdRates[l.service]; l.zone == f.chooser.zone && l.isCold(now, rate) {
		f.chooser.cold.of(l, rate).Use(now)
	}
}

// useForRequest records that a request begins on an open flow. The first request of a flow
// whose first packet was placed here is counted already.
func (f *Forwarder) useForRequest(now time.Duration, state *flowState) {
	if !state.sawFirstPacket || state.newDataAt > 0 {
		f.useAllowance(now, state.load)
	}
}

// ColdReport is the allowance of a cold target at this instance.
type ColdReport struct {
	// Share is how many flows the instance may give the target in any sliding second, Used how
	// many of these the last second had.
	Share, Used int
}

// Cold returns the allowance of a target; ok is false if it is not cold or has no limit.
func (f *Forwarder) Cold(now time.Duration, id target.ID) (r ColdReport, ok bool) {
	l := f.loads[id]
	if l == nil {
		return r, false
	}
	rate := f.View.Config().ColdRates[l.service]
	if !l.isCold(now, rate) {
		return r, false
	}
	if l.zone != f.chooser.zone {
		return r, true
	}
	w := f.chooser.cold.of(l, rate)
	return ColdReport{Share: w.Limit(), Used: w.Used(now)}, true
}
