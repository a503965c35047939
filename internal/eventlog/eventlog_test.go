package eventlog

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"guavaloom.example/guavaloom/internal/logfield"
)

type record struct{ text string }

func (r record) Encode(l *Line) {
	l.Message("frequent")
	l.Text("text", r.text)
	l.Millis("age", 1500*time.Millisecond)
}

func newLog(t *testing.T) (*Log, *bytes.Buffer) {
	t.Helper()
	var out bytes.Buffer
	logger, err := logfield.New(&out, "info", logfield.JSON)
	must.NoError(t, err)
	return New(logger, "one"), &out
}

func decoded(t *testing.T, out *bytes.Buffer) (lines []map[string]any) {
	t.Helper()
	for text := range strings.Lines(out.String()) {
		var m map[string]any
		must.NoError(t, json.Unmarshal([]byte(text), &m), must.Sprint(text))
		lines = append(lines, m)
	}
	return lines
}

// Guards against records and events that are written in different formats, and against
// field values that make a line invalid JSON.
func TestRecordsAndEventsHaveOneFormat(t *testing.T) {
	l, out := newLog(t)
	c := &Class{Name: "flow", Limit: 10}
	l.Event(c, "rare", logrus.Fields{"text": "a\"b\n"})
	l.Add(c, record{"a\"b\n\xff\\"})
	l.Flush()
	lines := decoded(t, out)
	must.Len(t, 2, lines)
	for _, m := range lines {
		must.Eq(t, "one", m[logfield.Instance].(string))
		must.Eq(t, "flow", m[logfield.Class].(string))
		must.Eq(t, "info", m["level"].(string))
		_, err := time.Parse(logfield.TimeFormat, m["time"].(string))
		must.NoError(t, err)
	}
	must.Eq(t, "a?b???", lines[1]["text"].(string))
	must.Eq(t, 1500, lines[1]["age"].(float64))
}

// Guards against a flood of one class that slows the process down, displaces the lines
// of another class, or is dropped without being counted.
func TestVolumeIsBounded(t *testing.T) {
	l, out := newLog(t)
	noisy, rare := &Class{Name: "noisy", Limit: 5}, &Class{Name: "rare", Limit: 5}
	l.windowStart = time.Now().Add(time.Hour) // keeps the test within one window
	for range 100 {
		l.Add(noisy, record{"x"})
	}
	l.Event(rare, "told", nil)
	l.Flush()
	lines := decoded(t, out)
	must.Len(t, 7, lines)
	must.Eq(t, "told", lines[5]["msg"].(string))
	must.Eq(t, "log lines omitted", lines[6]["msg"].(string))
	must.Eq(t, 95, lines[6][logfield.Count].(float64))
}

// Guards against a queue that grows without bound while nothing is flushed.
func TestQueueIsBounded(t *testing.T) {
	l, _ := newLog(t)
	c := &Class{Name: "c", Limit: 1 << 30}
	for range queueLimit + 10 {
		l.Add(c, record{"x"})
	}
	must.Len(t, queueLimit, l.queue)
	must.Eq(t, 10, l.omitted["c"])
}

// writes is an io.Writer that records each call.
type writes [][]byte

func (w *writes) Write(b []byte) (int, error) {
	*w = append(*w, bytes.Clone(b))
	return len(b), nil
}

// Load pattern: a burst of 300 lines between two flushes. Guards against lines that
// the reader of a pipe loses or truncates because a write is larger than its buffer.
func TestBurstIsWrittenInChunks(t *testing.T) {
	var out writes
	logger, err := logfield.New(&out, "info", logfield.JSON)
	must.NoError(t, err)
	l := New(logger, "one")
	class := &Class{Name: "c", Limit: 1000}
	long := strings.Repeat("x", 2*writeLimitBytes)
	for n := range 300 {
		l.Add(class, record{strings.Repeat("y", n)})
	}
	l.Add(class, record{long})
	l.Add(class, record{"last"})
	l.Flush()
	all := &bytes.Buffer{}
	for _, w := range out {
		must.EqOp(t, byte('\n'), w[len(w)-1])
		must.True(t, len(w) <= writeLimitBytes || bytes.Count(w, []byte("\n")) == 1, must.Sprintf("%d bytes", len(w)))
		all.Write(w)
	}
	lines := decoded(t, all)
	must.Len(t, 302, lines)
	must.Eq(t, any(long), lines[300]["text"])
}

// panickingRecord panics in the midst of its line.
type panickingRecord struct{}

func (panickingRecord) Encode(l *Line) {
	l.Message("half")
	panic("record")
}

// Guards against a record that ends the process, or the lines of others, when it can't be encoded.
func TestRecordThatPanics(t *testing.T) {
	var out bytes.Buffer
	logger, err := logfield.New(&out, "info", logfield.JSON)
	must.NoError(t, err)
	l := New(logger, "i")
	class := &Class{Name: "c", Limit: 10}
	l.Event(class, "before", nil)
	l.Add(class, panickingRecord{})
	l.Event(class, "after", nil)
	l.Flush()
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	must.Len(t, 3, lines)
	must.StrContains(t, lines[0], "before")
	must.Eq(t, strings.TrimSpace(unformattedLine), lines[1])
	must.StrContains(t, lines[2], "after")
}
