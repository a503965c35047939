package baseline

import (
	"fmt"
	"net/netip"
	"time"

	"guavaloom.example/guavaloom/internal/instance"
	"guavaloom.example/guavaloom/internal/maglev"
	"guavaloom.example/guavaloom/internal/service"
	"guavaloom.example/guavaloom/internal/target"
	"guavaloom.example/guavaloom/internal/zone"
)

var address = netip.MustParseAddrPort("10.0.0.1:443")

// newTable returns the first table of a zone with one TCP service. The service
// lists more targets than its generation uses, so that some can join.
func newTable(instances, targets, listed int) *zone.Table {
	s := zone.ServiceTable{Slots: maglev.Size(listed), Service: service.Service{
		ID: "board", Address: address, Protocol: service.TCP, IdleTimeout: time.Hour}}
	for i := range listed {
		s.Targets = append(s.Targets, zone.TargetEntry{State: target.Active, Target: target.Target{
			ID: target.ID(fmt.Sprintf("target-%d", i)), Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(i)}), 80)}})
	}
	s.Base = generation(1, targets, nil)
	s.Current = s.Base
	s.Touched = zone.NewBitmap(s.Slots)
	t := &zone.Table{Zone: "z", Version: zone.Version{Term: 1, Seq: 1}, Services: []zone.ServiceTable{s}}
	for i := range instances {
		t.Roster = append(t.Roster, ref(i))
	}
	t.Homes = []zone.HomeSet{{Number: 1, Members: t.Roster}}
	return t
}

func ref(i int) instance.Ref {
	return instance.Ref{ID: instance.ID(fmt.Sprintf("instance-%d", i)), Incarnation: 1}
}

func generation(number uint32, targets int, drained map[int]bool) zone.Generation {
	g := zone.Generation{Number: number}
	for i := range targets {
		if !drained[i] {
			g.Weights = append(g.Weights, zone.Weight{Target: zone.TargetIndex(i), Percent: target.FullWeight})
		}
	}
	return g
}

// next returns the next version of a table, with a change.
func next(t *zone.Table, change func(*zone.Table, *zone.ServiceTable)) *zone.Table {
	n := *t
	n.Version.Seq++
	n.Services = append([]zone.ServiceTable(nil), t.Services...)
	change(&n, &n.Services[0])
	return &n
}

func touchAll(_ *zone.Table, s *zone.ServiceTable) {
	s.Touched = zone.NewBitmap(s.Slots)
	for i := range s.Slots {
		s.Touched.Set(i)
	}
}

func prepare(g zone.Generation) func(*zone.Table, *zone.ServiceTable) {
	return func(_ *zone.Table, s *zone.ServiceTable) {
		s.Phase, s.Next, s.Touched = zone.Prepare, g, s.Touched.Clone()
		base, current, after := maglev.ForGeneration(s, s.Base), maglev.ForGeneration(s, s.Current), maglev.ForGeneration(s, g)
		for i := range s.Slots {
			if base[i] != after[i] || current[i] != after[i] {
				s.Touched.Set(i)
			}
		}
	}
}

func move(_ *zone.Table, s *zone.ServiceTable) {
	s.Phase, s.Current, s.Next = zone.Move, s.Next, zone.Generation{}
}

func homes(members []instance.Ref) func(*zone.Table, *zone.ServiceTable) {
	return func(t *zone.Table, _ *zone.ServiceTable) {
		t.Homes = append([]zone.HomeSet{{Number: t.Homes[0].Number + 1, Members: members}}, t.Homes...)
	}
}

func without(refs []instance.Ref, r instance.Ref) (out []instance.Ref) {
	for _, o := range refs {
		if !o.Same(r) {
			out = append(out, o)
		}
	}
	return out
}
