package overload

import (
	"cmp"
	"fmt"
	"math/rand"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"guavaloom.example/guavaloom/internal/view"
	"guavaloom.example/guavaloom/internal/virtualtime"
)

// The replays run the decision in virtual time against a model of targets, instances and
// callers, and compare it with the rule of forwarding's admission.go, which is used while
// overload is off.

const (
	ms         = time.Millisecond
	notRunTime = 3 * ms
	linkTime   = 2 * ms
	// oneShotShare is the share of the requests that come on a flow of their own.
	oneShotShare = 2.0 / 3
	// retryDelay is the mean time between a failed attempt and the next one.
	retryDelay    = 40 * ms
	answerTimeout = 1200 * ms // as forwarding's responseTimeout
)

// simClass is a class of the replayed load.
type simClass struct {
	Class
	objective, deadline, work time.Duration
	// share is the class's share of the requests.
	share float64
}

// tally counts the requests of a class.
type tally struct{ total, inTime, late, rejected, failed int }

func (c tally) share(n int) float64 { return float64(n) / float64(max(c.total, 1)) }
func (c tally) String() string {
	return fmt.Sprintf("n=%5d in time %.3f late %.3f rejected %.3f failed %.3f", c.total, c.share(c.inTime), c.share(c.late), c.share(c.rejected), c.share(c.failed))
}

type simTarget struct {
	virtualtime.Server
	slow float64
}

// observed is what an instance knows of a target.
type observed struct {
	busy      int
	latency   time.Duration
	latencyAt time.Duration
}

type simInstance struct {
	service  Service
	clients  Clients
	observed []observed
}

type request struct {
	class     int
	began     time.Duration
	attempts  int
	addr      [4]byte
	lastReset bool
}

type replay struct {
	virtualtime.Clock
	rng       *rand.Rand
	on        bool
	assumed   int
	targets   []*simTarget
	instances []*simInstance
	classes   []simClass
	clients   uint32
	// tallies has the requests by class and second of their begin.
	tallies [][]tally
	// flows counts the decisions about new flows by class: arrived and admitted.
	arrived, admitted []int
	notRun            int
	// decisions and fullDecisions count the decisions by second, and those while full.
	decisions, fullDecisions []int
}

type scenario struct {
	targets, slots, instances int
	// assumed is how many instances each one assumes; 0 if it knows their number.
	assumed int
	classes []simClass
	// rate returns the requests per second.
	rate    func(now time.Duration) float64
	seconds int
	// slowTargets are slower by slowFactor between slowFrom and slowTo.
	slowTargets      int
	slowFactor       float64
	slowFrom, slowTo time.Duration
}

func newReplay(s scenario, on bool, seed int64) *replay {
	r := &replay{rng: rand.New(rand.NewSource(seed)), on: on, classes: s.classes, assumed: cmp.Or(s.assumed, s.instances)}
	for n := range s.targets {
		t := &simTarget{virtualtime.Server{Slots: s.slots, Queue: targetQueue}, 1}
		if n < s.slowTargets {
			r.After(s.slowFrom, func() { t.slow = s.slowFactor })
			r.After(s.slowTo, func() { t.slow = 1 })
		}
		r.targets = append(r.targets, t)
	}
	for range s.instances {
		r.instances = append(r.instances, &simInstance{observed: make([]observed, s.targets)})
	}
	r.tallies = make([][]tally, len(s.classes))
	for c := range r.tallies {
		r.tallies[c] = make([]tally, s.seconds)
	}
	r.arrived, r.admitted = make([]int, len(s.classes)), make([]int, len(s.classes))
	r.decisions, r.fullDecisions = make([]int, s.seconds+3), make([]int, s.seconds+3)
	r.arrivals(s)
	r.Run()
	return r
}

