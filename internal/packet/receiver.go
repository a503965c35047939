package packet

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

// socketBufferBytes is the requested receive buffer of a socket; the kernel may
// grant less. It holds about 50 ms of traffic at 1 Gbit/s.
const socketBufferBytes = 4 << 20

// maxConsecutiveReadErrors is the number of successive failed reads after which a
// worker returns the error, so that a broken socket doesn't cause a busy loop.
const maxConsecutiveReadErrors = 1000

// Stats counts datagrams. All fields are safe for concurrent use.
type Stats struct {
	Received, Sent, SendErrors, Oversized, ReadErrors atomic.Uint64
}

// Handler processes the datagrams of a batch and queues its output with
// Batch.Send. It runs on one worker and must not retain references to the batch.
type Handler func(*Batch)

// Receiver has one socket per worker, all bound to one address with SO_REUSEPORT.
// The kernel distributes the senders over the sockets by address and port.
type Receiver struct {
	conns []*net.UDPConn
	stats Stats
}

// Listen opens the sockets. With port 0 the kernel picks a port, which all
// workers share. A socket bound to an address of one family can send to targets of
// that family only; the IPv6 wildcard address allows both.
func Listen(ctx context.Context, addr netip.AddrPort, workers int) (*Receiver, error) {
	r := &Receiver{}
	for range max(workers, 1) {
		conn, err := listenReusePort(ctx, addr)
		if err != nil {
			return nil, errors.Join(errors.Wrapf(err, "listen for packets on %s", addr), r.Close())
		}
		r.conns = append(r.conns, conn)
		addr = netip.AddrPortFrom(addr.Addr(), r.Addr().Port())
	}
	return r, nil
}

func listenReusePort(ctx context.Context, addr netip.AddrPort) (*net.UDPConn, error) {
	lc := net.ListenConfig{Control: reusePort}
	pc, err := lc.ListenPacket(ctx, "udp", addr.String())
	if err != nil {
		return nil, err
	}
	conn := pc.(*net.UDPConn)
	if err := conn.SetReadBuffer(socketBufferBytes); err != nil {
		return nil, errors.Join(err, conn.Close())
	}
	return conn, nil
}

func reusePort(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	})
	return errors.Join(err, failed)
}

// Addr returns the address that the sockets are bound to.
func (r *Receiver) Addr() netip.AddrPort {
	a := r.conns[0].LocalAddr().(*net.UDPAddr).AddrPort()
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}

// Stats returns the counters of all workers.
func (r *Receiver) Stats() *Stats { return &r.stats }

// Close closes all sockets.
func (r *Receiver) Close() error {
	var all error
	for _, c := range r.conns {
		all = errors.Join(all, c.Close())
	}
	return all
}

// Run processes packets until ctx ends, then returns nil. It calls newHandler once
// for each worker. Run must be called at most once.
func (r *Receiver) Run(ctx context.Context, newHandler func(worker int) Handler) error {
	stop := context.AfterFunc(ctx, func() {
		for _, c := range r.conns {
			_ = c.SetReadDeadline(time.Unix(1, 0)) // unblocks the worker's read
		}
	})
	defer stop()
	failed := make([]error, len(r.conns))
	var wg sync.WaitGroup
	for i, c := range r.conns {
		wg.Go(func() { failed[i] = r.runWorker(ctx, c, newHandler(i)) })
	}
	wg.Wait()
	return errors.Join(failed...)
}

func (r *Receiver) runWorker(ctx context.Context, conn *net.UDPConn, handle Handler) error {
	rd, err := newReader(conn, BatchSize, MaxDatagram)
	if err != nil {
		return err
	}
	b := newBatch(conn, rd, &r.stats)
	in := make([]Datagram, BatchSize)
	for failures := 0; ctx.Err() == nil; {
		n, oversized, err := rd.read(in)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			r.stats.ReadErrors.Add(1)
			if failures++; failures > maxConsecutiveReadErrors {
				return errors.Wrap(err, "receive packets")
			}
			continue
		}
		failures = 0
		r.stats.Received.Add(uint64(n))
		if oversized > 0 {
			r.stats.Oversized.Add(uint64(oversized))
		}
		b.In, b.Refused = in[:n], rd.takeRefused(b.Refused)
		handle(b)
		b.flush()
	}
	return nil
}

// WriteTo sends one datagram outside a handler.
func (r *Receiver) WriteTo(b []byte, to netip.AddrPort) error {
	_, err := r.conns[0].WriteToUDPAddrPort(b, to)
	if err != nil {
		r.stats.SendErrors.Add(1)
		return err
	}
	r.stats.Sent.Add(1)
	return nil
}
