package scheduler

import (
	"math/rand"
	"time"

	"guavaloom.example/guavaloom/internal/admission"
	"guavaloom.example/guavaloom/internal/dispatch"
	"guavaloom.example/guavaloom/internal/target"
)

// Executor performs the actions that a Scheduler decides on for its jobs of type J. The
// Scheduler calls it from within its own methods, so an Executor must not call back.
type Executor[J any] interface {
	// Send starts an attempt. Its end must be reported once with AttemptEnded.
	Send(a dispatch.Action, job J)
	// Spill sends the request to another zone. The outcome must be reported with SpillEnded.
	Spill(a dispatch.Action, job J)
	// Abort cancels an attempt that has been started.
	Abort(k dispatch.AttemptKey, job J)
	// Finish is called once with the request's outcome.
	Finish(a dispatch.Action, job J)
}

// Scheduler queues the requests of one service and decides on their attempts. It is not safe for concurrent use.
type Scheduler[J any] struct {
	executor   Executor[J]
	gate       *admission.Gate
	dispatcher *dispatch.Dispatcher
	open       map[dispatch.RequestID]openRequest[J]
	// keyByTicket and ticketByKey translate between admission tickets and dispatch keys.
	keyByTicket map[uint64]dispatch.AttemptKey
	ticketByKey map[dispatch.AttemptKey]uint64
	lastID      dispatch.RequestID
	lastTicket  uint64
}

type openRequest[J any] struct {
	request dispatch.Request
	job     J
}

// New returns a Scheduler without targets.
func New[J any](cfg admission.Config, rng *rand.Rand, o Executor[J]) *Scheduler[J] {
	return &Scheduler[J]{
		executor: o, gate: admission.New(cfg, rng), dispatcher: dispatch.New(),
		open: map[dispatch.RequestID]openRequest[J]{}, keyByTicket: map[uint64]dispatch.AttemptKey{}, ticketByKey: map[dispatch.AttemptKey]uint64{},
	}
}

// Begin adds a request, assigns its ID and returns the ID.
func (s *Scheduler[J]) Begin(now time.Duration, r dispatch.Request, job J) dispatch.RequestID {
	s.lastID++
	r.ID = s.lastID
	s.open[r.ID] = openRequest[J]{r, job}
	s.apply(now, s.dispatcher.Begin(now, r))
	return r.ID
}

// Cancel ends a request whose caller has stopped waiting for it.
func (s *Scheduler[J]) Cancel(now time.Duration, id dispatch.RequestID, why dispatch.Reason) {
	s.apply(now, s.dispatcher.Cancel(now, id, why))
}

// AttemptEnded reports the end of an attempt. canceled means that Abort or the attempt's
// time limit ended it, so that the result does not count against the target.
func (s *Scheduler[J]) AttemptEnded(now time.Duration, k dispatch.AttemptKey, r dispatch.Result, canceled bool) {
	ticket := s.ticketByKey[k]
	s.forgetTicket(ticket)
	actions := s.dispatcher.AttemptEnded(now, k, r)
	s.apply(now, append(actions, s.handleAdmission(now, s.gate.Done(now, ticket, admissionResult(r, canceled)))...))
}

func admissionResult(r dispatch.Result, canceled bool) admission.Result {
	switch {
	case r.Kind == dispatch.Complete:
		return admission.Served
	case r.Kind == dispatch.NotRun && r.Reason == dispatch.TargetDraining:
		return admission.Drained
	case r.Kind == dispatch.NotRun:
		return admission.Shed
	case canceled || r.Reason == dispatch.LeaseLapsed:
		return admission.Canceled
	}
	return admission.Failed
}

// SpillEnded reports the outcome of a request that was sent to another zone.
func (s *Scheduler[J]) SpillEnded(now time.Duration, k dispatch.AttemptKey, o dispatch.Outcome, why dispatch.Reason, retryAfter time.Duration) {
	s.apply(now, s.dispatcher.SpillEnded(now, k, o, why, retryAfter))
}

