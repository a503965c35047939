package flow

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// Key identifies a flow by its five-tuple. It is comparable and holds no pointers
// beyond those of netip's interned zones.
type Key struct {
	Src, Dst         netip.Addr
	SrcPort, DstPort uint16
	Protocol         uint8
}

// Hash returns a 64-bit hash of the key (xxHash64). All instances compute the same value.
func (k Key) Hash() uint64 {
	var b [37]byte
	s, d := k.Src.As16(), k.Dst.As16()
	copy(b[0:16], s[:])
	copy(b[16:32], d[:])
	binary.BigEndian.PutUint16(b[32:], k.SrcPort)
	binary.BigEndian.PutUint16(b[34:], k.DstPort)
	b[36] = k.Protocol
	return xxhash.Sum64(b[:])
}
