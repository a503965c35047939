package forwarding

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"guavaloom.example/guavaloom/internal/target"
	"guavaloom.example/guavaloom/internal/view"
	"guavaloom.example/guavaloom/internal/virtualtime"
)

const (
	replayInstances = 20
	replayTargets   = 40
	replaySlots     = 2
	replayQueue     = 8
	replayWork      = 30 * ms
	replayObjective = 400 * ms
	replayWarmUp    = 2 * time.Second
	// replayCold is how much slower a target is in its warm-up.
	replayCold = 1.6
	// replayNew is how long a target is new: within this time it should carry its share.
	replayNew  = 5 * time.Second
	hop        = time.Millisecond
	ageBucket  = 250 * ms
	ageBuckets = 24
)

// replayedTarget has slots and a queue, and answers further requests at once.
type replayedTarget struct {
	id target.ID
	// speed is the factor of its service times.
	speed                   float64
	coldUntil               time.Duration
	silentFrom, silentUntil time.Duration
	virtualtime.Server
	most, rejected             int
	watched                    bool
	watchedFrom                time.Duration
	active                     bool
	placedByAge, fairSumsByAge [ageBuckets]float64
}

func (t *replayedTarget) silent(now time.Duration) bool {
	return now >= t.silentFrom && now < t.silentUntil
}

// paceReplay replays a load on targets behind several instances that each see an equal part of
// it. A third of the requests follow on open flows, which stay idle in between.
type paceReplay struct {
	virtualtime.Clock
	rng       *rand.Rand
	instances []*fixture
	targets   []*replayedTarget
	byID      map[target.ID]*replayedTarget
	flows     int
	active    int
	total     int
	inTime    int
	measured  time.Duration // requests that arrive before are not counted
}

func newPaceReplay(paced bool, seed int64) *paceReplay {
	r := &paceReplay{rng: rand.New(rand.NewSource(seed)), byID: map[target.ID]*replayedTarget{}, measured: 3 * time.Second}
	for range replayInstances {
		b := &fixture{events: &events{}}
		l := limits
		l.Pace = paced
		b.Forwarder = New("a", l, view.New(viewLimits), b.events)
		b.SetInstances(replayInstances)
		r.instances = append(r.instances, b)
	}
	return r
}

// begin completes the first lists of the instances.
func (r *paceReplay) begin() {
	for n, b := range r.instances {
		b.View.SetConfig(*newFixture().View.Config(), 1)
		b.View.MarkListed()
		r.tick(b, time.Duration(n)*25*ms)
	}
}

func (r *paceReplay) tick(b *fixture, after time.Duration) {
	r.After(after, func() {
		b.View.TargetsFreshAt, b.View.ConfigFreshAt = r.Now(), r.Now()
		b.Tick(r.Now())
		r.tick(b, 500*ms)
	})
}

// start starts a target. Instances learn of it within 100 ms.
func (r *paceReplay) start(id string, speed float64, cold time.Duration) *replayedTarget {
	t := &replayedTarget{id: target.ID(id), speed: speed, coldUntil: r.Now() + cold, active: true,
		Server: virtualtime.Server{Slots: replaySlots, Queue: replayQueue}}
	r.targets = append(r.targets, t)
	r.byID[t.id] = t
	r.active++
	for _, b := range r.instances {
		delay := time.Duration(0)
		if r.Now() > 0 {
			delay = time.Duration(r.rng.Int63n(int64(100 * ms)))
		}
		e := b.entry(t.id, "booking", "a")
		e.Slots, e.WarmUp = replaySlots, max(cold-delay, 0)
		put := func() {
			b.put(r.Now(), e)
			b.loads[t.id].tieBreak = r.rng.Uint64() // seeded, instead of the process's random numbers
		}
		if delay == 0 {
			put()
		} else {
			r.After(delay, put)
		}
	}
	return t
}

// drain lets a target take no new flows, and removes it once its flows have ended.
func (r *paceReplay) drain(t *replayedTarget) {
	t.active = false
	r.active--
	for _, b := range r.instances {
		r.After(time.Duration(r.rng.Int63n(int64(100*ms))), func() {
			e := b.entry(t.id, "booking", "a")
			e.Slots, e.Draining = replaySlots, true
			b.put(r.Now(), e)
			r.After(8*time.Second, func() { b.remove(r.Now(), t.id) })
		})
	}
}

