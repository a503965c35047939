package baseline

import (
	"fmt"
	"math/rand"
	"net/netip"
	"time"

	"guavaloom.example/guavaloom/internal/flow"
	"guavaloom.example/guavaloom/internal/instance"
	"guavaloom.example/guavaloom/internal/maglev"
	"guavaloom.example/guavaloom/internal/steering"
	"guavaloom.example/guavaloom/internal/zone"
)

// Strategy is a steering strategy.
type Strategy int

// Strategies that Run compares.
const (
	// PureHash selects the target by the newest slot map that the instance has.
	PureHash Strategy = iota
	// PinAll touches all slots: every flow is pinned at its home.
	PinAll
	// PinTouched pins only the flows of slots that a change touches.
	PinTouched
)

// String returns the strategy's name.
func (w Strategy) String() string {
	return [...]string{"Maglev hash only", "pin every flow", "pin touched slots"}[w]
}

// Workload is a seeded sequence of flows and changes.
type Workload struct {
	Seed               int64
	Instances, Targets int
	Flows              int // open before the first change
}

// Result holds the measurements of one strategy on a workload.
type Result struct {
	Strategy        Strategy
	Packets, Opened int
	// Broken counts flows of which a packet reached another live target.
	Broken int
	// Refused counts packets that were dropped.
	Refused int
	// Imbalance is the highest ratio, over all changes, of the open flows of
	// the busiest active target to their mean.
	Imbalance float64
	// Hops counts relayed packets, AnswerBytes the bytes of relay messages
	// without a packet, TransferBytes those of transfers and their acknowledgements.
	Hops, AnswerBytes, TransferBytes int
	// PeakPins is the highest number of pins and copies on all instances together.
	PeakPins int
}

// String returns a row of the comparison table.
func (r Result) String() string {
	return fmt.Sprintf("| %-20s | %6d | %6d | %6d | %.3f | %.3f | %8d | %8d | %6d |", r.Strategy, r.Opened, r.Broken, r.Refused,
		r.Imbalance, float64(r.Hops)/float64(r.Packets), r.AnswerBytes, r.TransferBytes, r.PeakPins)
}

type openFlow struct {
	key    flow.Key
	target zone.TargetIndex
	broken bool
}

type node struct {
	ref  instance.Ref
	st   *steering.Steerer
	maps []zone.TargetIndex // newest map, for PureHash
	dead bool
}

type experiment struct {
	Workload
	Result
	rng     *rand.Rand
	now     time.Duration
	table   *zone.Table
	nodes   []*node
	flows   []*openFlow
	drained map[int]bool
	gen     uint32
}

// Run runs a workload with a strategy: targets drain and join; instances die, join
// and leave. After each change one packet of every flow arrives while half of the
// instances have the newest table, and another one once all have it.
func Run(strategy Strategy, w Workload) Result {
	r := &experiment{Workload: w, rng: rand.New(rand.NewSource(w.Seed)), now: time.Hour, drained: map[int]bool{}, gen: 1}
	r.Strategy = strategy
	r.table = newTable(w.Instances, w.Targets, w.Targets+1)
	if strategy == PinAll {
		touchAll(r.table, &r.table.Services[0])
	}
	for _, m := range r.table.Roster {
		r.addNode(m)
	}
	r.install(len(r.nodes))
	r.open(w.Flows)
	r.changeTargets(3, w.Targets)
	r.killInstance(2)
	r.changeTargets(-1, w.Targets+1) // a target joins
	r.addInstance()
	r.changeTargets(7, w.Targets+1)
	r.removeInstance(4)
	r.drained[3] = false
	r.changeTargets(-1, w.Targets+1) // a drained target returns
	return r.Result
}

func (r *experiment) addNode(m instance.Ref) {
	st := steering.New(steering.Config{Shards: 1, PinLimit: 1 << 20, TransferBytes: 1 << 20}, m)
	st.SetLease(1 << 62)
	r.nodes = append(r.nodes, &node{ref: m, st: st})
}

// install installs the table on the first n instances.
func (r *experiment) install(n int) {
	s := &r.table.Services[0]
	m := maglev.ForGeneration(s, s.Current)
	for _, n := range r.nodes[:n] {
		if !n.dead {
			n.st.Install(r.now, r.table)
			n.maps = m
		}
	}
	if n == len(r.nodes) {
		for _, n := range r.nodes {
			n.st.SetCommitted(r.table.Version)
		}
	}
}

func (r *experiment) applyChange(change func(*zone.Table, *zone.ServiceTable)) {
	r.table = next(r.table, change)
	r.install(len(r.nodes) / 2)
	r.sendAll()
	r.install(len(r.nodes))
	r.sendAll()
	r.now += time.Second
}

// changeTargets drains target t, unless it is negative, and moves to a generation
// of the first targets without the drained ones.
func (r *experiment) changeTargets(t, targets int) {
	if t >= 0 {
		r.drained[t] = true
	}
	r.gen++
	r.applyChange(prepare(generation(r.gen, targets, r.drained)))
	r.applyChange(move)
	r.replaceFlows()
}

