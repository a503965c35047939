package replica

import (
	"maps"
	"math/rand"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"guavaloom.example/guavaloom/internal/objectstore"
)

// at returns the version of a revision in an epoch.
func at(t *testing.T, epoch, revision uint64) objectstore.Version {
	t.Helper()
	v, err := objectstore.NewVersion(epoch, revision)
	must.NoError(t, err)
	return v
}

func valued(key string, version objectstore.Version, value string) objectstore.Object {
	return objectstore.Object{Key: key, Version: version, Value: []byte(value)}
}

// held returns the values of the copy.
func held(t *testing.T, r *Replica) map[string]string {
	t.Helper()
	l, err := r.Changes(0, "k", 0)
	must.NoError(t, err)
	values := map[string]string{}
	for _, o := range l.Objects {
		values[o.Key] = string(o.Value)
	}
	return values
}

// Guards against a list of a restored store that counts as older, and against an object whose
// revision was given out twice and that is ignored.
func TestListOfARestoredStore(t *testing.T) {
	r := New("k")
	r.ApplyList(0, "k", listing(at(t, 1, 29), valued("k/a", at(t, 1, 29), "old"), valued("k/b", at(t, 1, 5), "same"), valued("k/c", at(t, 1, 28), "lost")))
	u := r.ApplyList(0, "k", listing(at(t, 2, 29), valued("k/a", at(t, 2, 29), "new"), valued("k/b", at(t, 2, 5), "same")))
	must.True(t, u.Restored)
	must.False(t, u.Stale)
	must.Eq(t, []objectstore.Object{valued("k/a", at(t, 2, 29), "new"), removed("k/c", at(t, 2, 29))}, u.Objects)
	must.Eq(t, map[string]string{"k/a": "new", "k/b": "same"}, held(t, r))
	u = r.ApplyList(0, "k", listing(at(t, 2, 30), valued("k/a", at(t, 2, 30), "newer"), valued("k/b", at(t, 2, 5), "same")))
	must.False(t, u.Restored)
	must.Len(t, 1, u.Objects)
}

// Guards against an instance that missed the restore and puts back what the store lost.
func TestAnswersFromBeforeTheRestoreAreIgnored(t *testing.T) {
	r := New("k")
	r.ApplyList(0, "k", listing(at(t, 2, 28), valued("k/a", at(t, 2, 28), "new")))
	u := r.ApplyEvents(time.Second, "k", listing(at(t, 1, 40), valued("k/a", at(t, 1, 40), "old"), valued("k/lost", at(t, 1, 39), "old")))
	must.True(t, u.Stale)
	u = r.ApplyList(time.Second, "k", listing(at(t, 1, 50), valued("k/a", at(t, 1, 40), "old")))
	must.True(t, u.Stale)
	must.Eq(t, map[string]string{"k/a": "new"}, held(t, r))
	age, _ := r.Age(time.Second, "k")
	must.Eq(t, time.Second, age)
}

// Guards against a first list of unknown age that counts as confirmed and delays, as a state
// from before a restore, what the store shows now.
func TestFirstListOfUnknownAgeIsReplaced(t *testing.T) {
	r := New("k")
	r.ApplyList(0, "k", listing(at(t, 0, 90), valued("k/a", at(t, 0, 90), "stale"), valued("k/gone", at(t, 0, 80), "stale")))
	u := r.ApplyList(0, "k", listing(at(t, 2, 28), valued("k/a", at(t, 2, 20), "new")))
	must.False(t, u.Restored)
	must.False(t, u.Stale)
	must.Eq(t, map[string]string{"k/a": "new"}, held(t, r))
}

