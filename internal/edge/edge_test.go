package edge_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"guavaloom.example/guavaloom/internal/edge"
	"guavaloom.example/guavaloom/internal/explain"
	"guavaloom.example/guavaloom/internal/view"
	"guavaloom.example/guavaloom/platform"
	"guavaloom.example/guavaloom/platform/standin"
)

// Guards against errors on the path from client to target while packets are sprayed over
// two instances: a flow that reaches two targets, changed packets, entries that are not
// named by their keys.
func TestFlowsOverSeveralInstances(t *testing.T) {
	s := newSite(t)
	targets := []*standin.Target{s.target("i-a1", 0xa1), s.target("i-a2", 0xa2)}
	one := s.start(1, s.store.Addr())
	two := s.start(2, s.store.Addr())
	one.awaitReady()
	two.awaitReady()
	c := s.client(one, two)
	for range 20 {
		ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
		f, err := c.Open(ctx, bookingEndpoint)
		must.NoError(t, err)
		first, service, err := f.Request(ctx, "one")
		must.NoError(t, err)
		must.Eq(t, "booking", service)
		second, _, err := f.Request(ctx, "two")
		must.NoError(t, err)
		must.Eq(t, first, second)
		f.Close()
		cancel()
	}
	for _, tg := range targets {
		arrivals, misled := tg.Arrivals()
		must.Eq(t, 0, misled)
		must.SliceNotEmpty(t, arrivals)
		for _, a := range arrivals {
			must.True(t, a.Intact)
		}
	}
}

// Guards against a draining target that receives new flows, and against a configuration
// that is not applied, when the store's watches reported neither change and its history was
// dropped.
func TestChangesAfterForgottenHistory(t *testing.T) {
	s := newSite(t)
	old := s.target("i-a1", 0xa1)
	one := s.start(1, s.store.Addr())
	one.awaitReady()
	s.store.SetFaults(standin.Faults{DropWatchEvents: true})
	old.Register(s.store, "draining")
	s.target("i-a2", 0xa2)
	s.addRoute()
	s.store.ForgetHistory()
	s.store.SetFaults(standin.Faults{})
	s.store.CutConnections()
	c := s.client(one)
	eventually(t, "the new route and target", func() bool {
		id, err := requestTarget(t, c, addedEndpoint)
		return err == nil && id == "i-a2"
	})
	id, err := requestTarget(t, c, bookingEndpoint)
	must.NoError(t, err)
	must.Eq(t, "i-a2", id)
}

// Guards against changes that are lost because a watch reports a version without the
// changes up to it.
func TestMissedWatchEventsAreRecovered(t *testing.T) {
	s := newSite(t)
	s.target("i-a1", 0xa1)
	one := s.start(1, s.store.Addr())
	one.awaitReady()
	s.store.SetFaults(standin.Faults{DropWatchEvents: true})
	s.addRoute()
	eventually(t, "a watch that ends without the event", func() bool { return s.store.WatchesWithDroppedEvents() > 0 })
	s.store.SetFaults(standin.Faults{})
	c := s.client(one)
	eventually(t, "the change", func() bool {
		_, err := requestTarget(t, c, addedEndpoint)
		return err == nil
	})
}

// Load pattern: all instances start at once and learn from a copy of the store that is
// behind. Guards against a flow that is refused because the copy does not have its route
// yet, and against a view that stays behind.
func TestStartWithAnOldCopy(t *testing.T) {
	s := newSite(t)
	s.target("i-a1", 0xa1)
	s.store.SetFaults(standin.Faults{FreezeStaleOKLists: true})
	s.addRoute()
	one := s.start(1, s.store.Addr())
	two := s.start(2, s.store.Addr(), one.settings.Peer)
	one.awaitReady()
	two.awaitReady()
	must.Positive(t, s.store.StaleOKCalls())
	c := s.client(one, two)
	for range 4 {
		_, err := requestTarget(t, c, addedEndpoint)
		must.NoError(t, err)
	}
}

