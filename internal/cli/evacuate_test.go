package cli

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"guavaloom.example/guavaloom/internal/explain"
	"guavaloom.example/guavaloom/internal/objectstore/standin"
)

// newBundleStore rolls a bundle of four zones and returns the store and the operator's settings.
func newBundleStore(t *testing.T) (store *standin.Memory, settings string) {
	t.Helper()
	dir := t.TempDir()
	key, sig := filepath.Join(dir, "k"), filepath.Join(dir, "s")
	code, _, _ := run("keys", "new", "--out", key)
	must.Eq(t, ExitDone, code)
	code, _, _ = run("bundle", "sign", kandy, "--key", key, "--signatures", sig)
	must.Eq(t, ExitDone, code)
	store = standin.New()
	server := httptest.NewServer(store.Handler())
	t.Cleanup(server.Close)
	settings = write(t, "op.ini", "[platform]\naddress = "+server.URL+"\n[bundle]\nname = kandy\nthreshold = 1\n[key a]\nfile = "+key+".pub\n")
	runUntil("is stored", "roll", kandy, "--settings", settings, "--signatures", sig)
	return store, settings
}

// Guards against wrong exit codes and messages of evacuate, on which scripts depend, and against
// evacuations that status does not list.
func TestEvacuate(t *testing.T) {
	store, settings := newBundleStore(t)
	for _, c := range []struct {
		code           int
		stdout, stderr string
		args           []string
	}{
		{ExitUsage, "", "accepts 1 arg", nil},
		{ExitUsage, "", `unknown zone "lk-east": the current bundle names lk-central-a, lk-central-b`, []string{"lk-east"}},
		{ExitUsage, `"error": "unknown zone`, "", []string{"lk-east", "--output", "json"}},
		{ExitUsage, "", "unknown zone", []string{"lk-east", "--withdraw"}},
		{ExitDone, "zone lk-central-a: not evacuated", "", []string{"lk-central-a", "--withdraw"}},
		{ExitDone, "zone lk-central-a: evacuation requested, version 0.", "", []string{"lk-central-a", "--operator", "op"}},
		{ExitDone, "was requested before and is confirmed", "", []string{"lk-central-a", "--operator", "op"}},
	} {
		args := append([]string{"evacuate", "--settings", settings}, c.args...)
		code, stdout, stderr := run(args...)
		must.Eq(t, c.code, code, must.Sprintf("%v: %s", args, stderr))
		must.StrContains(t, stdout, c.stdout)
		must.StrContains(t, stderr, c.stderr)
	}
	_, stdout, _ := run("status", "--settings", settings)
	must.StrContains(t, stdout, "zone lk-central-a: evacuation requested, version 0.")
	must.StrContains(t, stdout, ", by op\n")
	_, err := store.Put(context.Background(), "evacuations/lk-east", []byte("{}"), 0)
	must.NoError(t, err)
	_, stdout, _ = run("status", "--settings", settings)
	must.StrContains(t, stdout, "the current bundle does not name the zone")
	must.Eq(t, 2, strings.Count(stdout, "evacuation requested"))
	code, stdout, _ := run("evacuate", "lk-central-a", "--withdraw", "--settings", settings)
	must.Eq(t, ExitDone, code)
	must.StrContains(t, stdout, "zone lk-central-a: evacuation withdrawn")
	_, err = store.Get(context.Background(), "evacuations/lk-central-a")
	must.Error(t, err)
}

// Guards against fields of the JSON form that change, and against a refusal without exit code 1.
func TestEvacuateJSON(t *testing.T) {
	store, settings := newBundleStore(t)
	var result struct {
		Zone, Operator, Version string
		Evacuated, Changed      bool
	}
	for n, c := range []struct {
		args               []string
		evacuated, changed bool
	}{{nil, true, true}, {nil, true, false}, {[]string{"--withdraw"}, false, true}, {[]string{"--withdraw"}, false, false}} {
		code, stdout, stderr := run(append([]string{"evacuate", "lk-central-b", "--operator", "op", "--output", "json", "--settings", settings}, c.args...)...)
		must.Eq(t, ExitDone, code, must.Sprint(stderr))
		result.Operator, result.Version = "", ""
		must.NoError(t, json.Unmarshal([]byte(stdout), &result))
		must.Eq(t, "lk-central-b", result.Zone, must.Sprint(n))
		must.Eq(t, c.evacuated, result.Evacuated, must.Sprint(n))
		must.Eq(t, c.changed, result.Changed, must.Sprint(n))
		must.Eq(t, c.evacuated, result.Operator == "op" && result.Version != "", must.Sprint(n))
	}
	store.SetFaults(standin.Faults{Down: true})
	code, stdout, _ := run("evacuate", "lk-central-b", "--output", "json", "--settings", settings, "--timeout", "1s")
	must.Eq(t, ExitRefused, code)
	must.StrContains(t, stdout, `"error":`)
}

// Guards against evacuations that an instance knows and the command instances does not show.
func TestInstancesShowEvacuations(t *testing.T) {
	admin := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		must.NoError(t, json.NewEncoder(w).Encode(explain.EdgeStatus{
			Instance: "i-1", Zone: "a",
			Evacuations: []explain.EvacuationStatus{{Zone: "b", SinceMillis: 1500, Version: 7, Epoch: 2}},
			Targets:     []explain.TargetStatus{{Target: "t-1", Service: "booking", Zone: "b", State: "evacuated"}},
		}))
	}))
	defer admin.Close()
	code, stdout, _ := run("instances", "--targets", strings.TrimPrefix(admin.URL, "http://"))
	must.Eq(t, ExitDone, code)
	must.StrContains(t, stdout, "  b is evacuated: known for 1500 ms, version 7 in epoch 2 of the store\n")
	must.StrContains(t, stdout, "t-1 of booking in b: evacuated")
}
