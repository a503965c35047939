package forwarding

import (
	"math"
	"math/rand/v2"
	"time"

	"guavaloom.example/guavaloom/internal/service"
	"guavaloom.example/guavaloom/internal/view"
)

const (
	// minBackoff and maxBackoff bound how long a silent target gets no new flows
	// before one is tried again. The pause doubles with each trial that fails.
	minBackoff = time.Second
	maxBackoff = 4 * time.Second
	// idleFlowSlots is the load of an open flow without a request in flight, in slots: a
	// long flow sends about one request a second that takes some 40 ms.
	idleFlowSlots = 0.05
	// warmUpCostFactor is how much more a request costs on a target that is warming up.
	warmUpCostFactor = 1.6
	// responseTimeout is how long a request may stay without an answer before it
	// counts as unanswered: longer than answers take in the users' worst bursts.
	responseTimeout = 1200 * time.Millisecond
	// failureWeight is the weight of a new outcome in the share of unanswered
	// requests, which falls by half in failureHalfLife so that a target is tried
	// again. failurePenalty is the load of a target that answers nothing.
	failureWeight   = 0.3
	failureHalfLife = 5 * time.Second
	failurePenalty  = 4.0
	// minFailureShare is the share below which a target counts as sound: a remainder
	// must not decide between targets that are otherwise equal.
	minFailureShare = 0.02
	// latencyWeight is the weight of a new sample in the mean latency.
	latencyWeight = 0.2
)

// targetLoad is what this instance has seen of a target.
type targetLoad struct {
	target *view.Target
	// service is the one in whose list it is.
	service service.ID
	// incarnation is that of the target's run which the rest was seen of.
	incarnation int64
	// opening, open and busy count flows: first packets without an answer, open
	// ones, and open ones with a request that has not been answered.
	opening, open, busy int
	// lastResponseAt is when the target last showed a sign of life.
	lastResponseAt time.Duration
	// lastPlacement orders targets by their last new flow, tieBreak those without one.
	lastPlacement, tieBreak uint64
	// backoffUntil is the end of the pause for new flows; silent tells whether the
	// target has shown no sign of life since the pause began.
	backoffUntil time.Duration
	backoff      time.Duration
	silent       bool
	// latency is the mean time from the last packet of a request to the
	// acknowledgement of its answer, as of latencyAt; 0 if there is no sample.
	latency, latencyAt time.Duration
	// failureShare is the share of requests that stayed unanswered, as of failureShareAt.
	failureShare   float64
	failureShareAt time.Duration
}

// newTargetLoad returns the load of a target of which nothing was seen. Its order is random:
// instances that start together would otherwise all give their first flows to the same
// targets, and go on in the same order.
func newTargetLoad() *targetLoad { return &targetLoad{tieBreak: rand.Uint64()} }

// currentFailureShare returns the share of unanswered requests, which fades with time.
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

// setTarget takes the target's present entry. What was seen of silence and latency
// holds for one run of the target only.
func (l *targetLoad) setTarget(t *view.Target) {
	if l.target != nil && l.incarnation != t.Incarnation {
		l.silent, l.backoff, l.backoffUntil, l.latency, l.lastResponseAt, l.failureShare = false, 0, 0, 0, 0, 0
	}
	l.target, l.service, l.incarnation = t, t.Service, t.Incarnation
}

// recordResponse records a sign of life and reports whether it ended a suspicion.
func (l *targetLoad) recordResponse(now time.Duration) (cleared bool) {
	cleared = l.silent
	l.lastResponseAt, l.silent, l.backoff, l.backoffUntil = now, false, 0, 0
	return cleared
}

// recordRetransmission records that a packet sent at the given time had no effect until the
// client repeated it. It reports whether the target is newly suspected: it has
// shown no sign of life on any flow since.
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

// avoided reports whether the target should get no new flow now: it is silent, and
// either no trial is due yet or one is under way.
func (l *targetLoad) avoided(now time.Duration) bool {
	return l.silent && (now < l.backoffUntil || l.opening > 0)
}

// recordLatency records the latency of a request.
func (l *targetLoad) recordLatency(now, latency time.Duration) {
	l.latencyAt = now
	if l.latency == 0 {
		l.latency = latency
		return
	}
	l.latency += time.Duration(latencyWeight * float64(latency-l.latency))
}

// utilization returns the estimated part of the target's slots that is in use now, where
// this instance sees one of so many equal parts of the target's work.
func (l *targetLoad) utilization(now time.Duration, instances int) float64 {
	work := float64((l.busy+l.opening)*instances) / float64(l.target.Slots)
	if now < l.target.WarmAt {
		work = work*warmUpCostFactor + warmUpCostFactor - 1
	}
	return work + failurePenalty*l.currentFailureShare(now)
}

// idleUtilization returns the part of the slots that open flows without a request are
// expected to use.
func (l *targetLoad) idleUtilization(instances int) float64 {
	return idleFlowSlots * float64(max(l.open-l.busy, 0)*instances) / float64(l.target.Slots)
}

// LoadReport is the part of a target's load that a decision was based on.
type LoadReport struct {
	Open, Busy int
	Latency    time.Duration
	// Candidates is how many targets could have been chosen.
	Candidates int
	// Late is how many of them answered late, where a flow was turned away for that. Busy
	// is then that of all targets of the data centre.
	Late int
}

func (l *targetLoad) report(candidates int) LoadReport {
	return LoadReport{Open: l.open, Busy: l.busy, Latency: l.latency, Candidates: candidates}
}