func (r *replay) arrivals(s scenario) {
	rate := s.rate(r.Now())
	r.After(time.Duration(r.rng.ExpFloat64()/rate*float64(time.Second)), func() {
		if r.Now() >= time.Duration(s.seconds)*time.Second {
			return
		}
		pick, class := r.rng.Float64(), 0
		for class < len(r.classes)-1 && pick >= r.classes[class].share {
			pick -= r.classes[class].share
			class++
		}
		r.clients++
		q := &request{class: class, began: r.Now(), addr: [4]byte{100, byte(r.clients >> 16), byte(r.clients >> 8), byte(r.clients)}}
		if r.rng.Float64() < oneShotShare {
			r.attempt(q)
		} else { // on a long flow, which was placed long before
			q.attempts++
			r.send(q, r.rng.Intn(len(r.instances)), r.rng.Intn(len(r.targets)))
		}
		r.arrivals(s)
	})
}

// attempt opens a new flow for a request.
func (r *replay) attempt(q *request) {
	q.attempts++
	at := r.rng.Intn(len(r.instances))
	i := r.instances[at]
	r.arrived[q.class]++
	if !r.admit(i, q) {
		q.lastReset = true
		i.clients.Reject(r.Now(), q.addr)
		r.After(linkTime, func() { r.retry(q) })
		return
	}
	q.lastReset = false
	r.admitted[q.class]++
	best, ties := 0, 0
	for n := range i.observed {
		switch {
		case i.observed[n].busy < i.observed[best].busy:
			best, ties = n, 1
		case i.observed[n].busy == i.observed[best].busy:
			if ties++; r.rng.Intn(ties) == 0 {
				best = n
			}
		}
	}
	r.send(q, at, best)
}

// admit decides with the rule that is replayed.
func (r *replay) admit(i *simInstance, q *request) bool {
	c := &r.classes[q.class]
	f := Flow{Class: c.Class, Objective: c.objective, Deadline: c.deadline, Repeated: i.clients.Rejected(r.Now(), q.addr)}
	var limit time.Duration
	if r.on {
		i.service.Arrive(r.Now(), f)
		limit = i.service.MaxLatency(r.Now(), f)
	} else if c.Kind == view.Idempotent && c.Priority != view.HighestPriority {
		limit = time.Duration(0.4 * float64(c.objective))
	}
	l := Load{Instances: r.assumed, Targets: len(r.targets)}
	for n := range i.observed {
		o := &i.observed[n]
		l.InFlight += o.busy
		l.Slots += r.targets[n].Slots
		if o.latency > limit && r.Now() <= o.latencyAt+time.Second {
			l.Late++
		}
	}
	if !r.on {
		return limit == 0 || 2*l.Late <= l.Targets || l.InFlight*l.Instances < l.Slots
	}
	ok := i.service.Admits(r.Now(), f, l)
	r.decisions[int(r.Now()/time.Second)]++
	if i.service.Full() {
		r.fullDecisions[int(r.Now()/time.Second)]++
	}
	outcome := Admitted
	if !ok {
		outcome = Rejected
	}
	i.service.Finish(r.Now(), f, outcome)
	return ok
}

// send brings a request to a target.
func (r *replay) send(q *request, at, target int) {
	i, t := r.instances[at], r.targets[target]
	o := &i.observed[target]
	o.busy++
	sent := r.Now()
	counted := true
	uncount := func() {
		if counted {
			counted = false
			o.busy--
		}
	}
	r.After(answerTimeout, uncount)
	answer := func(ran bool) {
		r.After(linkTime, func() {
			if counted {
				r.observe(i, o, q, r.Now()-sent)
			}
			uncount()
			if !ran {
				r.notRun++
				r.retry(q)
				return
			}
			r.finish(q)
		})
	}
	r.After(linkTime, func() {
		work := func() time.Duration {
			return time.Duration((0.5 + r.rng.Float64()) * float64(r.classes[q.class].work) * t.slow)
		}
		if !t.Serve(&r.Clock, work, func() { answer(true) }) {
			r.After(notRunTime, func() { answer(false) })
		}
	})
}

