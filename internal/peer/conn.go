package peer

import (
	"net"
	"sync/atomic"

	"github.com/rcrowley/go-metrics"
)

// meter counts the bytes of all connections by lane and charges those written to
// control connections to the control budget.
type meter struct {
	budget *budget
	lanes  [2]struct{ sent, received metrics.Counter } // control, data
}

// Lanes separate the connections for control messages, which are charged to the
// budget, from those for messages of class Data.
const (
	controlLane = 0
	dataLane    = 1
)

// meteredConn counts bytes below TLS: the TCP payload, without TCP/IP headers.
type meteredConn struct {
	net.Conn
	meter *meter
	lane  atomic.Int32
	// verifiedGeneration is the generation of the credentials against which the peer's
	// certificate was last verified.
	verifiedGeneration atomic.Uint64
	// reads counts successful reads of all connections of a link; nil on servers.
	reads *atomic.Uint64
}

func (c *meteredConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.meter.lanes[c.lane.Load()].received.Inc(int64(n))
	if n > 0 && c.reads != nil {
		c.reads.Add(1)
	}
	return n, err
}

func (c *meteredConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	lane := c.lane.Load()
	c.meter.lanes[lane].sent.Inc(int64(n))
	if lane == controlLane {
		c.meter.budget.charge(n)
	}
	return n, err
}

// meteredListener wraps accepted connections.
type meteredListener struct {
	net.Listener
	meter *meter
}

func (l *meteredListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &meteredConn{Conn: c, meter: l.meter}, nil
}
