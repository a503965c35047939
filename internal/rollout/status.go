package rollout

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"guavaloom.example/guavaloom/internal/bundle"
	"guavaloom.example/guavaloom/internal/instance"
	"guavaloom.example/guavaloom/internal/objectstore"
	"guavaloom.example/guavaloom/internal/zone"
)

const (
	// statusInterval is the least time between two writes of a zone's status.
	statusInterval = 500 * time.Millisecond
	// statusRereadInterval is the interval at which the leader compares the stored status
	// with its own, to repair it after the store was restored.
	statusRereadInterval = 30 * time.Second
	// restoredRereadInterval replaces statusRereadInterval while the store is known to be
	// restored, since it may be restored once more.
	restoredRereadInterval = 2 * time.Second
	// collectTime is how long a new leader collects acknowledgements before it writes the status.
	collectTime = 2 * time.Second
	maxLaggards = 16
	// maxReferred keeps a status and an acknowledgement far below the value limit.
	maxReferred = 256
)

// Laggard is an instance that does not route by the newest revision held in its zone.
type Laggard struct {
	Instance instance.ID   `json:"instance"`
	InForce  zone.Revision `json:"in_force"`
	Reason   string        `json:"reason"`
}

// Status is the value of a zone's status object, written as JSON by the zone's leader.
type Status struct {
	Zone   string      `json:"zone"`
	Leader instance.ID `json:"leader"`
	// Held is the highest revision that an instance of the zone holds.
	Held zone.Revision `json:"held"`
	// InForce is the highest revision that every instance that was not gone has
	// acknowledged as the one it routes by. It never decreases.
	InForce zone.Revision `json:"in_force"`
	// Acked is the lowest revision in force at any instance that is not gone now or
	// that is lapsed: a recent member that did not leave gracefully.
	Acked     zone.Revision  `json:"acked"`
	Instances int            `json:"instances"`
	Counts    map[string]int `json:"counts"` // instances by revision in force
	// Laggards lists the first 16 by name.
	Laggards []Laggard `json:"laggards,omitempty"`
	// Referred lists address uses that a table or pin refers to and the held bundle lacks.
	Referred  []bundle.AddressUse `json:"referred,omitempty"`
	Truncated bool                `json:"truncated,omitempty"`
	// StoreOlder is set while a reader sees an older revision in the store than it holds.
	StoreOlder bool `json:"store_older,omitempty"`
	// StoreEpoch is the epoch of the store that the leader knows. A status of an earlier epoch
	// than the store's was written before the store was restored, and may be outdated.
	StoreEpoch uint64 `json:"store_epoch,omitempty"`
}

// leaderState is the state of a node that leads its zone.
type leaderState struct {
	active   bool
	since    time.Duration
	acks     map[string]Ack // by Ref.String
	referred map[bundle.AddressUse]time.Duration
	// withheldStale is set when referred has changed since withheld was computed.
	withheldStale bool
	conflicts     []bundle.AddressUse // withheld because of references
	collected     bool                // collectTime is over
	inForce       zone.Revision
	// stored is the last known content of the status object; storedCurrent is false when
	// it must be read again.
	stored        []byte
	version       objectstore.Version
	storedCurrent bool
	readAt        time.Duration
	callPending   bool
	nextCall      time.Duration
	storeOlder    bool // some reader sees an older revision in the store than it holds
	// storeEpoch is the highest epoch of the store that the leader or a reader has seen.
	storeEpoch uint64
}

// nextReread returns when the stored status must be read again.
func (l *leaderState) nextReread() time.Duration {
	if l.storeOlder {
		return l.readAt + restoredRereadInterval
	}
	return l.readAt + statusRereadInterval
}

func (n *Node) setLeading(now time.Duration, active bool) {
	if active == n.leader.active {
		return
	}
	n.abandon(forStatusRead, forStatusWrite)
	n.leader = leaderState{active: active, since: now, acks: make(map[string]Ack), referred: make(map[bundle.AddressUse]time.Duration)}
}

