package target

import "net/netip"

// ID is the name of a target, unique within a bundle.
type ID string

// State is a target's state in the zone table.
type State uint8

// Target states.
const (
	// Joining targets are listed but not yet warm: they get no traffic.
	Joining State = iota
	// Active targets get new work according to their weight.
	Active
	// Draining targets keep their open flows and get no new work.
	Draining
	// Ejected targets failed their health checks and get no new work.
	Ejected
)

// String returns the state's name in lower case.
func (s State) String() string {
	switch s {
	case Joining:
		return "joining"
	case Active:
		return "active"
	case Draining:
		return "draining"
	case Ejected:
		return "ejected"
	}
	return "unknown"
}

// FullWeight is the weight of a warm target without corrections, in percent.
const FullWeight = 100

// Target is one backend server as listed in a bundle.
type Target struct {
	ID   ID             `cbor:"1,keyasint"`
	Addr netip.AddrPort `cbor:"2,keyasint"`
	Zone string         `cbor:"3,keyasint"`
	// Slots is how many requests the target runs concurrently (request services).
	Slots int `cbor:"4,keyasint"`
	// Drain is set when the bundle asks that the target get no new work.
	Drain bool `cbor:"5,keyasint"`
}
