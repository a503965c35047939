package isolation

import "time"

const (
	// LeaderSearchTime is how long an instance without a lease must have searched for
	// a leader without success: two rounds of polls.
	LeaderSearchTime = 2 * time.Second
	// MaxTickGap is the longest time between two ticks that does not count as a pause
	// of the process. It is also how long a tick permits requests. Ticks are 100 ms
	// apart; the rest allows for delays on a busy machine.
	MaxTickGap = 500 * time.Millisecond
	// MaxServe is the maximum time that an instance serves after its lease has ended.
	MaxServe = 2 * time.Minute
	// ReleaseHold is how long the missing acknowledgement of an incarnation that left
	// the roster without a graceful shutdown prevents addresses from being released,
	// even if the platform lists it as gone. It exceeds MaxServe by the connect
	// timeout of a last request (1 s), a clock rate difference of 4 %, and a wide
	// margin.
	ReleaseHold = 3 * time.Minute
)

// Inputs is the state of the instance at a tick.
type Inputs struct {
	// LeaseEnd is when the lease ends. It is not after now if there is no valid lease.
	LeaseEnd time.Duration
	// Member reports whether the newest table lists this incarnation and it is not
	// shutting down.
	Member bool
	// HasLeader reports whether the instance follows a leader or is one.
	HasLeader bool
}

// Change says whether a tick started or ended the isolation.
type Change uint8

// Changes.
const (
	None Change = iota
	Entered
	Ended
)

// Detector tracks the isolation of one instance. The zero value is for an instance that
// has never held a lease.
type Detector struct {
	leaseEnd      time.Duration // end of the last lease; 0 if there was none
	lastTick      time.Duration // previous tick
	searchStart   time.Duration // start of the uninterrupted search for a leader, or -1
	isolatedUntil time.Duration
}

// Tick evaluates the inputs at now and reports whether the isolation started or ended.
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

// Until returns the time until which the instance counts as isolated, or 0. After a
// pause of the process that time has passed.
func (d *Detector) Until() time.Duration { return d.isolatedUntil }
