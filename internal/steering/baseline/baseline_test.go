package baseline

import (
	"testing"

	"github.com/shoenig/test/must"
)

// TestCompareWays prints the comparison table (go test -v) and guards against a
// change of the steering core that breaks flows or makes tracking as dear as a
// home for every flow.
func TestCompareWays(t *testing.T) {
	w := Workload{Seed: 1, Instances: 7, Targets: 18, Flows: 20_000}
	t.Log("| way | opened | broken | dropped | imbalance | hops/packet | answer bytes | transfer bytes | peak pins |")
	var results []Result
	for _, way := range []Strategy{PureHash, PinAll, PinTouched} {
		r := Run(way, w)
		t.Log(r)
		results = append(results, r)
	}
	hash, all, enough := results[PureHash], results[PinAll], results[PinTouched]
	must.Positive(t, hash.Broken)
	must.Zero(t, all.Broken)
	must.Zero(t, enough.Broken)
	must.Less(t, all.PeakPins, enough.PeakPins)
	must.Less(t, all.Hops, enough.Hops)
}
