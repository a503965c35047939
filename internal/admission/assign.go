package admission

import (
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"guavaloom.example/guavaloom/internal/instance"
	"guavaloom.example/guavaloom/internal/rendezvous"
	"guavaloom.example/guavaloom/internal/service"
)

// Assign returns the targets with Owned and BulkOwned set for instance self.
//
// Each slot goes to the instance with the highest rendezvous score that is below
// its quota; quotas differ by at most one slot. The last slot of each target is the
// reserve and is not counted in BulkOwned, unless it is the only one. Last slots are
// assigned before the others, so that both kinds are spread evenly. Every instance
// computes the same result from the same table.
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

// OwnedSlots returns the number of slots that each member owns. If there are more
// members than slots, a member without slots forwards its requests to one that owns
// some.
func OwnedSlots(svc service.ID, members []instance.ID, targets []Target) []int {
	owned := make([]int, len(members))
	assignSlots(svc, members, targets, func(_, member int, _ bool) { owned[member]++ })
	return owned
}

// assignSlots calls visit for every slot with the indexes of its target and of its
// owner. last is set for the last slot of a target.
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

// quota assigns slots so that the numbers of slots per member differ by at most one.
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
