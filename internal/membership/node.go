package membership

import (
	"math/rand"
	"net/netip"
	"slices"
	"time"

	"guavaloom.example/guavaloom/internal/instance"
	"guavaloom.example/guavaloom/internal/zone"
)

const (
	// promiseSmall must outlast two renewals and end early enough that an election
	// finishes before the steering leases (6 s) of the old leader's members end.
	promiseSmall = 3 * time.Second
	// promiseRelayed also covers the up to 3.1 s by which echoes age behind a relay:
	// one interval each for the member to get the stamp, to return it, and for the
	// relay to forward it.
	promiseRelayed = 3600 * time.Millisecond
	// followRelayed replaces zone.ElectionTimeout behind relays, where a lost
	// renewal of the relay delays stamps by more.
	followRelayed = 3 * time.Second
	// votePromise is short, so that a split vote blocks the next attempt briefly.
	votePromise = time.Second
	// margin covers clock rate differences of up to 4 % over a lease and the
	// rounding of stamps.
	margin = 250 * time.Millisecond
	// resendAfter repeats an unanswered renewal, so that one lost packet does not
	// look like a lost leader.
	resendAfter = 300 * time.Millisecond
	// maxJitter is several ticks, or candidates that tick at the same moment would
	// split the votes again and again.
	maxJitter = 250 * time.Millisecond
	// hintFollow is how long a run renews with a leader that it knows from a peer.
	hintFollow = time.Second
	// groupWait is how long a relay waits for its group before it acknowledges.
	groupWait = 100 * time.Millisecond
	// pollInterval is the time between two polls of a run without a leader.
	pollInterval = time.Second
	// largePollInterval keeps polls of all 137 members below the control budget.
	largePollInterval = 3 * time.Second
	// foundingWait lets instances that start at the same time share one founding.
	foundingWait = time.Second
	// zoneMemory is how long a founded zone that has answered rules out a new
	// founding. Its members may steer for a lease after their last answer, and one
	// lost answer must not look like a zone that has ended.
	zoneMemory = zone.Lease + margin
	// suspectAfter is two missed renewals; relayed information is up to half a second older.
	suspectAfter        = 2500 * time.Millisecond
	suspectRelayedAfter = 3 * time.Second
	// synRepeat covers the first two repetitions of a SYN, after 1 s and 3 s (RFC 6298).
	synRepeat = 3 * time.Second
	// relayThreshold is the largest roster that renews with the leader directly.
	relayThreshold = 16
)

// Seed is a configured peer of the zone. The list must be the same at all
// instances of the zone and may name the instance itself.
type Seed struct {
	ID      instance.ID
	Control netip.AddrPort
}

// Config holds the settings of a Node.
type Config struct {
	Zone  string
	Seeds []Seed
}

// run identifies one run of an instance.
type run struct {
	id  instance.ID
	inc instance.Incarnation
}

func runOf(r instance.Ref) run { return run{r.ID, r.Incarnation} }

// Node is one instance's part in the zone protocol. It is not safe for concurrent use.
type Node struct {
	cfg  Config
	self instance.Ref
	rng  *rand.Rand
	now  time.Duration
	out  []Action

	table     *zone.Table
	admitted  bool          // the table's roster has this run
	change    *RosterChange // not known to be committed
	committed zone.Version
	// votedTerm is the highest term this run has voted in, leaderTerm the highest
	// in which it has followed or been a leader.
	votedTerm, leaderTerm uint64
	promise               promise
	leader                instance.Ref
	following             bool
	lastGrant             time.Duration
	followEnd             time.Duration // when the leader counts as lost without a grant
	supportEnd            time.Duration // when this run last supported someone
	echo                  Stamp         // newest stamp of the leader
	echoAt                time.Duration // when it arrived
	zoneSeen              time.Duration // when a member of a founded zone last answered a poll
	suspects              []instance.Ref
	leaseUntil            time.Duration
	frozenUntil           time.Duration
	frozen                bool
	leaving, left         bool
	renewAt               time.Duration
	renewal               renewal

	poll    poll
	attempt *attempt
	lead    *leadership
	relay   relay

	desired zone.Desired
	gone    map[run]bool
	listed  []instance.Ref
	heard   map[instance.ID]sighting
	reports pendingReports
}

// promise binds a run to one leader or candidate.
type promise struct {
	to    run
	until time.Duration
}

type sighting struct {
	ref instance.Ref
	at  time.Duration
}

// New returns a Node that starts without a table. The caller passes now from one
// monotonic clock and calls Tick about every 100 ms.
func New(cfg Config, self instance.Ref, rng *rand.Rand) *Node {
	return &Node{
		cfg: cfg, self: self, rng: rng,
		lastGrant: -zone.Lease, echoAt: -zone.Lease, zoneSeen: -zoneMemory,
		gone:  make(map[run]bool),
		heard: make(map[instance.ID]sighting),
		poll:  poll{first: -1},
	}
}

func (n *Node) emit(a ...Action) { n.out = append(n.out, a...) }

func (n *Node) send(to instance.Ref, m Message) { n.emit(Send{To: to, Message: m}) }

func (n *Node) take() []Action {
	out := n.out
	n.out = nil
	return out
}

func (n *Node) begin(now time.Duration) {
	n.now = now
	if n.lead != nil {
		n.checkAuthority()
	}
}

func (n *Node) event(k EventKind, subject instance.Ref) {
	n.emit(Event{Kind: k, Version: n.version(), Term: n.leaderTerm, Subject: subject})
}

// Tick does what the passage of time asks for.
func (n *Node) Tick(now time.Duration) []Action {
	n.begin(now)
	if n.left {
		return n.take()
	}
	if n.lead != nil {
		n.leaderTick()
	} else {
		n.memberTick()
	}
	n.noteFrozen()
	return n.take()
}

