package forwarding

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"guavaloom.example/guavaloom/internal/service"
	"guavaloom.example/guavaloom/internal/target"
	"guavaloom.example/guavaloom/internal/view"
)

// Limits of the users' first deployments.
var (
	limits     = Limits{MaxConfigAge: 5 * time.Second}
	viewLimits = view.Limits{ReturnGrace: 3 * time.Second, ForgetAfter: 90 * time.Second}
)

const ms = time.Millisecond

// events records the events that the forwarder reports.
type events []Event

func (e *events) Event(_ time.Duration, ev Event) { *e = append(*e, ev) }
func (e *events) ObserveSpan(Span, time.Duration) {}
func (e *events) kinds() (out []EventKind) {
	for _, ev := range *e {
		out = append(out, ev.Kind)
	}
	return out
}

// fixture is a forwarder with its view and recorded events.
type fixture struct {
	*Forwarder
	events  *events
	version uint64
}

var (
	bookingAddr  = view.Endpoint{Addr: [4]byte{198, 18, 0, 1}, Port: 443}
	proofingAddr = view.Endpoint{Addr: [4]byte{198, 18, 0, 2}, Port: 443}
	splitAddr    = view.Endpoint{Addr: [4]byte{198, 18, 0, 3}, Port: 443}
)

func newFixture() *fixture {
	b := &fixture{events: &events{}}
	b.Forwarder = New("a", limits, view.New(viewLimits), b.events)
	b.View.SetConfig(view.Config{Version: 1, Routes: []view.Route{
		{Name: "booking", Endpoint: bookingAddr, Shares: []view.Share{{Service: "booking", Weight: 1}}},
		{Name: "proofing", Endpoint: proofingAddr, Kind: view.Upload, Shares: []view.Share{{Service: "proofing", Weight: 1}}},
		{Name: "split", Endpoint: splitAddr, Shares: []view.Share{{Service: "booking", Weight: 90}, {Service: "proofing", Weight: 10}}},
	}}, 1)
	b.View.MarkListed()
	return b
}

func (b *fixture) entry(id target.ID, s service.ID, zone string) view.TargetEntry {
	return view.TargetEntry{ID: id, Key: 1, Service: s, Addr: netip.MustParseAddrPort("10.0.0.1:80"), Zone: zone, Slots: 3}
}

func (b *fixture) put(now time.Duration, e view.TargetEntry) {
	b.version++
	if t, change := b.View.Put(now, e, b.version); change != view.Unchanged {
		b.UpdateTarget(t)
	}
}

func (b *fixture) remove(now time.Duration, id target.ID) {
	b.version++
	t, _ := b.View.Remove(now, id, b.version)
	b.View.TargetsFreshAt = now
	b.UpdateTarget(t)
}

// pastReturnGrace is longer than viewLimits.ReturnGrace.
const pastReturnGrace = 4 * time.Second

func client(n int) view.Endpoint {
	return view.Endpoint{Addr: [4]byte{100, 64, byte(n >> 8), byte(n)}, Port: 1025}
}

func flowTo(s view.Endpoint, n int) FlowID { return FlowID{client(n), s} }

func (b *fixture) syn(now time.Duration, f FlowID, copies uint32) Decision {
	return b.Handle(now, &Segment{Flow: f, SYN: true, Seq: 100, Ack: copies})
}

// accept sends the packet with which a client acknowledges its target's first answer.
func (b *fixture) accept(now time.Duration, f FlowID, d Decision) Decision {
	return b.Handle(now, &Segment{Flow: f, ACK: true, Seq: 101, Ack: 500, Token: d.Token})
}

func (b *fixture) data(now time.Duration, f FlowID, token, seq, ack uint32, n int) Decision {
	return b.Handle(now, &Segment{Flow: f, ACK: true, Seq: seq, Ack: ack, Token: token, Data: make([]byte, n)})
}

// Guards against flows that depend on the instance which handled their first packet: an
// instance that has just started forwards by the token alone.
func TestAnyInstanceForwards(t *testing.T) {
	one, other := newFixture(), newFixture()
	for n := range 5 {
		e := one.entry(target.ID(fmt.Sprintf("i-%d", n)), "booking", "a")
		one.put(0, e)
		other.put(0, e)
	}
	for n := range 50 {
		f := flowTo(bookingAddr, n)
		d := one.syn(0, f, 0)
		must.Eq(t, Forward, d.Verdict)
		got := other.data(ms, f, d.Token, 101, 500, 10)
		must.Eq(t, Forward, got.Verdict)
		must.Eq(t, d.Target.ID, got.Target.ID)
		must.Eq(t, 0, got.Token) // later packets are not changed
	}
}

