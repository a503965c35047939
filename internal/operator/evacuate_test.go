package operator

import (
	"context"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/shoenig/test/must"

	"guavaloom.example/guavaloom/internal/objectstore"
	"guavaloom.example/guavaloom/internal/objectstore/standin"
	"guavaloom.example/guavaloom/internal/rollout"
)

// beforeChange calls do once, ahead of the next change of an object.
type beforeChange struct {
	*standin.Memory
	do func()
}

func (b *beforeChange) once() {
	if f := b.do; f != nil {
		b.do = nil
		f()
	}
}

func (b *beforeChange) Put(ctx context.Context, k string, v []byte, expect objectstore.Version) (objectstore.Version, error) {
	b.once()
	return b.Memory.Put(ctx, k, v, expect)
}

func (b *beforeChange) Delete(ctx context.Context, k string, expect objectstore.Version) error {
	b.once()
	return b.Memory.Delete(ctx, k, expect)
}

// newStoreWithBundle returns a store whose current bundle names the zone "zone-0".
func newStoreWithBundle(t *testing.T) *beforeChange {
	t.Helper()
	s := &beforeChange{Memory: standin.New()}
	must.NoError(t, newRoll(s, testBundle(1, "a"), "1").Start(context.Background()))
	return s
}

func evacuate(s objectstore.Store, name string) *Evacuate {
	pauses := 0
	return &Evacuate{Store: s, Zone: "zone-0", Operator: name, Pause: func(context.Context, time.Duration) error {
		if pauses++; pauses > 20 {
			return context.DeadlineExceeded
		}
		return nil
	}}
}

// mustRequest and mustWithdraw check that an operator's wish succeeds and whether it changed
// anything.
func mustRequest(t *testing.T, s objectstore.Store, name string, added bool) Evacuation {
	t.Helper()
	e, got, err := evacuate(s, name).Request(context.Background())
	must.NoError(t, err)
	must.Eq(t, added, got)
	return e
}

func mustWithdraw(t *testing.T, s objectstore.Store, name string, removed bool) {
	t.Helper()
	got, err := evacuate(s, name).Withdraw(context.Background())
	must.NoError(t, err)
	must.Eq(t, removed, got)
}

// requestedBy returns the operator of the request in the store, or "" if there is none.
func requestedBy(t *testing.T, s objectstore.Store) string {
	t.Helper()
	st, err := ReadState(context.Background(), s)
	must.NoError(t, err)
	if len(st.Evacuations) == 0 {
		return ""
	}
	must.Len(t, 1, st.Evacuations)
	must.Eq(t, "zone-0", st.Evacuations[0].Zone)
	return st.Evacuations[0].Operator
}

// Guards against a repeated command that fails or that reports success without effect.
func TestEvacuateIsIdempotent(t *testing.T) {
	s := newStoreWithBundle(t)
	first := mustRequest(t, s, "a", true)
	second := mustRequest(t, s, "b", false)
	must.Less(t, second.version, first.version)
	must.Eq(t, "b", requestedBy(t, s))
	mustWithdraw(t, s, "a", true)
	mustWithdraw(t, s, "b", false)
	must.Eq(t, "", requestedBy(t, s))
}

// Guards against two operators with the same wish of whom one is told that it failed.
func TestTwoOperatorsWithTheSameWish(t *testing.T) {
	s := newStoreWithBundle(t)
	s.do = func() { mustRequest(t, s, "first", true) }
	mustRequest(t, s, "second", true)
	must.Eq(t, "second", requestedBy(t, s))
	s.do = func() { mustWithdraw(t, s, "first", true) }
	mustWithdraw(t, s, "second", true)
	must.Eq(t, "", requestedBy(t, s))
}

// Guards against a withdrawal that removes a request which another operator made after the
// withdrawing one had looked.
func TestWithdrawalMeetsANewRequest(t *testing.T) {
	for name, meanwhile := range map[string]func(*testing.T, objectstore.Store){
		"confirmed": func(t *testing.T, s objectstore.Store) { mustRequest(t, s, "other", false) },
		"withdrawn and requested": func(t *testing.T, s objectstore.Store) {
			mustWithdraw(t, s, "third", true)
			mustRequest(t, s, "other", true)
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newStoreWithBundle(t)
			mustRequest(t, s, "first", true)
			s.do = func() { meanwhile(t, s) }
			_, err := evacuate(s, "second").Withdraw(context.Background())
			must.StrContains(t, refusal(t, err).Error(), "requested again by other")
			must.Eq(t, "other", requestedBy(t, s))
			mustWithdraw(t, s, "second", true)
		})
	}
}

