// Package eventlog writes structured log lines without ever blocking the caller.
//
// Records are queued and written a few times a second. Each class of records has a
// limit of lines a second; what exceeds it, or does not fit into the queue, is
// counted, and the counts are logged.
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
	// queueLimit bounds the records that wait to be written.
	queueLimit = 4096
	// writeLimitBytes is the most bytes of whole lines in one write: what a pipe takes in
	// one piece (PIPE_BUF). Readers that take 8 KB of a write lose the rest of a larger one.
	writeLimitBytes = 4096
	// flushInterval is how often the queue is written. Every wake-up costs processor
	// time; a process that is killed loses the lines of this time.
	flushInterval = 250 * time.Millisecond
	// limitWindow is the time over which lines are counted against the limits.
	limitWindow = time.Second
)

// Class is a kind of records with a limit of its own.
type Class struct {
	Name string
	// Limit is the largest number of lines a second.
	Limit int
}

// Record is a frequent line. It is encoded when it is written, without the maps
// and the reflection of a logger.
type Record interface {
	// Encode adds the message and the fields.
	Encode(line *Line)
}

// event is a rare line with any fields, which the logger's formatter encodes.
type event struct {
	message string
	fields  logrus.Fields
}

// queueItem is a record, or an event if there is no record.
type queueItem struct {
	at     time.Time
	class  string
	record Record
	event  event
}

// Log queues and writes records. It is safe for concurrent use.
type Log struct {
	logger   *logrus.Logger
	instance string
	buffer   []byte // of Flush
	flushMu  sync.Mutex

	mu          sync.Mutex // guards all below; taken alone
	queue       []queueItem
	windowStart time.Time
	written     map[string]int // by class, in the present window
	omitted     map[string]int // by class, since the last flush
}

// New returns a log that writes through the logger's formatter to its output. Every
// line names the instance.
func New(logger *logrus.Logger, instance string) *Log {
	return &Log{logger: logger, instance: instance, written: map[string]int{}, omitted: map[string]int{}}
}

// Add queues a record unless its class is over its limit.
func (l *Log) Add(c *Class, r Record) { l.add(c, queueItem{record: r}) }

// Event queues a message with fields.
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

// Run writes the queue until ctx ends, then writes the rest.
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

// Flush writes all queued records, in pieces of whole lines.
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
		_, _ = l.logger.Out.Write(rest[:n]) // there is nowhere else to report it
		rest = rest[n:]
	}
}

func (l *Log) encode(q queueItem) {
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
		b = []byte(`{"msg":"log line can't be formatted"}` + "\n")
	}
	l.buffer = append(l.buffer, b...)
}

// chunkSize returns how many bytes of whole lines to write in one call.
func chunkSize(b []byte) int {
	if len(b) <= writeLimitBytes {
		return len(b)
	}
	if n := bytes.LastIndexByte(b[:writeLimitBytes], '\n'); n >= 0 {
		return n + 1
	}
	return bytes.IndexByte(b, '\n') + 1 // one long line
}
