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

// sender performs one attempt; it is a fake in tests.
type sender interface {
	send(ctx context.Context, a attempt) (dispatch.Result, *idempotency.Answer)
}

// attempt is everything that one send needs.
type attempt struct {
	key       dispatch.Key
	call      *Call
	target    target.ID
	remaining time.Duration
	// fresh is set for requests that must not be repeated.
	fresh bool
}

// job is one request inside a desk.
type job struct {
	id   dispatch.RequestID
	call *Call
	// confirm is called directly before each send; false forbids it.
	confirm    func() bool
	idempotent bool
	reply      *Reply // set before done is closed
	answer     *idempotency.Answer
	done       chan struct{}
	cancel     context.CancelFunc // of the attempt in flight
	deadline   time.Duration
	class      service.Class
}

// serviceDesk serves the requests of one service: it drives a desk, whose decisions
// are made under mu, with sends that run in their own goroutines.
type serviceDesk struct {
	service service.ID
	now     func() time.Duration
	sender  sender
	spill   func(ctx context.Context, c *Call) *Reply
	remote  func() bool     // another zone serves the service
	base    context.Context // ends with the server

	mu   sync.Mutex
	desk *scheduler.Desk[*job]
}

var _ scheduler.Owner[*job] = (*serviceDesk)(nil)

func newDesk(ctx context.Context, svc service.ID, cfg admission.Config, seed int64, now func() time.Duration, s sender) *serviceDesk {
	d := &serviceDesk{service: svc, now: now, sender: s, base: ctx}
	d.desk = scheduler.New(cfg, rand.New(rand.NewSource(seed)), d)
	return d
}

// serve runs a request to its final outcome. If ctx ends first, the attempt in
// flight is canceled.
func (d *serviceDesk) serve(ctx context.Context, j *job) *Reply {
	j.done = make(chan struct{})
	d.mu.Lock()
	j.id = d.desk.Begin(d.now(), dispatch.Request{
		Service: d.service, Class: j.class, Deadline: j.deadline,
		Idempotent: j.idempotent, Spillable: d.remote != nil && d.remote() && !j.call.Spilled && j.call.Key == "",
	}, j)
	d.mu.Unlock()
	select {
	case <-j.done:
	case <-ctx.Done():
		why := dispatch.CallerGone
		if ctx.Err() == context.DeadlineExceeded {
			why = dispatch.DeadlinePassed
		}
		d.mu.Lock()
		d.desk.Cancel(d.now(), j.id, why)
		d.mu.Unlock()
		<-j.done
	}
	return j.reply
}

// Send implements scheduler.Owner.
func (d *serviceDesk) Send(a dispatch.Action, j *job) {
	ctx, cancel := context.WithTimeout(d.base, a.Remaining)
	j.cancel = cancel
	go d.send(ctx, cancel, a, j)
}

func (d *serviceDesk) send(ctx context.Context, cancel context.CancelFunc, a dispatch.Action, j *job) {
	defer cancel()
	result := dispatch.Result{Kind: dispatch.Unsent, Reason: dispatch.LeaseLapsed}
	var answer *idempotency.Answer
	if j.confirm() {
		result, answer = d.sender.send(ctx, attempt{key: a.Key, call: j.call, target: a.Target, remaining: a.Remaining, fresh: !j.idempotent})
	}
	canceled := ctx.Err() != nil
	d.mu.Lock()
	defer d.mu.Unlock()
	if result.Kind == dispatch.Complete && d.desk.IsOpen(a.Key.Request) {
		j.answer = answer
	}
	d.desk.Ended(d.now(), a.Key, result, canceled)
}

// Spill implements scheduler.Owner.
func (d *serviceDesk) Spill(a dispatch.Action, j *job) {
	ctx, cancel := context.WithTimeout(d.base, j.deadline-d.now())
	j.cancel = cancel
	go d.sendSpill(ctx, cancel, a.Key, j)
}

func (d *serviceDesk) sendSpill(ctx context.Context, cancel context.CancelFunc, k dispatch.Key, j *job) {
	defer cancel()
	r := d.spill(ctx, j.call)
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.desk.IsOpen(k.Request) {
		j.answer = r.Answer
	}
	d.desk.SpillEnded(d.now(), k, r.Outcome, dispatch.Reason(r.Reason), r.RetryAfter)
}

// Abort implements scheduler.Owner.
func (d *serviceDesk) Abort(_ dispatch.Key, j *job) {
	if j.cancel != nil {
		j.cancel()
	}
}

// Finish implements scheduler.Owner.
func (d *serviceDesk) Finish(a dispatch.Action, j *job) {
	j.reply = &Reply{Outcome: a.Outcome, Reason: string(a.Reason), RetryAfter: a.RetryAfter}
	if a.Outcome == dispatch.Answered {
		j.reply.Answer = j.answer
	}
	close(j.done)
}

// install takes the targets of a new table.
func (d *serviceDesk) install(targets []admission.Target) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.desk.Install(d.now(), targets)
}

// tick refuses what has waited too long and ends what has passed its deadline.
func (d *serviceDesk) tick() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.desk.Tick(d.now())
}

// report takes the load that a target reports about itself, between 0 and 1.
func (d *serviceDesk) report(id target.ID, load float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.desk.Report(id, load)
}

func (d *serviceDesk) loads() []admission.Load {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.desk.Loads()
}

func (d *serviceDesk) stats() dispatch.Stats {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.desk.Stats()
}

func (d *serviceDesk) counts(publish func(source, name string, value uint64)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for name, n := range d.desk.Counts() {
		publish("dispatch/"+string(d.service), string(name), n)
	}
}
