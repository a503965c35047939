//go:build linux

package e2e

import (
	"testing"

	"github.com/shoenig/test/must"

	"guavaloom.example/guavaloom/internal/testbed"
)

// Guards against flows that break, and requests that are no longer served, when a
// process is killed while targets change.
func TestKillWhileTargetsChange(t *testing.T) {
	f := newFleet(t, "a1", "a2", "a3", "a4", "a5")
	f.open(60)
	f.callers(4)
	f.answered(50)
	f.drain("feed-0", "board-0", "web-0")
	f.addFlowTarget("feed-4", testbed.Feed, testbed.FeedAddr)
	victim := f.all()[3]
	rolled := f.rollLater(2)
	f.await("pins exist", func() bool { s, err := f.Status(victim.Instance); return err == nil && s.Pins > 0 })
	f.kill(victim)
	f.spray()
	must.Eq(t, 0, <-rolled)
	f.moves()
	f.answered(100)
	for _, p := range f.all() {
		must.Eq(t, "1.2", f.revision(p))
		f.serves(p)
	}
	f.holds()
}
