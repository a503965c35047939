package forwarding

import (
	"math"
	"math/rand/v2"
	"time"

	"guavaloom.example/guavaloom/internal/service"
	"guavaloom.example/guavaloom/internal/view"
)

const (
	// minBackoff and maxBackoff bound how long a silent target gets no new flows before it
	// is retried. The backoff doubles with each failed retry.
	minBackoff = time.Second
	maxBackoff = 4 * time.Second
	// idleFlowSlots is the load of an open flow without a request in flight, in slots: a
	// long flow sends about one request a second, which takes some 40 ms.
	idleFlowSlots = 0.05
	// warmUpCostFactor is the cost of a request on a target that is warming up, relative to
	// a warm one.
	warmUpCostFactor = 1.6
	// responseTimeout is how long a request may go without an answer before it counts as
	// unanswered: longer than answers take in the users' worst bursts.
	responseTimeout = 1200 * time.Millisecond
	// failureWeight is the weight of a new outcome in the share of unanswered requests. The
	// share halves every failureHalfLife so that a failing target is retried.
	// failurePenalty is the load added to a target that answers nothing.
	failureWeight   = 0.3
	failureHalfLife = 5 * time.Second
	failurePenalty  = 4.0
	// minFailureShare is the share below which failures are ignored, so that a small
	// remainder doesn't decide between otherwise equal targets.
	minFailureShare = 0.02
	// latencyWeight is the weight of a new sample in the moving average of the latency.
	latencyWeight = 0.2
)

// targetLoad is the load and responsiveness of a target as observed by this instance.
type targetLoad struct {
	target *view.Target
	// service and zone are the service and data centre under which the target is listed.
	service service.ID
	zone    string
	// forgotten is set when the view has forgotten the target. Flows refer to the load itself, so
	// that they find this in place of a missing one.
	forgotten bool
	// incarnation identifies the target's run to which the observations apply.
	incarnation int64
	// opening, open and busy count flows: those whose first packet is unanswered, open
	// ones, and open ones with a request in flight.
	opening, open, busy int
	// lastResponseAt is when the target was last seen to respond.
	lastResponseAt time.Duration
	// lastPlacement orders targets by their last new flow, tieBreak those that had none.
	lastPlacement, tieBreak uint64
	// backoffUntil is the end of the backoff for new flows; silent is set if the target has
	// not responded since the backoff began.
	backoffUntil time.Duration
	backoff      time.Duration
	silent       bool
	// latency is the mean time from the last packet of a request to the acknowledgement of
	// its answer, last updated at latencyAt; 0 if there is no sample.
	latency, latencyAt time.Duration
	// refusedAt is when the target last refused a request; 0 if it never did.
	refusedAt time.Duration
	// failureShare is the share of unanswered requests at failureShareAt.
	failureShare   float64
	failureShareAt time.Duration
	// pace is the pace of a target of the own data centre, if targets are paced.
	pace targetPace
	cold *coldTarget // nil if the target was not found cold
	// reported is what is exchanged with other instances about the target; nil without reports.
	reported *reportedState
}

// newTargetLoad returns the load of a target without observations. The tie-break is random:
// instances that start together would otherwise all give their first flows to the same
// targets, and continue in the same order.
func newTargetLoad() *targetLoad { return &targetLoad{tieBreak: rand.Uint64()} }

// currentFailureShare returns the share of unanswered requests, decayed to the given time.
func (l *targetLoad) currentFailureShare(now time.Duration) float64 {
	if l.failureShare == 0 {
		return 0
	}
	share := l.failureShare * math.Exp2(-float64(now-l.failureShareAt)/float64(failureHalfLife))
	if share < minFailureShare {
		return 0
	}
	return share
}

// recordOutcome records whether a request was answered.
func (l *targetLoad) recordOutcome(now time.Duration, answered bool) {
	l.failureShare = l.currentFailureShare(now) * (1 - failureWeight)
	l.failureShareAt = now
	if !answered {
		l.failureShare += failureWeight
	}
}

// setTarget sets the target's current entry. Observations of silence, latency and failures
// are reset if the target has restarted.
func (l *targetLoad) setTarget(t *view.Target) {
	if l.target != nil && l.incarnation != t.Incarnation {
		l.silent, l.backoff, l.backoffUntil, l.latency, l.lastResponseAt, l.failureShare, l.refusedAt = false, 0, 0, 0, 0, 0, 0
		l.reported.reset()
	}
	l.target, l.service, l.zone, l.incarnation = t, t.Service, t.Zone, t.Incarnation
}

// recordResponse records that the target responded and reports whether that cleared a
// suspicion.
func (l *targetLoad) recordResponse(now time.Duration) (cleared bool) {
	cleared = l.silent
	l.lastResponseAt, l.silent, l.backoff, l.backoffUntil = now, false, 0, 0
	return cleared
}

// recordRetransmission records that a packet sent at the given time had no effect until the
// client retransmitted it. It reports whether the target is newly suspected: it has not
// responded on any flow since.
func (l *targetLoad) recordRetransmission(now, sentAt time.Duration) (suspected bool) {
	if l.lastResponseAt > sentAt {
		return false // the packet or its answer was lost
	}
	if now < l.backoffUntil {
		return false
	}
	suspected = !l.silent
	l.silent = true
	l.backoff = min(max(2*l.backoff, minBackoff), maxBackoff)
	l.backoffUntil = now + l.backoff
	return suspected
}

// avoided reports whether the target should get no new flow now: it is silent, as observed here
// or by other instances, and either the backoff has not expired or a retry is in progress.
func (l *targetLoad) avoided(now time.Duration) bool {
	if !l.silent {
		return l.reported != nil && l.avoidedByReports(now)
	}
	return now < l.backoffUntil || l.opening > 0
}

// recordLatency adds the latency of a request to the moving average.
func (l *targetLoad) recordLatency(now, latency time.Duration) {
	l.latencyAt = now
	l.reported.addAnswer(now)
	if l.latency == 0 {
		l.latency = latency
		return
	}
	l.latency += time.Duration(latencyWeight * float64(latency-l.latency))
}

// utilization returns the estimated fraction of the target's slots in use, given how many
// instances share the target's load equally. It includes the penalties for warm-up and
// failures.
func (l *targetLoad) utilization(now time.Duration, instances int) float64 {
	work := float64((l.busy+l.opening)*instances) / float64(l.target.Slots)
	if now < l.target.WarmAt {
		work = work*warmUpCostFactor + warmUpCostFactor - 1
	}
	return work + failurePenalty*l.currentFailureShare(now)
}

// idleUtilization returns the fraction of the slots that open flows without a request in
// flight are expected to use.
func (l *targetLoad) idleUtilization(instances int) float64 {
	return idleFlowSlots * float64(max(l.open-l.busy, 0)*instances) / float64(l.target.Slots)
}

// LoadReport is the load of a target on which a decision was based.
type LoadReport struct {
	Open, Busy int
	Latency    time.Duration
	// Candidates is how many targets were eligible.
	Candidates int
	// Late is how many local targets answered late if a flow was rejected as Overloaded.
	// Busy is then the sum over those of the data centre.
	Late int
	// Pace is the pace of the target, 0 if it is not paced. Only Load and Explain set it.
	Pace float64
}

func (l *targetLoad) report(candidates int) LoadReport {
	return LoadReport{Open: l.open, Busy: l.busy, Latency: l.latency, Candidates: candidates}
}
