package idempotency

import (
	"fmt"
	"runtime"
	"testing"

	"guavaloom.example/guavaloom/internal/instance"
	"guavaloom.example/guavaloom/internal/zone"
)

// BenchmarkRecords reports the heap and the time per record with an answer of 200 bytes.
func BenchmarkRecords(b *testing.B) {
	self := instance.Ref{ID: "i1", Incarnation: 1, Zone: "z"}
	for _, n := range []int{1_000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("records=%d", n), func(b *testing.B) {
			for b.Loop() {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				h := New(self, Limits{TotalBytes: 64 << 20})
				h.Install(0, &zone.Table{Zone: "z", Roster: []instance.Ref{self}, Homes: []zone.HomeSet{{Number: 1, Members: []instance.Ref{self}}}})
				for i := range n {
					k := Key{Service: "booking", Value: fmt.Sprintf("6ba7b810-9dad-11d1-80b4-%012d", i)}
					h.Begin(0, k, Fingerprint{}, true)
					h.ConfirmSend(0, k, true)
					h.Answered(k, &Answer{Status: 201, Body: make([]byte, 200)})
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
				runtime.KeepAlive(h)
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "B/record")
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*n), "ns/record")
		})
	}
}
