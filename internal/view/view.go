package view

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"guavaloom.example/guavaloom/internal/target"
)

// Limits are the time limits for removed targets.
type Limits struct {
	// ReturnGrace is how long a removed entry may take to return, since it may have expired
	// only because the store was unavailable. An instance can learn of the removal without
	// having noticed the outage.
	ReturnGrace time.Duration
	// RestoreGrace is how long what a restored store says of a target does not count if the view
	// knows something later. It exceeds the time after which the entry of a target that has
	// ended expires.
	RestoreGrace time.Duration
	// ForgetAfter is how long a removed target stays known. It exceeds the longest lifetime
	// of a flow.
	ForgetAfter time.Duration
}

// View is an instance's knowledge of routes and targets. It is not safe for concurrent use.
type View struct {
	// ConfigFreshAt and TargetsFreshAt are when the configuration and the targets were last
	// known to match the store.
	ConfigFreshAt, TargetsFreshAt time.Duration
	// EvacuationsFreshAt is the same time of the evacuations.
	EvacuationsFreshAt time.Duration
	// ConfigRestoredAt is when a configuration was first confirmed after a restore of the store
	// or, by an instance that has just started, after an outage in which it may have been
	// restored; 0 if neither was the case.
	ConfigRestoredAt time.Duration
	// OutageAt is when the store was last known to be unavailable.
	OutageAt time.Duration

	limits        Limits
	config        Config
	configEpoch   uint64 // of the store from which the configuration was read
	routes        map[Endpoint]*Route
	targetsListed bool // the targets have been listed at least once

	targets map[target.ID]*Target
	tokens  map[uint32]*Target

	// evacuations has the requests in force by data centre, withdrawals the version at which the
	// last one ended.
	evacuations                            map[string]*Evacuation
	withdrawals                            map[string]uint64
	evacuationsRequired, evacuationsListed bool

	regions map[string]string // by data centre
}

// New returns an empty view.
func New(l Limits) *View {
	return &View{
		limits:  l,
		routes:  map[Endpoint]*Route{},
		targets: map[target.ID]*Target{},
		tokens:  map[uint32]*Target{},

		evacuations: map[string]*Evacuation{},
		withdrawals: map[string]uint64{},
	}
}

// Config returns the configuration; Version is 0 when there is none.
func (v *View) Config() *Config { return &v.config }

// SetConfig replaces the configuration by one that was read in an epoch of the store. It
// returns false for one that is not newer. The operator's version decides, since a restored
// store may hold an earlier one until the operator has written again; of two with one
// version, the one confirmed after the restore counts.
func (v *View) SetConfig(c Config, epoch uint64) bool {
	if c.Version < v.config.Version || c.Version == v.config.Version && epoch <= v.configEpoch {
		return false
	}
	v.config, v.configEpoch = c, epoch
	v.routes = make(map[Endpoint]*Route, len(c.Routes))
	for i := range c.Routes {
		v.routes[c.Routes[i].Endpoint] = &c.Routes[i]
	}
	return true
}

// Route returns the route of an endpoint, or nil.
func (v *View) Route(e Endpoint) *Route { return v.routes[e] }

// Complete reports whether the configuration, the targets and, where they are required, the
// evacuations have been received.
func (v *View) Complete() bool {
	return v.config.Version > 0 && v.targetsListed && (v.evacuationsListed || !v.evacuationsRequired)
}

// MarkListed records that all existing entries have been passed to Put.
func (v *View) MarkListed() { v.targetsListed = true }

// Change says how an input changed a target, for the log.
type Change string

// Changes of a target.
const (
	Unchanged    Change = ""
	Joined       Change = "joined"
	Updated      Change = "updated"
	DrainStarted Change = "draining"
	Restarted    Change = "restarted"
	Returned     Change = "returned"
	Removed      Change = "removed"
	Unreadable   Change = "unreadable"
)

// Put applies a target's entry at a version of the store.
func (v *View) Put(now time.Duration, e TargetEntry, version uint64) (*Target, Change) {
	t := v.targets[e.ID]
	if t != nil && version <= t.Version {
		return t, Unchanged
	}
	if t == nil {
		t = v.add(e)
		t.Version, t.WarmAt = version, now+e.WarmUp
		return t, Joined
	}
	t.Version, t.claim = version, nil
	return t, v.update(now, t, e)
}

func (v *View) add(e TargetEntry) *Target {
	t := &Target{TargetEntry: e, Token: TokenOf(e.ID)}
	v.targets[e.ID] = t
	v.assignToken(t)
	return t
}

