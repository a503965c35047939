//go:build linux

package e2e

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"guavaloom.example/guavaloom/internal/cli"
	"guavaloom.example/guavaloom/internal/testbed"
)

// answer is what a caller got.
type answer struct {
	status int
	body   string
	err    error
}

// slowTarget replaces all request targets by one that reports when a request has
// reached it and answers with the size of the body once released.
func (f *fleet) slowTarget() (reached <-chan string, release func()) {
	at, free := make(chan string, 10), make(chan struct{})
	listen, err := net.Listen("tcp", f.Addr().String())
	must.NoError(f.t, err)
	s := &httptest.Server{Listener: listen, Config: &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		at <- r.Method
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		<-free
		_, _ = fmt.Fprintf(w, "%s of %d bytes", r.Method, len(body))
	})}}
	s.Start()
	release = sync.OnceFunc(func() { close(free) })
	f.t.Cleanup(s.Close) // waits for open requests
	f.t.Cleanup(release)
	f.targets = slices.DeleteFunc(f.targets, func(l testbed.Listed) bool { return l.Service == testbed.Booking })
	f.targets = append(f.targets, testbed.Listed{Name: "slow", Service: testbed.Booking, Addr: listen.Addr().(*net.TCPAddr).AddrPort()})
	return at, release
}

func send(ctx context.Context, p *process, method, path string, body io.Reader) <-chan answer {
	got := make(chan answer, 1)
	go func() {
		req, err := http.NewRequestWithContext(ctx, method, "http://"+p.Listen.Request.String()+path, body)
		if err != nil {
			got <- answer{err: err}
			return
		}
		req.Host = testbed.Host
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			got <- answer{err: err}
			return
		}
		defer func() { _ = resp.Body.Close() }()
		text, err := io.ReadAll(resp.Body)
		got <- answer{resp.StatusCode, string(text), err}
	}()
	return got
}

// Guards against a SIGTERM that cuts an upload or a lookup in flight, breaks flows,
// or ends with a failure.
func TestTerminateDuringRequests(t *testing.T) {
	f := newFleet(t, "a1", "a2", "a3")
	reached, release := f.slowTarget()
	f.mustRoll(2)
	f.open(40)
	leaver := f.all()[0]
	half := bytes.Repeat([]byte("x"), 100_000)
	upload, rest := io.Pipe()
	uploaded := send(f.ctx, leaver, http.MethodPut, "/proofs", upload)
	_, err := rest.Write(half)
	must.NoError(t, err)
	lookup := send(f.ctx, leaver, http.MethodGet, "/slots", nil)
	f.await("the lookup has reached the target", func() bool { return len(reached) > 0 && <-reached == http.MethodGet })
	exit := make(chan int, 1)
	go func() { exit <- f.terminate(leaver) }()
	f.await("the process has the signal", func() bool {
		s, err := f.Status(leaver.Instance)
		return err == nil && slices.Contains(s.NotReady, "leaving")
	})
	f.spray(f.others(leaver)...)
	time.Sleep(3 * time.Second) // beyond the time of notice, well into the stop
	must.Zero(t, len(exit), must.Sprint("the process ended before its requests"))
	_, err = rest.Write(half)
	must.NoError(t, err)
	must.NoError(t, rest.Close())
	release()
	must.Eq(t, answer{http.StatusOK, "GET of 0 bytes", nil}, <-lookup)
	must.Eq(t, answer{http.StatusOK, "PUT of 200000 bytes", nil}, <-uploaded)
	must.Eq(t, cli.ExitDone, <-exit)
	f.holds()
}

// Guards against a stop that fails for connections on which nothing was sent yet: clients
// open one beside a connection that becomes free meanwhile.
func TestTerminateWithUnusedConnections(t *testing.T) {
	f := newFleet(t, "a1", "a2", "a3")
	p := f.all()[2]
	var open []net.Conn
	opened := make(chan struct{})
	go func() {
		defer close(opened)
		for {
			c, err := net.Dial("tcp", f.seeds[p.ID].String())
			if err != nil {
				return // the instance takes none any more
			}
			open = append(open, c)
			time.Sleep(100 * time.Millisecond)
		}
	}()
	code := f.terminate(p)
	<-opened
	for _, c := range open {
		_ = c.Close()
	}
	must.SliceNotEmpty(t, open)
	must.Zero(t, code)
}
