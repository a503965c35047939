package instance

import (
	"cmp"
	"fmt"
	"net/netip"
)

// ID is the fleet-wide unique name of an instance, taken from its settings.
type ID string

// Incarnation orders the runs of an instance with the same ID. It is the
// start time in nanoseconds since the Unix epoch, so it increases with each restart.
type Incarnation uint64

// Ref names one run of an instance and the addresses at which peers reach it.
type Ref struct {
	ID          ID             `cbor:"1,keyasint"`
	Incarnation Incarnation    `cbor:"2,keyasint"`
	Zone        string         `cbor:"3,keyasint"`
	Control     netip.AddrPort `cbor:"4,keyasint"` // TCP, connect-go
	Relay       netip.AddrPort `cbor:"5,keyasint"` // UDP, packets relayed between instances
	Request     netip.AddrPort `cbor:"6,keyasint"` // TCP, HTTP request listener
}

// Same reports whether r and o refer to the same run of the same instance.
func (r Ref) Same(o Ref) bool { return r.ID == o.ID && r.Incarnation == o.Incarnation }

// Compare orders references by ID, then incarnation.
func (r Ref) Compare(o Ref) int {
	if c := cmp.Compare(r.ID, o.ID); c != 0 {
		return c
	}
	return cmp.Compare(r.Incarnation, o.Incarnation)
}

// String returns "id@incarnation".
func (r Ref) String() string { return fmt.Sprintf("%s@%d", r.ID, r.Incarnation) }
