package settings

import (
	"crypto/ed25519"
	"encoding/base64"
	"fmt"
	"net/netip"
	"net/url"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"guavaloom.example/guavaloom/internal/instance"
)

// field is a key with a fixed name.
type field struct {
	required bool
	allowed  string
	// parse stores the value, or returns what is wrong with it.
	parse func(s *Settings, v string) string
}

var nameFormat = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

const (
	nameAllowed = "1 to 63 of a-z, 0-9 and -, not at the ends"
	addrAllowed = "IP:PORT with an address that peers can reach and a port from 1 to 65535"
)

// fixedKeys returns the keys with a fixed name, by section.
func fixedKeys() map[string]map[string]*field {
	return map[string]map[string]*field{
		"instance": {
			"id":   name(func(s *Settings, v string) { s.Instance = instance.ID(v) }),
			"zone": name(func(s *Settings, v string) { s.Zone = v }),
		},
		"listen": {
			"packet":  addr(func(s *Settings) *netip.AddrPort { return &s.Listen.Packet }),
			"relay":   addr(func(s *Settings) *netip.AddrPort { return &s.Listen.Relay }),
			"control": addr(func(s *Settings) *netip.AddrPort { return &s.Listen.Control }),
			"request": addr(func(s *Settings) *netip.AddrPort { return &s.Listen.Request }),
			"admin":   addr(func(s *Settings) *netip.AddrPort { return &s.Listen.Admin }),
		},
		"platform": {
			"url":              {required: true, allowed: "http://HOST[:PORT] or https://HOST[:PORT]", parse: parseURL},
			"timeout":          duration(func(s *Settings) *time.Duration { return &s.Platform.Timeout }, 100*time.Millisecond, time.Minute),
			"watch_timeout":    duration(func(s *Settings) *time.Duration { return &s.Platform.WatchTimeout }, time.Second, 10*time.Minute),
			"calls_per_second": number(func(s *Settings) *int { return &s.Platform.CallsPerSecond }, 1, 1000),
		},
		"bundle": {
			"name":      name(func(s *Settings, v string) { s.Bundle.Name = v }),
			"threshold": number(func(s *Settings) *int { return &s.Bundle.Threshold }, 1, 100),
		},
		"tls": {
			"ca":               path(func(s *Settings) *string { return &s.TLS.CA }),
			"cert":             path(func(s *Settings) *string { return &s.TLS.Cert }),
			"key":              path(func(s *Settings) *string { return &s.TLS.Key }),
			"plaintext":        flag(func(s *Settings) *bool { return &s.TLS.Plaintext }),
			"plaintext_remote": flag(func(s *Settings) *bool { return &s.TLS.PlaintextRemote }),
		},
		"control":  {"budget": number(func(s *Settings) *int { return &s.Budget }, 1_000, 100_000_000)},
		"steering": {"pin_limit": number(func(s *Settings) *int { return &s.PinLimit }, 1_000, 50_000_000), "workers": number(func(s *Settings) *int { return &s.Workers }, 0, 1024)},
		"log": {
			"level":  choice(func(s *Settings) *string { return &s.Log.Level }, "debug", "info", "warning", "error"),
			"format": choice(func(s *Settings) *string { return &s.Log.Format }, "text", "json"),
		},
		"request": {
			"max_connections":  number(func(s *Settings) *int { return &s.Request.MaxConnections }, 1, 1_000_000),
			"max_header_bytes": number(func(s *Settings) *int { return &s.Request.MaxHeaderBytes }, 1<<10, 1<<20),
			"max_body_bytes":   number(func(s *Settings) *int64 { return &s.Request.MaxBodyBytes }, 0, 1<<40),
			"header_timeout":   duration(func(s *Settings) *time.Duration { return &s.Request.HeaderTimeout }, 100*time.Millisecond, time.Minute),
		},
	}
}

func name(set func(*Settings, string)) *field {
	return &field{required: true, allowed: nameAllowed, parse: func(s *Settings, v string) string {
		if !nameFormat.MatchString(v) {
			return fmt.Sprintf("bad name %q", v)
		}
		set(s, v)
		return ""
	}}
}

func addr(at func(*Settings) *netip.AddrPort) *field {
	return &field{required: true, allowed: addrAllowed, parse: func(s *Settings, v string) string { return parseAddr(at(s), v) }}
}

func parseAddr(to *netip.AddrPort, v string) string {
	a, err := netip.ParseAddrPort(v)
	switch {
	case err != nil:
		return fmt.Sprintf("%q is not an address with a port", v)
	case a.Port() == 0:
		return "port is 0"
	case a.Addr().IsUnspecified() || a.Addr().IsMulticast():
		return a.Addr().String() + " is not the address of a single instance"
	}
	*to = a
	return ""
}

