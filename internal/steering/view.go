package steering

import (
	"encoding/binary"
	"math/bits"
	"net/netip"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"guavaloom.example/guavaloom/internal/flow"
	"guavaloom.example/guavaloom/internal/instance"
	"guavaloom.example/guavaloom/internal/invariant"
	"guavaloom.example/guavaloom/internal/maglev"
	"guavaloom.example/guavaloom/internal/rendezvous"
	"guavaloom.example/guavaloom/internal/service"
	"guavaloom.example/guavaloom/internal/target"
	"guavaloom.example/guavaloom/internal/zone"
)

// View is the immutable form of a zone table that decisions on packets use.
type View struct {
	table    *zone.Table
	version  zone.Version
	services []*serviceView
	// index is an open-addressing hash table of service positions plus 1 by destination.
	index []uint16
	byTag map[uint64]*serviceView
	// byHandle finds the service of a pin.
	byHandle map[uint32]*serviceView
	homes    []homeSet
	// byInstance maps instance tags to the members of the roster.
	byInstance map[uint64]*member
	shortTags  shortTags
	// completedSet is the number of the newest home set to which all transfers are
	// complete. The table drops older home sets only then.
	completedSet uint32
	// nextHandle numbers services; handles are never reused.
	nextHandle uint32
}

// Version returns the version of the table that the view was built from.
func (v *View) Version() zone.Version { return v.version }

type member struct {
	ref instance.Ref
	tag uint64
	// live is false for members of older home sets that are no longer in the roster.
	live bool
}

type homeSet struct {
	number  uint32
	members []*member
	seeds   []uint64
}

// holders returns the home and the backup of a flow, nil if there is none.
func (s *homeSet) holders(hash uint64) (home, backup *member) {
	a, b := rendezvous.Top2(s.seeds, hash)
	if a >= 0 {
		home = s.members[a]
	}
	if b >= 0 {
		backup = s.members[b]
	}
	return home, backup
}

type targetView struct {
	tag     uint64
	addr    netip.AddrPort
	state   target.State
	removed bool
}

type serviceView struct {
	id                  service.ID
	handle              uint32
	tag                 uint64
	hi, lo              uint64
	addr                netip.AddrPort
	protocol            service.Protocol
	slots               uint32
	phase               zone.Phase
	generation          uint32
	base, current, next []zone.TargetIndex
	touched             zone.Bitmap
	idle                coarseTime
	targets             []targetView
	table               *zone.ServiceTable
}

func (s *serviceView) targetByTag(tag uint64) (zone.TargetIndex, bool) {
	for i := range s.targets {
		if s.targets[i].tag == tag && !s.targets[i].removed {
			return zone.TargetIndex(i), true
		}
	}
	return zone.NoTarget, false
}

// sameChoice reports whether all generations of the service map the slot to the same target.
func (s *serviceView) sameChoice(slot uint32) bool {
	return s.base[slot] == s.current[slot] && s.current[slot] == s.next[slot]
}

// instanceTag identifies one incarnation of an instance in relay headers.
func instanceTag(r instance.Ref) uint64 {
	return xxhash.Sum64(binary.BigEndian.AppendUint64([]byte(r.ID), uint64(r.Incarnation)))
}

// serviceTag includes the address, so that a service with a new address is another service.
func serviceTag(s *service.Service) uint64 {
	return xxhash.Sum64String(string(s.ID) + "\x00" + s.Address.String() + "\x00" + string(rune(s.Protocol)))
}

// targetTag is never 0, which means no target in a relay header.
func targetTag(t *target.Target) uint64 {
	return max(1, xxhash.Sum64String(string(t.ID)+"\x00"+t.Addr.String()))
}

// NewView builds the view of a table. It reuses the slot maps and service handles
// of prev, which may be nil.
func NewView(t *zone.Table, prev *View) *View {
	v := &View{table: t, version: t.Version, byTag: map[uint64]*serviceView{}, byHandle: map[uint32]*serviceView{}}
	if prev != nil {
		v.nextHandle = prev.nextHandle
	}
	for i := range t.Services {
		st := &t.Services[i]
		if st.Service.Kind != service.Flow {
			continue
		}
		tag := serviceTag(&st.Service)
		var old *serviceView
		if prev != nil {
			old = prev.byTag[tag]
		}
		s := newServiceView(st, tag, old)
		if old == nil {
			v.nextHandle++
			s.handle = v.nextHandle
		}
		v.services = append(v.services, s)
		v.byTag[tag] = s
		v.byHandle[s.handle] = s
	}
	v.buildIndex()
	v.buildHomes(t)
	v.shortTags = newShortTags(v)
	if prev != nil {
		v.completedSet = prev.completedSet
		if v.homeSetNumber() == prev.homeSetNumber() && len(v.homes) < len(prev.homes) {
			v.completedSet = v.homeSetNumber()
		}
	}
	return v
}

