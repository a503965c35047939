package edge_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"guavaloom.example/guavaloom/internal/edge"
	"guavaloom.example/guavaloom/platform"
	"guavaloom.example/guavaloom/platform/standin"
)

// The targets of the sites in this file: one in the instances' own data centre "a", one in "b".
const (
	ownTarget   = "i-a1"
	otherTarget = "i-b1"
)

// newEvacuationSite returns a site whose settings enable evacuations. The tests run side by side,
// since most of their time is spent waiting.
func newEvacuationSite(t *testing.T) *testSite {
	t.Helper()
	t.Parallel()
	s := newSite(t)
	s.deployment.EvacuationBound = 5 * time.Second
	s.regions = map[string]string{"a": "north", "b": "south"}
	s.targetIn("a", ownTarget, 0xa1, 0)
	s.targetIn("b", otherTarget, 0xb1, 0)
	return s
}

func (s *testSite) evacuate(zone string) { s.store.Put(platform.EvacuationKind, zone, "{}") }
func (s *testSite) withdraw(zone string) { s.store.Delete(platform.EvacuationKind, zone) }

// evacuated returns the evacuated data centres that an instance knows.
func (n *node) evacuated() string {
	var zones []string
	for _, e := range n.status().Evacuations {
		zones = append(zones, e.Zone)
	}
	return strings.Join(zones, ",")
}

// awaitEvacuated waits until the instances know exactly these evacuated data centres.
func awaitEvacuated(t *testing.T, zones string, nodes ...*node) {
	t.Helper()
	for _, n := range nodes {
		eventually(t, n.settings.Name+" knows the evacuations "+zones, func() bool { return n.evacuated() == zones })
	}
}

// mustReach checks that new flows are placed on a target.
func mustReach(t *testing.T, c *standin.Client, target string) {
	t.Helper()
	for range 3 {
		id, err := requestTarget(t, c, bookingEndpoint)
		must.NoError(t, err)
		must.Eq(t, target, id)
	}
}

// link passes one instance's calls to the store, unless it is cut.
type link struct {
	*httptest.Server
	cut atomic.Bool
}

func (s *testSite) link() *link {
	l := &link{}
	l.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if l.cut.Load() {
			panic(http.ErrAbortHandler) // closes the connection without an answer
		}
		s.store.ServeHTTP(w, r)
	}))
	s.t.Cleanup(func() {
		s.store.SetFaults(standin.Faults{Status: http.StatusServiceUnavailable}) // ends blocked calls
		l.CloseClientConnections()
		l.Close()
	})
	return l
}

func (l *link) addr() netip.AddrPort { return l.Listener.Addr().(*net.TCPAddr).AddrPort() }

func (l *link) setCut(cut bool) {
	l.cut.Store(cut)
	l.CloseClientConnections()
}

// Guards against new flows to targets of an evacuated data centre, and against targets that
// stay unused after the withdrawal.
func TestEvacuationAndWithdrawal(t *testing.T) {
	s := newEvacuationSite(t)
	one := s.start(1, s.store.Addr())
	one.awaitReady()
	c := s.client(one)
	mustReach(t, c, ownTarget)
	s.evacuate("a")
	awaitEvacuated(t, "a", one)
	mustReach(t, c, otherTarget)
	s.withdraw("a")
	awaitEvacuated(t, "", one)
	mustReach(t, c, ownTarget)
}

// Guards against an evacuation that ends open flows.
func TestOpenFlowsOutlastAnEvacuation(t *testing.T) {
	s := newEvacuationSite(t)
	one := s.start(1, s.store.Addr())
	one.awaitReady()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	f, err := s.client(one).Open(ctx, bookingEndpoint)
	must.NoError(t, err)
	defer f.Close()
	s.evacuate("a")
	awaitEvacuated(t, "a", one)
	for range 3 {
		id, _, err := f.Request(ctx, "hello")
		must.NoError(t, err)
		must.Eq(t, ownTarget, id)
	}
}

// Guards against clients that wait for their time limit although no data centre is left.
func TestEvacuationOfAllDataCentresRefusesAtOnce(t *testing.T) {
	s := newEvacuationSite(t)
	one := s.start(1, s.store.Addr())
	one.awaitReady()
	s.evacuate("a")
	s.evacuate("b")
	awaitEvacuated(t, "a,b", one)
	_, err := requestTarget(t, s.client(one), bookingEndpoint)
	must.ErrorContains(t, err, "reset")
	one.awaitLine(`"reason":"evacuated"`)
}

