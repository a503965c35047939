package rollout

import (
	"fmt"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"guavaloom.example/guavaloom/internal/bundle"
	"guavaloom.example/guavaloom/internal/objectstore"
	"guavaloom.example/guavaloom/internal/zone"
)

// Keys in the platform's store.
const (
	// BundlePrefix is the prefix that readers watch.
	BundlePrefix = "bundle/"
	// CurrentKey is the key of the current bundle's manifest.
	CurrentKey = "bundle/current"
	// PartPrefix, followed by a digest in hexadecimal, is the key of a part.
	PartPrefix = "part/"
	// StatusPrefix, followed by a zone's name, is the key of the zone's Status.
	StatusPrefix = "status/"
	// EvacuationPrefix, followed by a zone's name, is the key of the request to evacuate it.
	EvacuationPrefix = "evacuations/"
)

// PartKey returns the key of a part.
func PartKey(d bundle.Digest) string { return PartPrefix + d.String() }

const (
	// watchWait is how long the store may hold one watch call open.
	watchWait = 20 * time.Second
	// callTimeout is the deadline of a call beyond its wait. It covers the retries that
	// the platform client makes itself.
	callTimeout = 15 * time.Second
	// relistInterval bounds how long a change that a watch failed to report stays unnoticed.
	relistInterval = 30 * time.Second
	// instancesInterval is the time between two polls of the platform's list.
	instancesInterval = 10 * time.Second
	backoffMin        = 500 * time.Millisecond
	backoffMax        = 16 * time.Second
	// maxPartGets bounds the concurrent gets of single parts; if more parts are missing,
	// one call lists them all.
	maxPartGets = 8
)

type purpose uint8

const (
	forList purpose = iota
	forWatch
	forPart
	forInstances
	forStatusRead
	forStatusWrite
)

type pendingCall struct {
	purpose  purpose
	deadline time.Duration
}

// readerState is the state of a node that reads the store.
type readerState struct {
	active  bool
	lastID  uint64
	pending map[uint64]pendingCall
	// watching is set while a list or watch call is in progress; if it is not, the next
	// list call is made at nextList. relistAt is when a watch is replaced by a list call.
	watching      bool
	nextList      time.Duration
	relistAt      time.Duration
	backoff       time.Duration
	nextInstances time.Duration
	// storeOlder is set while the store shows an older revision than the held one.
	storeOlder bool
	// storeEpoch is the epoch of the store at the last read.
	storeEpoch uint64
	epochKnown bool // storeEpoch was read
}

// setRoles makes the node a reader or leader, or ends these roles, according to the view.
func (n *Node) setRoles(now time.Duration) {
	if active := n.isReader(); active != n.reader.active {
		n.reader.active, n.reader.watching, n.reader.storeOlder = active, false, false
		n.reader.nextList, n.reader.backoff = now, 0
		n.abandon(forList, forWatch, forPart)
	}
	n.setLeading(now, n.view.Leader.Same(n.cfg.Self))
}

// abandon removes the pending calls of the given purposes; their results will be ignored.
func (n *Node) abandon(purposes ...purpose) {
	for id, p := range n.reader.pending {
		for _, q := range purposes {
			if p.purpose == q {
				delete(n.reader.pending, id)
			}
		}
	}
}

func (n *Node) call(now time.Duration, p purpose, c objectstore.Call) {
	n.reader.lastID++
	c.ID = n.reader.lastID
	n.reader.pending[c.ID] = pendingCall{p, now + c.Wait + callTimeout}
	n.emit(StoreCall{c})
}

func (n *Node) tickReader(now time.Duration) {
	r := &n.reader
	n.expireCalls(now)
	if (r.active || n.leader.active) && now >= r.nextInstances {
		r.nextInstances = now + instancesInterval
		n.call(now, forInstances, objectstore.Call{Op: objectstore.OpInstances})
	}
	if !r.active {
		return
	}
	if r.watching && now >= r.relistAt {
		n.abandon(forWatch)
		r.watching, r.nextList = false, now
	}
	if !r.watching && now >= r.nextList {
		r.watching = true
		r.relistAt = now + relistInterval
		n.call(now, forList, objectstore.Call{Op: objectstore.OpList, Key: BundlePrefix})
	}
}

// expireCalls removes calls that passed their deadline. After a list or watch call, it
// schedules a new list call.
func (n *Node) expireCalls(now time.Duration) {
	for id, p := range n.reader.pending {
		if now < p.deadline {
			continue
		}
		delete(n.reader.pending, id)
		switch p.purpose {
		case forWatch:
			n.report(WatchSilent, "watch call got no answer within its deadline")
			n.readFailed(now)
		case forList:
			n.readFailed(now)
		case forStatusRead, forStatusWrite:
			n.leader.callPending = false
			n.leader.storedCurrent = false
		}
	}
}

// readFailed schedules the next list call with exponential backoff and jitter.
func (n *Node) readFailed(now time.Duration) {
	r := &n.reader
	r.watching = false
	r.backoff = min(max(2*r.backoff, backoffMin), backoffMax)
	r.nextList = now + time.Duration(float64(r.backoff)*(0.5+n.rng.Float64()))
}