func newServiceView(st *zone.ServiceTable, tag uint64, old *serviceView) *serviceView {
	a := st.Service.Address.Addr().As16()
	s := &serviceView{
		id: st.Service.ID, tag: tag, addr: st.Service.Address, protocol: st.Service.Protocol,
		hi: binary.BigEndian.Uint64(a[:8]), lo: binary.BigEndian.Uint64(a[8:]),
		slots: st.Slots, phase: st.Phase, generation: st.Current.Number,
		touched: st.Touched, idle: toCoarseTime(st.Service.IdleTimeout), table: st,
	}
	if old != nil {
		s.handle = old.handle
	}
	for i := range st.Targets {
		e := &st.Targets[i]
		s.targets = append(s.targets, targetView{targetTag(&e.Target), e.Target.Addr, e.State, e.Removed})
	}
	s.base = s.slotMap(st.Base, old, s)
	s.current = s.slotMap(st.Current, old, s)
	if st.Phase == zone.Prepare {
		s.next = s.slotMap(st.Next, old, s)
	} else {
		s.next = s.current
	}
	for slot := range s.base {
		if !s.touched.Has(uint32(slot)) && !s.sameChoice(uint32(slot)) {
			invariant.Check(false, "steering.settled_slot_one_choice",
				"service %s slot %d: base %d current %d next %d", s.id, slot, s.base[slot], s.current[slot], s.next[slot])
		}
	}
	return s
}

// slotMap returns the slot map of a generation. It reuses an equal map of the given
// views if there is one.
func (s *serviceView) slotMap(g zone.Generation, views ...*serviceView) []zone.TargetIndex {
	for _, o := range views {
		if o == nil || o.slots != s.slots {
			continue
		}
		for _, c := range [...]struct {
			g zone.Generation
			m []zone.TargetIndex
		}{{o.table.Base, o.base}, {o.table.Current, o.current}, {o.table.Next, o.next}} {
			if c.m != nil && slices.Equal(c.g.Weights, g.Weights) && sameTargets(s, o, g.Weights) {
				return c.m
			}
		}
	}
	for _, w := range g.Weights {
		invariant.Check(int(w.Target) < len(s.targets) && !s.targets[w.Target].removed, "steering.generation_target_listed",
			"service %s generation %d names target %d of %d", s.id, g.Number, w.Target, len(s.targets))
	}
	return maglev.ForGeneration(s.table, g)
}

func sameTargets(s, o *serviceView, weights []zone.Weight) bool {
	for _, w := range weights {
		if int(w.Target) >= len(s.targets) || int(w.Target) >= len(o.targets) || s.targets[w.Target].tag != o.targets[w.Target].tag {
			return false
		}
	}
	return true
}

func (v *View) buildHomes(t *zone.Table) {
	v.byInstance = make(map[uint64]*member, len(t.Roster))
	for _, r := range t.Roster {
		tag := instanceTag(r)
		v.byInstance[tag] = &member{ref: r, tag: tag, live: true}
	}
	for _, hs := range t.Homes {
		set := homeSet{number: hs.Number}
		for _, r := range hs.Members {
			m := v.byInstance[instanceTag(r)]
			if m == nil {
				m = &member{ref: r, tag: instanceTag(r)}
			}
			set.members = append(set.members, m)
			// The seed excludes the incarnation, so that a restart moves no home.
			set.seeds = append(set.seeds, rendezvous.Seed(string(r.ID)))
		}
		v.homes = append(v.homes, set)
	}
}

// homeSetNumber returns the number of the current home set, 0 if there is none.
func (v *View) homeSetNumber() uint32 {
	if len(v.homes) == 0 {
		return 0
	}
	return v.homes[0].number
}

func (v *View) holders(hash uint64) (home, backup *member) {
	if len(v.homes) == 0 {
		return nil, nil
	}
	return v.homes[0].holders(hash)
}

// set returns the home set with the number, or nil.
func (v *View) set(number uint32) *homeSet {
	for i := range v.homes {
		if v.homes[i].number == number {
			return &v.homes[i]
		}
	}
	return nil
}

