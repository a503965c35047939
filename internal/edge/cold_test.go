package edge

import (
	"bytes"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"guavaloom.example/guavaloom/internal/allowance"
	"guavaloom.example/guavaloom/internal/rendezvous"
	"guavaloom.example/guavaloom/internal/service"
	"guavaloom.example/guavaloom/internal/view"
)

// Guards against larger shares for cold targets because a view loses instances, and against
// instances that count for ever.
func TestInstancesCountForAWhile(t *testing.T) {
	all := dataCentre(137, 3)
	r, own := all[0], recentInstances{}
	full := own.update(0, r.zoneInstances())
	must.Len(t, r.zoneSize(), full)
	must.SliceContains(t, full, rendezvous.Seed(r.self.name))
	for n := range 100 {
		r.remove(fmt.Sprintf("i-%d", n))
	}
	must.Less(t, len(full), r.zoneSize())
	must.Eq(t, full, own.update(instanceMemory, r.zoneInstances()))
	must.Len(t, r.zoneSize(), own.update(instanceMemory+time.Nanosecond, r.zoneInstances()))
	r.put("i-new", r.self.zone, netip.MustParseAddrPort("10.9.9.9:9"))
	must.SliceContains(t, own.update(instanceMemory+time.Second, r.zoneInstances()), rendezvous.Seed("i-new"))
}

// Guards against instances of other data centres that lower the shares.
func TestOnlyInstancesOfTheDataCentreShare(t *testing.T) {
	must.Len(t, 3, dataCentre(3, 5)[0].zoneInstances())
}

// Load pattern: all instances start at once, and each lists those that registered before.
// Guards against large shares because an instance knows only a few others.
func TestOwnEntryComesFirst(t *testing.T) {
	r := newRegistry(&Settings{Name: "i-1", Zone: "a"})
	r.put("i-2", "a", netip.MustParseAddrPort("10.9.9.9:9"))
	must.SliceEmpty(t, r.zoneInstances())
	r.put("i-1", "a", netip.MustParseAddrPort("10.9.9.8:9"))
	must.Len(t, 2, r.zoneInstances())
	must.Eq(t, 2, r.size())
}

// Load pattern: all instances start together, or one restarts under its name. Guards against
// the share of a fleet that is not complete yet, and against a share that is used a second time
// within a second.
func TestColdTargetsWaitAfterTheStart(t *testing.T) {
	var out bytes.Buffer
	i := newTestInstance(t, &out)
	v := i.forward.View
	v.SetConfig(view.Config{Version: 1, ColdRates: map[service.ID]float64{"booking": 8}}, 1)
	tg, _ := v.Put(0, view.TargetEntry{ID: "i-1", Service: "booking", Zone: "a", Slots: 3, WarmUp: time.Minute}, 1)
	i.forward.UpdateTarget(tg)
	share := func(now time.Duration) int {
		i.updateColdInstances(now)
		return i.allowanceStatus(now, tg).Share
	}
	const seenAt = 3 * time.Second
	must.Eq(t, 0, share(seenAt-1)) // its entry was not seen
	i.registry.put("i", "a", netip.MustParseAddrPort("10.9.9.9:9"))
	must.Eq(t, 0, share(seenAt))
	i.registry.put("j", "a", netip.MustParseAddrPort("10.9.9.8:9"))
	must.Eq(t, 0, share(seenAt+ownEntrySettling-1))
	must.Eq(t, 2, share(seenAt+ownEntrySettling)) // half of the bound of 8, for two instances
	must.Greater(t, allowance.Period, ownEntrySettling)
}
