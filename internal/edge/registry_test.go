package edge

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"guavaloom.example/guavaloom/internal/objectstore"
	"guavaloom.example/guavaloom/internal/replica"
)

// dataCentre returns the registries of a data centre's instances, which know each
// other and one instance of each of some other data centres.
func dataCentre(instances, others int) []*registry {
	addr := func(n int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)}), 7)
	}
	var all []*registry
	for n := range instances {
		all = append(all, newRegistry(&Settings{Name: fmt.Sprintf("i-%d", n), Zone: "a", Peer: addr(n)}))
	}
	for _, r := range all {
		for n := range instances {
			r.put(fmt.Sprintf("i-%d", n), "a", addr(n))
		}
		for n := range others {
			r.put(fmt.Sprintf("o-%d", n), fmt.Sprintf("o-%d", n), addr(1000+n))
		}
	}
	return all
}

// Load pattern: a data centre of the target size, in which all instances hear of each
// change from others. Guards against one instance that tells all, against two that
// follow each other, and against a way to the store that is longer than two steps.
func TestTreeOfReaders(t *testing.T) {
	all := dataCentre(137, 15)
	byAddr := map[netip.AddrPort]*registry{}
	for _, r := range all {
		byAddr[r.self.addr] = r
	}
	followers, readers := map[*registry]int{}, 0
	for _, r := range all {
		if r.isReader(0) {
			readers++
		}
		steps := 0
		for at := r; ; steps++ {
			parent, ok := at.parent(0)
			if !ok {
				break
			}
			if at == r {
				followers[byAddr[parent]]++
			}
			at = byAddr[parent]
			must.LessEq(t, 2, steps)
		}
	}
	must.Eq(t, 1, readers)
	for _, n := range followers {
		must.LessEq(t, fanOut, n)
	}
}

// Guards against an instance that goes on following one that does not answer, or
// stays with a substitute when its own source is back.
func TestSourceIsReplacedAndTakenBack(t *testing.T) {
	replaced := 0
	for _, r := range dataCentre(20, 3) {
		parent, ok := r.parent(0)
		if !ok {
			continue // it reads the store
		}
		must.True(t, r.isParent(0, parent))
		r.fail(time.Second, parent)
		substitute, ok := r.parent(time.Second)
		if !ok {
			continue // it has become the reader
		}
		replaced++
		must.NotEq(t, parent, substitute)
		must.False(t, r.isParent(time.Second, parent))
		back := time.Second + peerRetry
		must.True(t, r.isParent(back, parent))
		must.False(t, r.isParent(back, substitute))
	}
	must.Eq(t, 18, replaced)
}

// Load pattern: the store leaves the readers of two of three data centres without an
// answer, while that of the third learns of a change. Guards against a reader that
// asks one instance after the other, and the one that knows too late
// (hunted day 12d1-27 of bmbc-knot).
func TestReaderAsksEachDataCentre(t *testing.T) {
	for _, r := range dataCentre(20, 3) {
		if !r.isReader(0) {
			continue
		}
		zones := func(now time.Duration) map[string]bool {
			asked := map[netip.AddrPort]bool{}
			for _, addr := range r.toCompare(now) {
				asked[addr] = true
			}
			found := map[string]bool{}
			for _, p := range r.named {
				if asked[p.addr] {
					found[p.zone] = true
				}
			}
			return found
		}
		must.Eq(t, map[string]bool{"o-0": true, "o-1": true, "o-2": true}, zones(0))
		for _, p := range r.named {
			if p.zone != r.self.zone {
				r.fail(time.Second, p.addr)
			}
		}
		must.Eq(t, map[string]bool{r.self.zone: true}, zones(time.Second))
	}
}

// Load pattern: all instances start at once without a view, after a loss of power.
// Guards against a store that gets the lists of all of them: where they are many,
// those that don't read the store wait for their parents, and few instances don't
// wait, since the store answers them at once.
func TestStartOfAllListsTargetsByFew(t *testing.T) {
	const targets, instances, config = "targets", "instances", "config"
	for _, c := range []struct{ size, want int }{{137, 1}, {20, 20}} {
		lists, later := 0, 0
		for _, r := range dataCentre(c.size, 3) {
			i := &Instance{
				settings: &Settings{}, registry: r, replica: replica.New(targets, instances, config),
				platform: Platform{TargetKind: targets, InstanceKind: instances, ConfigKind: config},
			}
			timing := DefaultDeployment().Timing()
			at := firstFromPeers
			must.True(t, i.firstListDue(at, instances, timing.ReadStoreAfter))
			must.False(t, i.firstListDue(at-1, targets, timing.ReadStoreAfter))
			if i.firstListDue(at, targets, timing.ReadStoreAfter) {
				lists++
			}
			if i.firstListDue(timing.ReadStoreAfter, targets, timing.ReadStoreAfter) {
				later++
			}
		}
		must.Eq(t, c.want, lists)
		must.Eq(t, c.size, later, must.Sprint("no instance waits for ever"))
	}
}

// hangingStore answers lists when their context ends.
type hangingStore struct {
	objectstore.Store
	asked chan struct{}
}

func (s hangingStore) List(ctx context.Context, _ string) (objectstore.Listing, error) {
	s.asked <- struct{}{}
	<-ctx.Done()
	return objectstore.Listing{}, ctx.Err()
}

// Guards against a first list that goes on though the list of instances has shown
// that this instance should wait, and against one that can't be made any more later.
func TestFirstListIsBrokenOff(t *testing.T) {
	store := hangingStore{asked: make(chan struct{}, 2)}
	i := &Instance{replica: replica.New("targets"), platform: Platform{Store: store, InstanceKind: "instances"}}
	i.firstLists, i.endFirstLists = context.WithCancel(t.Context())
	plan := replica.NewPlan(time.Second, time.Second, newRand())
	go func() { <-store.asked; i.endFirstLists() }()
	_, left := i.callStore(t.Context(), "targets", plan)
	must.True(t, left)
	ctx, cancel := context.WithCancel(t.Context())
	go func() { <-store.asked; cancel() }()
	_, left = i.callStore(ctx, "targets", plan)
	must.False(t, left)
}
