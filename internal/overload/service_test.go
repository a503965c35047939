package overload

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"guavaloom.example/guavaloom/internal/view"
)

func flowOf(priority int, kind view.Kind) Flow {
	return Flow{Class: Class{priority, kind}, Objective: 250 * ms, Deadline: time.Second}
}

// fullService returns a service whose answers take ten service times, with a flow of each
// given class.
func fullService(flows ...Flow) *Service {
	s := &Service{}
	for _, f := range flows {
		s.Arrive(0, f)
		for range firstSamples {
			s.Answer(0, f.Class, 40*ms)
		}
	}
	for range 100 {
		s.recordCongestion(0, 10)
	}
	return s
}

// full is a load of the given requests per slot at ten targets of two slots.
func full(perSlot float64) Load {
	return Load{InFlight: int(20 * perSlot), Instances: 1, Targets: 10, Slots: 20}
}

// Guards against rejecting flows that must never be rejected, whatever the load.
func TestNeverRejected(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		kind := rapid.SampledFrom([]view.Kind{view.Idempotent, view.AtMostOnce, view.Upload, view.Download}).Draw(rt, "kind")
		f := flowOf(view.HighestPriority, kind)
		f.Repeated = rapid.Bool().Draw(rt, "repeated")
		s := fullService(f, flowOf(2, view.Idempotent))
		l := full(rapid.Float64Range(0, 100).Draw(rt, "requests per slot"))
		l.Late = rapid.IntRange(0, 10).Draw(rt, "late")
		if !s.Admits(0, f, l) || !s.AdmitsRemote(0, f, Remote{Load: l, Measured: 10, Fastest: time.Minute}) {
			rt.Fatal("rejected")
		}
	})
}

// Guards against rejecting a request that must not run twice for an estimate: a target that is
// full says so itself, and the request has not run then. Only a deadline that can't be met is a
// reason.
func TestRequestsThatMustNotRunTwice(t *testing.T) {
	f := flowOf(2, view.AtMostOnce)
	s := fullService(f, flowOf(1, view.Idempotent))
	l := full(4.9) // the room is 5 requests per slot
	l.Late = l.Targets
	must.True(t, s.Admits(0, f, l))
	must.True(t, s.Admits(0, f, full(5)))
	for range 20 {
		s.turnedAway.add(0)
	}
	must.True(t, s.Admits(0, f, full(4.9)))
	must.True(t, s.Admits(0, f, full(5)))
	f.Deadline = 100 * ms
	must.False(t, s.Admits(0, f, full(2)))
	uploads := fullService(f)
	uploads.congestion = 1 // many uploads are being sent, the answers are quick
	must.True(t, uploads.Admits(0, f, full(4)))
	l = full(1)
	l.Late = l.Targets
	must.True(t, s.AdmitsRemote(0, f, Remote{Load: l, Measured: 10, Fastest: 90 * ms}))
	must.False(t, s.AdmitsRemote(0, f, Remote{Load: l, Measured: 10, Fastest: 110 * ms}))
}

// Guards against the order of the classes: the lowest priority gives way first, and alone it
// may use the queues.
func TestLowestPriorityGivesWayFirst(t *testing.T) {
	low, high := flowOf(3, view.Idempotent), flowOf(1, view.Download)
	s := fullService(low, high)
	must.True(t, s.Admits(0, low, full(1.9)))
	must.False(t, s.Admits(0, low, full(2.6)))
	must.True(t, s.Admits(0, high, full(2.6)))
	must.False(t, s.Admits(0, high, full(5)))
	alone := fullService(low)
	must.True(t, alone.Admits(0, low, full(3.5)))
	must.False(t, alone.Admits(0, low, full(4)))
}

// Guards against a class without answers that is squeezed below a twentieth of its arrivals in
// any sliding second.
func TestFloor(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := flowOf(2, rapid.SampledFrom([]view.Kind{view.Idempotent, view.AtMostOnce}).Draw(rt, "kind"))
		s := fullService(f, flowOf(1, view.AtMostOnce))
		var at []time.Duration
		var admitted []bool
		now := 2 * time.Second // the answers by which the service became known are older than a second
		for range 400 {
			now += time.Duration(rapid.IntRange(0, 30).Draw(rt, "gap")) * ms
			f.Repeated = rapid.Bool().Draw(rt, "repeated")
			s.Arrive(now, f)
			s.turnedAway.add(now)
			s.turnedAway.add(now)
			ok := s.Admits(now, f, full(8))
			outcome := Admitted
			if !ok {
				outcome = Rejected
			}
			s.Finish(now, f, outcome)
			at, admitted = append(at, now), append(admitted, ok)
		}
		for i := range at {
			n, arrived := 0, 0
			for j := i; j < len(at) && at[j] < at[i]+time.Second; j++ {
				arrived++
				if admitted[j] {
					n++
				}
			}
			if n < arrived/20 {
				rt.Fatalf("second from %v: admitted %d of %d", at[i], n, arrived)
			}
		}
	})
}

