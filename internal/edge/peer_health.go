package edge

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

const (
	// peerRetryDelay is how long after its first failure an instance is tried again. The delay
	// doubles with each further failure, up to maxPeerRetryDelay, so that instances that were
	// removed cost little until their entries are.
	peerRetryDelay    = 1500 * time.Millisecond
	maxPeerRetryDelay = 6 * time.Second
	// neighbourCheckInterval is how often an instance checks the next one of its data centre.
	neighbourCheckInterval = 5 * time.Second
	// maxChecks bounds the instances that are checked at the same time.
	maxChecks = 4
	// instanceExpiry is how long an instance must not have answered for its entry to be removed,
	// and expiryFailures at how many attempts: a suspended process finds the time passed without
	// any. One that is removed by mistake, since it was cut off for longer, registers again.
	instanceExpiry = 30 * time.Second
	expiryFailures = 4
)

// health records how an address answered. The zero value is that of one that was never tried.
type health struct {
	// answered means that the last attempt was answered, failures counts those since then.
	answered bool
	failures int
	// failedSince is the time of the first failure since the last answer, triedAt that of the
	// last attempt or message.
	failedSince, triedAt time.Duration
}

func (h health) failed() bool { return h.failures > 0 }

// retryAt returns when a failed address is tried again.
func (h health) retryAt() time.Duration {
	return h.triedAt + min(peerRetryDelay<<min(h.failures-1, 10), maxPeerRetryDelay)
}

// expired reports whether a failed instance is to be taken as removed for good.
func (h health) expired(now time.Duration) bool {
	return h.failures >= expiryFailures && now >= h.failedSince+instanceExpiry
}

// recordFailure records that an instance did not answer and reports whether it had not failed before.
func (r *registry) recordFailure(now time.Duration, addr netip.AddrPort) (lost bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := r.recordAttempt(now, addr)
	if lost = !h.failed(); lost {
		h.failedSince = now
	}
	h.answered = false
	h.failures++
	return lost
}

// recordAnswer records that an instance answered and reports whether it had failed before.
func (r *registry) recordAnswer(now time.Duration, addr netip.AddrPort) (regained bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := r.recordAttempt(now, addr)
	regained = h.failed()
	h.answered, h.failures = true, 0
	return regained
}

// recordRefusal records that an instance answered that it can't send changes now. It runs, but a
// failed one is not usable before it sends them.
func (r *registry) recordRefusal(now time.Duration, addr netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := r.recordAttempt(now, addr)
	h.failedSince = now
}

func (r *registry) recordAttempt(now time.Duration, addr netip.AddrPort) *health {
	h := r.healthByAddr[addr]
	if h == nil {
		h = &health{}
		r.healthByAddr[addr] = h
	}
	h.triedAt = now
	return h
}

// healthOf returns what is known of an address.
func (r *registry) healthOf(addr netip.AddrPort) health {
	if h := r.healthByAddr[addr]; h != nil {
		return *h
	}
	return health{}
}

// usable reports whether an instance is this one or has not failed. One that failed is usable
// again when it has answered a check. A time after which it is tried in place of living ones
// would let several that never answer take turns, and starve this instance. An entry with this
// instance's address is that of an earlier one: it would follow itself.
func (r *registry) usable(p *peer) bool {
	return p == r.self || !r.hasOwnAddress(p) && !r.healthOf(p.addr).failed()
}

// hasOwnAddress reports whether another instance is registered with this one's address.
func (r *registry) hasOwnAddress(p *peer) bool { return p != r.self && p.addr == r.self.addr }

// failedPeers returns how many registered instances are known to have failed.
func (r *registry) failedPeers() (n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.byName {
		if !r.usable(p) {
			n++
		}
	}
	return n
}

// peersToCheck returns instances to check now, at most maxChecks, those tried the longest ago
// first: failed ones that are due, a better parent that has not answered before, and the
// neighbour.
func (r *registry) peersToCheck(now time.Duration) []netip.AddrPort {
	r.mu.Lock()
	defer r.mu.Unlock()
	var due []*peer
	for _, p := range r.byName {
		if h := r.healthOf(p.addr); p != r.self && h.failed() && now >= h.retryAt() {
			due = append(due, p)
		}
	}
	preferred, current := r.parents()
	if current != nil && !r.healthOf(preferred.addr).answered {
		due = append(due, preferred)
	}
	successors := r.successors()
	if n := len(successors) - 1; n >= 0 && r.usable(successors[n]) {
		if h := r.healthOf(successors[n].addr); !h.answered || now >= h.triedAt+neighbourCheckInterval {
			due = append(due, successors[n])
		}
	}
	slices.SortFunc(due, func(a, b *peer) int {
		return cmp.Or(cmp.Compare(r.healthOf(a.addr).triedAt, r.healthOf(b.addr).triedAt), a.addr.Compare(b.addr))
	})
	due = slices.Compact(due)
	var addrs []netip.AddrPort
	for _, p := range due[:min(len(due), maxChecks)] {
		addrs = append(addrs, p.addr)
	}
	return addrs
}

// successors returns the instances of this data centre after this one, in a ring by rank, up to
// the first usable one, its neighbour. Each instance that answers checks its neighbour, so that
// one of them finds each that failed, at the cost of one check for each instance.
func (r *registry) successors() []*peer {
	own, at := r.ranks[r.self.zone], r.ownRank()
	ring := slices.Concat(own[at+1:], own[:at])
	first := slices.IndexFunc(ring, r.usable)
	if first < 0 {
		return ring
	}
	return ring[:first+1]
}

// expired returns the names of the instances whose entries this one removes: those of its data
// centre between it and its neighbour that have not answered for instanceExpiry, and those with
// its own address.
func (r *registry) expired(now time.Duration) (names []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.successors() {
		if r.healthOf(p.addr).expired(now) {
			names = append(names, p.name)
		}
	}
	for _, p := range r.byName {
		if r.hasOwnAddress(p) {
			names = append(names, p.name)
		}
	}
	return names
}

// removeLost removes the instances that a restored store lacked and that have not registered
// again for instanceExpiry. Their entries are gone, so that nobody else removes them.
func (r *registry) removeLost(now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var lost []string
	for _, p := range r.byName {
		if p.lost && now >= p.lostAt+instanceExpiry {
			lost = append(lost, p.name)
		}
	}
	for _, name := range lost {
		r.removeLocked(name)
	}
}
