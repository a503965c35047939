package operator

import (
	"context"
	"crypto/ed25519"
	"encoding/json"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/shoenig/test/must"

	"guavaloom.example/guavaloom/internal/bundle"
	"guavaloom.example/guavaloom/internal/instance"
	"guavaloom.example/guavaloom/internal/objectstore"
	"guavaloom.example/guavaloom/internal/objectstore/standin"
	"guavaloom.example/guavaloom/internal/rollout"
	"guavaloom.example/guavaloom/internal/service"
	"guavaloom.example/guavaloom/internal/target"
	"guavaloom.example/guavaloom/internal/zone"
)

var key = ed25519.NewKeyFromSeed([]byte(strings.Repeat("k", ed25519.SeedSize)))

func revision(n uint64) zone.Revision { return zone.Revision{Epoch: 1, Number: n} }

func testBundle(n uint64, owner string) *bundle.Bundle {
	return &bundle.Bundle{Name: "test", Revision: revision(n), Zones: []string{"zone-0"}, Services: []service.Service{{
		ID: service.ID(owner), Protocol: service.TCP, Address: netip.MustParseAddrPort("10.0.0.1:80"),
		Targets: []target.Target{{ID: target.ID("t-" + owner), Addr: netip.MustParseAddrPort("10.0.1.1:80"), Zone: "zone-0"}}}}}
}

// intercept calls before once, ahead of the next Put of the manifest.
type intercept struct {
	*standin.Memory
	before func()
}

func (i *intercept) Put(ctx context.Context, k string, v []byte, expect objectstore.Version) (objectstore.Version, error) {
	if k == rollout.CurrentKey && i.before != nil {
		f := i.before
		i.before = nil
		f()
	}
	return i.Memory.Put(ctx, k, v, expect)
}

func newRoll(s objectstore.Store, b *bundle.Bundle, id string) *Roll {
	public := key.Public().(ed25519.PublicKey)
	pauses := 0
	return &Roll{Store: s, Bundle: b, ID: id, Operator: "op-" + id, Signatures: []bundle.Signature{bundle.Sign(b.Digest(), key)},
		Policy: bundle.Policy{Name: "test", Threshold: 1, Keys: map[bundle.KeyID]ed25519.PublicKey{bundle.KeyIDOf(public): public}},
		Pause: func(context.Context, time.Duration) error {
			if pauses++; pauses > 20 {
				return context.DeadlineExceeded
			}
			return nil
		}}
}

func setStatus(t *testing.T, s objectstore.Store, z string, status rollout.Status) {
	ctx := context.Background()
	value, err := json.Marshal(status)
	must.NoError(t, err)
	o, _ := s.Get(ctx, rollout.StatusPrefix+z)
	_, err = s.Put(ctx, rollout.StatusPrefix+z, value, o.Version)
	must.NoError(t, err)
}

func refusal(t *testing.T, err error) *RefusedError {
	t.Helper()
	var r *RefusedError
	must.True(t, errors.As(err, &r), must.Sprintf("%v", err))
	return r
}

// Guards against two concurrent rolls that both report success, and against parts of
// both bundles under one manifest.
func TestTwoOperatorsRace(t *testing.T) {
	ctx := context.Background()
	s := &intercept{Memory: standin.New()}
	must.NoError(t, newRoll(s, testBundle(1, "a"), "first").Start(ctx))
	s.before = func() { must.NoError(t, newRoll(s, testBundle(3, "a"), "winner").Start(ctx)) }
	r := refusal(t, newRoll(s, testBundle(2, "a"), "loser").Start(ctx))
	must.StrContains(t, r.Error(), "roll winner by op-winner with revision 1.3")
	st, err := ReadState(ctx, s)
	must.NoError(t, err)
	must.Eq(t, testBundle(3, "a").Digest().String(), st.Current.Digest)
}

// Guards against a roll that takes a lost answer to its successful write for a lost race,
// also if the read-back first fails or is stale, and against a failed roll that takes a
// lost answer for success.
func TestLostAnswerOfTheWinningWrite(t *testing.T) {
	ctx := context.Background()
	for name, faults := range map[string]standin.Faults{
		"lost":           {LoseAnswers: 1},
		"lost and stale": {LoseAnswers: 1, StaleReads: 1},
	} {
		s := &intercept{Memory: standin.New()}
		must.NoError(t, newRoll(s, testBundle(1, "a"), "first").Start(ctx))
		s.before = func() { s.SetFaults(faults) }
		must.NoError(t, newRoll(s, testBundle(2, "a"), "roll").Start(ctx), must.Sprint(name))
		st, err := ReadState(ctx, s)
		must.NoError(t, err)
		must.Eq(t, "roll", st.Current.RollID)
	}
	s := &intercept{Memory: standin.New()}
	s.before = func() { s.SetFaults(standin.Faults{Down: true}) }
	r := newRoll(s, testBundle(1, "a"), "down")
	err := r.Start(ctx)
	must.ErrorIs(t, err, objectstore.ErrUnavailable, must.Sprint("an outage is not a refusal"))
	s.SetFaults(standin.Faults{})
	must.NoError(t, r.Start(ctx), must.Sprint("the same roll can be repeated"))
}

