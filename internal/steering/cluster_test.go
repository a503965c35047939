package steering

import (
	"fmt"
	"math/rand"
	"net/netip"
	"strings"
	"testing"
	"time"

	"guavaloom.example/guavaloom/internal/flow"
	"guavaloom.example/guavaloom/internal/instance"
	"guavaloom.example/guavaloom/internal/service"
	"guavaloom.example/guavaloom/internal/target"
	"guavaloom.example/guavaloom/internal/zone"
)

const testIdle = 10 * time.Minute

// testCluster connects the steerers of a zone in memory. Relayed packets are lost,
// duplicated and reordered at random.
type testCluster struct {
	t      testing.TB
	rng    *rand.Rand
	now    time.Duration
	table  *zone.Table
	nodes  []*testNode
	queue  []testMessage
	loss   float64 // share of relayed packets and messages lost
	dup    float64 // share of relayed packets and messages duplicated
	relays int
	limit  int
	drops  map[Reason]int
	flows  []*testFlow
}

type testNode struct {
	ref  instance.Ref
	st   *Steerer
	dead bool
}

type testMessage struct {
	from, to *testNode
	hdr      RelayHeader
	flow     *testFlow
	first    bool
}

// testFlow is a flow of a client. It is open once a target has received its first
// packet.
type testFlow struct {
	key    flow.Key
	udp    bool
	opened bool
	target zone.TargetIndex
	got    map[zone.TargetIndex]int
	trace  []string
}

func newTestCluster(t testing.TB, seed int64, nodes, targets int) *testCluster {
	l := &testCluster{t: t, rng: rand.New(rand.NewSource(seed)), now: time.Hour, drops: map[Reason]int{}, limit: 1 << 16}
	st := zone.ServiceTable{Slots: 251, Service: service.Service{
		ID: "board", Address: netip.MustParseAddrPort("10.0.0.1:443"), Protocol: service.TCP, IdleTimeout: testIdle}}
	for i := range targets {
		st.Targets = append(st.Targets, zone.TargetEntry{State: target.Active, Target: target.Target{
			ID: target.ID(fmt.Sprintf("t%d", i)), Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(i)}), 80)}})
	}
	st.Base = generation(1, targets)
	st.Current, st.Touched = st.Base, zone.NewBitmap(st.Slots)
	l.table = &zone.Table{Zone: "z", Version: zone.Version{Term: 1, Seq: 1}, Services: []zone.ServiceTable{st}}
	set := zone.HomeSet{Number: 1}
	for range nodes {
		set.Members = append(set.Members, l.newNode().ref)
	}
	l.table.Roster, l.table.Homes = set.Members, []zone.HomeSet{set}
	l.installAll()
	return l
}

func generation(number uint32, targets int, without ...int) zone.Generation {
	g := zone.Generation{Number: number}
	for i := range targets {
		skip := false
		for _, w := range without {
			skip = skip || w == i
		}
		if !skip {
			g.Weights = append(g.Weights, zone.Weight{Target: zone.TargetIndex(i), Percent: 100})
		}
	}
	return g
}

func (l *testCluster) newNode() *testNode {
	n := &testNode{ref: instance.Ref{ID: instance.ID(fmt.Sprintf("n%d", len(l.nodes))), Incarnation: 1}}
	n.st = New(Config{Shards: 2, PinLimit: l.limit, TransferBytes: 4000}, n.ref)
	n.st.SetLease(1 << 62)
	l.nodes = append(l.nodes, n)
	return n
}

func (l *testCluster) installAll() {
	for _, n := range l.nodes {
		if !n.dead {
			n.st.Install(l.now, l.table)
		}
	}
	for _, n := range l.nodes {
		n.st.SetCommitted(l.table.Version)
	}
}

// step creates the next table version; the caller installs it.
func (l *testCluster) step(change func(*zone.Table)) {
	t := *l.table
	t.Version.Seq++
	t.Services = append([]zone.ServiceTable(nil), t.Services...)
	t.Homes = append([]zone.HomeSet(nil), t.Homes...)
	change(&t)
	l.table = &t
}

func (l *testCluster) stepAll(change func(*zone.Table)) {
	l.step(change)
	l.installAll()
}

