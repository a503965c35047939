package forwarding

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"guavaloom.example/guavaloom/internal/rendezvous"
	"guavaloom.example/guavaloom/internal/service"
	"guavaloom.example/guavaloom/internal/target"
	"guavaloom.example/guavaloom/internal/view"
)

// newColdFixture returns a forwarder in a data centre with the given number of instances, whose
// cold booking targets get at most the given rate, with no overage and slack of the same size.
func newColdFixture(rate float64, instances int) *fixture {
	b := newFixture()
	c := *b.View.Config()
	c.Version, c.ColdRates = c.Version+1, map[service.ID]float64{"booking": rate}
	b.View.SetConfig(c, 1)
	b.SetColdLimits(1, rate, rendezvous.Seed("instance-0"))
	b.setColdInstances(instances)
	return b
}

func (b *fixture) setColdInstances(n int) {
	var seeds []uint64
	for i := range n {
		seeds = append(seeds, rendezvous.Seed(fmt.Sprintf("instance-%d", i)))
	}
	b.SetColdInstances(seeds)
}

const coldFor = 10 * time.Second

// putCold adds a booking target that is cold until coldFor.
func (b *fixture) putCold(id target.ID, zone string) {
	e := b.entry(id, "booking", zone)
	e.WarmUp = coldFor
	b.put(0, e)
}

// syns sends first packets of new flows and counts the decisions by target and reason.
func (b *fixture) syns(now time.Duration, first, n int) map[string]int {
	out := map[string]int{}
	for i := range n {
		d := b.syn(now, flowTo(bookingAddr, first+i), 0)
		if d.Target != nil {
			out[string(d.Target.ID)]++
		} else {
			out[d.Verdict.String()+":"+string(d.Reason)]++
		}
	}
	return out
}

// Guards against a cold target that gets more than its allowance, against flows that are dropped
// or reset for another reason, and against a limit that stays when the target is warm.
func TestColdTargetGetsItsAllowanceOnly(t *testing.T) {
	b := newColdFixture(4, 1)
	b.putCold("i-1", "a")
	must.Eq(t, map[string]int{"i-1": 4, "reset:cold": 6}, b.syns(1000*ms, 0, 10))
	must.Eq(t, map[string]int{"reset:cold": 10}, b.syns(1999*ms, 100, 10))
	must.Eq(t, map[string]int{"i-1": 4, "reset:cold": 6}, b.syns(2000*ms, 200, 10))
	r, ok := b.Cold(2001*ms, "i-1")
	must.True(t, ok)
	must.Eq(t, ColdReport{Share: 4, Used: 4}, r)
	must.Eq(t, map[string]int{"i-1": 10}, b.syns(coldFor, 300, 10))
	_, ok = b.Cold(coldFor, "i-1")
	must.False(t, ok)
}

// Guards against a limit where the configuration has none: existing deployments are served as
// before.
func TestNoRateIsNoLimit(t *testing.T) {
	b := newColdFixture(4, 1)
	e := b.entry("i-1", "proofing", "b")
	e.WarmUp = coldFor
	b.put(0, e)
	for n := range 50 {
		must.Eq(t, "i-1", b.syn(1000*ms, flowTo(proofingAddr, n), 0).Target.ID)
	}
	_, ok := b.Cold(1000*ms, "i-1")
	must.False(t, ok)
}

// Guards against a reset of a flow that is open through another instance: its first packet was held
// here until the view was complete, and the client retransmitted it.
func TestHeldFirstPacketIsDropped(t *testing.T) {
	for held, want := range map[time.Duration]Verdict{0: Reset, 199 * ms: Reset, 200 * ms: Drop, time.Second: Drop} {
		b := newColdFixture(1, 0) // no share yet, as after the start
		b.putCold("i-1", "a")
		b.Tick(1500 * ms) // without it, the time until the packet is a stall
		d := b.HandleHeld(2*time.Second, 2*time.Second-held, &Segment{Flow: flowTo(bookingAddr, 0), SYN: true, Seq: 100})
		must.Eq(t, Decision{Verdict: want, Reason: Cold, Route: d.Route}, d, must.Sprint(held))
	}
}

