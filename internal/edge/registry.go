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
	// singleReaderMinZones is the number of data centres from which on one reader of the store
	// in each is enough; with fewer there are two, so that the end of one reader
	// leaves another one that is up to date.
	singleReaderMinZones = 3
	// fanOut is how many instances follow one: with some 0.25 KB/s each, and as much for
	// changes, they take most of the 10 KB/s of an instance. Two levels carry 272.
	fanOut = 16
	// queriedZones is how many other data centres a reader asks at a time. One that knows
	// of a change is among them in turn, and the cost does not grow with the deployment.
	queriedZones = 5
	// queriedRanks is how many instances of a data centre are asked in turn: those that read
	// the store or would be next. Others hear from them and would cost connections.
	queriedRanks = 2
	// peerRetryDelay is how long an instance that failed to answer is passed over.
	peerRetryDelay = 1500 * time.Millisecond
)

// peer is an instance, this one included.
type peer struct {
	name, zone string
	addr       netip.AddrPort
	score      uint64
}

// health is what is known of an address.
type health struct {
	failedAt time.Duration
	failed   bool
}

// registry knows the other instances: those named by the settings and those that
// registered in the store. It is safe for concurrent use.
type registry struct {
	self *peer

	mu     sync.Mutex // guards all below; taken alone
	seeds  []netip.AddrPort
	byName map[string]*peer
	// ranks has the instances of each data centre by rank. The first ones read the
	// store; each of the others follows one that ranks before it. All instances rank
	// alike, so that no two follow each other.
	ranks        map[string][]*peer
	healthByAddr map[netip.AddrPort]*health
	rotation     int
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
	if name == r.self.name {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
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

// removeLocked takes an instance out, if it is known.
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

// recordFailure records that an instance did not answer and reports whether it did before.
func (r *registry) recordFailure(now time.Duration, addr netip.AddrPort) (lost bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := r.health(addr)
	lost = !h.failed
	h.failed, h.failedAt = true, now
	return lost
}

// recordAnswer records that an instance recordAnswer and reports whether it did not before.
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

// zoneSize returns how many instances of the own data centre are known.
func (r *registry) zoneSize() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.ranks[r.self.zone])
}

// firstHealthy returns the first n of some instances, leaving out others that did not answer.
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

// healthyBefore returns the instances of the own data centre that rank healthyBefore this one.
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

// isStandbyReader reports whether this instance is the first behind the readers.
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

// isParent reports whether an instance that is followed is the one to follow.
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

// nextPeer returns an instance to ask, in turn one of all that are known; ok is false if
// none is known to answer.
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
// of each other data centre, some data centres at a time, and the other readers of the
// own one. Where none of them answers, it is one of the own data centre or of those that
// the settings name.
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

// otherReaders returns the other instances of the own data centre that read the store.
func (r *registry) otherReaders(now time.Duration) []netip.AddrPort {
	var found []netip.AddrPort
	for _, p := range r.firstHealthy(now, r.ranks[r.self.zone], r.readersPerZone()) {
		if p != r.self {
			found = append(found, p.addr)
		}
	}
	return found
}

// zonesToQuery returns the other data centres that are asked in this turn.
func (r *registry) zonesToQuery() []string {
	zones := slices.Sorted(maps.Keys(r.ranks))
	zones = slices.DeleteFunc(zones, func(z string) bool { return z == r.self.zone })
	if len(zones) <= queriedZones {
		return zones
	}
	begin := r.rotation * queriedZones % len(zones)
	return slices.Concat(zones[begin:], zones[:begin])[:queriedZones]
}

// nextHealthy returns one after the other of the addresses that are known to answer.
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
