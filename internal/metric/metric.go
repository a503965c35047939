package metric

import (
	"bufio"
	"io"
	"maps"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"

	metrics "github.com/rcrowley/go-metrics"

	"guavaloom.example/guavaloom/internal/invariant"
)

// Kind is the type of a metric.
type Kind string

// Kinds of metrics.
const (
	Counter Kind = "counter" // never decreases
	Gauge   Kind = "gauge"
	// Histogram is a distribution of durations, exposed as cumulative buckets, sum and count.
	Histogram Kind = "histogram"
)

// Declaration describes a metric.
type Declaration struct {
	Name string // Prometheus name; counters end in _total
	Unit string // unit of the value, for example "bytes"
	Help string // one sentence
	Kind Kind
	// Label is the name of the metric's label, or empty if it has none.
	Label string
}

var nameFormat = regexp.MustCompile(`^[a-z][a-z0-9_]*$`)

// family is a declaration with the label values seen so far.
type family struct {
	Declaration
	values map[string]any // go-metrics values by label value
}

// Set holds the metrics of one instance. It is safe for concurrent use.
type Set struct {
	mu       sync.Mutex
	families map[string]*family
}

// NewSet returns an empty set.
func NewSet() *Set { return &Set{families: map[string]*family{}} }

// Counter returns the counter for a label value and creates it on first use. The
// label value is empty for a metric without label. Callers on hot paths should keep
// the counter, since each call takes a lock.
func (s *Set) Counter(d Declaration, label string) metrics.Counter {
	invariant.Check(d.Kind == Counter, "metric.kind", "%s is a %s", d.Name, d.Kind)
	return s.value(d, label, func() any { return metrics.NewCounter() }).(metrics.Counter)
}

// Gauge returns the gauge for a label value.
func (s *Set) Gauge(d Declaration, label string) metrics.GaugeFloat64 {
	invariant.Check(d.Kind == Gauge, "metric.kind", "%s is a %s", d.Name, d.Kind)
	return s.value(d, label, func() any { return metrics.NewGaugeFloat64() }).(metrics.GaugeFloat64)
}

// Histogram returns the histogram for a label value.
func (s *Set) Histogram(d Declaration, label string) *LatencyHistogram {
	invariant.Check(d.Kind == Histogram, "metric.kind", "%s is a %s", d.Name, d.Kind)
	return s.value(d, label, func() any { return newLatencyHistogram() }).(*LatencyHistogram)
}

// Func registers a metric whose value is read by a function each time the metrics are
// exposed. The function must be safe for concurrent use.
func (s *Set) Func(d Declaration, label string, read func() float64) {
	s.value(d, label, func() any { return metrics.NewFunctionalGaugeFloat64(read) })
}

func (s *Set) value(d Declaration, label string, create func() any) any {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.families[d.Name]
	if f == nil {
		invariant.Check(nameFormat.MatchString(d.Name) && d.Help != "" && d.Unit != "",
			"metric.declared", "incomplete declaration of %q", d.Name)
		f = &family{Declaration: d, values: map[string]any{}}
		s.families[d.Name] = f
	}
	invariant.Check(f.Declaration == d, "metric.declared_once", "%s has two declarations", d.Name)
	invariant.Check((d.Label == "") == (label == ""), "metric.label", "%s with label value %q", d.Name, label)
	v := f.values[label]
	if v == nil {
		v = create()
		f.values[label] = v
	}
	return v
}

// Value returns the current value of a counter or gauge, or the number of observations
// of a histogram. It returns 0 for a metric that is not registered.
func (s *Set) Value(name, label string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f := s.families[name]; f != nil {
		return read(f.values[label])
	}
	return 0
}

func read(v any) float64 {
	switch v := v.(type) {
	case metrics.Counter:
		return float64(v.Count())
	case metrics.GaugeFloat64:
		return v.Value()
	case *LatencyHistogram:
		return float64(v.Count())
	}
	return 0
}

// snapshot copies the families, so that the functions registered by Func run without
// the lock.
func (s *Set) snapshot() []family {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]family, 0, len(s.families))
	for _, name := range slices.Sorted(maps.Keys(s.families)) {
		f := s.families[name]
		out = append(out, family{Declaration: f.Declaration, values: maps.Clone(f.values)})
	}
	return out
}

var (
	escapeHelp  = strings.NewReplacer(`\`, `\\`, "\n", `\n`)
	escapeLabel = strings.NewReplacer(`\`, `\\`, "\n", `\n`, `"`, `\"`)
)

// WriteText writes all metrics in the Prometheus text format, version 0.0.4,
// ordered by name and label.
func (s *Set) WriteText(w io.Writer) error {
	out := bufio.NewWriter(w)
	for _, f := range s.snapshot() {
		_, _ = out.WriteString("# HELP " + f.Name + " " + escapeHelp.Replace(f.Help) + " Unit: " + f.Unit + ".\n")
		_, _ = out.WriteString("# TYPE " + f.Name + " " + string(f.Kind) + "\n")
		for _, label := range slices.Sorted(maps.Keys(f.values)) {
			labels := ""
			if f.Label != "" {
				labels = f.Label + `="` + escapeLabel.Replace(label) + `"`
			}
			if h, ok := f.values[label].(*LatencyHistogram); ok {
				h.write(out, f.Name, labels)
				continue
			}
			writeValue(out, f.Name, labels, read(f.values[label]))
		}
	}
	return out.Flush() // reports the first write error
}

func writeValue(out *bufio.Writer, name, labels string, value float64) {
	_, _ = out.WriteString(name)
	if labels != "" {
		_, _ = out.WriteString("{" + labels + "}")
	}
	_, _ = out.WriteString(" " + strconv.FormatFloat(value, 'g', -1, 64) + "\n")
}
