package peer

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// connStates tracks the accepted connections, so that a stop that takes too long can say
// which of them were in use.
type connStates struct {
	mu   sync.Mutex
	open map[net.Conn]connState
}

type connState struct {
	state http.ConnState
	since time.Time
}

// record is the ConnState callback of the server.
func (c *connStates) record(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(c.open, conn)
		return
	}
	c.open[conn] = connState{state, time.Now()}
}

// String lists the open connections with their state and the time since its last change.
func (c *connStates) String() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []string
	for conn, s := range c.open {
		list = append(list, fmt.Sprintf("%s %s for %s", conn.RemoteAddr(), s.state, time.Since(s.since).Round(time.Millisecond)))
	}
	slices.Sort(list)
	return strings.Join(list, ", ")
}
