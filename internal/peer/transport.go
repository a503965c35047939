package peer

import (
	"context"
	"math/rand"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"guavaloom.example/guavaloom/internal/instance"
	"guavaloom.example/guavaloom/internal/listen"
	"guavaloom.example/guavaloom/internal/logfield"
	"guavaloom.example/guavaloom/internal/metric"
)

// Defaults and limits of the transport.
const (
	// exchangeTimeout limits a control exchange; a lease renewal that takes longer
	// is retried by its sender.
	exchangeTimeout = 2 * time.Second
	// reloadInterval is the polling interval for changes of the TLS files.
	reloadInterval = 5 * time.Second
	// shutdownInterval is the interval at which Close announces its end again.
	shutdownInterval = 500 * time.Millisecond
)

// Errors of Send and Call.
var (
	ErrQueueFull = errors.New("destination queue is full")
	ErrPlaintext = errors.New("plain text is not allowed on an address that is not loopback")
	ErrClosed    = errors.New("transport is closed")
)

// Handler processes a message. Its reply is returned to the sender: by Call, or to
// the sender's Handler if the message was sent with Send. An error is returned to the
// sender as text; Call returns it as a *RemoteError. A Handler is called concurrently.
type Handler func(ctx context.Context, from instance.Ref, msg any) (reply any, err error)

// Config describes a transport.
type Config struct {
	Self   instance.Ref
	Listen netip.AddrPort
	// Zones lists the zones whose instances may connect, including the instance's
	// own zone.
	Zones []string
	// Credentials are the TLS credentials; nil means plain text, which is limited to
	// loopback addresses unless PlaintextRemote is set.
	Credentials     *Credentials
	PlaintextRemote bool
	// Budget is the control budget in bytes per second.
	Budget   int
	Registry *Registry
	Handler  Handler
	Metrics  *metric.Set
	Log      logrus.FieldLogger
	// Jitter randomises the backoff after failed exchanges. The transport owns it.
	Jitter *rand.Rand
}

// Transport sends and receives control messages. It is safe for concurrent use.
type Transport struct {
	cfg      Config
	budget   *budget
	meter    *meter
	listener net.Listener
	server   *http.Server
	conns    connStates
	ctx      context.Context
	cancel   context.CancelFunc
	wg       sync.WaitGroup

	mu           sync.Mutex // guards the fields below, all queues and cfg.Jitter
	closed       bool
	destinations map[destKey]*destination
	callLinks    map[destKey]*link
}

// connectionLimits limits the accepted connections: a data centre of the target size
// has 137 instances with two connections each.
var connectionLimits = listen.Limits{Total: 1024, PerAddress: 64}

// New checks the configuration and opens the listener.
func New(cfg Config) (*Transport, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", cfg.Listen.String())
	if err != nil {
		return nil, errors.Wrap(err, "control listener")
	}
	rejected := cfg.Metrics.Counter(metric.ConnectionsRejected, "control")
	l = listen.Bound(l, connectionLimits, func(netip.Addr) { rejected.Inc(1) })
	start := time.Now()
	t := &Transport{cfg: cfg, budget: newBudget(cfg.Budget, func() time.Duration { return time.Since(start) }),
		destinations: map[destKey]*destination{}, callLinks: map[destKey]*link{},
		conns: connStates{open: map[net.Conn]connState{}}}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	t.meter = &meter{budget: t.budget}
	for lane, name := range []string{"control", "data"} {
		t.meter.lanes[lane].sent = cfg.Metrics.Counter(metric.PeerBytesSent, name)
		t.meter.lanes[lane].received = cfg.Metrics.Counter(metric.PeerBytesReceived, name)
	}
	t.listener = &meteredListener{Listener: l, meter: t.meter}
	t.server = t.newServer()
	return t, nil
}

func (c *Config) check() error {
	if c.Budget <= 0 {
		return errors.New("control budget must be positive")
	}
	if c.Credentials == nil {
		if !c.PlaintextRemote && !c.Listen.Addr().IsLoopback() {
			return errors.Wrapf(ErrPlaintext, "listen on %s", c.Listen)
		}
		return nil
	}
	if want := (Identity{c.Self.Zone, c.Self.ID}); c.Credentials.Self() != want {
		return errors.Errorf("certificate of this instance names %s, settings name %s", c.Credentials.Self(), want)
	}
	if !slices.Contains(c.Zones, c.Self.Zone) {
		return errors.Errorf("own zone %s is not among the accepted zones", c.Self.Zone)
	}
	return nil
}

