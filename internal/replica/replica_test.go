package replica

import (
	"math/rand"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"guavaloom.example/guavaloom/internal/objectstore"
)

func object(key string, version objectstore.Version) objectstore.Object {
	return objectstore.Object{Key: key, Version: version, Value: []byte(`"x"`)}
}

func listing(version objectstore.Version, objects ...objectstore.Object) objectstore.Listing {
	return objectstore.Listing{Version: version, Objects: objects}
}

func removed(key string, version objectstore.Version) objectstore.Object {
	return objectstore.Object{Key: key, Version: version, Deleted: true}
}

// Guards against a stale list, from a lagging source, that reverts newer objects.
func TestStaleListIsIgnored(t *testing.T) {
	r := New("k")
	r.ApplyList(0, "k", listing(10, object("k/a", 4), object("k/b", 9)))
	u := r.ApplyList(time.Second, "k", listing(8, object("k/a", 4)))
	must.True(t, u.Stale)
	must.SliceEmpty(t, u.Objects)
	l, err := r.Changes(time.Second, "k", 0)
	must.NoError(t, err)
	must.Len(t, 2, l.Objects)
	age, _ := r.Age(time.Second, "k")
	must.Eq(t, time.Second, age) // a stale list doesn't make the copy fresher
}

// Guards against missing removals that a list shows only by the objects' absence.
func TestListRemoves(t *testing.T) {
	r := New("k")
	r.ApplyList(0, "k", listing(10, object("k/a", 4), object("k/b", 9)))
	u := r.ApplyList(0, "k", listing(12, object("k/b", 9)))
	must.Eq(t, []objectstore.Object{removed("k/a", 12)}, u.Objects)
	must.False(t, u.First)
}

// Guards against wrong objects after events that two sources deliver twice, late or out of
// order.
func TestEventsInAnyOrder(t *testing.T) {
	r := New("k")
	r.ApplyList(0, "k", listing(10, object("k/a", 4)))
	must.Len(t, 1, r.ApplyEvents(0, "k", listing(14, object("k/a", 14))).Objects)
	must.SliceEmpty(t, r.ApplyEvents(0, "k", listing(12, object("k/a", 12))).Objects)
	must.Len(t, 1, r.ApplyEvents(0, "k", listing(16, removed("k/a", 16))).Objects)
	must.SliceEmpty(t, r.ApplyEvents(0, "k", listing(14, object("k/a", 14))).Objects)
	must.SliceEmpty(t, r.ApplyEvents(0, "k", listing(16, removed("k/a", 16))).Objects)
	must.Len(t, 1, r.ApplyEvents(0, "k", listing(20, object("k/a", 20))).Objects)
}

// Guards against an instance that learns of an outage elsewhere only from the removals
// which the outage caused.
func TestOutageIsPassedOn(t *testing.T) {
	r, follower := New("k"), New("k")
	r.ApplyList(0, "k", listing(10, object("k/a", 4)))
	follower.ApplyList(0, "k", listing(10, object("k/a", 4)))
	r.RecordStoreFailure(5 * time.Second)
	l, err := r.Changes(6*time.Second, "k", 10)
	must.NoError(t, err)
	must.True(t, follower.ApplyEvents(6*time.Second, "k", l).Outage)
	l, err = r.Changes(5*time.Second+outageWindow, "k", 10)
	must.NoError(t, err)
	must.False(t, follower.ApplyEvents(8*time.Second, "k", l).Outage)
}

// Guards against two instances that prolong an outage by reporting it to each other, so
// that no target is ever considered ended.
func TestOutageIsNotEchoed(t *testing.T) {
	a, b := New("k"), New("k")
	a.ApplyList(0, "k", listing(10))
	b.ApplyList(0, "k", listing(10))
	a.RecordStoreFailure(5 * time.Second)
	report := func(now time.Duration, from, to *Replica) bool {
		l, err := from.Changes(now, "k", 10)
		must.NoError(t, err)
		return to.ApplyEvents(now, "k", l).Outage
	}
	for now := 5 * time.Second; now < 5*time.Second+outageWindow; now += 100 * time.Millisecond {
		must.True(t, report(now, a, b))
		must.True(t, report(now, b, a))
	}
	must.False(t, report(5*time.Second+outageWindow, a, b))
	must.False(t, report(5*time.Second+outageWindow, b, a))
}

