package packet

import "github.com/go-faster/errors"

// GUEPort is the UDP port that IANA assigns to GUE.
const GUEPort = 6080

// GUEHeaderLen is the length in bytes of the GUE header that Encapsulate adds.
const GUEHeaderLen = 4

// ErrEncapsulation reports a datagram that is not a GUE data message with an IP
// packet.
var ErrEncapsulation = errors.New("not a GUE data message with an IP packet")

// Variant 0 headers without extensions: variant, control bit and header length
// in the first byte, then the IANA protocol number and 16 flag bits.
var (
	gueHeader4 = [GUEHeaderLen]byte{0, protoIPv4, 0, 0}
	gueHeader6 = [GUEHeaderLen]byte{0, protoIPv6, 0, 0}
)

// GUEHeader returns the GUE variant 0 header for the given IP packet, as
// described in draft-ietf-intarea-gue-09, section 3. The caller must not
// change it.
func GUEHeader(inner []byte) []byte {
	if len(inner) > 0 && inner[0]>>4 == 6 {
		return gueHeader6[:]
	}
	return gueHeader4[:]
}

// Encapsulate appends a GUE datagram with the given IP packet to dst.
func Encapsulate(dst, inner []byte) []byte {
	return append(append(dst, GUEHeader(inner)...), inner...)
}

// Decapsulate returns the IP packet inside a GUE datagram, as a subslice of b. It
// accepts variant 0 data messages that carry IPv4 or IPv6, and variant 1, where
// the IP packet follows the UDP header directly (draft-ietf-intarea-gue-09,
// sections 3 and 4). Datagrams with flags are rejected: flags announce extensions,
// and the draft requires a receiver to drop datagrams with unknown ones.
func Decapsulate(b []byte) ([]byte, error) {
	if len(b) == 0 {
		return nil, ErrTruncated
	}
	switch b[0] >> 6 {
	case 0:
		return decapsulateVariant0(b)
	case 1:
		return b, checkIPVersion(b, b[0]>>4)
	}
	return nil, ErrEncapsulation
}

func decapsulateVariant0(b []byte) ([]byte, error) {
	if len(b) < GUEHeaderLen {
		return nil, ErrTruncated
	}
	const control, length = 0x20, 0x1f
	if b[0]&control != 0 || b[2] != 0 || b[3] != 0 {
		return nil, ErrEncapsulation
	}
	size := GUEHeaderLen + int(b[0]&length)*4
	if size >= len(b) {
		return nil, ErrTruncated
	}
	switch b[1] {
	case protoIPv4:
		return b[size:], checkIPVersion(b[size:], 4)
	case protoIPv6:
		return b[size:], checkIPVersion(b[size:], 6)
	}
	return nil, ErrEncapsulation
}

// checkIPVersion checks that the inner packet has the given IP version, 4 or 6.
func checkIPVersion(inner []byte, version uint8) error {
	if v := inner[0] >> 4; v != version || (v != 4 && v != 6) {
		return ErrEncapsulation
	}
	return nil
}
