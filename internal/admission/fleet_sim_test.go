package admission_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand"
	"slices"
	"time"

	"guavaloom.example/guavaloom/internal/admission"
	"guavaloom.example/guavaloom/internal/dispatch"
	"guavaloom.example/guavaloom/internal/instance"
	"guavaloom.example/guavaloom/internal/service"
	"guavaloom.example/guavaloom/internal/target"
)

// fleetSim simulates one service on a small fleet in virtual time. A target runs as
// many requests as it has slots and sheds the rest, unless targetsQueue is set.
type fleetSim struct {
	rng          *rand.Rand
	now          time.Duration
	queue        events
	seq          int
	instances    []*simInstance
	targets      []admission.Target
	busy         map[target.ID]int
	slowdown     map[target.ID]float64 // factor on service time
	actualSlots  map[target.ID]int     // slots of targets that have another number than listed
	targetsQueue bool                  // targets beyond their slots slow down instead of shedding
	shedsAll     func(target.ID, time.Duration) bool
	latency      [service.Classes][]time.Duration
	offered      [service.Classes]int
	answered     [service.Classes]int
	refused      [service.Classes][]time.Duration // time from arrival to refusal
	shed         int
	owners       []int // indexes of the instances that own slots
}

type simInstance struct {
	gate       *admission.Gate
	dispatcher *dispatch.Dispatcher
	tickets    map[uint64]dispatch.AttemptKey
	req        map[dispatch.RequestID]*request
	last       uint64
}

type request struct {
	class    service.Class
	arrived  time.Duration
	deadline time.Duration
	attempts map[uint32]uint64
}

type event struct {
	at  time.Duration
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	o := *e
	x := o[len(o)-1]
	*e = o[:len(o)-1]
	return x
}

const (
	oneWay      = 500 * time.Microsecond
	meanService = 20 * time.Millisecond
)

var deadlines = [service.Classes]time.Duration{500 * time.Millisecond, time.Second, 2 * time.Second}

type scenario struct {
	instances, targets, slots int
	load                      [service.Classes]float64 // offered load as a share of the service's capacity
	cfg                       admission.Config
	seed                      int64
	length                    time.Duration
	prepare                   func(*fleetSim)
}

func (s scenario) run() *fleetSim {
	w := &fleetSim{rng: rand.New(rand.NewSource(s.seed)), busy: map[target.ID]int{}, slowdown: map[target.ID]float64{}, actualSlots: map[target.ID]int{}}
	var members []instance.ID
	for i := range s.instances {
		members = append(members, instance.ID(fmt.Sprintf("i%03d", i)))
	}
	for i := range s.targets {
		w.targets = append(w.targets, admission.Target{ID: target.ID(fmt.Sprintf("t%02d", i)), State: target.Active, Slots: s.slots})
	}
	if s.prepare != nil {
		s.prepare(w)
	}
	for i, owned := range admission.OwnedSlots("s", members, w.targets) {
		if owned > 0 {
			w.owners = append(w.owners, i)
		}
	}
	for i, m := range members {
		n := &simInstance{gate: admission.New(s.cfg, rand.New(rand.NewSource(s.seed*1000+int64(i)))), dispatcher: dispatch.New(), tickets: map[uint64]dispatch.AttemptKey{}, req: map[dispatch.RequestID]*request{}}
		n.gate.SetTargets(0, admission.Assign("s", members, m, w.targets))
		w.instances = append(w.instances, n)
	}
	// Every class has its own random source, so that a flood of one class leaves the
	// arrivals of the others unchanged.
	for c := range service.Classes {
		rate := s.load[c] * float64(s.targets*s.slots) / meanService.Seconds()
		w.startArrivals(rand.New(rand.NewSource(s.seed*10+int64(c))), service.Class(c), rate, s.length)
	}
	var tick func()
	tick = func() {
		for _, n := range w.instances {
			w.apply(n, n.dispatcher.Expire(w.now))
			w.apply(n, w.handle(n, n.gate.Tick(w.now)))
		}
		if w.now < s.length+3*time.Second {
			w.at(10*time.Millisecond, tick)
		}
	}
	w.at(0, tick)
	for w.queue.Len() > 0 {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do()
	}
	return w
}

func (w *fleetSim) at(in time.Duration, do func()) {
	w.seq++
	heap.Push(&w.queue, event{w.now + in, w.seq, do})
}

func (w *fleetSim) startArrivals(rng *rand.Rand, c service.Class, rate float64, length time.Duration) {
	if rate == 0 {
		return
	}
	var next func()
	next = func() {
		// An instance without slots forwards the request to one that owns some.
		if at := rng.Intn(len(w.instances)); len(w.owners) == len(w.instances) {
			w.arrive(w.instances[at], c)
		} else {
			w.arrive(w.instances[w.owners[at%len(w.owners)]], c)
		}
		if d := time.Duration(rng.ExpFloat64() / rate * 1e9); w.now+d < length {
			w.at(d, next)
		}
	}
	w.at(time.Duration(rng.ExpFloat64()/rate*1e9), next)
}

