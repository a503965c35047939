package steering

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"guavaloom.example/guavaloom/internal/instance"
	"guavaloom.example/guavaloom/internal/invariant"
	"guavaloom.example/guavaloom/internal/zone"
)

// Config sets the limits of a Steerer.
type Config struct {
	// Shards is the number of shards that the pins are divided into.
	Shards int
	// PinLimit bounds the pins of all shards together.
	PinLimit int
	// TransferBytes bounds the encoded pin records that one Tick returns.
	TransferBytes int
}

// Steerer decides on the packets of one instance. It is safe for concurrent use.
type Steerer struct {
	config  Config
	self    uint64
	install sync.Mutex
	view    atomic.Pointer[View]
	inputs  atomic.Pointer[inputs]
	lease   atomic.Int64 // time.Duration until which steering is allowed
	shards  []*lockedShard
	batches atomic.Uint64
}

type lockedShard struct {
	mu sync.Mutex
	*Shard
}

// New returns a Steerer that drops all packets until it has a table and a lease.
func New(c Config, self instance.Ref) *Steerer {
	invariant.Check(c.Shards > 0 && c.PinLimit >= c.Shards, "steering.config", "%+v", c)
	st := &Steerer{config: c, self: instanceTag(self)}
	st.inputs.Store(&inputs{})
	st.lease.Store(math.MinInt64)
	for range c.Shards {
		st.shards = append(st.shards, &lockedShard{Shard: NewShard(c.PinLimit / c.Shards)})
	}
	return st
}

// View returns the installed view, nil before the first Install.
func (st *Steerer) View() *View { return st.view.Load() }

// SetLease allows steering up to and including the given time.
func (st *Steerer) SetLease(until time.Duration) { st.lease.Store(int64(until)) }

// SetCookie sets the cookie that relay headers carry in this zone.
func (st *Steerer) SetCookie(cookie uint64) {
	st.update(func(in *inputs) bool { in.cookie = cookie; return false })
}

// SetCommitted sets the newest version that all members have acknowledged.
func (st *Steerer) SetCommitted(version zone.Version) {
	st.update(func(in *inputs) bool { in.committed = version; return false })
}

// SetSuspects sets the instances to which no packets are relayed: those listed
// as suspects in the lease grants and those whose relay port refuses packets.
func (st *Steerer) SetSuspects(refs []instance.Ref) {
	suspects := make(map[uint64]bool, len(refs))
	for _, r := range refs {
		suspects[instanceTag(r)] = true
	}
	st.update(func(in *inputs) bool {
		changed := len(suspects) != len(in.suspects)
		for tag := range suspects {
			changed = changed || !in.suspects[tag]
		}
		in.suspects = suspects
		return changed
	})
}

// update replaces the inputs and starts a transfer pass if change returns true.
func (st *Steerer) update(change func(*inputs) bool) {
	st.install.Lock()
	defer st.install.Unlock()
	in := *st.inputs.Load()
	pass := change(&in)
	st.inputs.Store(&in)
	if v := st.view.Load(); pass && v != nil {
		st.eachShard(func(sh *Shard) { sh.startTransfer(v.homeSetNumber(), false) })
	}
}

func (st *Steerer) eachShard(f func(*Shard)) {
	for _, sh := range st.shards {
		sh.mu.Lock()
		f(sh.Shard)
		sh.mu.Unlock()
	}
}

// Install replaces the table if t is newer, and reports whether it is. Decisions
// made after Install returns use no older table; the packets of earlier decisions
// may not have been sent yet.
func (st *Steerer) Install(_ time.Duration, t *zone.Table) bool {
	st.install.Lock()
	defer st.install.Unlock()
	prev := st.view.Load()
	if prev != nil && t.Version.Compare(prev.version) <= 0 {
		return false
	}
	v := NewView(t, prev)
	if prev != nil {
		checkTransition(prev, v)
	}
	for _, sh := range st.shards {
		sh.mu.Lock()
	}
	st.view.Store(v)
	for _, sh := range st.shards {
		if prev != nil {
			removePinsToReusedIndexes(sh.Shard, prev, v)
		}
		if prev == nil || prev.homeSetNumber() != v.homeSetNumber() {
			sh.startTransfer(v.homeSetNumber(), true)
		} else if !sameRoster(prev, v) || len(prev.homes) != len(v.homes) {
			sh.startTransfer(v.homeSetNumber(), false)
		}
		sh.mu.Unlock()
	}
	return true
}

// removePinsToReusedIndexes removes the pins to target indexes that now belong to
// another target.
func removePinsToReusedIndexes(sh *Shard, prev, v *View) {
	for _, s := range v.services {
		o := prev.byTag[s.tag]
		if o == nil {
			continue
		}
		for i := range min(len(o.targets), len(s.targets)) {
			if o.targets[i].tag != s.targets[i].tag {
				sh.removePinsTo(s.handle, zone.TargetIndex(i))
			}
		}
	}
}

