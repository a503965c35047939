//go:build !linux

package packet

import (
	"net"
	"net/netip"

	"golang.org/x/net/ipv4"
)

// reader receives datagrams with ReadBatch, which allocates an address for each.
type reader struct {
	conn     *ipv4.PacketConn
	messages []ipv4.Message
}

func newReader(conn *net.UDPConn, batch, size int) (*reader, error) {
	r := &reader{conn: ipv4.NewPacketConn(conn), messages: make([]ipv4.Message, batch)}
	for i := range r.messages {
		r.messages[i].Buffers = [][]byte{make([]byte, size)}
	}
	return r, nil
}

func (r *reader) read(in []Datagram) (n int, oversized int, err error) {
	got, err := r.conn.ReadBatch(r.messages, 0)
	if err != nil {
		return 0, 0, err
	}
	for i := range got {
		m := &r.messages[i]
		if m.N == len(m.Buffers[0]) {
			oversized++ // may be truncated: ReadBatch doesn't report whether the datagram was longer
			continue
		}
		from := m.Addr.(*net.UDPAddr).AddrPort()
		in[n] = Datagram{Data: m.Buffers[0][:m.N], From: netip.AddrPortFrom(from.Addr().Unmap(), from.Port())}
		n++
	}
	return n, oversized, nil
}

// pendingError always reports false: ICMP errors are collected on Linux only.
func (r *reader) pendingError(error) bool { return false }

func (r *reader) collectErrors() bool { return false }

func (r *reader) takeRefused(to []netip.AddrPort) []netip.AddrPort { return to[:0] }
