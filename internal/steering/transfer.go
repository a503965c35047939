package steering

import (
	"slices"
	"time"
)

const (
	// batchRetryTimeout is the time after which an unacknowledged batch is sent
	// again. A request between instances of one zone takes milliseconds; 2 s covers
	// a lost connection.
	batchRetryTimeout = 2 * time.Second
	// passRetryDelay is the delay before the next pass if a pass left pins behind.
	passRetryDelay = time.Second
	// maxBatchRecords keeps a batch near 8 KB, so that it does not delay urgent messages.
	maxBatchRecords = 200
	// maxUnackedBatches bounds the memory of unacknowledged batches of one shard.
	maxUnackedBatches = 4
)

// transfer is the progress of one shard in sending its pins to their homes and
// backups under the current home set. A pass visits every pin once.
type transfer struct {
	homeSet    uint32 // number of the home set that the pass is for
	cursor     uint32
	incomplete bool       // the pass left pins for a later one
	retryAt    coarseTime // when the next pass starts after an incomplete one
	finished   bool
	unacked    []*sentBatch
}

type sentBatch struct {
	to    *member
	batch PinBatch
	at    coarseTime
}

// startTransfer begins a new pass. With reset it clears the acknowledgements,
// which are valid for one home set only.
func (sh *Shard) startTransfer(homeSet uint32, reset bool) {
	if reset {
		for i := range sh.pins.allocated {
			sh.pins.at(i).flags &^= ackedBits | exactIdle
		}
	}
	sh.transfer = transfer{homeSet: homeSet}
}

// destinations are the holders to which a pin has yet to be sent.
type destinations struct {
	home, backup *member
	// remove is set if this instance no longer needs the pin.
	remove bool
}

func sameMember(a, b *member) bool { return a != nil && b != nil && a.tag == b.tag }

// destinations returns the current holders to which this instance has to send a pin.
func (c *flowContext) destinations(p *pin) destinations {
	var d destinations
	number := c.v.homeSetNumber()
	holder := c.isHome() || c.isBackup()
	switch {
	case p.placedSet > number:
		return d // placed for a home set that this instance has not installed yet
	case p.placedSet == number:
		d.remove = !holder
		return d
	}
	if p.placedSet != 0 && p.placedSet < c.v.completedSet {
		if set := c.v.set(c.v.completedSet); set != nil {
			home, backup := set.holders(c.hash)
			if (home == nil || home.tag != c.self) && (backup == nil || backup.tag != c.self) {
				d.remove = true
				return d
			}
			p.placedSet = c.v.completedSet
			if p.placedSet == number {
				return d
			}
		}
	}
	if !c.isHome() && p.flags&ackedByHome == 0 {
		d.home = c.home
	}
	if !c.isBackup() && p.flags&ackedByBackup == 0 {
		d.backup = c.backup
	}
	if p.placedSet == 0 || c.v.set(p.placedSet) == nil {
		return d
	}
	if !c.mustHandOver(p.placedSet) {
		return destinations{}
	}
	if d.home != nil && c.holderSinceSet(d.home, p.placedSet) {
		d.home = nil
	}
	if d.backup != nil && c.holderSinceSet(d.backup, p.placedSet) {
		d.backup = nil
	}
	return d
}

// mustHandOver reports whether this instance has to transfer a pin that was
// placed under an older set. The home of that set does, and so does the home of
// any set since: a home that is no holder of the next set removes its pin once the
// holders of that set have it. Other holders do so if a home is gone or may have
// removed the pin.
func (c *flowContext) mustHandOver(placed uint32) bool {
	covered := true
	for i := 1; i < len(c.v.homes) && c.v.homes[i].number >= placed; i++ {
		home, _ := c.v.homes[i].holders(c.hash)
		if home == nil || home.tag == c.self {
			return true
		}
		covered = covered && !c.suspected(home) && c.holderSinceSet(home, c.v.homes[i].number)
	}
	return !covered
}

// holderSinceSet reports whether m is a holder under a set and all newer ones
// except the current one. It then still has a pin that was placed under that set.
func (c *flowContext) holderSinceSet(m *member, number uint32) bool {
	for i := 1; i < len(c.v.homes) && c.v.homes[i].number >= number; i++ {
		if home, backup := c.v.homes[i].holders(c.hash); !sameMember(m, home) && !sameMember(m, backup) {
			return false
		}
	}
	return true
}

// tickTransfer appends the batches to send now and returns the remaining budget in bytes.
func (c *flowContext) tickTransfer(out []Transfer, number func() uint64, budget int) ([]Transfer, int) {
	t := &c.sh.transfer
	if t.finished || c.v.homeSetNumber() == 0 {
		return out, budget
	}
	out, budget = c.resend(out, budget)
	var open []*sentBatch
	for steps := 0; steps < maxScanPerTick && t.cursor < c.sh.pins.allocated && budget >= recordSize+batchOverhead; steps++ {
		if len(t.unacked)+len(open) >= maxUnackedBatches {
			break
		}
		p := c.sh.pins.at(t.cursor)
		t.cursor++
		if p.used {
			var used int
			open, used = c.addToBatches(p, open, number)
			budget -= used
		}
	}
	for _, b := range open {
		t.unacked = append(t.unacked, b)
		out = append(out, Transfer{To: b.to.ref, Batch: b.batch})
	}
	c.endPass()
	return out, budget
}

