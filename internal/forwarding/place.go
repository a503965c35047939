package forwarding

import (
	"time"

	"guavaloom.example/guavaloom/internal/service"
	"guavaloom.example/guavaloom/internal/view"
)

// place gives a new flow to a target, or decides why it gets none.
func (f *Forwarder) place(now time.Duration, s *Segment, r *view.Route, exclude *targetLoad, reason Reason) Decision {
	if f.limits.Pace {
		for _, share := range r.Shares {
			f.prepareZone(now, f.services[share.Service])
		}
	}
	p := f.choosePlacement(now, s, r, exclude, &f.chooser, func(id service.ID) *serviceTargets { return f.services[id] })
	f.recordAdmission(now, s, p.service, &p.params, &p.choice)
	l := p.choice.load
	if l == nil {
		return p.rejection
	}
	if state := f.flows.add(s.Flow, l, now); state != nil {
		state.openingAt, state.firstPacketAt, state.sawFirstPacket, state.firstPacketSeq = now, now, true, s.Seq
		l.opening++
	}
	f.placements++
	l.lastPlacement = f.placements
	f.pacePlaced(now, l)
	f.useAllowance(now, l)
	l.reported.recordPlacement(now)
	d := f.forwardTo(l, r, reason, p.choice.candidates)
	d.LocalEvacuated, d.HeldBack = p.choice.excluded.localEvacuated, p.choice.excluded.localCold
	return d
}

// placement is the target chosen for a new flow, or the decision for one that gets none.
type placement struct {
	service   service.ID
	params    flowParams
	choice    choice
	rejection Decision // valid if choice.load is nil
}

// choosePlacement chooses a target for a new flow without giving it the flow. The services of
// the route are tried in order, starting with the share that the flow hashes to.
func (f *Forwarder) choosePlacement(now time.Duration, s *Segment, r *view.Route, exclude *targetLoad, c *chooser, targets func(service.ID) *serviceTargets) (out placement) {
	first := pickShare(r.Shares, s.Flow.Hash())
	// A copy that the network made of a first packet is not marked, but its original was forwarded.
	retransmitted := s.Ack > 0 || exclude != nil
	p := &out.params
	*p = flowParams{route: r, exclude: exclude, maxLatency: latencyLimit(r, retransmitted)}
	p.flow, p.byClass = f.overloadParams(now, s, r, retransmitted)
	if !retransmitted && f.linkFull(now, r) {
		out.rejection = Decision{Verdict: Reset, Reason: LinkFull, Route: r}
		return out
	}
	var excluded exclusions
	for n := range r.Shares {
		out.service = r.Shares[(first+n)%len(r.Shares)].Service
		p.coldRate = f.View.Config().ColdRates[out.service]
		out.choice = c.choose(now, f.View, targets(out.service), *p)
		excluded.add(out.choice.excluded)
		if out.choice.rejected {
			out.rejection = Decision{Verdict: Reset, Reason: out.choice.overloadReason(p), Route: r, Load: out.choice.report()}
			return out
		}
		if out.choice.load != nil {
			return out
		}
	}
	out.rejection = f.noTarget(now, r, retransmitted, excluded)
	return out
}

// noTarget decides on a first packet for which no target is left. Targets that may not serve
// the flow are a reason to reject it at once, unless it is a retransmission, whose original
// may have opened the flow through another instance.
func (f *Forwarder) noTarget(now time.Duration, r *view.Route, retransmitted bool, excluded exclusions) Decision {
	d := Decision{Verdict: Reset, Reason: NoTarget, Route: r}
	switch {
	case excluded.any():
		d.Reason = excluded.reason()
		if retransmitted {
			d.Verdict = Drop
		}
	case f.View.MayLackTargets(now):
		d.Verdict = Drop
	}
	return d
}

func (f *Forwarder) forwardTo(l *targetLoad, r *view.Route, reason Reason, candidates int) Decision {
	return Decision{Verdict: Forward, Reason: reason, Target: l.target, Token: l.target.Token, Route: r, Load: l.report(candidates)}
}
