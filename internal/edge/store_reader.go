package edge

import (
	"context"
	"math"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"guavaloom.example/guavaloom/internal/logfield"
	"guavaloom.example/guavaloom/internal/metric"
	"guavaloom.example/guavaloom/internal/objectstore"
	"guavaloom.example/guavaloom/internal/rendezvous"
	"guavaloom.example/guavaloom/internal/replica"
)

const (
	// peerQueryDelay is how long a starting instance waits for the store before it also
	// queries other instances. It covers several store calls of 4 ms each and is short
	// because no packet is forwarded meanwhile.
	peerQueryDelay = 50 * time.Millisecond
	// firstStartPeerQueryDelay is the same delay when all instances start together before there
	// is traffic. It is longer because every instance would query the same seeds.
	firstStartPeerQueryDelay = 500 * time.Millisecond
	// firstStartSpread spreads the first lists of instances that start together before there
	// is traffic. Later instances receive the state from earlier ones.
	firstStartSpread = time.Second
	// nonReaderInterval is the mean interval between store calls of instances that are not
	// readers. When the store is down for all instances, shorter intervals would
	// multiply the calls by the size of the fleet.
	nonReaderInterval = 3 * time.Second
	// maxFleetListPages bounds the list pages that the store serves to all instances of a
	// fleet that start at once: about 75 MB, which its link transfers in 0.6 s.
	maxFleetListPages = 500
	// noPageLimit permits a list of any length.
	noPageLimit = math.MaxInt
	// initialParentLookupInterval is how often an instance looks for a parent until all
	// kinds are listed.
	initialParentLookupInterval = 5 * time.Millisecond
	// idleInterval is how often an instance checks whether it needs a source that it does not use.
	idleInterval = 500 * time.Millisecond
	// retryDelay is the delay before the next instance is queried after one did not answer.
	retryDelay = 200 * time.Millisecond
)

// Sources of the view.
const (
	storeSource = "store"
	peerSource  = "peer"
	// rebuildSource is the source of what is applied again after a failure of the program.
	rebuildSource = "rebuild"
	// restoredSource is the source of changes that a restored store showed earlier.
	restoredSource = "restored"
)

// startReading starts the goroutines that keep the replica up to date and register the
// instance.
func (i *Instance) startReading(ctx context.Context) {
	for _, kind := range i.replica.Kinds() {
		i.firstLists.Add(1)
		go func() {
			i.guard("first list", func() { i.listInitially(ctx, kind) })
			i.firstLists.Done()
			i.keepRunning(ctx, "store reader", func(ctx context.Context) { i.readStore(ctx, kind) })
		}()
	}
	go i.keepRunning(ctx, "follower", i.followParent)
	go i.keepRunning(ctx, "comparison", i.queryPeers)
	go i.keepRunning(ctx, "registration", i.keepRegistered)
	go i.keepRunning(ctx, "peer checks", i.watchPeers)
}

// readStore lists and watches a kind in the store while this instance should read it.
func (i *Instance) readStore(ctx context.Context, kind string) {
	wait := i.timing.WatchWait
	if kind == i.platform.InstanceKind {
		wait = i.timing.InstanceWatchWait
	}
	rng := newRand()
	// A parent that waits longer for changes of a kind also reports later that there are none.
	staleAfter := i.timing.ReadStoreAfter + wait - i.timing.WatchWait + time.Duration(rng.Float64()*float64(nonReaderInterval/2))
	plan := replica.NewWatchPlan(wait, i.timing.Coalesce, rng)
	lost := false
	for ctx.Err() == nil {
		if !i.shouldReadStore(kind, staleAfter) {
			plan.Restart()
			sleep(ctx, i.readCheckInterval())
			continue
		}
		began := i.now()
		res := objectstore.Do(ctx, i.platform.Store, plan.Next(kind))
		if ctx.Err() != nil {
			return
		}
		pause := plan.Done(&res)
		lost = i.handleStoreResult(kind, began, &res, lost)
		if lost && !i.readsStore(i.now()) {
			pause = time.Duration((0.5 + rng.Float64()) * float64(nonReaderInterval))
		}
		sleep(ctx, pause)
	}
}

// listInitially reads the first list of a kind, which may be stale. All instances may start
// at once, and their lists must not exhaust the store's rate limit or its link. Newer changes
// follow from the store or from the parent.
func (i *Instance) listInitially(ctx context.Context, kind string) {
	pages := noPageLimit
	if kind == i.platform.InstanceKind {
		defer close(i.instancesListed)
		sleep(ctx, i.firstListDelay())
	} else {
		select {
		case <-i.instancesListed: // the page limit depends on the number of instances
		case <-ctx.Done():
			return
		}
		pages = maxFleetListPages / i.registry.size()
	}
	if i.platform.ListStale == nil || i.listed(kind) {
		return
	}
	l, err := i.platform.ListStale(ctx, kind, pages)
	i.countRead(storeSource, "list_stale", err)
	now := i.now()
	if err == nil {
		i.applyListing(now, kind, storeSource, l, true)
		return
	}
	message := "stale list failed, the store is read for the current one"
	if errors.Is(err, objectstore.ErrTooLong) && !i.registry.isReader() {
		message = "list too long, waiting for it from the parent"
		i.deferredToParent.Store(true)
	}
	i.log.Event(viewClass, message, logrus.Fields{logfield.Kind: kind, logfield.Source: storeSource, logfield.Error: err.Error()})
}

