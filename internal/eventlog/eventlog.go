// Package eventlog writes structured log lines without blocking the caller on output.
//
// Lines are queued and written a few times a second. Each class of lines has a limit
// per second. Lines above the limit, or beyond the size of the queue, are dropped,
// and the number of dropped lines is logged.
package eventlog

import (
	"bytes"
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"guavaloom.example/guavaloom/internal/logfield"
)

const (
	// queueLimit is the largest number of queued lines.
	queueLimit = 4096
	// writeLimitBytes bounds a write of several lines to the size that a pipe takes
	// atomically (PIPE_BUF). Readers that take 8 KB of a write lose the rest of a larger one.
	writeLimitBytes = 4096
	// flushInterval is the time between writes of the queue. A shorter interval costs
	// processor time for each wake-up; a killed process loses the lines of one interval.
	flushInterval = 250 * time.Millisecond
	// limitWindow is the period in which lines are counted against the class limits.
	limitWindow = time.Second
)

// Class is a group of log lines with its own rate limit.
type Class struct {
	Name string
	// Limit is the largest number of lines per second.
	Limit int
}

// Record is a line that is logged often. It is encoded when it is written, without
// the maps and the reflection that a logger needs.
type Record interface {
	// Encode adds the message and the fields to the line.
	Encode(line *Line)
}

// event is a line that is logged rarely; the logger's formatter encodes its fields.
type event struct {
	message string
	fields  logrus.Fields
}

// queueItem is a queued line: a record, or an event if record is nil.
type queueItem struct {
	at     time.Time
	class  string
	record Record
	event  event
}

// Log queues and writes lines. It is safe for concurrent use.
type Log struct {
	logger   *logrus.Logger
	instance string
	buffer   []byte // reused by Flush
	flushMu  sync.Mutex

	mu          sync.Mutex // guards all fields below; no other lock is acquired while it is held
	queue       []queueItem
	windowStart time.Time
	written     map[string]int // by class, in the current window
	omitted     map[string]int // by class, since the last flush
}

// New returns a log that writes to the logger's output and uses its formatter. Every
// line has the instance as a field.
func New(logger *logrus.Logger, instance string) *Log {
	return &Log{logger: logger, instance: instance, written: map[string]int{}, omitted: map[string]int{}}
}

// Add queues a record, or drops and counts it if its class has reached its limit or
// the queue is full.
func (l *Log) Add(c *Class, r Record) { l.add(c, queueItem{record: r}) }

// Event queues a message with fields, under the same limits as Add.
func (l *Log) Event(c *Class, message string, fields logrus.Fields) {
	l.add(c, queueItem{event: event{message, fields}})
}

func (l *Log) add(c *Class, q queueItem) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.windowStart) >= limitWindow {
		l.windowStart = now
		clear(l.written)
	}
	if l.written[c.Name] >= c.Limit || len(l.queue) >= queueLimit {
		l.omitted[c.Name]++
		return
	}
	l.written[c.Name]++
	q.at, q.class = now, c.Name
	l.queue = append(l.queue, q)
}

// Run flushes the queue periodically until ctx ends, then once more.
func (l *Log) Run(ctx context.Context) {
	t := time.NewTicker(flushInterval)
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

// Flush writes all queued lines, in chunks of whole lines.
func (l *Log) Flush() {
	l.flushMu.Lock()
	defer l.flushMu.Unlock()
	l.mu.Lock()
	queue, omitted := l.queue, l.omitted
	l.queue, l.omitted = nil, map[string]int{}
	l.mu.Unlock()
	l.buffer = l.buffer[:0]
	for _, q := range queue {
		l.encode(q)
	}
	for class, n := range omitted {
		omission := event{"log lines omitted", logrus.Fields{logfield.Count: n}}
		l.encode(queueItem{at: time.Now(), class: class, event: omission})
	}
	for rest := l.buffer; len(rest) > 0; {
		n := chunkSize(rest)
		_, _ = l.logger.Out.Write(rest[:n]) // a failure to write the log can't be logged
		rest = rest[n:]
	}
}

// encode appends the line of an item. A record that panics costs its own line only.
func (l *Log) encode(q queueItem) {
	defer func() {
		if recover() != nil {
			l.buffer = append(l.buffer, unformattedLine...)
		}
	}()
	if q.record != nil {
		line := newLine(l.buffer, q.at, q.class, l.instance)
		q.record.Encode(line)
		l.buffer = line.end()
		return
	}
	data := make(logrus.Fields, len(q.event.fields)+2)
	for k, v := range q.event.fields {
		data[k] = v
	}
	data[logfield.Class], data[logfield.Instance] = q.class, l.instance
	entry := &logrus.Entry{Logger: l.logger, Data: data, Time: q.at, Level: logrus.InfoLevel, Message: q.event.message}
	b, err := l.logger.Formatter.Format(entry)
	if err != nil {
		b = []byte(unformattedLine)
	}
	l.buffer = append(l.buffer, b...)
}

// unformattedLine takes the place of a line that can't be encoded.
const unformattedLine = `{"msg":"log line can't be formatted"}` + "\n"

// chunkSize returns the number of bytes of b, in whole lines, to write in one call.
func chunkSize(b []byte) int {
	if len(b) <= writeLimitBytes {
		return len(b)
	}
	if n := bytes.LastIndexByte(b[:writeLimitBytes], '\n'); n >= 0 {
		return n + 1
	}
	return bytes.IndexByte(b, '\n') + 1 // a single line above the limit
}
