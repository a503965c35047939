package allowance

import (
	"fmt"
	"math"
	"math/rand"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"guavaloom.example/guavaloom/internal/rendezvous"
)

// limits are the rate of a service and the overage and slack of a deployment.
type limits struct{ perSecond, overage, slack float64 }

func (l limits) bound() float64 { return Bound(l.perSecond, l.overage, l.slack) }

// variedLimits has the values of the users' deployments, such without slack, and extremes.
var variedLimits = []limits{
	{20, 1.5, 5}, {8, 1.5, 5}, {3, 1.5, 5}, {60, 1.5, 5}, {400, 1.5, 5}, {20, 1, 0}, {2, 1, 0}, {1, 1, 0}, {0.4, 1, 0}, {7.9, 1.2, 1},
}

var fleetSizes = []int{1, 7, 85, 300}

// fleet returns the seeds of n instances.
func fleet(n int) []uint64 {
	out := make([]uint64, n)
	for i := range out {
		out[i] = rendezvous.Seed(fmt.Sprintf("instance-%d", i))
	}
	return out
}

func targetSeed(n int) uint64 { return rendezvous.Seed(fmt.Sprintf("i-%x", n+1)) }

func TestShares(t *testing.T) {
	sum := func(l limits, n, target int) (sum int) {
		all := fleet(n)
		for _, self := range all {
			sum += Share(l.perSecond, l.overage, l.slack, all, self, targetSeed(target))
		}
		return sum
	}
	for _, c := range []struct {
		name string
		l    limits
		n    int
		want int // summed over the instances
	}{
		{"one instance has the plan", limits{20, 1.5, 5}, 1, 17},
		{"rates below half of the bound are planned in full", limits{8, 1.5, 5}, 1, 8},
		{"shares are rounded down", limits{20, 1.5, 5}, 7, 14},
		{"as many instances as planned requests", limits{8, 1.5, 5}, 8, 8},
		{"the first ones have one each, with a margin for views that lack half", limits{20, 1.5, 5}, 85, 10},
		{"the same with many instances", limits{20, 1.5, 5}, 300, 10},
		{"without overage and slack", limits{20, 1, 0}, 7, 7},
		{"a plan rounded to 0 is 0", limits{1, 1, 0}, 1, 0},
		{"no rate", limits{0, 1.5, 0}, 7, 0},
		{"not a number", limits{math.NaN(), 1, 0}, 1, 0},
		{"negative", limits{-4, 1, 0}, 1, 0},
		{"large rates are limited", limits{math.Inf(1), 1, 0}, 2, 2 * MaxShare},
	} {
		for target := range 20 {
			must.Eq(t, c.want, sum(c.l, c.n, target), must.Sprint(c.name, target))
		}
	}
}

// Guards against an instance that does not count itself while its own entry is missing from
// its view.
func TestOwnEntryCountsAlways(t *testing.T) {
	all := fleet(7)
	without := slices.DeleteFunc(slices.Clone(all), func(s uint64) bool { return s == all[3] })
	for target := range 50 {
		for _, rate := range []float64{20, 3} {
			must.Eq(t, Share(rate, 1.5, 5, all, all[3], targetSeed(target)), Share(rate, 1.5, 5, without, all[3], targetSeed(target)))
		}
	}
}

// Guards against the same few instances serving all cold targets.
func TestRanksDifferBetweenTargets(t *testing.T) {
	all := fleet(85)
	const targets = 400
	for _, self := range all {
		served := 0
		for target := range targets {
			served += Share(17, 1.5, 5, all, self, targetSeed(target))
		}
		must.Between(t, 0.5*targets*9/85, float64(served), 1.6*targets*9/85)
	}
}

// partialView returns a view that lacks a fraction of the instances, other than self.
func partialView(rng *rand.Rand, all []uint64, self uint64, missing float64) []uint64 {
	out := []uint64{self}
	for _, at := range rng.Perm(len(all))[:len(all)-int(missing*float64(len(all)))] {
		if all[at] != self {
			out = append(out, all[at])
		}
	}
	return out
}

