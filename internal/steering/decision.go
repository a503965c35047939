package steering

import (
	"net/netip"

	"guavaloom.example/guavaloom/internal/flow"
	"guavaloom.example/guavaloom/internal/instance"
	"guavaloom.example/guavaloom/internal/service"
	"guavaloom.example/guavaloom/internal/zone"
)

// Packet holds the properties of a received packet that steering depends on.
type Packet struct {
	Key flow.Key
	// First marks a TCP segment with SYN and without ACK. It is ignored for UDP.
	First bool
}

// Action is what the caller does with a packet.
type Action uint8

// Actions.
const (
	// Drop discards the packet; Decision.Reason says why.
	Drop Action = iota
	// Forward sends the packet to the target.
	Forward
	// Relay sends the packet with Decision.Header to another instance.
	Relay
	// Done requires nothing: the input was a message without a packet.
	Done
)

// String returns the action's name in lower case.
func (v Action) String() string {
	return [...]string{"drop", "forward", "relay", "done"}[v]
}

// Reason says why a packet was dropped.
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
	// HomeSuspected: the home is suspected and no other instance may select the target.
	HomeSuspected
	// PinTableFull: a new flow needs a pin and none can be evicted.
	PinTableFull
	// PeerBehind: this instance has an older home set than the sender, and no pin.
	PeerBehind
	// HopLimit: the packet was relayed MaxHops times.
	HopLimit
	// BadCookie: the cookie in the relay header differs from that of this zone's lease grants.
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
	// To is the receiver of a Relay. If nil, the packet goes back to the instance
	// that relayed it, which is not in the roster of this instance's table.
	To     *instance.Ref
	Header RelayHeader
	// Reply, if set, is sent without a packet to ReplyTo, or to the instance that
	// relayed the packet if ReplyTo is nil.
	Reply   *RelayHeader
	ReplyTo *instance.Ref
}

func drop(r Reason) Decision { return Decision{Action: Drop, Reason: r, Target: zone.NoTarget} }
