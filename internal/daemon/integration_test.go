package daemon_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"guavaloom.example/guavaloom/internal/explain"
	"guavaloom.example/guavaloom/internal/instance"
	"guavaloom.example/guavaloom/internal/objectstore/standin"
	"guavaloom.example/guavaloom/internal/testbed"
)

// testTimeout ends a test that hangs; no assertion depends on it.
const testTimeout = 2 * time.Minute

// fixture is a fleet of instances with flows, requests and targets.
type fixture struct {
	*testbed.Fleet
	ctx        context.Context
	flows      *testbed.Flows
	requests   *testbed.Requests
	targets    []testbed.Listed
	stopTarget map[string]func() // ends a flow target
}

func newFixture(t *testing.T, ids ...instance.ID) *fixture {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	if os.Getenv("LAB_LOG") != "" {
		log.SetOutput(os.Stderr)
	}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	f, err := testbed.NewFleet(log, ids...)
	must.NoError(t, err)
	t.Cleanup(f.Close)
	flows, err := testbed.NewFlows(7)
	must.NoError(t, err)
	t.Cleanup(flows.Close)
	r := &fixture{Fleet: f, ctx: ctx, flows: flows, requests: testbed.NewRequests(), stopTarget: map[string]func(){}}
	for n := range 4 {
		r.addFlowTarget(t, fmt.Sprintf("feed-%d", n), testbed.Feed, testbed.FeedAddr)
		r.addFlowTarget(t, fmt.Sprintf("board-%d", n), testbed.Board, testbed.BoardAddr)
		name := fmt.Sprintf("web-%d", n)
		w, err := r.requests.NewWebTarget(name, f.Addr(), false)
		must.NoError(t, err)
		t.Cleanup(w.Close)
		r.targets = append(r.targets, testbed.Listed{Name: name, Service: testbed.Booking, Addr: w.Addr})
	}
	return r
}

func (r *fixture) addFlowTarget(t *testing.T, name, service string, address netip.AddrPort) {
	target, err := r.flows.NewFlowTarget(name, r.Addr(), address)
	must.NoError(t, err)
	end := sync.OnceFunc(target.Close)
	t.Cleanup(end)
	r.stopTarget[name] = end
	r.targets = append(r.targets, testbed.Listed{Name: name, Service: service, Addr: target.Addr})
}

func (r *fixture) start(t *testing.T, ids ...instance.ID) []*testbed.Instance {
	t.Helper()
	var all []*testbed.Instance
	for _, id := range ids {
		i, err := r.Start(id)
		must.NoError(t, err)
		all = append(all, i)
	}
	return all
}

// roll rolls out a bundle with the targets and waits until all instances are ready.
func (r *fixture) roll(t *testing.T, revision int) {
	t.Helper()
	must.NoError(t, r.Roll(r.ctx, testbed.BundleText(revision, r.targets)))
	r.await(t, func() bool {
		for _, i := range r.Instances() {
			if !r.Ready(i) {
				return false
			}
		}
		return true
	})
	r.refreshFabric()
}

// refreshFabric makes the fabric send packets to all running instances.
func (r *fixture) refreshFabric() {
	var fabric []netip.AddrPort
	for _, i := range r.Instances() {
		fabric = append(fabric, i.Listen.Packet)
	}
	r.flows.SetFabric(fabric)
}

func (r *fixture) await(t *testing.T, holds func() bool) {
	t.Helper()
	if err := testbed.Await(r.ctx, holds); err != nil {
		for _, i := range r.Instances() {
			_, body, _ := r.Get(i, "/status")
			t.Log(body)
		}
		must.NoError(t, err)
	}
}

// Guards against an instance that joins while the platform is down and gets no
// bundle, or never becomes ready.
func TestBundleReachesLateJoinerWithPlatformDown(t *testing.T) {
	r := newFixture(t, "a1", "a2", "a3")
	r.start(t, "a1", "a2")
	r.roll(t, 1)
	r.Store.SetFaults(standin.Faults{Down: true})
	late := r.start(t, "a3")[0]
	r.await(t, func() bool { return r.Ready(late) })
	s, err := r.Status(late)
	must.NoError(t, err)
	must.Eq(t, "1.1", s.Revision)
	must.SliceLen(t, 3, s.Members)
	must.Eq(t, testbed.Answered, r.requests.Do(r.ctx, late, testbed.Call{Method: http.MethodGet, Path: "/slots"}))
}