// sumOfShares returns the sum over a fleet whose instances each lack a different part of it.
func sumOfShares(rng *rand.Rand, l limits, n int, missing float64, target uint64) (sum int) {
	all := fleet(n)
	for _, self := range all {
		sum += Share(l.perSecond, l.overage, l.slack, partialView(rng, all, self, missing), self, target)
	}
	return sum
}

// Guards against a sum of the shares above the bound, in fleets whose views lack a fraction of the
// instances.
func TestSumOfShares(t *testing.T) {
	for _, missing := range []float64{0, 0.18, 0.5} {
		rng := rand.New(rand.NewSource(1))
		for _, l := range variedLimits {
			for _, n := range fleetSizes {
				for target := range 50 {
					sum := sumOfShares(rng, l, n, missing, targetSeed(target))
					must.LessEq(t, l.bound(), float64(sum), must.Sprint(missing, l, n, target))
				}
			}
		}
	}
}

// member is an instance in the flood test.
type member struct {
	self   uint64
	window Window
	// from and to are when it runs, restartsAt when it loses its window; 0 if it does not.
	from, to, restartsAt time.Duration
}

// Load pattern: every instance gets more first packets than a cold target may have, in bursts and
// as retries of rejected ones, while instances start, end, restart and know too few others.
// Guards against a sliding second above the bound, at every millisecond.
func TestFloodKeepsTheBound(t *testing.T) {
	for _, missing := range []float64{0, 0.18} {
		for _, l := range variedLimits {
			for _, n := range fleetSizes {
				for seed := range int64(2) {
					t.Run(fmt.Sprintf("missing %v rate %v overage %v instances %d seed %d", missing, l.perSecond, l.overage, n, seed), func(t *testing.T) {
						placed := flood(rand.New(rand.NewSource(seed)), l, n, missing)
						for begin := -Period; begin < floodTime; begin += ms {
							must.LessEq(t, l.bound(), float64(usesIn(placed, begin)), must.Sprint(begin))
						}
					})
				}
			}
		}
	}
}

const floodTime = 4 * time.Second

// flood returns when flows were placed on one cold target.
func flood(rng *rand.Rand, l limits, n int, missing float64) (placed []time.Duration) {
	all, target := fleet(n), targetSeed(rng.Intn(1000))
	members := make([]*member, n)
	for i, self := range all {
		m := &member{self: self, to: floodTime}
		switch rng.Intn(8) {
		case 0:
			m.from = time.Duration(rng.Int63n(int64(floodTime)))
		case 1:
			m.to = time.Duration(rng.Int63n(int64(floodTime)))
		}
		m.window.SetLimit(Share(l.perSecond, l.overage, l.slack, partialView(rng, all, self, missing), self, target))
		members[i] = m
	}
	for at := time.Duration(1); at < floodTime; at += 1500 * ms {
		for range 1 + n/8 {
			members[rng.Intn(n)].restartsAt = at + time.Duration(rng.Int63n(int64(500*ms)))
		}
	}
	// pending has the retries: retransmissions of dropped packets and new attempts after resets.
	pending := make(map[time.Duration]int)
	for now := time.Duration(0); now < floodTime; now += ms {
		arrivals := pending[now]
		delete(pending, now)
		if now%(100*ms) == 0 {
			arrivals += 2 * n // a burst
		}
		arrivals += rng.Intn(2 + n/8)
		for range arrivals {
			m := members[rng.Intn(n)]
			if now < m.from || now >= m.to {
				continue
			}
			if m.restartsAt > 0 && now >= m.restartsAt {
				limit := m.window.Limit()
				m.window, m.from, m.restartsAt = Window{}, now+Period, 0 // the earlier process may have used its share just now
				m.window.SetLimit(limit)
				continue
			}
			switch {
			case m.window.Allows(now):
				m.window.Use(now)
				placed = append(placed, now)
			case len(pending) < 200 && rng.Intn(3) == 0:
				pending[now+time.Duration(1+rng.Intn(200))*ms]++
			}
		}
	}
	return placed
}
