package steering

import (
	"fmt"
	"net/netip"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"guavaloom.example/guavaloom/internal/flow"
	"guavaloom.example/guavaloom/internal/service"
	"guavaloom.example/guavaloom/internal/zone"
)

// BenchmarkHashAndTable is the lower bound for a decision on a settled slot: one
// hash of the key and one read of a slot map.
func BenchmarkHashAndTable(b *testing.B) {
	l := newTestCluster(b, 1, 3, 18)
	keys, base := benchKeys(), l.nodes[0].st.View().services[0].base
	var sum int
	for i := 0; b.Loop(); i++ {
		sum += int(base[keys[i%len(keys)].Hash()%uint64(len(base))])
	}
	runtime.KeepAlive(sum)
}

func benchKeys() []flow.Key {
	keys := make([]flow.Key, 1024)
	for i := range keys {
		keys[i] = flow.Key{Src: netip.AddrFrom4([4]byte{192, 168, byte(i >> 8), byte(i)}), SrcPort: uint16(i),
			Dst: netip.MustParseAddr("10.0.0.1"), DstPort: 443, Protocol: 6}
	}
	return keys
}

func BenchmarkSettledView(b *testing.B) {
	l := newTestCluster(b, 1, 3, 18)
	keys, v := benchKeys(), l.nodes[0].st.View()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if _, _, ok := v.SettledTarget(keys[i%len(keys)]); !ok {
			b.Fatal("not settled")
		}
	}
}

func BenchmarkSettledPacket(b *testing.B) {
	l := newTestCluster(b, 1, 3, 18)
	keys, st := benchKeys(), l.nodes[0].st
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if d := st.Packet(l.now, Packet{Key: keys[i%len(keys)]}); d.Action != Forward {
			b.Fatal(d)
		}
	}
}

// newTouchedCluster returns a cluster of one steerer with all slots touched.
func newTouchedCluster(b testing.TB) *testCluster {
	l := newTestCluster(b, 1, 1, 18)
	l.stepAll(func(t *zone.Table) {
		s := &t.Services[0]
		s.Touched = s.Touched.Clone()
		for i := range s.Slots {
			s.Touched.Set(i)
		}
	})
	return l
}

func BenchmarkPinnedPacket(b *testing.B) {
	l := newTouchedCluster(b)
	keys, st := benchKeys(), l.nodes[0].st
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if d := st.Packet(l.now, Packet{Key: keys[i%len(keys)]}); d.Action != Forward {
			b.Fatal(d)
		}
	}
}

// Guards against an allocation in the decision on a settled or pinned packet.
func TestDecisionsDoNotAllocate(t *testing.T) {
	settled, pinned, keys := newTestCluster(t, 1, 3, 18), newTouchedCluster(t), benchKeys()
	for name, l := range map[string]*testCluster{"settled": settled, "pinned": pinned} {
		st := l.nodes[0].st
		st.Packet(l.now, Packet{Key: keys[0]})
		allocs := testing.AllocsPerRun(1000, func() { st.Packet(l.now, Packet{Key: keys[0]}) })
		must.Zero(t, allocs, must.Sprint(name))
	}
}

// pinBytes returns the heap bytes per pin of a shard with n pins.
func pinBytes(n int) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	t := newPinTable(n)
	for i := range n {
		k := pinKey{service: 1, port: uint16(i)}
		k.src[0], k.src[1], k.src[2] = byte(i>>16), byte(i>>24), byte(i>>8)
		t.add(k)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(t)
	return float64(after.HeapAlloc-before.HeapAlloc) / float64(n)
}

// Guards against a pin that takes more memory than the bound of 64 bytes.
func TestPinMemory(t *testing.T) {
	for _, n := range []int{50_000, 66_000, 100_000, 300_000} {
		bytes := pinBytes(n)
		t.Logf("%d pins: %.1f bytes each", n, bytes)
		must.LessEq(t, 64, bytes)
	}
}

// Guards against views that copy unchanged slot maps: a version that changes no
// service must reuse the maps of the previous view.
func TestViewMemory(t *testing.T) {
	table := bigTable()
	v := NewView(table, nil)
	for i := range 5 {
		next := *table
		next.Version.Seq += uint64(i + 1)
		w := NewView(&next, v)
		for j, s := range w.services {
			must.True(t, &s.base[0] == &v.services[j].base[0] && &s.current[0] == &s.base[0] && &s.next[0] == &s.base[0])
		}
		v = w
	}
}

// bigTable returns a table with 331 services and 812 targets, the target zone size.
func bigTable() *zone.Table {
	base := newTestCluster(&testing.T{}, 1, 1, 1).table.Services[0]
	t := &zone.Table{Version: zone.Version{Term: 1, Seq: 1}}
	for i := range 331 {
		s := base
		s.Service.ID = service.ID(fmt.Sprintf("s%03d", i))
		s.Service.Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 443)
		for j := 1; j < 2+(i+1)%2; j++ {
			s.Targets = append(s.Targets, s.Targets[0])
		}
		t.Services = append(t.Services, s)
	}
	return t
}

// Guards against a data race between packets, installs, ticks and reports
// (meaningful with -race).
func TestConcurrentUse(t *testing.T) {
	l := newTestCluster(t, 16, 3, 5)
	l.replace(generation(2, 5, 0))
	st, table := l.nodes[0].st, *l.table
	keys := benchKeys()
	var wg sync.WaitGroup
	for w := range 4 {
		wg.Go(func() {
			for i, k := range keys {
				now := l.now + time.Duration(i)*time.Millisecond
				d := st.Packet(now, Packet{Key: k, First: w%2 == 0})
				if d.Action == Relay {
					st.Relayed(now, d.Header, Packet{Key: k})
				}
			}
		})
	}
	for i := range 50 {
		next := table
		next.Version.Seq += uint64(i + 1)
		st.Install(l.now, &next)
		st.SetSuspects(next.Roster[i%2 : i%2+1])
		st.Tick(l.now)
		st.Report(l.now)
		st.Explain(l.now, Packet{Key: keys[i]})
	}
	wg.Wait()
}