// Guards against a state that loses its age when it is passed to another instance.
func TestAgeIsPassedOn(t *testing.T) {
	r, follower := New("k"), New("k")
	r.ApplyList(10*time.Second, "k", objectstore.Listing{Version: 10, Age: time.Second})
	l, err := r.Changes(12*time.Second, "k", 0)
	must.NoError(t, err)
	must.Eq(t, 3*time.Second, l.Age)
	follower.ApplyList(100*time.Second, "k", l)
	age, ok := follower.Age(101*time.Second, "k")
	must.True(t, ok)
	must.Eq(t, 4*time.Second, age)
}

// Guards against a source that reports a wrong age, which would make a copy count as fresh
// forever.
func TestViewIsNeverFresherThanNow(t *testing.T) {
	r := New("k")
	r.ApplyList(time.Second, "k", objectstore.Listing{Version: 10, Age: -time.Hour})
	r.ApplyEvents(2*time.Second, "k", objectstore.Listing{Version: 11, Age: -time.Hour})
	age, _ := r.Age(10*time.Second, "k")
	must.Eq(t, 8*time.Second, age)
}

// Guards against a follower that misses changes of which its source has no record any more.
func TestChangesExpire(t *testing.T) {
	r := New("k")
	_, err := r.Changes(0, "k", 0)
	must.ErrorIs(t, err, objectstore.ErrUnavailable)
	_, err = r.Changes(0, "none", 0)
	must.ErrorIs(t, err, objectstore.ErrNotFound)
	r.ApplyList(0, "k", listing(10, object("k/a", 4)))
	_, err = r.Changes(0, "k", 9)
	must.ErrorIs(t, err, objectstore.ErrExpired)
	r.ApplyEvents(0, "k", listing(15, removed("k/a", 15), object("k/b", 13)))
	l, err := r.Changes(0, "k", 10)
	must.NoError(t, err)
	must.Eq(t, []objectstore.Object{object("k/b", 13), removed("k/a", 15)}, l.Objects)
}

func newPlan() *WatchPlan {
	return NewWatchPlan(time.Second, 500*time.Millisecond, rand.New(rand.NewSource(1)))
}

func complete(p *WatchPlan, l objectstore.Listing, err error) time.Duration {
	r := objectstore.Result{Call: p.Next("k"), Listing: l, Err: err}
	return p.Done(&r)
}

// Guards against a watch that missed changes and then reports their version as its own: the
// next watch must request them again.
func TestPlanLagsBehindEmptyAnswers(t *testing.T) {
	p := newPlan()
	must.Eq(t, objectstore.OpList, p.Next("k").Op)
	complete(p, listing(10), nil)
	r := objectstore.Result{Call: p.Next("k"), Listing: listing(30)}
	must.Eq(t, 10, r.Call.Version)
	p.Done(&r)
	must.Eq(t, 10, r.Listing.Version) // lowered to the version up to which no change can be missing
	must.Eq(t, 10, p.Next("k").Version)
	complete(p, listing(40), nil)
	must.Eq(t, 30, p.Next("k").Version)
	complete(p, listing(45, object("k/a", 44)), nil)
	must.Eq(t, 45, p.Next("k").Version)
}

// Guards against a watch that continues from a version after its source failed or lost
// history, and against calls in a tight loop.
func TestPlanListsAfterFailures(t *testing.T) {
	p := newPlan()
	complete(p, listing(10), nil)
	must.Eq(t, 0, complete(p, objectstore.Listing{}, objectstore.ErrExpired))
	must.Eq(t, objectstore.OpList, p.Next("k").Op)
	complete(p, listing(20), nil)
	last := time.Duration(0)
	for range 12 {
		last = complete(p, objectstore.Listing{}, objectstore.ErrUnavailable)
		must.Eq(t, objectstore.OpList, p.Next("k").Op)
		must.Greater(t, initialBackoff/4, last)
	}
	must.Between(t, maxBackoff/2, last, maxBackoff*3/2)
	complete(p, listing(25), nil)
	must.Eq(t, 25, p.Next("k").Version)
}

// Guards against a first list of an old copy that counts as the state at the start of
// the process.
func TestFirstListKeepsItsAge(t *testing.T) {
	r := New("k")
	l := listing(10, object("k/a", 4))
	l.Age = 10 * time.Second
	r.ApplyList(time.Second, "k", l)
	age, listed := r.Age(2*time.Second, "k")
	must.True(t, listed)
	must.Eq(t, 11*time.Second, age)
}
