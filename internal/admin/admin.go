package admin

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"time"

	"github.com/go-faster/errors"

	"guavaloom.example/guavaloom/internal/listen"
	"guavaloom.example/guavaloom/internal/metric"
)

const (
	headerTimeout = 5 * time.Second
	idleTimeout   = time.Minute
	// maxHeaderBytes is the largest request header in bytes; queries are short.
	maxHeaderBytes = 16 << 10
)

// connectionLimits bounds the callers: operators' tools and collectors of metrics.
var connectionLimits = listen.Limits{Total: 128, PerAddress: 64}

// QueryFunc answers a JSON endpoint. The result is encoded as JSON; an error of
// type *BadRequest gives status 400, any other 500.
type QueryFunc func(ctx context.Context, q url.Values) (any, error)

// BadRequest reports a query with bad parameters.
type BadRequest struct{ Problem string }

// Error implements error.
func (e *BadRequest) Error() string { return e.Problem }

// Server is the administrative HTTP server.
type Server struct {
	mux    *http.ServeMux
	http   *http.Server
	listen net.Listener
}

// Listen opens the address. Ready returns why the instance takes no traffic; an
// empty result means ready. It must be safe for concurrent use.
func Listen(addr netip.AddrPort, set *metric.Set, ready func() []string) (*Server, error) {
	l, err := net.Listen("tcp", addr.String())
	if err != nil {
		return nil, errors.Wrap(err, "admin listener")
	}
	rejected := set.Counter(metric.ConnectionsRejected, "admin")
	bounded := listen.Bound(l, connectionLimits, func(netip.Addr) { rejected.Inc(1) })
	s := &Server{mux: http.NewServeMux(), listen: bounded}
	s.http = &http.Server{Handler: s.mux, ReadHeaderTimeout: headerTimeout, ReadTimeout: headerTimeout,
		IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
	s.mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
		_ = set.WriteText(w) // fails only when the client is gone
	})
	s.mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, map[string]bool{"alive": true})
	})
	s.AddReady("/readyz", ready)
	return s, nil
}

// RequestsReadyPath reports whether the request listener takes requests. It stays
// ready in a cut-off data centre, where /readyz, which covers packets, does not.
const RequestsReadyPath = "/readyz/requests"

// AddReady serves a further readiness check as Listen does for /readyz. It must be
// called before Serve.
func (s *Server) AddReady(path string, ready func() []string) {
	s.mux.HandleFunc("GET "+path, func(w http.ResponseWriter, _ *http.Request) { serveReady(w, ready()) })
}

func serveReady(w http.ResponseWriter, reasons []string) {
	status := http.StatusOK
	if len(reasons) > 0 {
		status = http.StatusServiceUnavailable
	}
	writeJSON(w, status, map[string]any{"ready": len(reasons) == 0, "reasons": append([]string{}, reasons...)})
}

// Add serves a JSON endpoint for GET requests. It must be called before Serve.
func (s *Server) Add(path string, query QueryFunc) {
	s.mux.HandleFunc("GET "+path, func(w http.ResponseWriter, r *http.Request) {
		v, err := query(r.Context(), r.URL.Query())
		writeResult(w, v, err)
	})
}

// maxBodyBytes bounds the body of a question in bytes.
const maxBodyBytes = 64 << 10

// AddPost serves a JSON endpoint for POST requests, which pass the question
// as their body. Errors are treated as those of Add. It must be called before Serve.
func (s *Server) AddPost(path string, answer func(question []byte) (any, error)) {
	s.mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		if err != nil {
			writeJSON(w, http.StatusBadRequest, map[string]string{"error": "body can't be read or is above 64 KiB"})
			return
		}
		v, err := answer(body)
		writeResult(w, v, err)
	})
}

func writeResult(w http.ResponseWriter, v any, err error) {
	var bad *BadRequest
	switch {
	case errors.As(err, &bad):
		writeJSON(w, http.StatusBadRequest, map[string]string{"error": bad.Problem})
	case err != nil:
		writeJSON(w, http.StatusInternalServerError, map[string]string{"error": err.Error()})
	default:
		writeJSON(w, http.StatusOK, v)
	}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		status, b = http.StatusInternalServerError, []byte(`{"error":"result can't be encoded"}`)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(b, '\n')) // fails only when the client is gone
}

// Addr returns the address of the listener.
func (s *Server) Addr() netip.AddrPort { return s.listen.Addr().(*net.TCPAddr).AddrPort() }

// Serve answers requests until Shutdown; it returns nil after a shutdown.
func (s *Server) Serve() error {
	if err := s.http.Serve(s.listen); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "admin server")
	}
	return nil
}

// Shutdown ends open requests gracefully until ctx ends, then closes them.
func (s *Server) Shutdown(ctx context.Context) error {
	err := s.http.Shutdown(ctx)
	if err != nil {
		err = errors.Join(err, s.http.Close())
	}
	_ = s.listen.Close() // open still if Serve was never called
	return err
}
