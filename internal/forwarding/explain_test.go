package forwarding

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"guavaloom.example/guavaloom/internal/target"
	"guavaloom.example/guavaloom/internal/view"
)

// Guards against an explanation that differs from the placement that follows, or that changes
// it.
func TestExplanationIsWhatHappens(t *testing.T) {
	b := newFixture()
	b.limits.Pace, b.limits.Overload, b.limits.DetectRefusals = true, true, true
	b.chooser.paced = true
	b.overload = newOverloadState(b.limits, b.observer)
	for n := range 6 {
		b.put(0, b.entry(target.ID(fmt.Sprintf("i-%d", n)), "booking", string(rune('a'+n%2))))
	}
	for n := range 40 {
		f := flowTo(bookingAddr, n)
		now := time.Duration(n) * 10 * ms
		e := b.Explain(now, f)
		must.Eq(t, e, b.Explain(now, f))
		d := b.syn(now, f, 0)
		must.Eq(t, d.Target.ID, e.Decision.Target.ID, must.Sprint(n))
		must.SliceContainsFunc(t, e.Examined, d.Target.ID, func(x Examined, id target.ID) bool { return x.Target.ID == id && x.Skipped == "" })
		b.accept(now, f, d)
		b.data(now, f, d.Token, 101, 500, 10)
	}
}

// Guards against an explanation that changes how the next flow is paced.
func TestExplanationKeepsThePacing(t *testing.T) {
	b := pacedFixture(3, "a")
	for n := range 5 {
		f := flowTo(bookingAddr, n)
		b.accept(time.Second, f, b.syn(time.Second, f, 0)) // open and idle
	}
	z := b.services["booking"].zone("a")
	before := z.pacing
	b.Explain(2*time.Second, flowTo(bookingAddr, 100))
	must.Eq(t, []any{before.earned, before.targets, before.meanIdle}, []any{z.pacing.earned, z.pacing.targets, z.pacing.meanIdle})
}

// Guards against an explanation that rejects a flow while its first packet would be held.
func TestExplanationBeforeTheViewIsComplete(t *testing.T) {
	b := &fixture{events: &events{}}
	b.Forwarder = New("a", limits, view.New(viewLimits), b.events)
	must.Eq(t, Decision{Verdict: Hold, Reason: NotReady}, b.Explain(0, flowTo(bookingAddr, 1)).Decision)
}

// Guards against an explanation that hides why nothing can be chosen.
func TestExplanationOfRejections(t *testing.T) {
	b := newFixture()
	e := b.entry("i-1", "booking", "a")
	e.Draining = true
	b.put(0, e)
	got := b.Explain(0, flowTo(bookingAddr, 1))
	must.Eq(t, NoTarget, got.Decision.Reason)
	must.Eq(t, NotAccepting, got.Examined[0].Skipped)
	b.put(0, b.entry("i-2", "booking", "a"))
	b.View.PutEvacuation(0, "a", 1)
	must.Eq(t, Evacuated, b.Explain(0, flowTo(bookingAddr, 1)).Decision.Reason)
	must.Eq(t, NoRoute, b.Explain(0, flowTo(feedAddr, 1)).Decision.Reason)
}
