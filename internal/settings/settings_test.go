package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/go-faster/errors"
	"github.com/shoenig/test/must"
)

// Guards against example files that the daemon rejects.
func TestExamples(t *testing.T) {
	for group, size := range map[string]struct{ centres, instances int }{"kandy": {4, 7}, "bluemountain": {3, 6}} {
		files, err := filepath.Glob("../../examples/" + group + "/daemon-*.ini")
		must.NoError(t, err)
		must.SliceLen(t, size.centres, files)
		for _, f := range files {
			s, err := Load(f)
			must.NoError(t, err)
			must.SliceLen(t, size.instances-1, s.Seeds, must.Sprint(f))
			must.SliceEmpty(t, s.Peers)
			must.MapLen(t, 2, s.Bundle.Keys)
			must.Eq(t, filepath.Join(filepath.Dir(f), "tls/key.pem"), s.TLS.Key)
			must.Eq(t, 16384, s.Request.MaxHeaderBytes)
		}
	}
}

// example returns settings of an instance in one of four zones.
func example(t testing.TB) string {
	t.Helper()
	b, err := os.ReadFile("testdata/zones.ini")
	must.NoError(t, err)
	return string(b)
}

// Guards against an invalid setting that is accepted, or that is reported at a wrong
// line, section or key.
func TestWrongSettings(t *testing.T) {
	const signer = "Aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa="
	cases := []struct{ old, new, key, wrong string }{
		{"id = kandy-a1", "id = Kandy_A1", "[instance] id", "bad name"},
		{"zone = lk-central-a", "zone = -", "[instance] zone", "bad name"},
		{"packet = 10.40.1.11:6080", "packet = 10.40.1.11", "[listen] packet", "not an address"},
		{"relay = 10.40.1.11:6081", "relay = 10.40.1.11:6080", "[listen] relay", "same address as packet"},
		{"control = 10.40.1.11:7001", "control = 0.0.0.0:7001", "[listen] control", "is not the address of a single instance"},
		{"request = 10.40.1.11:8080", "request = 10.40.1.11:0", "[listen] request", "port is 0"},
		{"admin = 10.40.1.11:9100", "admin = localhost:9100", "[listen] admin", "not an address"},
		{"admin = 10.40.1.11:9100", "admn = 10.40.1.11:9100", "[listen] admn", "unknown key"},
		{"admin = 10.40.1.11:9100\n", "", "[listen] admin", "is missing"},
		{"kandy-a2 = 10.40.1.12:7001", "kandy-a1 = 10.40.1.12:7001", "[seeds] kandy-a1", "is this instance itself"},
		{"kandy-b2 =", "kandy-b1 =", "[peers.lk-central-b] kandy-b1", "key is repeated, first in line"},
		{"[peers.lk-central-b]", "[peers.lk-central-a]", "[peers.lk-central-a]", "is the zone of this instance"},
		{"kandy-c1 = 10.40.3.11:7001", "kandy-a2 = 10.40.3.11:7001", "[peers.lk-central-c] kandy-a2", "listed in zone lk-central-"},
		{"url = https://", "url = ftp://", "[platform] url", "is not the URL of a server"},
		{"timeout = 3s", "timeout = 3", "[platform] timeout", "is not a duration"},
		{"watch_timeout = 30s", "watch_timeout = 1h", "[platform] watch_timeout", "out of range"},
		{"threshold = 2", "threshold = 3", "[bundle] threshold", "3 signatures needed, but 2 signers"},
		{"[signers]\n", "[signers]\nx = " + signer[:20] + "\n", "[signers] x", "not an ed25519 public key"},
		{"ca = tls/ca.pem\n", "", "[tls] ca", "is missing"},
		{"[tls]\n", "[tls]\nplaintext = true\n", "[tls] ca", "is set together with plaintext"},
		{"[tls]\n", "[tls]\nplaintext_remote = true\n", "[tls] plaintext_remote", "has no effect"},
		{"[tls]\n", "[tls]\nplaintext = yes\n", "[tls] plaintext", "unknown value"},
		{"budget = 4000", "budget = 4kB", "[control] budget", "not a whole number"},
		{"pin_limit = 400000", "pin_limit = 0", "[steering] pin_limit", "out of range"},
		{"level = info", "level = loud", "[log] level", "unknown value"},
		{"format = json", "format = \"json\"", "[log] format", "quote"},
		{"format = json", "format =", "[log] format", "value is empty"},
		{"[log]", "[logging]", "[logging]", "unknown section"},
		{"[log]", "[control]", "[control]", "section is repeated"},
		{"[log]", "log:", "[steering]", "can't be read"},
		{"[instance]", "x = 1\n[instance]", "[] x", "before the first section"},
	}
	for _, c := range cases {
		text := example(t)
		at := strings.Index(text, c.old)
		must.GreaterEq(t, 0, at, must.Sprint(c.old))
		text = text[:at] + c.new + text[at+len(c.old):]
		_, err := Parse("x.ini", []byte(text))
		var all Problems
		must.True(t, errors.As(err, &all), must.Sprint(c.new))
		found := false
		for _, p := range all {
			line := p.Error()
			if strings.Contains(line, ": "+c.key+": ") && strings.Contains(line, c.wrong) {
				found = true
				must.StrHasPrefix(t, "x.ini:", line)
				must.StrContains(t, line, ", allowed is ")
				if c.new != "" { // the reported line contains the key or its section
					name := strings.TrimSuffix(c.key[strings.LastIndex(c.key, " ")+1:], "]")
					named := strings.Split(text, "\n")[p.Line-1]
					must.True(t, strings.Contains(named, strings.TrimPrefix(name, "[")) || strings.Contains(named, c.new), must.Sprint(line, " names ", named))
				}
			}
		}
		must.True(t, found, must.Sprintf("%q: want %s: %s, got\n%v", c.new, c.key, c.wrong, err))
	}
}