func (n *Node) onStoreResult(now time.Duration, res objectstore.Result) {
	p, expected := n.reader.pending[res.Call.ID]
	if !expected {
		return
	}
	delete(n.reader.pending, res.Call.ID)
	if res.Err != nil && !errors.Is(res.Err, objectstore.ErrNotFound) && !errors.Is(res.Err, objectstore.ErrConflict) {
		n.report(StoreFailed, fmt.Sprintf("%s %s: %v", res.Call.Op, res.Call.Key, res.Err))
	}
	switch p.purpose {
	case forList, forWatch:
		n.onBundleRead(now, res)
	case forPart:
		n.onPartRead(now, res)
	case forInstances:
		if res.Err == nil {
			n.emit(Listed{res.Instances})
		}
	case forStatusRead:
		n.onStatusRead(now, res)
	case forStatusWrite:
		n.onStatusWritten(now, res)
	}
}

// onPartRead continues the fetch once all pending part reads are answered. If none of
// them returned a missing part, only tickFetch repeats them, so that an altered or
// absent part does not cause a burst of calls.
func (n *Node) onPartRead(now time.Duration, res objectstore.Result) {
	f := n.fetch
	if res.Err != nil || f == nil {
		return
	}
	before := f.missing
	n.addParts(now, values(res.Listing))
	if n.fetch != f {
		return
	}
	f.progress = f.progress || !slices.Equal(f.missing, before)
	for _, p := range n.reader.pending {
		if p.purpose == forPart {
			return
		}
	}
	if f.progress {
		n.readParts(now)
	}
}

func values(l objectstore.Listing) [][]byte {
	var v [][]byte
	for _, o := range l.Objects {
		v = append(v, o.Value)
	}
	return v
}

// onBundleRead handles the result of a list or watch call and starts the next watch.
func (n *Node) onBundleRead(now time.Duration, res objectstore.Result) {
	if !n.reader.active {
		return
	}
	if res.Err != nil {
		n.readFailed(now)
		return
	}
	n.reader.backoff = 0
	n.noteEpoch(res.Listing.Version.Epoch())
	found := false
	for _, o := range res.Listing.Objects {
		if o.Key == CurrentKey && !o.Deleted {
			found = true
			n.onManifest(now, o.Value)
		}
	}
	if res.Call.Op == objectstore.OpList && !found && n.held != nil {
		n.compareStored(zone.Revision{})
	}
	n.call(now, forWatch, objectstore.Call{Op: objectstore.OpWatch, Key: BundlePrefix, Version: res.Listing.Version, Wait: watchWait})
}

// noteEpoch records the epoch of the store and reports that it was restored.
func (n *Node) noteEpoch(epoch uint64) {
	if before := n.reader.storeEpoch; epoch > before && n.reader.epochKnown {
		n.report(StoreRestored, fmt.Sprintf("store was restored from an older copy: epoch %d, before %d", epoch, before))
	}
	n.reader.storeEpoch, n.reader.epochKnown = max(n.reader.storeEpoch, epoch), true
}

// onManifest handles the store's manifest, which may be stale, restored or altered.
func (n *Node) onManifest(now time.Duration, raw []byte) {
	m, h, err := n.cfg.Policy.VerifyManifest(raw)
	if err != nil {
		n.report(RefusedBundle, err.Error())
		return
	}
	n.compareStored(h.Revision)
	if h.Revision == n.Held() && m.Digest() != n.held.digest {
		n.report(SameRevision, fmt.Sprintf("store holds a different bundle with revision %s", h.Revision))
	}
	if n.held == nil && !n.peerAnswered && n.hasPeers() && now < n.started+StartupGrace {
		// Peers are preferred during the grace period; the list call is repeated after it.
		n.reader.relistAt = min(n.reader.relistAt, n.started+StartupGrace)
		return
	}
	d := Digest{h.Revision, m.Digest()}
	if f := n.fetch; f != nil && f.wanted == d {
		f.inStore, f.rawManifest, f.manifest = true, raw, m
	} else if n.shouldFetch(h.Revision) && !n.avoids(now, d) {
		n.fetch = n.newFetch(now, d)
		n.fetch.inStore, n.fetch.rawManifest, n.fetch.manifest = true, raw, m
	} else {
		return
	}
	n.addParts(now, nil)
	if n.fetch != nil {
		n.readParts(now)
	}
}

// compareStored compares the store's revision, zero if it has none, with the held one.
// An older revision shows that the store was restored; the next acknowledgement
// reports this to the leader.
func (n *Node) compareStored(r zone.Revision) {
	older := r.Compare(n.Held()) < 0
	if older && !n.reader.storeOlder {
		n.report(StoreOlder, fmt.Sprintf("store has revision %s, held is %s", r, n.Held()))
	}
	n.reader.storeOlder = older
}

// readParts reads the missing parts of the current fetch from the store.
func (n *Node) readParts(now time.Duration) {
	n.abandon(forPart)
	n.fetch.progress = false
	missing := n.fetch.missing
	if len(missing) > maxPartGets {
		n.call(now, forPart, objectstore.Call{Op: objectstore.OpList, Key: PartPrefix})
		return
	}
	for _, d := range missing {
		n.call(now, forPart, objectstore.Call{Op: objectstore.OpGet, Key: PartKey(d)})
	}
}