// Load pattern: targets of a large fleet change many times a second. Guards against a
// target that stays listed under its former service or is listed twice, and against
// choosing one that was forgotten.
func TestChangedTargetIsListedOnce(t *testing.T) {
	b := newFixture()
	b.put(0, b.entry("i-1", "booking", "a"))
	b.put(0, b.entry("i-2", "booking", "a"))
	b.put(ms, b.entry("i-1", "booking", "a"))
	must.Eq(t, 2, b.services["booking"].size())
	b.put(2*ms, b.entry("i-1", "proofing", "a"))
	must.Eq(t, 1, b.services["booking"].size())
	must.Eq(t, 1, b.services["proofing"].size())
	for n := range 5 {
		must.Eq(t, "i-2", b.syn(3*ms, flowTo(bookingAddr, n), 0).Target.ID)
	}
	b.remove(4*ms, "i-1")
	must.Eq(t, 1, b.services["proofing"].size()) // its entry may return
	b.Tick(time.Hour)
	must.MapNotContainsKey(t, b.services, "proofing")
	must.MapNotContainsKey(t, b.loads, "i-1")
	b.put(time.Hour, b.entry("i-1", "booking", "a"))
	must.Eq(t, 2, b.services["booking"].size())
}

// Load pattern: a target ends without notice while flows are opened. Guards against sending
// all three transmissions of a client's first packet to it, and against sending further
// clients there.
func TestFlowMovesOffSilentTarget(t *testing.T) {
	b := newFixture()
	b.put(0, b.entry("i-dead", "booking", "a"))
	d := b.syn(1000*ms, flowTo(bookingAddr, 1), 0)
	must.Eq(t, "i-dead", d.Target.ID)
	b.put(1000*ms, b.entry("i-live", "booking", "a"))
	d = b.syn(1200*ms, flowTo(bookingAddr, 1), 1)
	must.Eq(t, Moved, d.Reason)
	must.Eq(t, "i-live", d.Target.ID)
	must.Eq(t, []EventKind{Suspected}, b.events.kinds())
	for n := range 20 {
		f := flowTo(bookingAddr, 10+n)
		d = b.syn(1300*ms+time.Duration(n)*ms, f, 0)
		must.Eq(t, "i-live", d.Target.ID)
		b.accept(1301*ms+time.Duration(n)*ms, f, d)
	}
}

// Guards against moving a flow whose answer was lost: its target would answer too, and
// packets of one flow would reach two targets.
func TestRepeatedFirstPacketStaysWithLiveTarget(t *testing.T) {
	b := newFixture()
	b.put(0, b.entry("i-1", "booking", "a"))
	d := b.syn(1000*ms, flowTo(bookingAddr, 1), 0)
	other := b.syn(1001*ms, flowTo(bookingAddr, 2), 0)
	b.put(1001*ms, b.entry("i-2", "booking", "a"))
	b.accept(1010*ms, flowTo(bookingAddr, 2), other)
	again := b.syn(1200*ms, flowTo(bookingAddr, 1), 1)
	must.Eq(t, Repeated, again.Reason)
	must.Eq(t, d.Target.ID, again.Target.ID)
	must.SliceEmpty(t, *b.events)
}

// Guards against excluding a target for good: after a backoff one flow retries it, the
// backoff grows while it stays silent, and its response clears the suspicion.
func TestSuspectedTargetIsRetried(t *testing.T) {
	b := newFixture()
	b.put(0, b.entry("i-1", "booking", "a"))
	b.syn(1000*ms, flowTo(bookingAddr, 1), 0)
	b.put(1000*ms, b.entry("i-2", "booking", "a"))
	b.syn(1200*ms, flowTo(bookingAddr, 1), 1)
	silent := b.loads["i-1"]
	must.True(t, silent.avoided(1200*ms))
	must.True(t, silent.avoided(1200*ms+minBackoff-1))
	must.False(t, silent.avoided(1200*ms+minBackoff))
	silent.opening++ // a retry is in progress
	must.True(t, silent.avoided(1200*ms+minBackoff))
	must.False(t, silent.recordRetransmission(2500*ms, 2300*ms)) // suspected already
	must.True(t, silent.avoided(2500*ms+2*minBackoff-1))
	must.True(t, silent.recordResponse(2600*ms))
	silent.opening--
	must.False(t, silent.avoided(2600*ms))
}

