package edge

import (
	"bytes"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"guavaloom.example/guavaloom/internal/logfield"
	"guavaloom.example/guavaloom/internal/objectstore"
)

// newEvacuationInstance returns an instance, without I/O, that has listed no evacuations.
func newEvacuationInstance(t *testing.T, out *bytes.Buffer) *Instance {
	t.Helper()
	logger, err := logfield.New(out, "info", logfield.JSON)
	must.NoError(t, err)
	s := &Settings{Name: "i", Zone: "a", Deployment: DefaultDeployment(), Regions: map[string]string{"a": "north", "b": "south"}}
	s.Deployment.EvacuationBound = 5 * time.Second
	p := Platform{ConfigKind: "config", TargetKind: "targets", InstanceKind: "instances", EvacuationKind: "evacuations", Entries: failingPlatform{}}
	return New(s, p, logger)
}

// evacuationList returns a list or, with deleted, a watch's answer at a version of the store.
func evacuationList(t *testing.T, epoch, revision uint64, deleted bool, zones ...string) objectstore.Listing {
	t.Helper()
	v, err := objectstore.NewVersion(epoch, revision)
	must.NoError(t, err)
	l := objectstore.Listing{Version: v}
	for _, zone := range zones {
		l.Objects = append(l.Objects, objectstore.Object{Key: "evacuations/" + zone, Version: v, Value: []byte("{}"), Deleted: deleted})
	}
	return l
}

// Guards against an evacuation that ends although it was written again within the grace after a
// restore that lost it, and against a second restore that has it without effect.
func TestLostEvacuationIsWrittenAgain(t *testing.T) {
	var out bytes.Buffer
	i := newEvacuationInstance(t, &out)
	grace := i.timing.View.ReturnGrace
	apply := func(at time.Duration, l objectstore.Listing, full bool) {
		i.applyListing(at, "evacuations", storeSource, l, full)
		i.settleEvacuations(at)
	}
	apply(0, evacuationList(t, 1, 4, false), true)
	apply(time.Second, evacuationList(t, 1, 5, false, "b"), false)
	must.True(t, i.forward.View.Evacuated("b"))

	apply(2*time.Second, evacuationList(t, 2, 4, false), true) // restored without it
	i.settleEvacuations(2*time.Second + grace - 1)
	must.True(t, i.forward.View.Evacuated("b"))
	apply(2*time.Second+grace-1, evacuationList(t, 2, 5, false, "b"), false)
	i.settleEvacuations(time.Hour)
	must.True(t, i.forward.View.Evacuated("b"))

	apply(time.Hour, evacuationList(t, 3, 4, false), true)                  // restored without it
	apply(time.Hour+time.Second, evacuationList(t, 4, 5, false, "b"), true) // restored with it
	i.settleEvacuations(2 * time.Hour)
	must.True(t, i.forward.View.Evacuated("b"))
	known, _ := i.forward.View.EvacuatedFor(2*time.Hour, "b")
	must.Eq(t, 2*time.Hour-time.Second, known)

	apply(2*time.Hour, evacuationList(t, 4, 6, true, "b"), false)
	must.False(t, i.forward.View.Evacuated("b"))
}

// Guards against an answer from before a restore that brings back a request or a withdrawal.
func TestAnswerFromBeforeTheRestore(t *testing.T) {
	var out bytes.Buffer
	i := newEvacuationInstance(t, &out)
	apply := func(l objectstore.Listing, full bool) { i.applyListing(0, "evacuations", peerSource, l, full) }
	apply(evacuationList(t, 1, 5, false, "b"), true)
	apply(evacuationList(t, 2, 5, false, "a"), true)
	apply(evacuationList(t, 1, 9, true, "a"), false)
	apply(evacuationList(t, 1, 9, false), true)
	must.True(t, i.forward.View.Evacuated("a"))
	i.settleEvacuations(time.Minute)
	must.False(t, i.forward.View.Evacuated("b"))
	apply(evacuationList(t, 1, 10, false, "b"), false)
	must.False(t, i.forward.View.Evacuated("b"))
}

// Guards against an instance that is ready while it knows the evacuations only from a copy of the
// store that may be seconds old.
func TestStaleEvacuationsAreNotConfirmed(t *testing.T) {
	var out bytes.Buffer
	i := newEvacuationInstance(t, &out)
	for _, kind := range []string{"config", "targets"} {
		i.applyListing(i.now(), kind, storeSource, evacuationList(t, 1, 4, false), true)
	}
	stale := evacuationList(t, 0, 4, false)
	stale.Age = 10 * time.Second
	i.applyListing(i.now(), "evacuations", storeSource, stale, true)
	must.False(t, i.viewConfirmed())
	i.applyListing(i.now(), "evacuations", storeSource, evacuationList(t, 1, 4, false), true)
	must.True(t, i.viewConfirmed())
}

// Guards against derived times with which an evacuation, learned from another data centre at the
// last moment, and a retransmission after it don't leave a tenth of the bound for packets on the
// way.
func TestTimingKeepsTheEvacuationBound(t *testing.T) {
	for _, bound := range []time.Duration{300 * time.Millisecond, time.Second, 5 * time.Second, time.Minute} {
		d := deployment(func(d *Deployment) { d.EvacuationBound = bound })
		x := d.Timing()
		known := x.PeerQueryAfter + x.PeerQueryInterval + x.PeerQueryTimeout
		must.LessEq(t, bound*8/10, known, must.Sprint(bound))
		must.LessEq(t, bound/10, x.Forwarding.EvacuationRepeat, must.Sprint(bound))
		must.LessEq(t, d.ConfigBound*8/10, known, must.Sprint(bound))
	}
	must.Eq(t, DefaultDeployment().Timing().Coalesce, deployment(func(d *Deployment) { d.EvacuationBound = time.Minute }).Timing().Coalesce)
}
