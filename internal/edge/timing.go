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
	// DrainBound is how soon a target that drains must get no new flows.
	DrainBound time.Duration
	// StableWindow is how long an instance must have been undisturbed for the bounds
	// to hold for it.
	StableWindow time.Duration
	// Heartbeat is how often a target writes its entry.
	Heartbeat time.Duration
	// MaxFlow is the longest life of a flow.
	MaxFlow time.Duration
	// History is how long the store keeps the changes that a watch can go back to.
	History time.Duration
	// ReadsPerSecond is how many reading calls the store grants to all instances.
	ReadsPerSecond uint64
}

// DefaultDeployment returns the bounds that hold where the settings give none.
func DefaultDeployment() Deployment {
	return Deployment{
		StopGrace: 6 * time.Second, ConfigBound: 3 * time.Second, DrainBound: 3 * time.Second,
		StableWindow: 4 * time.Second, Heartbeat: 1200 * time.Millisecond, MaxFlow: time.Minute,
		History: 20 * time.Second, ReadsPerSecond: 2000,
	}
}

// Longest values of the derived times. Wider bounds of a deployment don't extend them,
// since a longer wait would only hide a failure for longer.
const (
	maxWatchWait         = 3200 * time.Millisecond
	maxInstanceWatchWait = 20 * time.Second
	maxWatchSlack        = 600 * time.Millisecond
	maxCallTimeout       = 1500 * time.Millisecond
	maxCoalesce          = 500 * time.Millisecond
	maxPeerQueryAfter    = 1200 * time.Millisecond
	maxPeerQueryInterval = 700 * time.Millisecond
	maxPeerQueryTimeout  = 500 * time.Millisecond
	maxSilence           = 1700 * time.Millisecond
	maxMinStopTime       = 1500 * time.Millisecond
)

const (
	// minReturnGrace covers the two seconds that the users state for entries that
	// lapsed while the store was away, and their way through store and instances.
	minReturnGrace = 3 * time.Second
	// returnGraceMargin is the part of the grace beyond the heartbeats.
	returnGraceMargin = time.Second
	// callsDivisor makes the limit of one instance a hundredth of the calls that the
	// store grants to all, between minCalls and maxCalls a second.
	callsDivisor      = 100
	minCallsPerSecond = 5
	maxCallsPerSecond = 20
)

// Timing holds the pauses, limits and deadlines of an instance.
type Timing struct {
	// WatchWait is how long a watch of the store waits for a change, InstanceWatchWait the
	// same for the list of instances, which may be old. WatchSlack is how long after
	// that its answer may take, CallTimeout how long that of other calls.
	WatchWait, InstanceWatchWait, WatchSlack, CallTimeout time.Duration
	// CallsPerSecond bounds the calls to the store.
	CallsPerSecond uint64
	// Coalesce is the pause after an answer with changes.
	Coalesce time.Duration
	// PeerQueryAfter is the age of the replica from which a reader asks other data centres
	// too, PeerQueryInterval how often, PeerQueryTimeout the limit of such a call.
	PeerQueryAfter, PeerQueryInterval, PeerQueryTimeout time.Duration
	// ReadStoreAfter is the age of the replica from which an instance that reads from
	// others turns to the store.
	ReadStoreAfter time.Duration
	// MinStopTime is how long a stopping instance forwards at least, StopTimeout at most.
	MinStopTime, StopTimeout time.Duration
	// Stream has the times of the stream between instances.
	Stream replica.StreamTiming
	// Forwarding and View have those of the decisions.
	Forwarding forwarding.Limits
	View       view.Limits
}

// Timing derives an instance's times from the bounds of its deployment.
func (d Deployment) Timing() Timing {
	changeBound := min(d.ConfigBound, d.DrainBound)
	var t Timing

	// A watch that was disturbed has ended when the stable window has.
	t.WatchSlack = min(maxWatchSlack, fraction(d.StableWindow, 0.15))
	t.WatchWait = min(maxWatchWait, fraction(d.StableWindow, 0.8))
	// A quiet watch goes on one answer behind, so that two have to fit the history.
	t.WatchWait = min(t.WatchWait, fraction(d.History, 0.45))
	t.InstanceWatchWait = min(maxInstanceWatchWait, fraction(d.History, 0.45))
	t.CallTimeout = min(maxCallTimeout, fraction(d.StableWindow, 0.375))
	t.CallsPerSecond = min(max(d.ReadsPerSecond/callsDivisor, minCallsPerSecond), maxCallsPerSecond)

	// A change waits for one pause at the reader.
	t.Coalesce = min(maxCoalesce, fraction(changeBound, 1.0/6))
	// A change that another data centre knows of is learned within 0.8 of the bound.
	t.PeerQueryAfter = min(maxPeerQueryAfter, fraction(changeBound, 0.4))
	t.PeerQueryInterval = min(maxPeerQueryInterval, fraction(changeBound, 0.23))
	t.PeerQueryTimeout = min(maxPeerQueryTimeout, fraction(changeBound, 0.17))
	// A source tells the end of each of its watches.
	t.ReadStoreAfter = t.WatchWait + time.Second

	// A connection that fell silent is left well within the stable window.
	t.Stream.IdleTimeout = min(maxSilence, fraction(d.StableWindow, 0.45))
	t.Stream.HeartbeatInterval = fraction(t.Stream.IdleTimeout, 1/1.7)

	// The routers notice within 1.5 s that an instance is not ready.
	t.MinStopTime = min(maxMinStopTime, fraction(d.StopGrace, 0.5))
	t.StopTimeout = fraction(d.StopGrace, 0.75)

	// Longer than a watch of the store and its answer may take.
	t.Forwarding.MaxConfigAge = t.WatchWait + 3*t.WatchSlack
	// A target that lost its entry writes it again with one of its next two heartbeats.
	t.View.ReturnGrace = max(minReturnGrace, fraction(d.Heartbeat, 5.0/3)+returnGraceMargin)
	t.View.ForgetAfter = fraction(d.MaxFlow, 1.5)
	return t
}

func fraction(d time.Duration, share float64) time.Duration { return time.Duration(share * float64(d)) }
