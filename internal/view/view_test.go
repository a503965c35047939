package view

import (
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"guavaloom.example/guavaloom/internal/target"
)

// limits are those of the users' first deployments.
var limits = Limits{ReturnGrace: 3 * time.Second, RestoreGrace: 4600 * time.Millisecond, ForgetAfter: 90 * time.Second}

func entry(id target.ID) TargetEntry {
	return TargetEntry{ID: id, Key: 1, Service: "booking", Addr: netip.MustParseAddrPort("10.0.0.1:80"), Zone: "a", Slots: 3}
}

// Guards against returning to an older configuration after a stale answer of the store or
// of another instance.
func TestOlderConfigIsIgnored(t *testing.T) {
	v := New(limits)
	e := Endpoint{Addr: [4]byte{198, 18, 0, 1}, Port: 443}
	must.True(t, v.SetConfig(Config{Version: 7, Routes: []Route{{Name: "new", Endpoint: e}}}, 1))
	must.False(t, v.SetConfig(Config{Version: 6, Routes: []Route{{Name: "old", Endpoint: e}}}, 1))
	must.False(t, v.SetConfig(Config{Version: 7}, 1))
	must.Eq(t, "new", v.Route(e).Name)
	must.True(t, v.SetConfig(Config{Version: 9}, 1))
	must.Nil(t, v.Route(e))
}

// Guards against handling traffic before both the configuration and the targets are known.
func TestComplete(t *testing.T) {
	v := New(limits)
	must.False(t, v.Complete())
	v.SetConfig(Config{Version: 1}, 1)
	must.False(t, v.Complete())
	v.MarkListed()
	must.True(t, v.Complete())
}

// Guards against an older entry that replaces a newer one, in any order of arrival.
func TestTargetVersions(t *testing.T) {
	v := New(limits)
	drained := entry("i-1")
	drained.Draining = true
	_, c := v.Put(0, entry("i-1"), 5)
	must.Eq(t, Joined, c)
	tg, c := v.Put(0, drained, 8)
	must.Eq(t, DrainStarted, c)
	_, c = v.Put(0, entry("i-1"), 5)
	must.Eq(t, Unchanged, c)
	must.False(t, v.AcceptsNewFlows(0, tg))
	_, c = v.Remove(0, "i-1", 7)
	must.Eq(t, Unchanged, c)
	_, c = v.Remove(0, "i-1", 9)
	must.Eq(t, Removed, c)
	_, c = v.Put(0, entry("i-1"), 8)
	must.Eq(t, Unchanged, c)
	must.True(t, v.Ended(limits.ReturnGrace, tg))
}

// Guards against resetting the flows of a target whose entry expired only because the store
// was unavailable, whether the instance noticed the outage or not, and against keeping a
// target that has ended.
func TestRemovedEntryMayReturn(t *testing.T) {
	const removedAt = 10 * time.Second
	v := New(limits)
	tg, _ := v.Put(0, entry("i-1"), 5)
	_, c := v.Remove(removedAt, "i-1", 9)
	must.Eq(t, Removed, c)
	v.TargetsFreshAt = removedAt
	must.False(t, v.Ended(removedAt+limits.ReturnGrace-1, tg))
	must.True(t, v.AcceptsNewFlows(removedAt+limits.ReturnGrace-1, tg))
	must.True(t, v.Ended(removedAt+limits.ReturnGrace, tg))
	must.False(t, v.AcceptsNewFlows(removedAt+limits.ReturnGrace, tg))
	_, c = v.Put(14*time.Second, entry("i-1"), 11)
	must.Eq(t, Returned, c)
	must.False(t, v.Ended(14*time.Second, tg))
}

// Guards against treating a target as ended while the store is unavailable: its entry may
// return until ReturnGrace after the outage.
func TestNoTargetEndsDuringStoreOutage(t *testing.T) {
	v := New(limits)
	tg, _ := v.Put(0, entry("i-1"), 5)
	v.Remove(10*time.Second, "i-1", 9)
	v.TargetsFreshAt = 10 * time.Second
	v.OutageAt = 20 * time.Second
	must.False(t, v.Ended(20*time.Second+limits.ReturnGrace, tg)) // the store has not confirmed the removal since
	v.TargetsFreshAt = 21 * time.Second
	must.False(t, v.Ended(20*time.Second+limits.ReturnGrace-1, tg))
	must.True(t, v.Ended(20*time.Second+limits.ReturnGrace, tg))
}

