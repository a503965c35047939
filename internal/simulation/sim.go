package simulation

import (
	"container/heap"
	"math/rand"
	"time"
)

// event is a function that is due at a time; order breaks ties.
type event struct {
	at    time.Duration
	order int
	run   func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// sim is a virtual clock with a queue of events.
type sim struct {
	rng   *rand.Rand
	now   time.Duration
	queue eventQueue
	order int
}

func newSim(seed int64) sim { return sim{rng: rand.New(rand.NewSource(seed))} }

// after runs f once d has passed.
func (s *sim) after(d time.Duration, f func()) {
	s.order++
	heap.Push(&s.queue, event{s.now + d, s.order, f})
}

// runUntil handles all events up to a time.
func (s *sim) runUntil(end time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at <= end {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.run()
	}
	s.now = end
}

// between returns a random duration in [low, high).
func (s *sim) between(low, high time.Duration) time.Duration {
	return low + time.Duration(s.rng.Int63n(int64(high-low)))
}
