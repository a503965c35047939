package rollout

import (
	"cmp"
	"math/rand"
	"slices"
	"time"

	"guavaloom.example/guavaloom/internal/bundle"
	"guavaloom.example/guavaloom/internal/instance"
	"guavaloom.example/guavaloom/internal/objectstore"
	"guavaloom.example/guavaloom/internal/rendezvous"
	"guavaloom.example/guavaloom/internal/zone"
)

// Timings of the rollout.
const (
	// DigestInterval is the time between two digests to a random peer.
	DigestInterval = time.Second
	// PushFanout is the number of random peers that a new digest is sent to at once;
	// with three, it reaches 137 instances in about five rounds.
	PushFanout = 3
	// FetchTimeout is the time without progress after which a fetch asks another
	// source; it doubles with every such timeout.
	FetchTimeout = 400 * time.Millisecond
	// StartupGrace is how long an instance without a bundle prefers peers to the
	// store, which may have been restored to an older state.
	StartupGrace = 3 * time.Second
	// AckInterval is the longest time between two sends of an unchanged acknowledgement.
	AckInterval = 10 * time.Second
	// AckRetry is the first delay before an acknowledgement is sent again; the delay
	// doubles up to AckInterval. With 1 s and 1 % message loss, a zone of 137 instances
	// took 4.2 s.
	AckRetry = 400 * time.Millisecond
	// ReferenceHold is how long an address counts as referred to after the last
	// acknowledgement that listed it. It exceeds two AckIntervals, so that a pin
	// that moves between instances is not missed.
	ReferenceHold = 30 * time.Second
	// ReadersPerZone is how many instances of a zone read the store.
	ReadersPerZone = 2
)

// Config configures a Node.
type Config struct {
	Self   instance.Ref
	Policy bundle.Policy
}

// View describes the other instances, from the membership protocol and the platform's list.
type View struct {
	// Members are the live members of the node's zone, including the node itself.
	Members []instance.Ref
	// Leader is the zone's leader; the zero Ref if unknown.
	Leader instance.Ref
	// NotGone are the instances of the node's zone that may still route traffic: those
	// that have not left gracefully and that the platform's list does not show as gone.
	NotGone []instance.Ref
	// Lapsed are former members that may still send requests by an old table, even
	// if the platform's list shows them as gone. Releasing an address needs their
	// acknowledgement; bringing a revision into force does not.
	Lapsed []instance.Ref
	// Remote maps each other zone to its live instances.
	Remote map[string][]instance.Ref
}

// LocalState is the state of the instance that the node runs on.
type LocalState struct {
	// Table is the bundle revision of the installed zone table.
	Table zone.Revision
	// Uses are the address uses, in any order, that the installed table or any pin refers to.
	Uses []bundle.AddressUse
}

// heldBundle is a bundle with its manifest and parts.
type heldBundle struct {
	raw      []byte
	manifest *bundle.Manifest
	digest   bundle.Digest
	bundle   *bundle.Bundle
	parts    map[bundle.Digest][]byte
	uses     []bundle.AddressUse
}

// Node is the rollout core of one instance. It is not safe for concurrent use.
type Node struct {
	cfg   Config
	rng   *rand.Rand
	view  View
	local LocalState
	out   []Action

	now            time.Duration // time of the last event
	started        time.Duration
	running        bool
	peerAnswered   bool // a peer has sent a digest since the start
	held           *heldBundle
	previousParts  map[bundle.Digest]bool // parts of the bundle held before
	previousDigest bundle.Digest
	withheld       []bundle.AddressUse
	extraUses      []bundle.AddressUse // uses of the table and pins that the held bundle does not have
	fetch          *fetch
	// abandoned is the last abandoned fetch; a new fetch of the same bundle reuses its parts.
	abandoned *fetch
	// avoid is a bundle that no source could deliver; it is not fetched before avoidUntil.
	avoid      Digest
	avoidUntil time.Duration
	// assembler caches the decoded leaves of the held bundle.
	assembler bundle.Assembler

	nextDigest time.Duration
	nextAck    time.Duration
	ackDelay   time.Duration
	lastAck    Ack
	ackedTo    instance.Ref

	reader readerState
	leader leaderState
}

// New returns a node that holds no bundle.
func New(cfg Config, rng *rand.Rand) *Node {
	return &Node{cfg: cfg, rng: rng, reader: readerState{pending: make(map[uint64]pendingCall)}}
}

// Bundle returns the held bundle, or nil.
func (n *Node) Bundle() *bundle.Bundle {
	if n.held == nil {
		return nil
	}
	return n.held.bundle
}

