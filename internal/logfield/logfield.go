package logfield

import (
	"io"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"
)

// Field names.
const (
	Address    = "address"
	Age        = "age_ms"
	Bundle     = "bundle"
	Busy       = "busy"
	Candidates = "candidates"
	// Late is the number of targets with late answers.
	Late      = "late"
	Change    = "change"
	Class     = "class"
	Config    = "config_version"
	ConfigAge = "config_age_ms"
	Count     = "count"
	// Epoch counts the restores of the store from an older copy. HeldEpoch is that of the replica.
	Epoch       = "store_epoch"
	Error       = "error"
	File        = "file"
	Flow        = "flow"
	HeldEpoch   = "held_epoch"
	HeldVersion = "held_version"
	Instance    = "instance"
	Kind        = "kind"
	Latency     = "latency_ms"
	Open        = "open"
	Pace        = "pace"
	Part        = "part"
	Stack       = "stack"
	Peer        = "peer"
	Reason      = "reason"
	Request     = "request"
	Route       = "route"
	Service     = "service"
	Signal      = "signal"
	Source      = "source"
	Table       = "table"
	Target      = "target"
	TargetAge   = "target_age_ms"
	Token       = "token"
	Verdict     = "verdict"
	Version     = "version"
	Worker      = "worker"
	Zone        = "zone"
)

// Formats of log lines.
const (
	Text = "text"
	JSON = "json"
)

// TimeFormat is the time format of log lines. It has milliseconds, so that the lines of
// several instances can be ordered.
const TimeFormat = "2006-01-02T15:04:05.000Z07:00"

// New returns a logger that writes events of at least the given logrus level
// to w, in the format Text or JSON.
func New(w io.Writer, level, format string) (*logrus.Logger, error) {
	l := logrus.New()
	l.SetOutput(w)
	lv, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, errors.Wrap(err, "log level")
	}
	l.SetLevel(lv)
	switch format {
	case Text:
		l.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: TimeFormat})
	case JSON:
		l.SetFormatter(&logrus.JSONFormatter{TimestampFormat: TimeFormat, DisableHTMLEscape: true})
	default:
		return nil, errors.Errorf("log format %q, allowed are text and json", format)
	}
	return l, nil
}
