package forwarding

import (
	"time"

	"guavaloom.example/guavaloom/internal/service"
	"guavaloom.example/guavaloom/internal/view"
)

// Examined is a target that was examined for a new flow.
type Examined struct {
	Target *view.Target
	// Skipped is why the target could not be chosen; empty for a candidate.
	Skipped Reason
	// Utilization and Cost are what the candidates are ranked by. Reliable is false for those
	// that are chosen only if no other is left.
	Utilization, Cost float64
	Reliable          bool
	Load              LoadReport
}

// NotAccepting is the reason why a target is skipped that drains, has ended or is unreadable.
const NotAccepting Reason = "not_accepting"

func (c *chooser) traceCandidate(o *candidate, reliable bool) {
	if c.trace != nil {
		c.trace(Examined{
			Target: o.load.target, Utilization: o.utilization, Cost: o.cost, Reliable: reliable, Load: o.load.reportPaced(),
		})
	}
}

func (c *chooser) traceSkipped(now time.Duration, v *view.View, l *targetLoad) {
	if c.trace == nil {
		return
	}
	reason := NotAccepting
	if v.AcceptsNewFlows(now, l.target) {
		reason = Cold
	}
	c.trace(Examined{Target: l.target, Skipped: reason, Load: l.reportPaced()})
}

// reportPaced returns the load with the pace of the target.
func (l *targetLoad) reportPaced() LoadReport {
	r := l.report(0)
	if l.pace.running {
		r.Pace = l.pace.Value()
	}
	return r
}

// Explanation is where a new flow would go.
type Explanation struct {
	Decision Decision
	// Service is the service of the route from which the target was chosen, or the last tried.
	Service  service.ID
	Examined []Examined
	// Full means that the service is full, and Instances is how many share its local targets.
	Full      bool
	Instances int
}

// Explain returns where a new flow would go now, by the same choice as for a first packet. The
// flow is not placed, and nothing is recorded.
func (f *Forwarder) Explain(now time.Duration, flow FlowID) (out Explanation) {
	if !f.View.Complete() {
		out.Decision = Decision{Verdict: Hold, Reason: NotReady}
		return out
	}
	r := f.View.Route(flow.Service)
	if r == nil {
		out.Decision = f.noRoute(now)
		return out
	}
	c := f.chooser
	out.Instances = c.instances
	c.trace = func(e Examined) { out.Examined = append(out.Examined, e) }
	copies := map[service.ID]*serviceTargets{}
	targets := func(id service.ID) *serviceTargets {
		s := f.services[id]
		if s == nil {
			return nil
		}
		copied := *s // the admission state counts arrivals
		copies[id] = &copied
		return &copied
	}
	p := f.choosePlacement(now, &Segment{Flow: flow, SYN: true}, r, nil, &c, targets)
	out.Service, out.Decision = p.service, p.rejection
	if l := p.choice.load; l != nil {
		out.Decision = f.forwardTo(l, r, Placed, p.choice.candidates)
	}
	if s := copies[p.service]; s != nil {
		out.Full = s.admission.Full()
	}
	return out
}
