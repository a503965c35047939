package forwarding

import (
	"time"

	"guavaloom.example/guavaloom/internal/overload"
	"guavaloom.example/guavaloom/internal/service"
	"guavaloom.example/guavaloom/internal/view"
)

// Admission by class under overload (Limits.Overload): package overload decides, and replaces
// the rule in admission.go. The methods here do nothing while it is off.

// OverloadObserver is implemented by an Observer that reports overload. Its methods must not
// block.
type OverloadObserver interface {
	// ServiceFull is called when a service becomes full and when it recovers.
	ServiceFull(now time.Duration, id service.ID, full bool, l LoadReport)
	// ObserveOverload is called for each new flow of a full service, and for each one that is
	// rejected or placed elsewhere for overload.
	ObserveOverload(c overload.Class, o overload.Outcome)
}

// overloadState is the state for all services; nil while admission by class is off.
type overloadState struct {
	clients  overload.Clients
	link     overload.Link
	observer OverloadObserver // nil if overload is not reported
}

func newOverloadState(l Limits, o Observer) *overloadState {
	if !l.Overload {
		return nil
	}
	s := &overloadState{link: overload.Link{Rate: l.LinkRate}}
	s.observer, _ = o.(OverloadObserver)
	return s
}

// overloadParams returns the properties of a new flow for the decision; ok is false if the
// flow is not subject to it. A retransmitted first packet is never rejected: its original may
// have opened the flow through another instance.
func (f *Forwarder) overloadParams(now time.Duration, s *Segment, r *view.Route, retransmitted bool) (out overload.Flow, ok bool) {
	if f.overload == nil || retransmitted {
		return out, false
	}
	return overload.Flow{
		Class:     overload.Class{Priority: r.Priority, Kind: r.Kind},
		Objective: r.Objective, Deadline: r.Deadline,
		Repeated: f.overload.clients.Rejected(now, s.Flow.Client.Addr),
	}, true
}

// packetOverhead is the size of a packet's headers in bytes: that of the packet, the target's
// key, IP and UDP.
const packetOverhead = 36 + 8 + 28

// useLink records that a packet passes the instance's link.
func (f *Forwarder) useLink(now time.Duration, s *Segment) {
	if f.overload != nil {
		f.overload.link.Use(now, packetOverhead, len(s.Data))
	}
}

// linkFull reports whether a new flow must be rejected because the instance's link has no room
// for it. It must not be asked for a retransmitted first packet, whose original may have opened
// the flow. Flows of the highest priority are never rejected.
func (f *Forwarder) linkFull(now time.Duration, r *view.Route) bool {
	return f.overload != nil && r.Priority != view.HighestPriority && !f.overload.link.Admits(now, r.Kind)
}

// arrive records a new flow and returns the latency above which targets are late for it.
func (s *serviceTargets) arrive(now time.Duration, p *flowParams) time.Duration {
	s.admission.Arrive(now, p.flow)
	return s.admission.MaxLatency(now, p.flow)
}

// mustDivert reports whether a flow may not go to the own data centre's targets.
func (c *chooser) mustDivert(now time.Duration, s *serviceTargets, p *flowParams, local *zoneLoad) bool {
	if !p.byClass {
		return p.maxLatency > 0 && local.overloaded(c.instances)
	}
	return !s.admission.Admits(now, p.flow, overload.Load{
		InFlight: local.busy, Instances: c.instances, Targets: local.targets, Late: local.late, Slots: local.slots,
	})
}

// mustDivertRemote decides for a data centre without usable targets, whose flows all go to
// other ones.
func (s *serviceTargets) mustDivertRemote(now time.Duration, p *flowParams, instances int, local *zoneLoad, remote *remoteCandidates) bool {
	return p.byClass && local.slots == 0 && !s.admission.AdmitsRemote(now, p.flow, remote.load(instances))
}

// load returns the load of the remote targets as far as this data centre's flows cause it.
func (e *remoteCandidates) load(instances int) overload.Remote {
	return overload.Remote{
		Load:     overload.Load{InFlight: e.busy, Instances: instances, Targets: e.targets, Late: e.late, Slots: e.slots},
		Measured: e.measured, Fastest: e.fastest,
	}
}

// recordAdmission records what became of a new flow.
func (f *Forwarder) recordAdmission(now time.Duration, s *Segment, id service.ID, p *flowParams, c *choice) {
	if f.overload != nil && c.load != nil {
		f.overload.link.Count(now, p.route.Kind)
	}
	t := f.services[id]
	if !p.byClass || t == nil || c.load == nil && !c.rejected {
		return
	}
	outcome := overload.Admitted
	switch {
	case c.rejected:
		outcome = overload.Rejected
		f.overload.clients.Reject(now, s.Flow.Client.Addr)
	case c.diverted:
		outcome = overload.Elsewhere
	}
	t.admission.Finish(now, p.flow, outcome)
	if f.overload.observer != nil && (t.admission.Full() || outcome != overload.Admitted) {
		f.overload.observer.ObserveOverload(p.flow.Class, outcome)
	}
	f.reportFull(now, id, t, c.report())
}

// reportFull reports a change of a service's full state.
func (f *Forwarder) reportFull(now time.Duration, id service.ID, t *serviceTargets, l LoadReport) {
	full := t.admission.Full()
	if full == t.reportedFull {
		return
	}
	t.reportedFull = full
	if f.overload.observer != nil {
		f.overload.observer.ServiceFull(now, id, full, l)
	}
}

// tickOverload ends the full state of services that get no flows any more.
func (f *Forwarder) tickOverload(now time.Duration) {
	if f.overload == nil {
		return
	}
	for id, t := range f.services {
		t.admission.Tick(now)
		f.reportFull(now, id, t, LoadReport{})
	}
}

// FullServices returns the number of services that are full.
func (f *Forwarder) FullServices() (n int) {
	for _, t := range f.services {
		if t.admission.Full() {
			n++
		}
	}
	return n
}

// requestRan records an answer and reports whether its latency is that of a request that ran.
func (f *Forwarder) requestRan(now time.Duration, flow FlowID, l *targetLoad, took time.Duration) bool {
	if f.overload == nil {
		return true
	}
	t, r := f.services[l.service], f.View.Route(flow.Service)
	if t == nil || r == nil {
		return true
	}
	class := overload.Class{Priority: r.Priority, Kind: r.Kind}
	if l.zone != f.chooser.zone {
		return t.admission.AnswerElsewhere(now, class, took)
	}
	return t.admission.Answer(now, class, took)
}

// recordTurnedAway records that a target refused a request or failed it.
func (f *Forwarder) recordTurnedAway(now time.Duration, l *targetLoad) {
	if t := f.services[l.service]; f.overload != nil && t != nil && l.zone == f.chooser.zone {
		t.admission.TurnAway(now)
	}
}

// overloadReason returns the reason for a rejection: an operator has to know first that the own
// data centre is evacuated or not a home of the route.
func (c *choice) overloadReason(p *flowParams) Reason {
	if p.byClass && c.local.targets == 0 && c.excluded.any() {
		return c.excluded.reason()
	}
	return Overloaded
}
