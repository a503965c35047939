package isolation

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const tick = 100 * time.Millisecond

// newLapsingDetector returns a detector whose lease ends at 6 s, ticked up to that time.
func newLapsingDetector() *Detector {
	d := &Detector{}
	for now := time.Duration(0); now <= 6*time.Second; now += tick {
		d.Tick(now, Inputs{LeaseEnd: 6 * time.Second, Member: true})
	}
	return d
}

// firstIsolation ticks after from, up to and including to, and returns when the
// isolation started, or 0.
func firstIsolation(d *Detector, from, to time.Duration, f Inputs) time.Duration {
	for now := from + tick; now <= to; now += tick {
		if d.Tick(now, f) == Entered {
			return now
		}
	}
	return 0
}

// Guards against an instance that serves without a lease before it has searched for a
// leader, or for longer than MaxServe.
func TestEntersAndEnds(t *testing.T) {
	d := newLapsingDetector()
	must.Eq(t, 8*time.Second, firstIsolation(d, 6*time.Second, time.Minute, Inputs{Member: true}))
	must.Eq(t, 8*time.Second+MaxTickGap, d.Until())
	end := 6*time.Second + MaxServe
	for now := 8*time.Second + tick; now < end; now += tick {
		must.Eq(t, None, d.Tick(now, Inputs{Member: true}))
		must.LessEq(t, end, d.Until())
	}
	must.Eq(t, Ended, d.Tick(end, Inputs{Member: true}))
	must.Eq(t, 0, d.Until())
	must.Eq(t, 0, firstIsolation(d, end, end+MaxServe, Inputs{Member: true}))
}

// Guards against a process that, resumed after a pause, serves before it has searched
// for a leader, or serves from a table older than MaxServe.
func TestPause(t *testing.T) {
	d := newLapsingDetector()
	must.Eq(t, 8*time.Second, firstIsolation(d, 6*time.Second, time.Minute, Inputs{Member: true}))
	woken := 30 * time.Second
	must.Less(t, woken, d.Until())
	must.Eq(t, Ended, d.Tick(woken, Inputs{Member: true}))
	must.Eq(t, woken+LeaderSearchTime, firstIsolation(d, woken, time.Minute, Inputs{Member: true}))

	d = newLapsingDetector()
	woken = 6*time.Second + MaxServe
	must.Eq(t, 0, firstIsolation(d, woken-tick, woken+MaxServe, Inputs{Member: true}))
}

// Guards against the isolation of an instance that reaches a leader, has a lease, has
// never had a lease, or is not a member.
func TestNotIsolated(t *testing.T) {
	for _, f := range []Inputs{{Member: true, HasLeader: true}, {}, {Member: true, LeaseEnd: time.Hour}} {
		must.Eq(t, 0, firstIsolation(newLapsingDetector(), 6*time.Second, time.Minute, f))
	}
	must.Eq(t, 0, firstIsolation(&Detector{}, 0, time.Minute, Inputs{Member: true}))

	d := newLapsingDetector()
	must.Eq(t, 8*time.Second, firstIsolation(d, 6*time.Second, time.Minute, Inputs{Member: true}))
	must.Eq(t, Ended, d.Tick(8*time.Second+tick, Inputs{Member: true, HasLeader: true}))
	must.Eq(t, 8*time.Second+2*tick+LeaderSearchTime, firstIsolation(d, 8*time.Second+tick, time.Minute, Inputs{Member: true}))
}

// Guards against an address that is released while an isolated instance may still send
// to it.
func TestReleaseHoldExceedsService(t *testing.T) {
	must.Greater(t, time.Duration(1.04*float64(MaxServe+2*time.Second)), ReleaseHold)
}
