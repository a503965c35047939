package edge

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"guavaloom.example/guavaloom/internal/logfield"
	"guavaloom.example/guavaloom/internal/metric"
	"guavaloom.example/guavaloom/internal/objectstore"
	"guavaloom.example/guavaloom/internal/replica"
)

// followParent follows the parent of this instance in the tree of its data centre,
// while it has one.
func (i *Instance) followParent(ctx context.Context) {
	i.registry.recordUnfollowed(i.now()) // after a panic in an earlier run
	full := false
	for ctx.Err() == nil {
		addr, ok := i.registry.parent()
		if !ok {
			sleep(ctx, i.parentLookupInterval())
			continue
		}
		f := &peerStream{i: i, addr: addr, startedAt: i.now()}
		err := replica.Follow(ctx, i.peerClient, addr.String(), replica.Request{Held: i.heldVersions(full), IdleTimeout: i.timing.Stream.IdleTimeout}, f.handleParentMessage)
		if ctx.Err() != nil {
			return
		}
		i.registry.recordUnfollowed(i.now())
		if full = f.gap; err == nil {
			continue
		}
		f.handleError(err)
		if errors.Is(err, replica.ErrBusy) {
			i.registry.recordBusy(i.now())
		}
		if !f.received {
			sleep(ctx, retryDelay)
		}
	}
}

// parentLookupInterval returns how often an instance without a parent looks for one:
// more often until it has listed all kinds, its data centre's instances among them.
func (i *Instance) parentLookupInterval() time.Duration {
	if !i.allListed() {
		return initialParentLookupInterval
	}
	return idleInterval
}

// queryPeers queries the replicas of other instances: one at a time until all kinds are
// listed, then, while this instance reads the store and its replica may be stale, one
// instance in each of several data centres. The store may answer only some readers, so
// that a change may be known in a single data centre. An instance that receives the changes
// from a parent queries nobody.
func (i *Instance) queryPeers(ctx context.Context) {
	sleep(ctx, i.firstListDelay()+i.initialPeerQueryDelay())
	if i.anyListed() {
		// The store answers. When a whole fleet starts, answers from peers to every
		// instance would load the links between data centres.
		i.firstLists.Wait()
	}
	for ctx.Err() == nil {
		now := i.now()
		rest := i.peerQueryWait(now)
		switch {
		case !i.allListed() && i.awaitsParent(now, i.timing.ReadStoreAfter):
			sleep(ctx, retryDelay)
		case !i.allListed():
			if addr, ok := i.registry.nextPeer(now); ok {
				i.queryPeer(ctx, addr)
			}
			sleep(ctx, retryDelay)
		case rest > 0:
			sleep(ctx, max(rest, idleInterval))
		default:
			i.queryConcurrently(ctx, i.registry.peersToCompare(now))
			sleep(ctx, now+i.timing.PeerQueryInterval-i.now())
		}
	}
}

// queryConcurrently queries several instances at the same time.
func (i *Instance) queryConcurrently(ctx context.Context, addrs []netip.AddrPort) {
	limited, cancel := context.WithTimeout(ctx, i.timing.PeerQueryTimeout)
	defer cancel()
	var all sync.WaitGroup
	for _, addr := range addrs {
		all.Go(func() { i.queryPeer(limited, addr) })
	}
	all.Wait()
}

// queryPeer queries one instance for changes. If another answer replaced the base version of
// these changes meanwhile, it queries the full state.
func (i *Instance) queryPeer(ctx context.Context, addr netip.AddrPort) {
	if f := i.queryPeerOnce(ctx, addr, false); f.gap {
		i.queryPeerOnce(ctx, addr, true)
	}
}

func (i *Instance) queryPeerOnce(ctx context.Context, addr netip.AddrPort, full bool) *peerStream {
	f := &peerStream{i: i, addr: addr, startedAt: i.now()}
	request := replica.Request{Held: i.heldVersions(full), Once: true, Close: !i.allListed(), IdleTimeout: i.timing.Stream.IdleTimeout}
	err := replica.Follow(ctx, i.peerClient, addr.String(), request, func(m replica.Message) (bool, error) {
		_, err := f.handleMessage(m)
		return true, err // a query has one message
	})
	if err != nil {
		f.handleError(err)
	}
	return f
}