// watch measures a target from now on.
func (r *paceReplay) watch(t *replayedTarget) { t.watched, t.watchedFrom, t.most = true, r.Now(), 0 }

// arrive schedules requests with the given mean use of the slots until a given time.
func (r *paceReplay) arrive(use float64, until time.Duration) {
	// Three in four flows have one request, the others three.
	perSecond := use * replayTargets * replaySlots / replayWork.Seconds() / 1.5
	var next func()
	next = func() {
		r.After(time.Duration(r.rng.ExpFloat64()/perSecond*float64(time.Second)), func() {
			if r.Now() < until {
				r.open(r.Now(), 0)
				next()
			}
		})
	}
	next()
}

// finish counts a request.
func (r *paceReplay) finish(began time.Duration, ok bool) {
	if began < r.measured {
		return
	}
	r.total++
	if ok && r.Now()-began <= replayObjective {
		r.inTime++
	}
}

// open sends a request on a new flow. Clients try three times.
func (r *paceReplay) open(began time.Duration, attempt int) {
	r.flows++
	flow := FlowID{view.Endpoint{Addr: [4]byte{100, byte(r.flows >> 16), byte(r.flows >> 8), byte(r.flows)}, Port: 1025}, bookingAddr}
	b := r.instances[r.rng.Intn(len(r.instances))]
	failed := func() {
		if attempt == 2 {
			r.finish(began, false)
			return
		}
		r.open(began, attempt+1)
	}
	opened := false
	first := func(copies uint32) {
		if opened {
			return
		}
		d := b.syn(r.Now(), flow, copies)
		if d.Verdict == Reset {
			opened = true
			failed()
			return
		}
		if d.Verdict != Forward {
			return
		}
		t := r.byID[d.Target.ID]
		r.countPlacement(t, copies)
		r.After(hop, func() {
			if t.silent(r.Now()) || opened {
				return
			}
			opened = true
			b.accept(r.Now(), flow, d)
			requests := 1
			if r.rng.Intn(4) == 0 {
				requests = 3
			}
			r.request(b, flow, d.Token, t, began, 101, requests, failed)
		})
	}
	first(0)
	r.After(200*ms, func() { first(1) })
	r.After(600*ms, func() { first(2) })
	r.After(1400*ms, func() {
		if !opened {
			opened = true
			failed()
		}
	})
}

func (r *paceReplay) countPlacement(t *replayedTarget, copies uint32) {
	if copies > 0 {
		return
	}
	for _, w := range r.targets {
		if !w.watched || !w.active {
			continue
		}
		age := int((r.Now() - w.watchedFrom) / ageBucket)
		if age >= ageBuckets {
			continue
		}
		w.fairSumsByAge[age] += 1 / float64(r.active)
		if w == t {
			w.placedByAge[age]++
		}
	}
}

// request sends a request on an open flow, and further ones a second after each answer.
func (r *paceReplay) request(b *fixture, flow FlowID, token uint32, t *replayedTarget, began time.Duration, seq uint32, left int, failed func()) {
	done := false
	answer := func(ok bool) {
		if done || t.silent(r.Now()) {
			return
		}
		done = true
		last := !ok || left == 1
		b.Handle(r.Now(), &Segment{Flow: flow, ACK: true, FIN: last, Seq: seq + 10, Ack: seq + 1000, Token: token})
		if !ok {
			failed()
			return
		}
		r.finish(began, true)
		if !last {
			r.After(time.Second, func() {
				next := r.Now()
				r.request(b, flow, token, t, next, seq+10, left-1, func() { r.open(next, 1) })
			})
		}
	}
	sent := false
	send := func() {
		if done || sent {
			return // the target acknowledged the request
		}
		b.data(r.Now(), flow, token, seq, seq+399, 10)
		if !t.silent(r.Now()) {
			sent = true
			r.serve(t, answer)
		}
	}
	send()
	r.After(200*ms, send)
	r.After(600*ms, send)
	r.After(1400*ms, func() {
		if !done && !sent || !done && t.silent(r.Now()) {
			done = true
			b.Handle(r.Now(), &Segment{Flow: flow, RST: true, Seq: seq + 10, Token: token})
			failed()
		}
	})
}

