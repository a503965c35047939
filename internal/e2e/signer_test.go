package e2e

import (
	"testing"

	"github.com/shoenig/test/must"

	"guavaloom.example/guavaloom/internal/cli"
	"guavaloom.example/guavaloom/internal/instance"
)

// restart ends an instance, as kill -9 does, and starts it with the present settings.
func (f *fleet) restart(id instance.ID) *process {
	f.t.Helper()
	for _, p := range f.all() {
		if p.ID == id {
			f.kill(p)
		}
	}
	p := f.start(id)
	f.awaitReady(p)
	return p
}

// Guards against a signer's key that was withdrawn while an instance was down and is in use
// again after its restart: by a bundle in the platform's store, which the key signed
// later, and by the bundle that was in force before the key was replaced.
func TestWithdrawnKeyAfterRestart(t *testing.T) {
	ids := []instance.ID{"a1", "a2", "a3"}
	f := newFleet(t, ids...)
	f.drain("feed-0")
	code, out := f.roll(f.signed("bundle-2.ini", 2, signers[0], spareSigner))
	must.Eq(t, cli.ExitDone, code, must.Sprint(out))
	f.trust(signers[0], spareSigner)
	for _, id := range ids {
		must.Eq(t, "1.2", f.revision(f.restart(id)))
	}

	f.drain("feed-1")
	f.store(f.signed("stolen.ini", 3, signers[0], signers[1]))
	refused := func(p *process) bool { return f.metric(p, `guavaloom_rollout_reports_total{reason="refused_bundle"}`) }
	f.await("the bundle in the store is refused", func() bool {
		for _, p := range f.all() {
			if refused(p) {
				return true
			}
		}
		return false
	})
	p := f.restart(ids[2])
	f.await("the restarted instance refuses it too", func() bool { return refused(p) })
	must.Eq(t, "1.2", f.revision(p))
	f.serves(p)
	code, out = f.roll(f.signed("bundle-4.ini", 4, signers[0], spareSigner)) // the way out
	must.Eq(t, cli.ExitDone, code, must.Sprint(out))
	for _, p := range f.all() {
		must.Eq(t, "1.4", f.revision(p))
	}
}