func (r *experiment) killInstance(i int) {
	n := r.nodes[i]
	n.dead = true
	for _, o := range r.nodes {
		o.st.SetSuspects([]instance.Ref{n.ref})
	}
	r.sendAll()
	r.applyChange(func(t *zone.Table, s *zone.ServiceTable) {
		t.Roster = without(t.Roster, n.ref)
		homes(t.Roster)(t, s)
	})
	r.transfer()
	r.replaceFlows()
}

func (r *experiment) addInstance() {
	m := ref(len(r.nodes))
	r.addNode(m)
	r.nodes[len(r.nodes)-1].st.Install(r.now, r.table)
	r.nodes[len(r.nodes)-1].maps = r.nodes[0].maps
	r.applyChange(func(t *zone.Table, s *zone.ServiceTable) {
		t.Roster = append(append([]instance.Ref(nil), t.Roster...), m)
		homes(t.Roster)(t, s)
	})
	r.transfer()
	r.replaceFlows()
}

func (r *experiment) removeInstance(i int) {
	n := r.nodes[i]
	r.applyChange(homes(without(r.table.Homes[0].Members, n.ref)))
	r.transfer()
	n.dead = true
	r.applyChange(func(t *zone.Table, _ *zone.ServiceTable) { t.Roster = without(t.Roster, n.ref) })
	r.replaceFlows()
}

// transfer runs ticks until all instances have transferred their pins, then drops
// the older home sets.
func (r *experiment) transfer() {
	for done := false; !done; {
		done = true
		r.now += time.Second
		for _, n := range r.nodes {
			if n.dead {
				continue
			}
			for _, a := range n.st.Tick(r.now) {
				r.TransferBytes += len(a.Batch.Records) + 64 // batch header and acknowledgement
				n.st.AckPins(r.now, a.To, r.find(a.To).st.ReceivePins(r.now, a.Batch))
			}
			done = done && n.st.TransferredHomeSet() == r.table.Homes[0].Number
		}
	}
	r.applyChange(func(t *zone.Table, _ *zone.ServiceTable) { t.Homes = t.Homes[:1] })
}

func (r *experiment) find(m instance.Ref) *node {
	for _, n := range r.nodes {
		if n.ref.Same(m) {
			return n
		}
	}
	return nil
}

// replaceFlows replaces a twentieth of the flows by new ones, then measures the
// imbalance and the number of pins.
func (r *experiment) replaceFlows() {
	closed := len(r.flows) / 20
	r.rng.Shuffle(len(r.flows), func(i, j int) { r.flows[i], r.flows[j] = r.flows[j], r.flows[i] })
	r.flows = r.flows[closed:]
	r.open(closed)
	counts, sum, peak := map[zone.TargetIndex]int{}, 0, 0
	for _, f := range r.flows {
		if !r.drained[int(f.target)] {
			counts[f.target]++
			sum++
		}
	}
	for _, c := range counts {
		peak = max(peak, c)
	}
	r.Imbalance = max(r.Imbalance, float64(peak*len(counts))/float64(sum))
	pins := 0
	for _, n := range r.nodes {
		if !n.dead {
			pins += n.st.Stats().Pins
		}
	}
	r.PeakPins = max(r.PeakPins, pins)
}

func (r *experiment) open(n int) {
	for range n {
		r.Opened++
		f := &openFlow{target: zone.NoTarget, key: flow.Key{SrcPort: uint16(1024 + r.Opened%60000), DstPort: address.Port(),
			Src: netip.AddrFrom4([4]byte{100, 64, byte(r.Opened >> 8), byte(r.Opened)}), Dst: address.Addr(), Protocol: 6}}
		r.flows = append(r.flows, f)
		r.send(f, true)
		r.send(f, false)
	}
}

func (r *experiment) sendAll() {
	for _, f := range r.flows {
		r.send(f, f.target == zone.NoTarget)
	}
}

// send delivers a packet to a random instance and follows it to its target.
func (r *experiment) send(f *openFlow, first bool) {
	n := r.nodes[r.rng.Intn(len(r.nodes))]
	for n.dead {
		n = r.nodes[r.rng.Intn(len(r.nodes))]
	}
	r.Packets++
	if r.Strategy == PureHash {
		r.deliver(f, n.maps[f.key.Hash()%uint64(len(n.maps))])
		return
	}
	p := steering.Packet{Key: f.key, First: first}
	d := n.st.Packet(r.now, p)
	for d.Action == steering.Relay {
		r.Hops++
		from := n
		if d.To != nil {
			n = r.find(*d.To)
		}
		if n.dead {
			r.Refused++
			return
		}
		d = n.st.Relayed(r.now, d.Header, p)
		if d.Reply != nil {
			r.AnswerBytes += len(d.Reply.Append(nil))
			if d.ReplyTo != nil {
				from = r.find(*d.ReplyTo)
			}
			from.st.Relayed(r.now, *d.Reply, steering.Packet{})
		}
	}
	if d.Action == steering.Drop {
		r.Refused++
		return
	}
	r.deliver(f, d.Target)
}

func (r *experiment) deliver(f *openFlow, t zone.TargetIndex) {
	if f.target == zone.NoTarget {
		f.target = t
	}
	if f.target != t && !f.broken {
		f.broken = true
		r.Broken++
	}
}