// serve runs a request at a target.
func (r *paceReplay) serve(t *replayedTarget, answer func(ok bool)) {
	if r.Now() < t.watchedFrom+replayNew {
		t.most = max(t.most, t.Requests()+1)
	}
	work := func() time.Duration {
		speed := t.speed
		if r.Now() < t.coldUntil {
			speed *= replayCold
		}
		return time.Duration((0.5 + r.rng.Float64()) * speed * float64(replayWork))
	}
	if !t.Serve(&r.Clock, work, func() { answer(true) }) {
		t.rejected++
		r.After(hop, func() { answer(false) })
	}
}

// replayResult is what a replay measured at the watched targets, and of all requests.
type replayResult struct {
	most, rejected int
	inTime         float64
	// carries is the age from which watched targets carry 90 % of their fair share of new flows,
	// over a second; negative if they don't.
	carries time.Duration
	shares  []float64
}

func (r *paceReplay) result() replayResult {
	out := replayResult{inTime: float64(r.inTime) / float64(r.total), carries: -1}
	var placed, fair [ageBuckets]float64
	for _, t := range r.targets {
		if !t.watched {
			continue
		}
		out.most, out.rejected = max(out.most, t.most), out.rejected+t.rejected
		for n := range ageBuckets {
			placed[n] += t.placedByAge[n]
			fair[n] += t.fairSumsByAge[n]
		}
	}
	const second = int(time.Second / ageBucket)
	for n := 0; n+second <= ageBuckets; n++ {
		sum, all := 0.0, 0.0
		for k := n; k < n+second; k++ {
			sum, all = sum+placed[k], all+fair[k]
		}
		if all > 0 && out.carries < 0 && sum >= 0.9*all {
			out.carries = time.Duration(n) * ageBucket
		}
		if n%second == 0 {
			out.shares = append(out.shares, sum/all)
		}
	}
	return out
}

const replayEnd = 25 * time.Second

var paceScenarios = []struct {
	name string
	// use is the mean use of the slots at full speed.
	use float64
	set func(r *paceReplay)
	// full is set if the watched targets are expected to carry their fair share.
	full bool
}{
	{"release", 0.6, func(r *paceReplay) {
		for n := range replayTargets {
			r.start(fmt.Sprintf("i-%d", n), 1, 0)
		}
		for n, old := range slices.Clone(r.targets) {
			r.After(4*time.Second+time.Duration(n)*400*ms, func() {
				r.watch(r.start(fmt.Sprintf("i-new-%d", n), 1, replayWarmUp))
				r.drain(old)
			})
		}
	}, true},
	{"recovery", 0.6, func(r *paceReplay) {
		for n := range replayTargets {
			t := r.start(fmt.Sprintf("i-%d", n), 1, 0)
			if n%10 == 0 {
				t.silentFrom, t.silentUntil = 6*time.Second, 9*time.Second
				r.After(t.silentUntil, func() { r.watch(t) })
			}
		}
	}, true},
	{"third slow", 0.5, func(r *paceReplay) {
		for n := range replayTargets {
			t := r.start(fmt.Sprintf("i-%d", n), 1, 0)
			if n%3 == 0 {
				r.After(5*time.Second, func() {
					t.speed = 6
					r.watch(t)
				})
			}
		}
	}, false},
	{"speeds differ", 0.6, func(r *paceReplay) {
		for n := range replayTargets {
			t := r.start(fmt.Sprintf("i-%d", n), []float64{0.7, 0.7, 1.7}[n%3], 0)
			if n%3 == 2 {
				r.watch(t)
			}
		}
	}, false},
	{"stay silent", 0.6, func(r *paceReplay) {
		for n := range replayTargets {
			t := r.start(fmt.Sprintf("i-%d", n), 1, 0)
			if n%10 == 0 {
				t.silentFrom, t.silentUntil = 6*time.Second, time.Hour
				r.After(t.silentFrom, func() { r.watch(t) })
			}
		}
	}, false},
	{"all new", 0.5, func(r *paceReplay) {
		r.measured = 0
		for n := range replayTargets {
			r.watch(r.start(fmt.Sprintf("i-%d", n), 1, replayWarmUp))
		}
	}, true},
}

func replayPace(paced bool, seed int64, use float64, set func(*paceReplay)) replayResult {
	r := newPaceReplay(paced, seed)
	set(r)
	r.begin()
	r.arrive(use, replayEnd)
	r.RunUntil(replayEnd + 3*time.Second)
	return r.result()
}