// Guards against a retransmitted first packet that is reset, although its original may have
// opened the flow through another instance, against one that is held back by its own original,
// and against one that uses nothing: the target may get the flow only with the retransmission.
func TestColdRetransmission(t *testing.T) {
	b := newColdFixture(1, 1)
	b.putCold("i-1", "a")
	must.Eq(t, map[string]int{"i-1": 1}, b.syns(1000*ms, 0, 1))
	d := b.syn(1001*ms, flowTo(bookingAddr, 5), 1)
	must.Eq(t, Decision{Verdict: Drop, Reason: Cold, Route: d.Route}, d)
	must.Eq(t, Repeated, b.syn(1050*ms, flowTo(bookingAddr, 0), 1).Reason)
	must.Eq(t, map[string]int{"reset:cold": 1}, b.syns(2049*ms, 10, 1))
	must.Eq(t, map[string]int{"i-1": 1}, b.syns(2050*ms, 20, 1))
}

// Guards against requests on open flows that are held back, and against those that do not use
// the allowance. The first request of a flow was counted with its first packet.
func TestRequestsOnOpenFlowsUseAllowance(t *testing.T) {
	b := newColdFixture(2, 1)
	b.putCold("i-1", "a")
	f := flowTo(bookingAddr, 0)
	d := b.syn(1000*ms, f, 0)
	b.accept(1010*ms, f, d)
	used := func(now time.Duration) int {
		r, _ := b.Cold(now, "i-1")
		return r.Used
	}
	must.Eq(t, Forward, b.data(1020*ms, f, d.Token, 101, 500, 10).Verdict)
	must.Eq(t, 1, used(1020*ms))
	must.Eq(t, Forward, b.data(1100*ms, f, d.Token, 111, 600, 10).Verdict) // acknowledges the first answer
	must.Eq(t, 2, used(1100*ms))
	other := flowTo(bookingAddr, 1) // opened through another instance
	must.Eq(t, Forward, b.data(1110*ms, other, d.Token, 101, 500, 10).Verdict)
	must.Eq(t, Forward, b.data(1150*ms, other, d.Token, 111, 500, 10).Verdict) // the same request goes on
	must.Eq(t, map[string]int{"reset:cold": 1}, b.syns(2099*ms, 10, 1))
	must.Eq(t, map[string]int{"i-1": 1}, b.syns(2100*ms, 20, 1))
}

// Guards against a cold target that is used beyond its allowance or before its allowance, while
// warm ones or other data centres have room, and against using cold targets there.
func TestFlowsGoElsewhereWithoutAllowance(t *testing.T) {
	b := newColdFixture(2, 1)
	b.putCold("i-cold", "a")
	b.putCold("i-far-cold", "b")
	must.Eq(t, map[string]int{"i-cold": 2, "reset:cold": 1}, b.syns(1000*ms, 0, 3))
	b.put(1000*ms, b.entry("i-far", "booking", "b"))
	d := b.syn(1001*ms, flowTo(bookingAddr, 10), 0)
	must.Eq(t, "i-far", d.Target.ID)
	must.True(t, d.HeldBack)
	b.put(1001*ms, b.entry("i-warm", "booking", "a"))
	d = b.syn(1002*ms, flowTo(bookingAddr, 11), 0)
	must.Eq(t, "i-warm", d.Target.ID)
	must.True(t, d.HeldBack)
	r, ok := b.Cold(1002*ms, "i-far-cold")
	must.True(t, ok)
	must.Eq(t, ColdReport{}, r)

	b = newColdFixture(2, 1)
	b.putCold("i-cold", "a")
	b.put(0, b.entry("i-warm", "booking", "a"))
	d = b.syn(1000*ms, flowTo(bookingAddr, 0), 0)
	must.Eq(t, "i-warm", d.Target.ID)
	must.False(t, d.HeldBack)
}

// Guards against flows that are refused because the targets examined in another data centre are
// all cold, although a warm one there has room.
func TestColdTargetsElsewhereDoNotHideWarmOnes(t *testing.T) {
	b := newColdFixture(2, 1)
	for n := range 2 * maxRemoteCandidates {
		b.putCold(target.ID(fmt.Sprintf("i-cold-%d", n)), "b")
	}
	b.put(0, b.entry("i-warm", "booking", "b"))
	must.Eq(t, map[string]int{"i-warm": 20}, b.syns(1000*ms, 0, 20))
}

