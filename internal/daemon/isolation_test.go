package daemon_test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"guavaloom.example/guavaloom/internal/objectstore/standin"
	"guavaloom.example/guavaloom/internal/testbed"
)

// Guards against an instance cut off from its zone that stops serving requests
// which need no agreement, serves others, or reports its packet side as ready.
func TestIsolatedInstanceServesRequests(t *testing.T) {
	r := newFixture(t, "a1", "a2", "a3")
	all := r.start(t, "a1", "a2", "a3")
	r.roll(t, 1)
	r.Store.SetFaults(standin.Faults{Down: true})
	r.Kill(all[1])
	r.Kill(all[2])
	left := all[0]
	ready := func(path string) bool {
		status, _, err := r.Get(left, path)
		return err == nil && status == http.StatusOK
	}
	r.await(t, func() bool { return !ready("/readyz") })
	r.await(t, func() bool { return ready("/readyz/requests") })
	_, body, err := r.Get(left, "/readyz")
	must.NoError(t, err)
	must.StrContains(t, body, "lease_lapsed")
	do := func(c testbed.Call) testbed.Outcome { return r.requests.Do(r.ctx, left, c) }
	must.Eq(t, testbed.Answered, do(testbed.Call{Method: http.MethodGet, Path: "/slots"}))
	must.Eq(t, testbed.Answered, do(testbed.Call{Method: http.MethodPost, Path: "/bookings", Body: []byte("x")}))
	must.Eq(t, testbed.Refused, do(testbed.Call{Method: http.MethodPost, Path: "/bookings", Key: "k", Body: []byte("x")}))
	_, text, err := r.Get(left, "/metrics")
	must.NoError(t, err)
	must.True(t, strings.Contains(text, `guavaloom_zone_events_total{kind="isolated"} 1`))
	must.True(t, strings.Contains(text, `guavaloom_request_reasons_total{reason="isolated_permit"} `))
}
