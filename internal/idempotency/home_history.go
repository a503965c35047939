package idempotency

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"guavaloom.example/guavaloom/internal/instance"
	"guavaloom.example/guavaloom/internal/rendezvous"
	"guavaloom.example/guavaloom/internal/zone"
)

// knownSet is a home set that this instance has installed.
type knownSet struct {
	zone.HomeSet
	seeds []uint64
	// replacedAt is when this instance installed the next set; unused for the newest
	// set.
	replacedAt time.Duration
}

func newKnownSet(s zone.HomeSet, now time.Duration) knownSet {
	k := knownSet{HomeSet: s, replacedAt: now, seeds: make([]uint64, len(s.Members))}
	for i, m := range s.Members {
		k.seeds[i] = rendezvous.Seed(string(m.ID))
	}
	return k
}

func (s knownSet) home(k Key) (instance.Ref, bool) {
	first, _ := rendezvous.Top2(s.seeds, k.hash())
	if first < 0 {
		return instance.Ref{}, false
	}
	return s.Members[first], true
}

func (k Key) hash() uint64 {
	return xxhash.Sum64String(string(k.Service) + "\x00" + k.Value)
}

// ZoneOf returns the zone that holds a key, by rendezvous hashing over the service's
// zones, or "" if there are none.
func ZoneOf(k Key, zones []string) string {
	seeds := make([]uint64, len(zones))
	for i, z := range zones {
		seeds[i] = rendezvous.Seed(z)
	}
	first, _ := rendezvous.Top2(seeds, k.hash())
	if first < 0 {
		return ""
	}
	return zones[first]
}

// incarnationKey identifies one incarnation of an instance as a map key. An
// instance.Ref would not do: its addresses can differ between tables.
type incarnationKey struct {
	id          instance.ID
	incarnation instance.Incarnation
}

func incarnationOf(r instance.Ref) incarnationKey { return incarnationKey{r.ID, r.Incarnation} }

// homeHistory holds the recent home sets and what is known of former homes.
type homeHistory struct {
	self      instance.Ref
	retention time.Duration
	sets      []knownSet // newest first
	roster    []instance.Ref
	// handedOverSet holds, per incarnation, the number of the newest home set for
	// which it has transferred all its records.
	handedOverSet map[incarnationKey]uint32
	// lostUntil holds, per incarnation, until when its keys may have run without a
	// record at this instance.
	lostUntil map[incarnationKey]time.Duration
	// earlyHandovers holds handovers for home sets that this instance has not
	// installed yet.
	earlyHandovers []earlyHandover
	// allLostUntil is until when all keys count as lost, after the zone was rebuilt
	// or this instance missed home sets; -1 between MarkRebuilt and Install.
	allLostUntil time.Duration
}

type earlyHandover struct {
	from  instance.Ref
	set   uint32
	until time.Duration
}

// install adds the table's new home sets, and marks the keys of members that left the
// roster without a handover as lost.
func (h *homeHistory) install(now time.Duration, t *zone.Table) {
	var newest uint32
	if len(h.sets) > 0 {
		newest = h.sets[0].Number
		h.sets[0].replacedAt = now
	}
	var add []knownSet
	for _, s := range t.Homes {
		if len(h.sets) == 0 || s.Number > newest {
			add = append(add, newKnownSet(s, now))
		}
	}
	if n := len(t.Homes); n > 0 {
		// Keys may have run under home sets that this instance never installed: sets
		// dropped from the table while it was away, or before it joined (a full table
		// has no room for older sets).
		oldest := t.Homes[n-1].Number
		if newest > 0 && oldest > newest+1 || newest == 0 && n == zone.MaxHomeSets && oldest > 1 {
			h.allLostUntil = now + h.retention
		}
	}
	h.sets = append(add, h.sets...)
	for _, e := range h.earlyHandovers {
		if e.set <= h.newestNumber() {
			h.applyHandover(e)
		}
	}
	h.earlyHandovers = slices.DeleteFunc(h.earlyHandovers, func(e earlyHandover) bool { return e.set <= h.newestNumber() })
	before := h.roster
	h.roster = t.Roster
	for _, s := range h.sets {
		for _, m := range s.Members {
			_, noted := h.lostUntil[incarnationOf(m)]
			leaves := !noted || slices.ContainsFunc(before, m.Same)
			if leaves && !h.inRoster(m) && h.handedOverSet[incarnationOf(m)] <= s.Number {
				h.lostUntil[incarnationOf(m)] = now + h.retention
			}
		}
	}
	h.prune(now)
}

// prune removes sets whose records have expired at every instance. A member one
// version behind can still create records under an older set for up to zone.Lease.
func (h *homeHistory) prune(now time.Duration) {
	keep := h.retention + zone.Lease
	for len(h.sets) > 1 && now > h.sets[len(h.sets)-1].replacedAt+keep {
		h.sets = h.sets[:len(h.sets)-1]
	}
}

func (h *homeHistory) inRoster(m instance.Ref) bool {
	return slices.ContainsFunc(h.roster, m.Same)
}

func (h *homeHistory) newestNumber() uint32 {
	if len(h.sets) == 0 {
		return 0
	}
	return h.sets[0].Number
}

func (h *homeHistory) home(k Key) (instance.Ref, bool) {
	if len(h.sets) == 0 {
		return instance.Ref{}, false
	}
	return h.sets[0].home(k)
}

// formerHomes returns the former homes in the roster that have not handed over their
// records, and how long the key counts as lost because other former homes are gone.
func (h *homeHistory) formerHomes(now time.Duration, k Key) (ask []instance.Ref, lost time.Duration) {
	lost = max(0, h.allLostUntil-now)
	if len(h.sets) == 0 {
		return nil, lost
	}
	for _, s := range h.sets[1:] {
		m, ok := s.home(k)
		if !ok || m.Same(h.self) {
			continue
		}
		lost = max(lost, h.lostUntil[incarnationOf(m)]-now)
		if h.handedOverSet[incarnationOf(m)] > s.Number {
			continue
		}
		if h.inRoster(m) && !slices.ContainsFunc(ask, m.Same) {
			ask = append(ask, m)
		}
	}
	return ask, lost
}

// addHandover records that an incarnation has transferred all its records for this
// instance. Keys that the sender counts as lost stay lost here. A handover for a
// later home set does not cover keys that have another home in that set, so it
// takes effect once that set is installed.
func (h *homeHistory) addHandover(now time.Duration, from instance.Ref, set uint32, lost time.Duration) {
	e := earlyHandover{from: from, set: set, until: now + lost}
	if set > h.newestNumber() {
		h.earlyHandovers = append(h.earlyHandovers, e)
		return
	}
	h.applyHandover(e)
}

func (h *homeHistory) applyHandover(e earlyHandover) {
	r, from, set, until := incarnationOf(e.from), e.from, e.set, e.until
	h.handedOverSet[r] = max(h.handedOverSet[r], set)
	for _, s := range h.sets {
		// The incarnation was a home again in a later set and has left: this handover
		// does not cover that time.
		if s.Number >= set && slices.ContainsFunc(s.Members, from.Same) && !h.inRoster(from) {
			until = max(until, h.lostUntil[r])
		}
	}
	h.lostUntil[r] = until
}

// longestLoss returns the longest time for which any key still counts as lost.
func (h *homeHistory) longestLoss(now time.Duration) time.Duration {
	left := max(0, h.allLostUntil-now)
	for _, until := range h.lostUntil {
		left = max(left, until-now)
	}
	return left
}
