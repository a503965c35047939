package targetreport

import (
	"cmp"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
)

const (
	// Receivers is the number of instances that a report is sent to.
	Receivers = 4
	// SlowPercent and FastPercent are the relative latencies beyond which a target is reported.
	SlowPercent = 150
	FastPercent = 50
)

// Notable reports whether an observation is reported.
func (e *Entry) Notable() bool {
	return e.Silence > 0 || e.Latency > 0 && e.Answers > 0 && (e.Latency > SlowPercent || e.Latency < FastPercent)
}

// difference returns how far the target is from the usual: a factor in either direction,
// infinite for a silent target.
func (e *Entry) difference() float64 {
	if e.Silence > 0 {
		return math.Inf(1)
	}
	return max(float64(e.Latency)/100, 100/float64(e.Latency))
}

// Select returns the observations to report: the notable ones, of more than MaxEntries those that
// differ most from the usual, in random order among equals. It reorders its argument.
func Select(observed []Entry, random *rand.Rand) []Entry {
	observed = slices.DeleteFunc(observed, func(e Entry) bool { return !e.Notable() })
	if len(observed) <= MaxEntries {
		return observed
	}
	random.Shuffle(len(observed), func(a, b int) { observed[a], observed[b] = observed[b], observed[a] })
	slices.SortStableFunc(observed, func(a, b Entry) int { return cmp.Compare(b.difference(), a.difference()) })
	return observed[:MaxEntries]
}

// ChooseReceivers returns up to Receivers of the other instances at random. It reorders its argument.
func ChooseReceivers(others []netip.Addr, random *rand.Rand) []netip.Addr {
	n := min(Receivers, len(others))
	for at := range n {
		with := at + random.IntN(len(others)-at)
		others[at], others[with] = others[with], others[at]
	}
	return others[:n]
}
