package edge_test

import (
	"net/http"
	"testing"

	"guavaloom.example/guavaloom/internal/view"
	"guavaloom.example/guavaloom/platform/standin"
)

// restore makes the store unavailable and brings it back from a copy. Operators and targets
// write again what was lost.
func (s *testSite) restore(c standin.Copy) {
	s.store.SetFaults(standin.Faults{Status: http.StatusServiceUnavailable})
	s.store.CutConnections()
	s.store.Restore(c)
	s.store.WriteAgain()
	s.store.SetFaults(standin.Faults{})
}

// awaitConfig waits until the instances serve a version of the configuration.
func awaitConfig(t *testing.T, version uint64, nodes ...*node) {
	t.Helper()
	for _, n := range nodes {
		eventually(t, n.settings.Name+" serves the version", func() bool { return n.status().Config == version })
	}
}

// Guards against a configuration that readers and followers ignore because its revision was
// given out to an earlier one before the store was restored.
func TestConfigurationAfterRestore(t *testing.T) {
	s := newSite(t)
	s.target("i-a1", 0xa1)
	one := s.start(1, s.store.Addr())
	one.awaitReady()
	two := s.start(2, s.store.Addr(), one.settings.Peer)
	three := s.start(9, s.store.Addr(), one.settings.Peer)
	two.awaitReady()
	three.awaitReady()
	older := s.store.Copy()
	s.configure(2)
	s.configure(3)
	awaitConfig(t, 3, one, two, three)
	s.restore(older) // version 3 now has the revision that version 2 had
	s.configure(4, standin.Route{Name: "new", Endpoint: addedEndpoint, Service: "booking"})
	awaitConfig(t, 4, one, two, three)
	for _, n := range []*node{one, two, three} {
		mustServe(t, s.client(n), addedEndpoint)
	}
}

// mustServe checks that a request to the endpoint is served.
func mustServe(t *testing.T, c *standin.Client, to view.Endpoint) {
	t.Helper()
	if _, err := requestTarget(t, c, to); err != nil {
		t.Fatalf("request to %s: %v", to, err)
	}
}