// peerQueryWait returns how long to wait before the next query of other instances, once all
// kinds are listed. The age of the list of instances does not count.
func (i *Instance) peerQueryWait(now time.Duration) time.Duration {
	if !i.readsStore(now) {
		return idleInterval
	}
	return max(i.timing.PeerQueryAfter-i.viewAge(now), 0)
}

// heldVersions returns the replica's version of each kind. It is 0, which requests the full
// state, if full is set or no source confirmed the kind: a stale list may show a state from
// before a restore of the store, to which no changes apply.
func (i *Instance) heldVersions(full bool) map[string]objectstore.Version {
	held := map[string]objectstore.Version{}
	for _, kind := range i.replica.Kinds() {
		held[kind] = 0
		if v := i.replica.Version(kind); !full && v.Epoch() > 0 {
			held[kind] = v
		}
	}
	return held
}

// peerStream receives the replica of another instance over one connection.
type peerStream struct {
	i         *Instance
	addr      netip.AddrPort
	startedAt time.Duration // when the request was made
	received  bool
	gap       bool // a change did not apply to the version held
}

// handleMessage applies a message and reports whether the sender is still the parent to follow.
func (f *peerStream) handleMessage(m replica.Message) (bool, error) {
	i, now := f.i, f.i.now()
	if !f.received {
		f.received = true
		i.metrics.Histogram(metric.EdgeReadTime, peerSource).Observe(now - f.startedAt)
	}
	for n := range m.Frames {
		frame := &m.Frames[n]
		if err := i.replica.ExpandDeltas(frame); err != nil {
			f.gap = true
			return false, err
		}
		i.countRead(peerSource, "told", nil)
		i.applyListing(now, frame.Kind, peerSource, frame.Listing, frame.Full)
	}
	if i.registry.recordAnswer(now, f.addr) {
		i.log.Event(viewClass, "source regained", logrus.Fields{logfield.Source: peerSource, logfield.Peer: f.addr.String()})
	}
	return i.registry.isParent(f.addr), nil
}

// handleParentMessage applies a message of the parent and reports whether it is still the one to
// follow.
func (f *peerStream) handleParentMessage(m replica.Message) (bool, error) {
	more, err := f.handleMessage(m)
	if err == nil && more && f.i.registry.recordFollowed(f.addr) {
		f.i.log.Event(viewClass, "following", logrus.Fields{logfield.Peer: f.addr.String()})
	}
	return more, err
}

// handleError records the failure of a connection and logs it if the peer answered before.
func (f *peerStream) handleError(err error) {
	i, now := f.i, f.i.now()
	i.countRead(peerSource, "follow", err)
	if f.gap || errors.Is(err, replica.ErrBusy) {
		i.registry.recordRefusal(now, f.addr)
		return // the peer is alive; it or another instance is queried next
	}
	if i.registry.recordFailure(now, f.addr) {
		i.log.Event(viewClass, "source failed", logrus.Fields{
			logfield.Source: peerSource, logfield.Peer: f.addr.String(),
			logfield.Error: err.Error(), logfield.Age: i.viewAge(now).Milliseconds(),
		})
	}
}

// viewAge returns the age of the configuration, the targets or the evacuations, whichever is
// the oldest.
func (i *Instance) viewAge(now time.Duration) time.Duration {
	var oldest time.Duration
	for _, kind := range i.platform.kinds() {
		if kind == i.platform.InstanceKind {
			continue
		}
		age, _ := i.replica.Age(now, kind)
		oldest = max(oldest, age)
	}
	return oldest
}

// peerHandler serves the replica to other instances until this one stops.
func (i *Instance) peerHandler() http.Handler {
	return i.replica.Handler(i.timing.Stream, i.now, i.stopped)
}