// acknowledge sends the acknowledgement to the leader when it or the leader has
// changed, and at intervals.
func (n *Node) acknowledge(now time.Duration) {
	a := Ack{Held: n.Held(), StoreOlder: n.reader.active && n.reader.storeOlder, StoreEpoch: n.reader.storeEpoch}
	a.InForce, a.Reason = n.inForce()
	a.Referred, a.Truncated = n.extraUses[:min(len(n.extraUses), maxReferred)], len(n.extraUses) > maxReferred
	to := n.view.Leader
	if to.ID == "" || sameAck(a, n.lastAck) && to.Same(n.ackedTo) && now < n.nextAck {
		return
	}
	n.ackDelay = min(2*n.ackDelay, AckInterval)
	if !sameAck(a, n.lastAck) || !to.Same(n.ackedTo) {
		n.ackDelay = AckRetry
	}
	n.lastAck, n.ackedTo = a, to
	n.nextAck = now + n.ackDelay
	if to.Same(n.cfg.Self) {
		n.onAck(now, to, a)
		return
	}
	n.send(to, a)
}

func sameAck(x, y Ack) bool {
	return x.Held == y.Held && x.InForce == y.InForce && x.Reason == y.Reason && x.Truncated == y.Truncated &&
		x.StoreOlder == y.StoreOlder && x.StoreEpoch == y.StoreEpoch && slices.Equal(x.Referred, y.Referred)
}

func (n *Node) onAck(now time.Duration, from instance.Ref, a Ack) {
	if !n.leader.active {
		return
	}
	n.leader.acks[from.String()] = a
	n.leader.raiseEpoch(a.StoreEpoch)
	for _, u := range a.Referred {
		if _, known := n.leader.referred[u]; !known {
			n.leader.withheldStale = true
		}
		n.leader.referred[u] = now
	}
	n.leader.withheldStale = n.leader.withheldStale || len(n.leader.conflicts) > 0
	n.updateReferences(now)
}

// raiseEpoch records an epoch of the store. In a later one the stored status may be an older
// one or missing, and has to be read again.
func (l *leaderState) raiseEpoch(epoch uint64) {
	if epoch > l.storeEpoch {
		l.storeEpoch, l.storedCurrent = epoch, false
	}
}

// updateReferences recomputes the withheld uses if the zone's references have changed
// or the collection time of a new leader has ended.
func (n *Node) updateReferences(now time.Duration) {
	l := &n.leader
	if !l.collected && now >= l.since+collectTime {
		l.collected, l.withheldStale = true, true
	}
	if l.withheldStale {
		l.withheldStale = false
		n.updateWithheld()
	}
}

// tickLeader merges the acknowledgements and writes the status if it has changed.
func (n *Node) tickLeader(now time.Duration) {
	l := &n.leader
	if !l.active {
		return
	}
	for u, seen := range l.referred {
		if now >= seen+ReferenceHold {
			delete(l.referred, u)
			l.withheldStale = true
		}
	}
	n.updateReferences(now)
	if l.callPending || now < l.since+collectTime || now < l.nextCall {
		return
	}
	if !l.storedCurrent || now >= l.nextReread() {
		l.callPending = true
		n.call(now, forStatusRead, objectstore.Call{Op: objectstore.OpGet, Key: n.statusKey()})
		return
	}
	value := n.mergeStatus()
	if string(value) == string(l.stored) {
		return
	}
	l.callPending = true
	l.nextCall = now + statusInterval
	n.call(now, forStatusWrite, objectstore.Call{Op: objectstore.OpPut, Key: n.statusKey(), Value: value, Version: l.version})
}

func (n *Node) statusKey() string { return StatusPrefix + n.cfg.Self.Zone }