func differingSlots(s *zone.ServiceTable, gs ...zone.Generation) zone.Bitmap {
	out := s.Touched.Clone()
	first := NewView(&zone.Table{Services: []zone.ServiceTable{{Service: s.Service, Targets: s.Targets, Slots: s.Slots,
		Base: gs[0], Current: gs[0], Touched: out}}}, nil).services[0].base
	for _, g := range gs[1:] {
		for i, t := range NewView(&zone.Table{Services: []zone.ServiceTable{{Service: s.Service, Targets: s.Targets,
			Slots: s.Slots, Base: g, Current: g, Touched: out}}}, nil).services[0].base {
			if t != first[i] {
				out.Set(uint32(i))
			}
		}
	}
	return out
}

func prepare(g zone.Generation) func(*zone.Table) {
	return func(t *zone.Table) {
		s := &t.Services[0]
		s.Phase, s.Next = zone.Prepare, g
		s.Touched = differingSlots(s, s.Base, s.Current, g)
	}
}

func move(t *zone.Table) {
	s := &t.Services[0]
	s.Phase, s.Current, s.Next = zone.Move, s.Next, zone.Generation{}
}

func newHomeSet(members ...instance.Ref) func(*zone.Table) {
	return func(t *zone.Table) {
		t.Homes = append([]zone.HomeSet{{Number: t.Homes[0].Number + 1, Members: members}}, t.Homes...)
		t.Homes = t.Homes[:min(len(t.Homes), zone.MaxHomeSets)]
	}
}

func without(refs []instance.Ref, r instance.Ref) []instance.Ref {
	var out []instance.Ref
	for _, o := range refs {
		if !o.Same(r) {
			out = append(out, o)
		}
	}
	return out
}

// settleBase is the first settle step. It replaces Base by Current if the reports
// of all live nodes allow it.
func (l *testCluster) settleBase(t *zone.Table) {
	s := &t.Services[0]
	for _, n := range l.live() {
		for _, r := range n.st.Report(l.now) {
			if r.Generation != s.Current.Number {
				return
			}
		}
	}
	s.Phase, s.Base = zone.Stable, s.Current
}

// settleTouched is the second settle step. It settles the slots that no report
// lists.
func (l *testCluster) settleTouched(t *zone.Table) {
	s := &t.Services[0]
	s.Touched = zone.NewBitmap(s.Slots)
	for _, n := range l.live() {
		for _, r := range n.st.Report(l.now) {
			s.Touched = s.Touched.Or(r.Slots)
		}
	}
}

// settle installs both settle steps on all nodes.
func (l *testCluster) settle() {
	l.stepAll(l.settleBase)
	if l.table.Services[0].Phase == zone.Stable {
		l.stepAll(l.settleTouched)
	}
}

func (l *testCluster) flow(i int) *testFlow {
	f := &testFlow{target: zone.NoTarget, got: map[zone.TargetIndex]int{}, key: flow.Key{
		Src: netip.AddrFrom4([4]byte{192, 168, byte(i >> 8), byte(i)}), SrcPort: uint16(1024 + i%60000),
		Dst: netip.MustParseAddr("10.0.0.1"), DstPort: 443, Protocol: uint8(l.table.Services[0].Service.Protocol)}}
	f.udp = f.key.Protocol == uint8(service.UDP)
	l.flows = append(l.flows, f)
	return f
}

// send delivers the next packet of a flow to a node and queues the messages that
// result.
func (l *testCluster) send(n *testNode, f *testFlow) {
	first := !f.opened && !f.udp
	l.handle(n, n.st.Packet(l.now, Packet{Key: f.key, First: first}), testMessage{flow: f, first: first})
}

func (l *testCluster) handle(n *testNode, d Decision, m testMessage) {
	if n.st.View() == nil {
		return // a joining node without a table drops every packet
	}
	m.flow.trace = append(m.flow.trace, fmt.Sprintf("%v %s %s set %d: %s first %t asked %d from %d flags %d -> %s %s target %d %s", l.now, n.ref.ID,
		n.st.View().version, n.st.View().homeSetNumber(), m.hdr.Kind, m.first, m.hdr.Asked, m.hdr.HomeSet, m.hdr.Flags, d.Action, d.Header.Kind, d.Target, d.Reason))
	switch d.Action {
	case Forward:
		l.deliver(d.Target, m)
	case Relay:
		l.relays++
		l.post(n, l.node(d.To, m.from), d.Header, m)
	case Drop:
		l.drops[d.Reason]++
	}
	if d.Reply != nil {
		l.post(n, l.node(d.ReplyTo, m.from), *d.Reply, testMessage{flow: m.flow})
	}
}

