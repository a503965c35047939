package dispatch

import (
	"slices"
	"time"

	"guavaloom.example/guavaloom/internal/invariant"
	"guavaloom.example/guavaloom/internal/target"
)

// Dispatcher tracks the unfinished requests of one service at one instance.
type Dispatcher struct {
	retryBudget *Budget
	spillBudget *Budget
	unfinished  map[RequestID]*request
	counts      map[Reason]uint64
	stats       Stats
}

// Stats counts requests and attempts since the Dispatcher was created.
type Stats struct {
	Accepted uint64 // requests with at least one attempt sent
	Sent     uint64 // attempts sent
	Spilled  uint64 // requests sent to another zone
	Answered uint64
	Refused  uint64
	Unknown  uint64
}

type phase uint8

const (
	admitting phase = iota
	sending
	spilling
)

type request struct {
	Request
	phase   phase
	attempt uint32
	sent    uint32
	tried   []target.ID
	// mayHaveRun is set once an attempt has ended without certainty that it did not run.
	mayHaveRun     bool
	lastReason     Reason
	lastRetryAfter time.Duration
}

func (r *request) key() AttemptKey {
	return AttemptKey{Service: r.Service, Request: r.ID, Attempt: r.attempt}
}

// New returns a Dispatcher with no requests.
func New() *Dispatcher {
	return &Dispatcher{
		retryBudget: NewBudget(retryShare, budgetBurst),
		spillBudget: NewBudget(spillShare, budgetBurst),
		unfinished:  map[RequestID]*request{},
		counts:      map[Reason]uint64{},
	}
}

// Begin adds a new request, whose ID must not be in use.
func (d *Dispatcher) Begin(now time.Duration, r Request) []Action {
	_, exists := d.unfinished[r.ID]
	invariant.Check(!exists, "dispatch.request_id", "request ID %d is already in use", r.ID)
	q := &request{Request: r, attempt: 1}
	d.unfinished[r.ID] = q
	d.spillBudget.Earn()
	if now >= r.Deadline {
		return d.finish(q, Refused, DeadlinePassed, 0)
	}
	return []Action{{Kind: Admit, Key: q.key()}}
}

// Admitted handles a slot that admission granted on a target. The slot must be
// released if the returned actions don't include Send: the attempt was superseded
// or its deadline has passed.
func (d *Dispatcher) Admitted(now time.Duration, k AttemptKey, t target.ID) []Action {
	q := d.current(k, admitting)
	if q == nil {
		return nil
	}
	if now >= q.Deadline {
		return d.finishBetweenAttempts(q, DeadlinePassed, 0)
	}
	invariant.Check(q.Idempotent || !q.mayHaveRun, "dispatch.at_most_once", "retry of non-idempotent request %d, which may have run", q.ID)
	q.phase = sending
	q.tried = append(q.tried, t)
	q.sent++
	d.stats.Sent++
	if q.sent == 1 {
		d.stats.Accepted++
	}
	// In phase sending the request counts as possibly run until AttemptEnded (see abandon).
	return []Action{{Kind: Send, Key: k, Target: t, Remaining: q.Deadline - now}}
}

// NotAdmitted handles an attempt that admission refused.
func (d *Dispatcher) NotAdmitted(_ time.Duration, k AttemptKey, why Reason, retryAfter time.Duration) []Action {
	q := d.current(k, admitting)
	if q == nil {
		return nil
	}
	if q.sent == 0 && q.Spillable {
		if d.spillBudget.Take() {
			q.phase = spilling
			d.stats.Spilled++
			d.counts[why]++
			return []Action{{Kind: Spill, Key: k}}
		}
		d.counts[SpillBudget]++
	}
	return d.finishBetweenAttempts(q, why, retryAfter)
}

// SpillEnded handles the outcome of a request that was sent to another zone.
func (d *Dispatcher) SpillEnded(_ time.Duration, k AttemptKey, o Outcome, why Reason, retryAfter time.Duration) []Action {
	q := d.current(k, spilling)
	if q == nil {
		return nil
	}
	if o == Answered {
		return d.finish(q, Answered, "", 0)
	}
	if why == "" {
		why = zoneUnavailable
	}
	return d.finish(q, o, why, retryAfter)
}

