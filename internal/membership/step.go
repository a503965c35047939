package membership

import (
	"slices"

	"github.com/go-faster/errors"

	"guavaloom.example/guavaloom/internal/instance"
	"guavaloom.example/guavaloom/internal/maglev"
	"guavaloom.example/guavaloom/internal/service"
	"guavaloom.example/guavaloom/internal/zone"
)

// ErrStep is returned by Apply for a step that does not fit the table.
var ErrStep = errors.New("step does not fit the table")

// Step is the difference between two adjacent versions.
type Step struct {
	From     zone.Version   `cbor:"1,keyasint"`
	To       zone.Version   `cbor:"2,keyasint"`
	Bundle   *zone.Revision `cbor:"3,keyasint,omitempty"`
	Add      *instance.Ref  `cbor:"4,keyasint,omitempty"` // joins the roster
	Remove   *instance.Ref  `cbor:"5,keyasint,omitempty"` // leaves the roster
	Home     *HomeChange    `cbor:"6,keyasint,omitempty"`
	Services []ServiceStep  `cbor:"7,keyasint,omitempty"`
}

// HomeChange changes the history of home sets. A new set is the roster of the
// new version except for some positions.
type HomeChange struct {
	Number uint32 `cbor:"1,keyasint,omitempty"` // of the new set; 0 adds none
	Except []int  `cbor:"2,keyasint,omitempty"`
	Keep   int    `cbor:"3,keyasint"` // how many sets remain, the new one included
}

// ServiceStep changes one service.
type ServiceStep struct {
	ID      service.ID         `cbor:"1,keyasint"`
	Full    *zone.ServiceTable `cbor:"2,keyasint,omitempty"` // a new service
	Drop    bool               `cbor:"3,keyasint,omitempty"`
	Meta    *service.Service   `cbor:"4,keyasint,omitempty"`
	Entries []EntryChange      `cbor:"5,keyasint,omitempty"`
	Change  Change             `cbor:"6,keyasint,omitempty"`
	// Next is set for Prepare. The touched slots follow from the generations.
	Next *zone.Generation `cbor:"7,keyasint,omitempty"`
	// Touched is the set that stays for Release.
	Touched zone.Bitmap `cbor:"8,keyasint,omitempty"`
}

// EntryChange sets the target entry at an index; the index may be one past the end.
type EntryChange struct {
	Index zone.TargetIndex `cbor:"1,keyasint"`
	Entry zone.TargetEntry `cbor:"2,keyasint"`
}

// Change is the change of a service's phase.
type Change uint8

// Phase changes.
const (
	NoChange Change = iota
	Prepare
	Move
	// Settle sets Base to Current and keeps the touched slots. Releasing slots in
	// the same step would not be safe: a flow opened without a pin by a holder of
	// the new version would take the old Base at a home with the old version.
	Settle
	// Release shrinks the touched slots of a stable service.
	Release
)

// Apply returns the table after a step. The table itself is not changed.
func Apply(t *zone.Table, s *Step) (*zone.Table, error) {
	if t == nil || t.Version != s.From {
		return nil, errors.Wrap(ErrStep, "version")
	}
	n := *t
	n.Version = s.To
	if s.Bundle != nil {
		n.Bundle = *s.Bundle
	}
	n.Roster = applyRoster(t.Roster, s.Add, s.Remove)
	if s.Home != nil {
		if err := applyHome(&n, s.Home); err != nil {
			return nil, err
		}
	}
	n.Services = slices.Clone(t.Services)
	for i := range s.Services {
		if err := applyService(&n, &s.Services[i]); err != nil {
			return nil, err
		}
	}
	return &n, nil
}

func applyRoster(roster []instance.Ref, add, remove *instance.Ref) []instance.Ref {
	out := slices.Clone(roster)
	if remove != nil {
		out = slices.DeleteFunc(out, remove.Same)
	}
	if add != nil {
		out = append(out, *add)
	}
	return out
}

// rosterChange returns the change that a step makes to the roster, or the older one.
func (s *Step) rosterChange(older *RosterChange) *RosterChange {
	if s.Add == nil && s.Remove == nil {
		return older
	}
	return &RosterChange{At: s.To, Add: s.Add, Remove: s.Remove}
}

func applyHome(n *zone.Table, h *HomeChange) error {
	homes := slices.Clone(n.Homes)
	if h.Number != 0 {
		set := zone.HomeSet{Number: h.Number}
		for p, r := range n.Roster {
			if !slices.Contains(h.Except, p) {
				set.Members = append(set.Members, r)
			}
		}
		homes = slices.Insert(homes, 0, set)
	}
	if h.Keep < 1 || h.Keep > len(homes) {
		return errors.Wrap(ErrStep, "home history")
	}
	n.Homes = homes[:h.Keep]
	return nil
}

func applyService(n *zone.Table, c *ServiceStep) error {
	at, found := slices.BinarySearchFunc(n.Services, c.ID, func(s zone.ServiceTable, id service.ID) int {
		return cmpID(s.Service.ID, id)
	})
	switch {
	case c.Full != nil && !found:
		n.Services = slices.Insert(n.Services, at, *c.Full)
		return nil
	case c.Full != nil || !found:
		return errors.Wrapf(ErrStep, "service %q", c.ID)
	case c.Drop:
		n.Services = slices.Delete(n.Services, at, at+1)
		return nil
	}
	s := n.Services[at]
	if c.Meta != nil {
		s.Service = *c.Meta
	}
	s.Targets = slices.Clone(s.Targets)
	for _, e := range c.Entries {
		switch {
		case int(e.Index) < len(s.Targets):
			s.Targets[e.Index] = e.Entry
		case int(e.Index) == len(s.Targets):
			s.Targets = append(s.Targets, e.Entry)
		default:
			return errors.Wrapf(ErrStep, "target index of %q", c.ID)
		}
	}
	if err := applyChange(&s, c); err != nil {
		return err
	}
	n.Services[at] = s
	return nil
}

func applyChange(s *zone.ServiceTable, c *ServiceStep) error {
	switch c.Change {
	case NoChange:
	case Prepare:
		if c.Next == nil {
			return errors.Wrapf(ErrStep, "no next generation for %q", c.ID)
		}
		s.Phase, s.Next = zone.Prepare, *c.Next
		s.Touched = s.Touched.Or(moved(s))
	case Move:
		if s.Phase != zone.Prepare {
			return errors.Wrapf(ErrStep, "move of %q in phase %s", c.ID, s.Phase)
		}
		s.Phase, s.Current, s.Next = zone.Move, s.Next, zone.Generation{}
	case Settle:
		if s.Phase != zone.Move {
			return errors.Wrapf(ErrStep, "settle of %q in phase %s", c.ID, s.Phase)
		}
		s.Phase, s.Base = zone.Stable, s.Current
	case Release:
		if s.Phase != zone.Stable {
			return errors.Wrapf(ErrStep, "release of %q in phase %s", c.ID, s.Phase)
		}
		s.Touched = c.Touched
	}
	return nil
}

// moved returns the slots in which Next differs from Base or Current.
func moved(s *zone.ServiceTable) zone.Bitmap {
	base, current := maglev.ForGeneration(s, s.Base), maglev.ForGeneration(s, s.Current)
	next := maglev.ForGeneration(s, s.Next)
	touched := zone.NewBitmap(s.Slots)
	for i := range next {
		if next[i] != base[i] || next[i] != current[i] {
			touched.Set(uint32(i))
		}
	}
	return touched
}

func cmpID(a, b service.ID) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}
