package replica

import (
	"bytes"
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"guavaloom.example/guavaloom/internal/objectstore"
)

const (
	// outageWindow is how long a failed call to the store counts as an outage. It
	// exceeds the pause between two retries.
	outageWindow = 2 * time.Second
	// outageNotifyInterval is the interval at which followers are notified of a continuing outage.
	outageNotifyInterval = time.Second
	// minFreshnessGain is the gain in freshness that is worth a message to the followers: less
	// than the difference in age between two reports of one state over different paths.
	minFreshnessGain = 50 * time.Millisecond
	// maxTombstones bounds the removals that are kept for followers. When it is exceeded, all
	// are discarded, and a follower at an earlier version may have to request all objects.
	maxTombstones = 4096
)

// Replica is a copy of some kinds of objects. It is safe for concurrent use.
type Replica struct {
	mu    sync.Mutex // guards all fields below; no other lock is acquired while it is held
	kinds map[string]*kindState
	// outageAt is the time of the last failed call to the store, here or at the instance that
	// this one follows; it is valid if hadOutage is set. outageNotifiedAt is when the
	// followers were last notified.
	outageAt, outageNotifiedAt time.Duration
	hadOutage                  bool
	wake                       chan struct{} // closed when followers have an update to receive
}

// kindState is the copy of one kind.
type kindState struct {
	objects map[string]objectstore.Object
	// tombstones holds the versions of the objects removed since tombstoneFloor.
	tombstones map[string]objectstore.Version
	// log has the changes after logFloor, so that the changes for a follower are found
	// without a scan of all objects.
	log      changeLog
	logFloor objectstore.Version
	// previous holds large objects as they were before the last update that changed them;
	// updates counts the updates applied.
	previous map[string]*previousObject
	updates  uint64
	// version is the newest version reported by any source, tombstoneFloor the oldest from
	// which removals are known.
	version, tombstoneFloor objectstore.Version
	// freshAt is the latest time at which the copy is known to have matched the store. It is
	// never in the future, whatever age a source reports.
	freshAt time.Duration
	listed  bool
	// messageSeq counts the updates that are worth a message to the followers.
	messageSeq uint64
}

// previousObject is an earlier version of an object, and the delta from it to a later one.
type previousObject struct {
	object       objectstore.Object
	update       uint64
	deltaVersion objectstore.Version
	deltaParts   []Part
}

// New returns an empty replica of the kinds.
func New(kinds ...string) *Replica {
	r := &Replica{kinds: map[string]*kindState{}, wake: make(chan struct{})}
	for _, name := range kinds {
		r.kinds[name] = &kindState{
			objects:    map[string]objectstore.Object{},
			tombstones: map[string]objectstore.Version{},
			previous:   map[string]*previousObject{},
		}
	}
	return r
}

// Update is the effect of applying a source's answer.
type Update struct {
	// Objects are the changed and removed objects, ordered by version.
	Objects []objectstore.Object
	// Outage is set if the source, another instance, reports a recent outage of the store.
	Outage bool
	// First is set for the first list of the kind.
	First bool
	// Stale is set if the answer was older than the copy and was ignored.
	Stale bool
	// Restored is set if the answer is the first one from after a restore of the store from an
	// older copy. Its objects may be older than those of the copy.
	Restored bool
	// Conflicts are objects that were ignored because their version was not above the one
	// held, although their content differs from it.
	Conflicts []objectstore.Object
	// versionsChanged is set if the version of any object changed.
	versionsChanged bool
}

// ApplyList applies a list of all objects of a kind, unless it is older than the copy. The
// answer was received at the time now and describes the store at now minus its age.
func (r *Replica) ApplyList(now time.Duration, name string, l objectstore.Listing) Update {
	r.mu.Lock()
	defer r.mu.Unlock()
	k := r.kinds[name]
	if k.listed && l.Version < k.version {
		return Update{Stale: true}
	}
	k.updates++
	u := Update{First: !k.listed, Outage: r.recordReportedOutage(now, l)}
	if u.Restored = k.beginEpoch(l.Version); u.Restored {
		r.recordOutage(now, now)
	}
	present := make(map[string]bool, len(l.Objects))
	for _, o := range l.Objects {
		present[o.Key] = true
		k.apply(o, &u)
	}
	for key := range k.objects {
		if !present[key] {
			u.Objects = append(u.Objects, k.remove(key, l.Version))
			u.versionsChanged = true
		}
	}
	if u.First {
		k.tombstoneFloor = l.Version
		k.log, k.logFloor = nil, l.Version
		k.freshAt = min(now-l.Age, now) // may lie before the start of the process
	}
	k.listed = true
	r.advance(k, l.Version, min(now-l.Age, now), u.versionsChanged || u.First)
	return sortedByVersion(u)
}

