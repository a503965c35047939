package membership

import (
	"slices"
	"time"

	"guavaloom.example/guavaloom/internal/instance"
	"guavaloom.example/guavaloom/internal/target"
	"guavaloom.example/guavaloom/internal/zone"
)

// maxReportAge is the oldest touched report that is sent. The leader dates a
// report by the echo in its renewal less this age.
const maxReportAge = zone.RenewInterval + zone.RenewInterval/2

// renewal is the state of the renewals of one member.
type renewal struct {
	sent     Stamp // of the newest renewal
	answered bool  // the newest renewal has been answered
	direct   time.Duration
}

// pendingReports holds what has to reach the leader; see Node.ReportTouched.
type pendingReports struct {
	touched   []zone.TouchedReport
	at        time.Duration // when touched was reported
	homesDone uint32
	payload   *Payload
}

// ReportTouched passes steering's reports to the leader with the next renewal.
// The caller repeats them about every 5 s for all flow services: a release needs
// reports of all members that were made after the service settled.
func (n *Node) ReportTouched(now time.Duration, r []zone.TouchedReport) []Action {
	n.begin(now)
	n.reports.touched, n.reports.at = slices.Clone(r), n.now
	if n.lead != nil {
		n.takeReport(n.self, &Report{Touched: r}, n.now)
		n.advance()
	}
	return n.take()
}

// TransfersDone tells the leader that this run has no more pins to transfer for
// the home set of the given number, nor for older ones.
func (n *Node) TransfersDone(now time.Duration, number uint32) []Action {
	n.begin(now)
	n.reports.homesDone = max(n.reports.homesDone, number)
	if n.lead != nil {
		n.takeReport(n.self, &Report{HomesDone: n.reports.homesDone}, n.now)
		n.advance()
	}
	return n.take()
}

// SetPayload passes content to the leader's health module with the next renewal.
// Content may be lost; the caller repeats what still holds.
func (n *Node) SetPayload(now time.Duration, p Payload) []Action {
	n.begin(now)
	if n.lead != nil {
		n.emit(Deliver{From: n.self, Payload: p})
	} else {
		n.reports.payload = &p
	}
	return n.take()
}

func (n *Node) takeReports() []Report {
	if n.now > n.reports.at+maxReportAge {
		n.reports.touched = nil
	}
	r := Report{Touched: n.wantedReports(), HomesDone: n.reports.homesDone, Payload: n.reports.payload}
	n.reports.touched, n.reports.payload = nil, nil
	if n.table != nil && len(n.table.Homes) == 1 {
		r.HomesDone = 0 // nothing is being transferred
	}
	out := n.relay.takeReports()
	if len(r.Touched) > 0 || r.HomesDone > 0 || r.Payload != nil {
		out = append(out, r)
	}
	return out
}

// wantedReports returns the reports that can lead to a step: those of stable
// services with touched slots or with entries that may be released.
func (n *Node) wantedReports() []zone.TouchedReport {
	return slices.DeleteFunc(n.reports.touched, func(r zone.TouchedReport) bool {
		var s *zone.ServiceTable
		if n.table != nil {
			s = n.table.Service(r.Service)
		}
		return s == nil || s.Phase != zone.Stable || r.Generation != s.Current.Number || s.Touched.Count() == 0 &&
			!slices.ContainsFunc(s.Targets, func(e zone.TargetEntry) bool { return e.State == target.Draining && !e.Removed })
	})
}

func (n *Node) memberTick() {
	if n.following && n.now >= n.followEnd {
		n.following = false
		n.event(EventLeaderLost, n.leader)
		n.poll.at, n.poll.first = n.now, -1
	}
	switch {
	case n.following && n.now >= n.renewAt:
		n.sendRenew()
	case !n.following && n.now >= n.poll.at:
		n.startPoll()
	}
	if n.following {
		n.relayTick()
	}
}

// follow makes r the leader that this run renews with for d, or longer when it
// grants something.
func (n *Node) follow(term uint64, r instance.Ref, d time.Duration) {
	changed := !n.following || !n.leader.Same(r) || term > n.leaderTerm
	if !n.leader.Same(r) || term > n.leaderTerm {
		n.echo, n.relay, n.lastGrant, n.echoAt = 0, relay{}, -zone.Lease, -zone.Lease
		n.renewal.direct = 0
	}
	n.leaderTerm, n.leader, n.following, n.followEnd = term, r, true, n.now+d
	n.attempt, n.poll.first = nil, -1
	if changed {
		n.event(EventFollowing, r)
	}
}

// promiseLength is how long a renewal binds the member to its leader.
func (n *Node) promiseLength() time.Duration {
	if n.table != nil && len(n.table.Roster) > relayThreshold {
		return promiseRelayed
	}
	return promiseSmall
}

// followLength is how long the leader is followed without a new stamp of it.
func (n *Node) followLength() time.Duration {
	if n.table != nil && len(n.table.Roster) > relayThreshold {
		return followRelayed
	}
	return zone.ElectionTimeout
}

