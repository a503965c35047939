package eventlog

import (
	"strconv"
	"time"

	"guavaloom.example/guavaloom/internal/logfield"
)

// Line is a JSON line under construction, in the form of logrus's JSON formatter.
type Line struct{ b []byte }

func newLine(b []byte, at time.Time, class, instance string) *Line {
	b = append(b, `{"time":"`...)
	b = at.AppendFormat(b, logfield.TimeFormat)
	b = append(b, `","level":"info"`...)
	l := &Line{b}
	l.Text(logfield.Class, class)
	l.Text(logfield.Instance, instance)
	return l
}

func (l *Line) key(name string) {
	l.b = append(l.b, ',', '"')
	l.b = append(l.b, name...)
	l.b = append(l.b, '"', ':')
}

// Message adds the message.
func (l *Line) Message(text string) { l.Text("msg", text) }

// Text adds a string field. Quotes, backslashes, control characters and non-ASCII bytes
// are replaced by '?', since the value may come from untrusted input.
func (l *Line) Text(name, value string) {
	l.key(name)
	l.b = append(l.b, '"')
	for i := range len(value) {
		c := value[i]
		if c < ' ' || c > '~' || c == '"' || c == '\\' {
			c = '?'
		}
		l.b = append(l.b, c)
	}
	l.b = append(l.b, '"')
}

// Number adds an integer field.
func (l *Line) Number(name string, value int64) {
	l.key(name)
	l.b = strconv.AppendInt(l.b, value, 10)
}

// Millis adds a field with a duration in whole milliseconds.
func (l *Line) Millis(name string, d time.Duration) { l.Number(name, d.Milliseconds()) }

func (l *Line) end() []byte { return append(l.b, '}', '\n') }