// Receive handles a message. The transport vouches for from, including its incarnation.
func (n *Node) Receive(now time.Duration, from instance.Ref, m Message) []Action {
	n.begin(now)
	if from.Zone != n.self.Zone || from.Same(n.self) || n.left || !n.sight(from) {
		return n.take()
	}
	switch {
	case m.Poll != nil:
		n.onPoll(from, m.Poll)
	case m.PollReply != nil:
		n.onPollReply(from, m.PollReply)
	case m.Vote != nil:
		n.onVote(from, m.Vote)
	case m.VoteReply != nil:
		n.onVoteReply(from, m.VoteReply)
	case m.Renew != nil:
		n.onRenew(from, m.Renew)
	case m.Grant != nil:
		n.onGrant(from, m.Grant)
	case m.Resign != nil:
		n.onResign(from, m.Resign)
	}
	return n.take()
}

// sight records the newest run of an instance and reports whether from is it.
func (n *Node) sight(from instance.Ref) bool {
	last, ok := n.heard[from.ID]
	if ok && last.ref.Incarnation > from.Incarnation {
		return false
	}
	n.heard[from.ID] = sighting{from, n.now}
	return true
}

// Propose sets what the zone should converge to. Every node is told, so that a
// new leader has it; Gone must list only runs whose end the platform has confirmed.
func (n *Node) Propose(now time.Duration, d zone.Desired) []Action {
	n.begin(now)
	n.desired = d
	n.gone = make(map[run]bool, len(d.Gone))
	for _, r := range d.Gone {
		n.gone[runOf(r)] = true
	}
	if n.lead != nil {
		n.advance()
	}
	return n.take()
}

// SetListed gives the live instances of the zone as the platform lists them. They
// count as founders beside the seeds, and a founding waits for all of them.
func (n *Node) SetListed(refs []instance.Ref) { n.listed = slices.Clone(refs) }

// Leave starts a graceful departure; EventLeft tells that the process may end.
func (n *Node) Leave(now time.Duration) []Action {
	n.begin(now)
	n.leaving = true
	if n.lead != nil {
		n.advance()
	} else if n.table == nil {
		n.finishLeaving()
	} else if n.following {
		n.sendRenew()
	}
	return n.take()
}

func (n *Node) finishLeaving() {
	n.left, n.following = true, false
	n.leaseUntil, n.frozenUntil = 0, 0
	n.event(EventLeft, n.self)
}

// Leased reports whether this run may steer packets at now.
func (n *Node) Leased(now time.Duration) bool {
	return n.admitted && n.committed.Seq >= 2 && (now < n.leaseUntil || now < n.frozenUntil)
}

// LeaseEnd returns the time at which the right to steer ends unless it is renewed;
// at or before now if there is none.
func (n *Node) LeaseEnd(now time.Duration) time.Duration {
	if !n.Leased(now) {
		return now
	}
	return max(n.leaseUntil, n.frozenUntil)
}

// Frozen reports whether the run steers without a leader, on the confirmation
// of half of the electors.
func (n *Node) Frozen(now time.Duration) bool {
	return n.lead == nil && !n.following && n.Leased(now) && now < n.frozenUntil
}

func (n *Node) noteFrozen() {
	if f := n.Frozen(n.now); f != n.frozen {
		n.frozen = f
		if f {
			n.event(EventFrozen, n.self)
		} else {
			n.event(EventThawed, n.self)
		}
	}
}

// Table returns the newest table held, or nil. It must not be changed.
func (n *Node) Table() *zone.Table { return n.table }

// Committed returns the newest version known to be acknowledged by all members.
func (n *Node) Committed() zone.Version { return n.committed }

// Suspects returns the members that have missed renewals, or without a leader
// those that have not answered the last poll.
func (n *Node) Suspects() []instance.Ref { return slices.Clone(n.suspects) }

// Leader returns the leader that this run follows or is.
func (n *Node) Leader() (instance.Ref, bool) {
	if n.lead != nil {
		return n.self, true
	}
	return n.leader, n.following
}

func (n *Node) version() zone.Version {
	if n.table == nil {
		return zone.Version{}
	}
	return n.table.Version
}

// founded reports whether a second version of the zone's table is known to be
// committed; a table before that gives no right to anything. A table whose whole
// roster is gone counts as not founded: the names found the zone again on it.
func (n *Node) founded() bool {
	return n.table != nil && n.committed.Seq >= 2 &&
		slices.ContainsFunc(n.table.Roster, func(r instance.Ref) bool { return !n.isGone(r) })
}

func (n *Node) inRoster(r instance.Ref) bool { return n.position(r) >= 0 }

func (n *Node) position(r instance.Ref) int {
	if n.table == nil {
		return -1
	}
	return slices.IndexFunc(n.table.Roster, r.Same)
}

// install adopts a table; c is the roster change that may not be committed.
func (n *Node) install(t *zone.Table, c *RosterChange) {
	n.table, n.change, n.admitted = t, c, isIn(t.Roster, n.self)
	n.commit(n.committed)
	n.emit(Install{t})
}

// commit notes that a version is committed, and with it all roster changes up to it.
func (n *Node) commit(v zone.Version) {
	n.committed = maxVersion(n.committed, v)
	if n.change != nil && n.committed.Compare(n.change.At) >= 0 {
		n.change = nil
	}
}

func (n *Node) snapshot() *Snapshot { return &Snapshot{Table: n.table, Change: n.change} }

func stampOf(d time.Duration) Stamp { return Stamp(d / time.Millisecond) }

func (s Stamp) time() time.Duration { return time.Duration(s) * time.Millisecond }

func millis(d time.Duration) int64 { return int64(d / time.Millisecond) }
