package membership

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"guavaloom.example/guavaloom/internal/instance"
	"guavaloom.example/guavaloom/internal/invariant"
	"guavaloom.example/guavaloom/internal/service"
	"guavaloom.example/guavaloom/internal/zone"
)

// strangersInterval is the time between two looks for a second zone.
const strangersInterval = 10 * time.Second

// leadership is what a run keeps while it is the leader.
type leadership struct {
	term uint64
	// created is when the current version was made, or when the term began. One
	// lease and a margin later, no member without the version holds a lease.
	created time.Duration
	steps   []*Step // of this term, up to the current version
	// unconfirmed is set until a version of this term has been made. The first
	// one changes nothing: a roster change by two leaders on the same base could
	// leave two majorities that do not overlap.
	unconfirmed bool
	complete    bool
	// inherited is set while the current version was made in an earlier term and
	// is not known to be committed: a run that it removed may still be leased.
	inherited  bool
	notBefore  time.Duration // no version is complete earlier
	pollAt     time.Duration
	pushAt     time.Duration
	relayed    bool           // the roster has been above the relay threshold in this term
	removed    []instance.Ref // runs that the current version removed
	members    map[run]*member
	since      map[service.ID]time.Duration // completion of the last step of a service
	homesSince time.Duration                // when the history of home sets was last changed
}

// member is what the leader knows about another run.
type member struct {
	ref    instance.Ref
	heard  time.Duration
	direct time.Duration // last renewal that did not come through a relay
	until  time.Duration // end of its promise on the leader's clock
	acked  zone.Version
	issued time.Duration // last lease granted directly
	lapsed bool          // has been reported as lapsed since its last acknowledgement
	// suspected tells that all grants since suspectSince name it as a suspect.
	suspected    bool
	suspectSince time.Duration
	leaving      bool
	doubted      bool // has not answered since before the term
	homesDone    uint32
	touched      map[service.ID]touchedAt
}

type touchedAt struct {
	report zone.TouchedReport
	at     time.Duration
}

func (n *Node) member(r instance.Ref) *member {
	m := n.lead.members[runOf(r)]
	if m == nil {
		m = &member{ref: r, heard: n.now, issued: n.now, touched: make(map[service.ID]touchedAt)}
		n.lead.members[runOf(r)] = m
	}
	return m
}

func (n *Node) becomeLeader(a *attempt) {
	invariant.Check(a.term > n.leaderTerm, "membership.leader_term", "term %d after %d", a.term, n.leaderTerm)
	n.lead = &leadership{
		term: a.term, created: n.now, unconfirmed: true, homesSince: n.now,
		members: make(map[run]*member), since: make(map[service.ID]time.Duration),
	}
	n.leaderTerm, n.leader, n.following = a.term, n.self, false
	n.promise, n.suspects, n.poll.first = promise{}, nil, -1
	if n.table == nil {
		n.install(n.firstTable(a), nil)
		if !a.complete {
			// A silent founder may be in an older zone that lost its majority by
			// the restart of the others; its leases end first.
			n.lead.notBefore = n.now + zone.Lease + margin
		}
	}
	n.lead.relayed = len(n.table.Roster) > relayThreshold
	n.lead.inherited = n.version().Seq > 1 && n.committed != n.version()
	n.takeReport(n.self, &Report{HomesDone: n.reports.homesDone}, n.now)
	for _, s := range n.table.Services {
		n.lead.since[s.Service.ID] = n.now
	}
	for _, v := range a.votes {
		if !v.Same(n.self) {
			n.member(v).until = a.sent.time() + votePromise
		}
	}
	n.event(EventElected, n.self)
	n.announce(a.votes)
	n.checkAuthority()
	n.advance()
}

func (n *Node) firstTable(a *attempt) *zone.Table {
	roster := slices.Clone(a.votes)
	slices.SortFunc(roster, instance.Ref.Compare)
	return &zone.Table{
		Zone: n.cfg.Zone, Version: zone.Version{Term: a.term, Seq: 1}, Roster: roster,
		Homes: []zone.HomeSet{{Number: 1, Members: roster}},
	}
}

// announce tells everyone about the new term. Those that answered neither the poll
// nor the vote count as suspects, or their groups would wait for a dead relay.
func (n *Node) announce(votes []instance.Ref) {
	for _, r := range n.table.Roster {
		_, polled := n.poll.replies[r.ID]
		n.member(r).doubted = !polled && !isIn(votes, r)
	}
	n.leaderSuspects()
	for _, r := range n.peers() {
		g := n.grant()
		g.Leader = &n.self
		if n.table.Version.Seq == 1 {
			g.Full = n.snapshot()
		}
		n.send(r, Message{Grant: g})
	}
}

