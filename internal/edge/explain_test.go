package edge_test

import (
	"encoding/json"
	"testing"

	"github.com/shoenig/test/must"

	"guavaloom.example/guavaloom/internal/explain"
)

// Guards against an explanation that names no target, can't be asked by the route's name, or
// answers a wrong question as if it were a route without targets.
func TestExplainPlacement(t *testing.T) {
	s := newSite(t)
	s.target("i-a1", 0xa1)
	one := s.start(1, s.store.Addr())
	one.awaitReady()
	ask := func(query string) (a explain.PlacementAnswer) {
		t.Helper()
		body := one.get(explain.PlacementPath + "?" + query)
		must.NoError(t, json.Unmarshal(body, &a), must.Sprint(string(body)))
		return a
	}
	for _, route := range []string{"booking", bookingEndpoint.String()} {
		a := ask("route=" + route + "&client=100.64.0.7:1025")
		must.Eq(t, "forward", a.Decision, must.Sprint(route))
		must.Eq(t, "i-a1", a.Target)
		must.Eq(t, "booking", a.Route)
		must.Len(t, 1, a.Targets)
	}
	must.Eq(t, "reset", ask("route="+addedEndpoint.String()).Decision)
	must.Eq(t, "", ask("route=unknown").Decision)
	must.Eq(t, 0, one.status().Flows)
}
