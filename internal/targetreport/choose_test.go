package targetreport

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func newRandom(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 0)) }

// Guards against reports about usual targets, which cost bytes and say nothing.
func TestNotable(t *testing.T) {
	for _, c := range []struct {
		entry Entry
		want  bool
	}{
		{Entry{}, false},
		{Entry{Latency: 100, Answers: 9}, false},
		{Entry{Latency: 150, Answers: 9}, false},
		{Entry{Latency: 151, Answers: 9}, true},
		{Entry{Latency: 50, Answers: 9}, false},
		{Entry{Latency: 49, Answers: 9}, true},
		{Entry{Latency: 900}, false},
		{Entry{Silence: 1}, true},
	} {
		must.Eq(t, c.want, c.entry.Notable(), must.Sprint(c.entry))
	}
}

// Guards against a selection that hides silent or very slow targets behind slightly slow ones, and
// against one that always leaves out the same of equal targets.
func TestSelectDiffersMost(t *testing.T) {
	observed := func() []Entry {
		var all []Entry
		for n := range uint32(300) {
			all = append(all, Entry{Token: n, Latency: 100 + int(n%2)*60, Answers: 1}) // 150 at 160 %
		}
		all[10].Silence = time.Second
		all[20] = Entry{Token: 20, Latency: 800, Answers: 1}
		all[30] = Entry{Token: 30, Latency: 10, Answers: 1}
		return all
	}
	chosen := map[uint32]int{}
	for seed := range uint64(50) {
		got := Select(observed(), newRandom(seed))
		must.Len(t, MaxEntries, got)
		must.Eq(t, []uint32{10, 30, 20}, []uint32{got[0].Token, got[1].Token, got[2].Token})
		for _, e := range got[3:] {
			must.Eq(t, 160, e.Latency)
			chosen[e.Token]++
		}
	}
	must.Eq(t, 150, len(chosen), must.Sprint("equal targets chosen in 50 rounds of 29"))
	must.SliceEmpty(t, Select([]Entry{{Latency: 100, Answers: 1}}, newRandom(0)))
}

// Guards against receivers that repeat, and against some that are never chosen.
func TestChooseReceivers(t *testing.T) {
	for _, n := range []int{0, 1, 4, 24, 136} {
		random, chosen := newRandom(1), map[netip.Addr]int{}
		for range 300 {
			got := ChooseReceivers(addresses(n), random)
			must.Len(t, min(n, Receivers), got)
			distinct := map[netip.Addr]bool{}
			for _, a := range got {
				distinct[a] = true
				chosen[a]++
			}
			must.Eq(t, len(got), len(distinct))
		}
		must.Eq(t, n, len(chosen))
	}
}

// addresses returns n distinct addresses.
func addresses(n int) []netip.Addr {
	out := make([]netip.Addr, n)
	for i := range out {
		out[i] = netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)})
	}
	return out
}
