package edge_test

import (
	"net/http"
	"slices"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"guavaloom.example/guavaloom/internal/view"
	"guavaloom.example/guavaloom/platform"
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
	three := s.start(3, s.store.Addr(), one.settings.Peer)
	two.awaitReady()
	three.awaitReady()
	older := s.store.Copy()
	s.configure(2)
	s.configure(3)
	awaitConfig(t, 3, one, two, three)
	s.restore(older) // version 3 now has the revision that version 2 had
	s.configure(4, standin.Route{Name: "new", Endpoint: addedEndpoint, Service: "booking"})
	awaitConfig(t, 4, one, two, three)
	c := s.client(one, two, three)
	for range 3 {
		mustServe(t, c, addedEndpoint)
	}
}

// mustServe checks that a request to the endpoint is served.
func mustServe(t *testing.T, c *standin.Client, to view.Endpoint) {
	t.Helper()
	if _, err := requestTarget(t, c, to); err != nil {
		t.Fatalf("request to %s: %v", to, err)
	}
}

// Guards against an instance that is missing from the list of instances after the store was
// restored from a copy that was made before it registered.
func TestRegistrationAfterRestore(t *testing.T) {
	s := newSite(t)
	one := s.start(1, s.store.Addr())
	one.awaitReady()
	registered := func(n *node) func() bool {
		return func() bool { return slices.Contains(s.store.Names(platform.InstanceKind), n.settings.Name) }
	}
	eventually(t, "the first entry", registered(one))
	older := s.store.Copy()
	two := s.start(2, s.store.Addr(), one.settings.Peer)
	two.awaitReady()
	eventually(t, "the second entry", registered(two))
	for range 2 { // restores in series
		s.restore(older)
		must.False(t, registered(two)())
		eventually(t, "the second entry, written again", registered(two))
		must.True(t, registered(one)())
	}
}

// Guards against an instance that missed the restore because the store does not serve it, and
// that keeps its state from before or passes it on.
func TestInstanceThatMissedTheRestore(t *testing.T) {
	s := newSite(t)
	old := s.target("i-a1", 0xa1)
	one := s.start(1, s.store.Addr())
	one.awaitReady()
	refusing := standin.New()
	refusing.SetFaults(standin.Faults{Status: http.StatusTooManyRequests})
	t.Cleanup(refusing.Close)
	two := s.start(2, refusing.Addr(), one.settings.Peer)
	two.awaitReady()
	older := s.store.Copy()
	s.target("i-a2", 0xa2)
	s.configure(2)
	s.configure(3)
	awaitConfig(t, 3, one, two)
	s.restore(older)
	s.configure(4)
	old.Register(s.store, "draining")
	awaitConfig(t, 4, one, two)
	for _, n := range []*node{one, two} {
		eventually(t, "the drain", func() bool { return n.targetState("i-a1") == "draining" })
		must.Eq(t, "ready", n.targetState("i-a2"))
	}
}

// Guards against a target that drains or has left and takes new flows again, and against a
// target lost from the store that takes none, until the targets have written again.
func TestTargetsUntilTheyWriteAgain(t *testing.T) {
	s := newSite(t)
	draining := s.target("i-a1", 0xa1)
	s.target("i-a2", 0xa2)
	one := s.start(1, s.store.Addr())
	one.awaitReady()
	older := s.store.Copy()
	draining.Register(s.store, "draining")
	s.store.RemoveTarget("i-a2")
	s.target("i-a3", 0xa3)
	eventually(t, "the three changes", func() bool {
		return one.targetState("i-a1") == "draining" && one.targetState("i-a2") != "ready" && one.targetState("i-a3") == "ready"
	})
	s.store.Restore(older)
	s.store.CutConnections()
	eventually(t, "the restore", func() bool {
		return strings.Contains(one.log.String(), `"kind":"servers","level":"info","msg":"store was restored"`)
	})
	must.Eq(t, "draining", one.targetState("i-a1"))
	must.NotEq(t, "ready", one.targetState("i-a2"))
	must.Eq(t, "ready", one.targetState("i-a3"))
	s.store.WriteAgain()
	eventually(t, "the present state", func() bool {
		return slices.Equal(s.store.Names(platform.TargetKind), []string{"i-a1", "i-a3"}) && one.targetState("i-a2") == "ended"
	})
	must.Eq(t, "draining", one.targetState("i-a1"))
	must.Eq(t, "ready", one.targetState("i-a3"))
}

// Load pattern: instances start while the store was restored and its operator has not written
// again; the copy from which they read first is from before the restore. Guards against a view
// that stays at the older configuration, or at a revision that the store does not have.
func TestStartAfterRestore(t *testing.T) {
	s := newSite(t)
	s.target("i-a1", 0xa1)
	older := s.store.Copy()
	for version := 2; version < 9; version++ {
		s.configure(version)
	}
	s.store.SetFaults(standin.Faults{FreezeStaleOKLists: true})
	s.store.Restore(older)
	one := s.start(1, s.store.Addr())
	one.awaitReady()
	two := s.start(2, s.store.Addr(), one.settings.Peer)
	two.awaitReady()
	s.store.WriteAgain()
	awaitConfig(t, 8, one, two)
	s.configure(9)
	awaitConfig(t, 9, one, two)
}

// targetState returns the state of a target in the node's view, or "".
func (n *node) targetState(id string) string {
	for _, t := range n.status().Targets {
		if t.Target == id {
			return t.State
		}
	}
	return ""
}
