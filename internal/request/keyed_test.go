package request

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"

	"guavaloom.example/guavaloom/internal/idempotency"
	"guavaloom.example/guavaloom/internal/instance"
	"guavaloom.example/guavaloom/internal/service"
	"guavaloom.example/guavaloom/internal/target"
)

func startTwo(t *testing.T, a netip.AddrPort) (memoryPeers, *Server, *Server) {
	f := memoryPeers{}
	s1, s2 := f.start(t, "i1", nil), f.start(t, "i2", nil)
	for _, s := range []*Server{s1, s2} {
		must.NoError(t, s.Install(t.Context(), table(1, 2, []netip.AddrPort{a}, homeSet(1, "i1", "i2")), nil))
	}
	return f, s1, s2
}

// keyWithHome returns a key whose home in set 1 is the given instance.
func keyWithHome(id string) string {
	for i := 0; ; i++ {
		k := fmt.Sprintf("key-%d", i)
		h := idempotency.New(ref("i1"), idempotency.Limits{})
		h.Install(0, table(1, 1, nil, homeSet(1, "i1", "i2")))
		v := h.Begin(0, idempotency.Key{Service: "booking", Value: k}, idempotency.Fingerprint{}, true)
		if (v.Kind == idempotency.Forward) == (id == "i2") {
			return k
		}
	}
}

// Guards against a second run when a caller repeats a key, at any instance, sequentially or
// concurrently, and against the use of one key for two different requests.
func TestRepeatAtAnotherInstance(t *testing.T) {
	var hits atomic.Int64
	_, s1, s2 := startTwo(t, httpTarget(t, echoTarget(&hits)))
	for i := range int64(10) {
		key := fmt.Sprintf("k%d", i)
		var wg sync.WaitGroup
		for _, s := range []*Server{s1, s2, s1, s2} {
			wg.Go(func() {
				r, err := do(context.Background(), s, "POST", "/pay", io.MultiReader(), HeaderKey, key)
				must.NoError(t, err)
				must.Eq(t, "POST /pay ", r.body)
			})
		}
		wg.Wait()
		must.Eq(t, i+1, hits.Load())
	}
	r := call(t, s2, "POST", "/pay", "other", HeaderKey, "k1")
	must.Eq(t, []string{"not_run", "key_reused"}, []string{r.outcome, r.reason})
	must.Eq(t, 400, call(t, s2, "POST", "/pay", "", HeaderKey, "").status)
}

// Guards against a second run after the home of a key fails between send and answer.
func TestHomeDiesBetweenSendAndAnswer(t *testing.T) {
	var hits atomic.Int64
	started, release := make(chan struct{}, 1), make(chan struct{})
	a := httpTarget(t, func(http.ResponseWriter, *http.Request) {
		hits.Add(1)
		started <- struct{}{}
		<-release
	})
	t.Cleanup(func() { close(release) })
	_, s1, s2 := startTwo(t, a)
	key := keyWithHome("i1")
	got := make(chan result, 1)
	go func() {
		r, _ := do(context.Background(), s2, "POST", "/", nil, HeaderKey, key)
		got <- r
	}()
	<-started
	s1.Close()
	must.Eq(t, "unknown", (<-got).outcome)
	must.Eq(t, "not_run", call(t, s2, "POST", "/", "", HeaderKey, key).outcome)
	must.NoError(t, s2.Install(t.Context(), table(2, 2, []netip.AddrPort{a}, homeSet(2, "i2"), homeSet(1, "i1", "i2")), nil))
	r := call(t, s2, "POST", "/", "", HeaderKey, key)
	must.Eq(t, []string{"unknown", "key_home_lost"}, []string{r.outcome, r.reason})
	must.Eq(t, 1, hits.Load())
}

