package steering

import (
	"encoding/binary"

	"github.com/go-faster/errors"

	"guavaloom.example/guavaloom/internal/zone"
)

// Kind is the kind of a relay message.
type Kind uint8

// Relay kinds.
const (
	// ToHome relays a packet to the flow's home. A target is a proposal that
	// the home uses if it has no pin.
	ToHome Kind = iota + 1
	// Copy relays a packet and the flow's pin to the backup.
	Copy
	// Ask relays a packet to the home or backup under an older home set, which
	// forwards it if it has an accepted pin.
	Ask
	// NoPin returns the packet of an Ask, since the receiver has no accepted pin;
	// a target is a proposal.
	NoPin
	// Pin reports the pin of the backup or a former holder to the home. It
	// carries no packet and also acknowledges a Copy.
	Pin
)

// String returns the kind's name.
func (k Kind) String() string {
	if k == 0 || k > Pin {
		return "unknown"
	}
	return [...]string{"to_home", "copy", "ask", "no_pin", "pin"}[k-1]
}

// Flags of a relay header.
const (
	// FlagFallback marks a packet sent to the backup because the home is suspected.
	FlagFallback uint8 = 1 << iota
	// FlagAccepted marks a Copy whose pin an earlier backup has accepted.
	FlagAccepted
	// FlagRepin marks a Copy that replaces the pin of a flow that has ended.
	FlagRepin
	// FlagShort marks tags of which only the lower 32 bits are sent. It is set
	// if these bits are unique among the services, the targets of each service
	// and the instances of the sender's table.
	FlagShort

	flagsKnown = FlagFallback | FlagAccepted | FlagRepin | FlagShort
	// wireTarget and wireIPv4 are set in encoded headers only: the header has a
	// target, and the source is an IPv4 address.
	wireTarget uint8 = 1 << 6
	wireIPv4   uint8 = 1 << 7
)

const (
	headerFormat = 2
	kindBits     = 4 // the first byte holds the format above the kind
	// HeaderSize is the largest encoded size of a RelayHeader in bytes; a
	// typical Copy has 24.
	HeaderSize = 3 + binary.MaxVarintLen32 + 8 + 3*8 + 18
	// MaxHops bounds the relays of one packet: six Asks and their answers, and
	// one detour at each end.
	MaxHops = 16
)

// RelayHeader precedes a relayed packet. Instances, services and targets are
// identified by tags, hashes of their identity, so that a receiver with another
// table never confuses two of them.
type RelayHeader struct {
	Kind  Kind
	Flags uint8
	Hops  uint8
	// Asked is the position of the former holder that was asked last, see
	// firstFormerPosition.
	Asked uint8
	// HomeSet is the number of the sender's current home set; an answer to Ask
	// repeats the number of the Ask.
	HomeSet uint32
	// Version is the table version of the sender of the Ask. Only Ask and NoPin
	// carry it.
	Version zone.Version
	// Service and Target are tags; a Target of 0 means none.
	Service, Target uint64
	// From is the tag of the instance that receives the answers.
	From   uint64
	Cookie uint64
	// Src and SrcPort are the flow's source; the service determines the rest of
	// its key. Only Pin, which has no packet, carries them.
	Src     [16]byte
	SrcPort uint16
}

// Errors of DecodeHeader.
var (
	ErrShortHeader  = errors.New("relay header: too short")
	ErrHeaderFormat = errors.New("relay header: unknown format")
	ErrHeaderKind   = errors.New("relay header: unknown kind")
	ErrHeaderFlags  = errors.New("relay header: unknown flags")
)

var ipv4Prefix = [12]byte{10: 0xff, 11: 0xff}

func (k Kind) hasVersion() bool { return k == Ask || k == NoPin }

