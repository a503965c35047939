package rollout

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"guavaloom.example/guavaloom/internal/instance"
)

// Guards against releasing an address while a lapsed member, which the platform's list
// shows as gone, may still send requests to it, and against a roll that waits for that
// member's acknowledgement.
func TestLapsedMemberHoldsReleaseOnly(t *testing.T) {
	f := newFleet(t, 5, 1, 3)
	f.roll(testBundle(1, "a"))
	f.run(20 * time.Second)
	lapsed := f.members[2]
	must.Eq(t, revision(1), f.status("zone-0").Acked)
	lapsed.dead = true
	f.lapsed = []instance.Ref{lapsed.ref}
	f.refresh()
	f.roll(testBundle(2, "a", "b"))
	f.run(20 * time.Second)
	must.Eq(t, revision(2), f.status("zone-0").InForce)
	must.Eq(t, revision(1), f.status("zone-0").Acked)
	f.lapsed = nil
	f.refresh()
	f.run(20 * time.Second)
	must.Eq(t, revision(2), f.status("zone-0").Acked)
}
