package edge

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"guavaloom.example/guavaloom/internal/objectstore"
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

// Load pattern: a data centre of the target size, whose instances receive changes from each other.
// Guards against an instance with too many followers, against two that follow each other,
// and against a path to the reader of more than two steps.
func TestFollowerTree(t *testing.T) {
	all := dataCentre(137, 15)
	byAddr := map[netip.AddrPort]*registry{}
	for _, r := range all {
		byAddr[r.self.addr] = r
	}
	followers, readers := map[*registry]int{}, 0
	for _, r := range all {
		if r.isReader() {
			readers++
		}
		steps := 0
		for at := r; ; steps++ {
			parent, ok := at.parent()
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

// Guards against an instance that continues to follow a parent that does not answer, tries it
// again in place of a living one, does not check whether it answers again, or keeps the
// substitute when it does.
func TestParentIsReplacedAndRestored(t *testing.T) {
	replaced := 0
	for _, r := range dataCentre(20, 3) {
		parent, ok := r.parent()
		if !ok {
			continue // it reads the store
		}
		must.True(t, r.isParent(parent))
		r.recordFailure(time.Second, parent)
		substitute, ok := r.parent()
		if !ok {
			continue // it is a reader now
		}
		replaced++
		must.NotEq(t, parent, substitute)
		must.False(t, r.isParent(parent))
		back := time.Second + peerRetryDelay
		must.False(t, slices.Contains(r.peersToCheck(back-1), parent))
		must.True(t, slices.Contains(r.peersToCheck(back), parent))
		must.False(t, r.isParent(parent))
		r.recordAnswer(back, parent)
		must.True(t, r.isParent(parent))
		must.False(t, r.isParent(substitute))
	}
	must.Eq(t, 18, replaced)
}

// Load pattern: the store leaves the readers of two of three data centres without an
// answer, while that of the third receives a change. Guards against a reader that
// queries one instance after the other and reaches the one with the change too late
// (hunted day 12d1-27 of bmbc-knot).
func TestReaderAsksEachDataCentre(t *testing.T) {
	for _, r := range dataCentre(20, 3) {
		if !r.isReader() {
			continue
		}
		zones := func(now time.Duration) map[string]bool {
			asked := map[netip.AddrPort]bool{}
			for _, addr := range r.peersToCompare(now) {
				asked[addr] = true
			}
			found := map[string]bool{}
			for _, p := range r.byName {
				if asked[p.addr] {
					found[p.zone] = true
				}
			}
			return found
		}
		must.Eq(t, map[string]bool{"o-0": true, "o-1": true, "o-2": true}, zones(0))
		for _, p := range r.byName {
			if p.zone != r.self.zone {
				r.recordFailure(time.Second, p.addr)
			}
		}
		must.Eq(t, map[string]bool{r.self.zone: true}, zones(time.Second))
	}
}

// startedInstance returns an instance of a data centre that started some time ago.
func startedInstance(r *registry, ago time.Duration, listStale func(context.Context, string, int) (objectstore.Listing, error)) *Instance {
	i := New(&Settings{Deployment: DefaultDeployment()}, Platform{
		ConfigKind: "config", TargetKind: "targets", InstanceKind: "instances", ListStale: listStale,
	}, logrus.New())
	i.registry, i.start = r, time.Now().Add(-ago)
	return i
}

// Load pattern: all instances start at once without a view, after a power failure. Guards
// against a store that serves the current list to all instances, or lists too long for its
// link: only readers list the current state. The others use a stale list, or wait for their
// parent if that list is too long, but not for ever.
func TestFleetStartLimitsStoreLists(t *testing.T) {
	const targetPages = 6 // 3,000 targets
	for _, c := range []struct{ size, wantStaleLists int }{{20, 60}, {137, 2 * 137}} {
		lists, afterTimeout, staleLists := 0, 0, 0
		for _, r := range dataCentre(c.size, 3) {
			i := startedInstance(r, peerQueryDelay, func(_ context.Context, kind string, pages int) (objectstore.Listing, error) {
				if kind == "targets" && pages < targetPages {
					return objectstore.Listing{}, objectstore.ErrTooLong
				}
				staleLists++
				return objectstore.Listing{Version: 1, Age: time.Minute}, nil
			})
			for _, kind := range []string{"instances", "config", "targets"} {
				i.listInitially(t.Context(), kind)
			}
			if i.shouldReadStore("targets", i.timing.ReadStoreAfter) {
				lists++
			}
			i.start = i.start.Add(-i.timing.ReadStoreAfter)
			if i.shouldReadStore("targets", i.timing.ReadStoreAfter) {
				afterTimeout++
			}
		}
		must.Eq(t, 1, lists)
		must.Eq(t, c.wantStaleLists, staleLists)
		must.Eq(t, c.size, afterTimeout)
	}
}

// Guards against an instance without a view after a failed first list: it must read the
// current list from the store.
func TestFirstListThatFails(t *testing.T) {
	i := startedInstance(dataCentre(20, 3)[0], time.Second, func(context.Context, string, int) (objectstore.Listing, error) {
		return objectstore.Listing{}, objectstore.ErrUnavailable
	})
	i.listInitially(t.Context(), "instances")
	i.listInitially(t.Context(), "targets")
	must.False(t, i.listed("targets"))
	must.True(t, i.shouldReadStore("targets", time.Hour))
}

// Load pattern: readers compare their replicas during a store outage. Guards against a
// reader that connects to all instances of the other data centres, and against one that
// never queries some data centre.
func TestReadersQueryFewPeers(t *testing.T) {
	r := newRegistry(&Settings{Name: "i-0", Zone: "a", Peer: netip.MustParseAddrPort("10.0.0.1:7")})
	for zone := range 15 {
		for n := range 137 {
			addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(zone), byte(n)}), 7)
			r.put(fmt.Sprintf("z%d-%d", zone, n), fmt.Sprintf("z%d", zone), addr)
		}
	}
	zones, all := map[byte]bool{}, map[netip.AddrPort]bool{}
	for range 60 {
		asked := r.peersToCompare(0)
		must.Len(t, queriedZones, asked)
		for _, addr := range asked {
			zones[addr.Addr().As4()[2]], all[addr] = true, true
		}
	}
	must.MapLen(t, 15, zones)
	must.LessEq(t, 15*queriedRanks, len(all))
}

