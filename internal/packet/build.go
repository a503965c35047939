package packet

import (
	"encoding/binary"

	"guavaloom.example/guavaloom/internal/flow"
)

// hopLimit is the TTL or hop limit of packets from Build.
const hopLimit = 64

// Build appends an IP packet of the flow to dst, for tests, the demo and
// benchmarks. Both addresses must be of one family. With protocol TCP (6) the
// packet carries tcpFlags and sequence numbers of 0; with any other protocol it
// has a UDP header. Checksums are valid (RFC 1071).
func Build(dst []byte, key flow.Key, tcpFlags uint8, payload []byte) []byte {
	size := udpHeaderLen
	if key.Protocol == protoTCP {
		size = tcpHeaderMin
	}
	start := len(dst)
	dst = appendIP(dst, key, size+len(payload))
	at := len(dst)
	dst = binary.BigEndian.AppendUint16(dst, key.SrcPort)
	dst = binary.BigEndian.AppendUint16(dst, key.DstPort)
	sum := at + 6 // offset of the checksum
	if key.Protocol == protoTCP {
		const window = 65535
		dst = append(dst, 0, 0, 0, 0, 0, 0, 0, 0, tcpHeaderMin/4<<4, tcpFlags)
		dst = binary.BigEndian.AppendUint16(dst, window)
		dst = append(dst, 0, 0, 0, 0)
		sum = at + 16
	} else {
		dst = binary.BigEndian.AppendUint16(dst, uint16(size+len(payload)))
		dst = append(dst, 0, 0)
	}
	dst = append(dst, payload...)
	binary.BigEndian.PutUint16(dst[sum:], transportChecksum(key, dst[at:]))
	if key.Src.Is4() {
		binary.BigEndian.PutUint16(dst[start+10:], foldChecksum(sumWords(0, dst[start:at])))
	}
	return dst
}

// appendIP appends the IP header, with the IPv4 checksum left at 0. length is the
// size in bytes of the IP payload.
func appendIP(dst []byte, key flow.Key, length int) []byte {
	src, to := key.Src.AsSlice(), key.Dst.AsSlice()
	if key.Src.Is4() {
		dst = append(dst, 0x45, 0)
		dst = binary.BigEndian.AppendUint16(dst, uint16(ipv4HeaderMin+length))
		dst = append(dst, 0, 0, 0, 0, hopLimit, key.Protocol, 0, 0)
	} else {
		dst = append(dst, 0x60, 0, 0, 0)
		dst = binary.BigEndian.AppendUint16(dst, uint16(length))
		dst = append(dst, key.Protocol, hopLimit)
	}
	return append(append(dst, src...), to...)
}

// transportChecksum covers the pseudo header (RFC 9293, section 3.1; RFC 8200,
// section 8.1) and the segment, whose checksum field is 0.
func transportChecksum(key flow.Key, segment []byte) uint16 {
	sum := sumWords(sumWords(0, key.Src.AsSlice()), key.Dst.AsSlice())
	sum += uint32(key.Protocol) + uint32(len(segment))
	c := foldChecksum(sumWords(sum, segment))
	if c == 0 && key.Protocol != protoTCP {
		return 0xffff // 0 means no checksum in UDP (RFC 768)
	}
	return c
}

// sumWords adds the big-endian 16-bit words of b to sum. The words of a 64 KB
// packet can't overflow 32 bits.
func sumWords(sum uint32, b []byte) uint32 {
	for ; len(b) >= 2; b = b[2:] {
		sum += uint32(binary.BigEndian.Uint16(b))
	}
	if len(b) == 1 {
		sum += uint32(b[0]) << 8
	}
	return sum
}

// foldChecksum folds the sum to 16 bits and returns its ones' complement.
func foldChecksum(sum uint32) uint16 {
	for sum > 0xffff {
		sum = sum&0xffff + sum>>16
	}
	return ^uint16(sum)
}
