package membership

import (
	"slices"

	"guavaloom.example/guavaloom/internal/instance"
	"guavaloom.example/guavaloom/internal/invariant"
	"guavaloom.example/guavaloom/internal/zone"
)

// maxStepsAtOnce bounds the work of one call in a zone of one instance, where
// every step is complete at once.
const maxStepsAtOnce = 64

// advance makes as many steps as are allowed now: at most one is in flight.
func (n *Node) advance() {
	for range maxStepsAtOnce {
		if n.lead != nil {
			n.checkAuthority() // the same event may have shown that a voter is gone
		}
		if n.lead == nil || !n.checkComplete() || n.lead == nil {
			return
		}
		s := n.plan()
		if s == nil {
			return
		}
		n.create(s)
	}
}

// checkComplete reports whether the next version may be made: the current one is
// held by a majority, and every other run that might hold a lease on the version
// before has acknowledged it or has lapsed.
func (n *Node) checkComplete() bool {
	if n.lead.complete {
		return true
	}
	holders := []instance.Ref{n.self}
	for _, m := range n.lead.members {
		if m.acked == n.version() {
			holders = append(holders, m.ref)
		}
	}
	expired := n.now >= n.lead.created+zone.Lease+margin
	if n.now < n.lead.notBefore || n.lead.inherited && !expired || !n.electorate().quorum(holders) {
		return false
	}
	waiting := slices.Concat(n.table.Roster, n.lead.removed)
	for _, r := range waiting {
		if m := n.member(r); !r.Same(n.self) && m.acked != n.version() && !expired && !n.hasLapsed(m) {
			return false
		}
	}
	for _, r := range waiting {
		if m := n.member(r); !r.Same(n.self) && m.acked != n.version() && !m.lapsed {
			m.lapsed = true
			if m.leaving { // its departure is known; only the answer was lost
				continue
			}
			n.event(EventMemberLapsed, r)
		}
	}
	n.completed()
	return true
}

// hasLapsed reports whether a run certainly holds no lease although the current
// version is younger than a lease. Behind relays the time of its last lease is not
// known, but a relay serves no suspect: a relay that does not know the suspicion
// yet got its own lease before, and grants nothing beyond that.
func (n *Node) hasLapsed(m *member) bool {
	if n.lead.relayed {
		return m.suspected && n.now >= m.suspectSince+zone.Lease+margin
	}
	return n.now >= m.issued+zone.Lease+margin
}

func (n *Node) completed() {
	n.lead.complete, n.lead.removed, n.lead.inherited = true, nil, false
	// A version of an earlier term can still be replaced by one that a minority
	// holds; it is committed with the first version of this term.
	if n.version().Seq > 1 && n.version().Term == n.lead.term {
		n.commit(n.version())
	}
	if len(n.lead.steps) > 0 {
		s := n.lead.steps[len(n.lead.steps)-1]
		for i := range s.Services {
			if c := &s.Services[i]; c.Change != NoChange || c.Full != nil {
				n.lead.since[c.ID] = n.now
			}
		}
		if s.Home != nil {
			n.lead.homesSince = n.now
		}
	}
	n.event(EventCommitted, n.self)
	if n.leaving && !n.inRoster(n.self) {
		n.resign()
	}
}

func (n *Node) resign() {
	for _, r := range n.table.Roster {
		n.send(r, Message{Resign: &Resign{Term: n.lead.term, Committed: n.committed}})
	}
	n.lead = nil
	n.finishLeaving()
}

// create makes and installs the next version and pushes it.
func (n *Node) create(s *Step) {
	s.From = n.version()
	s.To = zone.Version{Term: n.lead.term, Seq: s.From.Seq + 1}
	t, err := Apply(n.table, s)
	invariant.Check(err == nil, "membership.own_step", "step %s: %v", s.To, err)
	invariant.Check(n.now < n.authority(), "membership.authority", "step %s at %s", s.To, n.now)
	n.lead.unconfirmed, n.lead.complete = false, false
	n.lead.steps, n.lead.created = appendStep(n.lead.steps, s), n.now
	n.lead.relayed = n.lead.relayed || len(n.table.Roster) > relayThreshold || len(t.Roster) > relayThreshold
	if s.Remove != nil {
		n.lead.removed = []instance.Ref{*s.Remove}
	}
	if s.Add != nil {
		n.member(*s.Add).issued = n.now
	}
	n.install(t, s.rosterChange(n.change))
	n.event(EventStep, n.self)
	n.leaderSuspects()
	n.push()
}

