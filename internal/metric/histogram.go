package metric

import (
	"bufio"
	"math"
	"slices"
	"strconv"
	"time"

	metrics "github.com/rcrowley/go-metrics"
)

// bucketBounds are the upper bounds of a histogram's buckets in milliseconds. They range
// from latencies within a data centre to the longest deadlines, in steps of a factor
// of 2 to 2.5, which bounds the error of a quantile.
var bucketBounds = []float64{1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10_000, 20_000}

// LatencyHistogram counts durations in buckets that are the same on all instances, so
// that the counts of several instances can be added up. It is safe for concurrent use.
type LatencyHistogram struct {
	counts []metrics.Counter // one for each bound and one for longer durations
	sum    metrics.Counter   // in microseconds
}

func newLatencyHistogram() *LatencyHistogram {
	h := &LatencyHistogram{sum: metrics.NewCounter()}
	for range len(bucketBounds) + 1 {
		h.counts = append(h.counts, metrics.NewCounter())
	}
	return h
}

// Observe adds one duration.
func (h *LatencyHistogram) Observe(d time.Duration) {
	at, _ := slices.BinarySearch(bucketBounds, float64(d)/float64(time.Millisecond))
	h.counts[at].Inc(1)
	h.sum.Inc(d.Microseconds())
}

// Count returns the number of observations.
func (h *LatencyHistogram) Count() int64 {
	var n int64
	for _, c := range h.counts {
		n += c.Count()
	}
	return n
}

// write writes the cumulative buckets, the sum in milliseconds, and the count.
func (h *LatencyHistogram) write(out *bufio.Writer, name, labels string) {
	prefix := labels
	if prefix != "" {
		prefix += ","
	}
	var cumulative int64
	for at, c := range h.counts {
		bound := math.Inf(1)
		if at < len(bucketBounds) {
			bound = bucketBounds[at]
		}
		cumulative += c.Count()
		writeValue(out, name+"_bucket", prefix+`le="`+strconv.FormatFloat(bound, 'g', -1, 64)+`"`, float64(cumulative))
	}
	writeValue(out, name+"_sum", labels, float64(h.sum.Count())/1000)
	writeValue(out, name+"_count", labels, float64(cumulative))
}
