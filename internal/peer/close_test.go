package peer

import (
	"context"
	"encoding/binary"
	"io"
	"math/rand"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"guavaloom.example/guavaloom/internal/instance"
	"guavaloom.example/guavaloom/internal/metric"
)

// closeTestTimeout is shorter than the idle timeout of the server, so that a connection
// that is only closed as idle fails the test.
const closeTestTimeout = 20 * time.Second

// Guards against a stop that waits for a connection which was accepted before it, began
// HTTP/2 only after it, and never carries an exchange: the dial of an exchange that was
// given up meanwhile.
func TestCloseEndsConnectionThatBeginsDuringIt(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	tr, err := New(Config{Self: instance.Ref{ID: "a1", Zone: "galle"}, Listen: netip.MustParseAddrPort("127.0.0.1:0"), Zones: []string{"galle"},
		Budget: 1 << 20, Registry: NewRegistry(), Metrics: metric.NewSet(), Log: log, Jitter: rand.New(rand.NewSource(1))})
	must.NoError(t, err)
	served := make(chan error, 1)
	go func() { served <- tr.Serve() }()
	conn, err := net.Dial("tcp", tr.Addr().String())
	must.NoError(t, err)
	defer func() { _ = conn.Close() }()
	for tr.conns.String() == "" {
		time.Sleep(time.Millisecond)
	}

	closed := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), closeTestTimeout)
		defer cancel()
		closed <- tr.Close(ctx)
	}()
	must.NoError(t, <-served) // the listener is closed
	// Without this time the connection could begin before the others are told to end,
	// and the test would guard against nothing.
	time.Sleep(50 * time.Millisecond)
	_, err = io.WriteString(conn, "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"+"\x00\x00\x00\x04\x00\x00\x00\x00\x00") // preface and empty SETTINGS
	must.NoError(t, err)
	const goAway = 7
	must.True(t, readFramesUntil(conn, goAway))
	must.NoError(t, <-closed)
}

// readFramesUntil reads HTTP/2 frames until one of the given type, and reports false if the
// connection ends before.
func readFramesUntil(r io.Reader, kind byte) bool {
	var head [9]byte
	for {
		if _, err := io.ReadFull(r, head[:]); err != nil {
			return false
		}
		if _, err := io.CopyN(io.Discard, r, int64(binary.BigEndian.Uint32(head[:4])>>8)); err != nil {
			return false
		}
		if head[3] == kind {
			return true
		}
	}
}