// Guards against a placement whose cost grows with the number of cold targets elsewhere.
func TestColdTargetsElsewhereAreSkippedUpToABound(t *testing.T) {
	b := newColdFixture(2, 1)
	for n := range 3000 {
		b.putCold(target.ID(fmt.Sprintf("i-cold-%d", n)), "b")
	}
	must.LessEq(t, coldSkipFactor*maxRemoteCandidates, len(b.Explain(1000*ms, flowTo(bookingAddr, 0)).Examined))
}

// Guards against flows to cold targets from an instance that does not know how many others
// there are, and against shares that do not follow the number of instances.
func TestAllowanceNeedsTheInstances(t *testing.T) {
	b := newColdFixture(8, 0)
	b.putCold("i-1", "a")
	must.Eq(t, map[string]int{"reset:cold": 3}, b.syns(1000*ms, 0, 3))
	b.setColdInstances(4)
	must.Eq(t, map[string]int{"i-1": 2, "reset:cold": 8}, b.syns(1001*ms, 10, 10))
	b.setColdInstances(2)
	must.Eq(t, map[string]int{"i-1": 2, "reset:cold": 8}, b.syns(1002*ms, 20, 10))
	b.setColdInstances(8)
	must.Eq(t, map[string]int{"reset:cold": 10}, b.syns(2001*ms, 30, 10))
	must.Eq(t, map[string]int{"i-1": 1, "reset:cold": 9}, b.syns(2002*ms, 40, 10))
}

// Guards against the wrong reason where several apply: an operator can withdraw an evacuation,
// and homes last, while cold targets become warm.
func TestColdIsTheLastExclusion(t *testing.T) {
	for _, c := range []struct {
		e    exclusions
		want Reason
	}{
		{exclusions{cold: true}, Cold},
		{exclusions{cold: true, noHome: true}, NoHome},
		{exclusions{cold: true, noHome: true, evacuated: true}, Evacuated},
	} {
		must.True(t, c.e.any())
		must.Eq(t, c.want, c.e.reason())
	}
}

// Load pattern: all instances of a data centre get a flood for several cold targets, and one
// instance after the other ends. Guards against a sliding second above the bound.
func TestFloodOfInstancesKeepsTheBound(t *testing.T) {
	const rate, instances, targets = 6, 5, 3
	var fleet []*fixture
	for n := range instances {
		b := newColdFixture(rate, instances)
		b.SetColdLimits(1, rate, rendezvous.Seed(fmt.Sprintf("instance-%d", n)))
		for i := range targets {
			b.putCold(target.ID(fmt.Sprintf("i-%d", i)), "a")
		}
		fleet = append(fleet, b)
	}
	arrivals := map[target.ID][]time.Duration{}
	for now := time.Second; now < 5*time.Second; now += 5 * ms {
		for n, b := range fleet {
			if n > 0 && now >= time.Duration(n+1)*time.Second {
				continue // it has ended
			}
			d := b.syn(now, FlowID{view.Endpoint{Addr: [4]byte{100, 64, 0, byte(n)}, Port: uint16(now / ms)}, bookingAddr}, 0)
			if d.Verdict == Forward {
				arrivals[d.Target.ID] = append(arrivals[d.Target.ID], now)
			} else {
				must.Eq(t, Cold, d.Reason)
			}
		}
	}
	must.MapLen(t, targets, arrivals)
	for id, times := range arrivals {
		for begin := time.Duration(0); begin < 5*time.Second; begin += ms {
			n := 0
			for _, at := range times {
				if at >= begin && at < begin+time.Second {
					n++
				}
			}
			must.LessEq(t, rate, n, must.Sprint(id, begin)) // the plan; the bound is twice as high
		}
	}
}

// Guards against allocations per placement: the packet path handles hundreds of flows a second.
func TestColdTargetsAllocateNothingPerPlacement(t *testing.T) {
	b := newColdFixture(1, 1)
	for i := range 20 {
		b.putCold(target.ID(fmt.Sprintf("i-%d", i)), "a")
	}
	b.syns(1000*ms, 0, 30)
	s := &Segment{Flow: flowTo(bookingAddr, 500), SYN: true, Seq: 100}
	refused := 0
	must.Eq(t, 0, testing.AllocsPerRun(1000, func() {
		if b.Handle(1500*ms, s).Reason == Cold {
			refused++
		}
	}))
	must.Eq(t, 1001, refused) // one more run warms up
}
