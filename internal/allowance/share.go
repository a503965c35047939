package allowance

import (
	"math"

	"guavaloom.example/guavaloom/internal/rendezvous"
)

// MaxShare limits the share of an instance, and thus the memory of a Window to 8 KB. It is
// several times what an instance of the largest size forwards in a second.
const MaxShare = 1024

// Bound returns how many flows a cold target may get in any sliding second from all instances.
func Bound(perSecond, overage, slack float64) float64 { return perSecond*overage + slack }

// Planned returns how many flows a second all instances together plan to give a cold target.
// Half of the bound is left for differences between views.
func Planned(perSecond, overage, slack float64) float64 {
	return max(min(perSecond, Bound(perSecond, overage, slack)/2), 0)
}

// Share returns how many flows instance self may give a cold target in any sliding second.
// instances are the rendezvous seeds of the known instances of the data centre, without
// duplicates; self counts whether or not it is among them. target is the seed of the target.
func Share(perSecond, overage, slack float64, instances []uint64, self, target uint64) int {
	planned := Planned(perSecond, overage, slack)
	if math.IsNaN(planned) {
		return 0
	}
	n, rank := 1, 0
	for _, other := range instances {
		if other == self {
			continue
		}
		n++
		if ranksBefore(other, self, target) {
			rank++
		}
	}
	switch {
	case planned >= float64(n):
		return int(min(planned/float64(n), MaxShare))
	case rank < int(min(planned, maxRanked(Bound(perSecond, overage, slack)))):
		return 1
	}
	return 0
}

// maxRanked returns how many instances may send one flow each so that the bound also holds if
// every view lacks another half of the instances. The number of instances that then take
// themselves for one of the k first is random, with a mean of 2k and a standard deviation of
// about the root of k; four of these are allowed for.
func maxRanked(bound float64) float64 {
	if bound <= 0 {
		return 0
	}
	root := (math.Sqrt(16+8*bound) - 4) / 4 // of k where 2k + 4 sqrt(k) is the bound
	return root * root
}

// ranksBefore reports whether instance a ranks before b for a target.
func ranksBefore(a, b, target uint64) bool {
	sa, sb := rendezvous.Score(a, target), rendezvous.Score(b, target)
	return sa > sb || sa == sb && a < b
}
