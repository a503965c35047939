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
	// peerRetryDelay is how long an instance that did not answer is skipped.
	peerRetryDelay = 1500 * time.Millisecond
)

// peer is an instance, this one included.
type peer struct {
	name, zone string
	addr       netip.AddrPort
	score      uint64
}

// health records whether an address answered last time.
type health struct {
	failedAt time.Duration
	failed   bool
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
	r.removeLocked(name)
	r.insert(newPeer(name, zone, addr))
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

// recordFailure records that an instance did not answer and reports whether it was healthy before.
func (r *registry) recordFailure(now time.Duration, addr netip.AddrPort) (lost bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := r.health(addr)
	lost = !h.failed
	h.failed, h.failedAt = true, now
	return lost
}

// recordAnswer records that an instance answered and reports whether it had failed before.
func (r *registry) recordAnswer(addr netip.AddrPort) (regained bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := r.health(addr)
	regained = h.failed
	h.failed = false
	return regained
}

func (r *registry) health(addr netip.AddrPort) *health {
	h := r.healthByAddr[addr]
	if h == nil {
		h = &health{}
		r.healthByAddr[addr] = h
	}
	return h
}

func (r *registry) healthy(now time.Duration, addr netip.AddrPort) bool {
	h := r.healthByAddr[addr]
	return h == nil || !h.failed || now >= h.failedAt+peerRetryDelay
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

// othersInZone returns the addresses of the healthy other instances of this data centre.
func (r *registry) othersInZone(now time.Duration) []netip.Addr {
	r.mu.Lock()
	defer r.mu.Unlock()
	own := r.ranks[r.self.zone]
	out := make([]netip.Addr, 0, len(own))
	for _, p := range own {
		if p.addr.Addr() != r.self.addr.Addr() && r.healthy(now, p.addr) {
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

// firstHealthy returns the first n of the given instances that are healthy or this one.
func (r *registry) firstHealthy(now time.Duration, peers []*peer, n int) []*peer {
	var out []*peer
	for _, p := range peers {
		if len(out) == n {
			break
		}
		if p == r.self || r.healthy(now, p.addr) {
			out = append(out, p)
		}
	}
	return out
}

// healthyBefore returns the healthy instances of this data centre that rank before this one.
func (r *registry) healthyBefore(now time.Duration) []*peer {
	own := r.ranks[r.self.zone]
	at, _ := slices.BinarySearchFunc(own, r.self, byRank)
	return r.firstHealthy(now, own[:at], at)
}

// isReader reports whether this instance should read the store.
func (r *registry) isReader(now time.Duration) bool {
	_, follower := r.parent(now)
	return !follower
}

// isStandbyReader reports whether this instance is the next in rank after the readers.
func (r *registry) isStandbyReader(now time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.healthyBefore(now)) == r.readersPerZone()
}

// parent returns the instance that this one follows in the tree; ok is false for
// those that read the store.
func (r *registry) parent(now time.Duration) (addr netip.AddrPort, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	before, roots := r.healthyBefore(now), r.readersPerZone()
	if len(before) < roots {
		return addr, false
	}
	return before[(len(before)-roots)/fanOut].addr, true
}

// isParent reports whether addr is the parent of this instance.
func (r *registry) isParent(now time.Duration, addr netip.AddrPort) bool {
	parent, ok := r.parent(now)
	return ok && parent == addr
}

// readersPerZone returns how many instances of a data centre read the store.
func (r *registry) readersPerZone() int {
	if len(r.ranks) >= singleReaderMinZones {
		return 1
	}
	return 2
}

// nextPeer returns the next healthy instance to query, in rotation over all that are
// known; ok is false if there is none.
func (r *registry) nextPeer(now time.Duration) (addr netip.AddrPort, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := slices.Clone(r.seeds)
	for _, p := range r.byName {
		all = append(all, p.addr)
	}
	return r.nextHealthy(now, all)
}

// peersToCompare returns the instances whose replicas a reader compares with its own: one
// in each of some other data centres, in rotation, and the other readers of its own. If none
// of these is healthy, it is one instance of its own data centre or a seed.
func (r *registry) peersToCompare(now time.Duration) []netip.AddrPort {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rotation++
	found := r.otherReaders(now)
	for _, zone := range r.zonesToQuery() {
		if first := r.firstHealthy(now, r.ranks[zone], queriedRanks); len(first) > 0 {
			found = append(found, first[r.rotation%len(first)].addr)
		}
	}
	if len(found) > 0 {
		return found
	}
	own := slices.Clone(r.seeds)
	for _, p := range r.ranks[r.self.zone] {
		own = append(own, p.addr)
	}
	if addr, ok := r.nextHealthy(now, own); ok {
		found = append(found, addr)
	}
	return found
}

// otherReaders returns the other instances of this data centre that read the store.
func (r *registry) otherReaders(now time.Duration) []netip.AddrPort {
	var found []netip.AddrPort
	for _, p := range r.firstHealthy(now, r.ranks[r.self.zone], r.readersPerZone()) {
		if p != r.self {
			found = append(found, p.addr)
		}
	}
	return found
}

// zonesToQuery returns the other data centres to query in this round.
func (r *registry) zonesToQuery() []string {
	zones := slices.Sorted(maps.Keys(r.ranks))
	zones = slices.DeleteFunc(zones, func(z string) bool { return z == r.self.zone })
	if len(zones) <= queriedZones {
		return zones
	}
	begin := r.rotation * queriedZones % len(zones)
	return slices.Concat(zones[begin:], zones[:begin])[:queriedZones]
}

// nextHealthy returns the next healthy address, in rotation.
func (r *registry) nextHealthy(now time.Duration, all []netip.AddrPort) (addr netip.AddrPort, ok bool) {
	all = slices.DeleteFunc(all, func(a netip.AddrPort) bool { return a == r.self.addr || !r.healthy(now, a) })
	if len(all) == 0 {
		return addr, false
	}
	slices.SortFunc(all, netip.AddrPort.Compare)
	all = slices.Compact(all)
	r.rotation++
	return all[r.rotation%len(all)], true
}