// observe updates what the instance knows of a target as forwarding does.
func (r *replay) observe(i *simInstance, o *observed, q *request, took time.Duration) {
	if r.on {
		if !i.service.Answer(r.Now(), r.classes[q.class].Class, took) {
			return
		}
	}
	o.latencyAt = r.Now()
	if o.latency == 0 {
		o.latency = took
		return
	}
	o.latency += time.Duration(0.2 * float64(took-o.latency))
}

// retry makes a further attempt after one that certainly did not run the request.
func (r *replay) retry(q *request) {
	c := &r.classes[q.class]
	wait := time.Duration((0.5 + r.rng.Float64()) * float64(retryDelay))
	if q.attempts >= 3 || r.Now()+wait >= q.began+c.deadline {
		if c := r.tally(q); q.lastReset {
			c.rejected++
		} else {
			c.failed++
		}
		return
	}
	r.After(wait, func() { r.attempt(q) })
}

func (r *replay) finish(q *request) {
	c, took := &r.classes[q.class], r.Now()-q.began
	switch t := r.tally(q); {
	case took <= c.objective:
		t.inTime++
	case took <= c.deadline:
		t.late++
	default:
		t.failed++
	}
}

func (r *replay) tally(q *request) *tally {
	t := &r.tallies[q.class][int(q.began/time.Second)]
	t.total++
	return t
}

func (c *tally) add(o tally) {
	c.total += o.total
	c.inTime += o.inTime
	c.late += o.late
	c.rejected += o.rejected
	c.failed += o.failed
}

// sum adds up the tallies of a class over the seconds from..to.
func (r *replay) sum(class, from, to int) (out tally) {
	for _, t := range r.tallies[class][from:to] {
		out.add(t)
	}
	return out
}

func (r *replay) all(from, to int) (out tally) {
	for c := range r.classes {
		out.add(r.sum(c, from, to))
	}
	return out
}

// add adds the counts of a replay of the same scenario.
func (r *replay) add(o *replay) {
	for c := range r.tallies {
		for n := range r.tallies[c] {
			r.tallies[c][n].add(o.tallies[c][n])
		}
		r.arrived[c] += o.arrived[c]
		r.admitted[c] += o.admitted[c]
	}
	for n := range r.decisions {
		r.decisions[n] += o.decisions[n]
		r.fullDecisions[n] += o.fullDecisions[n]
	}
	r.notRun += o.notRun
}

// seeds are the seeds of the replays. The rule in use today either holds the overload or
// collapses, depending on the seed, so that a single one says little.
const seeds = 5

// compare runs a scenario with today's rule and with the decision, and logs the shares. The
// results are the sums over all seeds; each is called for every replay with the decision.
func compare(t *testing.T, s scenario, from, to int, each func(seed int64, after *replay)) (before, after *replay) {
	for seed := int64(1); seed <= seeds; seed++ {
		b, a := newReplay(s, false, seed), newReplay(s, true, seed)
		if each != nil {
			each(seed, a)
		}
		if before == nil {
			before, after = b, a
			continue
		}
		before.add(b)
		after.add(a)
	}
	for c := range s.classes {
		t.Logf("class %d %-10s before: %s", s.classes[c].Priority, s.classes[c].Kind, before.sum(c, from, to))
		t.Logf("class %d %-10s after:  %s", s.classes[c].Priority, s.classes[c].Kind, after.sum(c, from, to))
	}
	t.Logf("all %s before: %s (not run %d)", strings.Repeat(" ", 12), before.all(from, to), before.notRun)
	t.Logf("all %s after:  %s (not run %d)", strings.Repeat(" ", 12), after.all(from, to), after.notRun)
	return before, after
}