// Guards against an evacuation that the operator can't see: in the status of the instance and
// its targets, in the log and in the counters.
func TestEvacuationIsVisible(t *testing.T) {
	s := newEvacuationSite(t)
	one := s.start(1, s.store.Addr())
	one.awaitReady()
	version := s.store.Put(platform.EvacuationKind, "a", "{}")
	awaitEvacuated(t, "a", one)
	e := one.status().Evacuations[0]
	must.Eq(t, version, e.Version)
	must.Positive(t, e.Epoch)
	must.NonNegative(t, e.SinceMillis)
	must.Less(t, testTimeout.Milliseconds(), e.SinceMillis)
	must.Eq(t, "evacuated", one.targetState(ownTarget))
	must.Eq(t, "ready", one.targetState(otherTarget))
	c := s.client(one)
	mustReach(t, c, otherTarget)
	s.evacuate("b")
	awaitEvacuated(t, "a,b", one)
	_, err := requestTarget(t, c, bookingEndpoint)
	must.ErrorContains(t, err, "reset")
	for _, line := range []string{`flows_total{outcome="placed_elsewhere"} 3`, `flows_total{outcome="refused"} 1`} {
		must.StrContains(t, one.metrics(), "guavaloom_edge_evacuated_"+line)
	}
	must.StrContains(t, one.metrics(), "guavaloom_edge_evacuations 2")
	s.withdraw("a")
	awaitEvacuated(t, "b", one)
	one.awaitLine(`"msg":"evacuation"`)
	one.awaitLine(`"msg":"evacuation withdrawn"`)
	must.Eq(t, "ready", one.targetState(ownTarget))
}

// Guards against an instance that has just started, from a copy of the store that is behind, and
// reports ready before it knows the evacuations.
func TestStartDuringAnEvacuation(t *testing.T) {
	s := newEvacuationSite(t)
	s.store.SetFaults(standin.Faults{FreezeStaleOKLists: true})
	s.evacuate("a")
	one, two := s.start(1, s.store.Addr()), s.start(2, s.store.Addr())
	for _, started := range []*node{one, two} {
		started.awaitReady()
		must.Eq(t, "a", started.evacuated())
	}
	mustReach(t, s.client(one, two), otherTarget)
}

// Guards against early packets that an instance places before it has a list of evacuations.
func TestPacketsAreHeldUntilEvacuationsAreListed(t *testing.T) {
	s := newEvacuationSite(t)
	s.evacuate("a")
	s.store.SetFaults(standin.Faults{Delay: 100 * time.Millisecond}) // the lists arrive one after the other
	one := s.start(1, s.store.Addr())
	eventually(t, "the start", func() bool { return one.get("/metrics") != nil })
	mustReach(t, s.client(one), otherTarget)
}

// Guards against a deployment that serves nobody because the store does not list evacuations.
func TestServesWithoutAListOfEvacuations(t *testing.T) {
	s := newEvacuationSite(t)
	withoutEvacuations := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/objects/"+platform.EvacuationKind) {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		s.store.ServeHTTP(w, r)
	}))
	t.Cleanup(func() {
		s.store.SetFaults(standin.Faults{Status: http.StatusServiceUnavailable}) // ends blocked calls
		withoutEvacuations.CloseClientConnections()
		withoutEvacuations.Close()
	})
	one := s.start(1, withoutEvacuations.Listener.Addr().(*net.TCPAddr).AddrPort())
	one.awaitReady()
	mustReach(t, s.client(one), ownTarget)
	one.awaitLine("evacuations unknown, placing flows without them")
}

// Guards against evacuations and withdrawals that a reader does not pass on to its followers.
func TestEvacuationAtAFollower(t *testing.T) {
	s := newEvacuationSite(t)
	one := s.start(1, s.store.Addr())
	one.awaitReady()
	refusing := standin.New()
	refusing.SetFaults(standin.Faults{Status: http.StatusTooManyRequests})
	t.Cleanup(refusing.Close)
	two := s.start(2, refusing.Addr(), one.settings.Peer)
	two.awaitReady()
	s.evacuate("a")
	awaitEvacuated(t, "a", two)
	mustReach(t, s.client(two), otherTarget)
	s.withdraw("a")
	awaitEvacuated(t, "", two)
}

