package membership

import (
	"math"
	"slices"
	"time"

	"guavaloom.example/guavaloom/internal/instance"
	"guavaloom.example/guavaloom/internal/zone"
)

// relay is what a member keeps while it renews for its group.
type relay struct {
	members  map[run]*served
	steps    []*Step // the newest, up to the version held
	reports  []Report
	ackedAll bool // the group's acknowledgement of this version has been sent
}

type served struct {
	version zone.Version
	heard   time.Duration
	until   Stamp // end of its promise, as a stamp of the leader
	leaving bool
}

// groupSize returns the number of members of a renewal group, about the square
// root of the roster, so that leader and relays serve equally many.
func groupSize(roster int) int {
	return min(int(math.Ceil(math.Sqrt(float64(roster)))), 64)
}

// group returns the bounds of the group of a roster position; it is empty in
// rosters that renew directly.
func group(t *zone.Table, position int) (first, end int) {
	n := len(t.Roster)
	if n <= relayThreshold || position < 0 {
		return 0, 0
	}
	g := groupSize(n)
	first = position / g * g
	return first, min(first+g, n)
}

// keptSteps is how many steps a run can lag before it needs the whole table, which
// is tens of kilobytes in a large zone.
const keptSteps = 32

// maxNext is the longest time to a member's next renewal, in milliseconds.
const maxNext = 1100

// relayFor returns the first member of a position's group that is not suspected
// and not the leader, or the leader when there is none or the roster is small.
func relayFor(t *zone.Table, position int, leader instance.Ref, suspects []instance.Ref) instance.Ref {
	first, end := group(t, position)
	relay := leader
	for p := end - 1; p >= first && end > first; p-- {
		if r := t.Roster[p]; !r.Same(leader) && !isIn(suspects, r) {
			relay = r
		}
	}
	return relay
}

// renewTarget returns whom to renew with. A member whose relay leaves renewals
// unanswered renews with the leader for some time.
func (n *Node) renewTarget() instance.Ref {
	if !n.inRoster(n.self) || n.now < n.renewal.direct {
		return n.leader
	}
	r := relayFor(n.table, n.position(n.self), n.leader, n.suspects)
	if r.Same(n.self) {
		return n.leader
	}
	if !r.Same(n.leader) && (n.lastGrant < 0 || n.now >= n.lastGrant+zone.RenewInterval+2*resendAfter) {
		n.renewal.direct = n.now + zone.Lease
		return n.leader
	}
	return r
}

// isRelay reports whether this run renews for others of its group.
func (n *Node) isRelay() bool {
	p := n.position(n.self)
	if p < 0 || !n.following {
		return false
	}
	return n.table != nil && len(n.table.Roster) > relayThreshold && relayFor(n.table, p, n.leader, n.suspects).Same(n.self)
}

// relayRenew answers a renewal of a member of the group within the own lease.
// Like the leader, a relay grants no lease to a member that does not hold its
// version: one lease after a version was made, no member without it is leased.
func (n *Node) relayRenew(from instance.Ref, r *Renew) {
	if !n.isRelay() || n.now >= n.echoAt+zone.ElectionTimeout {
		return // the member falls back to the leader
	}
	p := n.position(from)
	first, end := group(n.table, n.position(n.self))
	if p < first || p >= end || isIn(n.suspects, from) {
		return
	}
	if n.relay.members == nil {
		n.relay.members = make(map[run]*served)
	}
	s := n.relay.members[runOf(from)]
	if s == nil {
		s = &served{}
		n.relay.members[runOf(from)] = s
	}
	s.version, s.heard, s.leaving = r.Version, n.now, r.Leaving
	if r.Term == n.leaderTerm && r.Echo > 0 {
		s.until = max(s.until, r.Echo+Stamp(r.Promise))
	}
	for _, rep := range r.Reports {
		n.relay.add(1<<(p-first), r.Echo, &rep)
	}
	g := n.relayGrant(r.Term)
	g.Answer, g.Next = r.Sent, n.nextFor()
	if r.Version == n.version() && n.now < n.leaseUntil && r.Term == n.leaderTerm {
		g.Left = millis(n.leaseUntil - n.now)
	} else {
		n.attach(g, r.Version)
	}
	n.send(from, Message{Grant: g})
	n.relayAcknowledge()
}

// nextFor places a member's renewal in the middle between two of the relay's.
// Near the relay's own, small delays would let stamps age by one interval more.
func (n *Node) nextFor() int64 {
	next := millis(n.renewAt+zone.RenewInterval/2-n.now) % millis(zone.RenewInterval)
	if next < maxNext-millis(zone.RenewInterval) {
		next += millis(zone.RenewInterval)
	}
	return next
}

func (n *Node) relayGrant(term uint64) *Grant {
	g := &Grant{Term: n.leaderTerm, Stamp: n.echo, Version: n.version(), Committed: n.committed}
	for _, s := range n.suspects {
		if p := n.position(s); p >= 0 {
			g.Suspects = append(g.Suspects, p)
		}
	}
	if term != n.leaderTerm {
		leader := n.leader
		g.Leader = &leader
	}
	return g
}