// outage is a store that becomes unavailable once a manifest has been stored.
type outage struct{ *standin.Memory }

func (o *outage) Put(ctx context.Context, k string, v []byte, expect objectstore.Version) (objectstore.Version, error) {
	version, err := o.Memory.Put(ctx, k, v, expect)
	if k == rollout.CurrentKey {
		o.SetFaults(standin.Faults{Down: true})
	}
	return version, err
}

// Guards against a roll that fails because of a short outage right after its manifest
// was stored, and against an error after a long outage that does not say that the
// manifest is stored.
func TestOutageAfterCommit(t *testing.T) {
	ctx := context.Background()
	s := &outage{standin.New()}
	r := newRoll(s, testBundle(1, "a"), "short")
	pauses := 0
	r.Pause = func(context.Context, time.Duration) error {
		if pauses++; pauses == 3 {
			s.SetFaults(standin.Faults{})
		}
		return nil
	}
	must.NoError(t, r.Start(ctx))
	must.Eq(t, 3, pauses)
	err := newRoll(s, testBundle(2, "a"), "long").Start(ctx)
	must.ErrorIs(t, err, objectstore.ErrUnavailable)
	must.ErrorContains(t, err, "revision 1.2 is stored")
}

// Guards against a roll with a revision not above the one in force, after the store was
// restored to an older state that lacks that revision.
func TestRefusesToRollBelowForce(t *testing.T) {
	ctx := context.Background()
	s := standin.New()
	must.NoError(t, newRoll(s, testBundle(1, "a"), "one").Start(ctx))
	old := s.Snapshot()
	must.NoError(t, newRoll(s, testBundle(5, "a"), "five").Start(ctx))
	s.Restore(old)
	setStatus(t, s, "zone-0", rollout.Status{InForce: revision(5), Held: revision(5)})
	must.StrContains(t, refusal(t, newRoll(s, testBundle(5, "b"), "x").Start(ctx)).Error(), "1.5 is not above 1.5, which zone zone-0 holds")
	must.StrContains(t, refusal(t, newRoll(s, testBundle(1, "b"), "y").Start(ctx)).Error(), "roll one by op-one")
	must.NoError(t, newRoll(s, testBundle(6, "a"), "six").Start(ctx))
}

// Guards against a roll that is checked against what zones reported before the store was
// restored from an older copy, or that takes a lost report for none.
func TestRollNeedsReportsSinceTheRestore(t *testing.T) {
	ctx := context.Background()
	s := standin.New()
	s.SetInstances([]objectstore.Instance{{Ref: instance.Ref{ID: "i", Zone: "zone-0"}}, {Ref: instance.Ref{ID: "j", Zone: "zone-1"}}})
	must.NoError(t, newRoll(s, testBundle(1, "a"), "one").Start(ctx))
	setStatus(t, s, "zone-0", rollout.Status{InForce: revision(1), Held: revision(1)})
	older := s.Snapshot()
	setStatus(t, s, "zone-1", rollout.Status{InForce: revision(1), Held: revision(1)})
	s.Restore(older)
	r := refusal(t, newRoll(s, testBundle(2, "a"), "two").Start(ctx))
	must.StrContains(t, r.Error(), "zones [zone-0 zone-1] have not reported since")
	setStatus(t, s, "zone-0", rollout.Status{InForce: revision(1), Held: revision(1), StoreEpoch: 1})
	must.StrContains(t, refusal(t, newRoll(s, testBundle(2, "a"), "two").Start(ctx)).Error(), "zones [zone-1] have not")
	setStatus(t, s, "zone-1", rollout.Status{InForce: revision(1), Held: revision(1), StoreEpoch: 1})
	must.NoError(t, newRoll(s, testBundle(2, "a"), "two").Start(ctx))
}

// Guards against a roll that replaces a manifest on the word of a revision from before the
// store was restored, and against one that blames another operator.
func TestRestoreDuringARoll(t *testing.T) {
	ctx := context.Background()
	m := standin.New()
	must.NoError(t, newRoll(m, testBundle(1, "a"), "one").Start(ctx))
	older := m.Snapshot()
	s := &intercept{Memory: m, before: func() { m.Restore(older) }}
	r := refusal(t, newRoll(s, testBundle(2, "a"), "two").Start(ctx))
	must.StrContains(t, r.Error(), "restored from an older copy during the roll")
	must.NoError(t, newRoll(s, testBundle(2, "a"), "two").Start(ctx))
}

