package baseline

import (
	"testing"

	"github.com/shoenig/test/must"
)

// TestCompareStrategies prints the comparison table (go test -v). It guards against
// a steering change that breaks flows, or for which pinning the touched slots costs
// as much as pinning every flow.
func TestCompareStrategies(t *testing.T) {
	w := Workload{Seed: 1, Instances: 7, Targets: 18, Flows: 20_000}
	t.Log("| way | opened | broken | dropped | imbalance | hops/packet | answer bytes | transfer bytes | peak pins |")
	var results []Result
	for _, strategy := range []Strategy{PureHash, PinAll, PinTouched} {
		r := Run(strategy, w)
		t.Log(r)
		results = append(results, r)
	}
	hash, all, touched := results[PureHash], results[PinAll], results[PinTouched]
	must.Positive(t, hash.Broken)
	must.Zero(t, all.Broken)
	must.Zero(t, touched.Broken)
	must.Less(t, all.PeakPins, touched.PeakPins)
	must.Less(t, all.Hops, touched.Hops)
}