// Guards against an instance that loses its own rank when its entry is rewritten or
// removed by mistake, and against ranks that contain an instance twice.
func TestRanksFollowTheEntries(t *testing.T) {
	r := dataCentre(20, 0)[3]
	size := r.zoneSize()
	r.put("i-3", "b", netip.MustParseAddrPort("10.9.9.9:9"))
	r.remove("i-3")
	r.put("i-4", "a", netip.MustParseAddrPort("10.9.9.9:9"))
	must.Eq(t, size, r.zoneSize())
	r.put("i-4", "b", netip.MustParseAddrPort("10.9.9.9:9"))
	must.Eq(t, size-1, r.zoneSize())
	r.remove("i-4")
	must.MapNotContainsKey(t, r.ranks, "b")
	must.True(t, slices.IsSortedFunc(r.ranks["a"], byRank))
}

// Guards against reports to or from instances of other data centres, those that do not answer, or
// this one, also under an earlier name.
func TestInstancesForReports(t *testing.T) {
	addr := func(ip string) netip.AddrPort { return netip.AddrPortFrom(netip.MustParseAddr(ip), 7000) }
	r := newRegistry(&Settings{Name: "self", Zone: "a", Peer: addr("10.0.0.1")})
	r.put("earlier-self", "a", addr("10.0.0.1"))
	r.put("one", "a", addr("10.0.0.2"))
	r.put("failed", "a", addr("10.0.0.3"))
	r.put("foreign", "b", addr("10.0.0.4"))
	r.put("removed", "a", addr("10.0.0.5"))
	r.remove("removed")
	r.recordFailure(0, addr("10.0.0.3"))
	must.Eq(t, []netip.Addr{netip.MustParseAddr("10.0.0.2")}, r.othersInZone())
	for ip, want := range map[string]bool{"10.0.0.1": false, "10.0.0.2": true, "10.0.0.3": true, "10.0.0.4": false, "10.0.0.5": false, "10.0.0.6": false} {
		must.Eq(t, want, r.isOtherInZone(netip.MustParseAddr(ip)), must.Sprint(ip))
	}
}
