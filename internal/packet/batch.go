package packet

import (
	"net"
	"net/netip"

	"golang.org/x/net/ipv4"

	"guavaloom.example/guavaloom/internal/invariant"
)

const (
	// BatchSize is how many datagrams one system call receives or sends.
	BatchSize = 64
	// MaxDatagram is the largest UDP payload in bytes that is received; it covers
	// jumbo frames.
	MaxDatagram = 9216
	// MaxHeader is the largest header in bytes that Send accepts. The relay header
	// of package steering has 76 bytes.
	MaxHeader = 96
)

// Datagram is a received UDP payload. Data is valid until the handler returns.
type Datagram struct {
	Data []byte
	From netip.AddrPort
}

// Batch holds the datagrams of one receive call and the datagrams queued for
// sending. It belongs to one worker, which reuses it.
type Batch struct {
	In []Datagram
	// Refused lists destinations that answered an earlier datagram with an ICMP
	// port unreachable error (Linux only). ICMP errors can be forged or lost, so
	// an entry is only a hint. In may be empty when Refused isn't.
	Refused []netip.AddrPort

	conn         *ipv4.PacketConn
	out          []ipv4.Message
	queued       int
	destinations []net.UDPAddr
	ips          [][16]byte
	headers      [][MaxHeader]byte
	stats        *Stats
	reader       *reader // reads the socket's error queue
}

func newBatch(conn *net.UDPConn, rd *reader, stats *Stats) *Batch {
	b := &Batch{
		conn:         ipv4.NewPacketConn(conn),
		out:          make([]ipv4.Message, BatchSize),
		destinations: make([]net.UDPAddr, BatchSize),
		ips:          make([][16]byte, BatchSize),
		headers:      make([][MaxHeader]byte, BatchSize),
		stats:        stats,
		reader:       rd,
	}
	for i := range b.out {
		b.out[i].Buffers = make([][]byte, 2)
		b.out[i].Addr = &b.destinations[i]
	}
	return b
}

// Send queues a datagram that consists of header and body. The header, at most
// MaxHeader bytes, is copied. The body is not copied and must stay unchanged until
// the handler returns; it may be part of a received datagram. If the batch is
// full, Send first sends the queued datagrams.
func (b *Batch) Send(to netip.AddrPort, header, body []byte) {
	invariant.Check(len(header) <= MaxHeader, "packet.header_fits", "header of %d bytes", len(header))
	if b.queued == len(b.out) {
		b.flush()
	}
	i := b.queued
	b.queued++
	b.setAddr(i, to)
	n := copy(b.headers[i][:], header)
	b.out[i].Buffers[0] = b.headers[i][:n]
	b.out[i].Buffers[1] = body
}

// setAddr stores the destination without allocating.
func (b *Batch) setAddr(i int, to netip.AddrPort) {
	addr := to.Addr().Unmap()
	if addr.Is4() {
		ip := addr.As4()
		copy(b.ips[i][:], ip[:])
		b.destinations[i].IP = b.ips[i][:4]
	} else {
		b.ips[i] = addr.As16()
		b.destinations[i].IP = b.ips[i][:]
	}
	b.destinations[i].Port = int(to.Port())
}

// flush sends all queued datagrams. A datagram that the kernel rejects is counted
// and skipped, so that one bad destination doesn't block the others.
func (b *Batch) flush() {
	for rest := b.out[:b.queued]; len(rest) > 0; {
		n, err := b.conn.WriteBatch(rest, 0)
		if n > 0 {
			b.stats.Sent.Add(uint64(n))
		}
		if err != nil && n <= 0 && b.reader.pendingError(err) {
			continue // the kernel has not tried to send this datagram
		}
		if err == nil && n < len(rest) {
			b.reader.collectErrors() // sendmmsg(2) stops at an error without reporting it
		}
		if err != nil && n <= 0 {
			b.stats.SendErrors.Add(1)
			n = 1
		}
		rest = rest[max(n, 0):]
	}
	b.queued = 0
}
