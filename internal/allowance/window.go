package allowance

import (
	"slices"
	"time"
)

// Period is the length of the sliding window.
const Period = time.Second

// Window counts uses over a sliding second. The zero value allows nothing. It is not safe for
// concurrent use.
type Window struct {
	limit int
	// newest is a ring of the times of the newest uses, as many as the limit and at least one;
	// the oldest of them is at next. Those before the first use are unused.
	newest []time.Duration
	next   int
	count  int // times in the ring
	// dropped is the newest time that the ring no longer has, if forgot is set.
	dropped time.Duration
	forgot  bool
}

// SetLimit sets how many uses any sliding second may have, at most MaxShare. It allocates only
// if the limit changes.
func (w *Window) SetLimit(limit int) {
	limit = min(max(limit, 0), MaxShare)
	w.limit = limit
	size := max(limit, 1)
	if size == len(w.newest) {
		return
	}
	times := w.times()
	switch {
	case len(times) > size:
		w.drop(times[len(times)-size-1])
		times = times[len(times)-size:]
	case w.forgot:
		// Nobody knows how many of the dropped uses were in the last second, but none of them
		// is newer than the last one.
		times = slices.Concat(slices.Repeat([]time.Duration{w.dropped}, size-len(times)), times)
	}
	w.newest = make([]time.Duration, size)
	w.count = copy(w.newest, times)
	w.next = w.count % size
}

// times returns the times in the ring, oldest first.
func (w *Window) times() []time.Duration {
	if w.count < len(w.newest) {
		return slices.Clone(w.newest[:w.count])
	}
	return slices.Concat(w.newest[w.next:], w.newest[:w.next])
}

// Allows reports whether one more use keeps within the limit.
func (w *Window) Allows(now time.Duration) bool {
	switch {
	case w.limit == 0:
		return false
	case w.count < len(w.newest):
		return true
	}
	return now >= w.newest[w.next]+Period
}

// Use records a use, whether or not it is within the limit.
func (w *Window) Use(now time.Duration) {
	if len(w.newest) == 0 {
		return // no limit has been set
	}
	if w.count == len(w.newest) {
		w.drop(w.newest[w.next])
	}
	w.newest[w.next] = now
	w.next = (w.next + 1) % len(w.newest)
	w.count = min(w.count+1, len(w.newest))
}

// drop records that a time is no longer in the ring.
func (w *Window) drop(at time.Duration) { w.dropped, w.forgot = at, true }

// Limit returns how many uses a sliding second may have.
func (w *Window) Limit() int { return w.limit }

// Used returns how many of the uses that the window remembers were in the last second: all of
// them, or the limit and at least one if there were more.
func (w *Window) Used(now time.Duration) int {
	used := 0
	for _, at := range w.newest[:w.count] {
		if now < at+Period {
			used++
		}
	}
	return used
}
