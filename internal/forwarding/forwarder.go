package forwarding

import (
	"time"

	"guavaloom.example/guavaloom/internal/service"
	"guavaloom.example/guavaloom/internal/target"
	"guavaloom.example/guavaloom/internal/targetreport"
	"guavaloom.example/guavaloom/internal/view"
)

const (
	// minRetransmitInterval is the shortest time after which a client retransmits a packet.
	minRetransmitInterval = 200 * time.Millisecond
	// stallThreshold is the gap between two packets or ticks above which this process is
	// taken to have stalled: ticks come every 500 ms.
	stallThreshold = 1200 * time.Millisecond
	// unknownTokenGrace is how long a token may be unknown before its flow is reset. The
	// entry of a target that has just started may not have arrived yet.
	unknownTokenGrace = 2 * time.Second
	// maxUnknownTokens bounds how many unknown tokens are remembered.
	maxUnknownTokens = 1024
)

// Limits are the time limits that depend on the deployment.
type Limits struct {
	// MaxConfigAge is the age up to which the configuration may be used to reject a flow
	// that has no route. It exceeds the duration of a watch of the store.
	MaxConfigAge time.Duration
	// EvacuationRepeat is how long after an evacuation became known a retransmitted first
	// packet still goes to the target that the original was sent to.
	EvacuationRepeat time.Duration
	// DetectRefusals enables telling answers that are refusals or errors by their size.
	DetectRefusals bool
	// Overload enables admission by class while a service's targets are full.
	Overload bool
	// LinkRate is the rate of the instance's network link in bytes a second; 0 if it is unknown.
	LinkRate float64
	// Pace enables the pacing of local targets.
	Pace bool
}

// Event reports that a target became suspected or was cleared, or that its pacing began or ended.
type Event struct {
	Target *view.Target
	Kind   EventKind
	// SilentFor is the time since the target last responded, 0 if it never did.
	SilentFor time.Duration
	// Pace is the target's pace and Cause why its pacing began.
	Pace  float64
	Cause PaceCause
}

// EventKind is the kind of an Event.
type EventKind string

// Kinds of events.
const (
	Suspected EventKind = "suspected"
	Cleared   EventKind = "cleared"
	Paced     EventKind = "paced"
	FullPace  EventKind = "at full pace"
)

// Observer receives events and timings from a Forwarder. Its methods must not block.
type Observer interface {
	Event(now time.Duration, e Event)
	// ObserveSpan is called with the duration of a completed span of a flow.
	ObserveSpan(s Span, d time.Duration)
}

// Span is a timed part of a flow's lifetime.
type Span int

// Spans of a flow. The first three begin with its first packet; retransmissions that are
// placed again don't begin another one.
const (
	// Opening ends with the client's acknowledgement of the target's answer to the first
	// packet.
	Opening Span = iota
	// FirstData ends with the first packet that carries data.
	FirstData
	// FirstAnswer ends with the client's acknowledgement of the first answer.
	FirstAnswer
	// Answer begins with the last packet of a request and ends with the client's
	// acknowledgement of its answer.
	Answer
	spans
)

var spanNames = [spans]string{"opening", "first_data", "first_answer", "answer"}

// String returns the span's name as used in the metrics.
func (s Span) String() string { return spanNames[s] }

// Forwarder decides how each packet is handled. It is not safe for concurrent use.
type Forwarder struct {
	View *view.View

	limits        Limits
	chooser       chooser
	overload      *overloadState
	flows         *flowTable
	loads         map[target.ID]*targetLoad
	services      map[service.ID]*serviceTargets
	observer      Observer
	answerSizes   map[view.Endpoint]*answerSizes
	unknownTokens map[uint32]time.Duration // first seen, by token
	placements    uint64
	// reports holds the reports of other instances; nil without reports.
	reports *targetreport.Merger
	// lastActivityAt is the time of the last packet or tick. stallEndedAt is the end of the
	// last stall: packets sent before it that went unanswered say nothing about their
	// target.
	lastActivityAt, stallEndedAt time.Duration
}

// New returns a forwarder for an instance in the given data centre.
func New(zone string, l Limits, v *view.View, o Observer) *Forwarder {
	return &Forwarder{
		View:          v,
		limits:        l,
		chooser:       chooser{zone: zone, instances: 1, paced: l.Pace},
		overload:      newOverloadState(l, o),
		flows:         newFlowTable(),
		loads:         map[target.ID]*targetLoad{},
		services:      map[service.ID]*serviceTargets{},
		observer:      o,
		answerSizes:   map[view.Endpoint]*answerSizes{},
		unknownTokens: map[uint32]time.Duration{},
	}
}

// SetInstances sets how many instances share the load of the data centre.
func (f *Forwarder) SetInstances(n int) { f.chooser.instances = max(n, 1) }

// Flows returns the number of flows in the table.
func (f *Forwarder) Flows() int { return len(f.flows.flows) }

