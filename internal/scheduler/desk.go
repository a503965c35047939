package scheduler

import (
	"math/rand"
	"time"

	"guavaloom.example/guavaloom/internal/admission"
	"guavaloom.example/guavaloom/internal/dispatch"
	"guavaloom.example/guavaloom/internal/target"
)

// Owner performs what a desk decides for its jobs of type J. Its methods are called
// during the desk's and must not call it.
type Owner[J any] interface {
	// Send starts an attempt; Ended reports its end, once.
	Send(a dispatch.Action, job J)
	// Spill passes the request to another zone; SpillEnded reports the outcome.
	Spill(a dispatch.Action, job J)
	// Abort ends an attempt that has been started.
	Abort(k dispatch.Key, job J)
	// Finish is called once with the request's outcome.
	Finish(a dispatch.Action, job J)
}

// Desk serves the requests of one service. It is not safe for concurrent use.
type Desk[J any] struct {
	owner Owner[J]
	gate  *admission.Gate
	disp  *dispatch.Dispatcher
	open  map[dispatch.RequestID]entry[J]
	// keys and tickets map what admission knows to what dispatch knows and back.
	keys       map[uint64]dispatch.Key
	tickets    map[dispatch.Key]uint64
	lastID     dispatch.RequestID
	lastTicket uint64
}

type entry[J any] struct {
	request dispatch.Request
	job     J
}

// New returns a desk without targets.
func New[J any](cfg admission.Config, rng *rand.Rand, o Owner[J]) *Desk[J] {
	return &Desk[J]{
		owner: o, gate: admission.New(cfg, rng), disp: dispatch.New(),
		open: map[dispatch.RequestID]entry[J]{}, keys: map[uint64]dispatch.Key{}, tickets: map[dispatch.Key]uint64{},
	}
}

// Begin takes in a request, whose ID it sets and returns.
func (d *Desk[J]) Begin(now time.Duration, r dispatch.Request, job J) dispatch.RequestID {
	d.lastID++
	r.ID = d.lastID
	d.open[r.ID] = entry[J]{r, job}
	d.apply(now, d.disp.Begin(now, r))
	return r.ID
}

// Cancel ends a request whose caller no longer waits.
func (d *Desk[J]) Cancel(now time.Duration, id dispatch.RequestID, why dispatch.Reason) {
	d.apply(now, d.disp.Cancel(now, id, why))
}

// Ended reports the end of an attempt. canceled tells that it was ended by Abort or
// with its time, which says nothing of the target.
func (d *Desk[J]) Ended(now time.Duration, k dispatch.Key, r dispatch.Result, canceled bool) {
	ticket := d.tickets[k]
	d.forget(ticket)
	actions := d.disp.Ended(now, k, r)
	d.apply(now, append(actions, d.handle(now, d.gate.Done(now, ticket, admissionResult(r, canceled)))...))
}

func admissionResult(r dispatch.Result, canceled bool) admission.Result {
	switch {
	case r.Kind == dispatch.Complete:
		return admission.Served
	case r.Kind == dispatch.NotRun && r.Reason == dispatch.TargetDrains:
		return admission.Drained
	case r.Kind == dispatch.NotRun:
		return admission.Shed
	case canceled || r.Reason == dispatch.LeaseLapsed:
		return admission.Canceled
	}
	return admission.Failed
}

// SpillEnded reports the outcome of a request that was passed to another zone.
func (d *Desk[J]) SpillEnded(now time.Duration, k dispatch.Key, o dispatch.Outcome, why dispatch.Reason, retryAfter time.Duration) {
	d.apply(now, d.disp.SpillEnded(now, k, o, why, retryAfter))
}

// Install takes the targets of a new table.
func (d *Desk[J]) Install(now time.Duration, targets []admission.Target) {
	d.apply(now, d.handle(now, d.gate.Install(now, targets)))
}

// Tick refuses what has waited too long and ends what has passed its deadline.
func (d *Desk[J]) Tick(now time.Duration) {
	if d.disp.Live() == 0 {
		return
	}
	d.apply(now, d.disp.Expire(now))
	d.apply(now, d.handle(now, d.gate.Tick(now)))
}

// Report takes the load that a target reports about itself, between 0 and 1.
func (d *Desk[J]) Report(id target.ID, load float64) { d.gate.Report(id, load) }

// Loads returns the state of the targets.
func (d *Desk[J]) Loads() []admission.Load { return d.gate.Loads() }

// Stats returns the counts of outcomes.
func (d *Desk[J]) Stats() dispatch.Stats { return d.disp.Stats() }

// Counts returns the counts of refusals and retries by reason.
func (d *Desk[J]) Counts() map[dispatch.Reason]uint64 { return d.disp.Counts() }

// Open returns how many requests have no outcome yet.
func (d *Desk[J]) Open() int { return len(d.open) }

// IsOpen reports whether a request has no outcome yet.
func (d *Desk[J]) IsOpen(id dispatch.RequestID) bool {
	_, ok := d.open[id]
	return ok
}

// apply performs actions until none is left.
func (d *Desk[J]) apply(now time.Duration, actions []dispatch.Action) {
	for len(actions) > 0 {
		a := actions[0]
		actions = append(actions[1:], d.perform(now, a)...)
	}
}

func (d *Desk[J]) perform(now time.Duration, a dispatch.Action) []dispatch.Action {
	e := d.open[a.Key.Request]
	switch a.Kind {
	case dispatch.Admit:
		return d.offer(now, a, e.request)
	case dispatch.Send:
		d.owner.Send(a, e.job)
	case dispatch.Spill:
		d.owner.Spill(a, e.job)
	case dispatch.Abort:
		if t, ok := d.tickets[a.Key]; ok && d.gate.Cancel(t) {
			d.forget(t) // it was still queued
		} else {
			d.owner.Abort(a.Key, e.job)
		}
	case dispatch.Finish:
		delete(d.open, a.Key.Request)
		d.owner.Finish(a, e.job)
	}
	return nil
}

func (d *Desk[J]) offer(now time.Duration, a dispatch.Action, r dispatch.Request) []dispatch.Action {
	d.lastTicket++
	d.keys[d.lastTicket], d.tickets[a.Key] = a.Key, d.lastTicket
	return d.handle(now, d.gate.Offer(now, admission.Request{
		Ticket: d.lastTicket, Class: r.Class, Arrived: now, Deadline: r.Deadline, Avoid: a.Avoid,
	}))
}

// handle turns events of admission into actions of dispatch.
func (d *Desk[J]) handle(now time.Duration, events []admission.Event) []dispatch.Action {
	var actions []dispatch.Action
	for len(events) > 0 {
		e := events[0]
		events = events[1:]
		key := d.keys[e.Ticket]
		if e.Kind == admission.Refuse {
			d.forget(e.Ticket)
			actions = append(actions, d.disp.NotAdmitted(now, key, dispatch.Reason(e.Reason), e.RetryAfter)...)
			continue
		}
		next := d.disp.Admitted(now, key, e.Target)
		if len(next) == 0 || next[0].Kind != dispatch.Send {
			d.forget(e.Ticket)
			events = append(events, d.gate.Done(now, e.Ticket, admission.Canceled)...)
		}
		actions = append(actions, next...)
	}
	return actions
}

func (d *Desk[J]) forget(ticket uint64) {
	delete(d.tickets, d.keys[ticket])
	delete(d.keys, ticket)
}