// Guards against a request that is reported as in force although another operator withdrew the
// earlier one while it was written.
func TestRequestMeetsAWithdrawal(t *testing.T) {
	s := newStoreWithBundle(t)
	mustRequest(t, s, "first", true)
	s.do = func() { mustWithdraw(t, s, "other", true) }
	mustRequest(t, s, "second", false)
	must.Eq(t, "second", requestedBy(t, s))
}

// Guards against a command that takes a lost answer for a failure or a stale read for the state.
func TestEvacuateWithLostAnswersAndStaleReads(t *testing.T) {
	for name, f := range map[string]standin.Faults{
		"lost answer":                 {LoseAnswers: 1},
		"lost answers":                {LoseAnswers: 2},
		"stale read":                  {StaleReads: 1},
		"lost answer and stale reads": {LoseAnswers: 1, StaleReads: 2},
	} {
		t.Run(name, func(t *testing.T) {
			s := newStoreWithBundle(t)
			s.do = func() { s.SetFaults(f) }
			mustRequest(t, s, "a", true)
			s.SetFaults(standin.Faults{})
			must.Eq(t, "a", requestedBy(t, s))
			s.do = func() { s.SetFaults(f) }
			mustWithdraw(t, s, "a", true)
			s.SetFaults(standin.Faults{})
			must.Eq(t, "", requestedBy(t, s))
		})
	}
}

// Guards against a withdrawal that reports success because a stale read does not show the request.
func TestWithdrawalAfterAStaleRead(t *testing.T) {
	s := newStoreWithBundle(t)
	mustRequest(t, s, "a", true)
	s.SetFaults(standin.Faults{StaleReads: 1})
	_, err := evacuate(s, "b").Withdraw(context.Background())
	must.StrContains(t, refusal(t, err).Error(), "requested again by a")
	must.Eq(t, "a", requestedBy(t, s))
}

// Guards against a success that is reported while the store is down, and against an outage that
// is reported as a refusal.
func TestEvacuateWhileTheStoreIsDown(t *testing.T) {
	s := newStoreWithBundle(t)
	s.do = func() { s.SetFaults(standin.Faults{Down: true}) }
	_, _, err := evacuate(s, "a").Request(context.Background())
	must.ErrorIs(t, err, objectstore.ErrUnavailable)
	_, err = evacuate(s, "a").Withdraw(context.Background())
	must.ErrorIs(t, err, objectstore.ErrUnavailable)
	must.False(t, errors.As(err, new(*RefusedError)))
	s.SetFaults(standin.Faults{})
	must.Eq(t, "", requestedBy(t, s))
	mustRequest(t, s, "a", true)
	s.do = func() { s.SetFaults(standin.Faults{LoseAnswers: 1000}) }
	_, _, err = evacuate(s, "b").Request(context.Background())
	must.ErrorIs(t, err, objectstore.ErrUnknown)
	must.ErrorContains(t, err, "can be repeated")
}

// Guards against a withdrawal on the word of a version from before a restore of the store.
func TestRestoreDuringAWithdrawal(t *testing.T) {
	s := newStoreWithBundle(t)
	mustRequest(t, s, "a", true)
	older := s.Snapshot()
	s.do = func() { s.Restore(older) }
	_, err := evacuate(s, "b").Withdraw(context.Background())
	refusal(t, err)
	mustWithdraw(t, s, "b", true)
	must.Eq(t, "", requestedBy(t, s))
}

// Guards against a typing error that evacuates nothing and is reported as a success, and against
// a request that nobody can withdraw because a later bundle lacks its zone.
func TestEvacuateUnknownZone(t *testing.T) {
	ctx := context.Background()
	s := newStoreWithBundle(t)
	for _, zone := range []string{"zone-1", "", "../bundle/current", "zone-0/x", "."} {
		e := evacuate(s, "a")
		e.Zone = zone
		var unknown *UnknownZoneError
		_, _, err := e.Request(ctx)
		must.True(t, errors.As(err, &unknown), must.Sprint(zone))
		must.StrContains(t, err.Error(), "names zone-0")
		_, err = e.Withdraw(ctx)
		must.True(t, errors.As(err, &unknown), must.Sprint(zone))
	}
	_, err := s.Memory.Put(ctx, rollout.EvacuationPrefix+"zone-1", []byte("{}"), 0)
	must.NoError(t, err)
	e := evacuate(s, "a")
	e.Zone = "zone-1"
	removed, err := e.Withdraw(ctx)
	must.NoError(t, err)
	must.True(t, removed)
	_, _, err = evacuate(standin.New(), "a").Request(ctx)
	must.ErrorContains(t, err, "no bundle has been rolled")
}
