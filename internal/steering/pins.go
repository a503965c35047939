package steering

import (
	"encoding/binary"
	"net/netip"
	"time"

	"guavaloom.example/guavaloom/internal/flow"
	"guavaloom.example/guavaloom/internal/zone"
)

// coarseTime is a time in units of 2^26 ns (about 67 ms), so that 32 bits hold 9 years.
type coarseTime uint32

const coarseTimeShift = 26

func toCoarseTime(d time.Duration) coarseTime { return coarseTime(d >> coarseTimeShift) }

// pinKey identifies a flow within one instance; the service determines the destination.
type pinKey struct {
	src     [16]byte
	service uint32 // serviceView.handle
	port    uint16
}

// Pin flags.
const (
	// accepted: the backup has stored this target, or there was no backup. The
	// target does not change while the flow is open.
	accepted uint8 = 1 << iota
	// repinned: the target replaced another one and is not yet accepted.
	repinned
	// ackedByHome and ackedByBackup: that holder has acknowledged the transfer.
	ackedByHome
	ackedByBackup
	// halfOpen: only first packets were seen.
	halfOpen
	// proposed: the pin was transferred by a former home for which it was not
	// accepted. It is used if no former holder has an accepted one.
	proposed
	// exactIdle: this instance handled the flow's newest packet as home, so that
	// last is the time of that packet. It may be earlier if another instance was
	// home since.
	exactIdle
)

const ackedBits = ackedByHome | ackedByBackup

// pin maps a flow to a target. Its 40 bytes and 4 to 8 bytes of bucket are
// within the memory bound of 64 bytes per pin.
type pin struct {
	key    pinKey
	target zone.TargetIndex
	last   coarseTime
	// placedSet is the number of the home set whose home and backup both hold the
	// pin, 0 if unknown.
	placedSet uint32
	next      uint32 // next entry of the bucket or free list: position plus 1, 0 at the end
	flags     uint8
	used      bool
}

const pageSize = 1024

// pinTable is a bounded hash table in fixed pages: growth copies no pin, and
// freed entries are reused.
type pinTable struct {
	pages       []*[pageSize]pin
	buckets     []uint32
	free        uint32 // position plus 1
	allocated   uint32 // entries allocated from pages, in use or free
	count       int
	limit       int
	evictCursor uint32 // next position that eviction examines
}

func newPinTable(limit int) pinTable {
	return pinTable{buckets: make([]uint32, 64), limit: limit}
}

func (t *pinTable) at(i uint32) *pin { return &t.pages[i/pageSize][i%pageSize] }

func (k *pinKey) hash() uint64 {
	x := binary.LittleEndian.Uint64(k.src[:8]) ^ uint64(k.service)<<16 ^ uint64(k.port)
	x = (x ^ x>>29) * 0x9e3779b97f4a7c15
	x = (x ^ x>>32 ^ binary.LittleEndian.Uint64(k.src[8:])) * 0xbf58476d1ce4e5b9
	return x ^ x>>31
}

func (t *pinTable) bucket(k *pinKey) *uint32 { return &t.buckets[k.hash()&uint64(len(t.buckets)-1)] }

func (t *pinTable) find(k *pinKey) *pin {
	for i := *t.bucket(k); i != 0; {
		p := t.at(i - 1)
		if p.key == *k {
			return p
		}
		i = p.next
	}
	return nil
}

// add returns a new entry for a key that is not in the table, or nil at the limit.
func (t *pinTable) add(k pinKey) *pin {
	if t.count >= t.limit {
		return nil
	}
	if t.count >= len(t.buckets) {
		t.grow()
	}
	var i uint32
	if t.free != 0 {
		i = t.free - 1
		t.free = t.at(i).next
	} else {
		if t.allocated%pageSize == 0 {
			t.pages = append(t.pages, new([pageSize]pin))
		}
		i = t.allocated
		t.allocated++
	}
	b := t.bucket(&k)
	p := t.at(i)
	*p = pin{key: k, target: zone.NoTarget, next: *b, used: true}
	*b = i + 1
	t.count++
	return p
}

func (t *pinTable) grow() {
	t.buckets = make([]uint32, 2*len(t.buckets))
	for i := range t.allocated {
		if p := t.at(i); p.used {
			b := t.bucket(&p.key)
			p.next, *b = *b, i+1
		}
	}
}

// remove frees the entry of a key that is in the table.
func (t *pinTable) remove(k pinKey) {
	for link := t.bucket(&k); *link != 0; link = &t.at(*link - 1).next {
		i := *link - 1
		p := t.at(i)
		if p.key != k {
			continue
		}
		*link = p.next
		*p = pin{next: t.free}
		t.free = i + 1
		t.count--
		return
	}
}

// maxEvictScan bounds the entries that one insertion examines for eviction.
const maxEvictScan = 256

// evict removes the longest idle pin for which ok holds among the next
// maxEvictScan entries, and reports whether there was one.
func (t *pinTable) evict(ok func(*pin) bool) bool {
	var oldest *pin
	for range min(maxEvictScan, t.allocated) {
		if t.evictCursor >= t.allocated {
			t.evictCursor = 0
		}
		if p := t.at(t.evictCursor); p.used && (oldest == nil || p.last < oldest.last) && ok(p) {
			oldest = p
		}
		t.evictCursor++
	}
	if oldest == nil {
		return false
	}
	t.remove(oldest.key)
	return true
}

// flowKey returns the flow of a pin of the service.
func (s *serviceView) flowKey(k *pinKey) flow.Key {
	return flow.Key{
		Src: netip.AddrFrom16(k.src), Dst: s.addr.Addr(), SrcPort: k.port, DstPort: s.addr.Port(), Protocol: uint8(s.protocol),
	}
}
