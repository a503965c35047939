package steering

import (
	"time"

	"guavaloom.example/guavaloom/internal/zone"
)

// Stats counts events of a shard or of all shards.
type Stats struct {
	Pins      int    // pins and copies held now
	Evicted   uint64 // pins removed at the limit
	Expired   uint64 // pins removed after the idle timeout
	Refused   uint64 // pins that found no room
	Conflicts uint64 // two accepted pins of one flow met
	// WithoutBackup counts pins decided without the second, because it was suspected.
	WithoutBackup uint64
	// TransferredPins counts pins whose transfer was acknowledged.
	TransferredPins uint64
}

func (s *Stats) add(o Stats) {
	s.Pins += o.Pins
	s.Evicted += o.Evicted
	s.Expired += o.Expired
	s.Refused += o.Refused
	s.Conflicts += o.Conflicts
	s.WithoutBackup += o.WithoutBackup
	s.TransferredPins += o.TransferredPins
}

// Shard holds the pins of a part of the flows. It is used by one goroutine at a time.
type Shard struct {
	pins  pinTable
	stats Stats
	// unpinned is the last time at which an open flow of Base's choice was
	// forwarded without a pin for lack of room, by service handle.
	unpinned     map[uint32]coarseTime
	expireCursor uint32 // next position that expiry looks at
	transfer     transfer
}

// NewShard returns a shard that holds at most limit pins.
func NewShard(limit int) *Shard {
	return &Shard{pins: newPinTable(limit), unpinned: map[uint32]coarseTime{}}
}

// add returns a new pin, evicting another one if it has to, or nil.
func (sh *Shard) add(v *View, k pinKey, t zone.TargetIndex, now coarseTime) *pin {
	p := sh.pins.add(k)
	if p == nil && sh.pins.evict(v.evictable) {
		sh.stats.Evicted++
		p = sh.pins.add(k)
	}
	if p == nil {
		sh.stats.Refused++
		return nil
	}
	p.target, p.last = t, now
	return p
}

// evictable reports whether the flow of a pin goes to the same target without it.
// For TCP a later packet takes Base's choice, which changes only by a settle one
// idle timeout after a move, so that Base and Current have to agree with the
// pin. A UDP packet takes Current's choice; during prepare its pin is what
// keeps the flow through the coming move.
func (v *View) evictable(p *pin) bool {
	s := v.byHandle[p.key.service]
	if s == nil {
		return true
	}
	slot := s.slotOf(&p.key)
	if s.isTCP() {
		return s.base[slot] == p.target && s.current[slot] == p.target
	}
	return s.phase != zone.Prepare && s.current[slot] == p.target
}

func (s *serviceView) slotOf(k *pinKey) uint32 {
	return uint32(s.flowKey(k).Hash() % uint64(s.slots))
}

// copyIdleTimeouts is how many idle timeouts a pin is kept after its last packet
// here. A home that decided that packet keeps a pin for one; the second sees a packet of a live flow
// at least once in one idle timeout (see refreshDue), and the factor lets one
// of them be lost, also when the second becomes the home.
const copyIdleTimeouts = 2

// halfOpenTimeout is how long a pin of which only first packets were seen is kept.
// A target gives up a half-open connection after 63 s (five repetitions of
// SYN-ACK, the default of Linux). It keeps a flood of first packets from
// occupying the table for an idle timeout.
const halfOpenTimeout = 64 * time.Second

// maxScanPerTick bounds the entries that one tick looks at.
const maxScanPerTick = 4096

// expire removes pins of ended flows, removed services and settled slots.
func (sh *Shard) expire(v *View, self uint64, now coarseTime) {
	for range min(maxScanPerTick, sh.pins.allocated) {
		if sh.expireCursor >= sh.pins.allocated {
			sh.expireCursor = 0
		}
		p := sh.pins.at(sh.expireCursor)
		sh.expireCursor++
		if !p.used {
			continue
		}
		s := v.byHandle[p.key.service]
		switch {
		case s == nil:
			sh.pins.remove(p.key)
		case p.flags&halfOpen != 0 && p.last+toCoarseTime(halfOpenTimeout) < now:
			sh.pins.remove(p.key)
			sh.stats.Expired++
		case p.last+s.idle < now && sh.expired(v, s, p, self, now):
			sh.pins.remove(p.key)
			sh.stats.Expired++
		}
	}
}

func (sh *Shard) expired(v *View, s *serviceView, p *pin, self uint64, now coarseTime) bool {
	if p.last+copyIdleTimeouts*s.idle < now {
		return true
	}
	home, _ := v.holders(s.flowKey(&p.key).Hash())
	return home != nil && home.tag == self && p.flags&exactIdle != 0
}

// removePinsTo removes the pins to a target whose index now names another target.
func (sh *Shard) removePinsTo(handle uint32, t zone.TargetIndex) {
	for i := range sh.pins.allocated {
		if p := sh.pins.at(i); p.used && p.key.service == handle && p.target == t {
			sh.pins.remove(p.key)
		}
	}
}
