package rollout

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/shoenig/test/must"

	"guavaloom.example/guavaloom/internal/bundle"
	"guavaloom.example/guavaloom/internal/instance"
	"guavaloom.example/guavaloom/internal/service"
	"guavaloom.example/guavaloom/internal/target"
)

// throttledFleet limits the send rate of each instance to rate, in bytes per second.
type throttledFleet struct {
	*fleet
	rate    int
	idleAt  map[instance.ID]time.Duration // when the send queue of an instance will be empty
	delayed []delayedEnvelope
	sent    int
}

type delayedEnvelope struct {
	envelope
	due time.Duration
}

func (b *throttledFleet) step() {
	for _, l := range b.inFlight {
		raw, err := cbor.Marshal(l.message)
		must.NoError(b.t, err)
		cost := time.Duration(len(raw)) * time.Second / time.Duration(b.rate)
		b.idleAt[l.from.ID] = max(b.idleAt[l.from.ID], b.now) + cost
		b.delayed, b.sent = append(b.delayed, delayedEnvelope{l, b.idleAt[l.from.ID]}), b.sent+len(raw)
	}
	b.inFlight = nil
	b.delayed = slices.DeleteFunc(b.delayed, func(l delayedEnvelope) bool {
		if l.due > b.now {
			return false
		}
		b.inFlight = append(b.inFlight, l.envelope)
		return true
	})
	b.run(hop)
}

// untilHeld runs until all live instances hold revision n and returns how long it took.
func (b *throttledFleet) untilHeld(n uint64, limit time.Duration) time.Duration {
	for start := b.now; b.now < start+limit; b.step() {
		if !slices.ContainsFunc(b.live(""), func(m *member) bool { return m.node.Held() != revision(n) }) {
			return b.now - start
		}
	}
	b.t.Fatalf("revision is not held by all live instances after %s, %d bytes sent", limit, b.sent)
	return 0
}

func largeBundle(services, targets int) *bundle.Bundle {
	b := testBundle(1)
	for i := range services {
		b.Services = append(b.Services, service.Service{ID: service.ID(fmt.Sprintf("service-%04d", i)), Protocol: service.TCP,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, byte(i >> 8), byte(i)}), 443)})
	}
	for i := range targets {
		s := &b.Services[i%services]
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 80)
		s.Targets = append(s.Targets, target.Target{ID: target.ID(fmt.Sprintf("target-%05d", i)), Addr: addr, Zone: "zone-0"})
	}
	return b
}

// Guards against a first bundle that never arrives because the senders' budgets delay
// the answers: the fetch is abandoned together with its parts, or each retried request
// returns the same parts. Runs in virtual time with 10 KB/s per sender.
func TestFirstBundleWithinBudget(t *testing.T) {
	for _, size := range []struct {
		services, targets int
		limit             time.Duration
	}{{500, 1300, 3 * time.Minute}, {1300, 3200, 6 * time.Minute}, {5300, 13000, 20 * time.Minute}} {
		f := &throttledFleet{fleet: newFleet(t, 13, 1, 6), rate: 10_000, idleAt: map[instance.ID]time.Duration{}}
		f.roll(largeBundle(size.services, size.targets))
		all := f.untilHeld(1, size.limit)
		total := f.sent
		f.sent = 0
		f.join("zone-0", "i-0-900", 1)
		f.refresh()
		t.Logf("%d targets: 6 instances hold the bundle after %s, %d bytes sent; one that joins after %s, %d bytes sent",
			size.targets, all, total, f.untilHeld(1, size.limit), f.sent)
	}
}
