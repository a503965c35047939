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
	// pingAfter is the time without received data after which an HTTP/2 connection
	// is probed with a ping. It is closed if no reply arrives within pingTimeout.
	pingAfter   = 15 * time.Second
	pingTimeout = 3 * time.Second
	idleTimeout = 90 * time.Second

	// exchangeOverhead is an upper limit in bytes for the encoded size of an exchange
	// without its messages.
	exchangeOverhead = 512
	// wireOverhead is the size in bytes of an exchange without its messages on an
	// open connection, including HTTP/2 and TLS framing. TestRenewalBytes measures
	// 117 bytes with a message of 8 bytes.
	wireOverhead = 120
)

// destKey identifies a destination. It includes the address because a replacement
// instance with the same name may have another address.
type destKey struct {
	id      instance.ID
	zone    string
	control netip.AddrPort
}

func keyOf(to instance.Ref) destKey { return destKey{to.ID, to.Zone, to.Control} }

// link manages the HTTP/2 connection to one destination.
type link struct {
	t          *Transport
	to         instance.Ref
	lane       int32
	current    atomic.Pointer[client]
	generation atomic.Uint64 // generation of the credentials at the last dial
	reads      atomic.Uint64 // successful reads from the connection
}

// client is an HTTP client with its own connection.
type client struct {
	transport *http.Transport
	http      *http.Client
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
	httpClient := &http.Client{Transport: rewinder{transport}, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	c := connect.NewClient[exchange, exchange](
		httpClient,
		scheme+l.to.Control.String()+procedure,
		connect.WithCodec(codec{}),
		connect.WithAcceptCompression("gzip", nil, nil), // messages are small or already compressed
		connect.WithReadMaxBytes(MaxMessage), connect.WithSendMaxBytes(MaxMessage))
	return &client{transport: transport, http: httpClient, connect: c}
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

// verifyServer checks that the server is the link's destination.
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

// closeIdle closes the connection if no exchange is open on it.
func (l *link) closeIdle() { l.current.Load().transport.CloseIdleConnections() }

// replaceClient makes later exchanges use a new connection, after an exchange timed
// out and nothing was read from the old one. Exchanges open on the old connection
// end at their own deadlines; if new exchanges kept using it until these ended or
// the ping failed, they would be lost too.
func (l *link) replaceClient(old *client) {
	if l.current.CompareAndSwap(old, l.newClient()) {
		old.transport.CloseIdleConnections()
	}
}

// exchange sends messages and returns the replies and the peer's instance.Ref, which
// includes its incarnation.
func (l *link) exchange(ctx context.Context, messages []Envelope) ([]Envelope, instance.Ref, error) {
	if c := l.t.cfg.Credentials; c != nil && l.generation.Load() != c.current.Load().generation {
		l.closeIdle() // the connection was opened with previous credentials
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
		err := newRefusal("wrong_instance", "reply from %s of zone %s, expected %s of zone %s", from, from.Zone, l.to.ID, l.to.Zone)
		l.t.recordRefusal(err)
		return nil, instance.Ref{}, err
	}
	return resp.Msg.Messages, from, nil
}

// notSentError marks an error that occurred before any byte of a message was sent.
type notSentError struct{ error }

func (e *notSentError) Unwrap() error { return e.error }

func notSent(err error) error { return &notSentError{err} }

// NotSent reports whether an error of Call guarantees that the message did not
// reach the peer.
func NotSent(err error) bool {
	var e *notSentError
	return errors.As(err, &e)
}