func (v *View) buildIndex() {
	size := 1 << bits.Len(uint(4*len(v.services)))
	v.index = make([]uint16, size)
	for i, s := range v.services {
		at := destinationHash(s.hi, s.lo, s.addr.Port(), uint8(s.protocol)) & uint64(size-1)
		for ; v.index[at] != 0; at = (at + 1) & uint64(size-1) {
			o := v.services[v.index[at]-1]
			invariant.Check(!o.matches(s.hi, s.lo, s.addr.Port(), uint8(s.protocol)), "steering.address_of_one_service",
				"%s and %s both have %s", s.id, o.id, s.addr)
		}
		v.index[at] = uint16(i + 1)
	}
}

func (s *serviceView) matches(hi, lo uint64, port uint16, protocol uint8) bool {
	return s.lo == lo && s.hi == hi && s.addr.Port() == port && uint8(s.protocol) == protocol
}

func destinationHash(hi, lo uint64, port uint16, protocol uint8) uint64 {
	x := (lo ^ uint64(port)<<40 ^ uint64(protocol)<<56) * 0x9e3779b97f4a7c15
	x = (x ^ x>>32 ^ hi) * 0x9e3779b97f4a7c15
	return x >> 32
}

// lookup returns the service of a flow's destination, or nil.
func (v *View) lookup(k *flow.Key) *serviceView {
	a := k.Dst.As16()
	hi, lo := binary.BigEndian.Uint64(a[:8]), binary.BigEndian.Uint64(a[8:])
	mask := uint64(len(v.index) - 1)
	for at := destinationHash(hi, lo, k.DstPort, k.Protocol) & mask; v.index[at] != 0; at = (at + 1) & mask {
		if s := v.services[v.index[at]-1]; s.matches(hi, lo, k.DstPort, k.Protocol) {
			return s
		}
	}
	return nil
}

// SettledTarget returns the target of a flow in a settled slot. Otherwise ok is
// false. It takes no lock and does not allocate.
func (v *View) SettledTarget(k flow.Key) (id service.ID, t zone.TargetIndex, ok bool) {
	s := v.lookup(&k)
	if s == nil {
		return "", zone.NoTarget, false
	}
	slot := uint32(k.Hash() % uint64(s.slots))
	if s.touched.Has(slot) {
		return s.id, zone.NoTarget, false
	}
	return s.id, s.base[slot], true
}

func (s *serviceView) forward(t zone.TargetIndex) Decision {
	if t == zone.NoTarget {
		return drop(NoTarget)
	}
	if int(t) >= len(s.targets) {
		// Checked here since the arguments of Check allocate, which the packet path must not.
		invariant.Check(false, "steering.target_of_service", "service %s has no target %d", s.id, t)
	}
	tv := &s.targets[t]
	if tv.removed {
		return drop(TargetRemoved)
	}
	return Decision{Action: Forward, Target: t, Service: s.id, Addr: tv.addr}
}

// checkTransition checks the rules for adjacent table versions that one instance can verify.
func checkTransition(prev, next *View) {
	if prev.version.Term != next.version.Term || prev.version.Seq+1 != next.version.Seq {
		return
	}
	for _, s := range next.services {
		o := prev.byTag[s.tag]
		if o == nil || o.slots != s.slots {
			continue
		}
		for slot := range s.base {
			n := uint32(slot)
			if s.current[slot] != o.current[slot] {
				invariant.Check(o.phase == zone.Prepare && o.touched.Has(n) && o.next[slot] == s.current[slot],
					"steering.move_was_prepared", "service %s slot %d", s.id, slot)
			}
			if s.base[slot] != o.base[slot] {
				invariant.Check(s.base[slot] == o.current[slot], "steering.base_becomes_current", "service %s slot %d", s.id, slot)
			}
			if o.touched.Has(n) && !s.touched.Has(n) {
				// Otherwise a home with prev sends later packets of a flow that an
				// instance with next opened to another target.
				invariant.Check(o.sameChoice(n), "steering.settle_after_base", "service %s slot %d", s.id, slot)
			}
		}
	}
}

// joinRefs returns a comma-separated list of instances for messages.
func joinRefs(ms ...*member) string {
	var parts []string
	for _, m := range ms {
		if m != nil {
			parts = append(parts, m.ref.String())
		}
	}
	return strings.Join(parts, ", ")
}
