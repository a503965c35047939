package edge_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"guavaloom.example/guavaloom/internal/allowance"
	"guavaloom.example/guavaloom/internal/forwarding"
	"guavaloom.example/guavaloom/platform/standin"
)

// openRepeatedly opens flows from several callers at once until ctx ends. Callers try again as
// soon as they are rejected.
func openRepeatedly(ctx context.Context, c *standin.Client, callers int) (wait func()) {
	var all sync.WaitGroup
	for range callers {
		all.Go(func() {
			for ctx.Err() == nil {
				if f, err := c.Open(ctx, bookingEndpoint); err == nil {
					f.Close()
				}
			}
		})
	}
	return all.Wait
}

// firstArrivals returns when each flow's first packet first arrived.
func firstArrivals(t *standin.Target) []time.Time {
	var out []time.Time
	seen := map[forwarding.FlowID]bool{}
	arrivals, _ := t.Arrivals()
	for _, a := range arrivals {
		if a.SYN && !seen[a.Flow] {
			seen[a.Flow] = true
			out = append(out, a.At)
		}
	}
	return out
}

// Load pattern: a flood of first packets over two instances that have just started, with one
// cold target, and retries as soon as a flow is rejected. Guards against a sliding second in which
// the target gets more flows than the bound.
func TestFloodOfColdTarget(t *testing.T) {
	const rate, overage, slack = 8, 1.5, 5
	s := newSite(t)
	s.deployment.WarmUpOverage, s.deployment.WarmUpSlack = overage, slack
	s.store.PutServices(2, []standin.Service{{Name: "booking", WarmupPerS: rate}}, standin.Route{Name: "booking", Endpoint: bookingEndpoint, Service: "booking"})
	cold := s.coldTarget("i-c1", 0xc1, 2*testTimeout)
	one := s.start(1, s.store.Addr())
	two := s.start(2, s.store.Addr())
	one.awaitReady()
	two.awaitReady()

	ctx, stop := context.WithCancel(t.Context())
	wait := openRepeatedly(ctx, s.client(one, two), 30)
	eventually(t, "flows to the cold target in three seconds", func() bool { return len(firstArrivals(cold)) >= 3*rate })
	for _, n := range []*node{one, two} {
		eventually(t, "the share of one of two instances", func() bool {
			a := n.status().Targets[0].Allowance
			return a != nil && a.Share == rate/2 && a.Used <= a.Share
		})
		must.StrContains(t, string(n.get("/metrics")), `guavaloom_edge_cold_flows_total{outcome="refused"}`)
	}
	stop()
	wait()

	times := firstArrivals(cold)
	most := 0
	for i, begin := range times {
		n := 0
		for _, at := range times[i:] {
			if at.Sub(begin) < allowance.Period {
				n++
			}
		}
		most = max(most, n)
	}
	t.Logf("%d flows, at most %d in a second; bound %v", len(times), most, allowance.Bound(rate, overage, slack))
	must.LessEq(t, allowance.Bound(rate, overage, slack), float64(most))
}
