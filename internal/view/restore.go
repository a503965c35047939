package view

import (
	"time"

	"guavaloom.example/guavaloom/internal/target"
)

// A store that was restored from an older copy may list what a target wrote before the copy
// was made: a target that has left or drains since may be listed as ready, and one that
// started since may be missing. The restored list is therefore compared with what the view
// knows by the targets' own order of their writes. What contradicts it is a claim, which takes
// effect only if the target does not write again in time.

// claim is the state of a target in a restored store that contradicts the view.
type claim struct {
	entry               TargetEntry
	removed, unreadable bool
	// settlesAt is when the claim takes effect. By then the target would have written again,
	// or its entry would have expired.
	settlesAt time.Duration
}

// follows reports whether the target wrote the entry after the other one: in a later
// incarnation, or later within the same one. The sequence rises without a new version, so
// that the view may know an entry with an earlier sequence than the store has.
func (e *TargetEntry) follows(other *TargetEntry) bool {
	if e.Incarnation != other.Incarnation {
		return e.Incarnation > other.Incarnation
	}
	return e.Sequence > other.Sequence
}

// ExtendClaims makes the claims of an earlier restore wait anew when the store is restored
// again, since the targets may have to write once more.
func (v *View) ExtendClaims(now time.Duration) {
	for _, t := range v.targets {
		if t.claim != nil {
			t.claim.settlesAt = now + v.claimGrace(t.claim)
		}
	}
}

// claimGrace returns how long a claim waits: for a missing entry until it would have been
// written again, for another one until it would have expired.
func (v *View) claimGrace(c *claim) time.Duration {
	if c.removed {
		return v.limits.ReturnGrace
	}
	return v.limits.RestoreGrace
}

// addClaim replaces a target's claim.
func (v *View) addClaim(now time.Duration, t *Target, c claim) {
	c.settlesAt = now + v.claimGrace(&c)
	t.claim = &c
}

// PutRestored applies a target's entry from the first answer of a restored store.
func (v *View) PutRestored(now time.Duration, e TargetEntry, version uint64) (*Target, Change) {
	t := v.targets[e.ID]
	if t == nil || version <= t.Version || e.Incarnation > t.Incarnation {
		return v.Put(now, e, version)
	}
	if t.Removed || t.Unreadable || t.follows(&e) {
		t.Version = version
		v.addClaim(now, t, claim{entry: e})
		return t, Unchanged
	}
	same, warmAt := e.sameExceptCounts(&t.TargetEntry), t.WarmAt
	_, change := v.Put(now, e, version)
	t.WarmAt = min(t.WarmAt, warmAt) // the time left counts from when the target wrote it
	if same {
		return t, Unchanged
	}
	return t, change
}

// PutUnreadableRestored is PutUnreadable for the first answer of a restored store.
func (v *View) PutUnreadableRestored(now time.Duration, id target.ID, version uint64) {
	if t := v.targets[id]; t != nil && version > t.Version {
		t.Version = version
		v.addClaim(now, t, claim{unreadable: true})
	}
}

// RemoveRestored records that the first answer of a restored store lacks a target's entry.
func (v *View) RemoveRestored(now time.Duration, id target.ID, version uint64) {
	t := v.targets[id]
	if t == nil || version <= t.Version {
		return
	}
	t.Version, t.claim = version, nil
	if !t.Removed {
		v.addClaim(now, t, claim{removed: true})
	}
}

// Settle applies the claims of a restored store whose time has come, and calls f for each
// target that they change.
func (v *View) Settle(now time.Duration, f func(*Target, Change)) {
	for _, t := range v.targets {
		if c := t.claim; c != nil && now >= c.settlesAt {
			t.claim = nil
			if change := v.applyClaim(now, t, c); change != Unchanged {
				f(t, change)
			}
		}
	}
}

func (v *View) applyClaim(now time.Duration, t *Target, c *claim) Change {
	switch {
	case c.removed:
		return v.remove(now, t)
	case c.unreadable:
		t.Unreadable = true
		return Unreadable
	}
	return v.update(now, t, c.entry)
}