// Guards against rejecting clients because every target is suspected: more likely the
// instance itself is disconnected, and an attempt costs nothing.
func TestSuspectedTargetServesAsLastResort(t *testing.T) {
	b := newFixture()
	b.put(0, b.entry("i-1", "booking", "a"))
	b.syn(1000*ms, flowTo(bookingAddr, 1), 0)
	d := b.syn(1200*ms, flowTo(bookingAddr, 1), 1)
	must.Eq(t, Forward, d.Verdict)
	must.Eq(t, Forward, b.syn(1210*ms, flowTo(bookingAddr, 2), 0).Verdict)
}

// Load pattern: an upload with a full window loses a packet and retransmits it while the
// rest continues. Guards against suspecting its target.
func TestRetransmissionDuringUploadIsNoSilence(t *testing.T) {
	b := newFixture()
	b.put(0, b.entry("i-1", "proofing", "a"))
	f := flowTo(proofingAddr, 1)
	d := b.syn(1000*ms, f, 0)
	b.accept(1010*ms, f, d)
	for n := range 20 {
		b.data(time.Duration(1011+10*n)*ms, f, d.Token, uint32(101+1200*n), 500, 1200)
	}
	b.data(1211*ms, f, d.Token, 101, 500, 1200) // retransmission of the first data packet
	must.SliceEmpty(t, *b.events)
	b.data(1700*ms, f, d.Token, 101+1200*19, 500, 1200) // no new data for half a second
	must.Eq(t, []EventKind{Suspected}, b.events.kinds())
}

// Guards against new flows at a draining target, and against resetting its open flows.
func TestDrainingTargetKeepsItsFlows(t *testing.T) {
	b := newFixture()
	b.put(0, b.entry("i-1", "booking", "a"))
	f := flowTo(bookingAddr, 1)
	d := b.syn(0, f, 0)
	b.accept(ms, f, d)
	leaving := b.entry("i-1", "booking", "a")
	leaving.Draining = true
	b.put(2*ms, leaving)
	must.Eq(t, Forward, b.data(3*ms, f, d.Token, 101, 500, 10).Verdict)
	must.Eq(t, Reset, b.syn(3*ms, flowTo(bookingAddr, 2), 0).Verdict) // no other target
	b.put(4*ms, b.entry("i-2", "booking", "a"))
	must.Eq(t, "i-2", b.syn(5*ms, flowTo(bookingAddr, 3), 0).Target.ID)
}

// Guards against clients that wait for a target which is known to have ended, and against
// resetting flows of one that may still run.
func TestEndedTarget(t *testing.T) {
	b := newFixture()
	b.put(0, b.entry("i-1", "booking", "a"))
	f, g := flowTo(bookingAddr, 1), flowTo(bookingAddr, 2)
	d := b.syn(0, f, 0)
	b.accept(ms, f, d)
	b.remove(2*ms, "i-1")
	must.Eq(t, Forward, b.data(3*ms, f, d.Token, 101, 500, 10).Verdict)
	must.SliceEmpty(t, b.Tick(4*ms))
	b.put(5*ms, b.entry("i-1", "booking", "a"))
	must.SliceEmpty(t, b.Tick(pastReturnGrace))
	b.remove(pastReturnGrace, "i-1")
	must.Eq(t, []ResetFlow{{f, 500, b.View.Target("i-1")}}, b.Tick(2*pastReturnGrace))
	got := b.data(2*pastReturnGrace, g, d.Token, 101, 700, 10) // first seen here
	must.Eq(t, Reset, got.Verdict)
	must.Eq(t, 700, got.Seq)
	must.Eq(t, TargetEnded, got.Reason)
	must.Eq(t, Drop, b.Handle(2*pastReturnGrace, &Segment{Flow: g, RST: true, Token: d.Token}).Verdict)
}

