package edge

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"guavaloom.example/guavaloom/internal/rendezvous"
)

const (
	// singleReaderMinZones is the number of data centres from which one store reader in
	// each is enough. With fewer there are two in each, so that an up-to-date reader
	// remains when one fails.
	singleReaderMinZones = 3
	// fanOut is the number of followers of an instance. At about 0.25 KB/s each, and as much
	// again for changes, they use most of an instance's 10 KB/s. Two levels hold 272 instances.
	fanOut = 16
	// queriedZones is how many other data centres a reader queries at a time. The choice rotates
	// over all of them, so that the cost does not grow with the deployment.
	queriedZones = 5
	// queriedRanks is how many instances of a data centre are queried in rotation: its readers
	// and their next replacements. The others receive changes from these, and querying them
	// would only cost connections.
	queriedRanks = 2
)

// peer is an instance, this one included.
type peer struct {
	name, zone string
	addr       netip.AddrPort
	score      uint64
	// lostAt is when a restored store lacked the entry; valid if lost is set. The instance
	// registers again if it still runs.
	lost   bool
	lostAt time.Duration
}

// registry holds the known instances: the seeds from the settings and the instances
// registered in the store. It is safe for concurrent use.
type registry struct {
	self *peer

	mu     sync.Mutex // guards all below; no other lock is taken while it is held
	seeds  []netip.AddrPort
	byName map[string]*peer
	// ranks has the instances of each data centre by rank. The first ones read the
	// store; each of the others follows one that ranks before it. All instances compute the
	// same ranks, so that no two follow each other.
	ranks        map[string][]*peer
	healthByAddr map[netip.AddrPort]*health
	following    following
	rotation     int
	// selfListed is set once this instance's own entry was seen.
	selfListed bool
}

func newRegistry(s *Settings) *registry {
	r := &registry{
		self: newPeer(s.Name, s.Zone, s.Peer), seeds: s.Seeds,
		byName: map[string]*peer{}, ranks: map[string][]*peer{}, healthByAddr: map[netip.AddrPort]*health{},
	}
	r.insert(r.self)
	return r
}

func newPeer(name, zone string, addr netip.AddrPort) *peer {
	return &peer{name: name, zone: zone, addr: addr, score: rendezvous.Score(rendezvous.Seed(name), rendezvous.Seed(zone))}
}

func (r *registry) setSeeds(seeds []netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seeds = seeds
}

// put records a registered instance.
func (r *registry) put(name, zone string, addr netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if name == r.self.name {
		r.selfListed = true
		return
	}
	if p := r.byName[name]; p != nil && p.zone == zone && p.addr == addr {
		p.lost = false
		return
	}
	r.removeLocked(name)
	r.insert(newPeer(name, zone, addr))
}

// markLost records that a restored store lacks the entry of an instance.
func (r *registry) markLost(now time.Duration, name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p := r.byName[name]; p != nil && p != r.self && !p.lost {
		p.lost, p.lostAt = true, now
	}
}

func (r *registry) remove(name string) {
	if name == r.self.name {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.removeLocked(name)
}

func (r *registry) insert(p *peer) {
	ranks := r.ranks[p.zone]
	at, _ := slices.BinarySearchFunc(ranks, p, byRank)
	r.ranks[p.zone] = slices.Insert(ranks, at, p)
	r.byName[p.name] = p
}

// removeLocked removes an instance, if it is known. The caller holds registry.mu.
func (r *registry) removeLocked(name string) {
	p := r.byName[name]
	if p == nil {
		return
	}
	delete(r.byName, name)
	delete(r.healthByAddr, p.addr)
	ranks := slices.DeleteFunc(r.ranks[p.zone], func(o *peer) bool { return o == p })
	if len(ranks) == 0 {
		delete(r.ranks, p.zone)
		return
	}
	r.ranks[p.zone] = ranks
}

// byRank orders the instances of a data centre.
func byRank(a, b *peer) int {
	return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.name, b.name))
}

// size returns how many instances are known.
func (r *registry) size() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.byName)
}

// zoneSize returns how many instances of this data centre are known.
func (r *registry) zoneSize() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.ranks[r.self.zone])
}

// othersInZone returns the addresses of the other instances of this data centre that have not
// failed.
func (r *registry) othersInZone() []netip.Addr {
	r.mu.Lock()
	defer r.mu.Unlock()
	own := r.ranks[r.self.zone]
	out := make([]netip.Addr, 0, len(own))
	for _, p := range own {
		if p.addr.Addr() != r.self.addr.Addr() && r.usable(p) {
			out = append(out, p.addr.Addr())
		}
	}
	return out
}

