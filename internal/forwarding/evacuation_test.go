package forwarding

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// repeatFor is Limits.EvacuationRepeat with a bound of 5 s.
const repeatFor = 500 * ms

// newEvacuationFixture has a target in each of the data centres "a", the own one, "b" and "c".
func newEvacuationFixture() *fixture {
	b := newFixture()
	b.limits.EvacuationRepeat = repeatFor
	b.put(0, b.entry("i-a", "booking", "a"))
	b.put(0, b.entry("i-b", "booking", "b"))
	b.put(0, b.entry("i-c", "booking", "c"))
	return b
}

func (b *fixture) evacuate(now time.Duration, zones ...string) {
	for _, zone := range zones {
		b.version++
		b.View.PutEvacuation(now, zone, b.version)
	}
}

// Guards against new flows to an evacuated data centre, also if it has the least load, and against
// flows that are counted as placed elsewhere although the own data centre serves.
func TestNewFlowsAvoidEvacuatedDataCentres(t *testing.T) {
	b := newEvacuationFixture()
	b.evacuate(0, "a", "b")
	for n := range 50 {
		f := flowTo(bookingAddr, n)
		d := b.syn(0, f, 0)
		must.Eq(t, "i-c", d.Target.ID)
		must.True(t, d.LocalEvacuated)
		b.accept(0, f, d)
		b.data(0, f, d.Token, 101, 500, 10)
	}
	b.View.WithdrawEvacuation("a", 1000)
	d := b.syn(ms, flowTo(bookingAddr, 100), 0)
	must.Eq(t, "i-a", d.Target.ID)
	must.False(t, d.LocalEvacuated)
}

// Guards against a client that waits although no data centre is left, and against the reset of a
// flow that its first copy may have opened through another instance.
func TestAllDataCentresEvacuated(t *testing.T) {
	b := newEvacuationFixture()
	b.evacuate(0, "a", "b", "c")
	d := b.syn(0, flowTo(bookingAddr, 1), 0)
	must.Eq(t, Reset, d.Verdict)
	must.Eq(t, Evacuated, d.Reason)
	d = b.syn(0, flowTo(bookingAddr, 2), 1)
	must.Eq(t, Drop, d.Verdict)
	must.Eq(t, Evacuated, d.Reason)
}

// Guards against two targets that answer one flow, and against retransmissions that reach an
// evacuated data centre later than the bound allows.
func TestRetransmissionAfterAnEvacuation(t *testing.T) {
	for _, c := range []struct {
		name    string
		at      time.Duration // of the retransmission, after the evacuation became known
		opened  bool
		verdict Verdict
		target  string
	}{
		{"soon", repeatFor, false, Forward, "i-a"},
		{"later", repeatFor + ms, false, Forward, "i-b or i-c"},
		{"soon, open", repeatFor, true, Forward, "i-a"},
		{"later, open", repeatFor + ms, true, Drop, "i-a"},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newEvacuationFixture()
			f := flowTo(bookingAddr, 1)
			d := b.syn(0, f, 0)
			must.Eq(t, "i-a", d.Target.ID)
			// The target has answered another client since, so that it is not silent.
			b.loads["i-a"].recordResponse(ms)
			if c.opened {
				b.accept(ms, f, d)
			}
			b.evacuate(2*ms, "a")
			d = b.syn(2*ms+c.at, f, 1)
			must.Eq(t, c.verdict, d.Verdict)
			must.StrContains(t, c.target, string(d.Target.ID))
		})
	}
}

// Guards against open flows that an evacuation ends or moves.
func TestOpenFlowsStayInAnEvacuatedDataCentre(t *testing.T) {
	b := newEvacuationFixture()
	f := flowTo(bookingAddr, 1)
	d := b.syn(0, f, 0)
	b.accept(ms, f, d)
	b.evacuate(2*ms, "a", "b", "c")
	got := b.data(time.Minute, f, d.Token, 101, 500, 10)
	must.Eq(t, Forward, got.Verdict)
	must.Eq(t, "i-a", got.Target.ID)
}