var (
	urgent = simClass{Class{1, view.AtMostOnce}, 250 * ms, time.Second, 52 * ms, 1.0 / 3}
	feed   = simClass{Class{2, view.Idempotent}, 250 * ms, time.Second, 40 * ms, 2.0 / 3}
)

// crowd returns a rate that is multiplied between two times.
func crowd(base, factor float64, from, to time.Duration) func(time.Duration) float64 {
	return func(now time.Duration) float64 {
		if now >= from && now < to {
			return factor * base
		}
		return base
	}
}

// checkUrgent returns a check of the stated targets: 0.90 of the urgent requests are answered
// during the overload, and 0.95 of all in time from 3 s after it.
func checkUrgent(t *testing.T, from, to int) func(int64, *replay) {
	return func(seed int64, after *replay) {
		u := after.sum(0, from, to)
		must.GreaterEq(t, 0.90, u.share(u.inTime+u.late), must.Sprint("seed ", seed))
		for second := to + 3; second < len(after.tallies[0]); second++ {
			rest := after.all(second, second+1)
			must.GreaterEq(t, 0.95, rest.share(rest.inTime), must.Sprint("seed ", seed, ", second ", second))
		}
	}
}

// Load pattern: eight times the traffic for 8 s at 8 targets of 2 slots, from 0.2 of their
// capacity. Guards against urgent requests that find the targets' queues full of others, and
// against a collapse that outlasts the overload.
func TestEightTimesTheTraffic(t *testing.T) {
	for _, instances := range []int{2, 7, 20, 60} {
		t.Run(fmt.Sprint(instances, " instances"), func(t *testing.T) {
			capacity := 16 / 0.044
			s := scenario{targets: 8, slots: 2, instances: instances, classes: []simClass{urgent, feed}, seconds: 20,
				rate: crowd(0.2*capacity, 8, 4*time.Second, 12*time.Second)}
			before, after := compare(t, s, 4, 12, checkUrgent(t, 4, 12))
			b, a := before.all(4, 12), after.all(4, 12)
			must.GreaterEq(t, b.share(b.inTime), a.share(a.inTime))
			must.GreaterEq(t, 0.05, float64(after.admitted[1])/float64(after.arrived[1]))
		})
	}
}

// Load pattern: as above, while the instances assume half or twice their number: a view lacks
// entries, or has those of instances that left. Guards against limits that depend on the exact
// number.
func TestWrongNumberOfInstances(t *testing.T) {
	for _, assumed := range []int{4, 16} {
		t.Run(fmt.Sprint(assumed, " of 8 assumed"), func(t *testing.T) {
			capacity := 16 / 0.044
			s := scenario{targets: 8, slots: 2, instances: 8, assumed: assumed, classes: []simClass{urgent, feed}, seconds: 20,
				rate: crowd(0.2*capacity, 8, 4*time.Second, 12*time.Second)}
			before, after := compare(t, s, 4, 12, checkUrgent(t, 4, 12))
			b, a := before.all(4, 12), after.all(4, 12)
			must.GreaterEq(t, b.share(b.inTime), a.share(a.inTime))
			normal := after.all(0, 4)
			must.GreaterEq(t, 0.98, normal.share(normal.inTime))
		})
	}
}

// Load pattern: four times the traffic while a third of the targets is four times as slow.
// Guards against limits that assume the full capacity.
func TestSlowTargets(t *testing.T) {
	capacity := 24 / 0.044
	s := scenario{targets: 12, slots: 2, instances: 5, classes: []simClass{urgent, feed}, seconds: 20, slowTargets: 4, slowFactor: 4, slowFrom: 4 * time.Second, slowTo: 12 * time.Second,
		rate: crowd(0.3*capacity, 4, 4*time.Second, 12*time.Second)}
	before, after := compare(t, s, 4, 12, checkUrgent(t, 4, 12))
	ub, u := before.sum(0, 4, 12), after.sum(0, 4, 12)
	must.GreaterEq(t, ub.share(ub.inTime+ub.late), u.share(u.inTime+u.late))
}

