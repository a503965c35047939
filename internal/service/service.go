package service

import (
	"net/netip"
	"time"

	"guavaloom.example/guavaloom/internal/target"
)

// ID is the name of a service, unique within a bundle.
type ID string

// Kind tells how a service's traffic is carried.
type Kind uint8

// Service kinds.
const (
	// Flow services are forwarded packet by packet; the target terminates the connection.
	Flow Kind = iota
	// Request services are HTTP services; an instance terminates the connection and
	// dispatches each request.
	Request
)

// Protocol is the transport protocol of a flow service, as an IANA protocol number.
type Protocol uint8

// Transport protocols.
const (
	TCP Protocol = 6
	UDP Protocol = 17
)

// Class is the priority class of a request. Lower values are more urgent.
type Class uint8

// Request classes.
const (
	Urgent Class = iota
	Normal
	Bulk
)

// Classes is the number of request classes.
const Classes = 3

// String returns the class's name in lower case.
func (c Class) String() string {
	switch c {
	case Urgent:
		return "urgent"
	case Normal:
		return "normal"
	case Bulk:
		return "bulk"
	}
	return "unknown"
}

// Route assigns a class to the requests whose method and path prefix match.
type Route struct {
	// Method is the HTTP method, or empty for all methods.
	Method string `cbor:"1,keyasint"`
	// Prefix is the path prefix; the longest matching prefix wins.
	Prefix string `cbor:"2,keyasint"`
	Class  Class  `cbor:"3,keyasint"`
	// Idempotent reports whether a request may safely run more than once.
	Idempotent bool `cbor:"4,keyasint"`
}

// Service is one service as described by a bundle.
type Service struct {
	ID   ID   `cbor:"1,keyasint"`
	Kind Kind `cbor:"2,keyasint"`
	// Address is where callers reach the service (flow: destination of the
	// packets; request: unused when Host is set).
	Address  netip.AddrPort `cbor:"3,keyasint"`
	Protocol Protocol       `cbor:"4,keyasint"`
	// Host is the HTTP host of a request service.
	Host string `cbor:"5,keyasint"`
	// IdleTimeout is how long a flow without packets still counts as open.
	IdleTimeout time.Duration `cbor:"6,keyasint"`
	// QuietPeriod is the maximum gap between two packets of an open UDP flow.
	QuietPeriod time.Duration `cbor:"7,keyasint"`
	// ColdStart is how long a new target takes to ramp up to its full weight.
	ColdStart time.Duration `cbor:"8,keyasint"`
	// Deadline is the time limit of requests that do not specify one.
	Deadline time.Duration `cbor:"9,keyasint"`
	// MaxBody is the maximum size of a request body in bytes.
	MaxBody int64           `cbor:"10,keyasint"`
	Routes  []Route         `cbor:"11,keyasint"`
	Targets []target.Target `cbor:"12,keyasint"`
	// HealthPath is the HTTP path probed on targets. If empty, the probe is a TCP connect.
	HealthPath string `cbor:"13,keyasint"`
}
