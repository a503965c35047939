package listen

import (
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// listenBounded returns a listener and a channel that receives the address of each
// rejected client.
func listenBounded(t *testing.T, l Limits) (*Bounded, <-chan netip.Addr) {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	rejected := make(chan netip.Addr, 100)
	b := Bound(inner, l, func(from netip.Addr) { rejected <- from })
	t.Cleanup(func() { _ = b.Close() })
	return b, rejected
}

// nextRejected waits for a rejection: it is reported after the connection was closed, so that
// the client may see the close first.
func nextRejected(t *testing.T, rejected <-chan netip.Addr) string {
	t.Helper()
	select {
	case from := <-rejected:
		return from.String()
	case <-time.After(time.Minute):
		t.Fatal("rejected connection was not reported")
		return ""
	}
}

// dial connects from a loopback address and reports whether the listener accepted the
// connection, by the byte that the accepting side sends.
func dial(t *testing.T, b *Bounded, from string) (c net.Conn, kept bool) {
	t.Helper()
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(from)}}
	c, err := d.Dial("tcp", b.Addr().String())
	must.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	one := make([]byte, 1)
	must.NoError(t, c.SetReadDeadline(time.Now().Add(time.Minute)))
	_, err = io.ReadFull(c, one)
	return c, err == nil
}

func openConnections(b *Bounded) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.open
}

// Guards against one client that takes all connections, and against a limit that is not
// released when connections end.
func TestConnectionsAreBounded(t *testing.T) {
	b, rejected := listenBounded(t, Limits{Total: 5, PerAddress: 3})
	accepted := make(chan net.Conn, 100)
	go func() {
		for {
			c, err := b.Accept()
			if err != nil {
				return
			}
			_, _ = c.Write([]byte{1}) // tells dial that the connection was accepted
			accepted <- c
		}
	}()
	for range 3 {
		_, kept := dial(t, b, "127.0.0.1")
		must.True(t, kept)
	}
	_, kept := dial(t, b, "127.0.0.1")
	must.False(t, kept)
	for range 2 {
		_, kept := dial(t, b, "127.0.0.2")
		must.True(t, kept)
	}
	_, kept = dial(t, b, "127.0.0.3")
	must.False(t, kept)
	must.Eq(t, 5, openConnections(b))
	must.Eq(t, "127.0.0.1", nextRejected(t, rejected))
	must.Eq(t, "127.0.0.3", nextRejected(t, rejected))
	for range 5 {
		c := <-accepted
		must.NoError(t, c.Close())
		_ = c.Close() // a second Close must not release again
	}
	must.Eq(t, 0, openConnections(b))
	_, kept = dial(t, b, "127.0.0.3")
	must.True(t, kept)
	must.Eq(t, 0, len(rejected))
}
