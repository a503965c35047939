package admission

import (
	"math"
	"math/rand"
	"time"

	"guavaloom.example/guavaloom/internal/target"
)

// targetState holds the attempts and limits of this instance on one target.
type targetState struct {
	Target
	inflight       int
	borrowed       int     // of inflight, on slots owned by other instances
	borrowWindow   int     // limit of borrowed
	healthFactor   float64 // 0.25 to 1; falls when attempts are shed or fail
	reportedLoad   float64
	activeSince    time.Duration
	notBefore      time.Duration
	backoff        time.Duration
	borrowAfter    time.Duration
	borrowPause    time.Duration
	servedBorrowed int // borrowed attempts served since borrowWindow last changed
	// State of the DelayGradient strategy.
	gradientLimit float64
	minLatency    time.Duration
	meanLatency   time.Duration
}

func (t *targetState) ready(now time.Duration) bool {
	return t.State == target.Active && now >= t.notBefore
}

// score ranks targets, lowest first, by the attempts of this instance and the health
// factor. The reported load counts as at most a fifth of an attempt.
func (t *targetState) score() float64 {
	return (float64(t.inflight) + 1 - t.healthFactor) + reportedLoadWeight*t.reportedLoad
}

func (t *targetState) ramping(now, cold time.Duration) bool { return now-t.activeSince < cold }

// capacityShare returns the share of its slots that the target may use, which depends
// on its health and grows during its cold start.
func (t *targetState) capacityShare(now, cold time.Duration) float64 {
	if !t.ramping(now, cold) {
		return t.healthFactor
	}
	// Ramp up in four steps of 25 %, as flow services do.
	step := math.Ceil(4 * float64(now-t.activeSince+1) / float64(cold))
	return t.healthFactor * min(1, step/4)
}

// usableOwned returns how many owned slots may be in use now. A share below one slot
// still allows one attempt; delayNext then spaces the attempts.
func (t *targetState) usableOwned(now, cold time.Duration) int {
	if t.Owned == 0 {
		return 0
	}
	return max(1, int(float64(t.Owned)*t.capacityShare(now, cold)+0.5))
}

// attemptEnded adjusts the target's limits to the result of an attempt.
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

// delayNext delays the next attempt if the usable share is less than one slot, so that
// the slot is in use for that share of the time.
func (t *targetState) delayNext(now, latency, cold time.Duration) {
	if part := float64(t.Owned) * t.capacityShare(now, cold); part > 0 && part < 1 {
		t.notBefore = max(t.notBefore, now+time.Duration(float64(latency)*(1/part-1)))
	}
}

// growBorrowWindow widens the borrow window by one after four windows of served
// borrowed attempts.
func (t *targetState) growBorrowWindow() {
	t.servedBorrowed++
	if t.servedBorrowed >= 4*t.borrowWindow && t.borrowWindow < t.Slots {
		t.borrowWindow, t.servedBorrowed = t.borrowWindow+1, 0
	}
}

func (t *targetState) backOff(now, first time.Duration, rng *rand.Rand) {
	t.backoff = min(maxBackoff, max(first, 2*t.backoff))
	// Jitter keeps the instances from retrying the target at the same time.
	t.notBefore = now + jittered(t.backoff, rng)
}

func jittered(d time.Duration, rng *rand.Rand) time.Duration {
	return d/2 + time.Duration(rng.Int63n(int64(d)))
}

// updateGradient adjusts the limit of the DelayGradient strategy to the ratio of the
// minimum latency to the mean latency.
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

// TargetCapacity is a target with the number of free slots of this instance.
type TargetCapacity struct {
	Target
	Free int // owned slots that no attempt holds
}

// Capacities returns the targets and their free slots, ordered by ID.
func (g *Gate) Capacities() []TargetCapacity {
	capacities := make([]TargetCapacity, 0, len(g.targets))
	for _, t := range g.targets {
		capacities = append(capacities, TargetCapacity{Target: t.Target, Free: max(t.Owned-(t.inflight-t.borrowed), 0)})
	}
	return capacities
}