func sameRoster(a, b *View) bool {
	for tag := range a.byInstance {
		if b.byInstance[tag] == nil {
			return false
		}
	}
	return len(a.byInstance) == len(b.byInstance)
}

func (st *Steerer) lock(hash uint64) *lockedShard {
	sh := st.shards[hash>>32%uint64(len(st.shards))]
	sh.mu.Lock()
	return sh
}

// newContext returns the context for a decision; the shard must be locked.
func (st *Steerer) newContext(now time.Duration, sh *Shard) flowContext {
	return flowContext{v: st.view.Load(), in: st.inputs.Load(), sh: sh, self: st.self, now: toCoarseTime(now)}
}

// Packet decides on a packet that the fabric delivered to this instance.
func (st *Steerer) Packet(now time.Duration, p Packet) Decision {
	v := st.view.Load()
	if v == nil {
		return drop(NotReady)
	}
	if now > time.Duration(st.lease.Load()) {
		return drop(LeaseLapsed)
	}
	s := v.lookup(&p.Key)
	if s == nil {
		return drop(UnknownService)
	}
	hash := p.Key.Hash()
	if slot := uint32(hash % uint64(s.slots)); !s.touched.Has(slot) {
		return s.forward(s.base[slot])
	}
	return st.steer(now, p, hash)
}

// steer decides on a packet of a touched slot, with the view that is installed
// while the shard is locked.
func (st *Steerer) steer(now time.Duration, p Packet, hash uint64) Decision {
	sh := st.lock(hash)
	defer sh.mu.Unlock()
	c := st.newContext(now, sh.Shard)
	s := c.v.lookup(&p.Key)
	if s == nil {
		return drop(UnknownService)
	}
	p.First = p.First && s.isTCP()
	c.p = p
	c.setFlow(s, p.Key, hash)
	if !s.touched.Has(c.slot) {
		return s.forward(s.base[c.slot])
	}
	return c.routeToHome(zone.NoTarget)
}

// Tick expires pins and returns the transfers to send, within Config.TransferBytes.
func (st *Steerer) Tick(now time.Duration) []Transfer {
	var out []Transfer
	budget := st.config.TransferBytes
	for _, sh := range st.shards {
		sh.mu.Lock()
		if c := st.newContext(now, sh.Shard); c.v != nil {
			sh.expire(c.v, st.self, c.now)
			out, budget = c.tickTransfer(out, func() uint64 { return st.batches.Add(1) }, budget)
		}
		sh.mu.Unlock()
	}
	return out
}

// ReceivePins stores transferred pins and returns the acknowledgement for the sender.
func (st *Steerer) ReceivePins(now time.Duration, b PinBatch) PinAck {
	ack := PinAck{Number: b.Number}
	for i := range b.Len() {
		if !st.receiveRecord(now, b.record(i), b.HomeSet) {
			ack.Refused = append(ack.Refused, uint16(i))
		}
	}
	return ack
}

func (st *Steerer) receiveRecord(now time.Duration, r pinRecord, homeSet uint32) bool {
	v := st.view.Load()
	if v == nil || v.byTag[r.service] == nil {
		return false
	}
	k := v.byTag[r.service].flowKey(&pinKey{src: r.src, port: r.port})
	hash := k.Hash()
	sh := st.lock(hash)
	defer sh.mu.Unlock()
	c := st.newContext(now, sh.Shard)
	s := c.v.byTag[r.service]
	if s == nil {
		return false
	}
	c.setFlow(s, k, hash)
	return c.storeTransferred(r, homeSet)
}

// AckPins processes an instance's acknowledgement of a batch.
func (st *Steerer) AckPins(now time.Duration, from instance.Ref, a PinAck) {
	tag := instanceTag(from)
	st.eachShard(func(sh *Shard) {
		if c := st.newContext(now, sh); c.v != nil {
			c.ackTransfer(tag, a)
		}
	})
}

// TransferredHomeSet returns the number of the current home set if this instance
// has transferred all pins that it is responsible for, otherwise 0. An instance
// outside the home set may then leave.
func (st *Steerer) TransferredHomeSet() uint32 {
	v := st.view.Load()
	if v == nil {
		return 0
	}
	done := v.homeSetNumber()
	st.eachShard(func(sh *Shard) {
		if !sh.transfer.finished || sh.transfer.homeSet != done {
			done = 0
		}
	})
	return done
}

// Stats returns the sum over all shards.
func (st *Steerer) Stats() Stats {
	var sum Stats
	st.eachShard(func(sh *Shard) {
		sh.stats.Pins = sh.pins.count
		sum.add(sh.stats)
	})
	return sum
}