// mergeStatus computes the zone's status from the acknowledgements of all instances that are not gone.
func (n *Node) mergeStatus() []byte {
	l := &n.leader
	s := Status{Zone: n.cfg.Self.Zone, Leader: n.cfg.Self.ID, Counts: make(map[string]int), StoreEpoch: l.storeEpoch}
	refs := newestRuns(n.view.NotGone)
	s.Instances = len(refs)
	acks := make(map[string]Ack, len(refs))
	for i, ref := range refs {
		a, found := l.acks[ref.String()]
		if found {
			acks[ref.String()] = a
		}
		s.Counts[a.InForce.String()]++
		s.StoreOlder = s.StoreOlder || a.StoreOlder
		s.Truncated = s.Truncated || a.Truncated
		if a.Held.Compare(s.Held) > 0 {
			s.Held = a.Held
		}
		if i == 0 || a.InForce.Compare(s.Acked) < 0 {
			s.Acked = a.InForce
		}
	}
	l.storeOlder = s.StoreOlder
	for _, ref := range n.view.Lapsed {
		if a, found := l.acks[ref.String()]; found {
			acks[ref.String()] = a
		}
	}
	l.acks = acks
	if s.Acked.Compare(l.inForce) > 0 {
		l.inForce = s.Acked
	}
	s.InForce = l.inForce
	s.Acked = n.ackedByLapsed(s.Acked)
	s.Laggards = laggards(refs, acks, s.Held)
	s.Referred = slices.SortedFunc(maps.Keys(l.referred), bundle.AddressUse.Compare)
	if len(s.Referred) > maxReferred {
		s.Referred, s.Truncated = s.Referred[:maxReferred], true
	}
	value, err := json.Marshal(s)
	if err != nil {
		panic(err) // Status holds only plain values.
	}
	return value
}

// ackedByLapsed returns the lowest of acked and what the lapsed members have
// acknowledged, which is zero for one without an acknowledgement.
func (n *Node) ackedByLapsed(acked zone.Revision) zone.Revision {
	for _, ref := range n.view.Lapsed {
		if a := n.leader.acks[ref.String()]; a.InForce.Compare(acked) < 0 {
			acked = a.InForce
		}
	}
	return acked
}

// newestRuns returns the references sorted, with only the latest incarnation of each
// instance: a restart shows that the former incarnation is gone.
func newestRuns(refs []instance.Ref) []instance.Ref {
	refs = slices.Clone(refs)
	slices.SortFunc(refs, instance.Ref.Compare)
	newest := refs[:0]
	for i, r := range refs {
		if i+1 == len(refs) || refs[i+1].ID != r.ID {
			newest = append(newest, r)
		}
	}
	return newest
}

func laggards(refs []instance.Ref, acks map[string]Ack, newest zone.Revision) []Laggard {
	var list []Laggard
	for _, ref := range refs {
		a, found := acks[ref.String()]
		if found && a.InForce.Compare(newest) >= 0 {
			continue
		}
		reason := a.Reason
		switch {
		case !found:
			reason = "has not acknowledged to the leader"
		case a.Held.Compare(newest) < 0:
			reason = fmt.Sprintf("holds revision %s", a.Held)
		}
		if list = append(list, Laggard{ref.ID, a.InForce, reason}); len(list) == maxLaggards {
			break
		}
	}
	return list
}

func (n *Node) onStatusRead(now time.Duration, res objectstore.Result) {
	l := &n.leader
	l.callPending = false
	switch {
	case res.Err == nil:
		o := res.Listing.Objects[0]
		l.stored, l.version = o.Value, o.Version
		l.raiseEpoch(o.Version.Epoch())
		var s Status
		if json.Unmarshal(o.Value, &s) == nil && s.InForce.Compare(l.inForce) > 0 {
			l.inForce = s.InForce
		}
	case errors.Is(res.Err, objectstore.ErrNotFound):
		l.stored, l.version = nil, 0
	default:
		l.nextCall = now + n.retryDelay()
		return
	}
	l.storedCurrent, l.readAt = true, now
}

// onStatusWritten records a successful write. After any error, such as a lost answer, a
// conflict with a former leader or an outage, the object is read again.
func (n *Node) onStatusWritten(now time.Duration, res objectstore.Result) {
	l := &n.leader
	l.callPending = false
	if res.Err != nil {
		l.storedCurrent = false
		l.nextCall = now + n.retryDelay()
		if errors.Is(res.Err, objectstore.ErrConflict) {
			l.nextCall = now // the object was restored, or a former leader wrote it
		}
		return
	}
	l.stored, l.version = res.Call.Value, res.Version
	l.storeEpoch = max(l.storeEpoch, res.Version.Epoch())
}

func (n *Node) retryDelay() time.Duration {
	return time.Duration(float64(4*statusInterval) * (0.5 + n.rng.Float64()))
}