// authority returns until when a majority has promised to support no one else.
// It must not be computed from another clock: promises count from stamps that
// this run made and the members returned.
func (n *Node) authority() time.Duration {
	const forever = time.Duration(1<<63 - 1)
	end := forever
	e := n.electorate()
	names := e.names.promised(n.promises(e.names, forever), len(e.names.names)/2+1)
	for _, v := range e.sets {
		p := n.promises(v, forever)
		until := v.promised(p, v.size()/2+1)
		if v.gone > 0 {
			until = max(until, min(names, v.promised(p, v.size()-v.gone)))
		}
		end = min(end, until)
	}
	return end
}

// promises returns the ends of the voters' promises; own is that of this run.
func (n *Node) promises(v voters, own time.Duration) map[instance.ID]time.Duration {
	ends := make(map[instance.ID]time.Duration, len(n.lead.members)+1)
	if v.has(n.self) {
		ends[n.self.ID] = own
	}
	for _, m := range n.lead.members {
		if v.has(m.ref) {
			ends[m.ref.ID] = max(ends[m.ref.ID], m.until)
		}
	}
	return ends
}

// promised returns until when the given number of voters keep their promises.
func (v voters) promised(ends map[instance.ID]time.Duration, count int) time.Duration {
	if count < 1 || count > len(ends) {
		return 0
	}
	return slices.SortedFunc(maps.Values(ends), func(a, b time.Duration) int { return cmp.Compare(b, a) })[count-1]
}

// checkAuthority ends the term when the authority has passed. Its own lease runs
// one lease beyond the authority, as a lease granted at that moment would.
func (n *Node) checkAuthority() {
	end := n.authority()
	if n.now >= end {
		n.stepDown()
		return
	}
	n.leaseUntil = max(n.leaseUntil, min(end, n.now+zone.Lease)+zone.Lease)
}

func (n *Node) stepDown() {
	n.event(EventSteppedDown, n.self)
	n.lead, n.leader = nil, instance.Ref{}
	n.supportEnd = n.now
	n.poll.at, n.poll.first = n.now+n.jitter(), -1
}

func (n *Node) leaderTick() {
	n.leaderSuspects()
	if n.now >= n.lead.pollAt {
		n.pollStrangers()
	}
	if !n.lead.complete && n.now >= n.lead.pushAt {
		n.push()
	}
	n.advance()
}

// pollStrangers asks the seeds and listed instances outside the roster for their
// leader, to notice a second zone of the same name.
func (n *Node) pollStrangers() {
	n.lead.pollAt = n.now + strangersInterval
	for _, p := range n.peers() {
		if !slices.ContainsFunc(n.table.Roster, func(r instance.Ref) bool { return r.ID == p.ID }) {
			n.send(p, Message{Poll: &Poll{Sent: stampOf(n.now), Version: n.version()}})
		}
	}
}

// yieldTo ends the term in favour of a zone of the same name with a higher one.
func (n *Node) yieldTo(r *PollReply) {
	if r.Leader == nil || !r.Founded || r.Leader.Same(n.self) || r.Version.Term <= n.lead.term || r.Term <= n.lead.term {
		return
	}
	n.stepDown()
	n.follow(n.leaderTerm, *r.Leader, hintFollow)
	n.sendRenew()
}

func (n *Node) leaderSuspects() {
	limit := suspectAfter
	if len(n.table.Roster) > relayThreshold {
		limit = suspectRelayedAfter
	}
	n.suspects = nil
	for _, r := range n.table.Roster {
		m := n.member(r)
		suspected := !r.Same(n.self) && (n.now >= m.heard+limit || m.doubted || n.isGone(r))
		if suspected && !m.suspected {
			m.suspectSince = n.now
		}
		if m.suspected = suspected; suspected {
			n.suspects = append(n.suspects, r)
		}
	}
}

func (n *Node) grant() *Grant {
	g := &Grant{Term: n.lead.term, Stamp: stampOf(n.now), Version: n.version(), Committed: n.committed}
	for _, s := range n.suspects {
		if p := n.position(s); p >= 0 {
			g.Suspects = append(g.Suspects, p)
		}
	}
	return g
}

