package edge_test

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/shoenig/test/must"

	"guavaloom.example/guavaloom/internal/edge"
	"guavaloom.example/guavaloom/internal/explain"
	"guavaloom.example/guavaloom/internal/forwarding"
	"guavaloom.example/guavaloom/internal/targetreport"
	"guavaloom.example/guavaloom/platform/standin"
)

// startReporting runs an instance that exchanges reports at a port.
func (s *testSite) startReporting(n int, port uint16) *node {
	s.t.Helper()
	return s.startWith(n, s.store.Addr(), func(set *edge.Settings) {
		set.Reports = netip.AddrPortFrom(set.Peer.Addr(), port)
	})
}

// targetStatus returns what an instance knows of a target.
func (n *node) targetStatus(id string) explain.TargetStatus {
	for _, tg := range n.status().Targets {
		if tg.Target == id {
			return tg
		}
	}
	return explain.TargetStatus{}
}

// reports returns the line of a counter of reports, "" while it is 0.
func (n *node) reports(event string) string {
	for line := range strings.Lines(n.metrics()) {
		if strings.HasPrefix(line, fmt.Sprintf("guavaloom_edge_reports_total{event=%q}", event)) {
			return strings.TrimSpace(line)
		}
	}
	return ""
}

// traffic opens flows until the test ends, each through one of the given instances: without
// traffic a suspicion has no recent evidence.
type traffic struct {
	client *standin.Client
	mu     sync.Mutex
	nodes  []*node
}

func (s *testSite) newTraffic(nodes ...*node) *traffic {
	s.t.Helper()
	tr := &traffic{nodes: nodes}
	c, err := standin.NewClient(netip.AddrPortFrom(netip.MustParseAddr("127.0.0.9"), s.packetPort), tr.node)
	must.NoError(s.t, err)
	tr.client = c
	s.t.Cleanup(c.Close)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		for ctx.Err() == nil {
			if f, err := c.Open(ctx, bookingEndpoint); err == nil {
				f.Close()
			}
			time.Sleep(time.Millisecond)
		}
	}()
	s.t.Cleanup(func() { cancel(); <-done })
	return tr
}

// node returns the instance of a flow: all packets of a flow go through one.
func (tr *traffic) node(f forwarding.FlowID) netip.AddrPort {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return tr.nodes[int(f.Client.Port)%len(tr.nodes)].settings.Packet
}

func (tr *traffic) set(nodes ...*node) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.nodes = nodes
}

// Load pattern: a target fails without notice. Guards against an observation that stays with one
// instance, against one instance that suffices to avoid a target, against an instance that has
// just started and gives flows to a target which two others know to be silent, and against harm
// from an instance without reports, such as one of an older build, beside them.
func TestReportsBetweenInstances(t *testing.T) {
	s := newSite(t)
	dead := s.target("i-a1", 0xa1)
	s.target("i-a2", 0xa2)
	port := freePort(t)
	one, two := s.startReporting(1, port), s.startReporting(2, port)
	off := s.start(4, s.store.Addr())
	for _, n := range []*node{one, two, off} {
		n.awaitReady()
	}
	eventually(t, "registered instances", func() bool { return one.status().ZoneInstances == 3 && two.status().ZoneInstances == 3 })
	dead.SetSilent(true)
	tr := s.newTraffic(one)
	eventually(t, "the suspicion of instance 1", func() bool { return one.targetState("i-a1") == "suspected" })
	suspected := time.Now()
	eventually(t, "its report", func() bool { return two.targetStatus("i-a1").ReportedBy == 1 })
	t.Logf("reported %s after the suspicion was seen", time.Since(suspected))
	must.Eq(t, "ready", two.targetState("i-a1"))
	must.Eq(t, "ready", off.targetState("i-a1"))

	tr.set(one, two)
	eventually(t, "the suspicion of instance 2", func() bool { return two.targetState("i-a1") == "suspected" })
	three := s.startReporting(3, port)
	three.awaitReady()
	ready := time.Now()
	eventually(t, "a target avoided without a flow", func() bool {
		tg := three.targetStatus("i-a1")
		return tg.ReportedSilent && tg.State == "suspected"
	})
	t.Logf("avoided %s after the instance was seen ready", time.Since(ready))
	must.StrNotContains(t, three.metrics(), `outcome="forward:placed"`)
	must.Eq(t, "ready", three.targetState("i-a2"))
	must.NotEq(t, "", three.reports("received"))
	must.Eq(t, "", three.reports("sent"), must.Sprint("what others reported was passed on"))

	must.StrNotContains(t, off.metrics(), "guavaloom_edge_reports_total")
	must.Eq(t, 0, off.targetStatus("i-a1").ReportedBy)

	// The target returns.
	dead.SetSilent(false)
	for _, n := range []*node{one, two} {
		eventually(t, "a cleared target", func() bool { return n.targetState("i-a1") == "ready" })
	}
	eventually(t, "expired reports", func() bool { return three.targetStatus("i-a1").ReportedBy == 0 })
	must.Eq(t, "ready", three.targetState("i-a1"))
	tr.set(off)
	id, err := requestTarget(t, tr.client, bookingEndpoint)
	must.NoError(t, err)
	must.NotEq(t, "", id)
}