// Load pattern: a target drains and ends, and a client sends its next request on a flow
// that it left open. Guards against a client that waits until ReturnGrace has passed: a
// removed entry together with an unanswered request shows that the target has ended;
// neither does alone.
func TestSilentRemovedTargetHasEnded(t *testing.T) {
	b := newFixture()
	b.put(0, b.entry("i-1", "booking", "a"))
	f, g := flowTo(bookingAddr, 1), flowTo(bookingAddr, 2)
	d := b.syn(0, f, 0)
	b.accept(10*ms, f, d)
	b.accept(10*ms, g, b.syn(0, g, 0))
	b.remove(1000*ms, "i-1")
	must.Eq(t, Forward, b.data(1100*ms, f, d.Token, 101, 500, 10).Verdict)
	must.SliceEmpty(t, b.Tick(1200*ms))
	got := b.data(1300*ms, f, d.Token, 101, 500, 10) // retransmitted
	must.Eq(t, Reset, got.Verdict)
	must.Eq(t, TargetEnded, got.Reason)
	must.Eq(t, []ResetFlow{{g, 500, b.View.Target("i-1")}}, b.Tick(1400*ms))
	b.put(1500*ms, b.entry("i-1", "booking", "a")) // the target is still running
	must.Eq(t, Forward, b.data(1600*ms, f, d.Token, 101, 500, 10).Verdict)
}

// Load pattern: the process stalls for three seconds with a request in flight, while the
// client's retransmissions wait in the socket and the target's entry expires. Guards
// against blaming the target for this process's own stall: the flow must be neither reset
// nor moved (soak seed 152).
func TestOwnStallRaisesNoSuspicion(t *testing.T) {
	b := newFixture()
	b.put(0, b.entry("i-1", "booking", "a"))
	b.put(0, b.entry("i-2", "booking", "a"))
	f, opening := flowTo(bookingAddr, 1), flowTo(bookingAddr, 2)
	d := b.syn(1000*ms, f, 0)
	b.accept(1010*ms, f, d)
	b.data(1020*ms, f, d.Token, 101, 500, 10)
	first := b.syn(1020*ms, opening, 0)
	b.remove(1021*ms, d.Target.ID)
	const resumedAt = 4000 * ms
	for range 3 {
		must.Eq(t, Forward, b.data(resumedAt, f, d.Token, 101, 500, 10).Verdict)
	}
	must.Eq(t, first.Target.ID, b.syn(resumedAt, opening, 1).Target.ID)
	must.SliceEmpty(t, *b.events)
	must.Eq(t, Reset, b.data(resumedAt+minRetransmitInterval, f, d.Token, 101, 500, 10).Verdict) // silent since the stall ended
}

// Guards against resetting the flows of a target that this instance has not learned of yet,
// and against not resetting those of one that ended before the instance started.
func TestUnknownToken(t *testing.T) {
	b := newFixture()
	f := flowTo(bookingAddr, 1)
	must.Eq(t, Drop, b.data(0, f, 77, 1, 1, 10).Verdict)
	b.View.TargetsFreshAt = 1500 * ms
	must.Eq(t, Drop, b.data(1900*ms, f, 77, 1, 1, 10).Verdict)
	must.Eq(t, Reset, b.data(unknownTokenGrace, f, 77, 1, 1, 10).Verdict)
	must.Eq(t, Drop, b.data(5*time.Second, f, 78, 1, 1, 10).Verdict)
	must.Eq(t, Drop, b.data(9*time.Second, f, 78, 1, 1, 10).Verdict) // the view is stale
	must.Eq(t, NoToken, b.data(0, f, 0, 1, 1, 10).Reason)
}

// Load pattern: a process that was paused handles the first packets that waited for it, and
// its view is from before the pause. Guards against resetting flows that clients have opened
// through other instances meanwhile.
func TestFirstPacketsThatWaitedInAStall(t *testing.T) {
	b := newFixture()
	f := flowTo(view.Endpoint{Addr: [4]byte{198, 18, 9, 9}, Port: 1}, 1)
	b.Tick(10 * time.Second)
	const resumedAt = 13 * time.Second
	b.View.ConfigFreshAt = 10 * time.Second
	must.Eq(t, Drop, b.syn(resumedAt, f, 0).Verdict)
	must.Eq(t, Drop, b.syn(resumedAt+ms, f, 0).Verdict)
	must.Eq(t, Reset, b.syn(resumedAt+minRetransmitInterval, f, 0).Verdict)
}