// SetTargets replaces the targets by those of a new zone table.
func (s *Scheduler[J]) SetTargets(now time.Duration, targets []admission.Target) {
	s.apply(now, s.handleAdmission(now, s.gate.SetTargets(now, targets)))
}

// Tick refuses requests that have been queued for too long and ends those past their
// deadline.
func (s *Scheduler[J]) Tick(now time.Duration) {
	if s.dispatcher.Unfinished() == 0 {
		return
	}
	s.apply(now, s.dispatcher.Expire(now))
	s.apply(now, s.handleAdmission(now, s.gate.Tick(now)))
}

// ReportLoad records the load, between 0 and 1, that a target reports about itself.
func (s *Scheduler[J]) ReportLoad(id target.ID, load float64) { s.gate.ReportLoad(id, load) }

// Loads returns the state of the targets.
func (s *Scheduler[J]) Loads() []admission.TargetCapacity { return s.gate.Capacities() }

// Stats returns the counts of outcomes.
func (s *Scheduler[J]) Stats() dispatch.Stats { return s.dispatcher.Stats() }

// Counts returns the number of refusals and retries by reason.
func (s *Scheduler[J]) Counts() map[dispatch.Reason]uint64 { return s.dispatcher.Counts() }

// OpenCount returns the number of requests without an outcome.
func (s *Scheduler[J]) OpenCount() int { return len(s.open) }

// IsOpen reports whether a request has no outcome yet.
func (s *Scheduler[J]) IsOpen(id dispatch.RequestID) bool {
	_, ok := s.open[id]
	return ok
}

// apply performs actions, including those that they cause, until none is left.
func (s *Scheduler[J]) apply(now time.Duration, actions []dispatch.Action) {
	for len(actions) > 0 {
		a := actions[0]
		actions = append(actions[1:], s.perform(now, a)...)
	}
}

func (s *Scheduler[J]) perform(now time.Duration, a dispatch.Action) []dispatch.Action {
	e := s.open[a.Key.Request]
	switch a.Kind {
	case dispatch.Admit:
		return s.requestAdmission(now, a, e.request)
	case dispatch.Send:
		s.executor.Send(a, e.job)
	case dispatch.Spill:
		s.executor.Spill(a, e.job)
	case dispatch.Abort:
		if t, ok := s.ticketByKey[a.Key]; ok && s.gate.Cancel(t) {
			s.forgetTicket(t) // the request was still queued
		} else {
			s.executor.Abort(a.Key, e.job)
		}
	case dispatch.Finish:
		delete(s.open, a.Key.Request)
		s.executor.Finish(a, e.job)
	}
	return nil
}

func (s *Scheduler[J]) requestAdmission(now time.Duration, a dispatch.Action, r dispatch.Request) []dispatch.Action {
	s.lastTicket++
	s.keyByTicket[s.lastTicket], s.ticketByKey[a.Key] = a.Key, s.lastTicket
	return s.handleAdmission(now, s.gate.Submit(now, admission.Request{
		Ticket: s.lastTicket, Class: r.Class, Arrived: now, Deadline: r.Deadline, Avoid: a.Avoid,
	}))
}

// handleAdmission converts admission events into dispatch actions.
func (s *Scheduler[J]) handleAdmission(now time.Duration, events []admission.Event) []dispatch.Action {
	var actions []dispatch.Action
	for len(events) > 0 {
		e := events[0]
		events = events[1:]
		key := s.keyByTicket[e.Ticket]
		if e.Kind == admission.Refuse {
			s.forgetTicket(e.Ticket)
			actions = append(actions, s.dispatcher.NotAdmitted(now, key, dispatch.Reason(e.Reason), e.RetryAfter)...)
			continue
		}
		next := s.dispatcher.Admitted(now, key, e.Target)
		if len(next) == 0 || next[0].Kind != dispatch.Send {
			s.forgetTicket(e.Ticket)
			events = append(events, s.gate.Done(now, e.Ticket, admission.Canceled)...)
		}
		actions = append(actions, next...)
	}
	return actions
}

func (s *Scheduler[J]) forgetTicket(ticket uint64) {
	delete(s.ticketByKey, s.keyByTicket[ticket])
	delete(s.keyByTicket, ticket)
}
