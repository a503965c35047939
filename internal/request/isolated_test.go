package request

import (
	"encoding/json"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"guavaloom.example/guavaloom/internal/explain"
	"guavaloom.example/guavaloom/internal/isolation"
)

// permissions holds the results of Config.Leased and Config.Isolated.
type permissions struct{ leased, isolated atomic.Bool }

func (r *permissions) configure(c *Config) { c.Leased, c.Isolated = r.leased.Load, r.isolated.Load }

func tokenOf(t *testing.T, s *Server) string {
	var issued map[string]string
	must.NoError(t, json.Unmarshal([]byte(call(t, s, "POST", TokenPath, "").body), &issued))
	return issued["token"]
}

// Guards against an isolated instance that refuses requests that are safe without a lease,
// and against one that runs a request whose key another instance may decide on.
func TestIsolatedServesWhatNeedsNoAgreement(t *testing.T) {
	var hits atomic.Int64
	var r permissions
	f, s := startOne(t, r.configure, 2, httpTarget(t, echoTarget(&hits)))
	other := f.start(t, "i2", nil)
	own, foreign := tokenOf(t, s), tokenOf(t, other)
	r.leased.Store(true)
	must.Eq(t, 200, call(t, s, "POST", "/early", "", HeaderKey, "early").status)
	r.leased.Store(false)
	cases := []struct {
		name, method, key string
		served            bool
	}{
		{"idempotent", "GET", "", true},
		{"idempotent with a key", "GET", "k", true},
		{"without a key", "POST", "", true},
		{"own token", "POST", own, true},
		{"repeated own token", "POST", own, true},
		{"token of another instance", "POST", foreign, false},
		{"invalid token", "POST", own[:len(own)-4] + "AAAA", false},
		{"caller's key", "POST", "k", false},
		{"caller's key that ran here", "POST", "early", false},
	}
	for _, isolated := range []bool{false, true} {
		r.isolated.Store(isolated)
		for _, c := range cases {
			var h []string
			if c.key != "" {
				h = []string{HeaderKey, c.key}
			}
			before := hits.Load()
			got := call(t, s, c.method, "/", "", h...)
			if isolated && c.served {
				must.Eq(t, 200, got.status, must.Sprint(c.name))
				continue
			}
			must.Eq(t, []string{"not_run", "lease_lapsed"}, []string{got.outcome, got.reason}, must.Sprint(c.name))
			must.Eq(t, before, hits.Load(), must.Sprint(c.name))
		}
	}
	must.Eq(t, 1+4, hits.Load(), must.Sprint("the repeated token runs once"))
	must.Positive(t, s.Counts()[countIsolated])
	must.NotEq(t, "refuse", s.Explain(explain.RequestQuery{Method: "POST", Host: host, Path: "/"}).Decision)
	must.Eq(t, "lease_lapsed", s.Explain(explain.RequestQuery{Method: "POST", Host: host, Path: "/", IdempotencyKey: "k"}).Reason)
}

// Guards against an isolated instance that sends a spilled request with a key chosen by the
// caller.
func TestIsolatedOwnerOfSlots(t *testing.T) {
	var hits atomic.Int64
	var r permissions
	_, s := startOne(t, r.configure, 2, httpTarget(t, echoTarget(&hits)))
	r.isolated.Store(true)
	for key, served := range map[string]bool{"": true, tokenOf(t, s): true, "k": false} {
		before := hits.Load()
		reply := s.HandleDispatch(t.Context(), &Call{Service: "booking", Method: http.MethodPost, Target: "/", Host: host, Key: key, Spilled: true, Remaining: time.Second})
		must.Eq(t, served, reply.Answer != nil, must.Sprint(key))
		must.Eq(t, served, hits.Load() > before)
	}
}

// Guards against an instance that resumes after a pause and sends requests because it was
// isolated before the pause, without having searched for a leader again.
func TestResumedInstanceRefusesUntilItHasSearched(t *testing.T) {
	var hits, now atomic.Int64
	d := isolation.Detector{}
	tick := func(until, leaseEnd time.Duration) {
		for ; time.Duration(now.Load()) < until; now.Add(int64(100 * time.Millisecond)) {
			d.Tick(time.Duration(now.Load()), isolation.Inputs{LeaseEnd: leaseEnd, Member: true})
		}
	}
	_, s := startOne(t, func(c *Config) {
		c.Leased = func() bool { return now.Load() < int64(6*time.Second) }
		c.Isolated = func() bool { return now.Load() < int64(d.Until()) }
	}, 2, httpTarget(t, echoTarget(&hits)))
	status := func() int { return call(t, s, "GET", "/", "").status }
	tick(5*time.Second, 6*time.Second)
	must.Eq(t, 200, status())
	tick(7*time.Second, 6*time.Second)
	must.Eq(t, 503, status())
	tick(9*time.Second, 0)
	must.Eq(t, 200, status())
	now.Store(int64(20 * time.Second)) // paused; no tick yet
	must.Eq(t, 503, status())
	tick(21*time.Second, 0)
	must.Eq(t, 503, status())
	tick(23*time.Second, 0)
	must.Eq(t, 200, status())
	must.Eq(t, 3, hits.Load())
}