// AttemptEnded handles the end of a sent attempt. The result of an attempt that is
// no longer awaited is dropped; if it is an answer, it is counted as AnswerLate.
func (d *Dispatcher) AttemptEnded(now time.Duration, k AttemptKey, res Result) []Action {
	q := d.current(k, sending)
	if q == nil {
		if res.Kind == Complete {
			d.counts[AnswerLate]++
		}
		return nil
	}
	if res.Kind == Complete {
		d.retryBudget.Earn()
		return d.finish(q, Answered, "", 0)
	}
	d.counts[res.Reason]++
	if res.Kind == Lost {
		q.mayHaveRun = true
	}
	q.lastReason, q.lastRetryAfter = res.Reason, res.RetryAfter
	return d.retryOrFinish(now, q)
}

// retryOrFinish retries the request if that is safe, in time and within the retry
// budget, and finishes it otherwise.
func (d *Dispatcher) retryOrFinish(now time.Duration, q *request) []Action {
	switch {
	case q.mayHaveRun && !q.Idempotent:
		return d.finish(q, Unknown, q.lastReason, 0)
	case now >= q.Deadline:
		return d.finishBetweenAttempts(q, DeadlinePassed, 0)
	case q.lastReason == LeaseLapsed:
		return d.finishBetweenAttempts(q, LeaseLapsed, 0)
	case !d.retryBudget.Take():
		d.counts[RetryBudget]++
		return d.finishBetweenAttempts(q, q.lastReason, q.lastRetryAfter)
	}
	q.phase = admitting
	q.attempt++
	return []Action{{Kind: Admit, Key: q.key(), Avoid: slices.Clone(q.tried)}}
}

// Cancel ends a request because its caller has disconnected or because this
// instance must not send it.
func (d *Dispatcher) Cancel(_ time.Duration, id RequestID, why Reason) []Action {
	q := d.unfinished[id]
	if q == nil {
		return nil
	}
	return d.abandon(q, why)
}

// Expire ends the requests whose deadline has passed.
func (d *Dispatcher) Expire(now time.Duration) []Action {
	var due []*request
	for _, q := range d.unfinished {
		if now >= q.Deadline {
			due = append(due, q)
		}
	}
	slices.SortFunc(due, func(a, b *request) int { return int(int64(a.ID) - int64(b.ID)) })
	var actions []Action
	for _, q := range due {
		actions = append(actions, d.abandon(q, DeadlinePassed)...)
	}
	return actions
}

// abandon finishes a request without waiting for its current attempt. The outcome
// is Unknown if that attempt has been sent, since it may have run.
func (d *Dispatcher) abandon(q *request, why Reason) []Action {
	if q.phase == admitting {
		return append([]Action{{Kind: Abort, Key: q.key()}}, d.finishBetweenAttempts(q, why, 0)...)
	}
	return append([]Action{{Kind: Abort, Key: q.key()}}, d.finish(q, Unknown, why, 0)...)
}

// finishBetweenAttempts finishes a request that has no attempt in flight.
func (d *Dispatcher) finishBetweenAttempts(q *request, why Reason, retryAfter time.Duration) []Action {
	if q.mayHaveRun {
		return d.finish(q, Unknown, why, 0)
	}
	return d.finish(q, Refused, why, retryAfter)
}

func (d *Dispatcher) finish(q *request, o Outcome, why Reason, retryAfter time.Duration) []Action {
	delete(d.unfinished, q.ID)
	switch o {
	case Answered:
		d.stats.Answered++
	case Refused:
		d.stats.Refused++
	case Unknown:
		d.stats.Unknown++
	}
	if why != "" && why != q.lastReason {
		d.counts[why]++
	}
	return []Action{{Kind: Finish, Key: q.key(), Outcome: o, Reason: why, RetryAfter: retryAfter}}
}

// current returns the request of k if k is its latest attempt and the request is in
// phase p, and nil otherwise.
func (d *Dispatcher) current(k AttemptKey, p phase) *request {
	q := d.unfinished[k.Request]
	if q == nil || q.Service != k.Service || q.attempt != k.Attempt || q.phase != p {
		return nil
	}
	return q
}

// Unfinished returns the number of unfinished requests.
func (d *Dispatcher) Unfinished() int { return len(d.unfinished) }

// Stats returns the counts since the Dispatcher was created.
func (d *Dispatcher) Stats() Stats { return d.stats }

// Counts returns the number of occurrences of each reason since the Dispatcher was
// created.
func (d *Dispatcher) Counts() map[Reason]uint64 { return d.counts }
