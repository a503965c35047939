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
	// maxHeaderBytes can be low because queries are short.
	maxHeaderBytes = 16 << 10
)

// connectionLimits allows for operators' tools and metrics scrapers.
var connectionLimits = listen.Limits{Total: 128, PerAddress: 64}

// QueryFunc handles a GET request. The result is encoded as JSON; an error of type
// *BadRequest gives status 400, any other error 500.
type QueryFunc func(ctx context.Context, q url.Values) (any, error)

// BadRequest is an error caused by the parameters or the body of a request.
type BadRequest struct{ Problem string }

// Error implements error.
func (e *BadRequest) Error() string { return e.Problem }

// Server is the administrative HTTP server.
type Server struct {
	mux    *http.ServeMux
	http   *http.Server
	listen net.Listener
}

// Listen opens the address. The function ready returns the reasons why the instance
// takes no traffic, or none if it is ready; it must be safe for concurrent use.
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
		_ = set.WriteText(w) // fails only if the client has disconnected
	})
	s.mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, map[string]bool{"alive": true})
	})
	s.AddReady("/readyz", ready)
	return s, nil
}

// RequestsReadyPath is the readiness check of the request listener. In a data centre
// that is cut off from the others it stays ready, while /readyz, which covers packets,
// does not.
const RequestsReadyPath = "/readyz/requests"

// AddReady adds a readiness check that answers like /readyz. It must be called before
// Serve.
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

// Add adds a JSON endpoint for GET requests. It must be called before Serve.
func (s *Server) Add(path string, query QueryFunc) {
	s.mux.HandleFunc("GET "+path, func(w http.ResponseWriter, r *http.Request) {
		v, err := query(r.Context(), r.URL.Query())
		writeResult(w, v, err)
	})
}

// maxBodyBytes bounds the body of a POST request.
const maxBodyBytes = 64 << 10

// AddPost adds a JSON endpoint for POST requests. The function gets the request's body;
// its result and error are treated as those of a QueryFunc. It must be called before Serve.
func (s *Server) AddPost(path string, answer func(body []byte) (any, error)) {
	s.mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		if err != nil {
			writeJSON(w, http.StatusBadRequest, map[string]string{"error": "body can't be read or is larger than 64 KiB"})
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
	_, _ = w.Write(append(b, '\n')) // fails only if the client has disconnected
}

// Addr returns the address of the listener.
func (s *Server) Addr() netip.AddrPort { return s.listen.Addr().(*net.TCPAddr).AddrPort() }

// Serve serves requests until Shutdown is called and returns nil after a shutdown.
func (s *Server) Serve() error {
	if err := s.http.Serve(s.listen); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "admin server")
	}
	return nil
}

// Shutdown waits until open requests have been served or ctx ends, then closes the
// remaining connections.
func (s *Server) Shutdown(ctx context.Context) error {
	err := s.http.Shutdown(ctx)
	if err != nil {
		err = errors.Join(err, s.http.Close())
	}
	_ = s.listen.Close() // still open if Serve was never called
	return err
}
