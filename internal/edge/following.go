package edge

import (
	"net/netip"
	"time"
)

// following is the state of this instance as a follower.
type following struct {
	// source is the instance whose changes arrive; invalid if there is none.
	source netip.AddrPort
	// lostAt is when changes last arrived, valid if began is set: a message was received
	// since the start.
	lostAt time.Duration
	began  bool
}

// recordFollowed records that changes arrive from an instance, and reports whether it is another
// one than before.
func (r *registry) recordFollowed(addr netip.AddrPort) (changed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	changed = r.following.source != addr
	r.following.source, r.following.began = addr, true
	return changed
}

// recordUnfollowed records that changes no longer arrive from an instance.
func (r *registry) recordUnfollowed(now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.following.source.IsValid() {
		r.following.source, r.following.lostAt = netip.AddrPort{}, now
	}
}

// recordBusy records that the parent answered that it can't send changes now.
func (r *registry) recordBusy(now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.following.lostAt = now
}

// detachedFor returns for how long no changes have arrived from an instance, 0 while they do.
// began is false if none have arrived since the start.
func (r *registry) detachedFor(now time.Duration) (d time.Duration, began bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.following.source.IsValid() {
		return 0, true
	}
	return now - r.following.lostAt, r.following.began
}

// readsStore reports whether this instance reads the store: by its rank, or because no parent
// sends changes to it. How many instances rank before it and don't answer makes no difference.
func (i *Instance) readsStore(now time.Duration) bool {
	return i.registry.isReader() || i.untilDetached(now) == 0
}

// untilDetached returns how long this instance still waits for a parent before it reads the store
// itself: more than 0 while a parent does.
func (i *Instance) untilDetached(now time.Duration) time.Duration {
	d, began := i.registry.detachedFor(now)
	grace := i.timing.StartGrace
	if began {
		grace = i.timing.FollowGrace
	}
	return max(grace+fraction(grace, i.graceJitter)-d, 0)
}