// Guards against a check that stops at the first problem.
func TestAllProblemsAtOnce(t *testing.T) {
	text := strings.NewReplacer("packet = 10", "packet = x", "level = info", "level = loud", "[signers]", "[sginers]").Replace(example(t))
	_, err := Parse("x.ini", []byte(text))
	var all Problems
	must.True(t, errors.As(err, &all))
	must.SliceLen(t, 3, all)
	must.True(t, all[0].Line < all[1].Line && all[1].Line < all[2].Line)
}

// Guards against settings that are accepted although they expose plain text to other hosts.
func TestPlaintextBeyondLoopback(t *testing.T) {
	text := strings.NewReplacer("ca = tls/ca.pem\n", "", "cert = tls/cert.pem\n", "", "key = tls/key.pem\n", "plaintext = true\n").Replace(example(t))
	_, err := Parse("x.ini", []byte(text))
	must.ErrorContains(t, err, "[tls] plaintext: control address 10.40.1.11 is not loopback")
	_, err = Parse("x.ini", []byte(strings.Replace(text, "plaintext = true", "plaintext = true\nplaintext_remote = true", 1)))
	must.NoError(t, err)
}

// Guards against a panic, and against a problem without a valid line, or without what
// is wrong and what is allowed.
func FuzzParse(f *testing.F) {
	f.Add(example(f))
	f.Add("[instance]\nid = %(zone)s\n[seeds]\n= 1\n")
	f.Fuzz(func(t *testing.T, text string) {
		_, err := Parse("x.ini", []byte(text))
		var all Problems
		if err == nil {
			return
		}
		must.True(t, errors.As(err, &all))
		for _, p := range all {
			must.Between(t, 1, p.Line, strings.Count(text, "\n")+1)
			must.NotEq(t, "", p.Wrong)
			must.NotEq(t, "", p.Allowed)
		}
	})
}
