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
	Refused   uint64 // pins not created because the table was full
	Conflicts uint64 // accepted pins of one flow with different targets
	// WithoutBackup counts pins used without a copy because the backup was suspected.
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

// Shard holds the pins of a subset of the flows. It is not safe for concurrent use.
type Shard struct {
	pins  pinTable
	stats Stats
	// unpinned is the last time, by service handle, at which an open flow was
	// forwarded to Base's target without a pin because the pin table was full.
	unpinned     map[uint32]coarseTime
	expireCursor uint32 // next position that expiry examines
	transfer     transfer
}

// NewShard returns a shard that holds at most limit pins.
func NewShard(limit int) *Shard {
	return &Shard{pins: newPinTable(limit), unpinned: map[uint32]coarseTime{}}
}

// add returns a new pin, or nil if the table is full and no pin is evictable.
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

// evictable reports whether the flow of a pin keeps its target without it. A TCP
// packet after the first goes to Base's target, and settling replaces Base by
// Current one idle timeout after a move, so that the targets of both must be the
// pin's. A UDP packet goes to Current's target; during the prepare phase only the
// pin keeps the flow at its target through the coming move.
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

// copyIdleTimeouts is how many idle timeouts a pin is kept after the last packet
// that this instance handled. A home that handled the flow's newest packet keeps
// the pin for one. The backup receives a packet of an open flow at least once per
// idle timeout (see refreshDue); the factor tolerates the loss of one of them,
// also when the backup becomes the home.
const copyIdleTimeouts = 2

// halfOpenTimeout is how long a pin is kept for which only first packets were seen.
// A target gives up a half-open connection after 63 s (five retransmissions of
// SYN-ACK, the default of Linux). The shorter timeout keeps a SYN flood from
// occupying the table for an idle timeout.
const halfOpenTimeout = 64 * time.Second

// maxScanPerTick bounds the entries that one Tick examines per shard.
const maxScanPerTick = 4096

// expire removes the pins of ended flows and removed services.
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

// removePinsTo removes the pins of a service to the target with an index.
func (sh *Shard) removePinsTo(handle uint32, t zone.TargetIndex) {
	for i := range sh.pins.allocated {
		if p := sh.pins.at(i); p.used && p.key.service == handle && p.target == t {
			sh.pins.remove(p.key)
		}
	}
}
