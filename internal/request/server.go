package request

import (
	"context"
	"fmt"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/zeromicro/go-zero/core/logx"
	gozero "github.com/zeromicro/go-zero/core/service"
	"github.com/zeromicro/go-zero/rest"

	"guavaloom.example/guavaloom/internal/dispatch"
	"guavaloom.example/guavaloom/internal/idempotency"
	"guavaloom.example/guavaloom/internal/instance"
	"guavaloom.example/guavaloom/internal/service"
	"guavaloom.example/guavaloom/internal/target"
	"guavaloom.example/guavaloom/internal/zone"
)

// tickInterval is the longest delay until an elapsed backoff or a passed deadline takes
// effect.
const tickInterval = 5 * time.Millisecond

// publishInterval is the interval at which the counts kept by other packages are copied to
// the metrics registry.
const publishInterval = time.Second

// Server is the request listener of one instance.
type Server struct {
	cfg   Config
	start time.Time
	keys  *keyRecords

	baseCtx      context.Context // canceled when the server is closed
	cancelBase   context.CancelFunc
	shutdownMu   sync.Mutex     // held while shuttingDown is set or trackInFlight checks it
	inFlight     sync.WaitGroup // requests from peers and keyed requests, which can outlive their caller
	shuttingDown atomic.Bool
	bodyBytes    atomic.Int64 // size of the request bodies in memory
	connCount    atomic.Int64
	roundRobin   atomic.Uint64
	tokenKey     atomic.Pointer[[]byte] // nil until the key is known

	mu            sync.RWMutex // guards the fields below
	byHost        map[string]*serviceState
	byID          map[service.ID]*serviceState
	version       zone.Version
	homeSetNumber uint32
	counters      *counters
	http          *http.Server
	addr          netip.AddrPort
}

// serviceState is the state of one service of the installed zone table.
type serviceState struct {
	service.Service
	zones      []string
	slotOwners []instance.Ref // instances that own slots; empty if this one owns any
	scheduler  *serviceScheduler
	client     *client
}

// New returns a Server that is not listening.
func New(cfg Config) *Server {
	cfg = cfg.withDefaults()
	s := &Server{cfg: cfg, start: time.Now(), byHost: map[string]*serviceState{}, byID: map[service.ID]*serviceState{}}
	s.baseCtx, s.cancelBase = context.WithCancel(context.Background())
	if len(cfg.TokenKey) > 0 {
		s.SetTokenKey(cfg.TokenKey)
	}
	s.counters = newCounters(cfg.Metrics)
	s.keys = &keyRecords{now: s.now, store: idempotency.New(cfg.Self, cfg.Keys), done: map[idempotency.Key]chan struct{}{}}
	return s
}

// MarkRebuilt records that the zone existed before its first table, so that the records
// of earlier instances are lost: during the retention period, requests with keys chosen by
// callers get the outcome unknown. It must be called before the first Install.
func (s *Server) MarkRebuilt() {
	s.keys.mu.Lock()
	defer s.keys.mu.Unlock()
	s.keys.store.MarkRebuilt()
}

// SetTokenKey sets the key that authenticates idempotency tokens. Without it, no token is
// issued or accepted.
func (s *Server) SetTokenKey(key []byte) { s.tokenKey.Store(&key) }

// now returns the monotonic time since New.
func (s *Server) now() time.Duration { return time.Since(s.start) }

// Start listens and returns once the listener is bound.
func (s *Server) Start() error {
	conf := rest.RestConf{Host: s.cfg.Listen.Addr().String(), Port: int(s.cfg.Listen.Port())}
	// Mode "pre" disables go-zero's process-wide load shedding and statistics. All
	// middlewares stay disabled: they refuse requests without a counted reason.
	conf.ServiceConf = gozero.ServiceConf{Name: "guavaloom", Mode: gozero.PreMode, Log: logx.LogConf{Mode: "console", Level: "error"}}
	router := &catchAll{fixed: map[string]http.Handler{}, other: http.HandlerFunc(s.serveHTTP)}
	server, err := rest.NewServer(conf, rest.WithRouter(router))
	if err != nil {
		return errors.Wrap(err, "create request listener")
	}
	server.AddRoute(rest.Route{Method: http.MethodPost, Path: TokenPath, Handler: s.issueToken})
	bound := make(chan net.Addr, 1)
	failed := make(chan error, 1)
	go func() {
		// go-zero panics if it can't listen. After a shutdown, this goroutine stays
		// blocked in go-zero until the process ends.
		defer func() {
			if p := recover(); p != nil {
				failed <- errors.Errorf("request listener: %v", p)
			}
		}()
		server.StartWithOpts(func(h *http.Server) { s.configure(h, bound) })
	}()
	select {
	case a := <-bound:
		s.mu.Lock()
		s.addr = a.(*net.TCPAddr).AddrPort()
		s.mu.Unlock()
	case err := <-failed:
		return err
	}
	go s.run()
	return nil
}

func (s *Server) configure(h *http.Server, bound chan<- net.Addr) {
	l := s.cfg.Limits
	h.ReadHeaderTimeout, h.IdleTimeout, h.MaxHeaderBytes = l.HeaderTimeout, l.CallerIdleTimeout, l.MaxHeader
	h.ReadTimeout, h.WriteTimeout = 0, 0 // set per request
	h.BaseContext = func(n net.Listener) context.Context {
		bound <- n.Addr()
		return s.baseCtx
	}
	h.ConnState = s.limitConnections
	s.mu.Lock()
	s.http = h
	s.mu.Unlock()
}

