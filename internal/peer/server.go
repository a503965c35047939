package peer

import (
	"context"
	"crypto/tls"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"slices"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"

	"guavaloom.example/guavaloom/internal/instance"
	"guavaloom.example/guavaloom/internal/metric"
)

const (
	// headerTimeout also limits the TLS handshake of an accepted connection.
	headerTimeout = 5 * time.Second
	// maxStreams limits the open exchanges of one connection and, together with
	// MaxMessage, the memory that one peer can make an instance use. Queued messages
	// need one stream at a time; concurrent Calls of a peer share one connection and
	// need more.
	maxStreams = 64
	maxHeader  = 8 << 10
)

// Keys of request context values.
type (
	connKey     struct{}
	identityKey struct{}
)

func (t *Transport) newServer() *http.Server {
	mux := http.NewServeMux()
	mux.Handle(procedure, t.authenticate(connect.NewUnaryHandler(procedure, t.serveExchange,
		connect.WithCodec(codec{}), connect.WithReadMaxBytes(MaxMessage), connect.WithSendMaxBytes(MaxMessage))))
	s := &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       2 * idleTimeout, // the client closes first
		MaxHeaderBytes:    maxHeader,
		ConnState:         t.conns.record,
		Protocols:         new(http.Protocols),
		HTTP2:             &http.HTTP2Config{MaxConcurrentStreams: maxStreams},
		ErrorLog:          stdlog.New(io.Discard, "", 0), // refusals are counted and logged by reason
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			if tc, ok := c.(*tls.Conn); ok {
				c = tc.NetConn()
			}
			return context.WithValue(ctx, connKey{}, c)
		},
	}
	if t.cfg.Credentials == nil {
		s.Protocols.SetUnencryptedHTTP2(true)
	} else {
		s.Protocols.SetHTTP2(true)
		s.TLSConfig = t.cfg.Credentials.serverTLS(t.verifyClient)
	}
	return s
}

func (t *Transport) serve() error {
	if t.cfg.Credentials == nil {
		return t.server.Serve(t.listener)
	}
	return t.server.ServeTLS(t.listener, "", "")
}

// verifyClient checks that a client belongs to an accepted zone. err is the result
// of verifying its certificate. Refusals are counted.
func (t *Transport) verifyClient(id Identity, err error) error {
	if err == nil && !slices.Contains(t.cfg.Zones, id.Zone) {
		err = newRefusal("wrong_zone", "client is %s, accepted zones are %v", id, t.cfg.Zones)
	}
	if err != nil {
		t.recordRefusal(err)
	}
	return err
}

// authenticate adds the identity of the client to the request context. After a
// reload of the TLS files it verifies the certificate of an open connection again.
func (t *Transport) authenticate(next http.Handler) http.Handler {
	if t.cfg.Credentials == nil {
		return next
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, _ := r.Context().Value(connKey{}).(*meteredConn)
		if conn == nil || r.TLS == nil || len(r.TLS.PeerCertificates) == 0 {
			http.Error(w, "no certificate", http.StatusForbidden)
			return
		}
		current := t.cfg.Credentials.current.Load()
		id, err := identityOf(r.TLS.PeerCertificates[0])
		if conn.verifiedGeneration.Load() != current.generation {
			id, err = verify(current.roots, r.TLS.PeerCertificates)
			if err = t.verifyClient(id, err); err == nil {
				conn.verifiedGeneration.Store(current.generation)
			}
		}
		if err != nil {
			w.Header().Set("Connection", "close") // HTTP/2: graceful shutdown of the connection
			http.Error(w, "certificate refused", http.StatusForbidden)
			return
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), identityKey{}, id)))
	})
}

// serveExchange processes the messages of one exchange and returns their replies.
func (t *Transport) serveExchange(ctx context.Context, req *connect.Request[exchange]) (*connect.Response[exchange], error) {
	in := req.Msg
	if err := t.checkSender(ctx, in); err != nil {
		t.recordRefusal(err)
		return nil, connect.NewError(connect.CodePermissionDenied, err)
	}
	if len(in.Messages) > maxEnvelopes {
		t.cfg.Metrics.Counter(metric.PeerRefused, "too_many_messages").Inc(1)
		return nil, connect.NewError(connect.CodeResourceExhausted, errors.New("too many messages in one exchange"))
	}
	out := &exchange{From: t.cfg.Self, To: in.From.ID}
	for _, e := range in.Messages {
		if reply := t.handleMessage(ctx, in.From, e); reply != nil {
			out.Messages = append(out.Messages, *reply)
		}
	}
	return connect.NewResponse(out), nil
}

// checkSender checks that the sender in the exchange matches the client certificate
// and that the exchange is addressed to this instance. Without TLS it checks the
// sender's zone instead of the certificate.
func (t *Transport) checkSender(ctx context.Context, in *exchange) error {
	id, authenticated := ctx.Value(identityKey{}).(Identity)
	if authenticated && (id != Identity{in.From.Zone, in.From.ID}) {
		return newRefusal("wrong_sender", "certificate names %s, message names sender %s in zone %s", id, in.From.ID, in.From.Zone)
	}
	if !authenticated && !slices.Contains(t.cfg.Zones, in.From.Zone) {
		return newRefusal("wrong_zone", "message names sender %s in zone %s, which is not accepted", in.From.ID, in.From.Zone)
	}
	if in.To != t.cfg.Self.ID {
		return newRefusal("wrong_destination", "message for %s received by %s", in.To, t.cfg.Self.ID)
	}
	return nil
}

// handleMessage processes one message and returns the reply, if any.
func (t *Transport) handleMessage(ctx context.Context, from instance.Ref, e Envelope) *Envelope {
	msg, err := t.cfg.Registry.decode(e)
	if err != nil {
		t.cfg.Metrics.Counter(metric.PeerRefused, "bad_message").Inc(1)
		return envelopePtr(encodeFailure(err))
	}
	if t.cfg.Registry.kinds[e.Kind].class == Data {
		if c, ok := ctx.Value(connKey{}).(*meteredConn); ok {
			c.lane.Store(dataLane) // clients use separate connections for class Data
		}
	}
	reply, err := t.cfg.Handler(ctx, from, msg)
	if err != nil {
		return envelopePtr(encodeFailure(err))
	}
	if reply == nil {
		return nil
	}
	env, _, err := t.cfg.Registry.encode(reply)
	if err != nil {
		return envelopePtr(encodeFailure(err))
	}
	return &env
}

func envelopePtr(e Envelope) *Envelope { return &e }