// replaySeeds returns how many seeds are replayed: one where the race detector makes them slow.
func replaySeeds() int64 {
	if testing.Short() {
		return 1
	}
	return 3
}

// Load patterns: a release, recovery after silence, a third of the targets six times slower,
// permanently different speeds, and a data centre whose targets are all new, each behind 20
// instances. Guards against flooding a new target, against leaving it idle, and against pacing
// that serves fewer requests in time than the order without it.
func TestPaceReplays(t *testing.T) {
	for _, s := range paceScenarios {
		t.Run(s.name, func(t *testing.T) {
			for seed := range replaySeeds() {
				before, after := replayPace(false, seed, s.use, s.set), replayPace(true, seed, s.use, s.set)
				t.Logf("seed %d before: most %d, rejected %d, in time %.4f, carries %s %.2f", seed, before.most, before.rejected, before.inTime, before.carries, before.shares)
				t.Logf("seed %d after:  most %d, rejected %d, in time %.4f, carries %s %.2f", seed, after.most, after.rejected, after.inTime, after.carries, after.shares)
				must.GreaterEq(t, before.inTime-0.01, after.inTime)
				if s.full {
					must.LessEq(t, replaySlots+replayQueue, after.most)
					must.Between(t, 0, after.carries, 5*time.Second)
				}
			}
		})
	}
}

// BenchmarkPlacePaced places flows at 3,000 targets of the own data centre, all of which are
// examined. Stated bound: no allocation; the 10 us of hard-load.md are for a service in many data
// centres, see BenchmarkPlaceLargeFleet.
func BenchmarkPlacePaced(b *testing.B) {
	for _, paced := range []bool{false, true} {
		b.Run(fmt.Sprintf("paced=%t", paced), func(b *testing.B) {
			fw := &fixture{events: &events{}}
			l := limits
			l.Pace = paced
			fw.Forwarder = New("a", l, view.New(viewLimits), fw.events)
			for n := range 3000 {
				fw.put(0, fw.entry(target.ID(fmt.Sprintf("i-%d", n)), "booking", "a"))
			}
			fw.View.SetConfig(*newFixture().View.Config(), 1)
			fw.View.MarkListed()
			fw.Tick(0)
			p := flowParams{route: fw.View.Route(bookingAddr)}
			s := fw.services["booking"]
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				if paced {
					fw.prepareZone(0, s)
				}
				c := fw.chooser.choose(0, fw.View, s, p)
				fw.placements++
				c.load.lastPlacement = fw.placements
				fw.pacePlaced(0, c.load)
			}
		})
	}
}

// pacedFixture returns a forwarder that paces, with targets that are known from its first lists.
func pacedFixture(targets int, zone string) *fixture {
	b := &fixture{events: &events{}}
	l := limits
	l.Pace = true
	b.Forwarder = New("a", l, view.New(viewLimits), b.events)
	for n := range targets {
		b.put(0, b.entry(target.ID(fmt.Sprintf("i-%d", n)), "booking", zone))
	}
	b.View.SetConfig(*newFixture().View.Config(), 1)
	b.View.MarkListed()
	b.Tick(0)
	return b
}

func (b *fixture) pace(now time.Duration, id target.ID) float64 {
	r, _ := b.Load(now, id)
	return r.Pace
}

// Guards against a restart of an instance that takes all targets for new ones, and against
// taking cold ones for warm.
func TestPaceOfFirstList(t *testing.T) {
	b := &fixture{events: &events{}}
	l := limits
	l.Pace = true
	b.Forwarder = New("a", l, view.New(viewLimits), b.events)
	for id, warmUp := range map[target.ID]time.Duration{"i-warm": 0, "i-cold": 5 * time.Second, "i-nearly": time.Second} {
		e := b.entry(id, "booking", "a")
		e.WarmUp = warmUp
		b.put(0, e)
	}
	b.View.SetConfig(*newFixture().View.Config(), 1)
	b.View.MarkListed()
	b.Tick(0)
	must.InDelta(t, 1, b.pace(0, "i-warm"), 0.001)
	must.InDelta(t, 0.25, b.pace(0, "i-cold"), 0.001)
	must.InDelta(t, 0.5, b.pace(0, "i-nearly"), 0.001)
}