// Guards against a follower with a state from before the restore that gets no changes, or
// keeps objects that the restored store lost, whatever revision it holds.
func TestFollowersOverARestore(t *testing.T) {
	for _, heldRevision := range []uint64{3, 29, 40, 500} {
		source := New("k")
		source.ApplyList(0, "k", listing(at(t, 1, 29), valued("k/a", at(t, 1, 29), "old"), valued("k/lost", at(t, 1, 28), "lost")))
		source.ApplyList(0, "k", listing(at(t, 2, 30), valued("k/a", at(t, 2, 30), "new"), valued("k/again", at(t, 2, 29), "again")))
		follower := New("k")
		follower.ApplyList(0, "k", listing(at(t, 1, heldRevision), valued("k/a", at(t, 1, min(heldRevision, 29)), "old"),
			valued("k/lost", at(t, 1, min(heldRevision, 28)), "lost"), valued("k/other", at(t, 1, 2), "other")))
		f, _, err := source.frame(0, "k", at(t, 1, heldRevision))
		must.NoError(t, err)
		if err := follower.ExpandDeltas(&f); err != nil {
			f, _, err = source.frame(0, "k", 0)
			must.NoError(t, err)
			must.NoError(t, follower.ExpandDeltas(&f))
		}
		var u Update
		if f.Full {
			u = follower.ApplyList(0, "k", f.Listing)
		} else {
			u = follower.ApplyEvents(0, "k", f.Listing)
		}
		must.True(t, u.Restored)
		must.Eq(t, map[string]string{"k/a": "new", "k/again": "again"}, held(t, follower))
	}
}

// Load pattern: the store is restored several times, and instances hold states of different
// epochs and exchange them in any order. Guards against copies that differ in the end.
func TestCopiesAgreeAfterRestores(t *testing.T) {
	for seed := range int64(300) {
		rng := rand.New(rand.NewSource(seed))
		s := &restorableStore{t: t, epoch: 1, objects: map[string]objectstore.Object{}}
		copies := []*Replica{New("k"), New("k"), New("k")}
		for range 60 {
			switch r := copies[rng.Intn(len(copies))]; rng.Intn(6) {
			case 0:
				s.restore(rng)
			case 1, 2:
				s.change(rng)
			case 3:
				r.ApplyList(0, "k", s.list())
			default:
				exchange(t, copies[rng.Intn(len(copies))], r)
			}
		}
		copies[0].ApplyList(0, "k", s.list())
		exchange(t, copies[0], copies[1])
		exchange(t, copies[1], copies[2])
		exchange(t, copies[2], copies[0])
		for n, r := range copies {
			must.Eq(t, s.values(), held(t, r), must.Sprintf("seed %d, copy %d", seed, n))
		}
	}
}

// exchange brings a follower up to date from a source, as instances do.
func exchange(t *testing.T, source, follower *Replica) {
	t.Helper()
	after := follower.Version("k")
	for {
		f, _, err := source.frame(0, "k", after)
		if err != nil || source == follower {
			return // the source holds nothing yet
		}
		if follower.ExpandDeltas(&f) != nil {
			after = 0
			continue
		}
		if f.Full {
			follower.ApplyList(0, "k", f.Listing)
		} else {
			follower.ApplyEvents(0, "k", f.Listing)
		}
		return
	}
}

// restorableStore is a store that keeps copies of its states.
type restorableStore struct {
	t               *testing.T
	epoch, revision uint64
	objects         map[string]objectstore.Object
	copies          []restorableStore
}

func (s *restorableStore) list() objectstore.Listing {
	l := listing(at(s.t, s.epoch, s.revision))
	for _, o := range s.objects {
		l.Objects = append(l.Objects, valued(o.Key, at(s.t, s.epoch, o.Version.Revision()), string(o.Value)))
	}
	return l
}

func (s *restorableStore) values() map[string]string {
	values := map[string]string{}
	for key, o := range s.objects {
		values[key] = string(o.Value)
	}
	return values
}

func (s *restorableStore) change(rng *rand.Rand) {
	s.copies = append(s.copies, restorableStore{revision: s.revision, objects: maps.Clone(s.objects)})
	s.revision++
	key := "k/" + string(rune('a'+rng.Intn(6)))
	if _, exists := s.objects[key]; exists && rng.Intn(3) == 0 {
		delete(s.objects, key)
		return
	}
	s.objects[key] = valued(key, at(s.t, s.epoch, s.revision), string(rune('A'+rng.Intn(4))))
}

func (s *restorableStore) restore(rng *rand.Rand) {
	if len(s.copies) == 0 {
		return
	}
	n := rng.Intn(len(s.copies))
	s.epoch++
	s.revision, s.objects = s.copies[n].revision, maps.Clone(s.copies[n].objects)
	s.copies = s.copies[:n]
}
