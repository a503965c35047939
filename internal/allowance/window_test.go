package allowance

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

const ms = time.Millisecond

// usesIn returns how many of the times are in the second that begins at a time.
func usesIn(times []time.Duration, begin time.Duration) (n int) {
	for _, at := range times {
		if at >= begin && at < begin+Period {
			n++
		}
	}
	return n
}

// Guards against a window that allows more uses than its limit in a second that begins at any
// millisecond, and against one that refuses a use without need. Uses beyond the limit, as by
// requests on open flows, delay later ones.
func TestWindowIsExact(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(0, 12).Draw(t, "limit")
		var w Window
		w.SetLimit(limit)
		var all []time.Duration
		now := time.Duration(0)
		for range rapid.IntRange(1, 200).Draw(t, "calls") {
			now += time.Duration(rapid.IntRange(0, 400).Draw(t, "step")) * ms
			recent := usesIn(all, now-Period+1)
			must.Eq(t, recent < limit, w.Allows(now))
			must.Eq(t, min(recent, max(limit, 1)), w.Used(now))
			if w.Allows(now) || rapid.IntRange(0, 9).Draw(t, "forced") == 0 {
				w.Use(now)
				all = append(all, now)
			}
		}
	})
}

// Guards against a second with more allowed uses than the limit, at every begin.
func TestWindowBoundAtEveryMillisecond(t *testing.T) {
	for _, limit := range []int{1, 2, 7, 17} {
		var w Window
		w.SetLimit(limit)
		var allowed []time.Duration
		const end = 4 * time.Second
		for now := time.Duration(0); now < end; now += ms {
			for range 3 {
				if w.Allows(now) {
					w.Use(now)
					allowed = append(allowed, now)
				}
			}
		}
		for begin := -Period; begin < end; begin += ms {
			must.LessEq(t, limit, usesIn(allowed, begin))
		}
		must.Eq(t, 4*limit, len(allowed)) // and all of the allowance could be used
	}
}

// Guards against uses that are forgotten when the limit changes, since instances come and go:
// the uses of a second never exceed the largest limit in it.
func TestWindowKeepsUsesWhenTheLimitChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var w Window
		var all []time.Duration
		now, limit := time.Duration(0), 0
		for range rapid.IntRange(1, 100).Draw(t, "calls") {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "step")) * ms
			if rapid.IntRange(0, 4).Draw(t, "change") == 0 {
				limit = rapid.IntRange(0, 8).Draw(t, "limit")
			}
			w.SetLimit(limit)
			if !w.Allows(now) {
				continue
			}
			must.Less(t, limit, usesIn(all, now-Period+1))
			w.Use(now)
			all = append(all, now)
		}
	})
}

// Guards against memory that grows with the rate of a service, and against allocations on the
// packet path.
func TestWindowMemory(t *testing.T) {
	var w Window
	w.Use(0) // without a limit it has no memory
	must.False(t, w.Allows(0))
	must.Eq(t, 0, w.Used(0))
	w.SetLimit(1 << 40)
	must.Eq(t, MaxShare, w.Limit())
	must.Eq(t, MaxShare, len(w.newest))
	now := time.Duration(0)
	must.Eq(t, 0, testing.AllocsPerRun(3*MaxShare, func() {
		now += ms
		w.SetLimit(MaxShare)
		if w.Allows(now) {
			w.Use(now)
		}
	}))
}

func BenchmarkWindow(b *testing.B) {
	var w Window
	w.SetLimit(20)
	b.ReportAllocs()
	now := time.Duration(0)
	for b.Loop() {
		now += ms
		if w.Allows(now) {
			w.Use(now)
		}
	}
}

// Guards against a raised limit that has no effect for a second, because the window takes uses
// for forgotten that never were.
func TestRaisedLimitAppliesAtOnce(t *testing.T) {
	var w Window
	w.SetLimit(2)
	w.Use(0)
	w.Use(ms)
	must.False(t, w.Allows(2*ms))
	w.SetLimit(3)
	must.True(t, w.Allows(2*ms))
	w.Use(2 * ms)
	w.Use(3 * ms) // beyond the limit
	w.SetLimit(5)
	must.False(t, w.Allows(4*ms)) // the use at 0 may stand for several
	must.True(t, w.Allows(Period))
}
