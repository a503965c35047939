package edge

import (
	"time"

	"guavaloom.example/guavaloom/internal/forwarding"
	"guavaloom.example/guavaloom/internal/replica"
	"guavaloom.example/guavaloom/internal/view"
)

// Deployment holds the bounds that a deployment sets for its instances.
type Deployment struct {
	// StopGrace is the time from the request to stop until the process is killed.
	StopGrace time.Duration
	// ConfigBound is how soon an acknowledged configuration has to be in force.
	ConfigBound time.Duration
	// DrainBound is how soon a draining target must receive no new flows.
	DrainBound time.Duration
	// EvacuationBound is how soon the targets of an evacuated data centre must receive no new
	// flows; 0 if data centres are not evacuated.
	EvacuationBound time.Duration
	// WarmUpOverage and WarmUpSlack are the factor and the number of requests by which a cold
	// target may get more than it bears in a second.
	WarmUpOverage, WarmUpSlack float64
	// StableWindow is how long an instance must have run without a disturbance for the
	// bounds to apply to it.
	StableWindow time.Duration
	// Heartbeat is how often a target writes its entry.
	Heartbeat time.Duration
	// MaxFlow is the longest duration of a flow.
	MaxFlow time.Duration
	// History is how long the store keeps changes for watches to resume from.
	History time.Duration
	// ReadsPerSecond is the store's rate limit on reads of all instances together.
	ReadsPerSecond uint64
}

// DefaultDeployment returns the bounds that apply if the settings give none.
func DefaultDeployment() Deployment {
	return Deployment{
		StopGrace: 6 * time.Second, ConfigBound: 3 * time.Second, DrainBound: 3 * time.Second,
		StableWindow: 4 * time.Second, Heartbeat: 1200 * time.Millisecond, MaxFlow: time.Minute,
		History: 20 * time.Second, ReadsPerSecond: 2000, WarmUpOverage: 1,
	}
}

// Upper limits of the derived times. Wider bounds of a deployment don't extend them,
// because longer waits would only delay the detection of failures.
const (
	maxWatchWait         = 3200 * time.Millisecond
	maxInstanceWatchWait = 20 * time.Second
	maxWatchSlack        = 600 * time.Millisecond
	maxCallTimeout       = 1500 * time.Millisecond
	maxCoalesce          = 500 * time.Millisecond
	maxPeerQueryAfter    = 1200 * time.Millisecond
	maxPeerQueryInterval = 700 * time.Millisecond
	maxPeerQueryTimeout  = 500 * time.Millisecond
	maxIdleTimeout       = 1700 * time.Millisecond
	maxMinStopTime       = 1500 * time.Millisecond
)

const (
	// minReturnGrace covers the 2 s in which, as the users state, entries that expired
	// during a store outage return, and their propagation through store and instances.
	minReturnGrace = 3 * time.Second
	// returnGraceMargin is the part of the return grace and of the restore grace beyond the
	// heartbeats.
	returnGraceMargin = time.Second
	// callsDivisor limits one instance to a hundredth of the store's rate limit for all
	// instances, between minCallsPerSecond and maxCallsPerSecond.
	callsDivisor      = 100
	minCallsPerSecond = 5
	maxCallsPerSecond = 20
)

// Timing holds the intervals, limits and timeouts of an instance.
type Timing struct {
	// WatchWait is how long a watch of the store waits for a change, InstanceWatchWait the
	// same for the list of instances, which may be stale. WatchSlack is how long after
	// that its answer may take, CallTimeout how long that of other calls.
	WatchWait, InstanceWatchWait, WatchSlack, CallTimeout time.Duration
	// CallsPerSecond bounds the calls to the store.
	CallsPerSecond uint64
	// Coalesce is the delay after an answer with changes, so that the next answer has
	// several of them.
	Coalesce time.Duration
	// PeerQueryAfter is the age of the replica from which a reader also queries other data
	// centres, PeerQueryInterval the interval and PeerQueryTimeout the timeout of these queries.
	PeerQueryAfter, PeerQueryInterval, PeerQueryTimeout time.Duration
	// ReadStoreAfter is the age of the replica from which an instance that follows others
	// reads the store itself.
	ReadStoreAfter time.Duration
	// FollowGrace is how long an instance whose parent is lost waits for changes from another
	// one before it reads the store itself, StartGrace the same after its start. A jitter of up
	// to as much again is added.
	FollowGrace, StartGrace time.Duration
	// MinStopTime is how long a stopping instance forwards at least, StopTimeout at most.
	MinStopTime, StopTimeout time.Duration
	// Stream has the timeouts of the stream between instances.
	Stream replica.StreamTiming
	// Forwarding and View have the limits for forwarding decisions.
	Forwarding forwarding.Limits
	View       view.Limits
}

