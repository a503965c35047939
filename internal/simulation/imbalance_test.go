package simulation

import (
	"fmt"
	"math"
	"testing"
	"time"

	"guavaloom.example/guavaloom/internal/target"
)

const (
	flowsPerTarget = 2000
	meanLife       = 60 * time.Second
	imbalanceEnd   = 200 * time.Second
)

// runImbalance opens about 2,000 flows a target with exponential lives and
// returns the highest ratio of peak to mean without and with changes.
func runImbalance(seed int64, s setting) [2]float64 {
	w := newWorld(seed, s)
	w.loss = 0
	w.services[0].meta.IdleTimeout = time.Hour // no packets are needed to stay open
	w.change()
	rate := float64(14*flowsPerTarget) / meanLife.Seconds()
	for range 14 * flowsPerTarget {
		w.quietFlow()
	}
	var open func()
	open = func() {
		w.quietFlow()
		if w.now < imbalanceEnd {
			w.after(time.Duration(-math.Log(1-w.rng.Float64())/rate*float64(time.Second)), open)
		}
	}
	w.after(0, open)
	steady, changing := w.peakUntil(60*time.Second), 0.0
	drain(w)
	changing = max(changing, w.peakUntil(90*time.Second))
	joinTarget(w)
	changing = max(changing, w.peakUntil(120*time.Second))
	crashNow(w)
	drain(w)
	changing = max(changing, w.peakUntil(imbalanceEnd))
	return [2]float64{steady, changing}
}

// quietFlow opens a flow that sends one packet after its first and then nothing.
func (w *world) quietFlow() {
	c := w.dial(0)
	c.packets, c.low, c.high = 2, 50*time.Millisecond, 100*time.Millisecond
	c.quiet = time.Duration(-math.Log(1-w.rng.Float64()) * float64(meanLife))
}

// peakUntil runs and returns the mean over samples of peak to mean flows, over
// the targets of full weight.
func (w *world) peakUntil(end time.Duration) float64 {
	sum, n := 0.0, 0
	for w.now < end {
		w.runUntil(min(end, w.now+5*time.Second))
		total, peak, targets := 0, 0, 0
		for _, b := range w.services[0].backends {
			if b.state == target.Active && b.percent == target.FullWeight {
				total, peak, targets = total+b.flows, max(peak, b.flows), targets+1
			}
		}
		if total > 0 {
			sum, n = sum+float64(peak*targets)/float64(total), n+1
		}
	}
	return sum / float64(n)
}

func measureImbalance(t *testing.T) {
	var sum, worst [2]float64
	n := min(*seeds, 16)
	for _, r := range each(n, *first, func(seed int64) [2]float64 { return runImbalance(seed, settingOf(seed)) }) {
		for i := range r {
			sum[i] += r[i] / float64(n)
			worst[i] = max(worst[i], r[i])
		}
	}
	for i, name := range []string{"imbalance_steady", "imbalance_change"} {
		measure(t, name, fmt.Sprintf("%.3f", sum[i]), "peak/mean, mean of seeds")
		measure(t, name+"_worst", fmt.Sprintf("%.3f", worst[i]), "peak/mean, worst seed")
	}
	if sum[0] > 1.05 || sum[1] > 1.15 {
		t.Errorf("imbalance %v", sum)
	}
}
