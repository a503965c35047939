package admission

import (
	"math"
	"math/rand"
	"time"

	"guavaloom.example/guavaloom/internal/target"
)

// targetState is what this instance has observed about one target.
type targetState struct {
	Target
	inflight       int
	borrowed       int // of inflight, on others' slots
	borrowWindow   int // largest number of borrowed attempts
	healthFactor   float64
	reportedLoad   float64
	activeSince    time.Duration
	notBefore      time.Duration
	backoff        time.Duration
	borrowAfter    time.Duration
	borrowPause    time.Duration
	servedBorrowed int // served borrowed attempts since the window last grew
	// State of the delay-gradient strategy.
	gradientLimit float64
	minLatency    time.Duration
	meanLatency   time.Duration
}

func (t *targetState) ready(now time.Duration) bool {
	return t.State == target.Active && now >= t.notBefore
}

// score orders targets by own counts. The reported load weighs at most 20 %.
func (t *targetState) score() float64 {
	return (float64(t.inflight) + 1 - t.healthFactor) + reportedLoadWeight*t.reportedLoad
}

func (t *targetState) ramping(now, cold time.Duration) bool { return now-t.activeSince < cold }

// capacityShare is the part of its slots that a target takes during its cold start.
func (t *targetState) capacityShare(now, cold time.Duration) float64 {
	if !t.ramping(now, cold) {
		return t.healthFactor
	}
	// Four steps of 25 %, as for flow services.
	step := math.Ceil(4 * float64(now-t.activeSince+1) / float64(cold))
	return t.healthFactor * min(1, step/4)
}

// usableOwned is how many owned slots may be in use now. A share below one slot
// still allows one attempt; delayNext then spaces the attempts.
func (t *targetState) usableOwned(now, cold time.Duration) int {
	if t.Owned == 0 {
		return 0
	}
	return max(1, int(float64(t.Owned)*t.capacityShare(now, cold)+0.5))
}

// attemptEnded adapts the target's limits to the result of an attempt.
func (t *targetState) attemptEnded(now time.Duration, a attempt, r Result, latency, cold time.Duration, rng *rand.Rand) {
	t.delayNext(now, latency, cold)
	switch r {
	case Served:
		t.backoff = 0
		t.healthFactor = min(1, t.healthFactor+0.02)
		if a.borrowed {
			t.borrowPause = 0
			t.growBorrowWindow()
		}
		t.updateGradient(latency)
	case Shed:
		if a.borrowed {
			t.borrowWindow, t.servedBorrowed = max(1, t.borrowWindow/2), 0
			t.borrowPause = min(maxBackoff, max(borrowBackoff, 2*t.borrowPause))
			t.borrowAfter = now + jittered(t.borrowPause, rng)
		} else {
			t.healthFactor = max(0.25, t.healthFactor*0.95)
			t.backOff(now, ownBackoff, rng)
		}
		t.gradientLimit = max(1, t.gradientLimit*0.7)
	case Failed:
		t.healthFactor = max(0.25, t.healthFactor*0.8)
		t.gradientLimit = max(1, t.gradientLimit*0.7)
		t.backOff(now, borrowBackoff, rng)
	case Drained:
		t.notBefore = now + drainBackoff
	case Canceled:
	}
}

// delayNext leaves a gap after an attempt when the target's share is less than one slot.
func (t *targetState) delayNext(now, latency, cold time.Duration) {
	if part := float64(t.Owned) * t.capacityShare(now, cold); part > 0 && part < 1 {
		t.notBefore = max(t.notBefore, now+time.Duration(float64(latency)*(1/part-1)))
	}
}

// growBorrowWindow widens the borrow window by one after a full window of served attempts.
func (t *targetState) growBorrowWindow() {
	t.servedBorrowed++
	if t.servedBorrowed >= 4*t.borrowWindow && t.borrowWindow < t.Slots {
		t.borrowWindow, t.servedBorrowed = t.borrowWindow+1, 0
	}
}

func (t *targetState) backOff(now, first time.Duration, rng *rand.Rand) {
	t.backoff = min(maxBackoff, max(first, 2*t.backoff))
	// Jitter keeps instances from returning to the target together.
	t.notBefore = now + jittered(t.backoff, rng)
}

func jittered(d time.Duration, rng *rand.Rand) time.Duration {
	return d/2 + time.Duration(rng.Int63n(int64(d)))
}

// updateGradient follows the ratio of the least to the mean latency (delay-gradient strategy).
func (t *targetState) updateGradient(latency time.Duration) {
	if t.minLatency == 0 || latency < t.minLatency {
		t.minLatency = latency
	}
	if t.meanLatency == 0 {
		t.meanLatency = latency
	}
	t.meanLatency += (latency - t.meanLatency) / 10
	ratio := min(1, max(0.5, 2*float64(t.minLatency)/float64(max(t.meanLatency, 1))))
	t.gradientLimit = min(4*float64(t.Slots), 0.9*t.gradientLimit+0.1*(t.gradientLimit*ratio+math.Sqrt(t.gradientLimit)))
}

func (t *targetState) strategyLimit(k LimitKind) int {
	if k == StaticLimit {
		return t.Slots
	}
	return max(1, int(t.gradientLimit))
}

// TargetCapacity is a target with what this instance may use of it now.
type TargetCapacity struct {
	Target
	Free int // owned slots without an attempt
}

// Capacities returns the targets in order of their IDs.
func (g *Gate) Capacities() []TargetCapacity {
	loads := make([]TargetCapacity, 0, len(g.targets))
	for _, t := range g.targets {
		loads = append(loads, TargetCapacity{Target: t.Target, Free: max(t.Owned-(t.inflight-t.borrowed), 0)})
	}
	return loads
}