// Guards against a graceful stop that cuts requests in flight, gives up pins, or
// never ends.
func TestGracefulStopCutsNothing(t *testing.T) {
	r := newFixture(t, "a1", "a2", "a3")
	all := r.start(t, "a1", "a2", "a3")
	r.roll(t, 1)
	r.flows.Open(testbed.FeedAddr, 60)
	r.await(t, func() bool { return r.flows.Counts(testTimeout).Established == 60 })
	r.targets[0].Drain = true // moves slots, so that flows need pins
	must.NoError(t, r.Roll(r.ctx, testbed.BundleText(2, r.targets)))
	outcomes := make(chan testbed.Outcome, 20)
	for range cap(outcomes) {
		go func() {
			outcomes <- r.requests.Do(r.ctx, all[0], testbed.Call{Method: http.MethodPut, Path: "/proofs", Body: []byte("proof")})
		}()
	}
	r.await(t, func() bool { return r.runs() > 0 })
	must.NoError(t, r.Stop(all[0]))
	for range cap(outcomes) {
		must.Eq(t, testbed.Answered, <-outcomes)
	}
	r.refreshFabric()
	r.awaitFlowProgress(t)
	c := r.flows.Counts(testTimeout)
	must.Zero(t, c.Broken)
	must.Zero(t, c.WrongService)
}

// runs returns how many requests the targets have run.
func (r *fixture) runs() int {
	n := 0
	for _, w := range r.targets {
		n += r.requests.RunAt(w.Name)
	}
	return n
}

// awaitFlowProgress waits until each flow has received packets after the call, or
// one has broken.
func (r *fixture) awaitFlowProgress(t *testing.T) {
	t.Helper()
	since := time.Now()
	r.await(t, func() bool { return r.flows.Counts(testTimeout).Broken > 0 || r.flows.AllMovedSince(since) })
}

// Guards against a key that runs again when its request is repeated at another
// instance, at the same time or after its home has left.
func TestRepeatedKeyRunsOnce(t *testing.T) {
	r := newFixture(t, "a1", "a2", "a3")
	all := r.start(t, "a1", "a2", "a3")
	r.roll(t, 1)
	const keys = 12
	done := make(chan testbed.Outcome, keys*len(all))
	book := func(n int, at *testbed.Instance) testbed.Outcome {
		return r.requests.Do(r.ctx, at, testbed.Call{Method: http.MethodPost, Path: "/bookings", Key: fmt.Sprintf("key-%d", n), Body: []byte("x")})
	}
	for n := range keys {
		for _, i := range all {
			go func() { done <- book(n, i) }()
		}
	}
	for range cap(done) {
		must.Eq(t, testbed.Answered, <-done)
	}
	must.NoError(t, r.Stop(all[2]))
	for n := range keys {
		r.await(t, func() bool { return book(n, all[n%2]) != testbed.Refused }) // refused while homes move
		must.Eq(t, 1, r.requests.RunsOf(fmt.Sprintf("key-%d", n)))
	}
	c := r.requests.Counts()
	must.Zero(t, c.DoubleRuns)
	must.Zero(t, c.FalseNotRun)
	must.Zero(t, c.Unknown)
}

// Guards against flows that go to another target when an instance that was their
// home is killed, and against a zone that doesn't replace it.
func TestKilledInstancesFlowsContinue(t *testing.T) {
	r := newFixture(t, "a1", "a2", "a3")
	all := r.start(t, "a1", "a2", "a3")
	r.roll(t, 1)
	r.flows.Open(testbed.FeedAddr, 60)
	r.flows.Open(testbed.BoardAddr, 60)
	r.await(t, func() bool { return r.flows.Counts(testTimeout).Established == 120 })
	r.targets[0].Drain, r.targets[1].Drain = true, true
	must.NoError(t, r.Roll(r.ctx, testbed.BundleText(2, r.targets)))
	r.flows.Open(testbed.FeedAddr, 60)
	r.await(t, func() bool { return r.flows.Counts(testTimeout).Established == 180 })
	r.awaitFlowProgress(t)
	r.Kill(all[1])
	r.refreshFabric()
	r.awaitFlowProgress(t)
	r.await(t, func() bool {
		s, err := r.Status(all[0])
		return err == nil && len(s.Members) == 2
	})
	r.awaitFlowProgress(t)
	c := r.flows.Counts(testTimeout)
	must.Zero(t, c.Broken)
	must.Zero(t, c.WrongService)
}

