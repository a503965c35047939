package membership

import (
	"reflect"
	"slices"
	"time"

	"guavaloom.example/guavaloom/internal/maglev"
	"guavaloom.example/guavaloom/internal/service"
	"guavaloom.example/guavaloom/internal/target"
	"guavaloom.example/guavaloom/internal/zone"
)

// releaseInterval limits how often a stable service releases less than half of
// its touched slots.
const releaseInterval = 30 * time.Second

// planServices advances all services that can be advanced in one step.
func (n *Node) planServices() *Step {
	d := &n.desired
	if d.Bundle == (zone.Revision{}) || d.Bundle.Compare(n.table.Bundle) < 0 {
		return nil // a leader with an older bundle must not take a newer one back
	}
	s := &Step{}
	if d.Bundle != n.table.Bundle {
		bundle := d.Bundle // the step outlives the proposal
		s.Bundle = &bundle
	}
	for i := range d.Services {
		if c := n.planService(&d.Services[i]); c != nil {
			s.Services = append(s.Services, *c)
		}
	}
	for i := range n.table.Services {
		id := n.table.Services[i].Service.ID
		if !slices.ContainsFunc(d.Services, func(w zone.DesiredService) bool { return w.Service.ID == id }) {
			s.Services = append(s.Services, ServiceStep{ID: id, Drop: true})
		}
	}
	if s.Bundle == nil && len(s.Services) == 0 {
		return nil
	}
	return s
}

func (n *Node) planService(d *zone.DesiredService) *ServiceStep {
	meta := d.Service
	meta.Targets = nil
	st := n.table.Service(meta.ID)
	if st == nil {
		return &ServiceStep{ID: meta.ID, Full: newService(meta, d)}
	}
	c := &ServiceStep{ID: meta.ID}
	if !reflect.DeepEqual(st.Service, meta) {
		c.Meta = &meta
	}
	entries, weights := mergeTargets(st, d, n.releasable(st))
	c.Entries = changedEntries(st.Targets, entries)
	if meta.Kind == service.Flow {
		n.planPhase(st, c, weights)
	}
	if c.Meta == nil && len(c.Entries) == 0 && c.Change == NoChange {
		return nil
	}
	return c
}

func newService(meta service.Service, d *zone.DesiredService) *zone.ServiceTable {
	st := &zone.ServiceTable{Service: meta}
	entries, weights := mergeTargets(st, d, nil)
	st.Targets = entries
	if meta.Kind == service.Flow {
		st.Slots = maglev.Size(len(d.Targets))
		st.Base = zone.Generation{Number: 1, Weights: weights}
		st.Current = st.Base
	}
	return st
}

// mergeTargets returns the entries and weights that the desired targets ask for.
// A target whose address changed is another target. Entries in release are
// marked removed; only such entries are reused.
func mergeTargets(st *zone.ServiceTable, d *zone.DesiredService, release []zone.TargetIndex) ([]zone.TargetEntry, []zone.Weight) {
	entries := slices.Clone(st.Targets)
	weights := make([]zone.Weight, 0, len(d.Targets))
	wanted := make([]bool, len(entries))
	for _, w := range d.Targets {
		at := slices.IndexFunc(entries, func(e zone.TargetEntry) bool {
			return !e.Removed && e.Target.ID == w.Target.ID && e.Target.Addr == w.Target.Addr
		})
		if at < 0 {
			at = slices.IndexFunc(entries, func(e zone.TargetEntry) bool { return e.Removed })
		}
		if at < 0 {
			entries, wanted = append(entries, zone.TargetEntry{}), append(wanted, false)
			at = len(entries) - 1
		}
		entries[at] = zone.TargetEntry{Target: w.Target, State: w.State}
		wanted[at] = true
		if w.State == target.Active && w.Percent > 0 {
			weights = append(weights, zone.Weight{Target: zone.TargetIndex(at), Percent: w.Percent})
		}
	}
	for i := range entries {
		if wanted[i] || entries[i].Removed {
			continue
		}
		entries[i].State = target.Draining
		entries[i].Removed = slices.Contains(release, zone.TargetIndex(i))
	}
	slices.SortFunc(weights, func(a, b zone.Weight) int { return int(a.Target) - int(b.Target) })
	return entries, weights
}

