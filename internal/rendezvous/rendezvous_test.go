package rendezvous

import (
	"fmt"
	"math/rand"
	"testing"

	"github.com/shoenig/test/must"
)

func seeds(n int) []uint64 {
	s := make([]uint64, n)
	for i := range s {
		s[i] = Seed(fmt.Sprintf("instance-%d", i))
	}
	return s
}

// Guards against Top and Top2 ranking the candidates differently.
func TestTopAgreesWithTop2(t *testing.T) {
	rng := rand.New(rand.NewSource(1))
	for n := range 9 {
		s := seeds(n)
		for range 200 {
			key := rng.Uint64()
			first, second := Top2(s, key)
			ranked := append(Top(s, key, 2), -1, -1)
			must.Eq(t, ranked[0], first)
			must.Eq(t, ranked[1], second)
		}
	}
}

// Guards against moving keys of the remaining candidates when one leaves.
func TestDepartureMovesOnlyOwnKeys(t *testing.T) {
	rng := rand.New(rand.NewSource(2))
	s := seeds(7)
	for range 1000 {
		key := rng.Uint64()
		first, second := Top2(s, key)
		rest := append(append([]uint64(nil), s[:first]...), s[first+1:]...)
		moved, _ := Top2(rest, key)
		must.Eq(t, s[second], rest[moved])
	}
}
