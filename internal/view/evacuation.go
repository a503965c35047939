package view

import (
	"maps"
	"slices"
	"time"
)

// Evacuation is an operator's request that the targets of a data centre get no new flows.
type Evacuation struct {
	Zone string
	// Version is the store's version of the request.
	Version uint64
	// Since is when this instance learned of the request.
	Since time.Duration

	// withdrawnAt is when the request ends because a restored store lacks it and nobody wrote it
	// again; 0 if the store has it.
	withdrawnAt time.Duration
}

// RequireEvacuations makes the view incomplete until the evacuations have been listed.
func (v *View) RequireEvacuations() { v.evacuationsRequired = true }

// SkipEvacuations makes the view complete without a list of evacuations, and reports whether
// that changed it. No source may be able to list them, and flows are better placed without
// them than dropped.
func (v *View) SkipEvacuations() (changed bool) {
	changed = v.evacuationsRequired && !v.evacuationsListed
	v.evacuationsRequired = false
	return changed
}

// MarkEvacuationsListed records that all evacuations have been passed to PutEvacuation.
func (v *View) MarkEvacuationsListed() { v.evacuationsListed = true }

// PutEvacuation records a request at a version of the store and reports whether it is new.
func (v *View) PutEvacuation(now time.Duration, zone string, version uint64) (added bool) {
	if e := v.evacuations[zone]; e != nil {
		if version >= e.Version {
			e.Version, e.withdrawnAt = version, 0
		}
		return false
	}
	if version <= v.withdrawals[zone] {
		return false
	}
	v.evacuations[zone] = &Evacuation{Zone: zone, Version: version, Since: now}
	return true
}

// WithdrawEvacuation ends the request for a data centre and reports whether there was one.
func (v *View) WithdrawEvacuation(zone string, version uint64) (ended bool) {
	e := v.evacuations[zone]
	if e == nil || version < e.Version {
		return false
	}
	v.endEvacuation(e, version)
	return true
}

func (v *View) endEvacuation(e *Evacuation, version uint64) {
	delete(v.evacuations, e.Zone)
	v.withdrawals[e.Zone] = version
}

// WithdrawRestored records that the first answer of a restored store lacks a request. The
// request holds for ReturnGrace, in which the operator can write it again: targets that are
// about to be switched off must not get flows because the store lost a write.
func (v *View) WithdrawRestored(now time.Duration, zone string, version uint64) {
	if e := v.evacuations[zone]; e != nil && version > e.Version {
		e.Version, e.withdrawnAt = version, now+v.limits.ReturnGrace
	}
}

// SettleEvacuations ends the requests that a restored store lacks and that nobody wrote again
// in time, and calls f for each.
func (v *View) SettleEvacuations(now time.Duration, f func(Evacuation)) {
	for _, e := range v.evacuations {
		if e.withdrawnAt > 0 && now >= e.withdrawnAt {
			v.endEvacuation(e, e.Version)
			f(*e)
		}
	}
}

// Evacuated reports whether the targets of a data centre are to get no new flows.
func (v *View) Evacuated(zone string) bool { return v.evacuations[zone] != nil }

// EvacuatedFor returns how long the evacuation of a data centre has been known; ok is false if
// there is none.
func (v *View) EvacuatedFor(now time.Duration, zone string) (d time.Duration, ok bool) {
	e := v.evacuations[zone]
	if e == nil {
		return 0, false
	}
	return now - e.Since, true
}

// Evacuations returns the requests in force, ordered by data centre.
func (v *View) Evacuations() []Evacuation {
	var out []Evacuation
	for _, zone := range slices.Sorted(maps.Keys(v.evacuations)) {
		out = append(out, *v.evacuations[zone])
	}
	return out
}
