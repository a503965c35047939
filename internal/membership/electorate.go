package membership

import (
	"slices"

	"guavaloom.example/guavaloom/internal/instance"
	"guavaloom.example/guavaloom/internal/zone"
)

// electorate is the quorum base: one set of voters, or two that must agree. For
// a founded table it is the roster's runs. Before the second version is committed
// it is the names of seeds and listed instances and, once there is a table, its
// roster: a majority of a first roster, which holds the founders only, need not be
// a majority of the names. A restarted run is in no roster and so has no vote
// until a step admits it.
//
// Runs that are gone stay in the base. All other runs together are a quorum too,
// but only with a majority of the names, which excludes another founding. Taking
// gone runs out of the base would let a removed run that returns find a majority,
// or half, of an old roster whose other members have been replaced.
type electorate struct {
	sets  []voters
	names voters
}

type voters struct {
	names map[instance.ID]bool
	runs  map[run]bool // true unless gone
	gone  int
}

func (n *Node) electorate() electorate {
	e := electorate{names: voters{names: n.founders()}}
	if !n.founded() {
		e.sets = append(e.sets, e.names)
	}
	if n.table == nil {
		return e
	}
	rosters := [][]instance.Ref{n.table.Roster}
	if c := n.change; c != nil {
		// A half of the former roster, which may be frozen, need not meet a
		// majority of the new one.
		rosters = append(rosters, applyRoster(n.table.Roster, c.Remove, c.Add))
	}
	for _, r := range rosters {
		if v := n.voters(r); v.gone < v.size() {
			e.sets = append(e.sets, v)
		}
	}
	return e
}

func (n *Node) voters(roster []instance.Ref) voters {
	v := voters{runs: make(map[run]bool, len(roster))}
	for _, r := range roster {
		gone := n.isGone(r)
		v.runs[runOf(r)] = !gone
		if gone {
			v.gone++
		}
	}
	return v
}

// founders returns the names that may found the zone. The node itself counts
// only if it is configured or listed, or if there is no other.
func (n *Node) founders() map[instance.ID]bool {
	names := make(map[instance.ID]bool, len(n.cfg.Seeds)+len(n.listed))
	for _, s := range n.cfg.Seeds {
		names[s.ID] = true
	}
	for _, r := range n.listed {
		names[r.ID] = true
	}
	for r := range n.gone {
		if seen, ok := n.heard[r.id]; !ok || seen.ref.Incarnation <= r.inc {
			delete(names, r.id) // ended for good, as far as the platform knows
		}
	}
	if len(names) == 0 {
		names[n.self.ID] = true
	}
	return names
}

// isGone reports whether a run has certainly ended: a later run of the same
// instance has been heard, or the platform confirms its end and nothing has been
// heard from it within a lease.
func (n *Node) isGone(r instance.Ref) bool {
	if r.ID == n.self.ID {
		return r.Incarnation < n.self.Incarnation
	}
	seen, ok := n.heard[r.ID]
	if ok && seen.ref.Incarnation > r.Incarnation {
		return true
	}
	if ok && seen.ref.Same(r) && n.now < seen.at+zone.Lease {
		return false
	}
	return n.gone[runOf(r)]
}

// has reports whether a run votes. A run that is gone does not, whatever it has
// promised before.
func (v voters) has(r instance.Ref) bool { return v.names[r.ID] || v.runs[runOf(r)] }

func (v voters) size() int { return len(v.names) + len(v.runs) }

// count returns how many voters are among the given runs, each name once.
func (v voters) count(refs []instance.Ref) int {
	seen := make(map[instance.ID]bool, len(refs))
	for _, r := range refs {
		if v.has(r) {
			seen[r.ID] = true
		}
	}
	return len(seen)
}

func (v voters) majority(refs []instance.Ref) bool { return 2*v.count(refs) > v.size() }

// unanimous reports whether all voters that are not gone are among the runs.
func (v voters) unanimous(refs []instance.Ref) bool {
	return v.count(refs) > 0 && v.count(refs) == v.size()-v.gone
}

// has reports whether a run votes in some part of the electorate.
func (e electorate) has(r instance.Ref) bool {
	return slices.ContainsFunc(e.sets, func(v voters) bool { return v.has(r) })
}

func (e electorate) quorum(refs []instance.Ref) bool {
	return !slices.ContainsFunc(e.sets, func(v voters) bool {
		return !v.majority(refs) && !(v.unanimous(refs) && e.names.majority(refs))
	})
}

func (e electorate) majority(refs []instance.Ref) bool {
	return !slices.ContainsFunc(e.sets, func(v voters) bool { return !v.majority(refs) })
}

func (e electorate) half(refs []instance.Ref) bool {
	return !slices.ContainsFunc(e.sets, func(v voters) bool { return 2*v.count(refs) < v.size() })
}

func (e electorate) all(refs []instance.Ref) bool {
	return !slices.ContainsFunc(e.sets, func(v voters) bool { return v.count(refs) < v.size() })
}

// reachedListed reports whether all instances that the platform lists are among
// the runs. Founding and an election without a majority need it: a listed instance
// that does not answer may belong to a zone that exists or that went on elsewhere.
func (n *Node) reachedListed(refs []instance.Ref) bool {
	return !slices.ContainsFunc(n.listed, func(l instance.Ref) bool {
		return !slices.ContainsFunc(refs, func(r instance.Ref) bool { return r.ID == l.ID })
	})
}

// peers returns everyone to ask when there is no leader: the roster, and the
// seeds and listed instances, which may know a newer zone. The references have no
// incarnation, since an instance may have been restarted unheard.
func (n *Node) peers() []instance.Ref {
	var refs []instance.Ref
	add := func(r instance.Ref) {
		if r.ID != n.self.ID && !slices.ContainsFunc(refs, func(o instance.Ref) bool { return o.ID == r.ID }) {
			if seen, ok := n.heard[r.ID]; ok {
				r = seen.ref
			}
			r.Incarnation = 0
			refs = append(refs, r)
		}
	}
	if n.table != nil {
		for _, r := range n.table.Roster {
			add(r)
		}
	}
	for _, r := range n.listed {
		add(r)
	}
	for _, s := range n.cfg.Seeds {
		add(instance.Ref{ID: s.ID, Zone: n.self.Zone, Control: s.Control})
	}
	return refs
}