// update replaces a target's entry.
func (v *View) update(now time.Duration, t *Target, e TargetEntry) Change {
	change := Updated
	switch {
	case t.Incarnation != e.Incarnation:
		change = Restarted
	case t.Removed:
		change = Returned
	case e.Draining && !t.Draining:
		change = DrainStarted
	}
	t.TargetEntry = e
	t.WarmAt = now + e.WarmUp
	t.Unreadable, t.Removed = false, false
	return change
}

// PutUnreadable records that a target's entry can't be decoded.
func (v *View) PutUnreadable(id target.ID, version uint64) Change {
	t := v.targets[id]
	if t == nil || version <= t.Version {
		return Unchanged
	}
	t.Version, t.Unreadable, t.claim = version, true, nil
	return Unreadable
}

// Remove records that a target's entry was removed.
func (v *View) Remove(now time.Duration, id target.ID, version uint64) (*Target, Change) {
	t := v.targets[id]
	if t == nil || version < t.Version {
		return t, Unchanged
	}
	t.Version, t.claim = version, nil
	return t, v.remove(now, t)
}

func (v *View) remove(now time.Duration, t *Target) Change {
	if t.Removed {
		return Unchanged
	}
	t.Removed, t.RemovedAt = true, now
	return Removed
}

// Target returns a target by its ID, or nil.
func (v *View) Target(id target.ID) *Target { return v.targets[id] }

// ByToken returns the target that owns a token, or nil.
func (v *View) ByToken(token uint32) *Target { return v.tokens[token] }

// Targets calls f for every known target.
func (v *View) Targets(f func(*Target)) {
	for _, t := range v.targets {
		f(t)
	}
}

// AcceptsNewFlows reports whether a target may be given new flows.
func (v *View) AcceptsNewFlows(now time.Duration, t *Target) bool {
	return !t.Draining && !t.Unreadable && !t.TokenConflict && (!t.Removed || v.mayReturn(now, t))
}

// mayReturn reports whether a removed entry may still return: the store has not confirmed
// its state since the removal or the last outage, or has not been back for long enough.
func (v *View) mayReturn(now time.Duration, t *Target) bool {
	since := max(t.RemovedAt, v.OutageAt)
	return now < since+v.limits.ReturnGrace || v.TargetsFreshAt < since
}

// MayLackRoutes reports whether routes may be missing from the view because the store was
// restored from an older copy, and its operator has not had the time to write the
// configuration again.
func (v *View) MayLackRoutes(now time.Duration) bool {
	return v.ConfigRestoredAt > 0 && now < v.ConfigRestoredAt+v.limits.ReturnGrace
}

// MayLackTargets reports whether targets that live may be missing from the view: their entries
// got lost in an outage or a restore of the store, and they have not had the time to write
// them again.
func (v *View) MayLackTargets(now time.Duration) bool {
	return v.OutageAt > 0 && (now < v.OutageAt+v.limits.ReturnGrace || v.TargetsFreshAt < v.OutageAt)
}

// Ended reports whether a target is known to have ended.
func (v *View) Ended(now time.Duration, t *Target) bool {
	return t.Removed && !v.mayReturn(now, t)
}

// Forget drops targets that were removed so long ago that none of their earlier flows can be
// open, and returns them. One that may return is kept, since it may be given flows now, and so is
// one of which a restored store has an entry.
func (v *View) Forget(now time.Duration) (dropped []*Target) {
	for id, t := range v.targets {
		if v.Ended(now, t) && t.claim == nil && now >= t.RemovedAt+v.limits.ForgetAfter {
			delete(v.targets, id)
			dropped = append(dropped, t)
		}
	}
	for _, t := range dropped {
		v.releaseToken(t)
	}
	return dropped
}

// TokenOf returns the token of a target. All instances compute the same value.
func TokenOf(id target.ID) uint32 {
	h := xxhash.Sum64String(string(id))
	token := uint32(h ^ h>>32)
	if token == 0 {
		return 1 // 0 marks a packet without a token
	}
	return token
}

// releaseToken passes the token of a forgotten target to the known one that shares it, if any.
func (v *View) releaseToken(forgotten *Target) {
	if v.tokens[forgotten.Token] != forgotten {
		return
	}
	delete(v.tokens, forgotten.Token)
	var heir *Target
	for _, t := range v.targets {
		if t.Token == forgotten.Token && (heir == nil || t.ID < heir.ID) {
			heir = t
		}
	}
	if heir != nil {
		heir.TokenConflict = false
		v.tokens[heir.Token] = heir
	}
}

// assignToken makes the target the owner of its token. If two targets share a token, on all
// instances the one with the smaller ID owns it and the other accepts no new flows.
func (v *View) assignToken(t *Target) {
	owner := v.tokens[t.Token]
	switch {
	case owner == nil:
	case owner.ID < t.ID:
		t.TokenConflict = true
		return
	default:
		owner.TokenConflict = true
	}
	v.tokens[t.Token] = t
}
