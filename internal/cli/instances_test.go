package cli

import (
	"testing"

	"github.com/shoenig/test/must"

	"guavaloom.example/guavaloom/internal/explain"
)

// Guards against a listing of targets that does not tell cold ones from warm ones.
func TestTargetLinesShowTheAllowance(t *testing.T) {
	s := explain.EdgeStatus{Targets: []explain.TargetStatus{
		{Target: "i-1", Service: "booking", Zone: "a", State: "ready", Open: 2, Busy: 1, LatencyMillis: 40},
		{Target: "i-2", Service: "booking", Zone: "a", State: "ready", Allowance: &explain.AllowanceStatus{Share: 4, Used: 3}},
	}}
	must.Len(t, 1, statusLines(s, false))
	must.Eq(t, []string{
		"  i-1 of booking in a: ready, 2 flows, 1 requests in flight, 40 ms",
		"  i-2 of booking in a: ready, 0 flows, 0 requests in flight, 0 ms, cold: 3 of 4 flows a second used",
	}, statusLines(s, true)[1:])
}
