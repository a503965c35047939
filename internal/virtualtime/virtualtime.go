// Package virtualtime is for tests that simulate loads: a clock that runs scheduled steps, and a
// server with slots and a queue. It uses no real time.
package virtualtime

import (
	"container/heap"
	"time"
)

type step struct {
	at  time.Duration
	seq uint64
	do  func()
}

type steps []step

func (s steps) Len() int { return len(s) }
func (s steps) Less(i, j int) bool {
	return s[i].at < s[j].at || s[i].at == s[j].at && s[i].seq < s[j].seq
}
func (s steps) Swap(i, j int) { s[i], s[j] = s[j], s[i] }
func (s *steps) Push(e any)   { *s = append(*s, e.(step)) }
func (s *steps) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return last
}

// Clock runs steps in the order of their times, and those of one time in the order in which they
// were scheduled. The zero value is ready for use at time 0.
type Clock struct {
	now   time.Duration
	seq   uint64
	steps steps
}

// Now returns the time of the latest step.
func (c *Clock) Now() time.Duration { return c.now }

// After schedules a step.
func (c *Clock) After(d time.Duration, do func()) {
	c.seq++
	heap.Push(&c.steps, step{c.now + d, c.seq, do})
}

// Step runs the next step and reports whether there was one.
func (c *Clock) Step() bool {
	if len(c.steps) == 0 {
		return false
	}
	s := heap.Pop(&c.steps).(step)
	c.now = s.at
	s.do()
	return true
}

// Run runs all steps.
func (c *Clock) Run() {
	for c.Step() {
	}
}

// RunUntil runs the steps before a time.
func (c *Clock) RunUntil(end time.Duration) {
	for len(c.steps) > 0 && c.steps[0].at < end {
		c.Step()
	}
}

// Server runs requests in its slots and queues some more.
type Server struct {
	Slots, Queue int
	running      int
	waiting      []func()
}

// Requests returns the requests that run or wait.
func (s *Server) Requests() int { return s.running + len(s.waiting) }

// Serve runs a request as soon as a slot is free and calls done at its end. work returns its
// processing time and is called when it starts. Serve returns false if the queue is full.
func (s *Server) Serve(c *Clock, work func() time.Duration, done func()) bool {
	run := func() {
		s.running++
		c.After(work(), func() {
			s.running--
			done()
			if len(s.waiting) > 0 {
				next := s.waiting[0]
				s.waiting = s.waiting[1:]
				next()
			}
		})
	}
	switch {
	case s.running < s.Slots:
		run()
	case len(s.waiting) < s.Queue:
		s.waiting = append(s.waiting, run)
	default:
		return false
	}
	return true
}
