//go:build linux

package e2e

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"guavaloom.example/guavaloom/internal/cli"
	"guavaloom.example/guavaloom/internal/objectstore/standin"
	"guavaloom.example/guavaloom/internal/rollout"
)

// servePlatform serves the store over HTTP.
func (f *fleet) servePlatform() {
	inner := f.Store.Handler()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPut && strings.HasSuffix(r.URL.Path, "/"+rollout.CurrentKey) && f.lose.CompareAndSwap(true, false) {
			inner.ServeHTTP(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler) // closes the connection without an answer
		}
		inner.ServeHTTP(w, r)
	}))
	f.url = s.URL
	f.t.Cleanup(s.CloseClientConnections) // watches wait for long
}

// inForce checks that all instances steer by a revision.
func (f *fleet) inForce(revision string) {
	f.t.Helper()
	for _, p := range f.all() {
		must.Eq(f.t, revision, f.revision(p), must.Sprint(p.ID))
	}
}

// Guards against flows and requests that need the platform, rolls that are reported
// wrongly around an outage or a lost answer, and restarted instances that wait for
// the platform.
func TestPlatformOutages(t *testing.T) {
	f := newFleet(t, "a1", "a2", "a3")
	f.open(40)
	f.callers(3)

	f.Store.SetFaults(standin.Faults{Down: true})
	f.drain("feed-0", "web-0")
	file := f.signed("bundle-2.ini", 2, signers...)
	code, out := f.roll(file, "--timeout", "5s")
	must.Eq(t, cli.ExitRefused, code, must.Sprint(out))
	must.StrContains(t, out, "unavailable")
	f.inForce("1.1")
	f.answered(50)
	f.moves()

	f.Store.SetFaults(standin.Faults{})
	stored := f.awaitStored(f.ctx)
	rolled := f.rollLater(2)
	<-stored
	f.Store.SetFaults(standin.Faults{Down: true})
	f.answered(50)
	f.moves()
	must.Zero(t, len(rolled), must.Sprint("the roll ended without the platform"))
	f.Store.SetFaults(standin.Faults{})
	must.Eq(t, cli.ExitDone, <-rolled)
	f.inForce("1.2")

	f.lose.Store(true)
	f.drain("board-0")
	f.mustRoll(3)
	must.False(t, f.lose.Load())
	f.inForce("1.3")

	f.Store.SetFaults(standin.Faults{Down: true})
	victim := f.all()[1]
	f.kill(victim)
	f.spray()
	restarted := f.start(victim.ID)
	f.awaitReady(restarted)
	f.spray()
	f.inForce("1.3")
	f.serves(restarted)
	f.answered(50)
	f.holds()
}

// awaitStored returns a channel that is closed at the next change of the manifest.
func (f *fleet) awaitStored(ctx context.Context) <-chan struct{} {
	before, err := f.Store.Get(ctx, rollout.CurrentKey)
	must.NoError(f.t, err)
	stored := make(chan struct{})
	go func() {
		defer close(stored)
		for ctx.Err() == nil {
			l, changed, err := f.Store.Changes(rollout.CurrentKey, before.Version)
			if err != nil || len(l.Objects) > 0 {
				return
			}
			select {
			case <-changed:
			case <-ctx.Done():
			}
		}
	}()
	return stored
}

// Guards against instances, restarted ones included, that follow a platform that
// was restored to an older state, and against a tool that reuses a revision then.
func TestPlatformRestored(t *testing.T) {
	f := newFleet(t, "a1", "a2", "a3")
	old := f.Store.Snapshot()
	f.drain("feed-0")
	f.mustRoll(2)
	f.Store.Restore(old)
	victim := f.all()[1]
	f.kill(victim)
	f.spray()
	restarted := f.start(victim.ID)
	looks := 0
	ready, reported := false, false
	f.await("the older state is reported and the instance is back", func() bool {
		for _, p := range f.all() {
			if r := f.revision(p); r != "1.2" && (p != restarted || r != "" && r != "0.0") {
				must.Eq(t, "1.2", r, must.Sprint("an instance went back: ", p.ID))
			}
			reported = reported || f.metric(p, `guavaloom_rollout_reports_total{reason="store_older"}`)
		}
		looks++
		ready = ready || f.Ready(restarted.Instance)
		return ready && reported
	})
	t.Logf("%d looks at the revisions", looks)
	f.drain("board-0")
	other := f.signed("other.ini", 2, signers...)
	f.await("the tool sees what the zone holds", func() bool {
		_, out := f.tool("status", "--settings", f.file("operator.ini"))
		return strings.Contains(out, "1.2 held")
	})
	code, out := f.roll(other)
	must.Eq(t, cli.ExitRefused, code)
	must.StrContains(t, out, "revision 1.2 is not above 1.2, which zone")
	f.mustRoll(3)
	f.inForce("1.3")
	time.Sleep(time.Second)
	f.inForce("1.3")
}
