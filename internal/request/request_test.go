package request

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"guavaloom.example/guavaloom/internal/dispatch"
	"guavaloom.example/guavaloom/internal/service"
	"guavaloom.example/guavaloom/internal/target"
	"guavaloom.example/guavaloom/internal/zone"
)

func echoTarget(hits *atomic.Int64) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		hits.Add(1)
		b, _ := io.ReadAll(r.Body)
		for _, h := range []string{HeaderService, HeaderRequest, HeaderAttempt} {
			w.Header().Set(h, r.Header.Get(h))
		}
		w.Header().Set("X-Deadline", r.Header.Get(HeaderDeadline))
		fmt.Fprintf(w, "%s %s %s", r.Method, r.RequestURI, b)
	}
}

// Guards against requests forwarded without their method, path, body or deadline, and
// against spoofed protocol headers.
func TestForwards(t *testing.T) {
	var hits atomic.Int64
	_, s := startOne(t, nil, 2, httpTarget(t, echoTarget(&hits)))
	for _, m := range []string{"GET", "POST", "PUT", "DELETE", "PATCH", "OPTIONS"} {
		r := call(t, s, m, "/a/b?c=d", "x", HeaderService, "other")
		must.Eq(t, 200, r.status, must.Sprint(m, r.reason))
		must.Eq(t, m+" /a/b?c=d x", r.body)
		must.NotEq(t, "", r.header.Get("X-Deadline"))
		must.Eq(t, "", r.header.Get(HeaderService))
	}
	must.Eq(t, 400, call(t, s, "GET", "/", "", HeaderDeadline, "-3").status)
	must.Eq(t, 404, func() int {
		req, _ := http.NewRequest("GET", "http://"+s.Addr().String(), nil)
		resp, err := http.DefaultClient.Do(req)
		must.NoError(t, err)
		resp.Body.Close()
		return resp.StatusCode
	}())
	must.Eq(t, 6, hits.Load())
}

// Guards against the answer of an abandoned attempt reaching a later request.
func TestLateAnswerIsDropped(t *testing.T) {
	release, cancel := context.WithCancel(t.Context()) // also canceled when the test ends
	a := httpTarget(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			<-release.Done()
		}
		_, _ = io.WriteString(w, r.URL.Path)
	})
	_, s := startOne(t, nil, 2, a)
	r := call(t, s, "POST", "/slow", "", HeaderDeadline, "500")
	must.Eq(t, "unknown", r.outcome)
	must.Eq(t, 504, r.status)
	cancel()
	for range 20 {
		must.Eq(t, "/next", call(t, s, "POST", "/next", "").body)
	}
}

// Guards against an attempt that ends at its request's deadline and is reported as a lost
// connection or a truncated answer, with status 502 in place of 504.
func TestAttemptAtTheDeadline(t *testing.T) {
	release, stop := context.WithCancel(t.Context()) // the server's end waits for its handlers
	defer stop()
	for _, sendsHeader := range []bool{false, true} {
		a := httpTarget(t, func(w http.ResponseWriter, _ *http.Request) {
			if sendsHeader {
				w.Header().Set("Content-Length", "5")
				_, _ = io.WriteString(w, "1")
				must.NoError(t, http.NewResponseController(w).Flush())
			}
			<-release.Done()
		})
		c := newClient(Limits{ConnectTimeout: time.Minute, AttemptTimeout: time.Minute, MaxAnswer: 1 << 10})
		c.install(map[target.ID]netip.AddrPort{"t-0": a})
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		result, _ := c.send(ctx, attempt{call: &Call{Method: "POST", Target: "/"}, target: "t-0"})
		cancel()
		must.Eq(t, dispatch.Result{Kind: dispatch.Lost, Reason: dispatch.DeadlinePassed}, result)
	}
}

// Load pattern: a target sends a duplicate of an answer when the connection is already in
// use by the next request. Guards against the next caller getting the duplicate, whether or
// not the target echoes the protocol headers.
func TestSecondCopyOfAnAnswer(t *testing.T) {
	answer := func(r *http.Request, echo bool, body string) string {
		head := "HTTP/1.1 200 OK\r\n"
		if echo {
			for _, name := range []string{HeaderService, HeaderRequest, HeaderAttempt} {
				head += name + ": " + r.Header.Get(name) + "\r\n"
			}
		}
		return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
	}
	for _, echo := range []bool{true, false} {
		var mu sync.Mutex
		former := map[int]string{}
		target := rawTarget(t, func(conn, _ int, r *http.Request) (string, bool) {
			mu.Lock()
			defer mu.Unlock()
			own := answer(r, echo, r.URL.Path)
			out := former[conn] + own
			former[conn] = own
			return out, true
		})
		_, s := startOne(t, nil, 2, target)
		served := 0
		for n := range 10 {
			path := fmt.Sprintf("/%d", n)
			r := call(t, s, "POST", path, "")
			if r.outcome == "" {
				served++
				must.Eq(t, path, r.body, must.Sprintf("echo %v", echo))
			} else {
				must.Eq(t, "unknown", r.outcome)
			}
		}
		must.Positive(t, served)
		if !echo {
			must.Eq(t, 10, served)
		}
	}
}

