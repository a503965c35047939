package simulation

import (
	"fmt"
	"time"

	"guavaloom.example/guavaloom/internal/dispatch"
	"guavaloom.example/guavaloom/internal/idempotency"
	"guavaloom.example/guavaloom/internal/service"
	"guavaloom.example/guavaloom/internal/target"
)

const (
	callDeadline = 2 * time.Second
	callTimeout  = 4 * time.Second
	maxCalls     = 8
)

// operation is what a caller wants to happen; unless idempotent, at most once.
type operation struct {
	name       string
	idempotent bool
	class      service.Class
	key        string
	token      *idempotency.Token
	ran, calls int
}

// call is one HTTP request for an operation.
type call struct {
	id      int
	op      *operation
	key     string
	token   *idempotency.Token
	ran     int
	refused bool // the caller was told that it did not run
	ended   bool
}

// requestFigures are the results of the request part of a run.
type requestFigures struct {
	operations, calls, answered, refused, unknown int
	doubleRuns, falseNotRun, wrongAnswers         int
	unleasedSends                                 int
	reasons                                       map[string]int // of calls that were not answered
}

func (f *requestFigures) add(o requestFigures) {
	f.operations += o.operations
	f.calls += o.calls
	f.answered += o.answered
	f.refused += o.refused
	f.unknown += o.unknown
	f.doubleRuns += o.doubleRuns
	f.falseNotRun += o.falseNotRun
	f.wrongAnswers += o.wrongAnswers
	f.unleasedSends += o.unleasedSends
	for r, n := range o.reasons {
		f.note(r, n)
	}
}

func (f *requestFigures) note(reason string, n int) {
	if f.reasons == nil {
		f.reasons = map[string]int{}
	}
	f.reasons[reason] += n
}

// runRequests drives requests through faults of all kinds.
func runRequests(seed int64, s setting) (requestFigures, []string) {
	s.requests = true
	w := newWorld(seed, s)
	w.keepCalling(changesUntil + 10*time.Second)
	chaos(w)
	w.runUntil(changesUntil + 30*time.Second)
	return w.requests, w.events
}

func (w *world) addRequestService() {
	s := &backendService{meta: service.Service{ID: requestService, Kind: service.Request, Host: "lookups.example"}}
	w.services = append(w.services, s)
	for range 14 {
		w.addBackend(s, target.Active, target.FullWeight)
	}
}

// keepCalling starts an operation about every 15 ms.
func (w *world) keepCalling(until time.Duration) {
	if w.now >= until {
		return
	}
	w.requests.operations++
	op := &operation{name: fmt.Sprintf("op-%d", w.requests.operations), class: service.Class(w.rng.Intn(3))}
	switch w.rng.Intn(4) {
	case 0:
		op.idempotent = true
	case 1:
		op.key = op.name
	case 2:
		if h := w.entry(); h != nil && !h.paused {
			t := h.counter.home.IssueToken(h.clock())
			op.token, op.key = &t, idempotency.TokenPrefix+op.name
		}
	}
	w.request(op)
	w.after(w.between(5*time.Millisecond, 25*time.Millisecond), func() { w.keepCalling(until) })
}

func (w *world) entry() *host {
	live := w.live()
	return live[w.rng.Intn(len(live))]
}

// request makes a call for an operation at a random instance.
func (w *world) request(op *operation) {
	if op.calls >= maxCalls {
		return
	}
	op.calls++
	w.requests.calls++
	c := &call{id: w.requests.calls, op: op, key: op.key, token: op.token}
	h := w.entry()
	w.after(clientDelay, func() {
		h.do(func() {
			h.counter.accept(c, 0, h.clock()+callDeadline, func(r reply) {
				if w.rng.Float64() >= w.loss {
					w.after(clientDelay, func() { w.replied(c, r) })
				}
			})
		})
	})
	w.after(callTimeout, func() { w.replied(c, reply{outcome: dispatch.Unknown, reason: "caller_timeout"}) })
}

func (w *world) replied(c *call, r reply) {
	if c.ended {
		return
	}
	c.ended = true
	if r.outcome != dispatch.Answered {
		w.requests.note(r.outcome.String()+" "+r.reason, 1)
	}
	switch r.outcome {
	case dispatch.Answered:
		w.requests.answered++
		if c.op.ran == 0 || r.answer == nil || string(r.answer.Body) != c.op.name {
			w.requests.wrongAnswers++
		}
		return
	case dispatch.Refused:
		w.requests.refused++
		c.refused = true
		if c.ran > 0 {
			w.requests.falseNotRun++
			w.note("operation %s was refused (%s) after it had run (call %d)", c.op.name, r.reason, c.id)
		}
	default:
		w.requests.unknown++
		if !c.op.idempotent && c.op.key == "" {
			return // the caller may not repeat it
		}
	}
	w.after(w.between(100*time.Millisecond, 2*time.Second), func() { w.request(c.op) })
}
