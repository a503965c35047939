package forwarding

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"guavaloom.example/guavaloom/internal/target"
	"guavaloom.example/guavaloom/internal/targetreport"
)

const reportInterval = 300 * ms

// reportingZone is a data centre of instances that exchange reports.
type reportingZone struct {
	t         *testing.T
	instances []*fixture
	sequence  uint32
}

func newReportingZone(t *testing.T, instances int, targets ...target.ID) *reportingZone {
	z := &reportingZone{t: t}
	for range instances {
		z.start(0, targets...)
	}
	return z
}

// start adds an instance without observations.
func (z *reportingZone) start(now time.Duration, targets ...target.ID) *fixture {
	b := newFixture()
	b.EnableReports()
	for _, id := range targets {
		b.put(now, b.entry(id, "booking", "a"))
	}
	z.instances = append(z.instances, b)
	return b
}

// exchange lets all instances report to all others once. With up to five instances, these are the
// receivers of each report.
func (z *reportingZone) exchange(now time.Duration) {
	z.sequence++
	for n, from := range z.instances {
		entries := targetreport.Select(from.Observations(now), rand.New(rand.NewPCG(1, uint64(n))))
		if len(entries) == 0 {
			continue
		}
		data, err := (&targetreport.Report{Sequence: z.sequence, Entries: entries}).Encode()
		must.NoError(z.t, err)
		for _, to := range z.instances {
			if to == from {
				continue
			}
			r, err := targetreport.Decode(data)
			must.NoError(z.t, err)
			must.True(z.t, to.AddReport(now, netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), r))
		}
	}
}

// findSilent lets the first two instances observe that a target does not respond.
func (z *reportingZone) findSilent(now time.Duration, id target.ID) {
	for _, b := range z.instances[:2] {
		b.findSilent(now, id)
	}
}

// findSilent lets an instance observe that a target does not respond.
func (b *fixture) findSilent(now time.Duration, id target.ID) {
	b.recordRetransmission(now, b.loads[id], now-minRetransmitInterval)
}

// Load pattern: a target fails without notice; two instances notice, a third one has just started.
// Guards against flows that the third one places there, against a report that takes longer
// than a second, and against a target that is never tried again.
func TestNewInstanceAvoidsReportedTarget(t *testing.T) {
	z := newReportingZone(t, 2, "i-dead", "i-live")
	began := 10 * time.Second
	z.findSilent(began, "i-dead")
	third := z.start(began, "i-dead", "i-live")
	learned := began + reportInterval // at the latest
	must.LessEq(t, time.Second, learned-began)
	now := learned
	flow := 0
	// pass advances the time, with exchanges; the others still observe the silence.
	pass := func(until time.Duration) {
		for ; now < until; now += 50 * ms {
			if (now-learned)%reportInterval == 0 {
				z.findSilent(now, "i-dead")
				z.exchange(now)
			}
			flow++
			must.Eq(t, "i-live", third.syn(now, flowTo(bookingAddr, flow), 0).Target.ID, must.Sprint(now))
			must.True(t, third.Reported(now, "i-dead").Silent)
		}
	}
	pass(learned + minBackoff)

	// One flow is the trial; the next ones wait for its result, or twice as long as before.
	must.Eq(t, "i-dead", third.syn(now, flowTo(bookingAddr, 0), 0).Target.ID)
	z.exchange(now)
	must.Eq(t, "i-live", third.syn(now, flowTo(bookingAddr, 10_000), 0).Target.ID)
	third.flows.remove(flowTo(bookingAddr, 0), third.flows.flows[flowTo(bookingAddr, 0)]) // without a result
	pass(learned + 3*minBackoff)

	// An answer seen here prevails over the reports.
	trial := third.syn(now, flowTo(bookingAddr, 0), 0)
	must.Eq(t, "i-dead", trial.Target.ID)
	must.True(t, third.loads["i-dead"].avoided(now))
	third.accept(now+10*ms, flowTo(bookingAddr, 0), trial)
	must.True(t, third.Reported(now+10*ms, "i-dead").Silent)
	must.False(t, third.loads["i-dead"].avoided(now+10*ms))
}

