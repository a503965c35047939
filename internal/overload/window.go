package overload

import "time"

const (
	bucketWidth = 100 * time.Millisecond
	buckets     = 12
)

// window counts events of the last second in buckets.
type window struct {
	counts [buckets]uint32
	// last is the number of the newest bucket since time 0.
	last int64
}

func (w *window) advance(now time.Duration) {
	at := int64(now / bucketWidth)
	if at-w.last >= buckets {
		w.counts, w.last = [buckets]uint32{}, at
		return
	}
	for w.last < at {
		w.last++
		w.counts[w.last%buckets] = 0
	}
}

func (w *window) add(now time.Duration) { w.addN(now, 1) }

func (w *window) addN(now time.Duration, n uint32) {
	w.advance(now)
	w.counts[w.last%buckets] += n
}

// sum returns the events in the newest n buckets. The newest one is incomplete: n buckets
// cover between n-1 and n bucket widths.
func (w *window) sum(now time.Duration, n int64) int {
	w.advance(now)
	total := uint32(0)
	for i := max(w.last-n+1, 0); i <= w.last; i++ {
		total += w.counts[i%buckets]
	}
	return int(total)
}
