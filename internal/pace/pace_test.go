package pace

import (
	"math/rand"
	"testing"
	"time"
	"unsafe"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

const (
	ms    = time.Millisecond
	usual = 40 * ms
)

func started(value float64) *Pace {
	p := &Pace{}
	p.Start(Time{}, value, 0)
	return p
}

// Guards against a new target that gets its full share at once, or waits longer than two
// seconds for it although nothing speaks against it.
func TestGrowthWithTime(t *testing.T) {
	p := started(Initial)
	p.Advance(Time{Now: time.Second})
	must.InDelta(t, 0.5, p.Value(), 0.01)
	p.Advance(Time{Now: 2 * time.Second})
	must.InDelta(t, 1, p.Value(), 0.01)
	p.Advance(Time{Now: 4 * time.Second})
	must.InDelta(t, 1, p.Value(), 0.01) // beyond 1 only with good answers
	for n := range 10 {
		p.Answer(Time{Now: 4*time.Second + time.Duration(n)*ms}, usual, usual)
	}
	must.InDelta(t, Max, p.Value(), 0.01)
}

// Guards against a permanently slower target that gets the flows of a usual one, and against
// pushing it below the share that it can serve.
func TestConvergesOnRelativeSpeed(t *testing.T) {
	for _, slow := range []float64{1.7, 3, 6, 20} {
		p := started(1)
		for n := range 40 {
			p.Answer(Time{Now: time.Duration(n) * 300 * ms}, time.Duration(slow*float64(usual)), usual)
		}
		must.InDelta(t, max(1/slow, Min), p.Value(), 0.02, must.Sprint(slow))
	}
}

// Guards against a single late answer, or several of one queue, that take away most of a
// target's flows.
func TestHalvesOncePerInterval(t *testing.T) {
	p := started(Max)
	for n := range 5 {
		p.Fail(Time{Now: time.Duration(n) * ms})
	}
	must.InDelta(t, Max/2, p.Value(), 0.02)
	p.Fail(Time{Now: halvingInterval})
	must.Less(t, Max/2, p.Value())

	p = started(Max)
	p.Answer(Time{}, 3*usual, usual)
	must.InDelta(t, Max/2, p.Value(), 0.02)
}

// Guards against a full target that turns requests away at once and counts as a fast one.
func TestRejectionsAreNoGoodAnswers(t *testing.T) {
	p := started(0.5)
	for range 20 {
		p.Answer(Time{}, 2*ms, usual)
	}
	must.InDelta(t, 0.5, p.Value(), 0.01)
}

// Guards against a slow target that is never tried again, and against one that is tried with
// its full share at once.
func TestReturnsWithoutAnswers(t *testing.T) {
	p := started(1)
	now := time.Duration(0)
	for range 20 {
		p.Answer(Time{Now: now}, 8*usual, usual)
		now += 300 * ms
	}
	must.Less(t, 0.15, p.Value())
	for end := now + 9*time.Second; now < end; now += 500 * ms {
		p.Advance(Time{Now: now})
	}
	must.Less(t, 0.15, p.Value())
	for end := now + 40*time.Second; now < end; now += 500 * ms {
		p.Advance(Time{Now: now})
	}
	must.InDelta(t, 1, p.Value(), 0.01)
}

// Guards against waiting for the answers of a target that became slow before it gets fewer
// flows, and against counting waits that are usual.
func TestWait(t *testing.T) {
	p := started(1)
	p.Wait(Time{}, 2*usual, usual)
	must.Eq(t, 1, p.Value())
	p.Wait(Time{}, 6*usual, usual)
	must.InDelta(t, 0.5, p.Value(), 0.01)
	p.Wait(Time{Now: time.Second}, 6*usual, 0) // without a usual latency
	must.Greater(t, 0.4, p.Value())
}

// Guards against reports of others that outweigh own fresh observations, and against ignoring
// them without any.
func TestObserve(t *testing.T) {
	p := started(1)
	p.Answer(Time{}, usual, usual)
	before := p.Value()
	p.Observe(Time{Now: 500 * ms}, 6, 20)
	must.Eq(t, before, p.Value())
	for n := range 10 {
		p.Observe(Time{Now: 2*time.Second + time.Duration(n)*300*ms}, 6, 20)
	}
	must.InDelta(t, 1.0/6, p.Value(), 0.03)
}

// Guards against credits that don't correspond to the pace, and against a target that saves
// up credits for a flood.
func TestCredits(t *testing.T) {
	p := started(0.5)
	placed := 0
	for n := range 1000 {
		at := Time{Earned: float64(n) / 10} // ten targets
		if p.Ready(at.Earned) {
			p.Place(at)
			placed++
		}
	}
	must.Between(t, 49, placed, 50) // half of a tenth
	must.InDelta(t, maxCredit, p.Credit(10000), 0.001)
}

// Guards against values beyond the bounds, and a readiness that differs from the credit.
func TestBounds(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := started(rapid.Float64Range(Min, Max).Draw(rt, "start"))
		at := Time{}
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			at.Now += time.Duration(rapid.IntRange(0, 2000).Draw(rt, "gap")) * ms
			at.Earned += rapid.Float64Range(0, 3).Draw(rt, "earned")
			switch rapid.IntRange(0, 4).Draw(rt, "input") {
			case 0:
				p.Answer(at, time.Duration(rapid.IntRange(0, 5000).Draw(rt, "latency"))*ms, time.Duration(rapid.IntRange(0, 300).Draw(rt, "usual"))*ms)
			case 1:
				p.Fail(at)
			case 2:
				p.Place(at)
			case 3:
				p.Advance(at)
			case 4:
				p.Observe(at, rapid.Float64Range(0, 50).Draw(rt, "relative"), rapid.IntRange(0, 500).Draw(rt, "answers"))
			}
			v, c := p.Value(), p.Credit(at.Earned)
			if v < Min-1e-6 || v > Max || c < minCredit || c > maxCredit {
				rt.Fatalf("pace %v, credit %v", v, c)
			}
			if (c >= 1) != p.Ready(at.Earned) && (c < 1-1e-4 || c > 1+1e-4) {
				rt.Fatalf("credit %v, ready %v", c, p.Ready(at.Earned))
			}
		}
	})
}

// Guards against a growing cost per target: a fleet has thousands of them.
func TestSizeAndAllocations(t *testing.T) {
	must.LessEq(t, 64, unsafe.Sizeof(Pace{}))
	p, rng, at := started(1), rand.New(rand.NewSource(1)), Time{}
	must.Zero(t, testing.AllocsPerRun(100, func() {
		at.Now += ms
		at.Earned += 0.01
		p.Answer(at, time.Duration(rng.Intn(100))*ms, usual)
		p.Place(at)
		p.Fail(at)
		p.Observe(at, 3, 2)
	}))
}

func BenchmarkReady(b *testing.B) {
	p := started(1)
	for n := range b.N {
		p.Ready(float64(n))
	}
}
