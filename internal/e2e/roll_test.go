//go:build linux

package e2e

import (
	"context"
	"net/http"
	"net/netip"
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/go-faster/errors"
	"github.com/shoenig/test/must"

	"guavaloom.example/guavaloom/internal/bundle"
	"guavaloom.example/guavaloom/internal/cli"
	"guavaloom.example/guavaloom/internal/objectstore"
	"guavaloom.example/guavaloom/internal/rollout"
	"guavaloom.example/guavaloom/internal/testbed"
)

type result struct {
	code int
	out  string
}

// Guards against two operators who both believe that their bundle is in force.
func TestTwoOperatorsRace(t *testing.T) {
	f := newFleet(t, "a1", "a2", "a3")
	names := []string{"first", "second"}
	results := make([]chan result, len(names))
	files := make([]string, len(names))
	for n, name := range names {
		f.drain([]string{"web-0", "web-1"}[n]) // makes the bundles differ
		files[n] = f.signed(name+".ini", 2, signers...)
	}
	for n, name := range names {
		results[n] = make(chan result, 1)
		go func() {
			code, out := f.roll(files[n], "--operator", name)
			results[n] <- result{code, out}
		}()
	}
	won, lost := -1, -1
	for n := range names {
		r := <-results[n]
		t.Logf("%s: exit status %d\n%s", names[n], r.code, r.out)
		switch r.code {
		case cli.ExitDone:
			must.Eq(t, -1, won, must.Sprint("both won"))
			won = n
		case cli.ExitRefused:
			must.Eq(t, -1, lost, must.Sprint("both lost"))
			lost = n
			must.StrContains(t, r.out, "by "+names[1-n]+" with revision 1.2")
		}
	}
	must.Eq(t, 1, won+lost)
	_, status := f.tool("status", "--settings", f.file("operator.ini"))
	must.StrContains(t, status, "by "+names[won]+",")
	for _, p := range f.all() {
		must.Eq(t, "1.2", f.revision(p))
	}
}

// Guards against a bundle with too few signatures that is rolled by the tool, or
// followed by the daemons when it gets into the platform without the tool.
func TestTooFewSignatures(t *testing.T) {
	f := newFleet(t, "a1", "a2", "a3")
	f.drain("feed-0")
	file := f.signed("weak.ini", 2, signers[0])
	code, out := f.roll(file)
	must.Eq(t, cli.ExitRefused, code)
	must.StrContains(t, out, "1 valid signatures, required are 2")
	f.store(file)
	f.await("a daemon refuses the bundle", func() bool {
		for _, p := range f.all() {
			if f.metric(p, `guavaloom_rollout_reports_total{reason="refused_bundle"}`) {
				return true
			}
		}
		return false
	})
	code, out = f.tool("status", "--settings", f.file("operator.ini"))
	must.Eq(t, cli.ExitRefused, code, must.Sprint(out))
	must.StrContains(t, out, "revision 1.1 in force")
	for _, p := range f.all() {
		must.Eq(t, "1.1", f.revision(p))
		f.serves(p)
	}
	f.mustRoll(3) // the way out
	for _, p := range f.all() {
		must.Eq(t, "1.3", f.revision(p))
	}
}

// store puts a bundle and its signatures into the platform without any check.
func (f *fleet) store(file string) {
	f.t.Helper()
	ctx := context.Background()
	text, err := os.ReadFile(file)
	must.NoError(f.t, err)
	b, err := bundle.Parse(file, text)
	must.NoError(f.t, err)
	signed, err := os.ReadFile(file + ".sig")
	must.NoError(f.t, err)
	signatures, err := bundle.ParseSignatures(file, signed, b.Digest())
	must.NoError(f.t, err)
	e := b.Encode()
	for d, part := range e.Parts {
		_, err := f.Store.Put(ctx, rollout.PartKey(d), part, 0)
		must.True(f.t, err == nil || errors.Is(err, objectstore.ErrConflict))
	}
	o, err := f.Store.Get(ctx, rollout.CurrentKey)
	must.NoError(f.t, err)
	m := bundle.Manifest{Header: e.Header, Signatures: signatures, RollID: "forged", Operator: "nobody"}
	_, err = f.Store.Put(ctx, rollout.CurrentKey, m.Encode(), o.Version)
	must.NoError(f.t, err)
}

// Guards against checks that can't fail: a target that runs bookings twice and a
// packet at another flow's target have to be counted.
func TestPlantedFaultsAreCounted(t *testing.T) {
	f := newFleet(t, "a1")
	f.open(10)
	must.SliceEmpty(t, f.problems())
	// Packets of all flows go to one target of each service.
	f.flows.SetFabric([]netip.AddrPort{f.target("feed-0"), f.target("board-0")})
	f.await("packets reach wrong targets", func() bool {
		c := f.flows.Counts(hang)
		return c.Broken > 0 && c.WrongService > 0
	})
	f.spray()
	f.addWebTarget("double", true)
	f.drain("web-0", "web-1", "web-2", "web-3")
	f.mustRoll(2)
	must.Eq(t, testbed.Answered, f.do(f.all()[0], http.MethodPost, "/bookings", "planted"))
	found := strings.Join(f.problems(), ", ")
	t.Log(found)
	must.StrContains(t, found, "flows broken")
	must.StrContains(t, found, "packets at another service's target")
	must.StrContains(t, found, "2 double runs") // by attempt and by key
}

func (f *fleet) target(name string) netip.AddrPort {
	return f.targets[slices.IndexFunc(f.targets, func(l testbed.Listed) bool { return l.Name == name })].Addr
}