// Append appends the encoded header to b.
func (h *RelayHeader) Append(b []byte) []byte {
	flags := h.Flags
	if h.Target != 0 {
		flags |= wireTarget
	}
	ipv4 := h.Kind == Pin && [12]byte(h.Src[:12]) == ipv4Prefix
	if ipv4 {
		flags |= wireIPv4
	}
	b = append(b, headerFormat<<kindBits|byte(h.Kind), flags, h.Hops<<3|h.Asked&7)
	b = binary.AppendUvarint(b, uint64(h.HomeSet))
	b = binary.BigEndian.AppendUint64(b, h.Cookie)
	b = h.appendTag(b, h.Service)
	if h.Target != 0 {
		b = h.appendTag(b, h.Target)
	}
	b = h.appendTag(b, h.From)
	switch {
	case h.Kind.hasVersion():
		b = binary.BigEndian.AppendUint64(b, h.Version.Term)
		return binary.BigEndian.AppendUint64(b, h.Version.Seq)
	case h.Kind != Pin:
		return b
	case ipv4:
		b = append(b, h.Src[12:]...)
	default:
		b = append(b, h.Src[:]...)
	}
	return binary.BigEndian.AppendUint16(b, h.SrcPort)
}

func (h *RelayHeader) appendTag(b []byte, tag uint64) []byte {
	if h.Flags&FlagShort != 0 {
		return binary.BigEndian.AppendUint32(b, uint32(tag))
	}
	return binary.BigEndian.AppendUint64(b, tag)
}

// DecodeHeader decodes a header and returns the packet that follows it. Short
// tags are not expanded; Steerer.Relayed does that.
func DecodeHeader(b []byte) (RelayHeader, []byte, error) {
	var h RelayHeader
	if len(b) < 3 {
		return h, nil, ErrShortHeader
	}
	if b[0]>>kindBits != headerFormat {
		return h, nil, ErrHeaderFormat
	}
	h.Kind, h.Hops, h.Asked = Kind(b[0]&(1<<kindBits-1)), b[2]>>3, b[2]&7
	if h.Kind < ToHome || h.Kind > Pin {
		return h, nil, ErrHeaderKind
	}
	wire := b[1]
	h.Flags = wire &^ (wireTarget | wireIPv4)
	if h.Flags&^flagsKnown != 0 || wire&wireIPv4 != 0 && h.Kind != Pin {
		return h, nil, ErrHeaderFlags
	}
	r := reader{rest: b[3:]}
	h.HomeSet = r.uvarint32()
	h.Cookie = r.number(8)
	size := 8
	if h.Flags&FlagShort != 0 {
		size = 4
	}
	h.Service = r.number(size)
	if wire&wireTarget != 0 {
		if h.Target = r.number(size); h.Target == 0 && r.err == nil {
			r.err = ErrHeaderFormat
		}
	}
	h.From = r.number(size)
	h.readTail(&r, wire&wireIPv4 != 0)
	if r.err != nil {
		return RelayHeader{}, nil, r.err
	}
	return h, r.rest, nil
}

// readTail reads the fields that only some kinds have.
func (h *RelayHeader) readTail(r *reader, ipv4 bool) {
	switch {
	case h.Kind.hasVersion():
		h.Version.Term, h.Version.Seq = r.number(8), r.number(8)
	case h.Kind == Pin && ipv4:
		copy(h.Src[:], ipv4Prefix[:])
		copy(h.Src[12:], r.take(4))
		h.SrcPort = uint16(r.number(2))
	case h.Kind == Pin:
		copy(h.Src[:], r.take(16))
		h.SrcPort = uint16(r.number(2))
	}
}

// reader decodes the fields of a datagram and keeps the first error.
type reader struct {
	rest []byte
	err  error
}

func (r *reader) take(n int) []byte {
	if r.err == nil && len(r.rest) < n {
		r.err = ErrShortHeader
	}
	if r.err != nil {
		return nil
	}
	b := r.rest[:n]
	r.rest = r.rest[n:]
	return b
}

// number reads a big-endian number of n bytes.
func (r *reader) number(n int) uint64 {
	var x uint64
	for _, c := range r.take(n) {
		x = x<<8 | uint64(c)
	}
	return x
}

func (r *reader) uvarint32() uint32 {
	x, n := binary.Uvarint(r.rest)
	switch {
	case n == 0:
		r.err = ErrShortHeader
	case n < 0 || x > 1<<32-1:
		r.err = ErrHeaderFormat
	default:
		r.rest = r.rest[n:]
	}
	return uint32(x)
}
