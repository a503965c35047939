package rollout

import (
	"guavaloom.example/guavaloom/internal/bundle"
	"guavaloom.example/guavaloom/internal/instance"
	"guavaloom.example/guavaloom/internal/objectstore"
	"guavaloom.example/guavaloom/internal/zone"
)

// Message is a message between two nodes: Digest, Want, Parts or Ack.
type Message interface{ message() }

// Digest says which bundle the sender holds; a zero Revision means none. It is
// answered by a Digest if the receiver holds a higher one, and by Want if lower.
type Digest struct {
	Revision zone.Revision `cbor:"1,keyasint"`
	Digest   bundle.Digest `cbor:"2,keyasint"`
}

// Want asks for the manifest of a bundle (no Parts) or for some of its parts.
type Want struct {
	Digest bundle.Digest   `cbor:"1,keyasint"`
	Parts  []bundle.Digest `cbor:"2,keyasint,omitempty"`
	// Have is the digest of the bundle that the sender holds, so that the answer
	// can bring the changed parts with the manifest.
	Have bundle.Digest `cbor:"3,keyasint"`
}

// Parts answers a Want.
type Parts struct {
	Manifest []byte   `cbor:"1,keyasint,omitempty"`
	Parts    [][]byte `cbor:"2,keyasint,omitempty"`
}

// Ack tells the zone's leader what the sender holds and uses.
type Ack struct {
	Held zone.Revision `cbor:"1,keyasint"`
	// InForce is the revision by which the sender steers.
	InForce zone.Revision `cbor:"2,keyasint"`
	// Reason says why InForce is behind Held; empty if it is not.
	Reason string `cbor:"3,keyasint,omitempty"`
	// Referred lists address uses of the table and pins that the held bundle does not have.
	Referred []bundle.AddressUse `cbor:"4,keyasint,omitempty"`
	// Truncated is set when Referred had to be cut: nothing is released then.
	Truncated bool `cbor:"5,keyasint,omitempty"`
	// StoreOlder is set while the store shows an older revision than Held.
	StoreOlder bool `cbor:"6,keyasint,omitempty"`
}

func (Digest) message() {}
func (Want) message()   {}
func (Parts) message()  {}
func (Ack) message()    {}

// Action is what a node asks its owner to do: Send, StoreCall, Adopt, Listed or Report.
type Action interface{ action() }

// Send sends a message to a peer; loss is tolerated.
type Send struct {
	To      instance.Ref
	Message Message
}

// StoreCall makes a store call and passes the result to Node.StoreResult.
type StoreCall struct{ Call objectstore.Call }

// Adopt gives the bundle that the instance now holds. Addresses in Withheld must
// not be used yet: a table or pin refers to them under another service. Adopt
// comes again for the same bundle when Withheld changes.
type Adopt struct {
	Bundle   *bundle.Bundle
	Withheld []bundle.AddressUse
}

// Listed gives the platform's list of instances after a successful poll.
type Listed struct{ Instances []objectstore.Instance }

// Report is an event worth a log line and a counter.
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
	// RefusedBundle: a manifest or bundle failed verification.
	RefusedBundle ReportReason = "refused_bundle"
	// SameRevision: two different bundles have one revision.
	SameRevision ReportReason = "same_revision"
	// StoreFailed: a store call failed.
	StoreFailed ReportReason = "store_failed"
	// WatchSilent: a watch passed its liveness deadline.
	WatchSilent ReportReason = "watch_silent"
)