// Load pattern: an instance is restarted while its only view is an old copy of the store.
// Guards against an instance that reports ready and uses a target that was removed but is
// still in the copy, and against one that never becomes ready.
func TestRestartUsesNoTargetThatHasLeft(t *testing.T) {
	s := newSite(t)
	s.target("i-old", 0xa1)
	s.store.SetFaults(standin.Faults{FreezeStaleOKLists: true})
	s.store.Delete(platform.TargetKind, "i-old")
	s.store.SetFaults(standin.Faults{FreezeStaleOKLists: true, RefuseWatches: true, RefuseLists: true})
	one := s.start(1, s.store.Addr())
	eventually(t, "the old copy", func() bool {
		return s.store.StaleOKCalls() >= 3 && strings.Contains(one.log.String(), "unconfirmed_view")
	})
	must.False(t, one.ready())
	s.store.SetFaults(standin.Faults{FreezeStaleOKLists: true})
	one.awaitReady()
	for _, st := range one.status().Targets {
		must.NotEq(t, "ready", st.State)
	}
	closed := s.start(2, s.store.Addr())
	closed.awaitReady()
	s.store.SetFaults(standin.Faults{RefuseLists: true, RefuseWatches: true})
	three := s.start(9, s.store.Addr())
	three.awaitReady() // no newer view is available
}

// Guards against a start that hangs because the store does not answer, though another
// instance could provide the view.
func TestStartWithASilentStore(t *testing.T) {
	s := newSite(t)
	s.target("i-a1", 0xa1)
	one := s.start(1, s.store.Addr())
	one.awaitReady()
	silent := standin.New()
	silent.SetFaults(standin.Faults{Silent: true})
	t.Cleanup(silent.Close)
	two := s.start(2, silent.Addr(), one.settings.Peer)
	two.awaitReady()
	eventually(t, "a log line with the peer as source", func() bool { return strings.Contains(two.log.String(), `"source":"peer"`) })
}

// Guards against a list older than the replica that reverts a change, or that is ignored
// without a log line.
func TestStaleListIsIgnoredAndLogged(t *testing.T) {
	s := newSite(t)
	s.target("i-a1", 0xa1)
	one := s.start(1, s.store.Addr())
	one.awaitReady()
	s.store.SetFaults(standin.Faults{FreezeLists: true})
	s.addRoute()
	c := s.client(one)
	eventually(t, "the change", func() bool {
		_, err := requestTarget(t, c, addedEndpoint)
		return err == nil
	})
	s.store.SetFaults(standin.Faults{FreezeLists: true, Status: http.StatusServiceUnavailable})
	failed := regexp.MustCompile(`"kind":"config"[^\n]*"msg":"source failed"`)
	eventually(t, "a failed watch of the changed kind, after which a list follows", func() bool { return failed.MatchString(one.log.String()) })
	s.store.SetFaults(standin.Faults{FreezeLists: true})
	eventually(t, "the line of the ignored list", func() bool { return strings.Contains(one.log.String(), "older list ignored") })
	must.StrContains(t, one.metrics(), `guavaloom_edge_stale_lists_total{source="store"}`)
	_, err := requestTarget(t, c, addedEndpoint)
	must.NoError(t, err)
}

// Guards against an instance that can't start, or becomes stale, because the store
// refuses it while serving others.
func TestViewFromPeerWhileStoreRefuses(t *testing.T) {
	s := newSite(t)
	s.target("i-a1", 0xa1)
	one := s.start(1, s.store.Addr())
	one.awaitReady()
	closed := standin.New()
	closed.SetFaults(standin.Faults{Status: http.StatusTooManyRequests})
	t.Cleanup(closed.Close)
	two := s.start(2, closed.Addr(), one.settings.Peer)
	two.awaitReady()
	c := s.client(two)
	_, err := requestTarget(t, c, bookingEndpoint)
	must.NoError(t, err)
	s.addRoute()
	eventually(t, "the change, received from the peer", func() bool {
		_, err := requestTarget(t, c, addedEndpoint)
		return err == nil
	})
}