// Held returns the revision of the held bundle; zero if none.
func (n *Node) Held() zone.Revision {
	if n.held == nil {
		return zone.Revision{}
	}
	return n.held.bundle.Revision
}

// Withheld returns the address uses of the held bundle that the zone's table must not
// contain yet. Bundle and Withheld equal the fields of the last Adopt.
func (n *Node) Withheld() []bundle.AddressUse { return n.withheld }

// Tick runs the timers. It should be called about every 200 ms.
func (n *Node) Tick(now time.Duration) []Action {
	n.advance(now)
	if now >= n.nextDigest {
		n.nextDigest = now + DigestInterval
		n.gossip(now)
	}
	n.tickFetch(now)
	n.tickReader(now)
	n.acknowledge(now)
	n.tickLeader(now)
	return n.takeActions()
}

func (n *Node) advance(now time.Duration) {
	n.now = now
	if !n.running {
		n.running, n.started = true, now
		// A random phase spreads the messages of all instances over the interval.
		n.nextDigest = now + time.Duration(n.rng.Int63n(int64(DigestInterval)))
	}
}

// SetView replaces the view of the other instances.
func (n *Node) SetView(now time.Duration, v View) []Action {
	n.advance(now)
	first := len(n.view.Members) == 0
	n.view = v
	n.setRoles(now)
	n.updateWithheld()
	if first && n.held == nil {
		n.push()
	}
	n.acknowledge(now)
	return n.takeActions()
}

// SetLocal replaces the local state.
func (n *Node) SetLocal(now time.Duration, l LocalState) []Action {
	n.advance(now)
	l.Uses = slices.Clone(l.Uses)
	slices.SortFunc(l.Uses, bundle.AddressUse.Compare)
	n.local = l
	n.extraUses = l.Uses
	if n.held != nil {
		n.extraUses = difference(l.Uses, n.held.uses)
	}
	n.updateWithheld()
	n.acknowledge(now)
	return n.takeActions()
}

// Receive handles a message from a peer; the transport must have authenticated from.
func (n *Node) Receive(now time.Duration, from instance.Ref, m Message) []Action {
	n.advance(now)
	switch m := m.(type) {
	case Digest:
		n.onDigest(now, from, m)
	case Want:
		n.onWant(from, m)
	case Parts:
		n.onParts(now, from, m)
	case Ack:
		n.onAck(now, from, m)
	}
	return n.takeActions()
}

// StoreResult handles the outcome of a StoreCall. Results of abandoned calls are ignored.
func (n *Node) StoreResult(now time.Duration, r objectstore.Result) []Action {
	n.advance(now)
	n.onStoreResult(now, r)
	return n.takeActions()
}

func (n *Node) takeActions() []Action {
	out := n.out
	n.out = nil
	return out
}

func (n *Node) emit(a Action) { n.out = append(n.out, a) }

func (n *Node) send(to instance.Ref, m Message) { n.emit(Send{to, m}) }

func (n *Node) report(reason ReportReason, detail string) { n.emit(Report{reason, detail}) }

// readersOf returns the instances of a zone that read the store and relay to other zones.
func readersOf(name string, members []instance.Ref) []instance.Ref {
	sorted := slices.Clone(members)
	slices.SortFunc(sorted, instance.Ref.Compare)
	seeds := make([]uint64, len(sorted))
	for i, m := range sorted {
		seeds[i] = rendezvous.Seed(string(m.ID))
	}
	var readers []instance.Ref
	for _, i := range rendezvous.Top(seeds, rendezvous.Seed("reader/"+name), ReadersPerZone) {
		readers = append(readers, sorted[i])
	}
	return readers
}

func (n *Node) isReader() bool {
	return slices.ContainsFunc(readersOf(n.cfg.Self.Zone, n.view.Members), n.cfg.Self.Same)
}

// hasPeers reports whether another instance may hold a newer bundle than the store. A
// restarted instance without a table knows only the instances of other zones.
func (n *Node) hasPeers() bool { return len(n.view.Members) > 1 || len(n.remoteZones()) > 0 }

// peers returns up to count random other members of the zone.
func (n *Node) peers(count int) []instance.Ref {
	others := slices.DeleteFunc(slices.Clone(n.view.Members), n.cfg.Self.Same)
	n.rng.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return others[:min(count, len(others))]
}

// remoteZones returns the names of the other zones that have instances, sorted.
func (n *Node) remoteZones() []string {
	var zones []string
	for z, members := range n.view.Remote {
		if z != n.cfg.Self.Zone && len(members) > 0 {
			zones = append(zones, z)
		}
	}
	slices.SortFunc(zones, cmp.Compare)
	return zones
}
