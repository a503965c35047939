package rollout

import (
	"guavaloom.example/guavaloom/internal/bundle"
	"guavaloom.example/guavaloom/internal/instance"
	"guavaloom.example/guavaloom/internal/objectstore"
	"guavaloom.example/guavaloom/internal/zone"
)

// Message is a message between two nodes: Digest, Want, Parts or Ack.
type Message interface{ message() }

// Digest announces the bundle that the sender holds; a zero Revision means none. A
// receiver with a higher revision answers with its own Digest, one with a lower
// revision with a Want.
type Digest struct {
	Revision zone.Revision `cbor:"1,keyasint"`
	Digest   bundle.Digest `cbor:"2,keyasint"`
}

// Want requests the manifest of a bundle, if Parts is empty, or some of its parts.
type Want struct {
	Digest bundle.Digest   `cbor:"1,keyasint"`
	Parts  []bundle.Digest `cbor:"2,keyasint,omitempty"`
	// Have is the digest of the bundle that the sender holds, so that the answer
	// can include the changed parts with the manifest.
	Have bundle.Digest `cbor:"3,keyasint"`
}

// Parts answers a Want.
type Parts struct {
	Manifest []byte   `cbor:"1,keyasint,omitempty"`
	Parts    [][]byte `cbor:"2,keyasint,omitempty"`
}

// Ack reports to the zone's leader what the sender holds and refers to.
type Ack struct {
	Held zone.Revision `cbor:"1,keyasint"`
	// InForce is the revision by which the sender routes.
	InForce zone.Revision `cbor:"2,keyasint"`
	// Reason says why InForce is lower than Held; empty if it is not.
	Reason string `cbor:"3,keyasint,omitempty"`
	// Referred lists address uses of the table and pins that the held bundle does not have.
	Referred []bundle.AddressUse `cbor:"4,keyasint,omitempty"`
	// Truncated is set when Referred is incomplete; no address is released then.
	Truncated bool `cbor:"5,keyasint,omitempty"`
	// StoreOlder is set while the store shows an older revision than Held.
	StoreOlder bool `cbor:"6,keyasint,omitempty"`
	// StoreEpoch is the epoch of the store that the sender last read; 0 if it does not read it.
	StoreEpoch uint64 `cbor:"7,keyasint,omitempty"`
}

func (Digest) message() {}
func (Want) message()   {}
func (Parts) message()  {}
func (Ack) message()    {}

// Action is an instruction from a node to its caller: Send, StoreCall, Adopt, Listed or Report.
type Action interface{ action() }

// Send sends a message to a peer; loss is tolerated.
type Send struct {
	To      instance.Ref
	Message Message
}

// StoreCall requests a store call whose result goes to Node.StoreResult.
type StoreCall struct{ Call objectstore.Call }

// Adopt announces the bundle that the instance now holds. Addresses in Withheld must
// not be used yet, since a table or pin still refers to them under another service.
// Adopt is emitted again for the same bundle when Withheld changes.
type Adopt struct {
	Bundle   *bundle.Bundle
	Withheld []bundle.AddressUse
}

// Listed carries the platform's list of instances after a successful poll.
type Listed struct{ Instances []objectstore.Instance }

// Report is an event to log and count.
type Report struct {
	Reason ReportReason
	Detail string
}

func (Send) action()      {}
func (StoreCall) action() {}
func (Adopt) action()     {}
func (Listed) action()    {}
func (Report) action()    {}

// ReportReason names a Report; metrics count reports by reason.
type ReportReason string

// Reasons of reports.
const (
	// StoreOlder: the store shows an older revision than the one held.
	StoreOlder ReportReason = "store_older"
	// StoreRestored: the store was restored from an older copy.
	StoreRestored ReportReason = "store_restored"
	// RefusedBundle: a manifest or bundle failed verification.
	RefusedBundle ReportReason = "refused_bundle"
	// SameRevision: two different bundles have one revision.
	SameRevision ReportReason = "same_revision"
	// StoreFailed: a store call failed.
	StoreFailed ReportReason = "store_failed"
	// WatchSilent: a watch passed its liveness deadline.
	WatchSilent ReportReason = "watch_silent"
)
