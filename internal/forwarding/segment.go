package forwarding

import (
	"github.com/cespare/xxhash/v2"

	"guavaloom.example/guavaloom/internal/view"
)

// FlowID identifies a flow by the address and port of its two ends.
type FlowID struct {
	Client, Service view.Endpoint
}

// Hash returns a hash of the flow. All instances compute the same value.
func (f FlowID) Hash() uint64 {
	var b [12]byte
	copy(b[0:], f.Client.Addr[:])
	copy(b[4:], f.Service.Addr[:])
	b[8], b[9] = byte(f.Client.Port>>8), byte(f.Client.Port)
	b[10], b[11] = byte(f.Service.Port>>8), byte(f.Service.Port)
	return xxhash.Sum64(b[:])
}

// String returns "client>service".
func (f FlowID) String() string { return f.Client.String() + ">" + f.Service.String() }

// Segment is the decoded header of a client's packet, and its data.
type Segment struct {
	Flow               FlowID
	SYN, ACK, FIN, RST bool
	// Seq is the sequence number of the first byte of the data. Ack is the next byte that
	// the client expects; on a SYN it counts the earlier transmissions.
	Seq, Ack uint32
	// Token is the value that was written into the flow's first packet; 0 is none.
	Token uint32
	Data  []byte
}

// Codec reads and writes the packets of a platform. The buffers passed to PutKey and
// PutReset must hold at least MaxHeader bytes.
type Codec interface {
	Decode(b []byte) (s Segment, ok bool)
	SetToken(b []byte, token uint32)
	PutKey(b []byte, key uint64) []byte
	PutReset(b []byte, flow FlowID, seq uint32) []byte
}

// MaxHeader is the size in bytes of a buffer for PutKey and PutReset.
const MaxHeader = 64

// Verdict says how a packet is handled.
type Verdict uint8

// Verdicts.
const (
	// Drop discards the packet without an answer.
	Drop Verdict = iota
	// Forward sends the packet to the target.
	Forward
	// Reset resets the flow at the client, which may then retry.
	Reset
	// Hold buffers the packet until the view is complete, shortly after the start.
	Hold
)

// String returns the verdict's name in lower case.
func (v Verdict) String() string {
	switch v {
	case Drop:
		return "drop"
	case Forward:
		return "forward"
	case Reset:
		return "reset"
	case Hold:
		return "hold"
	}
	return "unknown"
}

// Reason says why a packet was not simply forwarded by its token.
type Reason string

// Reasons of decisions.
const (
	// Placed: the first packet of a flow was given a target.
	Placed Reason = "placed"
	// Repeated: a retransmission of the first packet went to the same target.
	Repeated Reason = "repeated"
	// Moved: a retransmission of the first packet went to another target, since the first
	// target was silent.
	Moved Reason = "moved"
	// NoRoute: the endpoint has no route.
	NoRoute Reason = "no_route"
	// RouteUnconfirmed: the endpoint has no route, but the configuration may be outdated.
	RouteUnconfirmed Reason = "route_unsure"
	// NoTarget: the route's services have no target that accepts new flows.
	NoTarget Reason = "no_target"
	// Evacuated: the targets that could serve the flow are in data centres that are evacuated.
	Evacuated Reason = "evacuated"
	// NoHome: the targets that could serve the flow are outside the route's home regions.
	NoHome Reason = "no_home"
	// Cold: the targets that could serve the flow have just started and may not get more flows now.
	Cold Reason = "cold"
	// Overloaded: most targets of the service answer too late for the route, or with admission by
	// class, the service has no room for the flow's class.
	Overloaded Reason = "overloaded"
	// LinkFull: the instance's own link has no room for the upload.
	LinkFull Reason = "link_full"
	// NotReady: the configuration, the targets or the evacuations have not been received yet.
	NotReady Reason = "not_ready"
	// TargetEnded: the flow's target has ended.
	TargetEnded Reason = "target_ended"
	// UnknownTarget: the token belongs to no target known to this instance.
	UnknownTarget Reason = "unknown_target"
	// NoToken: a packet of an existing flow carries no token.
	NoToken Reason = "no_token"
	// FromTarget: the packet has the form of one sent by a target.
	FromTarget Reason = "from_target"
	// Malformed: the header can't be decoded.
	Malformed Reason = "malformed"
)

// Decision is the outcome for one packet.
type Decision struct {
	Verdict Verdict
	// Reason is empty for a packet that was forwarded by its token.
	Reason Reason
	Target *view.Target
	// Token is to be written into the packet unless it is 0.
	Token uint32
	// Seq is the sequence number of a reset.
	Seq uint32
	// Route is the route of a first packet, if any.
	Route *view.Route
	// Load is the load on which the choice of the target was based.
	Load LoadReport
	// LocalEvacuated is set if the flow was placed while the targets of the own data centre
	// could not be used because it is evacuated.
	LocalEvacuated bool
	// HeldBack is set if a cold target of the own data centre could not be considered because
	// no allowance was left.
	HeldBack bool
}
