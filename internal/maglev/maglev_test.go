package maglev

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"guavaloom.example/guavaloom/internal/zone"
)

func equalMembers(n int) []Member {
	m := make([]Member, n)
	for i := range m {
		m[i] = Member{Index: zone.TargetIndex(i), Name: fmt.Sprintf("booking-%d", i), Percent: 100}
	}
	return m
}

// Guards against an uneven share of slots among targets of equal weight.
func TestBuildIsEven(t *testing.T) {
	for _, n := range []int{1, 2, 4, 14, 18, 100} {
		slots := Build(equalMembers(n), Size(n))
		counts := make(map[zone.TargetIndex]int)
		for _, target := range slots {
			counts[target]++
		}
		must.Eq(t, n, len(counts))
		mean := float64(len(slots)) / float64(n)
		for _, c := range counts {
			must.Between(t, mean-1, float64(c), mean+1)
		}
	}
}

// Guards against a share of slots that is not proportional to the weight.
func TestBuildFollowsWeights(t *testing.T) {
	m := equalMembers(4)
	m[0].Percent = 25
	m[1].Percent = 0
	counts := make(map[zone.TargetIndex]int)
	for _, target := range Build(m, 1009) {
		counts[target]++
	}
	must.Eq(t, 0, counts[1])
	must.Between(t, 108, counts[0], 116)
}

// Guards against the removal of one target moving many slots of the others.
func TestBuildMovesFewSlots(t *testing.T) {
	m := equalMembers(14)
	size := Size(14)
	before := Build(m, size)
	after := Build(append(append([]Member(nil), m[:5]...), m[6:]...), size)
	moved := 0
	for i := range before {
		if before[i] != after[i] && before[i] != 5 {
			moved++
		}
	}
	must.Less(t, int(size)/8, moved)
}

// Guards against an endless loop or an invalid target index if no member has weight.
func TestBuildWithoutMembers(t *testing.T) {
	for _, target := range Build(nil, 251) {
		must.Eq(t, zone.NoTarget, target)
	}
}