// ApplyEvents applies the changes after the copy's version that a source sent. Changes from
// before a restore of the store are ignored if the copy is from after it.
func (r *Replica) ApplyEvents(now time.Duration, name string, l objectstore.Listing) Update {
	r.mu.Lock()
	defer r.mu.Unlock()
	k := r.kinds[name]
	u := Update{Outage: r.recordReportedOutage(now, l)}
	if k.listed && l.Version.Epoch() < k.version.Epoch() {
		u.Stale = true
		return u
	}
	if u.Restored = k.beginEpoch(l.Version); u.Restored {
		r.recordOutage(now, now)
	}
	k.updates++
	for _, o := range l.Objects {
		if o.Deleted {
			if old, ok := k.objects[o.Key]; ok && o.Version >= old.Version {
				u.Objects = append(u.Objects, k.remove(o.Key, o.Version))
				u.versionsChanged = true
			}
			continue
		}
		k.apply(o, &u)
	}
	r.advance(k, l.Version, min(now-l.Age, now), u.versionsChanged)
	return sortedByVersion(u)
}

func sortedByVersion(u Update) Update {
	sortObjects(u.Objects)
	return u
}

// beginEpoch prepares the copy for an answer with a version, and reports whether the answer is
// the first one from after a restore of the store. Epoch 0 is a first list of unknown age,
// which proves no restore. What was recorded of earlier epochs is discarded: the copy does not
// know what the store lost, so that it can't tell a follower that was not there what to remove.
func (k *kindState) beginEpoch(v objectstore.Version) (restored bool) {
	if !k.listed || v.Epoch() <= k.version.Epoch() {
		return false
	}
	clear(k.tombstones)
	k.tombstoneFloor = v
	k.log, k.logFloor = nil, v
	return k.version.Epoch() > 0
}

// apply stores an object if it is newer than the copy's, and adds it to the update. An object
// that a restored store still has only gets its version in the new epoch.
func (k *kindState) apply(o objectstore.Object, u *Update) {
	held, exists := k.objects[o.Key]
	same := exists && bytes.Equal(held.Value, o.Value)
	switch {
	case k.put(o):
		u.versionsChanged = true
		if !same || held.Version.Epoch() == o.Version.Epoch() {
			u.Objects = append(u.Objects, o)
		}
	case held.Version == o.Version && !same:
		u.Conflicts = append(u.Conflicts, o)
	}
}

// put stores an object if it is newer than the copy's, and reports whether it did.
func (k *kindState) put(o objectstore.Object) bool {
	held := k.objects[o.Key]
	if o.Version <= held.Version || o.Version <= k.tombstones[o.Key] {
		return false
	}
	if f := k.previous[o.Key]; len(held.Value) >= minDeltaValueSize && (f == nil || f.update != k.updates) {
		k.previous[o.Key] = &previousObject{object: held, update: k.updates}
	}
	k.objects[o.Key] = o
	delete(k.tombstones, o.Key)
	k.logChange(o.Version, o.Key)
	return true
}

func (k *kindState) remove(key string, version objectstore.Version) objectstore.Object {
	delete(k.objects, key)
	delete(k.previous, key)
	k.tombstones[key] = version
	k.logChange(version, key)
	if len(k.tombstones) > maxTombstones {
		clear(k.tombstones)
		k.tombstoneFloor = version
	}
	return objectstore.Object{Key: key, Version: version, Deleted: true}
}

// advance records the version and time that an answer described, and notifies the followers
// if there were changes or the copy became fresher by minFreshnessGain.
func (r *Replica) advance(k *kindState, version objectstore.Version, freshAt time.Duration, changed bool) {
	if changed || freshAt >= k.freshAt+minFreshnessGain {
		k.messageSeq++
		r.notifyFollowers()
	}
	k.version = max(k.version, version)
	k.freshAt = max(k.freshAt, freshAt)
}