func number[T int | int64](at func(*Settings) *T, low, high T) *field {
	return &field{allowed: fmt.Sprintf("a whole number from %d to %d", low, high), parse: func(s *Settings, v string) string {
		n, err := strconv.ParseInt(v, 10, 64)
		if err != nil {
			return fmt.Sprintf("%q is not a whole number", v)
		}
		if n < int64(low) || n > int64(high) {
			return fmt.Sprintf("%d is out of range", n)
		}
		*at(s) = T(n)
		return ""
	}}
}

func duration(at func(*Settings) *time.Duration, low, high time.Duration) *field {
	return &field{allowed: fmt.Sprintf("a duration with unit from %s to %s", low, high), parse: func(s *Settings, v string) string {
		d, err := time.ParseDuration(v)
		if err != nil {
			return fmt.Sprintf("%q is not a duration", v)
		}
		if d < low || d > high {
			return d.String() + " is out of range"
		}
		*at(s) = d
		return ""
	}}
}

func choice(at func(*Settings) *string, allowed ...string) *field {
	return &field{allowed: strings.Join(allowed, ", "), parse: func(s *Settings, v string) string {
		if !slices.Contains(allowed, v) {
			return fmt.Sprintf("unknown value %q", v)
		}
		*at(s) = v
		return ""
	}}
}

func flag(at func(*Settings) *bool) *field {
	return &field{allowed: "true or false", parse: func(s *Settings, v string) string {
		if v != "true" && v != "false" {
			return fmt.Sprintf("unknown value %q", v)
		}
		*at(s) = v == "true"
		return ""
	}}
}

func path(at func(*Settings) *string) *field {
	return &field{allowed: "the path of a PEM file", parse: func(s *Settings, v string) string {
		*at(s) = v
		return ""
	}}
}

func parseURL(s *Settings, v string) string {
	u, err := url.Parse(v)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" || u.User != nil || u.RawQuery != "" || u.Fragment != "" {
		return fmt.Sprintf("%q is not the URL of a server", v)
	}
	s.Platform.URL = v
	return ""
}

func (r *reader) addSigner(e entry, v string) {
	key, err := base64.StdEncoding.DecodeString(v)
	if err != nil || len(key) != ed25519.PublicKeySize {
		r.report(e, "not an ed25519 public key", "32 bytes in standard base64")
		return
	}
	for other, k := range r.out.Bundle.Keys {
		if k.Equal(ed25519.PublicKey(key)) {
			r.report(e, "has the same key as "+other, "one signer per key")
			return
		}
	}
	r.out.Bundle.Keys[e.key] = key
}

// checkCombinations checks settings that depend on others.
func (r *reader) checkCombinations() {
	r.checkAddresses()
	r.checkTLS()
	if n := len(r.out.Bundle.Keys); n < r.out.Bundle.Threshold && len(r.problems) == 0 {
		r.report(entry{"bundle", "threshold"}, fmt.Sprintf("%d signatures needed, but %d signers are listed", r.out.Bundle.Threshold, n),
			"at most the number of keys in ["+signerSection+"], which needs at least one")
	}
}

// checkAddresses reports listeners of one protocol that have the same address.
func (r *reader) checkAddresses() {
	l := &r.out.Listen
	for _, group := range []map[string]netip.AddrPort{
		{"packet": l.Packet, "relay": l.Relay},
		{"control": l.Control, "request": l.Request, "admin": l.Admin},
	} {
		seen := map[netip.AddrPort]string{}
		for _, key := range []string{"packet", "relay", "control", "request", "admin"} {
			a, ok := group[key]
			if !ok || !a.IsValid() {
				continue
			}
			if first, taken := seen[a]; taken {
				r.report(entry{"listen", key}, "same address as "+first, "an address of its own")
			}
			seen[a] = key
		}
	}
}

func (r *reader) checkTLS() {
	t := &r.out.TLS
	files := map[string]*string{"ca": &t.CA, "cert": &t.Cert, "key": &t.Key}
	for _, key := range []string{"ca", "cert", "key"} {
		e, p := entry{"tls", key}, files[key]
		switch _, reported := r.lines[e]; {
		case t.Plaintext && *p != "":
			r.report(e, "is set together with plaintext", "either ca, cert and key, or plaintext = true")
		case !t.Plaintext && *p == "" && !reported:
			r.report(e, "is missing", "the path of a PEM file, or plaintext = true")
		case *p != "" && !filepath.IsAbs(*p):
			*p = filepath.Join(filepath.Dir(r.file), *p)
		}
	}
	c := r.out.Listen.Control.Addr()
	switch {
	case t.PlaintextRemote && !t.Plaintext:
		r.report(entry{"tls", "plaintext_remote"}, "has no effect without plaintext", "no such line, or plaintext = true too")
	case t.Plaintext && !t.PlaintextRemote && c.IsValid() && !c.IsLoopback():
		r.report(entry{"tls", "plaintext"}, "control address "+c.String()+" is not loopback", "a loopback address, or plaintext_remote = true too")
	}
}