func (n *Node) onRenew(from instance.Ref, r *Renew) {
	if n.lead == nil {
		n.relayRenew(from, r)
		return
	}
	m := n.member(from)
	m.heard, m.direct, m.leaving = n.now, n.now, r.Leaving
	m.doubted, m.suspected = false, false
	current := r.Term == n.lead.term && r.Version == n.version()
	if r.Term == n.lead.term && r.Echo > 0 && r.Echo <= stampOf(n.now) {
		m.until = max(m.until, r.Echo.time()+time.Duration(r.Promise)*time.Millisecond)
	}
	if current {
		m.acked, m.lapsed = r.Version, false
	}
	if r.Group != nil && r.Term == n.lead.term && n.samePositions(r.Version) {
		n.takeGroup(r)
	}
	for i := range r.Reports {
		n.takeRenewReport(from, r, &r.Reports[i])
	}
	n.answer(m, r, current)
	n.advance()
}

// answer grants a lease to a holder of the current version, and brings any other
// run up to date without one.
func (n *Node) answer(m *member, r *Renew, current bool) {
	g := n.grant()
	g.Answer = r.Sent
	if r.Term != n.lead.term {
		g.Leader = &n.self
	}
	if !current {
		n.attach(g, r.Version)
	} else if n.founded() && n.inRoster(m.ref) && n.now < n.authority() {
		g.Left = millis(zone.Lease)
		m.issued = n.now
	}
	n.send(m.ref, Message{Grant: g})
}

// takeGroup takes what a relay reports about its members.
func (n *Node) takeGroup(r *Renew) {
	g := r.Group
	if g.First < 0 {
		return
	}
	for p := range 64 {
		bit := uint64(1) << p
		if g.Present&bit == 0 || g.First+p >= len(n.table.Roster) {
			continue
		}
		m := n.member(n.table.Roster[g.First+p])
		m.heard, m.leaving = n.now, g.Leaving&bit != 0
		m.doubted, m.suspected = false, false
		if g.Acked&bit != 0 {
			m.acked = maxVersion(m.acked, r.Version)
			m.lapsed = m.lapsed && m.acked != n.version()
		}
		if g.Bound&bit != 0 && g.Until <= stampOf(n.now+promiseRelayed) {
			m.until = max(m.until, g.Until.time())
		}
	}
}

// samePositions reports whether roster positions of a version are those of the
// current one: members are only added at the end.
func (n *Node) samePositions(v zone.Version) bool {
	if v == n.version() {
		return true
	}
	at := slices.IndexFunc(n.lead.steps, func(s *Step) bool { return s.From == v })
	return at >= 0 && !slices.ContainsFunc(n.lead.steps[at:], func(s *Step) bool { return s.Remove != nil })
}

func (n *Node) takeRenewReport(from instance.Ref, r *Renew, rep *Report) {
	echo := rep.Echo
	if rep.Members == 0 {
		echo = r.Echo
	}
	at := time.Duration(-1)
	if r.Term == n.lead.term && echo > 0 {
		at = echo.time() - maxReportAge
	}
	if rep.Members == 0 {
		n.takeReport(from, rep, at)
		return
	}
	if r.Group == nil || r.Group.First < 0 || !n.samePositions(r.Version) {
		return
	}
	for p := range 64 {
		if rep.Members&(1<<p) != 0 && r.Group.First+p < len(n.table.Roster) {
			n.takeReport(n.table.Roster[r.Group.First+p], rep, at)
		}
	}
}

// takeReport takes a report that was made at or after a time; -1 is unknown.
func (n *Node) takeReport(from instance.Ref, rep *Report, at time.Duration) {
	m := n.member(from)
	m.homesDone = max(m.homesDone, rep.HomesDone)
	for _, t := range rep.Touched {
		if at >= m.touched[t.Service].at {
			m.touched[t.Service] = touchedAt{t, at}
		}
	}
	if rep.Payload != nil {
		n.emit(Deliver{From: from, Payload: *rep.Payload})
	}
}

// push sends the current version to those that have not acknowledged it, in
// large rosters through the relays.
func (n *Node) push() {
	n.lead.pushAt = n.now + resendAfter
	targets := make(map[run]instance.Ref)
	for p, r := range n.table.Roster {
		m := n.member(r)
		if r.Same(n.self) || m.acked == n.version() {
			continue
		}
		to := relayFor(n.table, p, n.self, n.suspects)
		if to.Same(n.self) || n.now < m.direct+suspectAfter {
			to = r
		}
		targets[runOf(to)] = to
	}
	for _, r := range n.lead.removed {
		if m := n.member(r); !m.lapsed && m.acked != n.version() {
			targets[runOf(r)] = r
		}
	}
	for _, r := range slices.SortedFunc(maps.Values(targets), instance.Ref.Compare) {
		g := n.grant()
		if s := n.lead.steps; len(s) > 0 {
			g.Steps = s[len(s)-1:]
		} else {
			g.Leader = &n.self // announces the term
		}
		n.send(r, Message{Grant: g})
	}
}