func (r *Replica) notifyFollowers() {
	close(r.wake)
	r.wake = make(chan struct{})
}

// RecordStoreFailure records that a call to the store failed.
func (r *Replica) RecordStoreFailure(now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recordOutage(now, now)
}

// recordReportedOutage records the outage that a source reported, and returns whether it
// reported one.
func (r *Replica) recordReportedOutage(now time.Duration, l objectstore.Listing) bool {
	if l.SinceOutage <= 0 {
		return false
	}
	r.recordOutage(now, now-l.SinceOutage)
	return true
}

// recordOutage records a failed store call at the time at. Only a later time than the known
// one counts, so that two instances don't prolong an outage by reporting it to each other.
func (r *Replica) recordOutage(now, at time.Duration) {
	if r.hadOutage && at <= r.outageAt {
		return
	}
	if !r.recentOutage(now) || now >= r.outageNotifiedAt+outageNotifyInterval {
		r.outageNotifiedAt = now
		for _, k := range r.kinds {
			k.messageSeq++
		}
		r.notifyFollowers()
	}
	r.outageAt, r.hadOutage = at, true
}

// RecentOutage reports whether a call to the store failed within outageWindow, here or at the
// instance that this one follows.
func (r *Replica) RecentOutage(now time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.recentOutage(now)
}

func (r *Replica) recentOutage(now time.Duration) bool {
	return r.hadOutage && now < r.outageAt+outageWindow
}

// Age returns how long ago the copy of a kind was last known to match the store;
// ok is false if the kind was never listed.
func (r *Replica) Age(now time.Duration, name string) (age time.Duration, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	k := r.kinds[name]
	return now - k.freshAt, k.listed
}

// Version returns the version of the copy of a kind.
func (r *Replica) Version(name string) objectstore.Version {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.kinds[name].version
}

// Get returns an object of a kind and the version of the kind's copy; ok is false if the copy
// does not have the object.
func (r *Replica) Get(name, key string) (o objectstore.Object, version objectstore.Version, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	k := r.kinds[name]
	o, ok = k.objects[key]
	return o, k.version, ok
}

// Kinds returns the names of the kinds, in order.
func (r *Replica) Kinds() []string { return slices.Sorted(maps.Keys(r.kinds)) }

// Changes returns all objects of the kind for version 0, else the objects changed or removed
// since. The error is ErrExpired if the removals since are no longer known, ErrUnavailable
// if the kind was never listed.
func (r *Replica) Changes(now time.Duration, name string, after objectstore.Version) (objectstore.Listing, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changes(now, name, after)
}

func (r *Replica) changes(now time.Duration, name string, after objectstore.Version) (objectstore.Listing, error) {
	k := r.kinds[name]
	if k == nil {
		return objectstore.Listing{}, objectstore.ErrNotFound
	}
	l := objectstore.Listing{Version: k.version, Age: now - k.freshAt}
	if r.recentOutage(now) {
		l.SinceOutage = max(now-r.outageAt, 1)
	}
	switch {
	case !k.listed:
		return l, objectstore.ErrUnavailable
	case after > 0 && after < k.tombstoneFloor:
		return l, objectstore.ErrExpired
	}
	if after > 0 && after >= k.logFloor {
		l.Objects = k.loggedChanges(after)
		return l, nil
	}
	l.Objects = k.objectsAfter(after)
	for key, version := range k.tombstones {
		if after > 0 && version > after {
			l.Objects = append(l.Objects, objectstore.Object{Key: key, Version: version, Deleted: true})
		}
	}
	sortObjects(l.Objects)
	return l, nil
}

// objectsAfter returns the objects that changed after a version, without removed ones.
func (k *kindState) objectsAfter(after objectstore.Version) (out []objectstore.Object) {
	for _, o := range k.objects {
		if o.Version > after {
			out = append(out, o)
		}
	}
	sortObjects(out)
	return out
}

func sortObjects(objects []objectstore.Object) {
	slices.SortFunc(objects, func(a, b objectstore.Object) int { return cmp.Compare(a.Version, b.Version) })
}