// Guards against one instance, wrong or cut off, that makes others avoid a target or rank it
// lower, and against reports that count for longer than 3 s.
func TestOneReporterIsNotEnough(t *testing.T) {
	z := newReportingZone(t, 3, "i-1", "i-2", "i-3")
	one, two, third := z.instances[0], z.instances[1], z.instances[2]
	one.findSilent(10*time.Second, "i-1")
	z.exchange(10 * time.Second)
	must.Eq(t, Reported{Sources: 1}, third.Reported(10*time.Second, "i-1"))
	must.False(t, third.loads["i-1"].avoided(10*time.Second))

	two.findSilent(11*time.Second, "i-1")
	z.exchange(11 * time.Second)
	must.True(t, third.loads["i-1"].avoided(11*time.Second))
	// Both others are cut off from now on.
	third.Observations(14*time.Second - 1)
	must.True(t, third.Reported(14*time.Second-1, "i-1").Silent)
	must.False(t, third.loads["i-1"].avoided(14*time.Second))
	must.False(t, third.Reported(14*time.Second, "i-1").Silent)
}

// Guards against a target that is avoided after its restart for what was reported of its earlier
// run, in reports that arrived before the restart or after it.
func TestRestartedTargetIsNotAvoided(t *testing.T) {
	z := newReportingZone(t, 3, "i-1", "i-2")
	now := 10 * time.Second
	z.findSilent(now, "i-1")
	z.exchange(now)
	third := z.instances[2]
	must.True(t, third.loads["i-1"].avoided(now))
	e := third.entry("i-1", "booking", "a")
	e.Incarnation = 1
	third.put(now, e)
	must.False(t, third.loads["i-1"].avoided(now))
	z.exchange(now + reportInterval)
	must.False(t, third.loads["i-1"].avoided(now+reportInterval))
}

// Guards against memory and processor time for targets that do not exist here.
func TestUnknownTargetsAreLeftOut(t *testing.T) {
	z := newReportingZone(t, 1, "i-1")
	b := z.instances[0]
	known := b.View.Target("i-1").Token
	must.True(t, b.AddReport(0, netip.MustParseAddr("10.0.0.2"), targetreport.Report{Entries: []targetreport.Entry{
		{Token: known + 1, Silence: time.Second}, {Token: known, Silence: time.Second}, {Silence: time.Second},
	}}))
	sources, targets := b.reports.Size()
	must.Eq(t, []int{1, 1}, []int{sources, targets})
}

// answer lets a target answer a request on a flow of its own.
func (b *fixture) answer(now time.Duration, id target.ID, latency time.Duration) {
	l := b.loads[id]
	l.recordResponse(now)
	l.recordLatency(now, latency)
	l.recordOutcome(now, true)
}

// Guards against slow targets that an instance without own answers ranks like others, and
// against an effect on targets that are only a little slower.
func TestReportedLatencyRaisesUtilization(t *testing.T) {
	z := newReportingZone(t, 3, "i-slow", "i-1", "i-2", "i-3")
	now := 10 * time.Second
	for _, b := range z.instances[:2] {
		for id, latency := range map[target.ID]time.Duration{"i-slow": 300 * ms, "i-1": 100 * ms, "i-2": 100 * ms, "i-3": 140 * ms} {
			b.answer(now, id, latency)
		}
	}
	z.exchange(now)
	third := z.instances[2]
	third.Observations(now)
	slow := third.loads["i-slow"]
	must.Eq(t, 250, third.Reported(now, "i-slow").Latency) // the median is 120 ms
	must.Eq(t, 2.5, slow.slowness(now))
	must.Eq(t, 1.0, third.loads["i-3"].slowness(now))
	must.Eq(t, 1.0, slow.slowness(now+targetreport.Lifetime))

	slow.opening, third.loads["i-1"].opening, third.loads["i-2"].opening, third.loads["i-3"].opening = 1, 2, 3, 3
	must.Eq(t, "i-1", third.syn(now, flowTo(bookingAddr, 1), 0).Target.ID)

	// An own latency that is fresh prevails.
	slow.opening = 0
	for _, id := range []target.ID{"i-slow", "i-1"} {
		third.answer(now, id, 100*ms)
	}
	third.Observations(now)
	must.Eq(t, 1.0, slow.slowness(now))
	must.Eq(t, 2.5, slow.slowness(now+freshObservation))
}