// awaitsParent reports whether a kind that is not listed yet is expected from the parent.
// The instance stops waiting staleAfter after its start.
func (i *Instance) awaitsParent(now, staleAfter time.Duration) bool {
	return i.deferredToParent.Load() && now < staleAfter && !i.registry.isReader()
}

// allListed reports whether every kind has been listed.
func (i *Instance) allListed() bool {
	return !slices.ContainsFunc(i.replica.Kinds(), func(kind string) bool { return !i.listed(kind) })
}

// anyListed reports whether any kind has been listed.
func (i *Instance) anyListed() bool { return slices.ContainsFunc(i.replica.Kinds(), i.listed) }

// listed reports whether a kind has been listed.
func (i *Instance) listed(kind string) bool {
	_, listed := i.replica.Age(i.now(), kind)
	return listed
}

// firstListDelay returns the delay before the first list.
func (i *Instance) firstListDelay() time.Duration {
	if !i.settings.FirstStart {
		return 0
	}
	return time.Duration(rendezvous.Seed(i.settings.Name) % uint64(firstStartSpread))
}

// initialPeerQueryDelay returns how long the store may take to answer the first list before
// other instances are queried too.
func (i *Instance) initialPeerQueryDelay() time.Duration {
	if i.settings.FirstStart {
		return firstStartPeerQueryDelay
	}
	return peerQueryDelay
}

// shouldReadStore reports whether this instance should read a kind from the store. An
// instance that is not a reader uses its replica until it is older than staleAfter.
func (i *Instance) shouldReadStore(kind string, staleAfter time.Duration) bool {
	now := i.now()
	age, ok := i.replica.Age(now, kind)
	if !ok {
		return !i.awaitsParent(now, min(staleAfter, i.timing.ReadStoreAfter+nonReaderInterval/2))
	}
	if i.readsStore(now) {
		return true
	}
	if i.replica.RecentOutage(now) && i.registry.isStandbyReader() {
		return true // the store may refuse only the reader, and answer this instance
	}
	return age > staleAfter && now > staleAfter
}

// readCheckInterval returns how long an instance that does not read a kind from the store sleeps
// before it checks whether it should.
func (i *Instance) readCheckInterval() time.Duration {
	now := i.now()
	detached, _ := i.registry.detachedFor(now)
	if wait := i.untilDetached(now); detached > 0 && wait > 0 {
		return min(wait, idleInterval)
	}
	return idleInterval
}

// handleStoreResult applies the result of a store call and logs when the store becomes
// unavailable or available again. lost is whether it was unavailable before the call; the
// return value is whether it is now.
func (i *Instance) handleStoreResult(kind string, began time.Duration, res *objectstore.Result, lost bool) bool {
	now := i.now()
	i.countRead(storeSource, string(res.Call.Op), res.Err)
	full := res.Call.Op == objectstore.OpList
	if full {
		i.metrics.Histogram(metric.EdgeReadTime, storeSource).Observe(now - began)
	}
	fields := logrus.Fields{logfield.Kind: kind, logfield.Source: storeSource}
	if res.Err != nil {
		expired := errors.Is(res.Err, objectstore.ErrExpired)
		if !expired {
			i.recordStoreFailure(now)
		}
		if !lost || expired {
			age, _ := i.replica.Age(now, kind)
			fields[logfield.Error], fields[logfield.Age] = res.Err.Error(), age.Milliseconds()
			i.log.Event(viewClass, "source failed", fields)
		}
		return !expired || lost
	}
	if lost {
		fields[logfield.Age] = (now - began).Milliseconds()
		i.log.Event(viewClass, "source regained", fields)
	}
	if full {
		// The answer shows the state at some time after the call.
		res.Listing.Age += now - began
	}
	i.applyListing(now, kind, storeSource, res.Listing, full)
	return false
}

// countRead counts a read from a source of the replica.
func (i *Instance) countRead(source, call string, err error) {
	result := "ok"
	if err != nil {
		result = errorLabel(err)
	}
	i.metrics.Counter(metric.EdgeReads, source+":"+call+":"+result).Inc(1)
}

// recordStoreFailure records that the store did not answer.
func (i *Instance) recordStoreFailure(now time.Duration) {
	i.replica.RecordStoreFailure(now)
	i.lockState()
	defer i.mu.Unlock()
	i.forward.View.OutageAt = now
}

// errorLabel returns the metric label of a call's error.
func errorLabel(err error) string {
	for name, e := range map[string]error{
		"expired": objectstore.ErrExpired, "unavailable": objectstore.ErrUnavailable,
		"not_found": objectstore.ErrNotFound, "conflict": objectstore.ErrConflict, "unknown": objectstore.ErrUnknown,
		"silent": replica.ErrIdleTimeout, "too_long": objectstore.ErrTooLong,
	} {
		if errors.Is(err, e) {
			return name
		}
	}
	return "failed"
}

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
