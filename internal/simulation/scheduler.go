package simulation

import (
	"fmt"
	"math/rand"
	"time"

	"guavaloom.example/guavaloom/internal/admission"
	"guavaloom.example/guavaloom/internal/dispatch"
	"guavaloom.example/guavaloom/internal/idempotency"
	"guavaloom.example/guavaloom/internal/scheduler"
	"guavaloom.example/guavaloom/internal/service"
	"guavaloom.example/guavaloom/internal/target"
)

// reply is the final outcome of a call.
type reply struct {
	outcome dispatch.Outcome
	reason  string
	answer  *idempotency.Answer
}

// job is one request inside a scheduler.
type job struct {
	call       *call
	idempotent bool
	class      service.Class
	deadline   time.Duration
	confirm    func() bool
	done       func(reply)
	attempt    *attempt
	answer     *idempotency.Answer
}

// attempt is one send; it ends once.
type attempt struct {
	key   dispatch.AttemptKey
	job   *job
	ended bool
}

// hostScheduler drives the Scheduler of one host as the request server does, with
// events in place of goroutines.
type hostScheduler struct {
	h    *host
	desk *scheduler.Scheduler[*job]
}

var _ scheduler.Executor[*job] = (*hostScheduler)(nil)

func newDesk(h *host, cfg admission.Config) *hostScheduler {
	d := &hostScheduler{h: h}
	d.desk = scheduler.New(cfg, rand.New(rand.NewSource(h.w.rng.Int63())), d)
	return d
}

func (d *hostScheduler) serve(j *job) {
	d.desk.Begin(d.h.clock(), dispatch.Request{Service: requestService, Class: j.class, Deadline: j.deadline, Idempotent: j.idempotent}, j)
}

// Spill implements scheduler.Executor. There is one zone, so that nothing is passed on.
func (d *hostScheduler) Spill(a dispatch.Action, _ *job) { panic(fmt.Sprintf("spill of %v", a.Key)) }

// Abort implements scheduler.Executor.
func (d *hostScheduler) Abort(k dispatch.AttemptKey, j *job) {
	if j.attempt == nil || j.attempt.key != k {
		return
	}
	at := j.attempt
	d.h.w.after(0, func() {
		d.h.do(func() { d.end(at, dispatch.Result{Kind: dispatch.Lost, Reason: dispatch.AttemptTimeout}, nil, true) })
	})
}

// Finish implements scheduler.Executor.
func (d *hostScheduler) Finish(a dispatch.Action, j *job) {
	r := reply{outcome: a.Outcome, reason: string(a.Reason)}
	if a.Outcome == dispatch.Answered {
		r.answer = j.answer
	}
	j.done(r)
}

// Send implements scheduler.Executor. The attempt starts a little later, as another
// goroutine does. The instance can be paused in between, so the right to send is
// confirmed then.
func (d *hostScheduler) Send(a dispatch.Action, j *job) {
	at := &attempt{key: a.Key, job: j}
	j.attempt = at
	w := d.h.w
	wait := w.between(0, time.Millisecond)
	if w.rng.Intn(20) == 0 {
		wait = w.between(0, 200*time.Millisecond)
	}
	w.after(wait, func() {
		d.h.do(func() {
			if at.ended {
				return
			}
			if !j.confirm() {
				d.end(at, dispatch.Result{Kind: dispatch.Unsent, Reason: dispatch.LeaseLapsed}, nil, false)
				return
			}
			if !d.h.node.Leased(d.h.clock()) {
				w.requests.unleasedSends++
				w.note("%s sent call %d without a lease", d.h.ref, j.call.id)
			}
			w.attempt(d, at, j, a.Target)
			w.after(a.Remaining, func() {
				d.h.do(func() {
					d.end(at, dispatch.Result{Kind: dispatch.Lost, Reason: dispatch.AttemptTimeout}, nil, false)
				})
			})
		})
	})
}

func (d *hostScheduler) end(at *attempt, r dispatch.Result, answer *idempotency.Answer, canceled bool) {
	if at.ended {
		return
	}
	at.ended = true
	if d.desk.IsOpen(at.key.Request) && at.job.attempt == at && r.Kind == dispatch.Complete {
		at.job.answer = answer
	}
	d.desk.AttemptEnded(d.h.clock(), at.key, r, canceled)
}

// attempt carries one attempt to its target and the answer back.
func (w *world) attempt(d *hostScheduler, at *attempt, j *job, id target.ID) {
	b := w.requestBackend(id)
	back := func(delay time.Duration, r dispatch.Result, answer *idempotency.Answer) {
		w.after(delay, func() { d.h.do(func() { d.end(at, r, answer, false) }) })
	}
	lost := dispatch.Result{Kind: dispatch.Lost, Reason: dispatch.ConnectionLost}
	switch {
	case b.dead:
		back(time.Millisecond, dispatch.Result{Kind: dispatch.Unsent, Reason: dispatch.ConnectFailed}, nil)
		return
	case w.rng.Float64() < w.loss:
		back(time.Millisecond, lost, nil)
		return
	}
	delay := w.between(200*time.Microsecond, time.Millisecond)
	w.after(delay, func() {
		switch {
		case b.dead:
			back(delay, lost, nil)
		case b.state == target.Draining:
			back(delay, dispatch.Result{Kind: dispatch.NotRun, Reason: dispatch.TargetDraining}, nil)
		case b.busy >= b.Slots:
			back(delay, dispatch.Result{Kind: dispatch.NotRun, Reason: dispatch.TargetShed}, nil)
		default:
			w.execute(b, j.call)
			w.after(w.serviceTime(), func() {
				b.busy--
				if b.dead || w.rng.Float64() < w.loss {
					back(delay, lost, nil)
					return
				}
				back(delay, dispatch.Result{Kind: dispatch.Complete}, &idempotency.Answer{Status: 200, Body: []byte(j.call.op.name)})
			})
		}
	})
}

func (w *world) serviceTime() time.Duration {
	return w.between(20*time.Millisecond, 80*time.Millisecond)
}

func (w *world) execute(b *backend, c *call) {
	b.busy++
	c.ran++
	c.op.ran++
	if c.op.ran > 1 && !c.op.idempotent {
		w.requests.doubleRuns++
		w.note("operation %s ran again by call %d", c.op.name, c.id)
	}
	if c.refused {
		w.requests.falseNotRun++
		w.note("operation %s ran after it was refused (call %d)", c.op.name, c.id)
	}
}

func (w *world) requestBackend(id target.ID) *backend {
	for _, b := range w.services[len(w.services)-1].backends {
		if b.ID == id {
			return b
		}
	}
	panic("unknown target " + id)
}