// Load pattern: an instance starts while the store was restored from a copy without the targets
// of a service. Guards against rejecting flows as long as the targets may have to write again,
// and against not rejecting them when there is certainly no target.
func TestNoTargetAfterALossOfEntries(t *testing.T) {
	b := newFixture()
	const outageAt = 10 * time.Second
	b.Tick(outageAt)
	b.View.OutageAt, b.View.TargetsFreshAt = outageAt, outageAt
	d := b.syn(outageAt+time.Second, flowTo(bookingAddr, 1), 0)
	must.Eq(t, Decision{Reason: NoTarget, Route: d.Route}, d)
	b.Tick(outageAt + viewLimits.ReturnGrace - time.Second)
	must.Eq(t, Reset, b.syn(outageAt+viewLimits.ReturnGrace, flowTo(bookingAddr, 1), 0).Verdict)
}

// Load pattern: an instance starts, or missed a change, while the store was restored from a
// copy without a route. Guards against rejecting flows of the route as long as the operator may
// have to write it again.
func TestNoRouteAfterARestore(t *testing.T) {
	b := newFixture()
	f := flowTo(view.Endpoint{Addr: [4]byte{198, 18, 9, 9}, Port: 1}, 1)
	const restoredAt = 10 * time.Second
	b.View.ConfigRestoredAt = restoredAt
	for now := restoredAt; now < restoredAt+viewLimits.ReturnGrace; now += time.Second {
		b.View.ConfigFreshAt = now
		must.Eq(t, RouteUnconfirmed, b.syn(now, f, 0).Reason)
	}
	must.Eq(t, Reset, b.syn(restoredAt+viewLimits.ReturnGrace, f, 0).Verdict)
}

// Load pattern: an instance starts while the store was restored from an older copy. Guards
// against resetting flows of a living target that the copy lacks, before it has written again.
func TestUnknownTokenAfterALossOfEntries(t *testing.T) {
	b := newFixture()
	f := flowTo(bookingAddr, 1)
	start := time.Minute
	b.View.OutageAt = start
	must.Eq(t, Drop, b.data(start, f, 77, 1, 1, 10).Verdict)
	b.View.TargetsFreshAt = start + unknownTokenGrace
	must.Eq(t, Drop, b.data(start+unknownTokenGrace, f, 77, 1, 1, 10).Verdict)
	must.Eq(t, Reset, b.data(start+viewLimits.ReturnGrace, f, 77, 1, 1, 10).Verdict)
}

// Guards against rejecting a flow whose route was added a moment ago, and against leaving
// clients without an answer when there is certainly no route.
func TestNoRoute(t *testing.T) {
	b := newFixture()
	f := flowTo(view.Endpoint{Addr: [4]byte{198, 18, 9, 9}, Port: 1}, 1)
	b.View.ConfigFreshAt = 10 * time.Second
	b.Tick(10 * time.Second) // the process runs
	must.Eq(t, Reset, b.syn(11*time.Second, f, 0).Verdict)
	d := b.syn(10*time.Second+limits.MaxConfigAge+ms, f, 0)
	must.Eq(t, Drop, d.Verdict)
	must.Eq(t, RouteUnconfirmed, d.Reason)
}

// Guards against losing packets while a new instance reads its first list of targets.
func TestHoldsPacketsUntilComplete(t *testing.T) {
	f := New("a", limits, view.New(viewLimits), &events{})
	d := f.Handle(0, &Segment{Flow: flowTo(bookingAddr, 1), SYN: true})
	must.Eq(t, Hold, d.Verdict)
	d = f.Handle(0, &Segment{Flow: flowTo(bookingAddr, 1), ACK: true, Token: 5, Data: []byte("x")})
	must.Eq(t, Hold, d.Verdict)
}

// Guards against forwarding a packet sent by a target to a target.
func TestPacketFromTargetIsDropped(t *testing.T) {
	b := newFixture()
	b.put(0, b.entry("i-1", "booking", "a"))
	d := b.Handle(0, &Segment{Flow: flowTo(bookingAddr, 1), SYN: true, ACK: true})
	must.Eq(t, Drop, d.Verdict)
	must.Eq(t, FromTarget, d.Reason)
}