// Load pattern: only urgent requests, one and a half times the capacity. Guards against
// limits that leave slots idle for a class that doesn't come.
func TestUrgentAlone(t *testing.T) {
	alone := urgent
	alone.share = 1
	capacity := 16 / 0.052
	s := scenario{targets: 8, slots: 2, instances: 5, classes: []simClass{alone}, seconds: 16,
		rate: crowd(0.3*capacity, 5, 4*time.Second, 12*time.Second)}
	before, after := compare(t, s, 4, 12, nil)
	a := after.sum(0, 4, 12)
	must.GreaterEq(t, 0.95*8*capacity*seeds, float64(a.inTime+a.late), must.Sprint("the targets are not fully used"))
	b := before.sum(0, 4, 12)
	must.GreaterEq(t, 0.98*float64(b.inTime+b.late), float64(a.inTime+a.late))
}

// Load pattern: two classes of one priority with different service times, three times the
// capacity. Guards against admitting one of them more often than the other.
func TestTwoClassesOfOnePriority(t *testing.T) {
	small := simClass{Class{2, view.Idempotent}, 250 * ms, time.Second, 30 * ms, 0.7}
	large := simClass{Class{2, view.Download}, 400 * ms, time.Second, 70 * ms, 0.3}
	capacity := 16 / 0.042
	s := scenario{targets: 8, slots: 2, instances: 5, classes: []simClass{small, large}, seconds: 16,
		rate: crowd(0.3*capacity, 10, 4*time.Second, 12*time.Second)}
	_, after := compare(t, s, 4, 12, nil)
	var shares [2]float64
	for c := range shares {
		shares[c] = float64(after.admitted[c]) / float64(after.arrived[c])
	}
	t.Logf("admitted: %.3f and %.3f of the flows", shares[0], shares[1])
	must.InDelta(t, shares[0], shares[1], 0.10)
}

// Load pattern: four times the capacity for 5 s, then 0.6 of it. Guards against retries that
// keep the targets full after the overload has ended.
func TestReturnToNormal(t *testing.T) {
	capacity := 16 / 0.044
	s := scenario{targets: 8, slots: 2, instances: 5, classes: []simClass{urgent, feed}, seconds: 18,
		rate: crowd(0.6*capacity, 4/0.6, 4*time.Second, 9*time.Second)}
	_, after := compare(t, s, 9, 18, func(seed int64, after *replay) {
		for second := 12; second < 18; second++ {
			rest := after.all(second, second+1)
			must.GreaterEq(t, 0.95, rest.share(rest.inTime), must.Sprint("seed ", seed, ", second ", second))
		}
	})
	share := float64(after.fullDecisions[17]) / float64(after.decisions[17])
	t.Logf("decisions while full in the last second: %.3f", share)
	must.LessEq(t, 0.05, share)
}

// Load pattern: 0.3 and 0.6 of the capacity. Guards against rejections for the random
// variation of the requests in flight, of which an instance among many sees few.
func TestNoRejectionsAtNormalLoad(t *testing.T) {
	for _, load := range []float64{0.3, 0.6} {
		for _, instances := range []int{2, 7, 20, 60} {
			t.Run(fmt.Sprint(load, " of the capacity, ", instances, " instances"), func(t *testing.T) {
				capacity := 16 / 0.044
				s := scenario{targets: 8, slots: 2, instances: instances, classes: []simClass{urgent, feed}, seconds: 20,
					rate: crowd(load*capacity, 1, 0, 0)}
				_, after := compare(t, s, 0, 20, nil)
				arrived, admitted := after.arrived[0]+after.arrived[1], after.admitted[0]+after.admitted[1]
				t.Logf("rejected: %d of %d flows", arrived-admitted, arrived)
				must.LessEq(t, 0.01*float64(arrived), float64(arrived-admitted))
			})
		}
	}
}
