package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"guavaloom.example/guavaloom/internal/explain"
	"guavaloom.example/guavaloom/internal/objectstore/standin"
	"guavaloom.example/guavaloom/internal/rollout"
	"guavaloom.example/guavaloom/internal/zone"
)

const kandy = "../bundle/testdata/zones.ini"

// output cancels the command once it has printed the text in until, as an operator does
// with Ctrl-C.
type output struct {
	bytes.Buffer
	until  string
	cancel context.CancelFunc
}

func (o *output) Write(p []byte) (int, error) {
	if o.until != "" && bytes.Contains(p, []byte(o.until)) {
		o.cancel()
	}
	return o.Buffer.Write(p)
}

func runUntil(until string, args ...string) (int, string, string) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	out, err := output{until: until, cancel: cancel}, bytes.Buffer{}
	return Run(ctx, Env{Out: &out, Err: &err, Version: "test"}, args), out.String(), err.String()
}

func run(args ...string) (int, string, string) { return runUntil("", args...) }

func write(t *testing.T, name, content string) string {
	file := filepath.Join(t.TempDir(), name)
	must.NoError(t, os.WriteFile(file, []byte(content), 0o600))
	return file
}

// Guards against wrong exit codes and changed messages, which scripts depend on.
func TestUsage(t *testing.T) {
	bad := write(t, "bad.ini", "[bundle]\nname = x\ncolour = red\n")
	for _, c := range []struct {
		code           int
		stdout, stderr string
		args           []string
	}{
		{ExitDone, "guavaloom test", "", []string{"version"}},
		{ExitDone, `"version": "test"`, "", []string{"version", "--output", "json"}},
		{ExitUsage, "", "allowed are text, json", []string{"version", "--output", "xml"}},
		{ExitUsage, "", "a command is missing", nil},
		{ExitUsage, "", "a command is missing", []string{"keys"}},
		{ExitUsage, "", "unknown command", []string{"rol"}},
		{ExitUsage, "", "accepts 1 arg", []string{"bundle", "check"}},
		{ExitUsage, "", "no such file", []string{"bundle", "check", "absent.ini"}},
		{ExitUsage, "", bad + ":3: [bundle] colour: unknown key, allowed are name", []string{"bundle", "check", bad}},
		{ExitUsage, `"key": "colour"`, "", []string{"bundle", "check", bad, "--output", "json"}},
		{ExitDone, "3 services and 32 targets in 4 zones", "", []string{"bundle", "check", kandy}},
		{ExitUsage, "", "settings", []string{"status", "--settings", "absent.ini"}},
	} {
		code, stdout, stderr := run(c.args...)
		must.Eq(t, c.code, code, must.Sprintf("%v: %s", c.args, stderr))
		must.StrContains(t, stdout, c.stdout)
		must.StrContains(t, stderr, c.stderr)
	}
}

// Guards against a command that can't use the files of an earlier one (keys new, bundle
// sign, roll), and against roll or status exiting with 0 before the bundle is in force.
func TestKeysSignRollStatus(t *testing.T) {
	dir := t.TempDir()
	key, sig, settings := filepath.Join(dir, "k"), filepath.Join(dir, "s"), filepath.Join(dir, "op.ini")
	code, _, _ := run("keys", "new", "--out", key)
	must.Eq(t, ExitDone, code)
	code, _, stderr := run("keys", "new", "--out", key)
	must.Eq(t, ExitUsage, code, must.Sprint("a key is never overwritten"))
	must.StrContains(t, stderr, "exists")
	store := standin.New()
	server := httptest.NewServer(store.Handler())
	defer server.Close()
	text := "[platform]\naddress = " + server.URL + "\n[bundle]\nname = kandy\nthreshold = 1\n[key a]\nfile = k.pub\n"
	must.NoError(t, os.WriteFile(settings, []byte(text), 0o600))
	roll := []string{"roll", kandy, "--settings", settings, "--signatures", sig, "--operator", "op"}
	code, _, stderr = run(roll...)
	must.Eq(t, ExitRefused, code)
	must.StrContains(t, stderr, "not signed")
	code, _, _ = run("bundle", "sign", kandy, "--key", key, "--signatures", sig)
	must.Eq(t, ExitDone, code)
	code, stdout, _ := runUntil("is stored", roll...)
	must.Eq(t, ExitRefused, code)
	must.StrContains(t, stdout, "revision 1.1 is stored")
	code, _, _ = run("status", "--settings", settings)
	must.Eq(t, ExitRefused, code)
	for _, z := range []string{"a", "b", "c", "d"} {
		value, err := json.Marshal(rollout.Status{InForce: zone.Revision{Epoch: 1, Number: 1}})
		must.NoError(t, err)
		_, err = store.Put(context.Background(), rollout.StatusPrefix+"lk-central-"+z, value, 0)
		must.NoError(t, err)
	}
	code, stdout, _ = run(append(roll, "--output", "json")...)
	must.Eq(t, ExitDone, code)
	var result struct {
		InForce bool `json:"in_force"`
	}
	must.NoError(t, json.Unmarshal([]byte(stdout), &result))
	must.True(t, result.InForce)
	code, stdout, _ = run("status", "--settings", settings, "--wait")
	must.Eq(t, ExitDone, code)
	must.StrContains(t, stdout, "current: revision 1.1")
}

// Guards against a check of the settings that stops at the first mistake, or that leaves
// mistakes to be found during a roll.
func TestSettingsReportAllMistakes(t *testing.T) {
	file := write(t, "op.ini", "[platform]\naddress = ftp://x\n[bundle]\nname = A\nthreshold = 0\n[key a]\nfile = absent.pub\n[x]\n")
	_, err := LoadSettings(file)
	for _, want := range []string{":2: [platform] address", ":4: [bundle] name", ":5: [bundle] threshold", ":7: [key a] file", ":8: [x] unknown"} {
		must.ErrorContains(t, err, want)
	}
	must.Eq(t, 5, strings.Count(err.Error(), "allowed"))
}

// Guards against queries and responses that the daemon and the tool encode differently,
// and against wrong exit codes for refused queries and unreachable instances.
func TestExplain(t *testing.T) {
	daemon := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var q explain.FlowQuery
		must.NoError(t, json.NewDecoder(r.Body).Decode(&q))
		if r.URL.Path != explain.FlowPath || q.Protocol != "tcp" || !q.First {
			w.WriteHeader(http.StatusBadRequest)
			_ = json.NewEncoder(w).Encode(explain.Error{Error: "bad protocol, allowed are tcp, udp"})
			return
		}
		_ = json.NewEncoder(w).Encode(explain.FlowAnswer{Decision: "forward", Reason: "settled", Target: "booking-01"})
	}))
	defer daemon.Close()
	code, stdout, _ := run("explain", "flow", "tcp", "1.2.3.4:5", "192.0.2.10:443", "--first", "--admin", daemon.URL)
	must.Eq(t, ExitDone, code)
	must.StrContains(t, stdout, "forward: settled")
	must.StrContains(t, stdout, "target booking-01")
	code, _, stderr := run("explain", "request", "GET", "h", "/", "--admin", daemon.URL)
	must.Eq(t, ExitUsage, code)
	must.StrContains(t, stderr, "allowed are tcp, udp")
	code, _, _ = run("explain", "flow", "tcp", "a", "b", "--admin", "127.0.0.1:1")
	must.Eq(t, ExitRefused, code)
}
