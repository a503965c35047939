package admission_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"guavaloom.example/guavaloom/internal/admission"
	"guavaloom.example/guavaloom/internal/dispatch"
	"guavaloom.example/guavaloom/internal/service"
	"guavaloom.example/guavaloom/internal/target"
)

// baseLoad is the load without a flood, by class: 60 % of the capacity in total.
var baseLoad = [service.Classes]float64{0.15, 0.30, 0.15}

func ratio[N int | uint64 | time.Duration](a, b N) float64 { return float64(a) / float64(b) }

// floodEffect is the effect of a flood of one class, over the requests of all seeds.
// kept and p99 compare the worst of the other classes with a run without a flood.
type floodEffect struct{ kept, p99, sent, utilization, refusalP99, lateRefusals float64 }

func flood(s scenario, c service.Class, seeds int64) floodEffect {
	var before, during fleetSim
	var st dispatch.Stats
	for seed := range seeds {
		s.seed, s.load = seed+1, baseLoad
		before.add(s.run())
		s.load[c] = 10
		w := s.run()
		during.add(w)
		x := w.stats()
		st.Sent, st.Accepted = st.Sent+x.Sent, st.Accepted+x.Accepted
	}
	e := floodEffect{kept: 1, sent: ratio(st.Sent, st.Accepted), refusalP99: ratio(quantile(during.refused[c], .99), deadlines[c])}
	e.lateRefusals = lateShare(during.refused[c], deadlines[c]/10)
	kept := 0
	for o := range service.Classes {
		kept += during.answered[o]
		if service.Class(o) != c {
			e.kept = min(e.kept, ratio(during.answered[o], before.answered[o]))
			e.p99 = max(e.p99, ratio(quantile(during.latency[o], .99), quantile(before.latency[o], .99)))
		}
	}
	e.utilization = float64(kept) * meanService.Seconds() / float64(s.targets*s.slots) / s.length.Seconds() / float64(seeds)
	return e
}

// lateShare returns the share of refusals that took longer than limit.
func lateShare(refused []time.Duration, limit time.Duration) float64 {
	n := 0
	for _, d := range refused {
		if d > limit {
			n++
		}
	}
	return ratio(n, max(len(refused), 1))
}

func (w *fleetSim) add(o *fleetSim) {
	for c := range service.Classes {
		w.answered[c] += o.answered[c]
		w.latency[c] = append(w.latency[c], o.latency[c]...)
		w.refused[c] = append(w.refused[c], o.refused[c]...)
	}
}

// Guards against a flood of one class that reduces the answered requests of the other
// classes or raises their latency, and against late refusals and extra attempts.
func TestFlood(t *testing.T) {
	for _, f := range []scenario{{instances: 6, targets: 14, slots: 3}, {instances: 6, targets: 4, slots: 3}, {instances: 7, targets: 14, slots: 2}} {
		for _, c := range []service.Class{service.Bulk, service.Urgent} {
			t.Run(fmt.Sprintf("%dx%dx%d/%v", f.instances, f.targets, f.slots, c), func(t *testing.T) {
				f.length = time.Duration(84/f.targets) * time.Second
				e := flood(f, c, 3)
				plain := f
				plain.cfg.Plain, plain.length = true, 3*time.Second
				p := flood(plain, c, 1)
				t.Logf("admission: kept %.3f p99 ratio %.2f sent/accepted %.3f used %.2f refused after %.2f of the deadline (p99), late %.4f", e.kept, e.p99, e.sent, e.utilization, e.refusalP99, e.lateRefusals)
				t.Logf("baseline: kept %.3f p99 ratio %.2f sent/accepted %.3f used %.2f refused after %.2f of the deadline (p99)", p.kept, p.p99, p.sent, p.utilization, p.refusalP99)
				must.GreaterEq(t, 0.95, e.kept)
				must.LessEq(t, 1.5, e.p99)
				must.LessEq(t, 1.1, e.sent)
				must.LessEq(t, 0.005, e.lateRefusals, must.Sprint("requests that cannot be served should be refused on arrival"))
				must.Less(t, p.p99, 2*e.p99, must.Sprint("the p99 ratio of the baseline should be more than twice as high"))
			})
		}
	}
}

// Guards against the effects of a flood where the instances own one or two slots, too
// few for a reserve per instance.
func TestFloodOneSlotAnInstance(t *testing.T) {
	for _, c := range []service.Class{service.Bulk, service.Urgent} {
		e := flood(scenario{instances: 7, targets: 4, slots: 2, length: 10 * time.Second}, c, 3)
		t.Logf("%v: kept %.3f p99 ratio %.2f sent/accepted %.3f used %.2f", c, e.kept, e.p99, e.sent, e.utilization)
		must.GreaterEq(t, 0.95, e.kept)
		must.LessEq(t, 1.1, e.sent)
		must.LessEq(t, 1.5, e.p99)
	}
}