// Load returns the observed load of a target, and whether new flows avoid it now.
func (f *Forwarder) Load(now time.Duration, id target.ID) (r LoadReport, suspected bool) {
	l := f.loads[id]
	if l == nil {
		return r, false
	}
	r = l.report(0)
	if f.limits.Pace && l.pace.running {
		r.Pace = l.pace.Value()
	}
	return r, l.avoided(now)
}

// UpdateTarget applies a change of a target in the view. It must be called after each
// change, and looks at that target alone: a fleet of thousands changes many times a second.
func (f *Forwarder) UpdateTarget(t *view.Target) {
	l := f.loads[t.ID]
	if l == nil {
		l = newTargetLoad()
		if f.reports != nil {
			l.reported = &reportedState{}
		}
		f.loads[t.ID] = l
	}
	first := l.target == nil
	moved := !first && (l.service != t.Service || l.zone != t.Zone)
	restarted := !first && l.incarnation != t.Incarnation
	if moved {
		f.removeFromService(l)
	}
	l.setTarget(t)
	l.pace.markChange(t, first, restarted || moved, !f.View.Complete())
	if first || moved {
		f.addToService(l)
	}
}

func (f *Forwarder) addToService(l *targetLoad) {
	s := f.services[l.service]
	if s == nil {
		s = &serviceTargets{}
		f.services[l.service] = s
	}
	s.add(l)
}

// removeFromService takes a target out of the list of its service.
func (f *Forwarder) removeFromService(l *targetLoad) {
	s := f.services[l.service]
	if s == nil {
		return
	}
	if s.remove(l); len(s.zones) == 0 {
		delete(f.services, l.service)
	}
}

// load returns the load of a target of the view.
func (f *Forwarder) load(t *view.Target) *targetLoad {
	if l := f.loads[t.ID]; l != nil {
		return l
	}
	f.UpdateTarget(t) // its change was not applied, as when processing it panicked
	return f.loads[t.ID]
}

// forget drops all that is kept under the IDs of targets that the view has forgotten. The flows
// that are left of them are dropped by the caller.
func (f *Forwarder) forget(targets []*view.Target) {
	for _, t := range targets {
		if l := f.loads[t.ID]; l != nil {
			l.forgotten = true
			f.removeFromService(l)
			delete(f.loads, t.ID)
		}
	}
}

// Handle decides on a packet that arrived at the given time.
func (f *Forwarder) Handle(now time.Duration, s *Segment) Decision {
	f.detectStall(now)
	f.useLink(now, s)
	if !f.View.Complete() {
		return Decision{Verdict: Hold, Reason: NotReady}
	}
	if s.SYN {
		return f.handleFirst(now, s)
	}
	return f.handleLater(now, s)
}

// HandleHeld decides on a packet that was held since the given time. A first packet that its
// client may have retransmitted meanwhile is not rejected: its flow may be open through another
// instance.
func (f *Forwarder) HandleHeld(now, since time.Duration, s *Segment) Decision {
	d := f.Handle(now, s)
	if s.SYN && d.Verdict == Reset && now >= since+minRetransmitInterval {
		d.Verdict = Drop
	}
	return d
}

// detectStall records the end of a stall of this process.
func (f *Forwarder) detectStall(now time.Duration) {
	if now-f.lastActivityAt > stallThreshold {
		f.stallEndedAt = now
	}
	f.lastActivityAt = now
}

// handleFirst places the first packet of a flow, or a retransmission of it. A packet that may
// have waited in a stall is not rejected: its flow may be open through another instance.
func (f *Forwarder) handleFirst(now time.Duration, s *Segment) Decision {
	d := f.decideFirst(now, s)
	if d.Verdict == Reset && f.stallEndedAt > 0 && now < f.stallEndedAt+minRetransmitInterval {
		d.Verdict = Drop
	}
	return d
}

func (f *Forwarder) decideFirst(now time.Duration, s *Segment) Decision {
	if s.ACK {
		return Decision{Reason: FromTarget}
	}
	r := f.View.Route(s.Flow.Service)
	if r == nil {
		return f.noRoute(now)
	}
	state := f.flows.flows[s.Flow]
	if state != nil && state.portReused(now, s) {
		f.flows.remove(s.Flow, state)
		state = nil
	}
	if state == nil {
		return f.place(now, s, r, nil, Placed)
	}
	if f.evacuated(now, state.load.target) {
		if state.opened {
			return Decision{Reason: Evacuated, Target: state.load.target, Route: r}
		}
	} else if state.opened || !f.silentSince(now, state) {
		// The target's answer may be in transit, and a second target must not answer too.
		if !f.ended(now, state.load) {
			state.lastSeenAt = now
			f.useAllowance(now, state.load) // the original may have been lost
			return f.forwardTo(state.load, r, Repeated, 0)
		}
	}
	f.flows.remove(s.Flow, state)
	d := f.place(now, s, r, state.load, Moved)
	if next := f.flows.flows[s.Flow]; next != nil {
		next.firstPacketAt = state.firstPacketAt
	}
	return d
}

