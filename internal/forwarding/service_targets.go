package forwarding

import (
	"cmp"
	"slices"

	"guavaloom.example/guavaloom/internal/overload"
)

// serviceTargets are the targets of one service by data centre, so that a placement examines
// the own data centre's targets first and skips whole data centres.
type serviceTargets struct {
	zones []*zoneTargets // ordered by name
	// admission decides on new flows under overload; reportedFull is its last reported state.
	admission    overload.Service
	reportedFull bool
}

type zoneTargets struct {
	zone    string
	targets []*targetLoad
	pacing  zonePacing
}

// zone returns the targets of a data centre, nil if there are none.
func (s *serviceTargets) zone(name string) *zoneTargets {
	if at, ok := s.find(name); ok {
		return s.zones[at]
	}
	return nil
}

func (s *serviceTargets) find(name string) (int, bool) {
	return slices.BinarySearchFunc(s.zones, name, func(z *zoneTargets, name string) int { return cmp.Compare(z.zone, name) })
}

func (s *serviceTargets) add(l *targetLoad) {
	at, ok := s.find(l.zone)
	if !ok {
		s.zones = slices.Insert(s.zones, at, &zoneTargets{zone: l.zone})
	}
	s.zones[at].targets = append(s.zones[at].targets, l)
}

func (s *serviceTargets) remove(l *targetLoad) {
	at, ok := s.find(l.zone)
	if !ok {
		return
	}
	z := s.zones[at]
	z.targets = slices.DeleteFunc(z.targets, func(o *targetLoad) bool { return o == l })
	if len(z.targets) == 0 {
		s.zones = slices.Delete(s.zones, at, at+1)
	}
}

// size returns the number of targets in all data centres.
func (s *serviceTargets) size() int {
	n := 0
	for _, z := range s.zones {
		n += len(z.targets)
	}
	return n
}