// isOtherInZone reports whether another instance of this data centre is registered with an address.
func (r *registry) isOtherInZone(addr netip.Addr) bool {
	if addr == r.self.addr.Addr() {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.ContainsFunc(r.ranks[r.self.zone], func(p *peer) bool { return p.addr.Addr() == addr })
}

// firstUsable returns the first n of the given instances that are usable.
func (r *registry) firstUsable(peers []*peer, n int) []*peer {
	var out []*peer
	for _, p := range peers {
		if len(out) == n {
			break
		}
		if r.usable(p) {
			out = append(out, p)
		}
	}
	return out
}

// ownRank returns the index of this instance among those of its data centre.
func (r *registry) ownRank() int {
	at, _ := slices.BinarySearchFunc(r.ranks[r.self.zone], r.self, byRank)
	return at
}

// usableBefore returns the usable instances of this data centre that rank before this one.
func (r *registry) usableBefore() []*peer {
	at := r.ownRank()
	return r.firstUsable(r.ranks[r.self.zone][:at], at)
}

// isReader reports whether this instance reads the store by its rank.
func (r *registry) isReader() bool {
	_, follower := r.parent()
	return !follower
}

// isStandbyReader reports whether this instance is the next in rank after the readers.
func (r *registry) isStandbyReader() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.usableBefore()) == r.readersPerZone()
}

// parent returns the instance that this one follows in the tree; ok is false for
// those that read the store.
func (r *registry) parent() (addr netip.AddrPort, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	preferred, current := r.parents()
	switch {
	case preferred == nil:
		return addr, false
	case current != nil && !r.healthOf(preferred.addr).answered:
		return current.addr, true
	}
	return preferred.addr, true
}

// parents returns the parent by rank, nil for a reader, and the instance that this one follows
// now, nil if there is none or if it is no longer one to follow. An instance whose parent sends
// changes leaves it only for one that has answered before: the entry of one that was removed for
// good looks like that of one that just started.
func (r *registry) parents() (preferred, current *peer) {
	before, roots := r.usableBefore(), r.readersPerZone()
	if len(before) < roots {
		return nil, nil
	}
	at := slices.IndexFunc(before, func(p *peer) bool { return p.addr == r.following.source })
	if at >= 0 {
		current = before[at]
	}
	return before[(len(before)-roots)/fanOut], current
}

// isParent reports whether addr is the parent of this instance.
func (r *registry) isParent(addr netip.AddrPort) bool {
	parent, ok := r.parent()
	return ok && parent == addr
}

// readersPerZone returns how many instances of a data centre read the store. Data centres of which
// no instance answers don't count.
func (r *registry) readersPerZone() int {
	zones := 0
	for _, ranks := range r.ranks {
		if slices.ContainsFunc(ranks, r.usable) {
			zones++
		}
	}
	if zones >= singleReaderMinZones {
		return 1
	}
	return 2
}

// nextPeer returns the next instance to query, in rotation over all that are known; ok is false
// if there is none.
func (r *registry) nextPeer(now time.Duration) (addr netip.AddrPort, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := slices.Clone(r.seeds)
	for _, p := range r.byName {
		all = append(all, p.addr)
	}
	return r.nextInRotation(now, all)
}

// peersToCompare returns the instances whose replicas a reader compares with its own: one
// in each of some other data centres, in rotation, and the other readers of its own. If none
// of these is usable, it is one instance of its own data centre or a seed.
func (r *registry) peersToCompare(now time.Duration) []netip.AddrPort {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rotation++
	found := r.otherReaders()
	for _, zone := range r.zonesToQuery() {
		first := r.firstUsable(r.ranks[zone], queriedRanks)
		found = append(found, first[r.rotation%len(first)].addr)
	}
	if len(found) > 0 {
		return found
	}
	own := slices.Clone(r.seeds)
	for _, p := range r.ranks[r.self.zone] {
		own = append(own, p.addr)
	}
	if addr, ok := r.nextInRotation(now, own); ok {
		found = append(found, addr)
	}
	return found
}

// otherReaders returns the other instances of this data centre that read the store.
func (r *registry) otherReaders() []netip.AddrPort {
	var found []netip.AddrPort
	for _, p := range r.firstUsable(r.ranks[r.self.zone], r.readersPerZone()) {
		if p != r.self {
			found = append(found, p.addr)
		}
	}
	return found
}

// zonesToQuery returns the other data centres to query in this round: those with a usable instance.
func (r *registry) zonesToQuery() []string {
	zones := slices.Sorted(maps.Keys(r.ranks))
	zones = slices.DeleteFunc(zones, func(z string) bool {
		return z == r.self.zone || !slices.ContainsFunc(r.ranks[z], r.usable)
	})
	if len(zones) <= queriedZones {
		return zones
	}
	begin := r.rotation * queriedZones % len(zones)
	return slices.Concat(zones[begin:], zones[:begin])[:queriedZones]
}

// nextInRotation returns the next address in rotation over those that have not failed. If all
// have, it is the one whose failure is the oldest, unless it failed within peerRetryDelay.
func (r *registry) nextInRotation(now time.Duration, all []netip.AddrPort) (addr netip.AddrPort, ok bool) {
	all = slices.DeleteFunc(all, func(a netip.AddrPort) bool { return a == r.self.addr })
	if len(all) == 0 {
		return addr, false
	}
	slices.SortFunc(all, netip.AddrPort.Compare)
	all = slices.Compact(all)
	oldest := slices.MinFunc(all, func(a, b netip.AddrPort) int { return cmp.Compare(r.healthOf(a).triedAt, r.healthOf(b).triedAt) })
	all = slices.DeleteFunc(all, func(a netip.AddrPort) bool { return r.healthOf(a).failed() })
	if len(all) == 0 {
		return oldest, now >= r.healthOf(oldest).triedAt+peerRetryDelay
	}
	r.rotation++
	return all[r.rotation%len(all)], true
}