func (l *testCluster) node(r *instance.Ref, sender *testNode) *testNode {
	if r == nil {
		return sender
	}
	for _, n := range l.nodes {
		if n.ref.Same(*r) {
			return n
		}
	}
	return nil
}

func (l *testCluster) post(from, to *testNode, h RelayHeader, m testMessage) {
	b := h.Append(nil)
	h, _, err := DecodeHeader(b)
	if err != nil {
		l.t.Fatal(err)
	}
	m.from, m.to, m.hdr = from, to, h
	if l.rng.Float64() >= l.loss {
		l.queue = append(l.queue, m)
	}
	if l.rng.Float64() < l.dup {
		l.queue = append(l.queue, m)
	}
}

func (l *testCluster) deliver(t zone.TargetIndex, m testMessage) {
	f := m.flow
	f.got[t]++
	if !f.opened {
		f.opened, f.target = true, t
	}
	if f.target != t {
		l.t.Fatalf("flow opened at target %d: a packet (first %t) reached target %d:\n%s", f.target, m.first, t, strings.Join(f.trace[max(0, len(f.trace)-30):], "\n"))
	}
}

// run delivers up to n queued messages in random order, all if n < 0.
func (l *testCluster) run(n int) {
	for ; n != 0 && len(l.queue) > 0; n-- {
		i := l.rng.Intn(len(l.queue))
		m := l.queue[i]
		l.queue[i] = l.queue[len(l.queue)-1]
		l.queue = l.queue[:len(l.queue)-1]
		if m.to != nil && !m.to.dead {
			l.handle(m.to, m.to.st.Relayed(l.now, m.hdr, Packet{Key: m.flow.key, First: m.first}), m)
		}
	}
}

// tick advances the time and runs transfers, whose messages are lost like packets.
func (l *testCluster) tick(d time.Duration) {
	l.now += d
	for _, n := range l.nodes {
		if n.dead {
			continue
		}
		for _, a := range n.st.Tick(l.now) {
			to := l.node(&a.To, nil)
			l.traceBatch(n, to, a.Batch)
			if to.dead || l.rng.Float64() < l.loss {
				continue
			}
			if ack := to.st.ReceivePins(l.now, a.Batch); l.rng.Float64() >= l.loss {
				n.st.AckPins(l.now, to.ref, ack)
			}
		}
	}
}

func (l *testCluster) traceBatch(from, to *testNode, b PinBatch) {
	for i := range b.Len() {
		for _, f := range l.flows {
			if r := b.record(i); r.src == f.key.Src.As16() && r.port == f.key.SrcPort {
				f.trace = append(f.trace, fmt.Sprintf("%v transfer %d %s -> %s set %d accepted %t", l.now, b.Number, from.ref.ID, to.ref.ID, b.HomeSet, r.accepted))
			}
		}
	}
}

func (l *testCluster) live() []*testNode {
	var out []*testNode
	for _, n := range l.nodes {
		if !n.dead {
			out = append(out, n)
		}
	}
	return out
}

func (l *testCluster) randomNode() *testNode {
	live := l.live()
	return live[l.rng.Intn(len(live))]
}

// sendAll sends one packet of every flow through a random node.
func (l *testCluster) sendAll() {
	for _, f := range l.flows {
		l.send(l.randomNode(), f)
		l.run(-1)
	}
}

// transferAll runs ticks until all live nodes have transferred their pins.
func (l *testCluster) transferAll() {
	for range 1000 {
		done := true
		for _, n := range l.live() {
			done = done && n.st.TransferredHomeSet() == l.table.Homes[0].Number
		}
		if done {
			return
		}
		l.tick(100 * time.Millisecond)
	}
	l.t.Fatal("transfers are not complete after 1000 ticks")
}

func (l *testCluster) kill(n *testNode) { n.dead = true }

func (l *testCluster) suspect(n *testNode) {
	for _, o := range l.nodes {
		o.st.SetSuspects([]instance.Ref{n.ref})
	}
}

func (l *testCluster) unsuspect() {
	for _, o := range l.nodes {
		o.st.SetSuspects(nil)
	}
}