// Addr returns the address of the listener.
func (t *Transport) Addr() netip.AddrPort { return t.listener.Addr().(*net.TCPAddr).AddrPort() }

// Serve accepts connections from peers until Close, then returns nil.
func (t *Transport) Serve() error {
	if t.cfg.Credentials != nil {
		t.wg.Go(func() { t.cfg.Credentials.watch(t.ctx, reloadInterval, t.reportReload) })
	}
	if err := t.serve(); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "peer server")
	}
	return nil
}

func (t *Transport) reportReload(changed bool, err error) {
	log := t.cfg.Log.WithField(logfield.File, t.cfg.Credentials.files.Cert)
	if err != nil {
		t.cfg.Metrics.Counter(metric.PeerReloads, "failed").Inc(1)
		log.WithField(logfield.Error, err).Warn("can't reload TLS files; previous credentials stay in use")
	} else if changed {
		t.cfg.Metrics.Counter(metric.PeerReloads, "done").Inc(1)
		log.Info("TLS files reloaded")
	}
}

// Close stops sending, waits for the exchanges that peers have opened until ctx
// ends, and closes all connections. Messages still queued are dropped and counted.
func (t *Transport) Close(ctx context.Context) error {
	t.mu.Lock()
	t.closed = true
	t.mu.Unlock()
	t.cancel()
	err := t.shutdown(ctx)
	if err != nil {
		err = errors.Wrapf(err, "connections still open: %s", &t.conns)
		err = errors.Join(err, t.server.Close())
	}
	_ = t.listener.Close() // still open if Serve was never called
	t.wg.Wait()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, l := range t.callLinks {
		l.closeIdle()
	}
	return err
}

// shutdown stops the server gracefully. One call of http.Server.Shutdown sends GOAWAY only
// on the connections on which HTTP/2 has begun. On those accepted shortly before it, HTTP/2
// begins later; without an exchange they would stay open until the idle timeout.
func (t *Transport) shutdown(ctx context.Context) error {
	for {
		round, cancel := context.WithTimeout(ctx, shutdownInterval)
		err := t.server.Shutdown(round)
		cancel()
		if ctx.Err() != nil || !errors.Is(err, context.DeadlineExceeded) {
			return err
		}
	}
}

func (t *Transport) countDropped(reason string, n int) {
	t.cfg.Metrics.Counter(metric.PeerDropped, reason).Inc(int64(n))
}

func (t *Transport) recordRefusal(err error) {
	var r *refusal
	if errors.As(err, &r) {
		t.cfg.Metrics.Counter(metric.PeerRefused, r.reason).Inc(1)
		t.cfg.Log.WithField(logfield.Reason, r.reason).WithField(logfield.Error, r.err).Warn("peer refused")
	}
}

// Call sends one message, bypassing the queues, and returns the reply, which is nil
// when the handler returned none. It is meant for messages of class Data. After an
// error other than *RemoteError the message may or may not have been processed,
// unless NotSent reports true.
func (t *Transport) Call(ctx context.Context, to instance.Ref, msg any) (any, error) {
	env, _, err := t.cfg.Registry.encode(msg)
	if err != nil {
		return nil, notSent(err)
	}
	l, err := t.callLink(to)
	if err != nil {
		return nil, notSent(err)
	}
	replies, _, err := l.exchange(ctx, []Envelope{env})
	if err != nil {
		return nil, err
	}
	if len(replies) == 0 {
		return nil, nil
	}
	if err := decodeFailure(replies[0]); err != nil {
		return nil, err
	}
	return t.cfg.Registry.decode(replies[0])
}

func (t *Transport) callLink(to instance.Ref) (*link, error) {
	if err := t.checkDestination(to); err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return nil, ErrClosed
	}
	key := keyOf(to)
	l := t.callLinks[key]
	if l == nil {
		if len(t.callLinks) >= maxDestinations {
			t.evictCallLink()
		}
		l = t.newLink(to, dataLane)
		t.callLinks[key] = l
	}
	return l, nil
}

// evictCallLink removes an arbitrary link from callLinks; exchanges open on it
// continue.
func (t *Transport) evictCallLink() {
	for key, l := range t.callLinks {
		l.closeIdle()
		delete(t.callLinks, key)
		return
	}
}

func (t *Transport) checkDestination(to instance.Ref) error {
	if t.cfg.Credentials == nil && !t.cfg.PlaintextRemote && !to.Control.Addr().IsLoopback() {
		t.cfg.Metrics.Counter(metric.PeerRefused, "plaintext_remote").Inc(1)
		return errors.Wrapf(ErrPlaintext, "send to %s", to.Control)
	}
	return nil
}