// plan returns the next step, or nil when nothing is to be done. Home-set steps
// stand alone, since their argument needs services that do not change.
func (n *Node) plan() *Step {
	if n.lead.unconfirmed {
		return &Step{}
	}
	if n.leaving && len(n.table.Roster) == 1 && n.inRoster(n.self) {
		n.resign() // no one is left to take over
		return nil
	}
	for _, p := range []func() *Step{n.planRemoval, n.planHomes, n.planDeparture, n.planJoin, n.planServices} {
		if s := p(); s != nil {
			return s
		}
	}
	return nil
}

// planRemoval removes a run that is gone or has been silent for a lease.
func (n *Node) planRemoval() *Step {
	for _, r := range n.table.Roster {
		if r.Same(n.self) {
			continue
		}
		m := n.member(r)
		if !n.isGone(r) && n.now < m.heard+zone.Lease+margin {
			continue
		}
		s := &Step{Remove: &r}
		if isIn(n.table.Homes[0].Members, r) {
			s.Home = n.homeChange(&r)
			if len(n.table.Homes) == zone.MaxHomeSets {
				n.event(EventHomesForced, r) // pins known only under the oldest set take Base
			}
		}
		return s
	}
	return nil
}

// planHomes adds new members to the home set, takes leaving ones out, and drops
// the history when all transfers are done.
func (n *Node) planHomes() *Step {
	homes := n.table.Homes
	if len(homes) > 1 && n.transfersDone() {
		return &Step{Home: &HomeChange{Keep: 1}}
	}
	if len(homes) == zone.MaxHomeSets {
		return nil // waits for transfers
	}
	h := n.homeChange(nil)
	want := 0
	for p, r := range n.table.Roster {
		if !slices.Contains(h.Except, p) {
			want++
			if !isIn(homes[0].Members, r) {
				return &Step{Home: h}
			}
		}
	}
	if want > 0 && want != len(homes[0].Members) {
		return &Step{Home: h}
	}
	return nil
}

// homeChange returns the change to a home set of all members of the roster that
// are not leaving; removed is the run that the same step takes out of the roster.
func (n *Node) homeChange(removed *instance.Ref) *HomeChange {
	// The number must differ from that of a set that another leader announced and
	// that was not committed, or its transfers would count for this one.
	h := &HomeChange{Number: uint32(n.version().Seq + 1), Keep: min(len(n.table.Homes)+1, zone.MaxHomeSets)}
	p := 0
	for _, r := range n.table.Roster {
		if removed != nil && r.Same(*removed) {
			continue
		}
		if n.isLeaving(r) {
			h.Except = append(h.Except, p)
		}
		p++
	}
	if len(h.Except) == p {
		h.Except = nil // someone has to be the home
	}
	return h
}

func (n *Node) isLeaving(r instance.Ref) bool {
	if r.Same(n.self) {
		return n.leaving
	}
	return n.member(r).leaving
}

func (n *Node) transfersDone() bool {
	number := n.table.Homes[0].Number
	for _, r := range n.table.Roster {
		if n.member(r).homesDone < number {
			return false
		}
	}
	return true
}

// planDeparture takes a leaving member out of the roster once it holds no pins.
func (n *Node) planDeparture() *Step {
	if len(n.table.Homes) > 1 {
		return nil
	}
	for _, r := range n.table.Roster {
		if n.isLeaving(r) && !isIn(n.table.Homes[0].Members, r) {
			return &Step{Remove: &r}
		}
	}
	return nil
}

// planJoin adds one run that already holds the table to the roster. The former
// run of the same instance has to be out first.
func (n *Node) planJoin() *Step {
	if !n.inRoster(n.self) && !n.leaving {
		return &Step{Add: &n.self} // elected by its name, by the holders of a first table
	}
	var joins *instance.Ref
	for _, m := range n.lead.members {
		// A run that holds a table of this term catches up by steps. Without its
		// promise a small zone's leader would lose authority with the step.
		if m.acked.Term != n.lead.term || m.leaving || n.now >= m.until || n.now >= m.heard+suspectAfter || n.isGone(m.ref) ||
			slices.ContainsFunc(n.table.Roster, func(r instance.Ref) bool { return r.ID == m.ref.ID }) {
			continue
		}
		if joins == nil || m.ref.Compare(*joins) < 0 {
			joins = &m.ref
		}
	}
	if joins == nil {
		return nil
	}
	return &Step{Add: joins}
}
