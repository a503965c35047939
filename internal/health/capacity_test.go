package health

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkProbing measures the probes per second of an instance, the bytes of
// reports that the leader receives per second, and the time to compute a probe plan
// and to merge all verdicts on the leader.
func BenchmarkProbing(b *testing.B) {
	for _, size := range []struct{ instances, targets int }{{7, 18}, {7, 812}, {35, 812}, {137, 812}} {
		f := newFixture(size.instances, size.targets)
		const span = 30 * time.Second
		probes, most, bytes := 0, 0, 0
		f.run(10 * time.Second)
		for end := f.now + span; f.now < end; f.now += ProbeInterval {
			for _, r := range f.roster {
				due := f.probers[r.ID].Due(f.now)
				for _, k := range due {
					f.probers[r.ID].RecordProbe(k, true, -1)
				}
				report := f.probers[r.ID].Report(f.now)
				f.Observe(f.now, r, report)
				raw, err := report.Encode()
				if err != nil {
					b.Fatal(err)
				}
				probes, most = probes+len(due), max(most, len(due))
				if len(report.Observations) > 0 {
					bytes += len(raw)
				}
			}
		}
		d := f.Desired(f.now)
		name := fmt.Sprintf("instances=%d/targets=%d", size.instances, size.targets)
		b.Run("plan/"+name, func(b *testing.B) {
			for b.Loop() {
				f.probers[f.roster[0].ID].Plan(f.roster, d.Services)
			}
			b.ReportMetric(float64(probes)/span.Seconds()/float64(size.instances), "mean-probes/s")
			b.ReportMetric(float64(most), "most-probes/s")
			b.ReportMetric(float64(bytes)/span.Seconds(), "leader-report-B/s")
		})
		b.Run("merge/"+name, func(b *testing.B) {
			for b.Loop() {
				f.Desired(f.now)
			}
		})
	}
}