// Guards against answers that belong to another request on the same connection.
func TestCrossedAnswer(t *testing.T) {
	wrong := rawTarget(t, func(_, _ int, _ *http.Request) (string, bool) {
		return "HTTP/1.1 200 OK\r\nGuavaloom-Request: 999\r\nContent-Length: 5\r\n\r\nwrong", true
	})
	_, s := startOne(t, nil, 2, wrong)
	r := call(t, s, "POST", "/", "")
	must.Eq(t, []string{"unknown", "answer_crossed"}, []string{r.outcome, r.reason})
	var hits atomic.Int64
	_, s = startOne(t, nil, 2, wrong, httpTarget(t, echoTarget(&hits)))
	for range 3 {
		r = call(t, s, "GET", "/", "")
		must.StrNotContains(t, r.body, "wrong")
	}
}

// Guards against a truncated answer that looks complete to the caller.
func TestCutAnswer(t *testing.T) {
	for name, out := range map[string]string{
		"length":     "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\npart",
		"chunked":    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
		"until_eof":  "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart",
		"no_headers": "HTTP/1.1 200 OK\r\nConte",
	} {
		_, s := startOne(t, nil, 2, rawTarget(t, func(_, _ int, _ *http.Request) (string, bool) { return out, false }))
		r := call(t, s, "POST", "/", "")
		must.Eq(t, "unknown", r.outcome, must.Sprint(name))
		must.StrNotContains(t, r.body, "part")
	}
}

// Guards against a canceled request that keeps its slot, or runs after it was reported as
// not run, in either order of cancellation and start.
func TestCancelRacesStart(t *testing.T) {
	var hits atomic.Int64
	block := make(chan struct{}, 1)
	a := httpTarget(t, func(w http.ResponseWriter, r *http.Request) {
		hits.Add(1)
		if r.URL.Path == "/hold" {
			<-block
		}
	})
	_, s := startOne(t, nil, 1, a)
	for i := range 50 {
		var wg sync.WaitGroup
		wg.Go(func() { _, _ = do(context.Background(), s, "POST", "/hold", nil) })
		ctx, cancel := context.WithCancel(context.Background())
		wg.Go(func() { _, _ = do(ctx, s, "POST", "/raced", nil) })
		if i%2 == 0 {
			block <- struct{}{}
			cancel()
		} else {
			cancel()
			block <- struct{}{}
		}
		wg.Wait()
		cancel()
		must.Eq(t, 200, call(t, s, "POST", "/after", "").status)
	}
	st := s.Stats("booking")
	must.LessEq(t, int64(st.Answered+st.Unknown), hits.Load())
}

func notRunTarget(drain bool) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(HeaderNotRun, "true")
		if drain {
			w.Header().Set(HeaderDraining, "true")
		}
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// Guards against failed requests when a target sheds or drains, and against retries beyond
// the retry budget.
func TestShedAndDrain(t *testing.T) {
	for _, drain := range []bool{false, true} {
		var hits atomic.Int64
		_, s := startOne(t, nil, 1, httpTarget(t, notRunTarget(drain)), httpTarget(t, echoTarget(&hits)))
		for range 5 {
			must.Eq(t, 200, call(t, s, "POST", "/", "").status)
		}
		_, s = startOne(t, nil, 1, httpTarget(t, notRunTarget(drain)))
		r := call(t, s, "POST", "/", "", HeaderDeadline, "200")
		must.Eq(t, "not_run", r.outcome)
		must.Eq(t, 503, r.status)
		must.LessEq(t, uint64(2), s.Stats("booking").Sent)
	}
}

// Guards against reporting "not run" for a request that may have run, and "unknown" for one
// that did not.
func TestConnectionRefusedIsNotRun(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	closed := l.Addr().(*net.TCPAddr).AddrPort()
	l.Close()
	_, s := startOne(t, nil, 1, closed)
	r := call(t, s, "POST", "/", "", HeaderDeadline, "500")
	must.Eq(t, "not_run", r.outcome)
	_, s = startOne(t, nil, 1, rawTarget(t, func(_, _ int, _ *http.Request) (string, bool) { return "", false }))
	must.Eq(t, "unknown", call(t, s, "POST", "/", "").outcome)
}

// Guards against sends by an instance whose lease has lapsed, including a lapse between the
// decision to send and the send.
func TestPausedInstanceRefuses(t *testing.T) {
	var hits, asks atomic.Int64
	var lapseAt atomic.Int64
	_, s := startOne(t, func(c *Config) {
		c.Leased = func() bool { return asks.Add(1) <= lapseAt.Load() }
	}, 1, httpTarget(t, echoTarget(&hits)))
	for allowed := range int64(4) {
		for _, key := range []string{"", "k"} {
			if key != "" && allowed == 3 || key == "" && allowed >= 2 {
				continue // every check of these requests passes
			}
			asks.Store(0)
			lapseAt.Store(allowed)
			h := []string{}
			if key != "" {
				h = []string{HeaderKey, key}
			}
			r := call(t, s, "POST", "/", "", h...)
			must.Eq(t, []string{"not_run", "lease_lapsed"}, []string{r.outcome, r.reason}, must.Sprint(allowed, key))
		}
	}
	must.Eq(t, 0, hits.Load())
}

