package metric

import (
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against output that scrapers reject: missing help lines, unescaped labels or
// an unstable order.
func TestWriteText(t *testing.T) {
	s := NewSet()
	d := Declaration{Name: "b_total", Unit: "packets", Help: "Dropped\npackets.", Kind: Counter, Label: "reason"}
	s.Counter(d, `quote "`).Inc(2)
	s.Counter(d, "a").Inc(1)
	s.Func(Declaration{Name: "a", Unit: "ratio", Help: "A.", Kind: Gauge}, "", func() float64 { return 0.5 })
	var out strings.Builder
	must.NoError(t, s.WriteText(&out))
	must.Eq(t, `# HELP a A. Unit: ratio.
# TYPE a gauge
a 0.5
# HELP b_total Dropped\npackets. Unit: packets.
# TYPE b_total counter
b_total{reason="a"} 1
b_total{reason="quote \""} 2
`, out.String())
	must.Eq(t, 1, s.Value("b_total", "a"))
}

// Guards against buckets that are not cumulative, a duration equal to a bound that is
// counted in the next bucket, and a sum in a unit other than that of the metric's name.
func TestHistogramBuckets(t *testing.T) {
	s := NewSet()
	d := Declaration{Name: "h_ms", Unit: "milliseconds", Help: "H.", Kind: Histogram, Label: "span"}
	h := s.Histogram(d, "x")
	for _, took := range []time.Duration{500 * time.Microsecond, time.Millisecond, 1100 * time.Microsecond, time.Minute} {
		h.Observe(took)
	}
	var out strings.Builder
	must.NoError(t, s.WriteText(&out))
	for _, line := range []string{
		"# TYPE h_ms histogram\n", `h_ms_bucket{span="x",le="1"} 2`, `h_ms_bucket{span="x",le="2"} 3`,
		`h_ms_bucket{span="x",le="20000"} 3`, `h_ms_bucket{span="x",le="+Inf"} 4`,
		`h_ms_sum{span="x"} 60002.6`, `h_ms_count{span="x"} 4`,
	} {
		must.StrContains(t, out.String(), line)
	}
	must.Eq(t, 4, s.Value("h_ms", "x"))
}

// Guards against two packages that declare the same metric name differently.
func TestDeclaredOnce(t *testing.T) {
	s := NewSet()
	s.Counter(PeerRefused, "x")
	other := PeerRefused
	other.Help = "Something else."
	defer func() { must.NotNil(t, recover()) }()
	s.Counter(other, "x")
}
