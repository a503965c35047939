package request

import (
	"context"
	"math/rand"
	"sync"
	"time"

	"guavaloom.example/guavaloom/internal/admission"
	"guavaloom.example/guavaloom/internal/dispatch"
	"guavaloom.example/guavaloom/internal/idempotency"
	"guavaloom.example/guavaloom/internal/scheduler"
	"guavaloom.example/guavaloom/internal/service"
	"guavaloom.example/guavaloom/internal/target"
)

// sender performs one attempt.
type sender interface {
	send(ctx context.Context, a attempt) (dispatch.Result, *idempotency.Answer)
}

// attempt holds the parameters of one send to a target.
type attempt struct {
	key       dispatch.AttemptKey
	call      *Call
	target    target.ID
	remaining time.Duration
	// freshConn selects a new or recently used connection, for requests that must not be
	// repeated.
	freshConn bool
}

// job is one request in a scheduler.
type job struct {
	id   dispatch.RequestID
	call *Call
	// maySend is called directly before each send. If it returns false, nothing is sent.
	maySend    func() bool
	idempotent bool
	reply      *Reply // set before done is closed
	answer     *idempotency.Answer
	done       chan struct{}
	cancel     context.CancelFunc // of the attempt in flight
	deadline   time.Duration
	class      service.Class
}

// serviceScheduler serves the requests of one service. The Scheduler's decisions are made
// under mu; each send runs in its own goroutine.
type serviceScheduler struct {
	service service.ID
	now     func() time.Duration
	sender  sender
	spill   func(ctx context.Context, c *Call) *Reply
	remote  func() bool     // reports whether another zone serves the service
	base    context.Context // canceled when the server is closed

	mu        sync.Mutex
	scheduler *scheduler.Scheduler[*job]
}

var _ scheduler.Executor[*job] = (*serviceScheduler)(nil)

func newServiceScheduler(ctx context.Context, svc service.ID, cfg admission.Config, seed int64, now func() time.Duration, attempts sender) *serviceScheduler {
	s := &serviceScheduler{service: svc, now: now, sender: attempts, base: ctx}
	s.scheduler = scheduler.New(cfg, rand.New(rand.NewSource(seed)), s)
	return s
}

// serve processes a request and returns its final outcome. If ctx ends first, the
// request and its attempt in flight are canceled.
func (s *serviceScheduler) serve(ctx context.Context, j *job) *Reply {
	j.done = make(chan struct{})
	s.mu.Lock()
	j.id = s.scheduler.Begin(s.now(), dispatch.Request{
		Service: s.service, Class: j.class, Deadline: j.deadline,
		Idempotent: j.idempotent, Spillable: s.remote != nil && s.remote() && !j.call.Spilled && j.call.Key == "",
	}, j)
	s.mu.Unlock()
	select {
	case <-j.done:
	case <-ctx.Done():
		why := dispatch.CallerDisconnected
		if ctx.Err() == context.DeadlineExceeded {
			why = dispatch.DeadlinePassed
		}
		s.mu.Lock()
		s.scheduler.Cancel(s.now(), j.id, why)
		s.mu.Unlock()
		<-j.done
	}
	return j.reply
}

// Send implements scheduler.Executor.
func (s *serviceScheduler) Send(a dispatch.Action, j *job) {
	ctx, cancel := context.WithTimeout(s.base, a.Remaining)
	j.cancel = cancel
	go s.send(ctx, cancel, a, j)
}

func (s *serviceScheduler) send(ctx context.Context, cancel context.CancelFunc, a dispatch.Action, j *job) {
	defer cancel()
	result := dispatch.Result{Kind: dispatch.Unsent, Reason: dispatch.LeaseLapsed}
	var answer *idempotency.Answer
	if j.maySend() {
		result, answer = s.sender.send(ctx, attempt{key: a.Key, call: j.call, target: a.Target, remaining: a.Remaining, freshConn: !j.idempotent})
	}
	canceled := ctx.Err() != nil
	s.mu.Lock()
	defer s.mu.Unlock()
	if result.Kind == dispatch.Complete && s.scheduler.IsOpen(a.Key.Request) {
		j.answer = answer
	}
	s.scheduler.AttemptEnded(s.now(), a.Key, result, canceled)
}

// Spill implements scheduler.Executor.
func (s *serviceScheduler) Spill(a dispatch.Action, j *job) {
	ctx, cancel := context.WithTimeout(s.base, j.deadline-s.now())
	j.cancel = cancel
	go s.sendSpill(ctx, cancel, a.Key, j)
}

func (s *serviceScheduler) sendSpill(ctx context.Context, cancel context.CancelFunc, k dispatch.AttemptKey, j *job) {
	defer cancel()
	r := s.spill(ctx, j.call)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.scheduler.IsOpen(k.Request) {
		j.answer = r.Answer
	}
	s.scheduler.SpillEnded(s.now(), k, r.Outcome, dispatch.Reason(r.Reason), r.RetryAfter)
}

// Abort implements scheduler.Executor.
func (s *serviceScheduler) Abort(_ dispatch.AttemptKey, j *job) {
	if j.cancel != nil {
		j.cancel()
	}
}

// Finish implements scheduler.Executor.
func (s *serviceScheduler) Finish(a dispatch.Action, j *job) {
	j.reply = &Reply{Outcome: a.Outcome, Reason: string(a.Reason), RetryAfter: a.RetryAfter}
	if a.Outcome == dispatch.Answered {
		j.reply.Answer = j.answer
	}
	close(j.done)
}

// install replaces the targets by those of a new zone table.
func (s *serviceScheduler) install(targets []admission.Target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.scheduler.SetTargets(s.now(), targets)
}

// tick refuses requests that have been queued for too long and ends those past their
// deadline.
func (s *serviceScheduler) tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.scheduler.Tick(s.now())
}

// report records the load, between 0 and 1, that a target reports about itself.
func (s *serviceScheduler) report(id target.ID, load float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.scheduler.ReportLoad(id, load)
}

func (s *serviceScheduler) loads() []admission.TargetCapacity {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.scheduler.Loads()
}

func (s *serviceScheduler) stats() dispatch.Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.scheduler.Stats()
}

func (s *serviceScheduler) counts(publish func(source, name string, value uint64)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, n := range s.scheduler.Counts() {
		publish("dispatch/"+string(s.service), string(name), n)
	}
}
