package isolation

import "time"

const (
	// LeaderSearchTime is how long an instance without a lease must have looked for a
	// leader: two rounds of polls.
	LeaderSearchTime = 2 * time.Second
	// MaxTickGap is the longest time between two ticks that does not count as a pause,
	// and how long a tick permits requests. Ticks are 100 ms apart; the rest is for
	// a busy machine.
	MaxTickGap = 500 * time.Millisecond
	// MaxServe is how long after the end of its lease an instance serves at most.
	MaxServe = 2 * time.Minute
	// ReleaseHold is how long after a run left the roster without leaving gracefully
	// its missing acknowledgement keeps addresses from being released, even if the
	// platform lists it as gone. It exceeds MaxServe by the connect timeout of a
	// last request (1 s), differing clock rates (4 %), and a wide margin.
	ReleaseHold = 3 * time.Minute
)

// Inputs is what a tick knows about the instance.
type Inputs struct {
	// LeaseEnd is the end of a valid lease; at or before now if there is none.
	LeaseEnd time.Duration
	// Member tells that the newest table lists this run and that it is not leaving.
	Member bool
	// HasLeader tells that the instance follows a leader or is one.
	HasLeader bool
}

// Change tells what a tick has changed.
type Change uint8

// Changes.
const (
	None Change = iota
	Entered
	Ended
)

// Detector follows one instance. The zero value has never held a lease.
type Detector struct {
	leaseEnd      time.Duration // end of the last lease; 0 if there was none
	lastTick      time.Duration // previous tick
	searchStart   time.Duration // start of the uninterrupted search for a leader, or -1
	isolatedUntil time.Duration
}

// Tick takes the facts at now.
func (d *Detector) Tick(now time.Duration, f Inputs) Change {
	was := d.isolatedUntil > 0
	if now-d.lastTick > MaxTickGap {
		d.searchStart = -1
	}
	d.lastTick, d.isolatedUntil = now, 0
	if f.LeaseEnd > now {
		d.leaseEnd = f.LeaseEnd
	}
	switch {
	case d.leaseEnd == 0 || f.LeaseEnd > now || f.HasLeader || !f.Member:
		d.searchStart = -1
	case d.searchStart < 0:
		d.searchStart = now
	case now-d.searchStart >= LeaderSearchTime && now < d.leaseEnd+MaxServe:
		d.isolatedUntil = min(now+MaxTickGap, d.leaseEnd+MaxServe)
	}
	switch is := d.isolatedUntil > 0; {
	case is && !was:
		return Entered
	case was && !is:
		return Ended
	}
	return None
}

// Until returns the time before which the instance counts as isolated, or 0. A
// process that resumes after a pause finds that it has passed.
func (d *Detector) Until() time.Duration { return d.isolatedUntil }
