package zone

import (
	"cmp"
	"fmt"
	"time"

	"guavaloom.example/guavaloom/internal/instance"
	"guavaloom.example/guavaloom/internal/service"
	"guavaloom.example/guavaloom/internal/target"
)

// Version is the version of a zone table. The higher term is newer; within a term, the
// higher sequence number.
type Version struct {
	Term uint64 `cbor:"1,keyasint"`
	Seq  uint64 `cbor:"2,keyasint"`
}

// Compare returns -1, 0 or 1.
func (v Version) Compare(o Version) int {
	if c := cmp.Compare(v.Term, o.Term); c != 0 {
		return c
	}
	return cmp.Compare(v.Seq, o.Seq)
}

// String returns "term.seq".
func (v Version) String() string { return fmt.Sprintf("%d.%d", v.Term, v.Seq) }

// Revision identifies a bundle. The higher epoch is newer; within an epoch, the higher
// number.
type Revision struct {
	Epoch  uint64 `cbor:"1,keyasint"`
	Number uint64 `cbor:"2,keyasint"`
}

// Compare returns -1, 0 or 1.
func (r Revision) Compare(o Revision) int {
	if c := cmp.Compare(r.Epoch, o.Epoch); c != 0 {
		return c
	}
	return cmp.Compare(r.Number, o.Number)
}

// String returns "epoch.number".
func (r Revision) String() string { return fmt.Sprintf("%d.%d", r.Epoch, r.Number) }

// TargetIndex is the position of a target in ServiceTable.Targets. Indexes are
// never reused while a table or a pin may refer to them.
type TargetIndex uint16

// NoTarget marks the absence of a target.
const NoTarget TargetIndex = 0xffff

// TargetEntry is a target in the zone table.
type TargetEntry struct {
	Target target.Target `cbor:"1,keyasint"`
	State  target.State  `cbor:"2,keyasint"`
	// Removed marks an entry whose target has left the bundle and that no
	// generation and no pin refers to. The entry is kept so that indexes stay stable.
	Removed bool `cbor:"3,keyasint"`
}

// Weight is the weight of a target in a generation, in percent of the full weight.
type Weight struct {
	Target  TargetIndex `cbor:"1,keyasint"`
	Percent uint16      `cbor:"2,keyasint"`
}

// Generation is one assignment of weights to targets, ordered by target index.
// The map from slots to targets is a pure function of it.
type Generation struct {
	Number  uint32   `cbor:"1,keyasint"`
	Weights []Weight `cbor:"2,keyasint"`
}

// Phase is the progress of a service's change of generation.
type Phase uint8

// Phases.
const (
	// Stable: Base equals Current, and only slots with remaining pins are touched.
	Stable Phase = iota
	// Prepare: flows of touched slots are steered through their home, and unpinned flows
	// use the target that Base assigns.
	Prepare
	// Move: flows of touched slots are steered through their home, and new flows use the
	// target that Current assigns.
	Move
)

// String returns the phase's name in lower case.
func (p Phase) String() string {
	switch p {
	case Stable:
		return "stable"
	case Prepare:
		return "prepare"
	case Move:
		return "move"
	}
	return "unknown"
}

// ServiceTable is the state of one service in one zone. Request services have
// targets and no generations.
type ServiceTable struct {
	Service service.Service `cbor:"1,keyasint"` // without Targets
	Targets []TargetEntry   `cbor:"2,keyasint"`
	// Slots is the number of slots of every generation's map (a prime).
	Slots uint32     `cbor:"3,keyasint"`
	Phase Phase      `cbor:"4,keyasint"`
	Base  Generation `cbor:"5,keyasint"`
	// Current is the newest generation that new flows may use. During a Prepare that
	// follows a Move it is the generation in force before the one being prepared.
	Current Generation `cbor:"6,keyasint"`
	// Next is the generation being prepared; it has no weights in other phases.
	Next Generation `cbor:"7,keyasint"`
	// Touched has a bit set for each slot whose flows are steered through their home.
	Touched Bitmap `cbor:"8,keyasint"`
}

// HomeSet is an ordered set of instances. Each flow and each idempotency key has one of
// them as its home.
type HomeSet struct {
	Number  uint32         `cbor:"1,keyasint"`
	Members []instance.Ref `cbor:"2,keyasint"`
}

// MaxHomeSets is the maximum number of home sets in a table, including the current one.
const MaxHomeSets = 4

// Table is one version of a zone's state. A table is immutable once installed.
type Table struct {
	Zone    string   `cbor:"1,keyasint"`
	Version Version  `cbor:"2,keyasint"`
	Bundle  Revision `cbor:"3,keyasint"`
	// Roster lists the members, each of which must acknowledge each version.
	Roster []instance.Ref `cbor:"4,keyasint"`
	// Homes lists the recent home sets, newest first.
	Homes    []HomeSet      `cbor:"5,keyasint"`
	Services []ServiceTable `cbor:"6,keyasint"` // ordered by service ID
}

// Service returns the table of a service, or nil.
func (t *Table) Service(id service.ID) *ServiceTable {
	for i := range t.Services {
		if t.Services[i].Service.ID == id {
			return &t.Services[i]
		}
	}
	return nil
}

// DesiredService is the state of one service to which the zone should converge.
type DesiredService struct {
	Service service.Service // without Targets
	Targets []DesiredTarget // ordered by target ID
}

// DesiredTarget is a target with the state and weight that follow from its health and
// the bundle.
type DesiredTarget struct {
	Target  target.Target
	State   target.State
	Percent uint16 // 0 unless State is Active
}

// Desired is the leader's input: the state that its steps should reach.
type Desired struct {
	Bundle   Revision
	Services []DesiredService // ordered by service ID
	// Gone lists instances that the platform reports as gone.
	Gone []instance.Ref
}

// TouchedReport is a member's report to the leader: which slots of a service still have
// pins to a target other than the one that Current assigns, and which targets have pins.
type TouchedReport struct {
	Service service.ID    `cbor:"1,keyasint"`
	Slots   Bitmap        `cbor:"2,keyasint"`
	Pinned  []TargetIndex `cbor:"3,keyasint"`
	// Generation is the number of the Current generation that pins were compared with.
	Generation uint32 `cbor:"4,keyasint"`
}

// Timings of the zone protocol.
const (
	// Lease is how long a member may steer after it sent the last renewal that was
	// answered.
	Lease = 6 * time.Second
	// RenewInterval is the time between two lease renewals.
	RenewInterval = time.Second
	// ElectionTimeout is how long members are without a leader before they vote.
	ElectionTimeout = 2 * time.Second
)
