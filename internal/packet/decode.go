package packet

import (
	"encoding/binary"
	"net/netip"

	"github.com/go-faster/errors"

	"guavaloom.example/guavaloom/internal/flow"
)

// Errors of Decode. Reason maps them to metric labels.
var (
	ErrTruncated = errors.New("packet is shorter than its headers declare")
	ErrVersion   = errors.New("not an IPv4 or IPv6 packet")
	ErrHeader    = errors.New("malformed header")
	ErrFragment  = errors.New("IP fragment")
	ErrProtocol  = errors.New("transport protocol is neither TCP nor UDP")
)

// TCP flags (RFC 9293, section 3.1).
const (
	FIN = 1 << 0
	SYN = 1 << 1
	RST = 1 << 2
	ACK = 1 << 4
)

// IANA protocol numbers.
const (
	protoHopByHop    = 0
	protoIPv4        = 4
	protoTCP         = 6
	protoUDP         = 17
	protoIPv6        = 41
	protoRouting     = 43
	protoFragment    = 44
	protoDestOptions = 60
)

const (
	ipv4HeaderMin = 20
	ipv6HeaderLen = 40
	tcpHeaderMin  = 20
	udpHeaderLen  = 8
	// maxExtensions is the largest number of IPv6 extension headers in a packet.
	maxExtensions = 8
)

// Header holds the decoded header fields that steering uses.
type Header struct {
	Key flow.Key
	// Length is the length of the IP packet in bytes, without trailing padding.
	Length int
	// Transport is the offset of the TCP or UDP header in bytes.
	Transport int
	// TCPFlags holds the low eight TCP flag bits; 0 for UDP.
	TCPFlags uint8
}

// IsInitialSYN reports whether the packet opens a TCP connection (SYN without ACK).
func (h *Header) IsInitialSYN() bool { return h.TCPFlags&(SYN|ACK) == SYN }

// Decode reads the headers of the IP packet in b (RFC 791, RFC 8200, RFC 9293,
// RFC 768). It doesn't allocate. Fragments are rejected: only the first one
// contains the ports, so the fragments of a packet could reach different targets.
// h is valid only when the error is nil.
func Decode(b []byte, h *Header) error {
	if len(b) == 0 {
		return ErrTruncated
	}
	switch b[0] >> 4 {
	case 4:
		return decodeIPv4(b, h)
	case 6:
		return decodeIPv6(b, h)
	}
	return ErrVersion
}

func decodeIPv4(b []byte, h *Header) error {
	if len(b) < ipv4HeaderMin {
		return ErrTruncated
	}
	ihl := int(b[0]&0x0f) * 4
	total := int(binary.BigEndian.Uint16(b[2:4]))
	if ihl < ipv4HeaderMin || total < ihl {
		return ErrHeader
	}
	if total > len(b) {
		return ErrTruncated
	}
	const moreFragmentsAndOffset = 0x3fff
	if binary.BigEndian.Uint16(b[6:8])&moreFragmentsAndOffset != 0 {
		return ErrFragment
	}
	h.Key.Src = netip.AddrFrom4([4]byte(b[12:16]))
	h.Key.Dst = netip.AddrFrom4([4]byte(b[16:20]))
	return decodeTransport(b[:total], ihl, b[9], h)
}

func decodeIPv6(b []byte, h *Header) error {
	if len(b) < ipv6HeaderLen {
		return ErrTruncated
	}
	total := ipv6HeaderLen + int(binary.BigEndian.Uint16(b[4:6]))
	if total > len(b) {
		return ErrTruncated
	}
	h.Key.Src = netip.AddrFrom16([16]byte(b[8:24]))
	h.Key.Dst = netip.AddrFrom16([16]byte(b[24:40]))
	b = b[:total]
	next, off, err := skipExtensions(b, b[6], ipv6HeaderLen)
	if err != nil {
		return err
	}
	return decodeTransport(b, off, next, h)
}

// skipExtensions skips IPv6 extension headers (RFC 8200, section 4) and returns
// the protocol and offset of the transport header.
func skipExtensions(b []byte, next uint8, off int) (uint8, int, error) {
	for range maxExtensions {
		switch next {
		case protoHopByHop, protoRouting, protoDestOptions:
			if len(b) < off+8 {
				return 0, 0, ErrTruncated
			}
			next, off = b[off], off+8+int(b[off+1])*8
		case protoFragment:
			if len(b) < off+8 {
				return 0, 0, ErrTruncated
			}
			const offsetAndMore = 0xfff9
			if binary.BigEndian.Uint16(b[off+2:])&offsetAndMore != 0 {
				return 0, 0, ErrFragment
			}
			next, off = b[off], off+8 // atomic fragment (RFC 6946): contains the whole packet
		default:
			return next, off, nil
		}
	}
	return 0, 0, ErrHeader
}

func decodeTransport(b []byte, off int, proto uint8, h *Header) error {
	if off > len(b) {
		return ErrTruncated
	}
	t := b[off:]
	h.Length, h.Transport, h.TCPFlags = len(b), off, 0
	switch proto {
	case protoTCP:
		if len(t) < tcpHeaderMin {
			return ErrTruncated
		}
		size := int(t[12]>>4) * 4
		if size < tcpHeaderMin {
			return ErrHeader
		}
		if size > len(t) {
			return ErrTruncated
		}
		h.TCPFlags = t[13]
	case protoUDP:
		if len(t) < udpHeaderLen {
			return ErrTruncated
		}
		size := int(binary.BigEndian.Uint16(t[4:6]))
		if size < udpHeaderLen {
			return ErrHeader
		}
		if size > len(t) {
			return ErrTruncated
		}
	default:
		return ErrProtocol
	}
	h.Key.SrcPort = binary.BigEndian.Uint16(t[0:2])
	h.Key.DstPort = binary.BigEndian.Uint16(t[2:4])
	h.Key.Protocol = proto
	return nil
}

// Reason returns the metric label for an error of Decode or Decapsulate.
func Reason(err error) string {
	switch {
	case err == nil:
		return ""
	case errors.Is(err, ErrTruncated):
		return "truncated"
	case errors.Is(err, ErrVersion):
		return "ip_version"
	case errors.Is(err, ErrHeader):
		return "malformed_header"
	case errors.Is(err, ErrFragment):
		return "fragment"
	case errors.Is(err, ErrProtocol):
		return "transport_protocol"
	case errors.Is(err, ErrEncapsulation):
		return "encapsulation"
	}
	return "other"
}
