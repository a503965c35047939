package peer

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"

	"guavaloom.example/guavaloom/internal/instance"
)

const (
	procedure = "/guavaloom.Peer/Exchange"

	dialTimeout = time.Second
	// pingAfter is the silence after which an HTTP/2 connection is probed; one
	// without an answer within pingTimeout is closed.
	pingAfter   = 15 * time.Second
	pingTimeout = 3 * time.Second
	idleTimeout = 90 * time.Second

	// exchangeOverhead bounds the encoded size in bytes of an exchange beside its
	// messages.
	exchangeOverhead = 512
	// wireOverhead is the size in bytes of an exchange beside its messages on an
	// open connection, HTTP/2 and TLS framing included. TestRenewalBytes measures
	// 117 bytes with a message of 8 bytes.
	wireOverhead = 120
)

// destKey identifies a destination. The address is part of it because an
// instance that is replaced under its name may have another one.
type destKey struct {
	id      instance.ID
	zone    string
	control netip.AddrPort
}

func keyOf(to instance.Ref) destKey { return destKey{to.ID, to.Zone, to.Control} }

// link is the HTTP/2 connection to one destination.
type link struct {
	t          *Transport
	to         instance.Ref
	lane       int32
	current    atomic.Pointer[client]
	generation atomic.Uint64 // of the credentials at the last dial
	reads      atomic.Uint64 // successful reads from the connection
}

// client has a connection of its own.
type client struct {
	transport *http.Transport
	connect   *connect.Client[exchange, exchange]
}

func (t *Transport) newLink(to instance.Ref, lane int32) *link {
	l := &link{t: t, to: to, lane: lane}
	l.current.Store(l.newClient())
	return l
}

func (l *link) newClient() *client {
	protocols := new(http.Protocols)
	scheme := "https://"
	if l.t.cfg.Credentials == nil {
		scheme = "http://"
		protocols.SetUnencryptedHTTP2(true)
	} else {
		protocols.SetHTTP2(true)
	}
	transport := &http.Transport{
		DialContext:        l.dial,
		DialTLSContext:     l.dialTLS,
		Protocols:          protocols,
		IdleConnTimeout:    idleTimeout,
		DisableCompression: true,
		HTTP2:              &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout},
	}
	c := connect.NewClient[exchange, exchange](
		&http.Client{Transport: transport, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }},
		scheme+l.to.Control.String()+procedure,
		connect.WithCodec(codec{}),
		connect.WithAcceptCompression("gzip", nil, nil), // messages are small or already dense
		connect.WithReadMaxBytes(MaxMessage), connect.WithSendMaxBytes(MaxMessage))
	return &client{transport: transport, connect: c}
}

func (l *link) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	c, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, network, addr)
	if err != nil {
		return nil, notSent(err)
	}
	m := &meteredConn{Conn: c, meter: l.t.meter, reads: &l.reads}
	m.lane.Store(l.lane)
	return m, nil
}

func (l *link) dialTLS(ctx context.Context, network, addr string) (net.Conn, error) {
	raw, err := l.dial(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	l.generation.Store(l.t.cfg.Credentials.current.Load().generation)
	c := tls.Client(raw, l.t.cfg.Credentials.clientTLS(l.verifyServer))
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	if err := c.HandshakeContext(ctx); err != nil {
		return nil, notSent(errors.Join(err, raw.Close()))
	}
	return c, nil
}

// verifyServer checks that the server is the instance that the link is meant for.
func (l *link) verifyServer(id Identity, err error) error {
	switch {
	case err != nil:
	case id.Zone != l.to.Zone:
		err = newRefusal("wrong_zone", "server is %s, expected zone %s", id, l.to.Zone)
	case id.Instance != l.to.ID:
		err = newRefusal("wrong_instance", "server is %s, expected %s", id, l.to.ID)
	}
	if err != nil {
		l.t.recordRefusal(err)
	}
	return err
}

// closeIdle closes the connection once its open exchanges end.
func (l *link) closeIdle() { l.current.Load().transport.CloseIdleConnections() }

// replaceClient gives later exchanges a new connection after a timeout during which
// nothing was read. Exchanges that are open on the former one end by their own
// limits; waiting for them or for the ping would lose new ones meanwhile.
func (l *link) replaceClient(former *client) {
	if l.current.CompareAndSwap(former, l.newClient()) {
		former.transport.CloseIdleConnections()
	}
}

// exchange sends messages and returns the replies with the run of the peer.
func (l *link) exchange(ctx context.Context, messages []Envelope) ([]Envelope, instance.Ref, error) {
	if c := l.t.cfg.Credentials; c != nil && l.generation.Load() != c.current.Load().generation {
		l.closeIdle() // a connection that was made with former keys
	}
	req := connect.NewRequest(&exchange{From: l.t.cfg.Self, To: l.to.ID, Messages: messages})
	c, reads := l.current.Load(), l.reads.Load()
	resp, err := c.connect.CallUnary(ctx, req)
	if err != nil {
		if connect.CodeOf(err) == connect.CodeDeadlineExceeded && l.reads.Load() == reads {
			l.replaceClient(c)
		}
		c.transport.CloseIdleConnections()
		return nil, instance.Ref{}, err
	}
	from := resp.Msg.From
	if from.ID != l.to.ID || from.Zone != l.to.Zone {
		err := newRefusal("wrong_instance", "answer from %s of zone %s, expected %s of zone %s", from, from.Zone, l.to.ID, l.to.Zone)
		l.t.recordRefusal(err)
		return nil, instance.Ref{}, err
	}
	return resp.Msg.Messages, from, nil
}

// notSentError marks an error that occurred before any byte of a message left.
type notSentError struct{ error }

func (e *notSentError) Unwrap() error { return e.error }

func notSent(err error) error { return &notSentError{err} }

// NotSent reports whether an error of Call means that the message certainly did
// not reach the peer.
func NotSent(err error) bool {
	var e *notSentError
	return errors.As(err, &e)
}
