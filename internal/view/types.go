package view

import (
	"fmt"
	"net/netip"
	"time"

	"guavaloom.example/guavaloom/internal/service"
	"guavaloom.example/guavaloom/internal/target"
)

// Kind says whether the requests of a route may be repeated and how large they are.
type Kind uint8

// Kinds of routes.
const (
	// Idempotent requests are small and may run more than once.
	Idempotent Kind = iota
	// AtMostOnce requests are small and must not run twice.
	AtMostOnce
	// Upload requests are large and must not run twice.
	Upload
	// Download requests have large answers and may run more than once.
	Download
)

// Repeatable reports whether requests of the kind may run more than once.
func (k Kind) Repeatable() bool { return k == Idempotent || k == Download }

// String returns the kind's name in lower case.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case AtMostOnce:
		return "once"
	case Upload:
		return "upload"
	case Download:
		return "download"
	}
	return "unknown"
}

// Endpoint is an IPv4 address with a port. It holds no pointers, so that large
// tables keyed by it cost the garbage collector nothing.
type Endpoint struct {
	Addr [4]byte
	Port uint16
}

// EndpointOf converts an IPv4 address; ok is false for other families.
func EndpointOf(a netip.AddrPort) (e Endpoint, ok bool) {
	if !a.Addr().Unmap().Is4() {
		return Endpoint{}, false
	}
	return Endpoint{a.Addr().Unmap().As4(), a.Port()}, true
}

// AddrPort returns the endpoint in the standard library's form.
func (e Endpoint) AddrPort() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(e.Addr), e.Port)
}

// String returns "IP:PORT".
func (e Endpoint) String() string { return e.AddrPort().String() }

// Share is the weight of a service among a route's new flows.
type Share struct {
	Service service.ID
	Weight  int
}

// HighestPriority is the highest priority of a route.
const HighestPriority = 0

// Route defines where new flows to an endpoint go.
type Route struct {
	Name     string
	Endpoint Endpoint
	Shares   []Share // at least one, with a positive sum of weights
	Kind     Kind
	// Objective is the latency that callers expect, Deadline the time after which they give
	// up.
	Objective, Deadline time.Duration
	// Priority of the route's requests; HighestPriority is served before all others.
	Priority int
	// Homes are the regions whose targets may serve the requests; empty if all may.
	Homes []string
}

// Config is one version of the configuration.
type Config struct {
	Version uint64
	Routes  []Route
	// IdleTimeout is how long a flow may be idle before it is forgotten; 0 if not given.
	IdleTimeout time.Duration
	// ColdRates are the requests a second that a cold target of a service bears. Services
	// without a limit are missing.
	ColdRates map[service.ID]float64
}

// TargetEntry is what a target publishes about itself.
type TargetEntry struct {
	ID target.ID
	// Key identifies the target in the header of packets sent to it, so that a target that
	// took over an address ignores packets meant for the previous one.
	Key     uint64
	Service service.ID
	Addr    netip.AddrPort
	Zone    string
	// Slots is how many requests the target runs concurrently.
	Slots    int
	Draining bool
	// WarmUp is the remaining time for which the target is slow after its start.
	WarmUp time.Duration
	// Sequence counts what the target wrote since its start.
	Sequence uint64
	// Incarnation is the start time of the target's process in Unix milliseconds, which
	// changes when it restarts under the same ID. 0 if not given.
	Incarnation int64
}

// sameExceptCounts reports whether two entries differ at most in what counts by itself.
func (e *TargetEntry) sameExceptCounts(other *TargetEntry) bool {
	a, b := *e, *other
	a.Sequence, a.WarmUp = b.Sequence, b.WarmUp
	return a == b
}

// Target is a target as the view knows it.
type Target struct {
	TargetEntry
	// Token identifies the target in the packets of its flows.
	Token uint32
	// TokenConflict marks a target whose token is owned by another target.
	TokenConflict bool
	// Version is the store's version of the entry.
	Version uint64
	// WarmAt is when the target reaches its full speed.
	WarmAt time.Duration
	// Unreadable marks a target whose current entry can't be decoded. It accepts no new
	// flows and keeps those that it has.
	Unreadable bool
	// Removed marks a target whose entry was found removed, at RemovedAt.
	Removed   bool
	RemovedAt time.Duration

	claim *claim // of a restored store; nil if none
}

// String returns "SERVICE/ID" for logs.
func (t *Target) String() string { return fmt.Sprintf("%s/%s", t.Service, t.ID) }
