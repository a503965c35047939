package daemon

import (
	"context"
	"encoding/json"
	"testing"

	"github.com/shoenig/test/must"

	"guavaloom.example/guavaloom/internal/objectstore"
	"guavaloom.example/guavaloom/internal/objectstore/standin"
	"guavaloom.example/guavaloom/internal/rollout"
	"guavaloom.example/guavaloom/internal/zone"
)

// Guards against a second run of a key after all instances of a zone were replaced.
func TestServedBefore(t *testing.T) {
	ctx := context.Background()
	store := standin.New()
	must.False(t, servedBefore(ctx, store, "z"), must.Sprint("a zone without status is new"))

	status := rollout.Status{Zone: "z"}
	put := func() {
		value, err := json.Marshal(status)
		must.NoError(t, err)
		o, err := store.Get(ctx, rollout.StatusPrefix+"z")
		if err != nil {
			o.Version = 0
		}
		_, err = store.Put(ctx, rollout.StatusPrefix+"z", value, o.Version)
		must.NoError(t, err)
	}
	put()
	must.False(t, servedBefore(ctx, store, "z"), must.Sprint("no bundle was in force"))

	status.InForce = zone.Revision{Epoch: 1, Number: 1}
	put()
	must.True(t, servedBefore(ctx, store, "z"))

	store.SetFaults(standin.Faults{Down: true})
	must.True(t, servedBefore(ctx, store, "new"), must.Sprint("an outage must count as served before"))
}

// Guards against requests that run twice because a zone was founded anew after the store had
// lost, by a restore from an older copy, that the zone was in service.
func TestServedBeforeARestore(t *testing.T) {
	ctx := context.Background()
	store := standin.New()
	older := store.Snapshot()
	put := func(expect objectstore.Version, status rollout.Status) objectstore.Version {
		value, err := json.Marshal(status)
		must.NoError(t, err)
		v, err := store.Put(ctx, rollout.StatusPrefix+"z", value, expect)
		must.NoError(t, err)
		return v
	}
	put(0, rollout.Status{Zone: "z", InForce: zone.Revision{Epoch: 1, Number: 1}})
	store.Restore(older)
	must.True(t, servedBefore(ctx, store, "z"), must.Sprint("the status may have been lost"))
	v := put(0, rollout.Status{Zone: "z"})
	must.True(t, servedBefore(ctx, store, "z"), must.Sprint("a status from before the restore proves nothing"))
	put(v, rollout.Status{Zone: "z", StoreEpoch: 1})
	must.False(t, servedBefore(ctx, store, "z"))
}
