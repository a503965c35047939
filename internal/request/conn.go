package request

import (
	"net"
	"net/http/httptrace"
	"sync"

	"github.com/go-faster/errors"
)

var errSealed = errors.New("connection sealed: its request was reported as not sent")

// trackedConn counts writes, so that an attempt is reported as not sent only if nothing
// was written. Once sealed, it accepts no writes.
type trackedConn struct {
	net.Conn
	mu     sync.Mutex
	writes int
	sealed bool
}

// Write counts the write before it starts, so that sealAt also sees one in progress.
func (c *trackedConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	sealed := c.sealed
	c.writes++
	c.mu.Unlock()
	if sealed {
		return 0, errSealed
	}
	return c.Conn.Write(b)
}

// sealAt blocks further writes and returns true if the write count is still n.
// Blocking is needed because the transport may still hold the request in a buffer.
func (c *trackedConn) sealAt(n int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writes != n {
		return false
	}
	c.sealed = true
	return true
}

// attemptConns records the connections that the transport assigned to one attempt.
type attemptConns struct {
	mu           sync.Mutex
	conns        []*trackedConn
	writesBefore []int // write count of each connection before the attempt
	ended        bool
}

func (u *attemptConns) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		c, ok := i.Conn.(*trackedConn)
		if !ok {
			return
		}
		c.mu.Lock()
		n := c.writes
		c.mu.Unlock()
		u.mu.Lock()
		defer u.mu.Unlock()
		u.conns, u.writesBefore = append(u.conns, c), append(u.writesBefore, n)
		if u.ended {
			c.sealAt(n)
		}
	}}
}

// seal returns true if the attempt wrote nothing, and blocks later writes.
func (u *attemptConns) seal() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.ended = true
	unsent := true
	for i, c := range u.conns {
		unsent = c.sealAt(u.writesBefore[i]) && unsent
	}
	return unsent
}

// close closes the connections, so that late bytes can't be read as the answer to
// another request.
func (u *attemptConns) close() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, c := range u.conns {
		c.Close()
	}
}