// Guards against reports from addresses outside the data centre's instances, against datagrams
// that end the receiver or count under the wrong reason, and against a socket that outlives its
// instance.
func TestDroppedReports(t *testing.T) {
	s := newSite(t)
	s.target("i-a1", 0xa1)
	port := freePort(t)
	one, other := s.startReporting(1, port), s.start(2, s.store.Addr())
	foreign := s.startWith(5, s.store.Addr(), func(set *edge.Settings) { set.Zone = "b" })
	for _, n := range []*node{one, other, foreign} {
		n.awaitReady()
	}
	send := func(from *node, data []byte) {
		local := netip.AddrPortFrom(from.settings.Peer.Addr(), 0)
		c, err := net.DialUDP("udp", net.UDPAddrFromAddrPort(local), net.UDPAddrFromAddrPort(one.settings.Reports))
		must.NoError(t, err)
		defer func() { _ = c.Close() }()
		_, err = c.Write(data)
		must.NoError(t, err)
	}
	valid, err := (&targetreport.Report{Sequence: 1}).Encode()
	must.NoError(t, err)
	later, err := cbor.Marshal([]any{2, "more"})
	must.NoError(t, err)
	eventually(t, "a report of a registered instance", func() bool {
		send(other, valid)
		return one.reports("received") != ""
	})
	for event, c := range map[string]struct {
		from *node
		data []byte
	}{
		"dropped:source":    {foreign, valid},
		"dropped:malformed": {other, []byte("x")},
		"dropped:oversized": {other, make([]byte, 1400)},
		"dropped:version":   {other, later},
		"dropped:old":       {other, valid},
	} {
		before := one.reports(event)
		send(c.from, c.data)
		eventually(t, event, func() bool { return one.reports(event) != before })
	}
	send(one, valid) // its own address
	next, err := (&targetreport.Report{Sequence: 2}).Encode()
	must.NoError(t, err)
	before := one.reports("received")
	send(other, next)
	eventually(t, "a report after the dropped ones", func() bool { return one.reports("received") != before })

	one.stop()
	eventually(t, "a closed socket", func() bool {
		c, err := net.ListenPacket("udp", one.settings.Reports.String())
		if err != nil {
			return false
		}
		return c.Close() == nil
	})
}

// Guards against an instance that does not serve because another process has its reports port.
func TestReportsPortInUse(t *testing.T) {
	s := newSite(t)
	s.target("i-a1", 0xa1)
	port := freePort(t)
	c, err := net.ListenPacket("udp", fmt.Sprintf("127.0.0.1:%d", port))
	must.NoError(t, err)
	defer func() { _ = c.Close() }()
	one := s.startReporting(1, port)
	one.awaitReady()
	_, err = requestTarget(t, s.client(one), bookingEndpoint)
	must.NoError(t, err)
	eventually(t, "the log line", func() bool { return strings.Contains(one.log.String(), "no reports about targets") })
}