// Guards against an address that moves to another service within one roll or before its
// removal is acknowledged.
func TestAddressMovesOnlyAfterRelease(t *testing.T) {
	ctx := context.Background()
	s := standin.New()
	other := testBundle(2, "b")
	other.Services[0].Address = netip.MustParseAddrPort("10.0.0.2:80")
	other.Services[0].Targets[0].Addr = netip.MustParseAddrPort("10.0.1.2:80")
	must.NoError(t, newRoll(s, testBundle(1, "a"), "1").Start(ctx))
	must.Len(t, 2, refusal(t, newRoll(s, testBundle(2, "b"), "x").Start(ctx)).Addresses)
	must.NoError(t, newRoll(s, other, "2").Start(ctx))
	moved := testBundle(3, "c")
	r := refusal(t, newRoll(s, moved, "y").Start(ctx))
	must.StrContains(t, r.Error(), "10.0.0.1:80/tcp of service c: held as 10.0.0.1:80/tcp of service a: zone zone-0 has no status")
	setStatus(t, s, "zone-0", rollout.Status{InForce: revision(2), Acked: revision(2)})
	must.NoError(t, newRoll(s, moved, "3").Start(ctx))
}

// Guards against reporting success before the revision is in force in every zone, against
// waiting for a closed zone, and against deleting parts that are in use.
func TestWaitAndClean(t *testing.T) {
	ctx := context.Background()
	s := standin.New()
	s.SetInstances([]objectstore.Instance{{Ref: instance.Ref{ID: "i", Zone: "zone-1"}}})
	setStatus(t, s, "closed", rollout.Status{})
	must.NoError(t, newRoll(s, testBundle(1, "a"), "1").Start(ctx))
	r := newRoll(s, testBundle(2, "a"), "2")
	must.NoError(t, r.Start(ctx))
	setStatus(t, s, "zone-0", rollout.Status{InForce: revision(2)})
	setStatus(t, s, "zone-1", rollout.Status{InForce: revision(1), Counts: map[string]int{"1.1": 3, "1.2": 4}})
	var shown [][]Progress
	must.ErrorIs(t, r.Wait(ctx, func(p []Progress) { shown = append(shown, p) }), context.DeadlineExceeded)
	must.Len(t, 1, shown)
	must.Eq(t, 3, shown[0][1].Behind)
	setStatus(t, s, "zone-1", rollout.Status{InForce: revision(2)})
	must.NoError(t, newRoll(s, r.Bundle, "again").Wait(ctx, func([]Progress) {}))
	must.NoError(t, r.DeleteUnusedParts(ctx))
	parts, err := s.List(ctx, rollout.PartPrefix)
	must.NoError(t, err)
	must.Len(t, len(r.Bundle.Encode().Parts), parts.Objects)
	must.NoError(t, newRoll(s, testBundle(3, "a"), "3").Start(ctx))
	must.Eq(t, "3", refusal(t, newRoll(s, r.Bundle, "2").Wait(ctx, func([]Progress) {})).Winner.RollID)
}

// Guards against an installation that can no longer roll any bundle after its store lost
// parts of the current one.
func TestLostPartsOfCurrentBundle(t *testing.T) {
	ctx := context.Background()
	s := standin.New()
	one := newRoll(s, testBundle(1, "a"), "1")
	must.NoError(t, one.Start(ctx))
	for d := range one.Bundle.Encode().Parts {
		o, err := s.Get(ctx, rollout.PartKey(d))
		must.NoError(t, err)
		must.NoError(t, s.Delete(ctx, o.Key, o.Version))
	}
	two := newRoll(s, testBundle(2, "a"), "2")
	must.ErrorContains(t, two.Start(ctx), "parts are missing")
	two.Previous = testBundle(2, "b")
	must.ErrorContains(t, two.Start(ctx), "parts are missing", must.Sprint("Previous must be the current bundle"))
	two.Previous = one.Bundle
	must.NoError(t, two.Start(ctx))
}

// Guards against a roll on a store that lost its bundle and gives an address to one
// service while the zones use it for another, and against an installation that can no
// longer roll any bundle.
func TestLostBundle(t *testing.T) {
	ctx := context.Background()
	s := standin.New()
	status, err := json.Marshal(rollout.Status{Zone: "zone-0", Held: zone.Revision{Epoch: 1, Number: 1}})
	must.NoError(t, err)
	_, err = s.Put(ctx, rollout.StatusPrefix+"zone-0", status, 0)
	must.NoError(t, err)
	two := newRoll(s, testBundle(2, "a"), "2")
	must.ErrorContains(t, two.Start(ctx), "which the store has lost")
	two.Previous = testBundle(1, "a")
	must.NoError(t, two.Start(ctx))
}

// Guards against rolling a bundle that lacks signatures or is for another installation.
func TestUnsignedBundleIsRefused(t *testing.T) {
	r := newRoll(standin.New(), testBundle(1, "a"), "1")
	r.Signatures = nil
	must.StrContains(t, refusal(t, r.Start(context.Background())).Error(), "0 valid signatures, required are 1")
	r.Signatures, r.Policy.Name = []bundle.Signature{bundle.Sign(r.Bundle.Digest(), key)}, "other"
	must.StrContains(t, refusal(t, r.Start(context.Background())).Error(), "bundle is for")
}
