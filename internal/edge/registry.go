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
	// manyZones is the number of data centres from which on one reader of the store
	// in each is enough; with fewer there are two, so that the end of one reader
	// leaves another one that is up to date.
	manyZones = 3
	// fanOut is how many instances follow one: with some 0.25 KB/s each, and as much for
	// changes, they take most of the 10 KB/s of an instance. Two levels carry 272.
	fanOut = 16
	// askedZones is how many other data centres a reader asks at a time. One that knows
	// of a change is among them in turn, and the cost does not grow with the deployment.
	askedZones = 5
	// askedRanks is how many instances of a data centre are asked in turn: those that read
	// the store or would be next. Others hear from them and would cost connections.
	askedRanks = 2
	// peerRetry is how long an instance that failed to answer is passed over.
	peerRetry = 1500 * time.Millisecond
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

	mu    sync.Mutex // guards all below; taken alone
	seeds []netip.AddrPort
	named map[string]*peer
	// ranks has the instances of each data centre by rank. The first ones read the
	// store; each of the others follows one that ranks before it. All instances rank
	// alike, so that no two follow each other.
	ranks   map[string][]*peer
	healths map[netip.AddrPort]*health
	turn    int
}

func newRegistry(s *Settings) *registry {
	r := &registry{
		self: newPeer(s.Name, s.Zone, s.Peer), seeds: s.Seeds,
		named: map[string]*peer{}, ranks: map[string][]*peer{}, healths: map[netip.AddrPort]*health{},
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
	r.take(name)
	r.insert(newPeer(name, zone, addr))
}

func (r *registry) remove(name string) {
	if name == r.self.name {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.take(name)
}

func (r *registry) insert(p *peer) {
	ranks := r.ranks[p.zone]
	at, _ := slices.BinarySearchFunc(ranks, p, byRank)
	r.ranks[p.zone] = slices.Insert(ranks, at, p)
	r.named[p.name] = p
}

// take takes an instance out, if it is known.
func (r *registry) take(name string) {
	p := r.named[name]
	if p == nil {
		return
	}
	delete(r.named, name)
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

// fail records that an instance did not answer and reports whether it did before.
func (r *registry) fail(now time.Duration, addr netip.AddrPort) (lost bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := r.health(addr)
	lost = !h.failed
	h.failed, h.failedAt = true, now
	return lost
}

// answered records that an instance answered and reports whether it did not before.
func (r *registry) answered(addr netip.AddrPort) (regained bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := r.health(addr)
	regained = h.failed
	h.failed = false
	return regained
}

func (r *registry) health(addr netip.AddrPort) *health {
	h := r.healths[addr]
	if h == nil {
		h = &health{}
		r.healths[addr] = h
	}
	return h
}

func (r *registry) healthy(now time.Duration, addr netip.AddrPort) bool {
	h := r.healths[addr]
	return h == nil || !h.failed || now >= h.failedAt+peerRetry
}

// size returns how many instances are known.
func (r *registry) size() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.named)
}

// zoneSize returns how many instances of the own data centre are known.
func (r *registry) zoneSize() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.ranks[r.self.zone])
}

// answering returns the first n of some instances, leaving out others that did not answer.
func (r *registry) answering(now time.Duration, peers []*peer, n int) []*peer {
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

// before returns the instances of the own data centre that rank before this one.
func (r *registry) before(now time.Duration) []*peer {
	own := r.ranks[r.self.zone]
	at, _ := slices.BinarySearchFunc(own, r.self, byRank)
	return r.answering(now, own[:at], at)
}

// isReader reports whether this instance should read the store.
func (r *registry) isReader(now time.Duration) bool {
	_, follower := r.parent(now)
	return !follower
}

// isDeputy reports whether this instance is the first behind the readers.
func (r *registry) isDeputy(now time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.before(now)) == r.readersPerZone()
}

// parent returns the instance that this one follows in the tree; ok is false for
// those that read the store.
func (r *registry) parent(now time.Duration) (addr netip.AddrPort, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	before, roots := r.before(now), r.readersPerZone()
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
	if len(r.ranks) >= manyZones {
		return 1
	}
	return 2
}

// other returns an instance to ask, in turn one of all that are known; ok is false if
// none is known to answer.
func (r *registry) other(now time.Duration) (addr netip.AddrPort, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := slices.Clone(r.seeds)
	for _, p := range r.named {
		all = append(all, p.addr)
	}
	return r.inTurn(now, all)
}

// toCompare returns the instances whose replicas a reader compares with its own: one
// of each other data centre, some data centres at a time, and the other readers of the
// own one. Where none of them answers, it is one of the own data centre or of those that
// the settings name.
func (r *registry) toCompare(now time.Duration) []netip.AddrPort {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.turn++
	found := r.otherReaders(now)
	for _, zone := range r.someZones() {
		if first := r.answering(now, r.ranks[zone], askedRanks); len(first) > 0 {
			found = append(found, first[r.turn%len(first)].addr)
		}
	}
	if len(found) > 0 {
		return found
	}
	own := slices.Clone(r.seeds)
	for _, p := range r.ranks[r.self.zone] {
		own = append(own, p.addr)
	}
	if addr, ok := r.inTurn(now, own); ok {
		found = append(found, addr)
	}
	return found
}

// otherReaders returns the other instances of the own data centre that read the store.
func (r *registry) otherReaders(now time.Duration) []netip.AddrPort {
	var found []netip.AddrPort
	for _, p := range r.answering(now, r.ranks[r.self.zone], r.readersPerZone()) {
		if p != r.self {
			found = append(found, p.addr)
		}
	}
	return found
}

// someZones returns the other data centres that are asked in this turn.
func (r *registry) someZones() []string {
	zones := slices.Sorted(maps.Keys(r.ranks))
	zones = slices.DeleteFunc(zones, func(z string) bool { return z == r.self.zone })
	if len(zones) <= askedZones {
		return zones
	}
	begin := r.turn * askedZones % len(zones)
	return slices.Concat(zones[begin:], zones[:begin])[:askedZones]
}

// inTurn returns one after the other of the addresses that are known to answer.
func (r *registry) inTurn(now time.Duration, all []netip.AddrPort) (addr netip.AddrPort, ok bool) {
	all = slices.DeleteFunc(all, func(a netip.AddrPort) bool { return a == r.self.addr || !r.healthy(now, a) })
	if len(all) == 0 {
		return addr, false
	}
	slices.SortFunc(all, netip.AddrPort.Compare)
	all = slices.Compact(all)
	r.turn++
	return all[r.turn%len(all)], true
}
