package scheduler

import (
	"math/rand"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"guavaloom.example/guavaloom/internal/admission"
	"guavaloom.example/guavaloom/internal/dispatch"
	"guavaloom.example/guavaloom/internal/target"
)

// fakeExecutor records the calls of a Scheduler.
type fakeExecutor struct {
	sent     []dispatch.Action
	aborted  []dispatch.AttemptKey
	finished map[string]dispatch.Action
}

func (c *fakeExecutor) Send(a dispatch.Action, _ string)      { c.sent = append(c.sent, a) }
func (c *fakeExecutor) Spill(dispatch.Action, string)         {}
func (c *fakeExecutor) Abort(k dispatch.AttemptKey, _ string) { c.aborted = append(c.aborted, k) }
func (c *fakeExecutor) Finish(a dispatch.Action, job string)  { c.finished[job] = a }

// newTestScheduler returns a Scheduler with one target that has one slot.
func newTestScheduler() (*Scheduler[string], *fakeExecutor) {
	c := &fakeExecutor{finished: map[string]dispatch.Action{}}
	s := New(admission.Config{}, rand.New(rand.NewSource(1)), c)
	s.SetTargets(0, []admission.Target{{ID: "t", State: target.Active, Slots: 1, Owned: 1, BulkOwned: 1}})
	return s, c
}

func request(deadline time.Duration) dispatch.Request {
	return dispatch.Request{Service: "s", Deadline: deadline}
}

// Guards against a slot that is not freed when its attempt ends: the queued requests
// would never be sent.
func TestEndOfAttemptServesTheQueue(t *testing.T) {
	s, c := newTestScheduler()
	s.Begin(0, request(time.Second), "first")
	s.Begin(0, request(time.Second), "second")
	must.Len(t, 1, c.sent)
	s.AttemptEnded(10*time.Millisecond, c.sent[0].Key, dispatch.Result{Kind: dispatch.Complete}, false)
	must.Eq(t, dispatch.Answered, c.finished["first"].Outcome)
	must.Len(t, 2, c.sent)
	must.Eq(t, target.ID("t"), c.sent[1].Target)
	must.Eq(t, 1, s.OpenCount())
}

// Guards against a canceled request that stays queued and is sent later, and against
// Abort being called for an attempt that was never started.
func TestCanceledRequestLeavesTheQueue(t *testing.T) {
	s, c := newTestScheduler()
	s.Begin(0, request(time.Second), "first")
	waiting := s.Begin(0, request(time.Second), "second")
	s.Cancel(time.Millisecond, waiting, dispatch.CallerDisconnected)
	must.SliceEmpty(t, c.aborted)
	must.False(t, s.IsOpen(waiting))
	must.Eq(t, dispatch.Refused, c.finished["second"].Outcome)
	s.AttemptEnded(10*time.Millisecond, c.sent[0].Key, dispatch.Result{Kind: dispatch.Complete}, false)
	must.Len(t, 1, c.sent)
	must.Zero(t, s.OpenCount())
}