func (c *flowContext) endPass() {
	t := &c.sh.transfer
	if t.cursor < c.sh.pins.allocated || len(t.unacked) > 0 {
		return
	}
	if !t.incomplete {
		t.finished = true
		return
	}
	if t.retryAt == 0 {
		t.retryAt = c.now + toCoarseTime(passRetryDelay)
	}
	if c.now >= t.retryAt {
		t.cursor, t.incomplete, t.retryAt = 0, false, 0
	}
}

// addToBatches adds a pin to the open batches of its destinations and returns the
// bytes used.
func (c *flowContext) addToBatches(p *pin, open []*sentBatch, number func() uint64) ([]*sentBatch, int) {
	s := c.v.byHandle[p.key.service]
	if s == nil {
		return open, 0
	}
	c.setFlow(s, s.flowKey(&p.key), s.flowKey(&p.key).Hash())
	if !s.touched.Has(c.slot) {
		c.sh.pins.remove(p.key)
		return open, 0
	}
	d := c.destinations(p)
	if d.remove {
		c.sh.pins.remove(p.key)
		return open, 0
	}
	used := 0
	for _, m := range [...]*member{d.home, d.backup} {
		if m == nil || s.targets[p.target].removed {
			continue
		}
		if c.suspected(m) {
			c.sh.transfer.incomplete = true
			continue
		}
		b := openBatch(open, m)
		if b == nil {
			b = &sentBatch{to: m, at: c.now, batch: PinBatch{Number: number(), HomeSet: c.v.homeSetNumber()}}
			open = append(open, b)
			used += batchOverhead
		}
		r := pinRecord{s.tag, s.targets[p.target].tag, p.key.src, p.key.port, c.now - min(c.now, p.last), p.flags&accepted != 0}
		b.batch.Records = r.append(b.batch.Records)
		used += recordSize
	}
	return open, used
}

// openBatch returns the batch for a receiver that has room, or nil.
func openBatch(open []*sentBatch, to *member) *sentBatch {
	for _, b := range open {
		if b.to.tag == to.tag && b.batch.Len() < maxBatchRecords {
			return b
		}
	}
	return nil
}

func (c *flowContext) resend(out []Transfer, budget int) ([]Transfer, int) {
	t := &c.sh.transfer
	t.unacked = slices.DeleteFunc(t.unacked, func(b *sentBatch) bool {
		lost := c.suspected(b.to)
		t.incomplete = t.incomplete || lost
		return lost
	})
	for _, b := range t.unacked {
		if size := batchOverhead + len(b.batch.Records); b.at+toCoarseTime(batchRetryTimeout) <= c.now && size <= budget {
			b.at = c.now
			budget -= size
			out = append(out, Transfer{To: b.to.ref, Batch: b.batch})
		}
	}
	return out, budget
}

// ackTransfer processes the acknowledgement of a batch. Refused records are left
// for a later pass.
func (c *flowContext) ackTransfer(from uint64, a PinAck) {
	t := &c.sh.transfer
	at := slices.IndexFunc(t.unacked, func(b *sentBatch) bool { return b.batch.Number == a.Number && b.to.tag == from })
	if at < 0 {
		return
	}
	b := t.unacked[at]
	t.unacked = slices.Delete(t.unacked, at, at+1)
	refused := map[int]bool{}
	for _, i := range a.Refused {
		refused[int(i)] = true
		t.incomplete = true
	}
	for i := range b.batch.Len() {
		if !refused[i] {
			c.ackRecord(from, b.batch.record(i))
		}
	}
}

func (c *flowContext) ackRecord(from uint64, r pinRecord) {
	s := c.v.byTag[r.service]
	if s == nil {
		return
	}
	key := pinKey{src: r.src, service: s.handle, port: r.port}
	p := c.sh.pins.find(&key)
	if p == nil || s.targets[p.target].tag != r.target {
		return // the flow has ended, or its pin was replaced and the next packet copies the new one
	}
	k := s.flowKey(&key)
	c.setFlow(s, k, k.Hash())
	if c.home != nil && c.home.tag == from {
		p.flags |= ackedByHome
	}
	if c.isBackupTag(from) {
		p.flags |= ackedByBackup
	}
	if d := c.destinations(p); d.home != nil || d.backup != nil {
		return
	}
	c.sh.stats.TransferredPins++
	if c.isHome() || c.isBackup() {
		p.placedSet, p.flags = c.v.homeSetNumber(), p.flags&^ackedBits
		return
	}
	c.sh.pins.remove(p.key)
}

// storeTransferred stores a transferred pin and reports whether this instance holds it now.
func (c *flowContext) storeTransferred(r pinRecord, homeSet uint32) bool {
	t, ok := c.s.targetByTag(r.target)
	if !ok {
		return false
	}
	if !c.s.touched.Has(c.slot) {
		// The slot is settled in this table: all its pins have the target of the slot.
		return c.v.homeSetNumber() >= homeSet
	}
	p := c.sh.pins.find(&c.key)
	if p == nil {
		if p = c.sh.add(c.v, c.key, t, c.now-min(c.now, r.idle)); p == nil {
			return false
		}
		if r.accepted {
			p.flags, p.placedSet = accepted, homeSet
		} else {
			p.flags = proposed
		}
		return true
	}
	switch {
	case !r.accepted:
	case p.target == t:
		p.flags = p.flags&^proposed | accepted
	case p.flags&accepted != 0:
		c.sh.stats.Conflicts++
	case p.flags&repinned == 0:
		p.target, p.flags = t, accepted
	}
	return true
}
