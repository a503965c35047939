package packet

import (
	"context"
	"net"
	"net/netip"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// testTimeout stops a test that hangs; no assertion depends on it.
const testTimeout = 30 * time.Second

func listenUDP(t testing.TB) *net.UDPConn {
	t.Helper()
	c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IP{127, 0, 0, 1}})
	must.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	must.NoError(t, c.SetReadBuffer(socketBufferBytes))
	must.NoError(t, c.SetReadDeadline(time.Now().Add(testTimeout)))
	return c
}

func addrOf(c *net.UDPConn) netip.AddrPort { return c.LocalAddr().(*net.UDPAddr).AddrPort() }

// startReceiver runs a receiver; the returned function stops it.
func startReceiver(t testing.TB, workers int, newHandler func(int) Handler) (*Receiver, func()) {
	t.Helper()
	r, err := Listen(t.Context(), netip.MustParseAddrPort("127.0.0.1:0"), workers)
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- r.Run(ctx, newHandler) }()
	return r, func() {
		cancel()
		must.NoError(t, <-done)
		must.NoError(t, r.Close())
	}
}

// Guards against lost, mixed-up or truncated datagrams with several workers, and
// against workers that don't stop when the context ends.
func TestReceiverForwards(t *testing.T) {
	sink := listenUDP(t)
	r, stop := startReceiver(t, 3, func(int) Handler {
		return func(b *Batch) {
			for _, d := range b.In {
				b.Send(addrOf(sink), []byte("head:"), d.Data)
			}
		}
	})
	sent := map[string]bool{}
	for i := range 20 {
		c := listenUDP(t)
		msg := strings.Repeat("x", i*400)
		_, err := c.WriteToUDPAddrPort([]byte(msg), r.Addr())
		must.NoError(t, err)
		sent["head:"+msg] = true
	}
	buf := make([]byte, MaxDatagram)
	for range 20 {
		n, err := sink.Read(buf)
		must.NoError(t, err)
		must.MapContainsKey(t, sent, string(buf[:n]))
		delete(sent, string(buf[:n]))
	}
	stop()
	must.Eq(t, 20, r.Stats().Received.Load())
	must.Eq(t, 20, r.Stats().Sent.Load())
}

// Guards against forwarding a truncated datagram, and against a failed send that
// blocks the datagrams queued after it.
func TestReceiverSkipsBadDatagrams(t *testing.T) {
	sink := listenUDP(t)
	r, stop := startReceiver(t, 1, func(int) Handler {
		return func(b *Batch) {
			for _, d := range b.In {
				b.Send(netip.MustParseAddrPort("[2001:db8::1]:9"), nil, d.Data) // wrong family
				b.Send(addrOf(sink), nil, d.Data)
			}
		}
	})
	c := listenUDP(t)
	for _, n := range []int{MaxDatagram + 1, 3} {
		_, err := c.WriteToUDPAddrPort(make([]byte, n), r.Addr())
		must.NoError(t, err)
	}
	buf := make([]byte, MaxDatagram)
	n, err := sink.Read(buf)
	must.NoError(t, err)
	must.Eq(t, 3, n)
	stop()
	must.Eq(t, 1, r.Stats().Oversized.Load())
	must.Eq(t, 1, r.Stats().SendErrors.Load())
	must.Eq(t, 1, r.Stats().Sent.Load())
}

// Guards against allocations in the packet loop, which would bring garbage
// collection into the packet path.
func TestReceiverAllocatesNothing(t *testing.T) {
	const rounds, perRound = 50, 40
	sink := listenUDP(t)
	var handled atomic.Int64
	r, stop := startReceiver(t, 1, func(int) Handler {
		to := addrOf(sink)
		return func(b *Batch) {
			var h Header
			for _, d := range b.In {
				if inner, err := Decapsulate(d.Data); err == nil && Decode(inner, &h) == nil {
					b.Send(to, GUEHeader(inner), inner)
				}
			}
			handled.Add(int64(len(b.In)))
		}
	})
	defer stop()
	c := listenUDP(t)
	p := Encapsulate(nil, samplePackets(t)["tcp4 later"])
	to, buf := r.Addr(), make([]byte, MaxDatagram)
	allocs := testing.AllocsPerRun(rounds, func() {
		for range perRound {
			_, _ = c.WriteToUDPAddrPort(p, to)
		}
		for range perRound {
			_, _, _ = sink.ReadFromUDPAddrPort(buf)
		}
	})
	must.Less(t, 1, allocs/perRound)
	must.Eq(t, (rounds+1)*perRound, handled.Load())
}

// Guards against a closed relay port that is not reported, and against its pending
// error causing the loss of a datagram to another destination.
func TestReceiverReportsRefusals(t *testing.T) {
	if runtime.GOOS != "linux" {
		t.Skip("the error queue is read on Linux only")
	}
	closed := listenUDP(t)
	refusing := addrOf(closed)
	must.NoError(t, closed.Close())
	sink := listenUDP(t)
	refused := make(chan netip.AddrPort, 100)
	r, stop := startReceiver(t, 1, func(int) Handler {
		return func(b *Batch) {
			for _, a := range b.Refused {
				refused <- a
			}
			for _, d := range b.In {
				b.Send(refusing, nil, d.Data)
				b.Send(addrOf(sink), nil, d.Data)
			}
		}
	})
	c := listenUDP(t)
	buf := make([]byte, MaxDatagram)
	for range 10 {
		_, err := c.WriteToUDPAddrPort([]byte("x"), r.Addr())
		must.NoError(t, err)
		_, err = sink.Read(buf)
		must.NoError(t, err)
	}
	select {
	case a := <-refused:
		must.Eq(t, refusing, a)
	case <-time.After(testTimeout):
		t.Fatal("no refusal reported")
	}
	stop()
	must.Eq(t, 0, r.Stats().SendErrors.Load())
}
