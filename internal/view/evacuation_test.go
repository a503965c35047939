package view

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// step is one event of an evacuation and whether data centre "b" is evacuated after it.
type step struct {
	at        time.Duration
	do        func(v *View, now time.Duration)
	evacuated bool
}

func request(version uint64) func(*View, time.Duration) {
	return func(v *View, now time.Duration) { v.PutEvacuation(now, "b", version) }
}

func withdraw(version uint64) func(*View, time.Duration) {
	return func(v *View, _ time.Duration) { v.WithdrawEvacuation("b", version) }
}

// restoredWithout is the first answer of a restored store that lacks the request.
func restoredWithout(version uint64) func(*View, time.Duration) {
	return func(v *View, now time.Duration) { v.WithdrawRestored(now, "b", version) }
}

func pass(*View, time.Duration) {}

// Guards against an evacuation that ends early, outlasts its withdrawal or comes back, in each
// order in which requests, withdrawals and restores of the store can arrive.
func TestEvacuationSteps(t *testing.T) {
	const grace = 3 * time.Second // limits.ReturnGrace
	for _, c := range []struct {
		name  string
		steps []step
	}{
		{"requested and withdrawn", []step{
			{0, request(5), true}, {time.Hour, pass, true}, {time.Hour, withdraw(6), false},
		}},
		{"requested again after a withdrawal", []step{
			{0, request(5), true}, {1, withdraw(6), false}, {2, request(7), true},
		}},
		{"an older withdrawal arrives late", []step{
			{0, request(5), true}, {1, withdraw(6), false}, {2, request(7), true}, {3, withdraw(6), true},
		}},
		{"an older request arrives after the withdrawal", []step{
			{0, request(5), true}, {1, withdraw(6), false}, {2, request(5), false}, {3, request(6), false},
		}},
		{"a withdrawal without a request", []step{{0, withdraw(6), false}, {1, request(7), true}}},
		// Two operators: one writes the request again, one withdraws it.
		{"the second request is after the withdrawal", []step{
			{0, request(5), true}, {1, withdraw(6), false}, {2, request(7), true}, {time.Hour, pass, true},
		}},
		{"the withdrawal is after the second request", []step{
			{0, request(5), true}, {1, request(6), true}, {2, withdraw(7), false}, {3, request(6), false},
		}},
		{"the withdrawal of the first request arrives after the second request", []step{
			{0, request(5), true}, {1, request(7), true}, {2, withdraw(6), true},
		}},
		{"a restored store has the request", []step{
			{0, request(50), true}, {1, request(afterRestore), true}, {time.Hour, pass, true}, {time.Hour, withdraw(afterRestore + 1), false},
		}},
		{"a restored store lacks the request", []step{
			{0, request(50), true}, {1, restoredWithout(afterRestore), true},
			{grace, pass, true}, {grace + 1, pass, false}, {grace + 2, request(afterRestore + 1), true},
		}},
		{"a restored store lacks the request, which is written again", []step{
			{0, request(50), true}, {1, restoredWithout(afterRestore), true}, {grace, request(afterRestore + 1), true},
			{2 * grace, pass, true}, {time.Hour, withdraw(afterRestore + 2), false},
		}},
		{"a restored store lacks the request, which was withdrawn before", []step{
			{0, request(50), true}, {1, withdraw(51), false}, {2, restoredWithout(afterRestore), false}, {time.Hour, pass, false},
		}},
		{"a restored store has a request that was withdrawn", []step{
			{0, request(50), true}, {1, withdraw(51), false}, {2, request(afterRestore), true}, {time.Hour, pass, true},
		}},
		{"an answer from before the restore arrives late", []step{
			{0, request(50), true}, {1, restoredWithout(afterRestore), true}, {2, request(51), true}, {grace + 1, pass, false},
			{grace + 2, request(52), false},
		}},
		{"a withdrawal from before the restore arrives late", []step{
			{0, request(50), true}, {1, request(afterRestore), true}, {2, withdraw(51), true},
		}},
		{"the second of two restores has the request", []step{
			{0, request(50), true}, {1, restoredWithout(afterRestore), true}, {2, request(2 * afterRestore), true}, {time.Hour, pass, true},
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			v := New(limits)
			for n, s := range c.steps {
				s.do(v, s.at)
				v.SettleEvacuations(s.at, func(Evacuation) {})
				must.Eq(t, s.evacuated, v.Evacuated("b"), must.Sprintf("step %d", n))
			}
			must.False(t, v.Evacuated("a"))
		})
	}
}

// Guards against an evacuation whose time of being known begins anew with each answer of the
// store: retransmissions would go to the evacuated data centre for ever.
func TestEvacuationIsKnownSinceTheFirstAnswer(t *testing.T) {
	v := New(limits)
	must.True(t, v.PutEvacuation(time.Second, "b", 5))
	must.False(t, v.PutEvacuation(2*time.Second, "b", 6))
	must.False(t, v.PutEvacuation(3*time.Second, "b", 4))
	known, ok := v.EvacuatedFor(5*time.Second, "b")
	must.True(t, ok)
	must.Eq(t, 4*time.Second, known)
	must.Eq(t, []Evacuation{{Zone: "b", Version: 6, Since: time.Second}}, v.Evacuations())
	_, ok = v.EvacuatedFor(5*time.Second, "a")
	must.False(t, ok)
}

// Guards against the end of an evacuation that is reported not at all or more than once.
func TestSettledEvacuationIsReportedOnce(t *testing.T) {
	v := New(limits)
	v.PutEvacuation(0, "b", 5)
	v.PutEvacuation(0, "c", 6)
	v.WithdrawRestored(time.Second, "b", afterRestore)
	var ended []string
	for now := range 10 {
		v.SettleEvacuations(time.Duration(now)*time.Second, func(e Evacuation) { ended = append(ended, e.Zone) })
	}
	must.Eq(t, []string{"b"}, ended)
	must.True(t, v.Evacuated("c"))
	must.False(t, v.WithdrawEvacuation("b", afterRestore+1))
}

// Guards against flows that are placed before an instance knows the evacuations, and against an
// instance that waits for ever for a list that nobody can give it.
func TestCompleteWithEvacuations(t *testing.T) {
	for _, skip := range []bool{false, true} {
		v := New(limits)
		v.RequireEvacuations()
		v.SetConfig(Config{Version: 1}, 1)
		v.MarkListed()
		must.False(t, v.Complete())
		if skip {
			must.True(t, v.SkipEvacuations())
		} else {
			v.MarkEvacuationsListed()
		}
		must.True(t, v.Complete())
		must.False(t, v.SkipEvacuations())
	}
}

// Guards against a typing error in a name that evacuates nothing without being noticed, and
// against evacuations that are refused in a deployment whose settings list no data centres.
func TestKnownZone(t *testing.T) {
	v := New(limits)
	must.True(t, v.KnownZone("anything"))
	v.SetRegions(map[string]string{"b": "north"})
	must.True(t, v.KnownZone("b"))
	must.False(t, v.KnownZone("anything"))
}