// Guards against a follower that never learns of an evacuation because its parent is of a build
// or has settings without evacuations.
func TestFollowerOfAnInstanceWithoutEvacuations(t *testing.T) {
	s := newEvacuationSite(t)
	bound := s.deployment.EvacuationBound
	s.deployment.EvacuationBound = 0
	older := s.start(1, s.store.Addr())
	older.awaitReady()
	s.deployment.EvacuationBound = bound
	two := s.start(2, s.store.Addr(), older.settings.Peer)
	two.awaitReady()
	s.evacuate("a")
	awaitEvacuated(t, "a", two)
	must.Eq(t, "ready", older.targetState(ownTarget))
	mustReach(t, s.client(two), otherTarget)
}

// Guards against an instance that loses its link to the store and misses an evacuation that
// another instance knows, or a withdrawal.
func TestEvacuationAtAnInstanceCutOffFromTheStore(t *testing.T) {
	s := newEvacuationSite(t)
	one := s.start(1, s.store.Addr())
	one.awaitReady()
	l := s.link()
	two := s.start(2, l.addr(), one.settings.Peer)
	two.awaitReady()
	l.setCut(true)
	s.evacuate("a")
	awaitEvacuated(t, "a", two)
	l.setCut(false)
	s.withdraw("a")
	awaitEvacuated(t, "", two)
}

// Guards against an instance that forgets an evacuation while it reaches nobody, or that keeps it
// after a withdrawal in that time.
func TestEvacuationAtAnInstanceCutOffFromAll(t *testing.T) {
	s := newEvacuationSite(t)
	l := s.link()
	alone := s.start(1, l.addr())
	alone.awaitReady()
	s.evacuate("a")
	awaitEvacuated(t, "a", alone)
	l.setCut(true)
	s.withdraw("a")
	c := s.client(alone)
	cutFor := s.deployment.Timing().ReadStoreAfter + time.Second
	for end := time.Now().Add(cutFor); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		mustReach(t, c, otherTarget)
	}
	l.setCut(false)
	awaitEvacuated(t, "", alone)
	mustReach(t, c, ownTarget)
}

// Guards against an evacuation that is lost while the store is down, also by an instance that
// starts in that time.
func TestEvacuationWhileTheStoreIsDown(t *testing.T) {
	s := newEvacuationSite(t)
	one := s.start(1, s.store.Addr())
	one.awaitReady()
	s.evacuate("a")
	awaitEvacuated(t, "a", one)
	s.store.SetFaults(standin.Faults{Status: http.StatusServiceUnavailable})
	s.store.CutConnections()
	two := s.start(2, s.store.Addr(), one.settings.Peer)
	two.awaitReady()
	must.Eq(t, "a", two.evacuated())
	mustReach(t, s.client(one, two), otherTarget)
	s.store.SetFaults(standin.Faults{})
	one.awaitLine("source regained")
	must.Eq(t, "a", one.evacuated())
}

// Guards against a write of the operator that counts only if its answer arrived, and against a
// repeated write that changes the request.
func TestEvacuationWhoseAnswerWasLost(t *testing.T) {
	s := newEvacuationSite(t)
	one := s.start(1, s.store.Addr())
	one.awaitReady()
	write := func() (*http.Response, error) {
		body := []byte(`{"meta":{"name":"a"},"spec":{}}`)
		return http.Post("http://"+s.store.Addr().String()+"/objects/"+platform.EvacuationKind, "application/json", bytes.NewReader(body))
	}
	s.store.SetFaults(standin.Faults{LoseWrites: true})
	_, err := write()
	must.Error(t, err)
	awaitEvacuated(t, "a", one)
	before := one.status().Evacuations[0].Version
	s.store.SetFaults(standin.Faults{})
	resp, err := write()
	must.NoError(t, err)
	must.NoError(t, resp.Body.Close())
	must.Eq(t, http.StatusConflict, resp.StatusCode)
	must.Eq(t, before, one.status().Evacuations[0].Version)
}

// Guards against an evacuation or a withdrawal that is missed because the store's watches did not
// report it and its history was dropped.
func TestEvacuationAfterForgottenHistory(t *testing.T) {
	s := newEvacuationSite(t)
	one := s.start(1, s.store.Addr())
	one.awaitReady()
	for _, change := range []struct {
		do   func(string)
		want string
	}{{s.evacuate, "a"}, {s.withdraw, ""}} {
		s.store.SetFaults(standin.Faults{DropWatchEvents: true})
		change.do("a")
		s.store.ForgetHistory()
		s.store.SetFaults(standin.Faults{})
		s.store.CutConnections()
		awaitEvacuated(t, change.want, one)
	}
}

