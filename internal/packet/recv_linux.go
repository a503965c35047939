package packet

import (
	"encoding/binary"
	"net"
	"net/netip"
	"os"
	"syscall"
	"unsafe"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

// mmsghdr is struct mmsghdr of recvmmsg(2).
type mmsghdr struct {
	hdr unix.Msghdr
	len uint32
	_   [4]byte
}

// reader receives datagrams in batches into preallocated buffers.
type reader struct {
	raw     syscall.RawConn
	headers []mmsghdr
	vectors []unix.Iovec
	sources []unix.RawSockaddrInet6
	buffers [][]byte
	refused []netip.AddrPort // destinations with ECONNREFUSED since the last takeRefused

	received    int
	errno       unix.Errno
	receiveFunc func(fd uintptr) bool
}

func newReader(conn *net.UDPConn, batch, size int) (*reader, error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return nil, err
	}
	r := &reader{
		raw:     raw,
		headers: make([]mmsghdr, batch),
		vectors: make([]unix.Iovec, batch),
		sources: make([]unix.RawSockaddrInet6, batch),
		buffers: make([][]byte, batch),
	}
	r.receiveFunc = r.receiveBatch
	if err := reportErrors(raw); err != nil {
		return nil, err
	}
	memory := make([]byte, batch*size)
	for i := range r.headers {
		r.buffers[i] = memory[i*size : (i+1)*size : (i+1)*size]
		r.vectors[i].Base = &r.buffers[i][0]
		r.vectors[i].SetLen(size)
		r.headers[i].hdr.Iov = &r.vectors[i]
		r.headers[i].hdr.SetIovlen(1)
		r.headers[i].hdr.Name = (*byte)(unsafe.Pointer(&r.sources[i]))
	}
	return r, nil
}

// receiveBatch is called by the runtime poller when the socket may be readable.
func (r *reader) receiveBatch(fd uintptr) bool {
	for i := range r.headers {
		r.headers[i].hdr.Namelen = unix.SizeofSockaddrInet6
	}
	for {
		n, _, errno := unix.Syscall6(unix.SYS_RECVMMSG, fd, uintptr(unsafe.Pointer(&r.headers[0])),
			uintptr(len(r.headers)), unix.MSG_DONTWAIT, 0, 0)
		if errno == unix.EINTR {
			continue
		}
		r.received, r.errno = int(n), errno
		return errno != unix.EAGAIN
	}
}

// read waits for datagrams or for an error of an earlier datagram. It stores the
// received payloads in in, which must have room for a batch. Datagrams longer than
// a buffer are dropped and counted as oversized.
func (r *reader) read(in []Datagram) (n int, oversized int, err error) {
	if err := r.raw.Read(r.receiveFunc); err != nil {
		return 0, 0, err
	}
	if r.errno != 0 {
		if r.pendingError(r.errno) {
			return 0, 0, nil
		}
		return 0, 0, os.NewSyscallError("recvmmsg", r.errno)
	}
	for i := range r.received {
		if r.headers[i].hdr.Flags&unix.MSG_TRUNC != 0 {
			oversized++
			continue
		}
		in[n] = Datagram{Data: r.buffers[i][:r.headers[i].len], From: addrPortOf(&r.sources[i])}
		n++
	}
	return n, oversized, nil
}

// reportErrors makes the kernel queue ICMP errors for sent datagrams; by default
// it doesn't report them on an unconnected UDP socket.
func reportErrors(raw syscall.RawConn) error {
	var err4, err6 error
	err := raw.Control(func(fd uintptr) {
		err4 = unix.SetsockoptInt(int(fd), unix.IPPROTO_IP, unix.IP_RECVERR, 1)
		err6 = unix.SetsockoptInt(int(fd), unix.IPPROTO_IPV6, unix.IPV6_RECVERR, 1)
	})
	if err != nil {
		return err
	}
	if err4 != nil && err6 != nil {
		return os.NewSyscallError("setsockopt", err4)
	}
	return nil
}

// pendingError reports whether an error of a receive or send call was caused by an
// earlier datagram. The kernel returns such an error once, from the next call on
// the socket, whatever that call does. pendingError also records the destinations
// that refused a datagram.
func (r *reader) pendingError(err error) bool {
	var errno unix.Errno
	if !errors.As(err, &errno) {
		return false
	}
	switch errno {
	case unix.ECONNREFUSED, unix.EHOSTUNREACH, unix.ENETUNREACH, unix.EPROTO:
	default:
		return false
	}
	return r.collectErrors()
}

// collectErrors empties the socket's error queue and reports whether it had any
// entries. It records at most BatchSize refusals.
func (r *reader) collectErrors() (found bool) {
	_ = r.raw.Control(func(fd uintptr) {
		for r.readErrorQueue(fd) {
			found = true
		}
	})
	return found
}

// readErrorQueue takes one entry from the socket's error queue (ip(7),
// IP_RECVERR) and reports whether there was one. The entry's msg_name is the
// destination of the failed datagram.
func (r *reader) readErrorQueue(fd uintptr) bool {
	var name unix.RawSockaddrInet6
	var oob [256]byte
	var hdr unix.Msghdr
	hdr.Name, hdr.Namelen = (*byte)(unsafe.Pointer(&name)), unix.SizeofSockaddrInet6
	hdr.Control = &oob[0]
	hdr.SetControllen(len(oob))
	_, _, errno := unix.Syscall(unix.SYS_RECVMSG, fd, uintptr(unsafe.Pointer(&hdr)), unix.MSG_ERRQUEUE|unix.MSG_DONTWAIT)
	if errno != 0 {
		return false
	}
	if len(r.refused) < BatchSize && isConnectionRefused(oob[:hdr.Controllen]) {
		r.refused = append(r.refused, addrPortOf(&name))
	}
	return true
}

// isConnectionRefused reports whether the control messages of an error queue entry
// contain ECONNREFUSED. The error number is the first field of sock_extended_err.
func isConnectionRefused(oob []byte) bool {
	messages, err := unix.ParseSocketControlMessage(oob)
	if err != nil {
		return false
	}
	for _, m := range messages {
		if (m.Header.Type == unix.IP_RECVERR || m.Header.Type == unix.IPV6_RECVERR) && len(m.Data) >= 4 {
			return unix.Errno(binary.NativeEndian.Uint32(m.Data)) == unix.ECONNREFUSED
		}
	}
	return false
}

// takeRefused copies the recorded refusals to to, returns it, and clears the record.
func (r *reader) takeRefused(to []netip.AddrPort) []netip.AddrPort {
	to = append(to[:0], r.refused...)
	r.refused = r.refused[:0]
	return to
}

// addrPortOf converts a socket address from the kernel's format.
func addrPortOf(sa *unix.RawSockaddrInet6) netip.AddrPort {
	port := binary.BigEndian.Uint16((*[2]byte)(unsafe.Pointer(&sa.Port))[:])
	if sa.Family == unix.AF_INET {
		sa4 := (*unix.RawSockaddrInet4)(unsafe.Pointer(sa))
		return netip.AddrPortFrom(netip.AddrFrom4(sa4.Addr), port)
	}
	return netip.AddrPortFrom(netip.AddrFrom16(sa.Addr).Unmap(), port)
}
