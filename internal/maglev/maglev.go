package maglev

import (
	"math/big"

	"github.com/cespare/xxhash/v2"

	"guavaloom.example/guavaloom/internal/zone"
)

const (
	// slotsPerTarget limits the difference between targets of equal weight to about 1 %.
	slotsPerTarget = 128
	// minSlots is the size of the smallest map. It must be a prime.
	minSlots = 251
)

// Size returns the number of slots for a service with n targets: a prime of
// about 128 per target, at least 251.
func Size(n int) uint32 {
	size := int64(n * slotsPerTarget)
	if size <= minSlots {
		return minSlots
	}
	for size |= 1; !big.NewInt(size).ProbablyPrime(0); size += 2 {
	}
	return uint32(size)
}

// Member is one target of a map.
type Member struct {
	Index zone.TargetIndex
	// Name seeds the target's slot preferences.
	Name string
	// Percent is the weight relative to other members. A member of weight 0 gets no slot.
	Percent uint16
}

// Build returns the target of each slot. Size must be a prime. All entries are
// zone.NoTarget when no member has weight.
func Build(members []Member, size uint32) []zone.TargetIndex {
	slots := make([]zone.TargetIndex, size)
	for i := range slots {
		slots[i] = zone.NoTarget
	}
	populate(slots, members)
	return slots
}

// cursor iterates over one member's permutation of the slots.
type cursor struct {
	member Member
	next   uint32
	skip   uint32
	credit uint32
}

func populate(slots []zone.TargetIndex, members []Member) {
	size := uint32(len(slots))
	cursors := make([]cursor, 0, len(members))
	var heaviest uint32
	for _, m := range members {
		if m.Percent == 0 {
			continue
		}
		h := xxhash.Sum64String(m.Name)
		cursors = append(cursors, cursor{
			member: m,
			next:   uint32(h % uint64(size)),
			skip:   uint32((h>>32)%uint64(size-1)) + 1,
		})
		heaviest = max(heaviest, uint32(m.Percent))
	}
	if len(cursors) == 0 {
		return
	}
	for left := size; ; {
		for i := range cursors {
			c := &cursors[i]
			c.credit += uint32(c.member.Percent)
			if c.credit < heaviest {
				continue
			}
			c.credit -= heaviest
			for slots[c.next] != zone.NoTarget {
				c.next = (c.next + c.skip) % size
			}
			slots[c.next] = c.member.Index
			if left--; left == 0 {
				return
			}
		}
	}
}

// ForGeneration builds the slot map of one generation of a service.
func ForGeneration(s *zone.ServiceTable, g zone.Generation) []zone.TargetIndex {
	members := make([]Member, len(g.Weights))
	for i, w := range g.Weights {
		members[i] = Member{Index: w.Target, Name: string(s.Targets[w.Target].Target.ID), Percent: w.Percent}
	}
	return Build(members, s.Slots)
}
