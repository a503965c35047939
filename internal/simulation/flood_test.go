package simulation

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"guavaloom.example/guavaloom/internal/dispatch"
	"guavaloom.example/guavaloom/internal/service"
)

const (
	floodWarm   = 5 * time.Second
	floodLength = 8 * time.Second
	meanService = 50 * time.Millisecond
)

// calmLoad is the usual load of each class as a share of the capacity.
var calmLoad = [service.Classes]float64{0.15, 0.30, 0.15}

// floodResult is what each class got in the measured time.
type floodResult struct {
	kept    [service.Classes]int
	latency [service.Classes][]time.Duration
}

// runFlood offers the usual load and a load of flood times the capacity in one class.
func runFlood(seed int64, s setting, class service.Class, flood float64, plain bool) *floodResult {
	s.requests, s.plain = true, plain
	w := newWorld(seed, s)
	w.loss = 0
	r := &floodResult{}
	capacity := float64(14*s.slots) / meanService.Seconds()
	for c := range service.Classes {
		w.source(r, service.Class(c), calmLoad[c]*capacity, w.now, w.now+floodWarm+floodLength)
	}
	if flood > 0 {
		w.source(r, class, flood*capacity, w.now+floodWarm/2, w.now+floodWarm+floodLength)
	}
	w.runUntil(w.now + floodWarm + floodLength + callTimeout)
	return r
}

// source offers requests of one class at random times. Only those of the time
// after the warm-up count.
func (w *world) source(r *floodResult, class service.Class, rate float64, from, until time.Duration) {
	measured := until - floodLength
	var next func()
	next = func() {
		if w.now >= until {
			return
		}
		w.offer(r, class, w.now >= measured)
		w.after(time.Duration(-math.Log(1-w.rng.Float64())/rate*float64(time.Second)), next)
	}
	w.after(from-w.now, next)
}

func (w *world) offer(r *floodResult, class service.Class, counts bool) {
	at, h := w.now, w.entry()
	c := &call{op: &operation{name: "load", idempotent: true, class: class}}
	h.counter.accept(c, 0, h.clock()+callDeadline, func(a reply) {
		if a.outcome == dispatch.Answered && counts {
			r.kept[class]++
			r.latency[class] = append(r.latency[class], w.now-at)
		}
	})
}

func p99(d []time.Duration) float64 {
	if len(d) == 0 {
		return math.Inf(1)
	}
	slices.Sort(d)
	return d[len(d)*99/100].Seconds()
}

// effectOf compares what the other classes kept and their 99th percentile.
func effectOf(before, during *floodResult, flooded service.Class) (kept, ratio float64) {
	kept = 1
	for c := range service.Classes {
		if service.Class(c) != flooded {
			kept = min(kept, float64(during.kept[c])/float64(before.kept[c]))
			ratio = max(ratio, p99(during.latency[c])/p99(before.latency[c]))
		}
	}
	return kept, ratio
}

func (r *floodResult) add(o *floodResult) {
	for c := range service.Classes {
		r.kept[c] += o.kept[c]
		r.latency[c] = append(r.latency[c], o.latency[c]...)
	}
}

// measureFlood measures the effect of a flood of ten times the capacity on the
// other classes, for all seeds together and both settings, worst setting first.
func measureFlood(t *testing.T, class service.Class) {
	seeds := max(1, *seeds/4) // a run takes several seconds
	for _, plain := range []bool{false, true} {
		worstKept, worstRatio := 1.0, 0.0
		for _, s := range []setting{kandy, blueMountain} {
			var before, during floodResult
			for _, r := range each(seeds, *first, func(seed int64) [2]*floodResult {
				return [2]*floodResult{runFlood(seed, s, class, 0, plain), runFlood(seed, s, class, 10, plain)}
			}) {
				before.add(r[0])
				during.add(r[1])
			}
			kept, ratio := effectOf(&before, &during, class)
			t.Logf("%s plain %t: kept %.3f, p99 ratio %.2f", s.name, plain, kept, ratio)
			worstKept, worstRatio = min(worstKept, kept), max(worstRatio, ratio)
		}
		prefix := "flood_"
		if plain {
			prefix = "baseline_flood_"
		}
		measure(t, prefix+class.String()+"_kept", fmt.Sprintf("%.1f", 100*worstKept), "%")
		measure(t, prefix+class.String()+"_p99_ratio", fmt.Sprintf("%.2f", worstRatio), "ratio")
		if !plain && (worstKept < 0.95 || worstRatio > 1.5) {
			t.Errorf("flood of %s: kept %.3f p99 ratio %.2f", class, worstKept, worstRatio)
		}
	}
}
