package view

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"guavaloom.example/guavaloom/internal/target"
)

// written returns an entry with the target's count of its writes.
func written(id target.ID, sequence uint64, draining bool) TargetEntry {
	e := entry(id)
	e.Sequence, e.Draining = sequence, draining
	return e
}

func settle(v *View, now time.Duration) map[target.ID]Change {
	changes := map[target.ID]Change{}
	v.Settle(now, func(t *Target, c Change) { changes[t.ID] = c })
	return changes
}

// Versions before and after a restore of the store.
const (
	beforeRestore = 100
	afterRestore  = 1000
)

// Guards against a draining target that takes new flows again because a restored store lists
// what it wrote before.
func TestRestoredStoreDoesNotEndADrain(t *testing.T) {
	v := New(limits)
	v.Put(0, written("i-a1", 4, false), 10)
	v.Put(0, written("i-a1", 9, true), beforeRestore)
	restored, change := v.PutRestored(time.Second, written("i-a1", 6, false), afterRestore)
	must.Eq(t, Unchanged, change)
	must.False(t, v.AcceptsNewFlows(time.Second, restored))
	_, change = v.Put(2*time.Second, written("i-a1", 11, true), afterRestore+1)
	must.Eq(t, Updated, change)
	must.MapEmpty(t, settle(v, time.Minute)) // the target's later word replaced the claim
	must.False(t, v.AcceptsNewFlows(time.Minute, restored))
}

// Guards against a drain that is missed because the instance knows the target at a higher
// revision, from before the restore.
func TestDrainInARestoredStoreCounts(t *testing.T) {
	v := New(limits)
	v.Put(0, written("i-a1", 4, false), beforeRestore)
	drained, change := v.PutRestored(time.Second, written("i-a1", 9, true), afterRestore)
	must.Eq(t, DrainStarted, change)
	must.False(t, v.AcceptsNewFlows(time.Second, drained))
}

// Guards against a target that has left and takes flows again because a restored store lists
// it until its entry expires, and against a live one that stays removed.
func TestRestoredStoreListsATargetThatHasLeft(t *testing.T) {
	for _, expires := range []bool{true, false} {
		v := New(limits)
		v.TargetsFreshAt = time.Hour
		v.Put(0, written("i-a1", 4, false), 10)
		v.Remove(0, "i-a1", beforeRestore)
		// The sequence in the copy may be higher than the one known: it rises without a new version.
		left, change := v.PutRestored(10*time.Second, written("i-a1", 7, false), afterRestore)
		must.Eq(t, Unchanged, change)
		must.True(t, left.Removed)
		if expires {
			_, change = v.Remove(12*time.Second, "i-a1", afterRestore+1)
			must.Eq(t, Unchanged, change)
			must.MapEmpty(t, settle(v, time.Minute))
			must.True(t, v.Ended(time.Minute, left))
			continue
		}
		must.MapEmpty(t, settle(v, 10*time.Second+limits.RestoreGrace-1))
		must.Eq(t, map[target.ID]Change{"i-a1": Returned}, settle(v, 10*time.Second+limits.RestoreGrace))
		must.True(t, v.AcceptsNewFlows(time.Minute, left))
	}
}

// Guards against the loss of targets that started after the copy was made, until they write
// again, and against one that stays although it is gone.
func TestRestoredStoreLacksATarget(t *testing.T) {
	for _, alive := range []bool{true, false} {
		v := New(limits)
		v.Put(0, written("i-new", 4, false), beforeRestore)
		v.RemoveRestored(time.Second, "i-new", afterRestore)
		missing := v.Target("i-new")
		must.False(t, missing.Removed)
		must.True(t, v.AcceptsNewFlows(time.Second, missing))
		if alive {
			v.Put(2*time.Second, written("i-new", 4, false), afterRestore+1)
			must.MapEmpty(t, settle(v, time.Minute))
			must.False(t, missing.Removed)
			continue
		}
		must.Eq(t, map[target.ID]Change{"i-new": Removed}, settle(v, time.Second+limits.ReturnGrace))
		must.True(t, missing.Removed)
	}
}