// noRoute decides on a first packet whose endpoint has no route: it is rejected unless the
// view may lack the route.
func (f *Forwarder) noRoute(now time.Duration) Decision {
	if now > f.View.ConfigFreshAt+f.limits.MaxConfigAge || f.View.MayLackRoutes(now) {
		return Decision{Reason: RouteUnconfirmed}
	}
	return Decision{Verdict: Reset, Reason: NoRoute}
}

// evacuated reports whether a retransmitted first packet must not go to the target because
// its data centre has been evacuated for longer than an answer to the original takes.
func (f *Forwarder) evacuated(now time.Duration, t *view.Target) bool {
	known, ok := f.View.EvacuatedFor(now, t.Zone)
	return ok && known > f.limits.EvacuationRepeat
}

// silentSince reports whether the target of an opening flow has not responded since the
// flow's first packet was sent to it.
func (f *Forwarder) silentSince(now time.Duration, state *flowState) bool {
	if state.openingAt < f.stallEndedAt || now < state.openingAt+minRetransmitInterval/2 {
		return false // retransmissions that were queued here while the process was stalled
	}
	if f.recordRetransmission(now, state.load, state.openingAt) {
		return true
	}
	return state.load.lastResponseAt <= state.openingAt
}

// handleLater forwards a packet of an existing flow by its token.
func (f *Forwarder) handleLater(now time.Duration, s *Segment) Decision {
	if s.Token == 0 {
		return Decision{Reason: NoToken}
	}
	t := f.View.ByToken(s.Token)
	if t == nil {
		return f.unknownToken(now, s)
	}
	l := f.load(t)
	if !f.ended(now, l) {
		f.observe(now, s, l)
	}
	if f.ended(now, l) { // the packet just observed may have shown it
		return f.endFlow(s, t)
	}
	return Decision{Verdict: Forward, Target: t}
}

// ended reports whether a target is known to have ended: its entry was removed and did not
// return in time, or it was removed and the target did not respond before a client
// retransmitted a packet.
func (f *Forwarder) ended(now time.Duration, l *targetLoad) bool {
	return l.target.Removed && (l.forgotten || l.silent || f.View.Ended(now, l.target))
}

// endFlow resets a flow whose target has ended, so that the client can retry.
func (f *Forwarder) endFlow(s *Segment, t *view.Target) Decision {
	if state := f.flows.flows[s.Flow]; state != nil {
		f.flows.remove(s.Flow, state)
	}
	d := Decision{Verdict: Reset, Reason: TargetEnded, Target: t, Seq: s.Ack}
	if s.RST {
		d.Verdict = Drop
	}
	return d
}

// unknownToken drops a packet whose token belongs to no known target. Once the view has had
// time to learn of a new target, the target must have ended and the flow is reset.
func (f *Forwarder) unknownToken(now time.Duration, s *Segment) Decision {
	d := Decision{Reason: UnknownTarget}
	if s.RST {
		return d
	}
	since, seen := f.unknownTokens[s.Token]
	switch {
	case !seen && len(f.unknownTokens) < maxUnknownTokens:
		f.unknownTokens[s.Token] = now
	case f.View.MayLackTargets(now):
	case seen && now >= since+unknownTokenGrace && f.View.TargetsFreshAt >= since+unknownTokenGrace/2:
		d.Verdict, d.Seq = Reset, s.Ack
	}
	return d
}

// ResetFlow is a flow that has to be reset.
type ResetFlow struct {
	Flow   FlowID
	Seq    uint32
	Target *view.Target
}

// Tick expires idle flows and removed targets, and returns the open flows whose target has
// ended: their clients wait for an answer that can't arrive.
func (f *Forwarder) Tick(now time.Duration) []ResetFlow {
	f.detectStall(now)
	idle := f.View.Config().IdleTimeout
	if idle <= 0 {
		idle = defaultIdleTimeout
	}
	f.flows.expireIdle(now, idle)
	f.flows.expireRequests(now, func(s *flowState) { f.requestUnanswered(now, s) }, func(s *flowState) { f.paceWait(now, s) })
	f.tickPaces(now)
	f.tickOverload(now)
	f.pruneAnswerSizes()
	f.forget(f.View.Forget(now))
	var out []ResetFlow
	for id, state := range f.flows.flows {
		if !f.ended(now, state.load) {
			continue
		}
		if state.opened {
			out = append(out, ResetFlow{id, state.ack, state.load.target})
		}
		if state.opened || state.load.forgotten {
			f.flows.remove(id, state)
		}
	}
	for token, since := range f.unknownTokens {
		if now >= since+defaultIdleTimeout {
			delete(f.unknownTokens, token)
		}
	}
	return out
}
