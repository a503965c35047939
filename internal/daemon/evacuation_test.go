package daemon_test

import (
	"net/http"
	"testing"

	"github.com/shoenig/test/must"

	"guavaloom.example/guavaloom/internal/objectstore/standin"
	"guavaloom.example/guavaloom/internal/rollout"
	"guavaloom.example/guavaloom/internal/testbed"
)

// awaitRequests waits until a request to each instance has the outcome.
func (r *fixture) awaitRequests(t *testing.T, want testbed.Outcome) {
	t.Helper()
	do := func(i *testbed.Instance) testbed.Outcome {
		return r.requests.Do(r.ctx, i, testbed.Call{Method: http.MethodGet, Path: "/bookings"})
	}
	r.await(t, func() bool {
		for _, i := range r.Instances() {
			if do(i) != want {
				return false
			}
		}
		return true
	})
}

// Guards against requests to the targets of an evacuated zone, against an evacuation that ends
// with the leader that read it or in an outage of the store, and against targets that stay unused
// after the withdrawal.
func TestEvacuatedZoneRunsNoRequests(t *testing.T) {
	const key = rollout.EvacuationPrefix + testbed.Zone
	r := newFixture(t, "a1", "a2", "a3")
	all := r.start(t, "a1", "a2", "a3")
	r.roll(t, 1)
	r.awaitRequests(t, testbed.Answered)
	version, err := r.Store.Put(r.ctx, key, []byte("{}"), 0)
	must.NoError(t, err)
	r.awaitRequests(t, testbed.Refused)

	before := r.runs()
	r.Store.SetFaults(standin.Faults{Down: true})
	s, err := r.Status(all[0])
	must.NoError(t, err)
	for _, i := range all {
		if string(i.Ref.ID) == s.Leader {
			r.Kill(i)
			r.requests.Killed(i)
		}
	}
	r.await(t, func() bool {
		for _, i := range r.Instances() {
			if now, err := r.Status(i); err != nil || now.Leader == "" || now.Leader == s.Leader {
				return false
			}
		}
		return true
	})
	for range 10 {
		r.awaitRequests(t, testbed.Refused)
	}
	must.Eq(t, before, r.runs())

	r.Store.SetFaults(standin.Faults{})
	must.NoError(t, r.Store.Delete(r.ctx, key, version))
	r.awaitRequests(t, testbed.Answered)
}