// Load pattern: the store answers nobody for longer than a view counts as fresh.
// Guards against instances that treat one another as failed because their views are as
// old as their own, so that all of them become readers of the store.
func TestOutageMakesNoReaders(t *testing.T) {
	s := newSite(t)
	one := s.start(1, s.store.Addr())
	one.awaitReady()
	all := []*node{one}
	for n := 2; n <= 4; n++ {
		more := s.start(n, s.store.Addr(), one.settings.Peer)
		more.awaitReady()
		all = append(all, more)
	}
	readers := func() (n int) {
		for _, i := range all {
			if i.status().ReadsStore {
				n++
			}
		}
		return n
	}
	eventually(t, "two readers, which one data centre has", func() bool { return readers() == 2 })
	s.store.SetFaults(standin.Faults{Status: http.StatusServiceUnavailable})
	eventually(t, "views that are no longer fresh", func() bool {
		for _, i := range all {
			for _, k := range i.status().Kinds {
				if k.AgeMillis < 5000 {
					return false
				}
			}
		}
		return true
	})
	for range 20 {
		must.Eq(t, 2, readers())
		time.Sleep(50 * time.Millisecond)
	}
}

// Guards against the loss of packets that arrive before the first list.
func TestHoldsEarlyPackets(t *testing.T) {
	s := newSite(t)
	s.target("i-a1", 0xa1)
	s.store.SetFaults(standin.Faults{Silent: true})
	one := s.start(1, s.store.Addr())
	eventually(t, "the packet listener", func() bool { return strings.Contains(one.metrics(), "guavaloom_edge_flows") })
	must.False(t, one.ready())
	c := s.client(one)
	got := make(chan error, 1)
	go func() {
		_, err := requestTarget(t, c, bookingEndpoint)
		got <- err
	}()
	eventually(t, "the held packet", func() bool { return strings.Contains(one.metrics(), `outcome="hold:not_ready"`) })
	s.store.SetFaults(standin.Faults{})
	must.NoError(t, <-got)
}

// Guards against a malformed entry that removes its target or others from the view.
func TestUnreadableEntries(t *testing.T) {
	s := newSite(t)
	s.target("i-a1", 0xa1)
	spoilt := s.store.PutInvalidTargets()
	one := s.start(1, s.store.Addr())
	one.awaitReady()
	c := s.client(one)
	for range 10 {
		id, err := requestTarget(t, c, bookingEndpoint)
		must.NoError(t, err)
		must.Eq(t, "i-a1", id)
	}
	must.StrContains(t, one.metrics(), fmt.Sprintf("guavaloom_edge_unreadable_total{kind=%q} %d", platform.TargetKind, spoilt))
}

// Guards against a client that waits on an address without a route.
func TestResetWithoutRoute(t *testing.T) {
	s := newSite(t)
	s.target("i-a1", 0xa1)
	one := s.start(1, s.store.Addr())
	one.awaitReady()
	_, err := requestTarget(t, s.client(one), view.Endpoint{Addr: [4]byte{198, 18, 7, 7}, Port: 1})
	must.ErrorContains(t, err, "after 1 packets: flow was reset")
}

// Guards against a planned stop that drops packets: the instance reports not ready
// and forwards until the packets stop coming.
func TestStopForwardsUntilQuiet(t *testing.T) {
	s := newSite(t)
	s.target("i-a1", 0xa1)
	one := s.start(1, s.store.Addr())
	one.awaitReady()
	c := s.client(one)
	f, err := c.Open(t.Context(), bookingEndpoint)
	must.NoError(t, err)
	one.stop()
	eventually(t, "not ready", func() bool { return !one.ready() })
	_, _, err = f.Request(t.Context(), "late")
	must.NoError(t, err)
	err = <-one.ended
	must.NoError(t, err)
	one.ended <- err
	must.StrContains(t, one.log.String(), `"msg":"stopped"`)
	readiness := regexp.MustCompile(`"msg":"(ready|not ready)"`).FindAllStringSubmatch(one.log.String(), -1)
	// At the start, with a view from a copy, with the current view, and when it stops.
	must.Len(t, 4, readiness)
	for n, want := range []string{"not ready", "not ready", "ready", "not ready"} {
		must.Eq(t, want, readiness[n][1])
	}
	must.StrContains(t, one.log.String(), `"reason":"unconfirmed_view"`)
}

