// Package eventlog writes structured log lines without ever blocking the caller.
//
// Records are queued and written a few times a second. Each class of records has a
// limit of lines a second; what exceeds it, or does not fit into the queue, is
// counted, and the counts are logged.
package eventlog

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"guavaloom.example/guavaloom/internal/logfield"
)

const (
	// queueLimit bounds the records that wait to be written.
	queueLimit = 4096
	// flushEvery is how often the queue is written. Every wake-up costs processor
	// time; a process that is killed loses the lines of this time.
	flushEvery = 250 * time.Millisecond
	// window is the time over which lines are counted against the limits.
	window = time.Second
)

// Class is a kind of records with a limit of its own.
type Class struct {
	Name string
	// Limit is the largest number of lines a second.
	Limit int
}

// Record is a line that is formatted when it is written.
type Record interface {
	// Line returns the message and the fields.
	Line() (message string, fields logrus.Fields)
}

// Event is a record whose fields are known already.
type Event struct {
	Message string
	Fields  logrus.Fields
}

// Line implements Record.
func (e Event) Line() (string, logrus.Fields) { return e.Message, e.Fields }

type queued struct {
	at     time.Time
	class  string
	record Record
}

// Log queues and writes records. It is safe for concurrent use.
type Log struct {
	out  *logrus.Logger
	base logrus.Fields

	mu      sync.Mutex // guards all below; taken alone
	queue   []queued
	since   time.Time
	written map[string]int // by class, in the present window
	omitted map[string]int // by class, since the last flush
}

// New returns a log that writes to out and adds the base fields to every line.
func New(out *logrus.Logger, base logrus.Fields) *Log {
	return &Log{out: out, base: base, written: map[string]int{}, omitted: map[string]int{}}
}

// Add queues a record unless its class is over its limit.
func (l *Log) Add(c *Class, r Record) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.since) >= window {
		l.since = now
		clear(l.written)
	}
	if l.written[c.Name] >= c.Limit || len(l.queue) >= queueLimit {
		l.omitted[c.Name]++
		return
	}
	l.written[c.Name]++
	l.queue = append(l.queue, queued{now, c.Name, r})
}

// Event queues a message with fields.
func (l *Log) Event(c *Class, message string, fields logrus.Fields) {
	l.Add(c, Event{message, fields})
}

// Run writes the queue until ctx ends, then writes the rest.
func (l *Log) Run(ctx context.Context) {
	t := time.NewTicker(flushEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			l.Flush()
			return
		case <-t.C:
			l.Flush()
		}
	}
}

// Flush writes all queued records.
func (l *Log) Flush() {
	l.mu.Lock()
	queue, omitted := l.queue, l.omitted
	l.queue, l.omitted = nil, map[string]int{}
	l.mu.Unlock()
	for _, q := range queue {
		message, fields := q.record.Line()
		l.write(q.at, q.class, message, fields)
	}
	for class, n := range omitted {
		l.write(time.Now(), class, "log lines omitted", logrus.Fields{logfield.Count: n})
	}
}

func (l *Log) write(at time.Time, class, message string, fields logrus.Fields) {
	all := make(logrus.Fields, len(fields)+len(l.base)+1)
	for k, v := range l.base {
		all[k] = v
	}
	for k, v := range fields {
		all[k] = v
	}
	all[logfield.Class] = class
	l.out.WithTime(at).WithFields(all).Info(message)
}
