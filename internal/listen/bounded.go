package listen

import (
	"net"
	"net/netip"
	"sync"
)

// Limits bound the open connections of a listener.
type Limits struct {
	// Total limits all open connections, PerAddress those from one IP address, so that
	// one client can't use up all connections.
	Total, PerAddress int
}

// Bounded is a listener that closes connections beyond its limits immediately. Left in
// the accept queue, their clients would wait without a response.
type Bounded struct {
	net.Listener
	limits   Limits
	rejected func(from netip.Addr)

	mu         sync.Mutex // guards all fields below; no other lock is acquired while it is held
	open       int
	perAddress map[netip.Addr]int
}

// Bound wraps a TCP listener. It calls rejected for each connection that it closes
// because of the limits; rejected must not block.
func Bound(l net.Listener, limits Limits, rejected func(from netip.Addr)) *Bounded {
	return &Bounded{Listener: l, limits: limits, rejected: rejected, perAddress: map[netip.Addr]int{}}
}

// Accept implements net.Listener.
func (b *Bounded) Accept() (net.Conn, error) {
	for {
		c, err := b.Listener.Accept()
		if err != nil {
			return nil, err
		}
		from := clientAddr(c)
		if b.acquire(from) {
			return &conn{Conn: c, release: sync.OnceFunc(func() { b.release(from) })}, nil
		}
		_ = c.Close() // no data to lose: nothing was read or written
		b.rejected(from)
	}
}

func clientAddr(c net.Conn) netip.Addr {
	a, ok := c.RemoteAddr().(*net.TCPAddr)
	if !ok {
		return netip.Addr{}
	}
	return a.AddrPort().Addr().Unmap()
}

func (b *Bounded) acquire(from netip.Addr) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.open >= b.limits.Total || b.perAddress[from] >= b.limits.PerAddress {
		return false
	}
	b.open++
	b.perAddress[from]++
	return true
}

func (b *Bounded) release(from netip.Addr) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.open--
	if b.perAddress[from]--; b.perAddress[from] == 0 {
		delete(b.perAddress, from)
	}
}

// conn counts against the limits until it is closed.
type conn struct {
	net.Conn
	release func()
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.release()
	return c.Conn.Close()
}
