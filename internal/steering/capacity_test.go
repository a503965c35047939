package steering

import (
	"fmt"
	"net/netip"
	"runtime"
	"testing"

	"guavaloom.example/guavaloom/internal/flow"
	"guavaloom.example/guavaloom/internal/maglev"
	"guavaloom.example/guavaloom/internal/service"
	"guavaloom.example/guavaloom/internal/target"
	"guavaloom.example/guavaloom/internal/zone"
)

// zoneTable returns a table with the given number of services, three members and 2.45
// targets per service, the mean of the target zone size.
func zoneTable(b testing.TB, services int) *zone.Table {
	t := *newTestCluster(b, 1, 3, 1).table
	s := t.Services[0]
	t.Services = nil
	for i := range services {
		n := 2 + (i*45/100-(i-1)*45/100+1)%2
		s.Service.ID = service.ID(fmt.Sprintf("service-%04d", i))
		s.Service.Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 443)
		s.Targets = nil
		for j := range n {
			s.Targets = append(s.Targets, zone.TargetEntry{State: target.Active, Target: target.Target{ID: target.ID(fmt.Sprintf("t-%04d-%d", i, j)),
				Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(1 + j), byte(i >> 8), byte(i)}), 80)}})
		}
		s.Slots = maglev.Size(n)
		s.Base, s.Touched = generation(1, n), zone.NewBitmap(s.Slots)
		s.Current = s.Base
		t.Services = append(t.Services, s)
	}
	return &t
}

func heap() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// BenchmarkInstall measures building the view of a table with a change of one service
// or of the home set. It reports the heap that a view adds to its table.
func BenchmarkInstall(b *testing.B) {
	for _, services := range []int{331, 1325, 5300} {
		t := zoneTable(b, services)
		before := heap()
		v := NewView(t, nil)
		memory := heap() - before
		runtime.KeepAlive(v)
		for name, step := range map[string]func(*zone.Table){
			"service": func(t *zone.Table) { prepare(generation(2, len(t.Services[0].Targets), 0))(t) },
			"homes":   func(t *zone.Table) { newHomeSet(t.Roster[1:]...)(t) },
		} {
			b.Run(fmt.Sprintf("services=%d/%s", services, name), func(b *testing.B) {
				l := &testCluster{table: t}
				l.step(step)
				b.ReportAllocs()
				for b.Loop() {
					NewView(l.table, v)
				}
				b.ReportMetric(memory/float64(services), "view-B/service")
			})
		}
	}
}

// clusterWithPins returns a cluster of one steerer, with all slots touched, that holds
// the given number of pins.
func clusterWithPins(b *testing.B, pins int) *testCluster {
	l := newTouchedCluster(b)
	n := l.nodes[0]
	n.st = New(Config{Shards: 2, PinLimit: 2 * pins, TransferBytes: 4000}, n.ref)
	n.st.SetLease(1 << 62)
	n.st.Install(l.now, l.table)
	for i := range pins {
		k := flow.Key{Src: netip.AddrFrom4([4]byte{192, byte(i >> 24), byte(i >> 16), byte(i >> 8)}), SrcPort: uint16(i),
			Dst: netip.MustParseAddr("10.0.0.1"), DstPort: 443, Protocol: 6}
		n.st.Packet(l.now, Packet{Key: k, First: true})
		n.st.Packet(l.now, Packet{Key: k})
	}
	if got := n.st.Stats().Pins; got != pins {
		b.Fatalf("steerer has %d pins, want %d", got, pins)
	}
	return l
}

// BenchmarkPins measures the operations that visit all pins.
func BenchmarkPins(b *testing.B) {
	for _, pins := range []int{1_000, 10_000, 100_000} {
		l := clusterWithPins(b, pins)
		st := l.nodes[0].st
		b.Run(fmt.Sprintf("report/pins=%d", pins), func(b *testing.B) {
			for b.Loop() {
				st.Report(l.now)
			}
		})
		b.Run(fmt.Sprintf("tick/pins=%d", pins), func(b *testing.B) {
			for b.Loop() {
				st.Tick(l.now)
			}
		})
	}
}

// BenchmarkHomeSetSize measures the decision on a packet of a touched slot, which
// ranks all members of the home set.
func BenchmarkHomeSetSize(b *testing.B) {
	for _, members := range []int{7, 35, 137} {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			l := newTestCluster(b, 1, members, 18)
			l.stepAll(func(t *zone.Table) {
				s := &t.Services[0]
				s.Touched = s.Touched.Clone()
				for i := range s.Slots {
					s.Touched.Set(i)
				}
			})
			keys, st := benchKeys(), l.nodes[0].st
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				st.Packet(l.now, Packet{Key: keys[i%len(keys)]})
			}
		})
	}
}