// Load pattern: a crowd whose rejected callers come again at once, while the class is answered
// on its open flows. Guards against a floor that admits a share of the attempts and thereby fills
// the targets' queues.
func TestFloorCountsAnswers(t *testing.T) {
	f, urgent := flowOf(2, view.Idempotent), flowOf(1, view.AtMostOnce)
	for _, c := range []struct {
		answers int // of 100 in the last second
		admits  bool
	}{{0, true}, {5, true}, {6, false}, {50, false}} {
		s := fullService(f, urgent)
		const now = 2 * time.Second // after the answers by which the service became known
		for n := range 100 {
			class := urgent.Class
			if n < c.answers {
				class = f.Class
			}
			s.Answer(now, class, 400*ms) // the queues are long
		}
		admitted := 0
		for range 10 * floorInterval {
			s.Arrive(now, f)
			s.turnedAway.add(now)
			outcome := Rejected
			if s.Admits(now, f, full(8)) {
				outcome, admitted = Admitted, admitted+1
			}
			s.Finish(now, f, outcome)
		}
		must.Eq(t, c.admits, admitted > 0, must.Sprint(c.answers))
	}
}

// Guards against retries that keep the targets full: in any sliding second, at most a fifth of
// the answers of the second before, and one without any.
func TestRetryBudget(t *testing.T) {
	for _, answers := range []int{0, 4, 10, 100} {
		f, urgent := flowOf(2, view.Idempotent), flowOf(1, view.AtMostOnce)
		f.Repeated = true
		s := fullService(f, urgent)
		s.answers = window{}
		s.full = true
		var at []time.Duration
		for now := time.Second; now < 4*time.Second; now += 2 * ms {
			if answers > 0 && now%(time.Second/time.Duration(answers)) == 0 {
				s.Answer(now, urgent.Class, 80*ms)
			}
			s.Arrive(now, urgent)
			s.Arrive(now, f)
			s.class(f.Class).denied = 0 // without the floor
			if s.Admits(now, f, full(1.9)) {
				at = append(at, now)
				s.Finish(now, f, Admitted)
			}
			must.True(t, s.Full())
		}
		must.Positive(t, len(at))
		for i := range at {
			n := 0
			for j := i; j < len(at) && at[j] < at[i]+time.Second; j++ {
				n++
			}
			must.LessEq(t, max(answers/5, 1), n, must.Sprint(answers, " answers per second"))
		}
	}
}

// Guards against targets that reject at once and thereby look fast: their answers change
// neither the service time nor the budget.
func TestQuickRejectionsAreNoAnswers(t *testing.T) {
	f := flowOf(2, view.Idempotent)
	s := fullService(f)
	s.Arrive(time.Second, f)
	s.Admits(time.Second, f, full(4))
	before, congestion := s.class(f.Class).serviceTime, s.congestion
	answers := s.answers.sum(time.Second, buckets)
	for range 100 {
		must.False(t, s.Answer(time.Second, f.Class, 3*ms))
		must.False(t, s.AnswerElsewhere(time.Second, f.Class, 3*ms))
	}
	must.Eq(t, before, s.class(f.Class).serviceTime)
	must.Eq(t, congestion, s.congestion)
	must.Eq(t, answers, s.answers.sum(time.Second, buckets))
	must.True(t, s.targetsTurnAway(time.Second))
}

// Guards against taking the quick answers of a cache for rejections, and against a service
// time that is kept after the service became much faster.
func TestQuickAnswersWhileSlotsAreFree(t *testing.T) {
	f := flowOf(2, view.Idempotent)
	s := fullService(f)
	s.Arrive(time.Second, f)
	s.Admits(time.Second, f, full(0.5))
	for range 100 {
		must.True(t, s.Answer(time.Second, f.Class, 3*ms))
	}
	must.Eq(t, 3*ms, s.class(f.Class).serviceTime)
	cached := fullService(f)
	cached.Admits(time.Second, f, full(0.5))
	for n := range 100 {
		latency := 40 * ms
		if n%3 == 0 {
			latency = ms
		}
		cached.Answer(time.Second, f.Class, latency)
	}
	cached.Admits(time.Second, f, full(3))
	must.True(t, cached.Answer(time.Second, f.Class, ms))
}

