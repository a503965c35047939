package steering

import (
	"net/netip"

	"guavaloom.example/guavaloom/internal/flow"
	"guavaloom.example/guavaloom/internal/instance"
	"guavaloom.example/guavaloom/internal/service"
	"guavaloom.example/guavaloom/internal/zone"
)

// Packet is what steering needs to know of a received packet.
type Packet struct {
	Key flow.Key
	// First marks a TCP segment with SYN and without ACK. It is ignored for UDP.
	First bool
}

// Action tells the caller what to do with a packet.
type Action uint8

// Verbs.
const (
	// Drop discards the packet for Decision.Reason.
	Drop Action = iota
	// Forward sends the packet to the target.
	Forward
	// Relay sends the packet with Decision.Header to another instance.
	Relay
	// Done means that a message without packet was processed.
	Done
)

// String returns the verb's name in lower case.
func (v Action) String() string {
	return [...]string{"drop", "forward", "relay", "done"}[v]
}

// Reason tells why a packet was dropped.
type Reason uint8

// Drop reasonCount.
const (
	NoReason Reason = iota
	// NotReady: no table is installed.
	NotReady
	// LeaseLapsed: the instance may not steer until it has renewed its lease.
	LeaseLapsed
	// UnknownService: no service has the packet's destination.
	UnknownService
	// NoTarget: no target of the service has weight.
	NoTarget
	// HomeSuspected: the home is suspected and nobody else may decide.
	HomeSuspected
	// PinTableFull: a new flow needs a pin and none can be evicted.
	PinTableFull
	// PeerBehind: this instance has an older home set than the sender and no pin.
	PeerBehind
	// HopLimit: the packet was relayed too often.
	HopLimit
	// BadCookie: the relay header has not the cookie of this zone's grants.
	BadCookie
	// WrongService: the header names another service than the packet's destination.
	WrongService
	// UnknownTarget: the header names a target that the service does not have.
	UnknownTarget
	// TargetRemoved: the pin's target is no longer part of the service.
	TargetRemoved
	// BadKind: the header's kind is unknown.
	BadKind
	reasonCount
)

var reasonNames = [reasonCount]string{
	"none", "not_ready", "lease_lapsed", "unknown_service", "no_target", "home_suspected", "pin_table_full",
	"peer_behind", "hop_limit", "bad_cookie", "wrong_service", "unknown_target", "target_removed", "bad_kind",
}

// String returns the reason's name as used in metrics.
func (r Reason) String() string {
	if r >= reasonCount {
		return "unknown"
	}
	return reasonNames[r]
}

// Decision is the result for one packet or message.
type Decision struct {
	Action Action
	Reason Reason
	// Target and Addr are set for Forward.
	Target  zone.TargetIndex
	Service service.ID
	Addr    netip.AddrPort
	// To is the receiver of a Relay. It is nil when the receiver is the sender
	// of the relayed packet and not in the roster known here.
	To     *instance.Ref
	Header RelayHeader
	// Reply, if set, is sent without packet to ReplyTo, or to the sender of the
	// relayed packet when ReplyTo is nil.
	Reply   *RelayHeader
	ReplyTo *instance.Ref
}

func drop(r Reason) Decision { return Decision{Action: Drop, Reason: r, Target: zone.NoTarget} }