// sendRenew renews with the relay or the leader. Only a member that has a fresh
// stamp of the leader makes a promise: renewals to a dead leader, or to a relay
// that has lost it, must not delay the election.
func (n *Node) sendRenew() {
	to := n.renewTarget()
	n.renewal.sent = max(stampOf(n.now), n.renewal.sent+1)
	n.renewal.answered = false
	n.renewAt = n.now + resendAfter
	r := &Renew{Sent: n.renewal.sent, Term: n.leaderTerm, Version: n.version(), Leaving: n.leaving}
	free := n.now >= n.promise.until || n.promise.to == runOf(n.leader)
	if n.echo > 0 && free && n.now < n.echoAt+zone.RenewInterval+resendAfter/2 {
		r.Echo, r.Promise = n.echo, millis(n.promiseLength())
		n.promise = promise{runOf(n.leader), n.now + n.promiseLength()}
		n.supportEnd = n.promise.until
	}
	if to.Same(n.leader) {
		r.Group = n.groupReport()
	}
	r.Reports = n.takeReports()
	n.send(to, Message{Renew: r})
}

func (n *Node) onGrant(from instance.Ref, g *Grant) {
	if n.lead != nil && g.Term > n.lead.term {
		n.stepDown()
	}
	if n.lead != nil || g.Term < n.leaderTerm || !n.acceptLeader(from, g) {
		return
	}
	n.lastGrant = n.now
	if g.Stamp > n.echo {
		n.echo, n.echoAt = g.Stamp, n.now
		n.followEnd = n.now + n.followLength()
	}
	before := n.version()
	n.installGrant(g)
	n.commit(g.Committed)
	if g.Version == n.version() && g.Stamp >= n.echo {
		n.suspects = n.refsAt(g.Suspects)
	}
	if g.Answer != 0 && g.Left > 0 && g.Version == n.version() {
		n.leaseUntil = max(n.leaseUntil, g.Answer.time()+time.Duration(g.Left)*time.Millisecond)
	}
	if g.Answer == n.renewal.sent && g.Answer != 0 {
		n.renewal.answered = true
		n.renewAt = max(g.Answer.time()+zone.RenewInterval, n.now)
		if g.Next > 0 {
			n.renewAt = n.now + time.Duration(min(g.Next, maxNext))*time.Millisecond
		}
	}
	n.afterGrant(g, before)
}

// afterGrant acknowledges a new version at once and forwards it to the group.
func (n *Node) afterGrant(g *Grant, before zone.Version) {
	if n.leaving && n.founded() && !n.inRoster(n.self) && g.Version == n.version() {
		n.sendRenew() // acknowledges the version without this run
		n.finishLeaving()
		return
	}
	pushed := g.Answer == 0 && len(g.Steps) > 0
	switch {
	case n.version() != before && n.isRelay():
		n.relayInstalled(g)
		n.renewAt = min(n.renewAt, n.now+groupWait) // or when the group has acknowledged
		n.relayAcknowledge()
	case n.version() != before:
		n.sendRenew()
	case pushed && n.version() == g.Version:
		n.relayInstalled(g) // the leader misses acknowledgements of the group
	case g.Answer == 0 && len(g.Steps) == 0 && n.isRelay():
		// The promises of the group must reach a new leader before those that came
		// with the votes end.
		n.renewAt = min(n.renewAt, n.now+groupWait)
	case g.Answer == 0 && (g.Full == nil || pushed):
		n.sendRenew() // a new leader announces itself, or a step before was lost
	case g.Version.Compare(n.version()) > 0:
		n.renewAt = n.now + groupWait
	}
}

// acceptLeader reports whether a grant comes from the followed leader or its
// relay, and follows a leader of a higher term. A leader of a higher term was
// elected by a majority whose promises had ended, so the old one has no authority.
func (n *Node) acceptLeader(from instance.Ref, g *Grant) bool {
	leader := n.leader
	if g.Leader != nil {
		leader = *g.Leader
	}
	if g.Term > n.leaderTerm && g.Leader == nil && !(n.following && from.Same(n.leader)) {
		return false
	}
	if leader.Same(n.self) {
		return false
	}
	if g.Term > n.leaderTerm || !n.following {
		if leader.ID == "" {
			return false
		}
		n.follow(g.Term, leader, zone.ElectionTimeout)
	}
	return true
}

func (n *Node) installGrant(g *Grant) {
	switch {
	case g.Full != nil && g.Full.Table != nil && g.Full.Table.Version.Compare(n.version()) > 0:
		n.install(g.Full.Table, g.Full.Change)
	case len(g.Steps) > 0:
		n.applySteps(g.Steps)
	}
}

// applySteps applies those steps that continue the held version.
func (n *Node) applySteps(steps []*Step) {
	t, c := n.table, n.change
	for _, s := range steps {
		if s == nil || t == nil || s.From != t.Version {
			continue
		}
		next, err := Apply(t, s)
		if err != nil {
			n.event(EventRejected, n.leader) // renewing without it brings the whole table
			break
		}
		t, c = next, s.rosterChange(c)
		n.relay.steps = appendStep(n.relay.steps, s)
	}
	if t != n.table {
		n.install(t, c)
	}
}

func (n *Node) refsAt(positions []int) []instance.Ref {
	var refs []instance.Ref
	for _, p := range positions {
		if p >= 0 && n.table != nil && p < len(n.table.Roster) {
			refs = append(refs, n.table.Roster[p])
		}
	}
	return refs
}

func isIn(refs []instance.Ref, r instance.Ref) bool { return slices.ContainsFunc(refs, r.Same) }