// Guards against flows to a data centre that is being switched off, because the store lost the
// request, before the operator could write it again; and against a data centre that stays empty
// although nobody does.
func TestRestoredStoreLacksTheEvacuation(t *testing.T) {
	s := newEvacuationSite(t)
	one := s.start(1, s.store.Addr())
	one.awaitReady()
	two := s.start(2, s.store.Addr(), one.settings.Peer)
	two.awaitReady()
	older := s.store.Copy()
	s.evacuate("a")
	awaitEvacuated(t, "a", one, two)
	s.store.Restore(older)
	s.store.CutConnections()
	awaitEvacuated(t, "", one, two)
	for _, n := range []*node{one, two} {
		restored := n.awaitLine(`"kind":"evacuations","level":"info","msg":"store was restored"`)
		ended := n.awaitLine(`"msg":"evacuation withdrawn","source":"restored"`)
		must.GreaterEq(t, s.deployment.Timing().View.ReturnGrace-time.Millisecond, ended.Sub(restored)) // logged times are rounded
	}
}

// awaitLine waits for a log line with a text and returns its time.
func (n *node) awaitLine(text string) (at time.Time) {
	n.t.Helper()
	eventually(n.t, "the line "+text, func() bool {
		for line := range strings.Lines(n.log.String()) {
			if strings.Contains(line, text) {
				var l struct{ Time time.Time }
				must.NoError(n.t, json.Unmarshal([]byte(line), &l))
				at = l.Time
				return true
			}
		}
		return false
	})
	return at
}

// Guards against an evacuation that a restore ends although the store still has it.
func TestRestoredStoreHasTheEvacuation(t *testing.T) {
	s := newEvacuationSite(t)
	one := s.start(1, s.store.Addr())
	one.awaitReady()
	s.evacuate("a")
	awaitEvacuated(t, "a", one)
	older := s.store.Copy()
	s.configure(2)
	awaitConfig(t, 2, one)
	s.store.Restore(older)
	s.store.CutConnections()
	one.awaitLine(`"kind":"evacuations","level":"info","msg":"store was restored"`)
	time.Sleep(s.deployment.Timing().View.ReturnGrace + time.Second)
	must.Eq(t, "a", one.evacuated())
	must.StrNotContains(t, one.log.String(), "evacuation withdrawn")
	s.withdraw("a")
	awaitEvacuated(t, "", one)
}

// Guards against instances that disagree on a request that had been withdrawn and that a restored
// store has again.
func TestRestoredStoreHasAWithdrawnEvacuation(t *testing.T) {
	s := newEvacuationSite(t)
	one := s.start(1, s.store.Addr())
	one.awaitReady()
	two := s.start(2, s.store.Addr(), one.settings.Peer)
	two.awaitReady()
	s.evacuate("a")
	awaitEvacuated(t, "a", one, two)
	older := s.store.Copy()
	s.withdraw("a")
	awaitEvacuated(t, "", one, two)
	s.store.Restore(older)
	s.store.CutConnections()
	awaitEvacuated(t, "a", one, two)
	s.withdraw("a")
	awaitEvacuated(t, "", one, two)
}

// Guards against an entry of an unknown data centre that hides others of the same answer, counts
// as an evacuation or is ignored without a log line.
func TestEvacuationOfAnUnknownDataCentre(t *testing.T) {
	s := newEvacuationSite(t)
	s.store.Put(platform.EvacuationKind, "a", `["not read"]`)
	s.evacuate("0-unknown")
	s.evacuate("z-unknown")
	one := s.start(1, s.store.Addr())
	one.awaitReady()
	must.Eq(t, "a", one.evacuated())
	mustReach(t, s.client(one), otherTarget)
	must.StrContains(t, one.metrics(), `guavaloom_edge_unreadable_total{kind="evacuations"} 2`)
	one.awaitLine("unknown data centre")
	s.withdraw("0-unknown")
	s.withdraw("a")
	awaitEvacuated(t, "", one)
}

// Guards against a deployment whose settings have no bound and that evacuates all the same.
func TestEvacuationsAreIgnoredWithoutABound(t *testing.T) {
	s := newEvacuationSite(t)
	s.deployment = edge.DefaultDeployment()
	s.evacuate("a")
	one := s.start(1, s.store.Addr())
	one.awaitReady()
	mustReach(t, s.client(one), ownTarget)
	for _, k := range one.status().Kinds {
		must.NotEq(t, platform.EvacuationKind, k.Kind)
	}
}