// Timing derives an instance's times from the bounds of its deployment.
func (d Deployment) Timing() Timing {
	changeBound := min(d.ConfigBound, d.DrainBound)
	if d.EvacuationBound > 0 {
		changeBound = min(changeBound, d.EvacuationBound)
	}
	var t Timing

	// A disturbed watch ends within the stable window.
	t.WatchSlack = min(maxWatchSlack, fraction(d.StableWindow, 0.15))
	t.WatchWait = min(maxWatchWait, fraction(d.StableWindow, 0.8))
	// A watch without changes resumes from the previous answer's version, so that two
	// waits have to fit in the history.
	t.WatchWait = min(t.WatchWait, fraction(d.History, 0.45))
	t.InstanceWatchWait = min(maxInstanceWatchWait, fraction(d.History, 0.45))
	t.CallTimeout = min(maxCallTimeout, fraction(d.StableWindow, 0.375))
	t.CallsPerSecond = min(max(d.ReadsPerSecond/callsDivisor, minCallsPerSecond), maxCallsPerSecond)

	// A change is delayed by this once, at the reader.
	t.Coalesce = min(maxCoalesce, fraction(changeBound, 1.0/6))
	// A change that is known in another data centre arrives within 0.8 of the bound.
	t.PeerQueryAfter = min(maxPeerQueryAfter, fraction(changeBound, 0.4))
	t.PeerQueryInterval = min(maxPeerQueryInterval, fraction(changeBound, 0.23))
	t.PeerQueryTimeout = min(maxPeerQueryTimeout, fraction(changeBound, 0.17))
	// A parent reports the end of each of its watches.
	t.ReadStoreAfter = t.WatchWait + time.Second
	// A parent that falls silent costs the idle timeout and this grace, with its jitter.
	t.FollowGrace = fraction(changeBound, 0.1)
	// The bounds apply from the end of the stable window.
	t.StartGrace = fraction(d.StableWindow, 0.4)

	// A silent connection is closed well within the stable window.
	t.Stream.IdleTimeout = min(maxIdleTimeout, fraction(d.StableWindow, 0.45))
	t.Stream.HeartbeatInterval = fraction(t.Stream.IdleTimeout, 1/1.7)

	// The routers notice within 1.5 s that an instance is not ready.
	t.MinStopTime = min(maxMinStopTime, fraction(d.StopGrace, 0.5))
	t.StopTimeout = fraction(d.StopGrace, 0.75)

	// Longer than a store watch and its answer may take.
	t.Forwarding.MaxConfigAge = t.WatchWait + 3*t.WatchSlack
	// A change is known everywhere within 0.8 of its bound, and a retransmission may follow.
	t.Forwarding.EvacuationRepeat = fraction(d.EvacuationBound, 0.1)
	// A target whose entry was lost writes it again at one of its next two heartbeats.
	t.View.ReturnGrace = max(minReturnGrace, fraction(d.Heartbeat, 5.0/3)+returnGraceMargin)
	// A target whose entry is not renewed for three heartbeats is removed from the store.
	t.View.RestoreGrace = max(t.View.ReturnGrace, 3*d.Heartbeat+returnGraceMargin)
	t.View.ForgetAfter = fraction(d.MaxFlow, 1.5)
	return t
}

func fraction(d time.Duration, share float64) time.Duration { return time.Duration(share * float64(d)) }
