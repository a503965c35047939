package settings

import (
	"cmp"
	"crypto/ed25519"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"guavaloom.example/guavaloom/internal/instance"
)

// Settings are the validated settings of an instance.
type Settings struct {
	Instance instance.ID
	Zone     string
	Listen   Listen
	// Seeds are instances of the same zone and Peers instances of other zones that a
	// starting instance contacts first to find all others.
	Seeds    []Seed
	Peers    []Seed
	Platform Platform
	Bundle   Bundle
	TLS      TLS
	// Budget limits the control traffic to other instances, in bytes per second.
	Budget int
	// PinLimit is the largest number of pins that the instance stores.
	PinLimit int
	// Workers is the number of packet workers; 0 means one per core.
	Workers int
	Log     Log
	Request Request
}

// Listen holds the addresses of an instance.
type Listen struct {
	Packet  netip.AddrPort // UDP, GUE from the fabric
	Relay   netip.AddrPort // UDP, packets from other instances
	Control netip.AddrPort // TCP, messages between instances
	Request netip.AddrPort // TCP, HTTP requests
	Admin   netip.AddrPort // TCP, metrics and readiness
}

// Seed is an instance listed in the settings.
type Seed struct {
	ID      instance.ID
	Zone    string
	Control netip.AddrPort
}

// Platform describes the object API.
type Platform struct {
	URL            string
	Timeout        time.Duration // of one call other than a watch
	CallsPerSecond int           // limit on calls of this instance
	WatchTimeout   time.Duration // silence on a watch after which it is replaced by a new list
}

// Bundle selects the bundles to apply and the signatures that they need.
type Bundle struct {
	Name      string                       // of the bundles of this installation
	Threshold int                          // number of signatures needed
	Keys      map[string]ed25519.PublicKey // public keys by signer
}

// TLS holds the credential files of an instance, or selects plain text.
type TLS struct {
	CA, Cert, Key string // paths, resolved against the directory of the settings file
	Plaintext     bool
	// PlaintextRemote allows plain text on addresses other than loopback.
	PlaintextRemote bool
}

// Log selects the level and the format of log lines.
type Log struct {
	Level  string // debug, info, warning, error
	Format string // text, json
}

// Request holds the limits of the HTTP request listener.
type Request struct {
	MaxConnections int
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
}

// Problem is one mistake in a settings file.
type Problem struct {
	File    string
	Line    int
	Section string
	Key     string // empty if the problem concerns the section as a whole
	Wrong   string
	Allowed string
}

// Error implements error.
func (p Problem) Error() string {
	where := fmt.Sprintf("%s:%d: [%s]", p.File, p.Line, p.Section)
	if p.Key != "" {
		where += " " + p.Key
	}
	return fmt.Sprintf("%s: %s, allowed is %s", where, p.Wrong, p.Allowed)
}

// Problems is an error that lists all mistakes in a file in line order.
type Problems []Problem

// Error implements error with one line per problem.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, one := range p {
		lines[i] = one.Error()
	}
	return strings.Join(lines, "\n")
}

// Load reads and checks a file. The error is of type Problems unless the file
// can't be read.
func Load(file string) (*Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	return Parse(file, data)
}

// Parse checks the content of a file. The file name appears in problems, and relative
// paths in the settings start at its directory.
func Parse(file string, data []byte) (*Settings, error) {
	r := &reader{file: file, out: defaults()}
	r.scan(data)
	r.checkFixedKeys()
	r.readNamedKeys()
	r.checkCombinations()
	if len(r.problems) > 0 {
		slices.SortStableFunc(r.problems, func(a, b Problem) int { return cmp.Compare(a.Line, b.Line) })
		return nil, r.problems
	}
	return r.out, nil
}

func defaults() *Settings {
	return &Settings{
		Platform: Platform{Timeout: 5 * time.Second, CallsPerSecond: 10, WatchTimeout: 30 * time.Second},
		Bundle:   Bundle{Threshold: 1, Keys: map[string]ed25519.PublicKey{}},
		Budget:   10_000, // control_bytes_137 in docs/design.md
		PinLimit: 250_000,
		Log:      Log{Level: "info", Format: "text"},
		Request: Request{MaxConnections: 10_000, MaxHeaderBytes: 32 << 10, MaxBodyBytes: 64 << 20,
			HeaderTimeout: 10 * time.Second},
	}
}
