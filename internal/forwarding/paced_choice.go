package forwarding

import (
	"cmp"
	"time"
)

// pacedChoice ranks the local targets by credit.
type pacedChoice struct {
	best pacedCandidate
	idle float64
}

type pacedCandidate struct {
	load *targetLoad
	rank int
	cost float64
}

// Ranks of local targets.
const (
	withCredit = iota
	withoutCredit
	unreliableTarget
)

// add ranks a target.
func (c *pacedChoice) add(now time.Duration, z *zonePacing, l *targetLoad, o candidate, instances int, reliable bool) {
	idle := o.cost - o.utilization
	c.idle += idle
	p := pacedCandidate{load: l, cost: o.cost}
	if now < l.target.WarmAt { // the pace takes the place of the cost of the warm-up
		work := float64((l.busy+l.opening)*instances) / float64(l.target.Slots)
		p.cost -= work*(warmUpCostFactor-1) + warmUpCostFactor - 1
	}
	if reliable && l.silent {
		// The backoff alone decides when a suspected target is tried again. With the penalty for
		// unanswered requests, or without credit, some instances did not try it for many seconds.
		p.cost -= failurePenalty * l.currentFailureShare(now)
	}
	if idle < z.meanIdle && l.pace.Value() < 1 {
		p.cost += z.meanIdle - idle
	}
	switch {
	case !reliable:
		p.rank = unreliableTarget
	case l.silent:
		p.rank = withCredit
	case !l.pace.running || l.pace.pending != "" || !l.pace.Ready(z.earned) || l.busy+l.opening >= l.target.Slots:
		p.rank = withoutCredit
	}
	if c.best.load == nil || p.better(&c.best) {
		c.best = p
	}
}

func (o *pacedCandidate) better(than *pacedCandidate) bool {
	if o.rank != than.rank {
		return o.rank < than.rank
	}
	if o.cost != than.cost {
		return o.cost < than.cost
	}
	return cmp.Or(cmp.Compare(o.load.lastPlacement, than.load.lastPlacement), cmp.Compare(o.load.tieBreak, than.load.tieBreak)) < 0
}

// finish keeps what the next placement needs.
func (c *pacedChoice) finish(z *zonePacing, targets int) {
	z.targets = targets
	if targets > 0 {
		z.meanIdle = c.idle / float64(targets)
	}
}