// Guards against placing new flows on a target whose entry is unreadable, and against
// losing the flows that it has.
func TestUnreadableEntry(t *testing.T) {
	v := New(limits)
	tg, _ := v.Put(0, entry("i-1"), 5)
	must.Eq(t, Unreadable, v.PutUnreadable("i-1", 6))
	must.False(t, v.AcceptsNewFlows(0, tg))
	must.False(t, v.Ended(0, tg))
	must.Eq(t, tg, v.ByToken(tg.Token))
	must.Eq(t, Unchanged, v.PutUnreadable("i-2", 7))
	v.Put(0, entry("i-1"), 8)
	must.True(t, v.AcceptsNewFlows(0, tg))
}

// Guards against overlooking a restart under the same ID.
func TestRestart(t *testing.T) {
	v := New(limits)
	e := entry("i-1")
	e.Incarnation = 100
	v.Put(0, e, 5)
	e.Incarnation, e.WarmUp = 200, 2*time.Second
	tg, c := v.Put(time.Second, e, 6)
	must.Eq(t, Restarted, c)
	must.Eq(t, 3*time.Second, tg.WarmAt)
}

// Guards against forgetting a target while its flows may be open, and against keeping
// targets for ever.
func TestForget(t *testing.T) {
	v := New(limits)
	v.Put(0, entry("i-1"), 5)
	v.Remove(0, "i-1", 6)
	must.SliceEmpty(t, v.Forget(60*time.Second))
	must.NotNil(t, v.ByToken(TokenOf("i-1")))
	must.Len(t, 1, v.Forget(limits.ForgetAfter))
	must.Nil(t, v.ByToken(TokenOf("i-1")))
	must.Nil(t, v.Target("i-1"))
}

// Guards against two targets that share a token: in whatever order an instance learns of
// them, the same one owns it.
func TestSharedToken(t *testing.T) {
	for _, order := range [][2]target.ID{{"i-1", "i-2"}, {"i-2", "i-1"}} {
		v := New(limits)
		for n, id := range order {
			e := entry(id)
			v.Put(0, e, uint64(n+1))
		}
		// The two tokens differ; a shared one is set up by hand.
		first, second := v.Target("i-1"), v.Target("i-2")
		delete(v.tokens, first.Token)
		delete(v.tokens, second.Token)
		shared := map[target.ID]*Target{"i-1": first, "i-2": second}
		v.tokens[7] = shared[order[0]]
		late := shared[order[1]]
		late.Token = 7
		v.assignToken(late)
		must.Eq(t, first, v.tokens[7])
		must.False(t, v.AcceptsNewFlows(0, second))
		must.True(t, v.AcceptsNewFlows(0, first))
	}
}

// Guards against assigning token 0, which marks a packet without a token.
func TestTokenIsNeverZero(t *testing.T) {
	for _, id := range []target.ID{"", "i-1", "i-7f3a91c2"} {
		must.NotEq(t, 0, TokenOf(id))
	}
}

// Guards against a target that gets no new flows for ever because the one that shared its token,
// and was forgotten, still counts as the owner.
func TestTokenOfAForgottenTarget(t *testing.T) {
	v := New(limits)
	for n, id := range []target.ID{"i-1", "i-2", "i-3"} {
		v.Put(0, entry(id), uint64(n+1))
		delete(v.tokens, v.Target(id).Token) // the tokens differ; a shared one is set up by hand
		v.Target(id).Token = 7
		v.assignToken(v.Target(id))
	}
	v.Remove(0, "i-1", 9)
	v.TargetsFreshAt = limits.ForgetAfter
	must.Len(t, 1, v.Forget(limits.ForgetAfter))
	must.True(t, v.ByToken(7) == v.Target("i-2"))
	must.True(t, v.AcceptsNewFlows(limits.ForgetAfter, v.Target("i-2")))
	must.False(t, v.AcceptsNewFlows(limits.ForgetAfter, v.Target("i-3")))
}

// Guards against forgetting a target that may be given flows, since the store is down and its
// entry may return, or whose entry a restored store has.
func TestForgetKeepsWhatMayReturn(t *testing.T) {
	v := New(limits)
	v.Put(0, entry("i-1"), 5)
	v.Remove(0, "i-1", 6)
	v.OutageAt = limits.ForgetAfter - time.Second
	v.TargetsFreshAt = limits.ForgetAfter
	must.SliceEmpty(t, v.Forget(limits.ForgetAfter))
	must.True(t, v.AcceptsNewFlows(limits.ForgetAfter, v.Target("i-1")))
	_, change := v.PutRestored(limits.ForgetAfter, entry("i-1"), 7)
	must.Eq(t, Unchanged, change)
	after := limits.ForgetAfter + limits.ReturnGrace
	must.SliceEmpty(t, v.Forget(after))
	v.Settle(limits.ForgetAfter+limits.RestoreGrace, func(_ *Target, c Change) { change = c })
	must.Eq(t, Returned, change)
}
