package main

import (
	"bytes"
	"context"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against a wrong exit code, by which service managers tell bad settings
// from failures that a restart may cure.
func TestExitCodes(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.ini")
	must.NoError(t, os.WriteFile(bad, []byte("[instance]\nid = X\n"), 0o600))
	good, taken := settingsWithAddressInUse(t)
	cases := []struct {
		args []string
		code int
		want string
	}{
		{[]string{"version"}, exitOK, "guavaloomd"},
		{nil, exitUsage, `"config" not set`},
		{[]string{"--config", bad}, exitUsage, bad + ":2: [instance] id: bad name"},
		{[]string{"--config", bad + "x"}, exitUsage, "no such file"},
		{[]string{"--other"}, exitUsage, "unknown flag"},
		{[]string{"--config", good}, exitFailed, "admin listener: listen tcp " + taken},
	}
	for _, c := range cases {
		var out bytes.Buffer
		must.Eq(t, c.code, run(context.Background(), c.args, &out, &out), must.Sprint(c.args, out.String()))
		must.StrContains(t, out.String(), c.want)
	}
}

// settingsWithAddressInUse writes good settings whose admin address is already in use.
func settingsWithAddressInUse(t *testing.T) (file, taken string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	taken = l.Addr().String()
	text, err := os.ReadFile("../../examples/kandy/daemon-lk-central-a.ini")
	must.NoError(t, err)
	text = []byte(strings.Replace(string(text), "10.40.1.11:9100", taken, 1))
	file = filepath.Join(t.TempDir(), "good.ini")
	must.NoError(t, os.WriteFile(file, text, 0o600))
	return file, taken
}