// Load pattern: a planned stop under load. The routers go on sending packets until two of
// their checks have failed. Guards against flows that are opened in that time, or requests
// on them, ending without an answer.
func TestStopUnderLoad(t *testing.T) {
	const (
		callers       = 8
		routersNotice = time.Second // two checks, half a second apart
	)
	s := newSite(t)
	s.target("i-a1", 0xa1)
	one := s.start(1, s.store.Addr())
	one.awaitReady()
	c := s.client(one)
	stopped := time.Now()
	one.stop()
	var all sync.WaitGroup
	var served, failed atomic.Int64
	for range callers {
		all.Go(func() {
			for time.Since(stopped) < routersNotice {
				if _, err := requestTarget(t, c, bookingEndpoint); err != nil {
					failed.Add(1)
					return
				}
				served.Add(1)
			}
		})
	}
	all.Wait()
	must.Eq(t, 0, failed.Load())
	must.Positive(t, served.Load())
	err := <-one.ended
	must.NoError(t, err)
	one.ended <- err
	must.Less(t, one.settings.Deployment.StopGrace, time.Since(stopped))
}

// Guards against SIGHUP ending the process, and against invalid settings that are applied.
func TestReload(t *testing.T) {
	s := newSite(t)
	s.target("i-a1", 0xa1)
	one := s.start(1, s.store.Addr())
	one.awaitReady()
	one.write("[peers]\nseeds = 127.0.0.2:99\n")
	one.reload <- syscall.SIGHUP
	eventually(t, "reload", func() bool { return strings.Contains(one.log.String(), `"msg":"reload"`) })
	one.write("[peers]\nseeds = nowhere\n")
	one.reload <- syscall.SIGHUP
	eventually(t, "refusal", func() bool { return strings.Contains(one.log.String(), "reload refused") })
	must.True(t, one.ready())
}

// Guards against a request that can't be found in the log, and a decision that is logged
// without its inputs.
func TestLogNamesDecisions(t *testing.T) {
	s := newSite(t)
	s.target("i-a1", 0xa1)
	one := s.start(1, s.store.Addr())
	one.awaitReady()
	f, err := s.client(one).Open(t.Context(), bookingEndpoint)
	must.NoError(t, err)
	_, _, err = f.Request(t.Context(), "GET / HTTP/1.1\r\nX-Request-Id: 4711\r\n\r\n")
	must.NoError(t, err)
	eventually(t, "the request's line", func() bool { return strings.Contains(one.log.String(), `"request":"4711"`) })
	eventually(t, "the times of the flow", func() bool {
		for _, span := range []string{"opening", "first_data", "first_answer", "answer"} {
			if !strings.Contains(one.metrics(), `guavaloom_edge_time_ms_count{span="`+span+`"} 1`) {
				return false
			}
		}
		return true
	})
	for _, name := range []string{`used_view_age_ms_count{part="config"} 1`, `read_ms_count{source="store"}`, "ready 1"} {
		must.StrContains(t, one.metrics(), "guavaloom_edge_"+name)
	}
	for _, line := range strings.Split(one.log.String(), "\n") {
		switch {
		case strings.Contains(line, `"reason":"placed"`):
			for _, field := range []string{"flow", "target", "service", "route", "config_version", "config_age_ms", "target_age_ms", "candidates", "verdict"} {
				must.StrContains(t, line, `"`+field+`":`)
			}
		case strings.Contains(line, `"request":"4711"`):
			must.StrContains(t, line, `"target":"i-a1"`)
			must.StrContains(t, line, f.ID.String())
		}
	}
}