func (w *fleetSim) arrive(n *simInstance, c service.Class) {
	n.last++
	id := dispatch.RequestID(n.last)
	n.req[id] = &request{class: c, arrived: w.now, deadline: w.now + deadlines[c], attempts: map[uint32]uint64{}}
	w.offered[c]++
	w.apply(n, n.dispatcher.Begin(w.now, dispatch.Request{ID: id, Service: "s", Class: c, Deadline: w.now + deadlines[c]}))
}

func (w *fleetSim) apply(n *simInstance, actions []dispatch.Action) {
	for len(actions) > 0 {
		a := actions[0]
		actions = actions[1:]
		r := n.req[a.Key.Request]
		switch a.Kind {
		case dispatch.Admit:
			n.last++
			n.tickets[n.last] = a.Key
			r.attempts[a.Key.Attempt] = n.last
			actions = append(actions, w.handle(n, n.gate.Submit(w.now, admission.Request{Ticket: n.last, Class: r.class, Arrived: w.now, Deadline: r.deadline, Avoid: a.Avoid}))...)
		case dispatch.Send:
			key, t, ticket := a.Key, a.Target, r.attempts[a.Key.Attempt]
			w.at(oneWay, func() { w.serve(n, key, t, ticket) })
		case dispatch.Abort:
			n.gate.Cancel(r.attempts[a.Key.Attempt])
		case dispatch.Finish:
			if a.Outcome == dispatch.Answered {
				w.answered[r.class]++
				w.latency[r.class] = append(w.latency[r.class], w.now-r.arrived)
			} else {
				w.refused[r.class] = append(w.refused[r.class], w.now-r.arrived)
			}
			delete(n.req, a.Key.Request)
		}
	}
}

func (w *fleetSim) handle(n *simInstance, evs []admission.Event) (actions []dispatch.Action) {
	for len(evs) > 0 {
		e := evs[0]
		evs = evs[1:]
		key := n.tickets[e.Ticket]
		if e.Kind == admission.Refuse {
			actions = append(actions, n.dispatcher.NotAdmitted(w.now, key, dispatch.Reason(e.Reason), e.RetryAfter)...)
			continue
		}
		next := n.dispatcher.Admitted(w.now, key, e.Target)
		if len(next) == 0 || next[0].Kind != dispatch.Send {
			evs = append(evs, n.gate.Done(w.now, e.Ticket, admission.Canceled)...)
		} else {
			n.req[key.Request].attempts[key.Attempt] = e.Ticket
		}
		actions = append(actions, next...)
	}
	return actions
}

// serve runs or sheds an attempt that has arrived at a target.
func (w *fleetSim) serve(n *simInstance, k dispatch.AttemptKey, t target.ID, ticket uint64) {
	delete(n.tickets, ticket)
	end := func(in time.Duration, r dispatch.Result, g admission.Result) {
		w.at(in, func() {
			w.apply(n, n.dispatcher.AttemptEnded(w.now, k, r))
			w.apply(n, w.handle(n, n.gate.Done(w.now, ticket, g)))
		})
	}
	slots := w.targets[slices.IndexFunc(w.targets, func(x admission.Target) bool { return x.ID == t })].Slots
	if real, ok := w.actualSlots[t]; ok {
		slots = real
	}
	if w.shedsAll != nil && w.shedsAll(t, w.now) || w.busy[t] >= slots && !w.targetsQueue {
		w.shed++
		end(oneWay, dispatch.Result{Kind: dispatch.NotRun, Reason: dispatch.TargetShed}, admission.Shed)
		return
	}
	w.busy[t]++
	factor := 1.0
	if f, ok := w.slowdown[t]; ok {
		factor = f
	}
	factor *= max(1, float64(w.busy[t])/float64(slots))
	// Log-normal with a mean of meanService; its p99 is 2.8 times the mean.
	d := time.Duration(factor * float64(meanService) * math.Exp(0.5*w.rng.NormFloat64()-0.125))
	w.at(d, func() { w.busy[t]-- })
	end(d+oneWay, dispatch.Result{Kind: dispatch.Complete}, admission.Served)
}

func (w *fleetSim) stats() (s dispatch.Stats) {
	for _, n := range w.instances {
		x := n.dispatcher.Stats()
		s.Accepted += x.Accepted
		s.Sent += x.Sent
	}
	return s
}

func quantile(v []time.Duration, q float64) time.Duration {
	if len(v) == 0 {
		return 0
	}
	s := slices.Clone(v)
	slices.Sort(s)
	return s[min(len(s)-1, int(q*float64(len(s))))]
}
