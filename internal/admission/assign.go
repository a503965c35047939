package admission

import (
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"guavaloom.example/guavaloom/internal/instance"
	"guavaloom.example/guavaloom/internal/rendezvous"
	"guavaloom.example/guavaloom/internal/service"
)

// Assign fills Owned and BulkOwned of the targets for one instance.
//
// Each slot goes to the first instance by rendezvous that is below its quota;
// quotas of two instances differ by at most one slot. The last slot of each
// target is assigned first and is never for bulk, so that both kinds are
// spread evenly. Every instance computes the same result from the same table.
func Assign(svc service.ID, members []instance.ID, self instance.ID, targets []Target) []Target {
	out := append([]Target(nil), targets...)
	for i := range out {
		out[i].Owned, out[i].BulkOwned = 0, 0
	}
	me := slices.Index(members, self)
	assignSlots(svc, members, targets, func(at, member int, last bool) {
		if member != me {
			return
		}
		out[at].Owned++
		if !last || out[at].Slots == 1 {
			out[at].BulkOwned++
		}
	})
	return out
}

// OwnedSlots returns how many slots each member owns. Where there are more members
// than slots, those without one hand their requests to owners.
func OwnedSlots(svc service.ID, members []instance.ID, targets []Target) []int {
	owned := make([]int, len(members))
	assignSlots(svc, members, targets, func(_, member int, _ bool) { owned[member]++ })
	return owned
}

// assignSlots calls visit for every slot with the position of its target and its owner.
func assignSlots(svc service.ID, members []instance.ID, targets []Target, visit func(at, member int, last bool)) {
	if len(members) == 0 {
		return
	}
	seeds := make([]uint64, len(members))
	for i, m := range members {
		seeds[i] = rendezvous.Seed(string(m))
	}
	total := 0
	for _, t := range targets {
		total += t.Slots
	}
	q := newQuota(total, len(members))
	for _, last := range []bool{true, false} {
		for at, t := range targets {
			for slot := range t.Slots {
				if (slot == t.Slots-1) == last {
					visit(at, q.assignOwner(seeds, xxhash.Sum64String(fmt.Sprintf("%s/%s/%d", svc, t.ID, slot))), last)
				}
			}
		}
	}
}

// quota hands out slots so that shares differ by at most one.
type quota struct {
	assigned []int
	floor    int
	extra    int
}

func newQuota(slots, members int) *quota {
	return &quota{assigned: make([]int, members), floor: slots / members, extra: slots % members}
}

func (q *quota) assignOwner(seeds []uint64, key uint64) int {
	best := -1
	var score uint64
	for i, seed := range seeds {
		if q.assigned[i] > q.floor || (q.assigned[i] == q.floor && q.extra == 0) {
			continue
		}
		if s := rendezvous.Score(seed, key); best < 0 || s > score {
			best, score = i, s
		}
	}
	if q.assigned[best] == q.floor {
		q.extra--
	}
	q.assigned[best]++
	return best
}
