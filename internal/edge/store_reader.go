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
	// peerQueryDelay is how long a starting instance waits for the store before it asks
	// other instances too: some calls of 4 ms. No packet is forwarded meanwhile.
	peerQueryDelay = 50 * time.Millisecond
	// firstStartPeerQueryDelay is the same where all instances start together, before there is
	// traffic: those that all settings name would be asked by every one.
	firstStartPeerQueryDelay = 500 * time.Millisecond
	// firstStartSpread is the time over which instances that all start together,
	// before there is traffic, turn to the store; later ones hear from earlier ones.
	firstStartSpread = time.Second
	// nonReaderInterval is the mean pause between calls to the store of instances that
	// should not need it. When the store is down for all, they would otherwise
	// multiply the calls by their number.
	nonReaderInterval = 3 * time.Second
	// maxFleetListPages is how many pages of lists the store gives to all instances of a fleet that
	// start at once: some 75 MB, which take its link 0.6 s.
	maxFleetListPages = 500
	// noPageLimit lets a list have any length.
	noPageLimit = math.MaxInt
	// initialParentLookupInterval is the pause between looks for a parent until the instances are known.
	initialParentLookupInterval = 5 * time.Millisecond
	// idleInterval is the pause before a source that is not needed is considered again.
	idleInterval = 500 * time.Millisecond
	// retryDelay is the pause before another instance is asked in place of one that
	// did not answer.
	retryDelay = 200 * time.Millisecond
)

// Sources of the view.
const (
	storeSource = "store"
	peerSource  = "peer"
)

// startReading starts to follow all kinds.
func (i *Instance) startReading(ctx context.Context) {
	for _, kind := range i.replica.Kinds() {
		i.firstLists.Add(1)
		go i.readStore(ctx, kind)
	}
	go i.followParent(ctx)
	go i.queryPeers(ctx)
	go i.ensureRegistered(ctx)
}

// readStore follows a kind at the store, as long as this instance should.
func (i *Instance) readStore(ctx context.Context, kind string) {
	i.listInitially(ctx, kind)
	i.firstLists.Done()
	wait := i.timing.WatchWait
	if kind == i.platform.InstanceKind {
		wait = i.timing.InstanceWatchWait
	}
	rng := newRand()
	staleAfter := i.timing.ReadStoreAfter + time.Duration(rng.Float64()*float64(nonReaderInterval/2))
	plan := replica.NewWatchPlan(wait, i.timing.Coalesce, rng)
	lost := false
	for ctx.Err() == nil {
		if !i.shouldReadStore(kind, staleAfter) {
			plan.Restart()
			sleep(ctx, idleInterval)
			continue
		}
		began := i.now()
		res := objectstore.Do(ctx, i.platform.Store, plan.Next(kind))
		if ctx.Err() != nil {
			return
		}
		pause := plan.Done(&res)
		lost = i.handleStoreResult(kind, began, &res, lost)
		if lost && !i.registry.isReader(i.now()) {
			pause = time.Duration((0.5 + rng.Float64()) * float64(nonReaderInterval))
		}
		sleep(ctx, pause)
	}
}

// listInitially learns a kind at the start by a list that may be old. All instances may start
// at once, and the list of each of them must not use up the store's rate or its link; what
// is missing in it comes from the store or from the parent in the tree a moment later.
func (i *Instance) listInitially(ctx context.Context, kind string) {
	pages := noPageLimit
	if kind == i.platform.InstanceKind {
		defer close(i.instancesListed)
		sleep(ctx, i.firstListDelay())
	} else {
		select {
		case <-i.instancesListed: // they tell how much the store can give to each
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
	message := "no stale list, the store is asked for its present one"
	if errors.Is(err, objectstore.ErrTooLong) && !i.registry.isReader(now) {
		message = "list is left to the parent"
		i.deferredToParent.Store(true)
	}
	i.log.Event(viewClass, message, logrus.Fields{logfield.Kind: kind, logfield.Source: storeSource, logfield.Error: err.Error()})
}

// awaitsParent reports whether what was not listed yet is expected from the parent, up to
// the age staleAfter of this instance.
func (i *Instance) awaitsParent(now, staleAfter time.Duration) bool {
	return i.deferredToParent.Load() && now < staleAfter && !i.registry.isReader(now)
}

// allListed reports whether something is known of each kind.
func (i *Instance) allListed() bool {
	return !slices.ContainsFunc(i.replica.Kinds(), func(kind string) bool { return !i.listed(kind) })
}

// anyListed reports whether something is known of any kind.
func (i *Instance) anyListed() bool { return slices.ContainsFunc(i.replica.Kinds(), i.listed) }

// listed reports whether something is known of a kind.
func (i *Instance) listed(kind string) bool {
	_, listed := i.replica.Age(i.now(), kind)
	return listed
}

// firstListDelay returns the pause before the first list.
func (i *Instance) firstListDelay() time.Duration {
	if !i.settings.FirstStart {
		return 0
	}
	return time.Duration(rendezvous.Seed(i.settings.Name) % uint64(firstStartSpread))
}

// initialPeerQueryDelay returns how long the store may take to answer the first list before other
// instances are asked too.
func (i *Instance) initialPeerQueryDelay() time.Duration {
	if i.settings.FirstStart {
		return firstStartPeerQueryDelay
	}
	return peerQueryDelay
}

// shouldReadStore reports whether this instance should read a kind from the store. Other
// instances' view, or what was learned at the start, is used up to the age staleAfter.
func (i *Instance) shouldReadStore(kind string, staleAfter time.Duration) bool {
	now := i.now()
	age, ok := i.replica.Age(now, kind)
	if !ok {
		return !i.awaitsParent(now, staleAfter)
	}
	if i.registry.isReader(now) {
		return true
	}
	if i.replica.RecentOutage(now) && i.registry.isStandbyReader(now) {
		return true // the store may turn away the reader only, and answer this instance
	}
	return kind != i.platform.InstanceKind && age > staleAfter && now > staleAfter
}

// handleStoreResult adopts the outcome of a call to the store and logs when the store is
// lost or regained. lost tells whether it was lost before; the result is the same for now.
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

// countRead counts a call for the replica.
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
	i.mu.Lock()
	defer i.mu.Unlock()
	i.forward.View.OutageAt = now
}

// errorLabel names the error of a call for counters.
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