// attach adds the step or the table that brings a holder of version v up to date.
func (n *Node) attach(g *Grant, v zone.Version) {
	if n.table == nil || v.Compare(n.version()) >= 0 {
		return
	}
	steps := n.relay.steps
	if n.lead != nil {
		steps = n.lead.steps
	}
	at := slices.IndexFunc(steps, func(s *Step) bool { return s.From == v })
	if at >= 0 && steps[len(steps)-1].To == n.version() {
		g.Steps = steps[at:len(steps):len(steps)]
		return
	}
	g.Full = n.snapshot()
}

// appendStep keeps the newest steps, for runs that have missed some or are joining.
func appendStep(steps []*Step, s *Step) []*Step {
	if len(steps) > 0 && steps[len(steps)-1].To != s.From {
		return []*Step{s}
	}
	if len(steps) == keptSteps {
		steps = slices.Clone(steps[1:])
	}
	return append(steps, s)
}

// relayInstalled passes a new version on to the members of the group without it.
func (n *Node) relayInstalled(g *Grant) {
	n.relay.ackedAll = false
	if !n.isRelay() {
		return
	}
	first, end := group(n.table, n.position(n.self))
	for _, m := range n.table.Roster[first:end] {
		if s := n.relay.members[runOf(m)]; m.Same(n.self) || m.Same(n.leader) || s != nil && s.version == n.version() {
			continue
		}
		push := n.relayGrant(0)
		push.Steps, push.Full = g.Steps, g.Full
		n.send(m, Message{Grant: push})
	}
}

// relayAcknowledge renews at once when the whole group holds the version, so
// that a step does not wait for the next regular renewal.
func (n *Node) relayAcknowledge() {
	if n.relay.ackedAll || n.committed == n.version() {
		return
	}
	first, end := group(n.table, n.position(n.self))
	for _, m := range n.table.Roster[first:end] {
		s := n.relay.members[runOf(m)]
		if !m.Same(n.self) && !m.Same(n.leader) && !isIn(n.suspects, m) && (s == nil || s.version != n.version()) {
			return
		}
	}
	n.relay.ackedAll = true
	n.sendRenew()
}

func (n *Node) relayTick() {
	for k, s := range n.relay.members {
		if n.now >= s.heard+zone.Lease {
			delete(n.relay.members, k)
		}
	}
}

// groupReport returns the acknowledgements and promises of the group, or nil for
// a run that serves none.
func (n *Node) groupReport() *GroupReport {
	if !n.isRelay() {
		return nil
	}
	first, end := group(n.table, n.position(n.self))
	rep := &GroupReport{First: first}
	for p, m := range n.table.Roster[first:end] {
		s := n.relay.members[runOf(m)]
		if s == nil || n.now >= s.heard+suspectAfter {
			continue
		}
		rep.Present |= 1 << p
		if s.version == n.version() {
			rep.Acked |= 1 << p
		}
		if s.leaving {
			rep.Leaving |= 1 << p
		}
		// A member whose echo lags must not shorten the promise of the others.
		if s.until < n.echo+Stamp(millis(n.promiseLength()-suspectAfter)) {
			continue
		}
		rep.Bound |= 1 << p
		if rep.Until == 0 || s.until < rep.Until {
			rep.Until = s.until
		}
	}
	return rep
}

// add merges a member's report into those of the group: unions of touched slots
// of the same generation, and equal numbers of home sets. Reports of 137 members
// one by one would exceed the leader's control budget.
func (r *relay) add(member uint64, echo Stamp, rep *Report) {
	for _, t := range rep.Touched {
		at := slices.IndexFunc(r.reports, func(o Report) bool {
			return len(o.Touched) == 1 && o.Touched[0].Service == t.Service && o.Touched[0].Generation == t.Generation
		})
		if at < 0 {
			r.reports = append(r.reports, Report{Members: member, Touched: []zone.TouchedReport{t}, Echo: echo})
			continue
		}
		o := &r.reports[at]
		o.Members, o.Echo = o.Members|member, min(o.Echo, echo)
		o.Touched = []zone.TouchedReport{{
			Service: t.Service, Generation: t.Generation, Slots: o.Touched[0].Slots.Or(t.Slots),
			Pinned: slices.Compact(slices.Sorted(slices.Values(slices.Concat(o.Touched[0].Pinned, t.Pinned)))),
		}}
	}
	if rep.HomesDone > 0 {
		at := slices.IndexFunc(r.reports, func(o Report) bool { return o.HomesDone == rep.HomesDone })
		if at < 0 {
			at = len(r.reports)
			r.reports = append(r.reports, Report{HomesDone: rep.HomesDone})
		}
		r.reports[at].Members |= member
	}
	if rep.Payload != nil {
		r.reports = append(r.reports, Report{Members: member, Payload: rep.Payload})
	}
}

func (r *relay) takeReports() []Report {
	out := r.reports
	r.reports = nil
	return out
}