// Guards against a slow caller that holds a slot while it sends its body, and against
// unbounded bodies.
func TestSlowAndOversizedBodies(t *testing.T) {
	var hits atomic.Int64
	_, s := startOne(t, func(c *Config) {
		c.Limits.BodyTimeout = 300 * time.Millisecond
		c.Limits.MaxBody = 1000
	}, 1, httpTarget(t, echoTarget(&hits)))
	in, out := io.Pipe()
	slow := make(chan result, 1)
	go func() {
		r, _ := do(context.Background(), s, "POST", "/", in)
		slow <- r
	}()
	_, _ = out.Write([]byte("x"))
	must.Eq(t, 200, call(t, s, "POST", "/", "quick").status)
	must.Eq(t, "body_slow", (<-slow).reason)
	out.Close()
	must.Eq(t, 413, call(t, s, "POST", "/", strings.Repeat("x", 1001)).status)
	r, err := do(context.Background(), s, "POST", "/", io.MultiReader(strings.NewReader(strings.Repeat("x", 2000))))
	must.NoError(t, err)
	must.Eq(t, 413, r.status)
	must.Eq(t, 1, hits.Load())
	must.Eq(t, 0, s.bodyBytes.Load())
}

// Guards against waiting on a connection that no longer answers, and against sending a
// non-idempotent request on a connection that has not completed an answer recently.
func TestSilentConnection(t *testing.T) {
	var posts atomic.Int64
	a := rawTarget(t, func(conn, n int, r *http.Request) (string, bool) {
		if n > 0 && conn < 2 {
			if r.Method == "POST" {
				posts.Add(1)
			}
			return "", true // the first two connections answer once
		}
		return "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", true
	})
	_, s := startOne(t, func(c *Config) {
		c.Limits.AttemptTimeout = 200 * time.Millisecond
		c.Limits.NonIdempotentIdleTimeout = 20 * time.Millisecond
	}, 2, a, a)
	must.Eq(t, 200, call(t, s, "GET", "/", "").status)
	must.Eq(t, 200, call(t, s, "POST", "/", "").status)
	time.Sleep(100 * time.Millisecond)
	must.Eq(t, 200, call(t, s, "POST", "/", "").status)
	must.Eq(t, 0, posts.Load())
	for range 4 {
		must.Eq(t, 200, call(t, s, "GET", "/", "").status)
	}
}

// Guards against a shutdown that interrupts requests in flight or accepts new ones.
func TestShutdownFinishesInFlight(t *testing.T) {
	started, release := make(chan struct{}), make(chan struct{})
	_, s := startOne(t, nil, 1, httpTarget(t, func(w http.ResponseWriter, _ *http.Request) {
		close(started)
		<-release
		_, _ = io.WriteString(w, "done")
	}))
	got := make(chan result, 1)
	go func() {
		r, _ := do(context.Background(), s, "POST", "/", nil)
		got <- r
	}()
	<-started
	stopped := make(chan error, 1)
	go func() { stopped <- s.Shutdown(context.Background(), zone.HomeSet{}) }()
	for !s.shuttingDown.Load() {
		time.Sleep(time.Millisecond)
	}
	close(release)
	must.Eq(t, "done", (<-got).body)
	must.NoError(t, <-stopped)
	_, err := do(context.Background(), s, "POST", "/", nil)
	must.Error(t, err)
}

// Guards against sending requests to a draining target.
func TestDrainingTargetGetsNothing(t *testing.T) {
	var hits, other atomic.Int64
	addrs := []netip.AddrPort{httpTarget(t, echoTarget(&hits)), httpTarget(t, echoTarget(&other))}
	_, s := startOne(t, nil, 1, addrs...)
	tab := table(2, 1, addrs, homeSet(1, "i1"))
	tab.Services[0].Targets[0].State = 2 // draining
	must.NoError(t, s.Install(t.Context(), tab, nil))
	for range 10 {
		must.Eq(t, 200, call(t, s, "POST", "/", "").status)
	}
	must.Eq(t, 0, hits.Load())
}

// Guards against a shorter prefix or a route without a method taking precedence.
func TestMatchRoute(t *testing.T) {
	routes := []service.Route{
		{Prefix: "/", Class: service.Bulk},
		{Prefix: "/a", Class: service.Normal},
		{Method: "GET", Prefix: "/a", Class: service.Urgent, Idempotent: true},
	}
	must.Eq(t, routes[2], matchRoute(routes, "GET", "/a/b"))
	must.Eq(t, routes[1], matchRoute(routes, "POST", "/a/b"))
	must.Eq(t, routes[0], matchRoute(routes, "GET", "/b"))
	must.Eq(t, service.Normal, matchRoute(nil, "GET", "/").Class)
}