// Guards against applying the suspicion and load of a target's former run to its new one.
func TestRestartClearsSuspicion(t *testing.T) {
	b := newFixture()
	e := b.entry("i-1", "booking", "a")
	e.Incarnation = 1
	b.put(0, e)
	b.syn(1000*ms, flowTo(bookingAddr, 1), 0)
	b.syn(1200*ms, flowTo(bookingAddr, 1), 1)
	must.True(t, b.loads["i-1"].silent)
	e.Incarnation = 2
	b.put(1300*ms, e)
	must.False(t, b.loads["i-1"].silent)
}

// Load pattern: a client reuses a port before its former flow was forgotten. Guards against
// taking the new flow's first packet for a retransmission, which sends it to a target that
// accepts no new flows. A late retransmission still goes to the former flow's target.
func TestClientPortReused(t *testing.T) {
	for name, neverAccepted := range map[string]bool{"open flow": false, "flow that was never accepted": true} {
		t.Run(name, func(t *testing.T) {
			b := newFixture()
			b.put(0, b.entry("i-old", "booking", "a"))
			f := flowTo(bookingAddr, 1)
			d := b.syn(1000*ms, f, 0)
			if !neverAccepted {
				b.accept(1010*ms, f, d)
			}
			draining := b.entry("i-old", "booking", "a")
			draining.Draining = true
			b.put(1050*ms, draining)
			b.put(1050*ms, b.entry("i-new", "booking", "a"))
			d = b.syn(1060*ms, f, 1) // a late retransmission
			must.Eq(t, "i-old", d.Target.ID)
			d = b.Handle(1070*ms, &Segment{Flow: f, SYN: true, Seq: 7000})
			must.Eq(t, Placed, d.Reason)
			must.Eq(t, "i-new", d.Target.ID)
			must.Eq(t, 1, b.loads["i-new"].opening)
			must.Eq(t, 0, b.loads["i-old"].open+b.loads["i-old"].opening)
		})
	}
	t.Run("flow whose first packet passed elsewhere", func(t *testing.T) {
		b := newFixture()
		b.put(0, b.entry("i-old", "booking", "a"))
		f := flowTo(bookingAddr, 1)
		b.data(1000*ms, f, b.View.Target("i-old").Token, 101, 500, 10)
		draining := b.entry("i-old", "booking", "a")
		draining.Draining = true
		b.put(1050*ms, draining)
		b.put(1050*ms, b.entry("i-new", "booking", "a"))
		must.Eq(t, "i-old", b.syn(1100*ms, f, 2).Target.ID)
		must.Eq(t, "i-new", b.syn(1100*ms+openingTimeout, f, 0).Target.ID)
	})
}

// Load pattern: the process stalls for three seconds with requests in flight, whose answers wait in
// the socket; the tick comes before them or after them. Guards against taking the time of the stall for
// the latency of the targets, and the requests for failed ones.
func TestOwnStallIsNoLatency(t *testing.T) {
	for _, tickFirst := range []bool{false, true} {
		b := pacedFixture(1, "a")
		b.Tick(time.Second)
		answered := flowTo(bookingAddr, 1)
		d := b.syn(time.Second, answered, 0)
		b.accept(1010*ms, answered, d)
		b.data(1010*ms, answered, d.Token, 101, 500, 10)
		b.Handle(1050*ms, &Segment{Flow: answered, ACK: true, Seq: 111, Ack: 1500, Token: d.Token})
		b.Tick(1050 * ms)
		b.data(1100*ms, answered, d.Token, 111, 1500, 10)
		l := b.loads["i-0"]
		latency, pace := l.latency, l.pace.Value()
		const resumedAt = 4100 * ms
		if tickFirst {
			b.Tick(resumedAt)
		}
		b.Handle(resumedAt+ms, &Segment{Flow: answered, ACK: true, Seq: 121, Ack: 2500, Token: d.Token})
		b.Tick(resumedAt + 2*ms)
		must.Eq(t, latency, l.latency)
		must.GreaterEq(t, pace, l.pace.Value())
		must.Zero(t, l.failureShare)
		must.Zero(t, l.busy)
	}
}