// Guards against a second run when the home of a key shuts down gracefully or an instance
// joins.
func TestHomeChangesGracefully(t *testing.T) {
	var hits atomic.Int64
	a := httpTarget(t, echoTarget(&hits))
	f, s1, s2 := startTwo(t, a)
	for i := range 20 {
		must.Eq(t, 200, call(t, s1, "POST", "/", "", HeaderKey, fmt.Sprint(i)).status)
	}
	s3 := f.start(t, "i3", nil)
	joined := table(2, 2, []netip.AddrPort{a}, homeSet(2, "i1", "i2", "i3"), homeSet(1, "i1", "i2"))
	must.NoError(t, s3.Install(t.Context(), joined, nil))
	// The others still hold version 1: the new home has to ask them.
	for i := range 30 {
		r := call(t, s3, "POST", "/", "", HeaderKey, fmt.Sprint(i))
		if r.status != 200 { // the former home has not installed the new home set
			must.Eq(t, "not_run", r.outcome)
		}
	}
	for _, s := range []*Server{s1, s2} {
		must.NoError(t, s.Install(t.Context(), joined, nil))
	}
	must.NoError(t, s1.Shutdown(t.Context(), homeSet(3, "i2", "i3")))
	left := table(3, 2, []netip.AddrPort{a}, homeSet(3, "i2", "i3"), homeSet(2, "i1", "i2", "i3"), homeSet(1, "i1", "i2"))
	for _, s := range []*Server{s2, s3} {
		must.NoError(t, s.Install(t.Context(), left, nil))
	}
	for i := range 40 {
		r := call(t, []*Server{s2, s3}[i%2], "POST", "/", "", HeaderKey, fmt.Sprint(i))
		must.Eq(t, 200, r.status, must.Sprint(i, r.reason))
	}
	must.Eq(t, 40, hits.Load())
}

// Guards against a token that is run twice or by an instance that did not issue it, and
// against forged tokens.
func TestTokens(t *testing.T) {
	var hits atomic.Int64
	_, s1, s2 := startTwo(t, httpTarget(t, echoTarget(&hits)))
	var issued struct{ Token string }
	r := call(t, s1, "POST", TokenPath, "")
	must.Eq(t, 201, r.status)
	must.NoError(t, json.Unmarshal([]byte(r.body), &issued))
	for _, s := range []*Server{s2, s1, s2} {
		must.Eq(t, "POST /t ", call(t, s, "POST", "/t", "", HeaderKey, issued.Token).body)
	}
	must.Eq(t, 1, hits.Load())
	forged := idempotency.Token{Zone: "z", Instance: "i1", Incarnation: 1, Sequence: 9}.Encode([]byte("guess"))
	must.Eq(t, "token_invalid", call(t, s1, "POST", "/t", "", HeaderKey, forged).reason)
	gone := idempotency.Token{Zone: "z", Instance: "i1", Incarnation: 7, Sequence: 9}.Encode(testKey)
	must.Eq(t, "unknown", call(t, s1, "POST", "/t", "", HeaderKey, gone).outcome)
	must.Eq(t, 1, hits.Load())
}

// Guards against refusing all requests when a zone has no available target, and against
// spilling more than a tenth of the requests to another zone.
func TestSpillIsBounded(t *testing.T) {
	var hits atomic.Int64
	f := memoryPeers{}
	s2 := f.start(t, "i2", func(c *Config) { c.Self.Zone = "y" })
	s1 := f.start(t, "i1", func(c *Config) {
		c.Remote = func(service.ID) []instance.Ref { return []instance.Ref{s2.cfg.Self} }
	})
	here := table(1, 1, []netip.AddrPort{{}}, homeSet(1, "i1"))
	here.Services[0].Targets[0].State = target.Ejected
	must.NoError(t, s1.Install(t.Context(), here, nil))
	must.NoError(t, s2.Install(t.Context(), table(1, 2, []netip.AddrPort{httpTarget(t, echoTarget(&hits))}, homeSet(1, "i2")), nil))
	for range 40 {
		if r := call(t, s1, "POST", "/", ""); r.status != 200 {
			must.Eq(t, []string{"not_run", "no_target"}, []string{r.outcome, r.reason})
		}
	}
	must.Between(t, 4, hits.Load(), 5) // 10 % of 40, and the initial token of the spill budget
}

// Guards against refusals and second runs at an instance that owns no slots.
func TestInstanceWithoutSlots(t *testing.T) {
	var hits atomic.Int64
	a := httpTarget(t, echoTarget(&hits))
	f := memoryPeers{}
	servers := []*Server{f.start(t, "i1", nil), f.start(t, "i2", nil), f.start(t, "i3", nil)}
	for _, s := range servers {
		must.NoError(t, s.Install(t.Context(), table(1, 1, []netip.AddrPort{a}, homeSet(1, "i1", "i2", "i3")), nil))
	}
	for i, s := range servers {
		must.Eq(t, 200, call(t, s, "POST", "/", "").status)
		for range 2 {
			must.Eq(t, 200, call(t, s, "POST", "/", "", HeaderKey, fmt.Sprint("key", i)).status)
		}
	}
	must.Eq(t, 6, hits.Load())
	sent := uint64(0)
	for _, s := range servers {
		n := s.Stats("booking").Sent
		must.True(t, n == 0 || n == 6, must.Sprint("only the owner sends"))
		sent += n
	}
	must.Eq(t, 6, sent)
}
