package admission

import (
	"fmt"
	"math/rand"
	"runtime"
	"testing"
	"time"

	"guavaloom.example/guavaloom/internal/instance"
	"guavaloom.example/guavaloom/internal/service"
)

// BenchmarkAdmitted measures Submit and Done of one request on a Gate without load.
func BenchmarkAdmitted(b *testing.B) {
	for _, targets := range []int{3, 14, 100} {
		b.Run(fmt.Sprintf("targets=%d", targets), func(b *testing.B) {
			g := New(Config{}, rand.New(rand.NewSource(1)))
			g.SetTargets(0, testTargets(targets, 3))
			now := time.Duration(0)
			b.ReportAllocs()
			for i := uint64(1); b.Loop(); i++ {
				now += time.Millisecond
				g.Submit(now, Request{Ticket: i, Class: service.Normal, Deadline: now + time.Second})
				g.Done(now+time.Millisecond, i, Served)
			}
		})
	}
}

// BenchmarkGates measures, per service, the heap that a Gate uses and the time to
// create it and to assign its slots, as after a change of the set of instances.
func BenchmarkGates(b *testing.B) {
	for _, services := range []int{331, 1325, 5300} {
		b.Run(fmt.Sprintf("services=%d", services), func(b *testing.B) {
			var members []instance.ID
			for i := range 137 {
				members = append(members, instance.ID(fmt.Sprint("i", i)))
			}
			var before, after runtime.MemStats
			for b.Loop() {
				runtime.GC()
				runtime.ReadMemStats(&before)
				gates := make([]*Gate, services)
				for i := range gates {
					gates[i] = New(Config{}, rand.New(rand.NewSource(1)))
					gates[i].SetTargets(0, Assign(service.ID(fmt.Sprint("s", i)), members, members[0], testTargets(2+i%2, 3)))
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
				runtime.KeepAlive(gates)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(services), "B/service")
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N*services), "us/service")
		})
	}
}