// Guards against dropped packets without a counter, a readiness without reasons,
// and explanations that differ from the steering.
func TestDropsAndExplanationsAreVisible(t *testing.T) {
	r := newFixture(t, "a1")
	i := r.start(t, "a1")[0]
	_, body, err := r.Get(i, "/readyz")
	must.NoError(t, err)
	must.StrContains(t, body, "no_table")
	r.roll(t, 1)
	r.flows.Open(netip.MustParseAddrPort("192.0.2.99:80"), 1) // no such service
	r.flows.Open(testbed.FeedAddr, 10)
	fabric, err := net.Dial("udp", i.Listen.Packet.String())
	must.NoError(t, err)
	defer func() { _ = fabric.Close() }()
	_, err = fabric.Write([]byte{0x80, 0})
	must.NoError(t, err)
	r.await(t, func() bool {
		_, text, err := r.Get(i, "/metrics")
		return err == nil && strings.Contains(text, `guavaloom_packets_dropped_total{reason="encapsulation"} 1`) &&
			strings.Contains(text, `guavaloom_packets_dropped_total{reason="unknown_service"} `)
	})
	r.await(t, func() bool { return r.flows.Counts(testTimeout).Established == 10 })
	flows := r.postExplain(t, i, explain.FlowPath, explain.FlowQuery{Protocol: "tcp", Source: "10.0.0.1:5000", Destination: testbed.FeedAddr.String()})
	must.StrContains(t, flows, `"decision":"forward"`)
	must.StrContains(t, flows, `"service":"feed"`)
	requests := r.postExplain(t, i, explain.RequestPath, explain.RequestQuery{Method: "POST", Host: testbed.Host, Path: "/bookings", IdempotencyKey: "k"})
	must.StrContains(t, requests, `"decision":"send"`)
	must.StrContains(t, requests, `"key_home":"a1"`)
}

func (r *fixture) postExplain(t *testing.T, i *testbed.Instance, path string, question any) string {
	t.Helper()
	body, err := json.Marshal(question)
	must.NoError(t, err)
	resp, err := http.Post("http://"+i.Listen.Admin.String()+path, "application/json", bytes.NewReader(body))
	must.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	must.NoError(t, err)
	return string(answer)
}

// Guards against new flows that are sent to a dead target forever, because probes,
// verdicts or proposals don't reach the table.
func TestDeadTargetGetsNoNewFlows(t *testing.T) {
	r := newFixture(t, "a1", "a2", "a3")
	r.start(t, "a1", "a2", "a3")
	r.roll(t, 1)
	r.stopTarget["feed-1"]()
	r.flows.Open(testbed.FeedAddr, 60)
	r.await(t, func() bool { return r.flows.Counts(testTimeout).Established == 60 })
	must.Zero(t, r.flows.OpenedAt("feed-1"))
}

// Guards against a minority that continues to steer although the majority may have
// changed the table: with the platform down it can't learn that the others are gone.
func TestMinorityDropsAfterItsLease(t *testing.T) {
	r := newFixture(t, "a1", "a2", "a3")
	all := r.start(t, "a1", "a2", "a3")
	r.roll(t, 1)
	r.Store.SetFaults(standin.Faults{Down: true})
	r.Kill(all[1])
	r.Kill(all[2])
	r.await(t, func() bool { return !r.Ready(all[0]) })
	r.flows.Open(testbed.FeedAddr, 20)
	r.await(t, func() bool {
		_, text, err := r.Get(all[0], "/metrics")
		return err == nil && !strings.Contains(text, `guavaloom_packets_dropped_total{reason="lease_lapsed"} 0`+"\n")
	})
	must.Zero(t, r.flows.Counts(testTimeout).Established)
	must.Eq(t, testbed.Refused, r.requests.Do(r.ctx, all[0], testbed.Call{Method: http.MethodGet, Path: "/slots"}))
}