func (s *Server) limitConnections(c net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		if s.connCount.Add(1) > int64(s.cfg.Limits.MaxConnections) {
			s.count(reasonConnectionsFull)
			c.Close()
		}
	case http.StateClosed, http.StateHijacked:
		s.connCount.Add(-1)
	}
}

// Addr returns the address the server listens on.
func (s *Server) Addr() netip.AddrPort {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.addr
}

func (s *Server) run() {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	published := time.Now()
	for {
		select {
		case <-s.baseCtx.Done():
			return
		case <-tick.C:
			for _, d := range s.schedulers() {
				d.tick()
			}
			if time.Since(published) >= publishInterval {
				published = time.Now()
				s.Publish()
			}
		}
	}
}

func (s *Server) schedulers() []*serviceScheduler {
	s.mu.RLock()
	defer s.mu.RUnlock()
	all := make([]*serviceScheduler, 0, len(s.byID))
	for _, v := range s.byID {
		all = append(all, v.scheduler)
	}
	return all
}

func (s *Server) count(name string) { s.add(name, 1) }

func (s *Server) add(name string, n int64) { s.counters.inc(name, n) }

// Publish copies the counts of packages dispatch and idempotency to the metrics registry.
func (s *Server) Publish() {
	schedulers := s.schedulers()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, d := range schedulers {
		d.counts(s.counters.publish)
	}
	s.keys.mu.Lock()
	defer s.keys.mu.Unlock()
	for name, n := range s.keys.store.Counts() {
		s.counters.publish("keys", name, n)
	}
}

// Report records the load, between 0 and 1, that a target reports about itself.
func (s *Server) Report(svc service.ID, id target.ID, load float64) {
	s.mu.RLock()
	v := s.byID[svc]
	s.mu.RUnlock()
	if v != nil {
		v.scheduler.report(id, load)
	}
}

// Stats returns the counts of a service's requests since the start.
func (s *Server) Stats(svc service.ID) dispatch.Stats {
	s.mu.RLock()
	v := s.byID[svc]
	s.mu.RUnlock()
	if v == nil {
		return dispatch.Stats{}
	}
	return v.scheduler.stats()
}

// Shutdown stops accepting requests, waits for those in flight and, if next has members,
// hands the key records over to that home set. It returns the error of ctx if ctx ends
// first.
func (s *Server) Shutdown(ctx context.Context, next zone.HomeSet) error {
	s.shutdownMu.Lock()
	s.shuttingDown.Store(true)
	s.shutdownMu.Unlock()
	s.keys.mu.Lock()
	s.keys.store.Leave()
	s.keys.mu.Unlock()
	s.mu.RLock()
	h := s.http
	s.mu.RUnlock()
	var err error
	if h != nil {
		err = h.Shutdown(ctx)
	}
	if err == nil {
		err = s.waitInFlight(ctx)
	}
	if len(next.Members) > 0 && s.cfg.Peers != nil {
		err = errors.Join(err, s.handOverKeys(ctx, next))
	}
	s.Publish()
	s.cancelBase()
	return err
}

// trackInFlight counts a request that Shutdown must wait for although no HTTP connection
// of this server does. It returns false once the server is shutting down.
func (s *Server) trackInFlight() bool {
	s.shutdownMu.Lock()
	defer s.shutdownMu.Unlock()
	if s.shuttingDown.Load() {
		return false
	}
	s.inFlight.Add(1)
	return true
}

func (s *Server) waitInFlight(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		s.inFlight.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Close stops the server at once, as a crash would, without waiting for requests in flight.
func (s *Server) Close() {
	s.cancelBase()
	s.mu.RLock()
	defer s.mu.RUnlock()
	if s.http != nil {
		s.http.Close()
	}
}

// catchAll is a go-zero router that serves every method and path.
type catchAll struct {
	fixed map[string]http.Handler
	other http.Handler
}

// Handle adds a handler for one method and path.
func (c *catchAll) Handle(method, path string, h http.Handler) error {
	c.fixed[method+" "+path] = h
	return nil
}

// SetNotFoundHandler implements httpx.Router. It does nothing, since every path is served.
func (c *catchAll) SetNotFoundHandler(http.Handler) {}

// SetNotAllowedHandler implements httpx.Router. It does nothing, since every method is
// served.
func (c *catchAll) SetNotAllowedHandler(http.Handler) {}

// ServeHTTP implements http.Handler.
func (c *catchAll) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if h := c.fixed[fmt.Sprintf("%s %s", r.Method, r.URL.Path)]; h != nil {
		h.ServeHTTP(w, r)
		return
	}
	c.other.ServeHTTP(w, r)
}

// Counts returns the nonzero counters by name, without MetricPrefix.
func (s *Server) Counts() map[string]int64 {
	s.Publish()
	out := map[string]int64{}
	for name, v := range s.cfg.Metrics.GetAll() {
		if n, ok := v["count"].(int64); ok {
			out[name[min(len(MetricPrefix), len(name)):]] = n
		}
	}
	maps.DeleteFunc(out, func(_ string, n int64) bool { return n == 0 })
	return out
}
