package peer

import (
	"context"
	"io"
	"math/rand"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"guavaloom.example/guavaloom/internal/instance"
	"guavaloom.example/guavaloom/internal/metric"
)

// slowBody is a request body whose first read takes long. Reads do not synchronize, so that
// the race detector sees accesses of net/http that nothing else orders.
type slowBody struct{ delay time.Duration }

func (b *slowBody) Read([]byte) (int, error) { time.Sleep(b.delay); return 0, io.EOF }
func (b *slowBody) Close() error             { return nil }

// Guards against a request that is repeated while its first try still reads the body: the
// context ends just after the peer has announced the end of the connection. Under the race
// detector, net/http then has a data race on its record of whether the body was read.
func TestNoRetryAfterContextEnded(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer func() { _ = l.Close() }()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go endConnection(l, cancel)

	log := logrus.New()
	log.SetOutput(io.Discard)
	tr, err := New(Config{Self: instance.Ref{ID: "a1", Zone: "galle"}, Listen: netip.MustParseAddrPort("127.0.0.1:0"), Zones: []string{"galle"},
		Budget: 1 << 20, Registry: NewRegistry(), Metrics: metric.NewSet(), Log: log, Jitter: rand.New(rand.NewSource(1))})
	must.NoError(t, err)
	defer func() { must.NoError(t, tr.Close(t.Context())) }()
	to := instance.Ref{ID: "b1", Zone: "galle", Control: l.Addr().(*net.TCPAddr).AddrPort()}
	c := tr.newLink(to, dataLane).newClient()
	defer c.transport.CloseIdleConnections()

	const delay = time.Second
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+l.Addr().String()+procedure, &slowBody{delay})
	must.NoError(t, err)
	req.ContentLength = 5
	var rewound atomic.Int32
	req.GetBody = func() (io.ReadCloser, error) { rewound.Add(1); return &slowBody{delay}, nil }
	_, err = c.http.Do(req)
	must.ErrorIs(t, err, context.Canceled)
	must.Zero(t, rewound.Load())
	time.Sleep(delay) // the first try has ended
}

// endConnection accepts a connection, reads the head of a request, sends GOAWAY for it and,
// once the client has had time to process that, cancels the request.
func endConnection(l net.Listener, cancel context.CancelFunc) {
	defer cancel()
	conn, err := l.Accept()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	const headers = 1
	if _, err := io.CopyN(io.Discard, conn, int64(len("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"))); err != nil {
		return
	}
	if _, err := io.WriteString(conn, "\x00\x00\x00\x04\x00\x00\x00\x00\x00"); err != nil { // empty SETTINGS
		return
	}
	if !readFramesUntil(conn, headers) {
		return
	}
	time.Sleep(100 * time.Millisecond)                                                                                         // the client has begun to read the body
	if _, err := io.WriteString(conn, "\x00\x00\x08\x07\x00\x00\x00\x00\x00"+"\x00\x00\x00\x00\x00\x00\x00\x00"); err != nil { // GOAWAY, no stream processed
		return
	}
	time.Sleep(200 * time.Millisecond)
}