// Guards against a restart under the same ID that counts as an older write, since the counts
// start anew, and against an earlier incarnation that replaces a later one.
func TestIncarnationsOverARestore(t *testing.T) {
	v := New(limits)
	first, second := written("i-a1", 90, false), written("i-a1", 2, false)
	first.Incarnation, second.Incarnation = 1000, 2000
	v.Put(0, first, beforeRestore)
	tg, change := v.PutRestored(0, second, afterRestore)
	must.Eq(t, Restarted, change)
	_, change = v.PutRestored(0, first, 2*afterRestore)
	must.Eq(t, Unchanged, change)
	must.Eq(t, 2000, tg.Incarnation)
}

// Guards against unreadable bytes in a restored store that take a good target away at once, and
// against a version that a later removal can't pass.
func TestUnreadableEntryInARestoredStore(t *testing.T) {
	v := New(limits)
	tg, _ := v.Put(0, written("i-a1", 4, false), beforeRestore)
	v.PutUnreadableRestored(0, "i-a1", afterRestore)
	must.True(t, v.AcceptsNewFlows(0, tg))
	must.Eq(t, map[target.ID]Change{"i-a1": Unreadable}, settle(v, limits.RestoreGrace))
	must.False(t, v.AcceptsNewFlows(time.Minute, tg))
	_, change := v.Remove(time.Minute, "i-a1", afterRestore+1)
	must.Eq(t, Removed, change)
}

// Guards against a target that counts as just started because a restored store shows the
// warm-up time that was left when its entry was written.
func TestRestoredEntryDoesNotRestartTheWarmUp(t *testing.T) {
	v := New(limits)
	e := written("i-a1", 4, false)
	e.WarmUp = 8 * time.Second
	tg, _ := v.Put(0, e, beforeRestore)
	e.Sequence = 9
	_, change := v.PutRestored(20*time.Second, e, afterRestore)
	must.Eq(t, Unchanged, change)
	must.Eq(t, 8*time.Second, tg.WarmAt)
}

// Guards against a second restore whose claims add to those of the first.
func TestRestoresInSeries(t *testing.T) {
	v := New(limits)
	v.Put(0, written("i-a1", 9, true), beforeRestore)
	v.PutRestored(0, written("i-a1", 6, false), afterRestore)
	v.RemoveRestored(time.Second, "i-a1", 2*afterRestore)
	tg, _ := v.PutRestored(2*time.Second, written("i-a1", 9, true), 3*afterRestore)
	must.MapEmpty(t, settle(v, time.Minute))
	must.True(t, tg.Draining)
	must.False(t, tg.Removed)
}

// Guards against a claim of an earlier restore that takes effect right after a later one, which
// shows the same entry: the target has to write once more.
func TestClaimsWaitAnewAfterARestore(t *testing.T) {
	v := New(limits)
	v.Put(0, written("i-a1", 9, true), beforeRestore)
	v.Put(0, written("i-a2", 9, false), beforeRestore)
	v.PutRestored(0, written("i-a1", 6, false), afterRestore)
	v.RemoveRestored(0, "i-a2", afterRestore)
	const again = time.Second
	v.ExtendClaims(again)
	must.MapEmpty(t, settle(v, again+limits.ReturnGrace-1))
	must.Eq(t, map[target.ID]Change{"i-a2": Removed}, settle(v, again+limits.RestoreGrace-1))
	must.Eq(t, map[target.ID]Change{"i-a1": Updated}, settle(v, again+limits.RestoreGrace))
}

// Guards against a configuration from the copy that replaces a later one, and against the
// configuration confirmed after the restore that loses to one of the same version.
func TestConfigurationsOverARestore(t *testing.T) {
	v := New(limits)
	e := Endpoint{Addr: [4]byte{198, 18, 0, 1}, Port: 443}
	must.True(t, v.SetConfig(Config{Version: 11}, 1))
	must.False(t, v.SetConfig(Config{Version: 4}, 2))
	must.True(t, v.SetConfig(Config{Version: 11, Routes: []Route{{Name: "again", Endpoint: e}}}, 2))
	must.False(t, v.SetConfig(Config{Version: 11}, 1))
	must.Eq(t, "again", v.Route(e).Name)
}
