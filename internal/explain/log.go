package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"guavaloom.example/guavaloom/internal/logfield"
)

const (
	// Lines on a flow's target and on the instances' views are related to the flow
	// from contextBefore its first line to contextAfter its last one.
	contextBefore = 10 * time.Second
	contextAfter  = 5 * time.Second
	// maxLineBytes is the longest log line in bytes.
	maxLineBytes = 1 << 20
)

// LogLine is one line of an instance's log.
type LogLine struct {
	Time     time.Time      `json:"time"`
	Instance string         `json:"instance"`
	Class    string         `json:"class"`
	Message  string         `json:"message"`
	Fields   map[string]any `json:"fields"`
}

// String returns the line with its fields in order.
func (l LogLine) String() string {
	var b strings.Builder
	_, _ = fmt.Fprintf(&b, "%s %s %s:", l.Time.Format("15:04:05.000"), l.Instance, l.Message)
	for _, k := range slices.Sorted(maps.Keys(l.Fields)) {
		_, _ = fmt.Fprintf(&b, " %s=%v", k, l.Fields[k])
	}
	return b.String()
}

func (l LogLine) text(field string) string {
	s, _ := l.Fields[field].(string) // names are strings
	return s
}

// ReadLog reads the log lines of one or more instances. Text before a line's JSON,
// such as a log collector's prefix, is skipped. Lines without valid JSON or without
// a time are skipped and counted as unreadable.
func ReadLog(r io.Reader) (lines []LogLine, unreadable int, err error) {
	in := bufio.NewScanner(r)
	in.Buffer(nil, maxLineBytes)
	for in.Scan() {
		l, ok := parseLine(in.Bytes())
		if !ok {
			unreadable++
			continue
		}
		lines = append(lines, l)
	}
	return lines, unreadable, in.Err()
}

func parseLine(b []byte) (l LogLine, ok bool) {
	at := bytes.IndexByte(b, '{')
	if at < 0 || json.Unmarshal(b[at:], &l.Fields) != nil {
		return l, false
	}
	takeText := func(key string) string {
		s := l.text(key)
		delete(l.Fields, key)
		return s
	}
	l.Instance, l.Class, l.Message = takeText(logfield.Instance), takeText(logfield.Class), takeText("msg")
	delete(l.Fields, "level")
	var err error
	l.Time, err = time.Parse(time.RFC3339Nano, takeText("time"))
	return l, err == nil
}

// ErrNoMatch means that no log line has the request's ID or the flow.
var ErrNoMatch = errors.New("no log line contains this request or flow")

// RelatedLines returns the log lines on a request's ID or on a flow
// ("CLIENT>SERVICE"), from all instances and in order of time: the lines of the
// flow, and those shortly before, during and after it that concern its targets or
// the view, start or stop of an instance that logged it.
func RelatedLines(lines []LogLine, id string) ([]LogLine, error) {
	flows, targets, instances := map[string]bool{}, map[string]bool{}, map[string]bool{}
	for _, l := range lines {
		if l.text(logfield.Request) == id || l.text(logfield.Flow) == id {
			flows[l.text(logfield.Flow)] = true
		}
	}
	if len(flows) == 0 || id == "" {
		return nil, ErrNoMatch
	}
	var from, to time.Time
	for _, l := range lines {
		if !flows[l.text(logfield.Flow)] {
			continue
		}
		targets[l.text(logfield.Target)] = true
		instances[l.Instance] = true
		if from.IsZero() || l.Time.Before(from) {
			from = l.Time
		}
		if l.Time.After(to) {
			to = l.Time
		}
	}
	delete(targets, "")
	var related []LogLine
	for _, l := range lines {
		if flows[l.text(logfield.Flow)] || withinContext(l, from, to) && (targets[l.text(logfield.Target)] && l.text(logfield.Flow) == "" || instances[l.Instance] && l.isInstanceEvent()) {
			related = append(related, l)
		}
	}
	slices.SortStableFunc(related, func(a, b LogLine) int { return a.Time.Compare(b.Time) })
	return related, nil
}

func withinContext(l LogLine, from, to time.Time) bool {
	return !l.Time.Before(from.Add(-contextBefore)) && !l.Time.After(to.Add(contextAfter))
}

// isInstanceEvent reports whether the line is about the instance's view, start or
// stop, and not about a single target.
func (l LogLine) isInstanceEvent() bool {
	return (l.Class == "view" || l.Class == "life") && l.text(logfield.Target) == ""
}