// Guards against reports of usual targets, of latencies across data centres, of observations
// without recent evidence, and against failing targets that are not reported.
func TestObservations(t *testing.T) {
	newInstance := func() *fixture {
		ids := []target.ID{"i-1", "i-2", "i-3"}
		b := newReportingZone(t, 1, ids...).instances[0]
		for _, id := range ids {
			b.answer(10*time.Second, id, 100*ms)
		}
		b.put(0, b.entry("i-far", "booking", "b"))
		return b
	}
	now := 10 * time.Second
	observed := func(b *fixture, at time.Duration, id target.ID) (e targetreport.Entry) {
		for _, o := range b.Observations(at) {
			if o.Token == b.View.Target(id).Token {
				return o
			}
		}
		return e
	}
	b := newInstance()
	must.SliceEmpty(t, b.Observations(now))

	b.loads["i-1"].latency = 151 * ms
	must.Eq(t, 151, observed(b, now, "i-1").Latency)
	must.Eq(t, 1, observed(b, now, "i-1").Answers)
	must.SliceEmpty(t, b.Observations(now+3*time.Second), must.Sprint("no answer in the last 3 s"))

	b = newInstance()
	b.put(0, b.entry("i-farther", "booking", "b"))
	b.answer(now, "i-far", time.Second)
	b.answer(now, "i-farther", 9*time.Second)
	must.SliceEmpty(t, b.Observations(now), must.Sprint("latency across data centres"))

	b = newInstance()
	b.findSilent(now+2*time.Second, "i-far")
	b.findSilent(now+2*time.Second, "i-1")
	must.Positive(t, observed(b, now+2*time.Second, "i-far").Silence)
	must.Eq(t, 2*time.Second, observed(b, now+2*time.Second, "i-1").Silence)
	must.SliceEmpty(t, b.Observations(now+2*time.Second+minBackoff+silenceReportGrace), must.Sprint("without a retry"))
	b.findSilent(now+3100*ms, "i-1")
	draining := b.entry("i-1", "booking", "a")
	draining.Draining = true
	b.put(now, draining)
	must.SliceEmpty(t, b.Observations(now + 3100*ms)[1:], must.Sprint("a draining target"))

	b = newInstance()
	for range 2 {
		b.loads["i-1"].recordOutcome(now+time.Second, false)
	}
	failing := observed(b, now+time.Second, "i-1")
	must.Zero(t, failing.Silence, must.Sprint("answered within responseTimeout"))
	must.Between(t, 250, failing.Latency, 350) // about half of its requests failed
	must.Len(t, 1, b.Observations(now+time.Second))
	must.Eq(t, responseTimeout, observed(b, now+responseTimeout, "i-1").Silence)
}

// Guards against answers that are counted for too long or lost when seconds are skipped.
func TestAnswerWindow(t *testing.T) {
	for _, c := range []struct {
		at   []time.Duration
		now  time.Duration
		want int
	}{
		{nil, 0, 0},
		{[]time.Duration{0, 0, 999 * ms}, 999 * ms, 3},
		{[]time.Duration{0, time.Second, 2 * time.Second}, 2999 * ms, 3},
		{[]time.Duration{0, time.Second, 2 * time.Second}, 3000 * ms, 2},
		{[]time.Duration{0, time.Second, 2 * time.Second}, time.Hour, 0},
		{[]time.Duration{0, time.Hour}, time.Hour, 1},
		{[]time.Duration{5 * time.Second, 7 * time.Second}, 7 * time.Second, 2},
	} {
		var w answerWindow
		for _, at := range c.at {
			w.add(at)
		}
		must.Eq(t, c.want, w.count(c.now), must.Sprint(c))
	}
}

// Guards against a change of the choice while reports are off: no state of reports must exist then.
func TestNoEffectWithoutReports(t *testing.T) {
	b := newFixture()
	for n := range 4 {
		id := target.ID(fmt.Sprintf("i-%d", n))
		b.put(0, b.entry(id, "booking", "a"))
		b.answer(time.Second, id, time.Duration(1+10*n)*ms)
		must.Nil(t, b.loads[id].reported)
		must.False(t, b.loads[id].avoided(time.Second))
		must.Eq(t, Reported{}, b.Reported(time.Second, id))
	}
}

// newLargeReporting returns an instance with 3,000 local targets, of which 300 are slow.
func newLargeReporting() *fixture {
	b := newFixture()
	b.EnableReports()
	for n := range 3000 {
		id := target.ID(fmt.Sprintf("i-%d", n))
		b.put(0, b.entry(id, "booking", "a"))
		latency := 100 * ms
		if n%10 == 0 {
			latency = 300 * ms
		}
		b.answer(time.Second, id, latency)
	}
	return b
}

func BenchmarkObservations(b *testing.B) {
	f := newLargeReporting()
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		f.Observations(time.Second)
	}
}

// Guards against allocations for reports in the packet path.
func TestReportsAllocateNothingInThePacketPath(t *testing.T) {
	f := newLargeReporting()
	f.Observations(time.Second)
	l := f.loads["i-0"]
	sum := 0.0
	must.Eq(t, 0.0, testing.AllocsPerRun(100, func() {
		if !l.avoided(time.Second) {
			sum += l.slowness(time.Second)
		}
		l.reported.addAnswer(time.Second)
		l.reported.recordPlacement(time.Second)
	}))
	must.Positive(t, sum)
}
