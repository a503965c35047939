package targetreport

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const (
	token = 7
	run   = Incarnation(3)
)

func silent() Entry { return Entry{Token: token, Incarnation: run, Silence: time.Second} }

func slow(percent, answers int) Entry {
	return Entry{Token: token, Incarnation: run, Latency: percent, Answers: answers}
}

// Guards against effects of a single source, of expired reports or of those about another run of
// the target, and against reports that are outweighed.
func TestMerge(t *testing.T) {
	type claimed struct {
		source int
		at     time.Duration
		entry  Entry
	}
	earlier := silent()
	earlier.Incarnation++
	for _, c := range []struct {
		name      string
		claims    []claimed
		ownSilent bool
		now       time.Duration
		want      Merged
	}{
		{name: "nothing"},
		{name: "this one alone", ownSilent: true},
		{name: "one source", claims: []claimed{{1, 0, silent()}}},
		{name: "one source twice", claims: []claimed{{1, 0, silent()}, {1, 1, silent()}}},
		{name: "two sources", claims: []claimed{{1, 0, silent()}, {2, 1, silent()}}, want: Merged{SilentUntil: Lifetime}},
		{name: "one source and this one", claims: []claimed{{1, 0, silent()}}, ownSilent: true, want: Merged{SilentUntil: Lifetime}},
		{name: "two sources, just before the first expires", claims: []claimed{{1, 0, silent()}, {2, time.Second, silent()}}, now: Lifetime - 1, want: Merged{SilentUntil: Lifetime}},
		{name: "two sources, the first expired", claims: []claimed{{1, 0, silent()}, {2, time.Second, silent()}}, now: Lifetime},
		{name: "cut off source, later again", claims: []claimed{{1, 0, silent()}, {2, 2 * time.Second, silent()}, {1, Lifetime, silent()}}, now: Lifetime, want: Merged{SilentUntil: 2*time.Second + Lifetime}},
		{name: "two sources, one about an earlier run", claims: []claimed{{1, 0, silent()}, {2, 0, earlier}}},
		{name: "two cut off sources, two that see answers", claims: []claimed{{1, 0, silent()}, {2, 0, silent()}, {3, 0, slow(200, 5)}, {4, 0, slow(160, 5)}}, want: Merged{Latency: 160, LatencyUntil: Lifetime}},
		{name: "three silent, one that sees answers", claims: []claimed{{1, 0, silent()}, {2, 0, silent()}, {3, 0, silent()}, {4, 0, slow(160, 5)}}, want: Merged{SilentUntil: Lifetime}},
		{name: "slow, one source", claims: []claimed{{1, 0, slow(900, 255)}}},
		{name: "slow, a lying source and an honest one", claims: []claimed{{1, 0, slow(2550, 255)}, {2, 0, slow(160, 2)}}, want: Merged{Latency: 160, LatencyUntil: Lifetime}},
		{name: "slow, a lying source and two honest ones", claims: []claimed{{1, 0, slow(2550, 255)}, {2, 0, slow(160, 2)}, {3, 0, slow(200, 3)}}, want: Merged{Latency: 200, LatencyUntil: Lifetime}},
		{name: "slow, weighted by answers", claims: []claimed{{1, 0, slow(160, 1)}, {2, 0, slow(200, 1)}, {3, 0, slow(400, 20)}, {4, 0, slow(420, 20)}}, want: Merged{Latency: 400, LatencyUntil: Lifetime}},
		{name: "no answers, no latency", claims: []claimed{{1, 0, slow(400, 0)}, {2, 0, slow(400, 0)}}},
	} {
		m := NewMerger()
		sequences := map[int]uint32{}
		from := addresses(10)
		for _, d := range c.claims {
			sequences[d.source]++
			must.True(t, m.Add(d.at, from[d.source], &Report{Sequence: sequences[d.source], Entries: []Entry{d.entry}}), must.Sprint(c.name))
		}
		got := m.Merge(c.now, token, run, c.ownSilent)
		got.Sources = 0
		must.Eq(t, c.want, got, must.Sprint(c.name))
	}
}