// Guards against a full share for a target that starts, restarts, returns after a removal, or
// whose data centre is used again after an evacuation, and against missing or repeated events.
func TestPaceStarts(t *testing.T) {
	for cause, begin := range map[PaceCause]func(b *fixture, now time.Duration){
		PaceStarted: func(b *fixture, now time.Duration) {
			e := b.entry("i-0", "booking", "a")
			e.Incarnation = 7
			b.put(now, e)
		},
		PaceReturned: func(b *fixture, now time.Duration) {
			b.remove(now, "i-0")
			b.put(now+ms, b.entry("i-0", "booking", "a"))
		},
		PaceEvacuated: func(b *fixture, now time.Duration) {
			b.View.PutEvacuation(now, "a", 100)
			b.syn(now, flowTo(bookingAddr, 1), 0)
			b.View.WithdrawEvacuation("a", 101)
			b.syn(now, flowTo(bookingAddr, 2), 0)
		},
		PaceRecovered: func(b *fixture, now time.Duration) {
			l := b.loads["i-0"]
			l.recordRetransmission(now, now-ms)
			b.recordResponse(now, l)
		},
	} {
		t.Run(string(cause), func(t *testing.T) {
			b := pacedFixture(3, "a")
			b.Tick(time.Second)
			must.InDelta(t, 1, b.pace(time.Second, "i-0"), 0.001)
			*b.events = nil
			begin(b, 2*time.Second)
			b.Tick(2*time.Second + ms)
			must.InDelta(t, 0.25, b.pace(2*time.Second, "i-0"), 0.01)
			for now := 2500 * ms; now < 6*time.Second; now += 500 * ms {
				b.Tick(now)
			}
			must.InDelta(t, 1, b.pace(6*time.Second, "i-0"), 0.001)
			var got []EventKind
			for _, e := range *b.events {
				if e.Target.ID != "i-0" || e.Kind == Cleared {
					continue
				}
				got = append(got, e.Kind)
				if e.Kind == Paced {
					must.Eq(t, cause, e.Cause)
				}
			}
			must.Eq(t, []EventKind{Paced, FullPace}, got)
		})
	}
}

// Guards against flows that go to another data centre or are rejected because the local targets
// have no credit.
func TestPaceStaysInDataCentre(t *testing.T) {
	b := pacedFixture(4, "a")
	b.put(0, b.entry("i-far", "booking", "b"))
	for n := range 4 {
		e := b.entry(target.ID(fmt.Sprintf("i-%d", n)), "booking", "a")
		e.Incarnation = 7
		b.put(ms, e)
	}
	b.Tick(ms)
	count := map[target.ID]int{}
	for n := range 24 { // four targets with three slots each, and as many queued
		f := flowTo(bookingAddr, n)
		d := b.syn(ms, f, 0)
		must.Eq(t, Forward, d.Verdict)
		count[d.Target.ID]++
		b.accept(ms, f, d)
		b.data(ms, f, d.Token, 101, 500, 10)
	}
	must.Zero(t, count["i-far"])
}

// Guards against credit that outweighs full slots: with one instance, requests would queue at
// one target while another has free slots.
func TestPaceUsesFreeSlots(t *testing.T) {
	b := pacedFixture(1, "a")
	b.put(ms, b.entry("i-new", "booking", "a"))
	b.Tick(ms)
	count := map[target.ID]int{}
	for n := range 6 {
		f := flowTo(bookingAddr, n)
		d := b.syn(2*ms, f, 0)
		count[d.Target.ID]++
		b.accept(2*ms, f, d)
		b.data(2*ms, f, d.Token, 101, 500, 10)
	}
	must.Eq(t, map[target.ID]int{"i-0": 3, "i-new": 3}, count)
}

// Guards against paces that lengthen the queues of a small deployment: one instance, four
// targets in a burst as in TestBurstWaits.
func TestPaceBurstWaits(t *testing.T) {
	load := arrivals{rate: 125, burst: 1.7, work: 53 * ms}
	waits := func(paced bool) []time.Duration {
		b := pacedFixture(4, "a")
		if !paced {
			b.Forwarder = New("a", limits, b.View, b.events)
			b.View.Targets(b.UpdateTarget)
		}
		lastTick := time.Duration(0)
		return replay(load, 4, func(now time.Duration, n int) (int, func(time.Duration)) {
			if now > lastTick+500*ms {
				b.Tick(now)
				lastTick = now
			}
			f := flowTo(bookingAddr, n)
			d := b.syn(now, f, 0)
			b.accept(now, f, d)
			b.data(now, f, d.Token, 101, 500, 900)
			var at int
			_, err := fmt.Sscanf(string(d.Target.ID), "i-%d", &at)
			must.NoError(t, err)
			return at, func(end time.Duration) {
				b.Handle(end, &Segment{Flow: f, ACK: true, FIN: true, Seq: 1001, Ack: 1100, Token: d.Token})
			}
		})
	}
	p99 := func(w []time.Duration) time.Duration { return w[len(w)*99/100] }
	before, after := waits(false), waits(true)
	t.Logf("99th percentile of waits: before %s, after %s", p99(before), p99(after))
	must.LessEq(t, 150*ms, p99(after)) // the users' objective of 300 ms minus processing and network time
}

