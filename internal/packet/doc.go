// Package packet implements the packet path of an instance: it decodes IP packets
// to flow keys, adds and removes GUE encapsulation, and receives and sends UDP
// datagrams in batches.
//
// An unprivileged process can't open raw sockets, so the network fabric
// encapsulates client packets in GUE over UDP and sends them to the packet address
// of any instance of the zone. The instance forwards the inner packet unchanged,
// again in GUE, to the target, which removes the encapsulation and replies to the
// client directly (direct server return). Packets that one instance relays to
// another arrive on the relay address with a relay header instead of the GUE
// header.
//
// The decoder reads fixed offsets instead of using gopacket: it needs only the
// five-tuple and the TCP flags. BenchmarkDecode compares the two.
//
// Receiving uses recvmmsg through golang.org/x/sys/unix on Linux, because
// ipv4.PacketConn.ReadBatch allocates a net.Addr (two objects) for each
// datagram. Sending uses ipv4.PacketConn.WriteBatch with preallocated addresses.
package packet