// Guards against a report that overtakes a newer one of its source, duplicates that prolong a
// report, and a source that is ignored after its restart.
func TestOrderOfReports(t *testing.T) {
	from := addresses(1)[0]
	m := NewMerger()
	for _, c := range []struct {
		at       time.Duration
		sequence uint32
		want     bool
	}{
		{0, 0xfffffffe, true},
		{1, 0xfffffffe, false}, // duplicate
		{2, 0, true},           // wraps around; 0xffffffff went to others
		{3, 0xffffffff, false}, // overtaken
		{4, 0xfffffff1, false},
		{5, 0x80000000, true}, // restarted
		{6, 0x7ffffff0, false},
		{7, 0x7fffffef, true}, // restarted
		{Lifetime + 7, 0x7fffffef, true},
	} {
		must.Eq(t, c.want, m.Add(c.at, from, &Report{Sequence: c.sequence}), must.Sprint(c.at))
	}

	// A duplicate doesn't prolong.
	m = NewMerger()
	m.Add(0, from, &Report{Sequence: 1, Entries: []Entry{silent()}})
	m.Add(Lifetime-1, from, &Report{Sequence: 1, Entries: []Entry{silent()}})
	must.Eq(t, Merged{}, m.Merge(Lifetime, token, run, true))
}

// Guards against unbounded memory under many or wrong sources, and against reports that remain
// after they expired.
func TestBounds(t *testing.T) {
	m := NewMerger()
	for n, from := range addresses(2 * maxSources) {
		r := &Report{}
		for k := range uint32(MaxEntries + 1) {
			r.Entries = append(r.Entries, Entry{Token: uint32(n)<<8 | k, Incarnation: run, Silence: time.Second}, silent())
		}
		must.Eq(t, n < maxSources, m.Add(0, from, r))
	}
	sources, targets := m.Size()
	must.Eq(t, maxSources, sources)
	must.Eq(t, maxTargets, targets)
	must.Len(t, maxSourcesPerTarget, m.targets[token])
	m.Expire(Lifetime)
	sources, targets = m.Size()
	must.Eq(t, []int{0, 0}, []int{sources, targets})
}

// Load pattern: a data centre of 25 or 137 instances, in which some observe a silent target and one
// lies about another. Guards against reports that do not reach the instances, and against an
// effect of the liar. The bound of the reach at 137 with 20 observers follows from the choice of
// receivers: in ten rounds one observer reaches an instance with 26 %, two of 20 with 97 %.
func TestSpread(t *testing.T) {
	for _, c := range []struct {
		instances, observers, atLeast int
	}{{25, 6, 24}, {137, 20, 130}, {137, 1, 0}} {
		t.Run(fmt.Sprintf("%d of %d", c.observers, c.instances), func(t *testing.T) {
			all, random := addresses(c.instances), newRandom(1)
			mergers := map[netip.Addr]*Merger{}
			for _, a := range all {
				mergers[a] = NewMerger()
			}
			const rounds, interval = 10, 300 * time.Millisecond
			var now time.Duration
			datagrams := 0
			for round := range uint32(rounds) {
				now = time.Duration(round) * interval
				for n := range c.observers + 1 {
					e := silent()
					if n == c.observers {
						e.Token = token + 1 // the liar
					}
					for _, to := range ChooseReceivers(slices.Concat(all[:n], all[n+1:]), random) {
						must.True(t, mergers[to].Add(now, all[n], &Report{Sequence: round, Entries: []Entry{e}}))
						datagrams++
					}
				}
			}
			reached := 0
			for n, a := range all {
				m := mergers[a]
				if m.Merge(now, token, run, n < c.observers).SilentUntil > 0 {
					reached++
				}
				must.Eq(t, 0, m.Merge(now, token+1, run, false).SilentUntil)
			}
			t.Logf("%d of %d instances reached with %d datagrams", reached, c.instances, datagrams)
			must.GreaterEq(t, c.atLeast, reached)
			if c.observers == 1 {
				must.Eq(t, 0, reached, must.Sprint("instances that avoid a target that one instance observes"))
			}
		})
	}
}

func BenchmarkDecodeAddMerge(b *testing.B) {
	data := mustEncode(b, fullReport())
	m, all := NewMerger(), addresses(137)
	for n := range b.N {
		r, err := Decode(data)
		must.NoError(b, err)
		r.Sequence = uint32(n)
		m.Add(time.Duration(n), all[n%len(all)], &r)
		for _, e := range r.Entries {
			m.Merge(time.Duration(n), e.Token, e.Incarnation, false)
		}
	}
}

func BenchmarkSelectEncode(b *testing.B) {
	observed, random := make([]Entry, 300), newRandom(1)
	for range b.N {
		for n := range observed {
			observed[n] = Entry{Token: uint32(n), Latency: 160 + n, Answers: 9}
		}
		r := Report{Entries: Select(observed, random)}
		mustEncode(b, &r)
	}
}