// Load pattern: one of four targets leaves half of its requests unanswered. Guards against
// paces that give it more flows than the penalty for failures does without them, and against
// excluding it once it answers again.
func TestPaceOfUnresponsiveTarget(t *testing.T) {
	b := pacedFixture(4, "a")
	n, atUnresponsive := 0, 0
	share := func(from, to time.Duration, unresponsive bool) float64 {
		chosen, all := 0, 0
		for now := from; now < to; now += 50 * ms {
			f := flowTo(bookingAddr, n)
			n++
			d := b.syn(now, f, 0)
			b.accept(now, f, d)
			b.data(now, f, d.Token, 101, 500, 900)
			all++
			if d.Target.ID == "i-0" {
				chosen++
				atUnresponsive++
			}
			if !unresponsive || d.Target.ID != "i-0" || atUnresponsive%2 == 0 {
				b.Handle(now+40*ms, &Segment{Flow: f, ACK: true, FIN: true, Seq: 1001, Ack: 1100, Token: d.Token})
			}
			b.Tick(now)
		}
		return float64(chosen) / float64(all)
	}
	must.Between(t, 0.15, share(0, 5*time.Second, false), 0.35)
	share(5*time.Second, 8*time.Second, true) // until its failures are noticed
	must.Less(t, 0.125, share(8*time.Second, 20*time.Second, true))
	share(20*time.Second, 40*time.Second, false) // its unanswered flows are forgotten
	must.Greater(t, 0.15, share(40*time.Second, 50*time.Second, false))
}

// Guards against reports of other instances without effect on the flows of a slow target.
func TestPaceFromReports(t *testing.T) {
	b := pacedFixture(4, "a")
	b.Tick(time.Second)
	for n := range 5 {
		b.ObserveReport(time.Second+time.Duration(n)*300*ms, "i-0", 6, 12)
	}
	must.InDelta(t, 1.0/6, b.pace(3*time.Second, "i-0"), 0.02)
	b.ObserveReport(3*time.Second, "i-unknown", 6, 12)
}

// Guards against a tick that grows with the fleet beyond its share of a core.
func BenchmarkTickPaces(b *testing.B) {
	f := pacedFixture(3000, "a")
	for _, l := range f.loads {
		l.latency, l.latencyAt = time.Duration(l.tieBreak%100)*ms, 0
	}
	b.ReportAllocs()
	for range b.N {
		f.tickPaces(ms)
	}
}

// Guards against flows that a restarted target gets by the pace and the credit of its earlier run
// until the next tick.
func TestRestartedTargetHasNoCreditBeforeItsStart(t *testing.T) {
	b := pacedFixture(3, "a")
	b.Tick(time.Second)
	e := b.entry("i-0", "booking", "a")
	e.Incarnation = 7
	b.put(time.Second+ms, e)
	for n := range 3 {
		z := b.services["booking"].zone("a")
		z.pacing.earned += 2 // all targets have credit
		must.NotEq(t, target.ID("i-0"), b.syn(time.Second+2*ms, flowTo(bookingAddr, n), 0).Target.ID)
	}
}

// Guards against a target without credit for good after its entry moved to another service, whose
// sum of credits is lower.
func TestPaceOfTargetThatChangesItsService(t *testing.T) {
	b := pacedFixture(3, "a")
	b.put(0, b.entry("i-other", "proofing", "a"))
	b.services["booking"].zone("a").pacing.earned = 1000
	b.Tick(time.Second)
	b.put(2*time.Second, b.entry("i-0", "proofing", "a"))
	b.Tick(2 * time.Second)
	must.Between(t, -1, b.loads["i-0"].pace.Credit(0), 2)
}
