package daemon

import (
	"context"
	"math/rand"
	"time"

	"guavaloom.example/guavaloom/internal/objectstore"
	"guavaloom.example/guavaloom/internal/replica"
	"guavaloom.example/guavaloom/internal/rollout"
)

const (
	// evacuationWait is how long a watch of the evacuations waits for a change. An instance that
	// lost the lead stops reading after it.
	evacuationWait = 10 * time.Second
	// leadInterval is how often an instance checks whether it leads and has to read evacuations.
	leadInterval = 500 * time.Millisecond
	// evacuationGrace is how long an evacuation holds that a restored store lacks, so that the
	// operator can request it again.
	evacuationGrace = 3 * time.Second
)

// watchEvacuations drains the zone's targets while the store has a request to evacuate the zone.
// Only the leader reads the requests, since the others follow its table.
func (h *healthController) watchEvacuations(ctx context.Context) error {
	plan := replica.NewWatchPlan(evacuationWait, 0, rand.New(rand.NewSource(int64(h.d.self.Incarnation))))
	var epoch uint64
	for ctx.Err() == nil {
		if leader, ok := h.d.zone.leader(); !ok || !leader.Same(h.d.self) {
			plan.Restart()
			pauseFor(ctx, leadInterval)
			continue
		}
		res := objectstore.Do(ctx, h.d.rollout.store, plan.Next(rollout.EvacuationPrefix))
		pause := plan.Done(&res)
		if res.Err != nil {
			pauseFor(ctx, pause) // what is known stays in force
			continue
		}
		requested, known := requestIn(&res, rollout.EvacuationPrefix+h.d.self.Zone)
		restored := res.Listing.Version.Epoch() > epoch
		epoch = res.Listing.Version.Epoch()
		if known && !requested && restored && h.evacuated() {
			plan.Restart()
			pauseFor(ctx, evacuationGrace)
			continue
		}
		if known {
			h.setEvacuated(requested)
		}
		pauseFor(ctx, pause)
	}
	return nil
}

// requestIn reports whether an object exists; known is false if the answer does not tell.
func requestIn(r *objectstore.Result, key string) (exists, known bool) {
	for _, o := range r.Listing.Objects {
		if o.Key == key {
			return !o.Deleted, true
		}
	}
	return false, r.Call.Op == objectstore.OpList
}

func (h *healthController) evacuated() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.merger.Evacuated()
}

// setEvacuated passes a change to the merger and proposes the resulting state.
func (h *healthController) setEvacuated(evacuated bool) {
	h.mu.Lock()
	changed := h.merger.SetEvacuated(evacuated)
	h.mu.Unlock()
	if !changed {
		return
	}
	message := "evacuation withdrawn"
	if evacuated {
		message = "evacuation"
	}
	h.d.log.Info(message)
	h.propose(false)
}

// pauseFor waits for d, or until ctx ends.
func pauseFor(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