// Guards against a full state that changes with every flow, and against one that stays when
// no flow arrives any more.
func TestHysteresis(t *testing.T) {
	f := flowOf(2, view.Idempotent)
	s := fullService(f, flowOf(1, view.AtMostOnce))
	s.Admits(0, f, full(2.6))
	must.True(t, s.Full())
	s.Admits(10*ms, f, full(1))
	s.Admits(200*ms, f, full(2)) // above 0.75 of the limit: starts again
	s.Admits(210*ms, f, full(1))
	s.Admits(500*ms, f, full(1))
	must.True(t, s.Full())
	s.Admits(510*ms, f, full(1))
	must.False(t, s.Full())
	s.Admits(520*ms, f, full(2.6))
	s.Tick(time.Second)
	must.True(t, s.Full())
	s.Tick(3 * time.Second)
	must.False(t, s.Full())
}

// Guards against a service time that never rises again after a change, and against one that
// rises with the queues of a short overload.
func TestServiceTime(t *testing.T) {
	f := flowOf(2, view.Idempotent)
	s := &Service{}
	s.Arrive(0, f)
	for now := time.Duration(0); now < 8*time.Second; now += 10 * ms {
		latency := 40 * ms
		if now > time.Second {
			latency = 400 * ms
		}
		s.Answer(now, f.Class, latency)
	}
	must.Between(t, 40*ms, s.class(f.Class).serviceTime, 44*ms)
	for now := 8 * time.Second; now < 300*time.Second; now += 10 * ms {
		s.Answer(now, f.Class, 400*ms)
	}
	must.Greater(t, 300*ms, s.class(f.Class).serviceTime)
}

// Guards against a table of rejected clients that grows, forgets addresses in an ordinary
// burst or keeps them.
func TestClients(t *testing.T) {
	addr := func(n int) [4]byte { return [4]byte{100, byte(n >> 16), byte(n >> 8), byte(n)} }
	c := &Clients{}
	for n := range 1000 {
		c.Reject(time.Duration(n)*ms, addr(n))
	}
	known := 0
	for n := range 1000 {
		if c.Rejected(time.Second, addr(n)) {
			known++
		}
	}
	must.GreaterEq(t, 990, known)
	must.False(t, c.Rejected(time.Second, addr(5000)))
	must.True(t, c.Rejected(2*time.Second, addr(0)))
	must.False(t, c.Rejected(2*time.Second+ms, addr(0)))
	must.False(t, (&Clients{}).Rejected(0, [4]byte{}))
}

// Guards against allocations for each flow.
func TestDecisionAllocatesNothing(t *testing.T) {
	f := flowOf(2, view.Idempotent)
	s, c := fullService(f, flowOf(1, view.AtMostOnce)), &Clients{}
	now := time.Duration(0)
	must.Zero(t, testing.AllocsPerRun(1000, func() {
		now += ms
		f.Repeated = c.Rejected(now, [4]byte{100, 1, 2, 3})
		s.Arrive(now, f)
		s.Admits(now, f, full(3))
		s.Finish(now, f, Rejected)
		c.Reject(now, [4]byte{100, 1, 2, byte(now / ms)})
		s.Answer(now, f.Class, 50*ms)
	}))
}

// Guards against classes of earlier configurations that fill the table for good, so that no later
// class is ever rejected.
func TestClassesOfEarlierConfigurations(t *testing.T) {
	s := &Service{}
	for n := range maxClasses {
		s.Arrive(time.Duration(n)*ms, flowOf(10+n, view.Idempotent))
	}
	low, high := flowOf(3, view.Idempotent), flowOf(1, view.AtMostOnce)
	now := time.Minute
	for range 3 { // the classes take turns
		for _, f := range []Flow{low, high} {
			now += ms
			s.Arrive(now, f)
			for range firstSamples {
				s.Answer(now, f.Class, 40*ms)
			}
		}
	}
	for range 100 {
		s.recordCongestion(now, 10)
	}
	must.False(t, s.Admits(now, low, full(4)))
	must.Positive(t, s.class(low.Class).serviceTime)
	must.Positive(t, s.class(high.Class).serviceTime)
}