func changedEntries(old, entries []zone.TargetEntry) []EntryChange {
	var out []EntryChange
	for i, e := range entries {
		if i >= len(old) || old[i] != e {
			out = append(out, EntryChange{zone.TargetIndex(i), e})
		}
	}
	return out
}

// planPhase sets the change of phase that is due.
func (n *Node) planPhase(st *zone.ServiceTable, c *ServiceStep, weights []zone.Weight) {
	id := st.Service.ID
	waited := n.now - n.lead.since[id]
	if st.Phase == zone.Prepare {
		if waited >= prepareTime(st) {
			c.Change = Move
		}
		return
	}
	if !slices.Equal(weights, st.Current.Weights) {
		next := zone.Generation{Number: uint32(n.version().Seq + 1), Weights: weights}
		c.Change, c.Next = Prepare, &next
		return
	}
	if st.Phase == zone.Move {
		if waited >= st.Service.IdleTimeout {
			c.Change = Settle
		}
		return
	}
	n.planRelease(st, c, waited)
}

// prepareTime returns how long a service stays in prepare. A UDP flow has to be
// pinned by one of its packets first. A TCP caller may repeat a SYN that went to
// the settled choice; the repetition has to meet the same choice and leave a pin.
// An ejected target answers no SYN, so a change that only takes out ejected
// targets does not wait: a wait would delay their new callers further.
func prepareTime(st *zone.ServiceTable) time.Duration {
	if st.Service.Protocol == service.UDP {
		return st.Service.QuietPeriod
	}
	for i, e := range st.Targets {
		before, after := percentOf(st.Current, zone.TargetIndex(i)), percentOf(st.Next, zone.TargetIndex(i))
		if after > before || after < before && e.State != target.Ejected {
			return synRepeat
		}
	}
	return 0
}

func percentOf(g zone.Generation, t zone.TargetIndex) uint16 {
	for _, w := range g.Weights {
		if w.Target == t {
			return w.Percent
		}
	}
	return 0
}

// planRelease releases touched slots of a stable service that hold no differing pin.
func (n *Node) planRelease(st *zone.ServiceTable, c *ServiceStep, waited time.Duration) {
	held := st.Touched.Count()
	if held == 0 {
		return
	}
	union, _, ok := n.pinned(st, n.lead.since[st.Service.ID])
	if !ok {
		return
	}
	union = intersect(union, st.Touched)
	if left := union.Count(); left <= held/2 || left < held && waited >= releaseInterval {
		c.Change, c.Touched = Release, union
	}
}

// pinned returns the union of the members' reports for the current generation,
// and ok when all members have reported at or after the given time. While pins
// move between homes the union may miss some, so it waits for the transfers.
func (n *Node) pinned(st *zone.ServiceTable, after time.Duration) (slots zone.Bitmap, targets []zone.TargetIndex, ok bool) {
	if len(n.table.Homes) > 1 {
		return nil, nil, false
	}
	after = max(after, n.lead.homesSince)
	for _, r := range n.table.Roster {
		t, found := n.member(r).touched[st.Service.ID]
		if !found || t.at < after || t.report.Generation != st.Current.Number {
			return nil, nil, false
		}
		slots = slots.Or(t.report.Slots)
		targets = append(targets, t.report.Pinned...)
	}
	return slots, targets, true
}

// releasable returns the entries that no generation and no pin refers to.
func (n *Node) releasable(st *zone.ServiceTable) []zone.TargetIndex {
	var pins []zone.TargetIndex
	if st.Service.Kind == service.Flow {
		_, targets, ok := n.pinned(st, n.lead.since[st.Service.ID])
		if !ok || st.Phase != zone.Stable {
			return nil
		}
		pins = targets
	}
	var free []zone.TargetIndex
	for i, e := range st.Targets {
		x := zone.TargetIndex(i)
		refers := func(w zone.Weight) bool { return w.Target == x }
		if !e.Removed && e.State == target.Draining && !slices.Contains(pins, x) &&
			!slices.ContainsFunc(st.Base.Weights, refers) && !slices.ContainsFunc(st.Current.Weights, refers) {
			free = append(free, x)
		}
	}
	return free
}

func intersect(a, b zone.Bitmap) zone.Bitmap {
	if len(a) > len(b) {
		a, b = b, a
	}
	out := a.Clone()
	for i := range out {
		out[i] &= b[i]
	}
	return out
}