// Guards against a target that is held back without an operator seeing it, or for ever.
func TestPaceIsShown(t *testing.T) {
	s := newSite(t)
	s.pace = true
	s.target("i-a1", 0xa1)
	one := s.start(1, s.store.Addr())
	one.awaitReady()
	s.target("i-a2", 0xa2)
	paces := func() map[string]float64 {
		out := map[string]float64{}
		for _, tg := range one.status().Targets {
			out[tg.Target] = tg.Pace
		}
		return out
	}
	eventually(t, "a line about the start", func() bool {
		return strings.Contains(one.log.String(), `"msg":"target paced","pace":0.25,"reason":"started","service":"booking","target":"i-a2"`)
	})
	must.Eq(t, 1, paces()["i-a1"])
	must.StrContains(t, one.metrics(), `guavaloom_edge_paces_total{event="started"} 1`)
	eventually(t, "full pace", func() bool { return strings.Contains(one.log.String(), `"msg":"target at full pace"`) })
	must.Eq(t, 1, paces()["i-a2"])
	must.StrContains(t, one.metrics(), `guavaloom_edge_paces_total{event="full"} 1`)
}

func (n *node) metrics() string { return string(n.get("/metrics")) }

func (n *node) status() (s explain.EdgeStatus) {
	must.NoError(n.t, json.Unmarshal(n.get(explain.EdgeStatusPath), &s))
	return s
}

// get reads from the admin address; the result is empty while nothing listens.
func (n *node) get(path string) []byte {
	resp, err := http.Get("http://" + n.settings.Admin.String() + path)
	if err != nil {
		return nil
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	must.NoError(n.t, err)
	return b
}

// Guards against an error that names only one of several mistakes in the settings.
func TestSettingsProblems(t *testing.T) {
	one := &node{t: t, settings: &edge.Settings{Name: "x"}, file: t.TempDir() + "/bad.ini"}
	one.write("[limits]\nworkers = 0\n[extra]\n")
	_, err := edge.LoadSettings(one.file)
	for _, part := range []string{"zone", "packet", "ready", "peer", "admin", "workers", "extra", "address"} {
		must.ErrorContains(t, err, part)
	}
	_, err = edge.LoadSettings(t.TempDir() + "/none.ini")
	must.Error(t, err)
}

// Load pattern: one client opens thousands of connections and sends half a request on
// each. Guards against an instance that keeps them all open until its descriptors or its
// memory are exhausted, and against other clients that are rejected meanwhile.
func TestHalfSentRequestsAreBounded(t *testing.T) {
	const connections = 500
	s := newSite(t)
	s.target("i-a1", 0xa1)
	one := s.start(1, s.store.Addr())
	one.awaitReady()
	for listener, addr := range map[string]netip.AddrPort{"ready": one.settings.Ready, "peer": one.settings.Peer, "admin": one.settings.Admin} {
		d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, 200)}}
		for range connections {
			c, err := d.Dial("tcp", addr.String())
			must.NoError(t, err)
			t.Cleanup(func() { _ = c.Close() })
			_, _ = c.Write([]byte("GET /v3/fol")) // the instance may have closed it
		}
		eventually(t, "rejections at "+listener, func() bool {
			count := regexp.MustCompile(`guavaloom_connections_rejected_total\{listener="` + listener + `"\} (\d+)`).FindStringSubmatch(one.metrics())
			return len(count) == 2 && count[1] == fmt.Sprint(connections-64)
		})
	}
	must.True(t, one.ready())
	two := s.start(2, s.store.Addr(), one.settings.Peer)
	two.awaitReady()
	eventually(t, "the log line of a rejection", func() bool { return strings.Contains(one.log.String(), "connection rejected") })
}