// Guards against refusals without a flood in a fleet where most instances own no slots.
func TestMoreInstancesThanSlots(t *testing.T) {
	w := scenario{instances: 137, targets: 14, slots: 3, load: baseLoad, seed: 1, length: 10 * time.Second}.run()
	st := w.stats()
	for c := range service.Classes {
		t.Logf("%v: kept %.3f p99 %v sent/accepted %.3f", service.Class(c), ratio(w.answered[c], w.offered[c]), quantile(w.latency[c], .99), ratio(st.Sent, st.Accepted))
		must.GreaterEq(t, 0.95, ratio(w.answered[c], w.offered[c]))
	}
}

// Guards against slots that stay unused while a single class needs most of the capacity
// and nothing floods.
func TestFullUseWithoutFlood(t *testing.T) {
	for c := range service.Classes {
		s := scenario{instances: 6, targets: 14, slots: 3, seed: 3, length: 10 * time.Second}
		s.load[c] = 0.75
		w := s.run()
		t.Logf("%v at 75 %%: kept %.3f p99 %v", service.Class(c), ratio(w.answered[c], w.offered[c]), quantile(w.latency[c], .99))
		must.GreaterEq(t, 0.99, ratio(w.answered[c], w.offered[c]))
	}
}

// Compares limit strategies and queue orders (see docs/decisions/admission.md) and guards
// against a retry rate above the retry budget in each of them.
func TestCompareStrategies(t *testing.T) {
	halved := func(w *fleetSim) { // two targets have fewer slots than listed
		w.actualSlots["t00"], w.actualSlots["t01"] = 1, 1
	}
	for _, k := range []struct {
		name string
		cfg  admission.Config
	}{
		{"slot counting", admission.Config{}},
		{"static limit", admission.Config{Limit: admission.StaticLimit}},
		{"delay gradient", admission.Config{Limit: admission.DelayGradient}},
		{"newest first", admission.Config{Order: admission.NewestFirst}},
		{"arrival order", admission.Config{Order: admission.ArrivalOrder}},
	} {
		for _, queues := range []bool{false, true} {
			s := scenario{instances: 6, targets: 14, slots: 3, load: baseLoad, cfg: k.cfg, seed: 4, length: 10 * time.Second}
			s.prepare = func(w *fleetSim) { halved(w); w.targetsQueue = queues }
			before := s.run()
			s.load[service.Bulk] = 10
			during := s.run()
			st := during.stats()
			t.Logf("%-14s targets queue=%-5v calm kept %.3f p99 %v; bulk flood: normal kept %.3f p99 %v, bulk kept %d p99 %v, refused p99 %v, shed %d, sent/accepted %.3f",
				k.name, queues, ratio(before.answered[1], before.offered[1]), quantile(before.latency[1], .99).Round(time.Millisecond),
				ratio(during.answered[1], before.offered[1]), quantile(during.latency[1], .99).Round(time.Millisecond),
				during.answered[2], quantile(during.latency[2], .99).Round(time.Millisecond), quantile(during.refused[2], .99).Round(time.Millisecond), during.shed, ratio(st.Sent, st.Accepted))
			must.LessEq(t, 1.1+0.01, ratio(st.Sent, st.Accepted))
		}
	}
}

// Guards against a retry storm while three of four targets shed everything and after
// they recover.
func TestNoRetryStorm(t *testing.T) {
	s := scenario{instances: 6, targets: 4, slots: 3, load: baseLoad, seed: 5, length: 12 * time.Second}
	s.prepare = func(w *fleetSim) {
		w.shedsAll = func(id target.ID, now time.Duration) bool {
			return now > 4*time.Second && now < 8*time.Second && id != "t03"
		}
		var check func()
		check = func() {
			st := w.stats()
			must.LessEq(t, 1.1*float64(st.Accepted)+float64(len(w.instances)), float64(st.Sent))
			if w.now < s.length {
				w.at(100*time.Millisecond, check)
			}
		}
		w.at(time.Second, check)
	}
	w := s.run()
	st := w.stats()
	t.Logf("sent/accepted %.3f, shed %d", ratio(st.Sent, st.Accepted), w.shed)
	must.LessEq(t, 1.1, ratio(st.Sent, st.Accepted))
}
