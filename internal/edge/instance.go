package edge

import (
	"context"
	stdlog "log"
	"math/rand"
	"net"
	"net/http"
	"net/netip"
	"os"
	"runtime/debug"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"guavaloom.example/guavaloom/internal/admin"
	"guavaloom.example/guavaloom/internal/eventlog"
	"guavaloom.example/guavaloom/internal/explain"
	"guavaloom.example/guavaloom/internal/forwarding"
	"guavaloom.example/guavaloom/internal/listen"
	"guavaloom.example/guavaloom/internal/logfield"
	"guavaloom.example/guavaloom/internal/metric"
	"guavaloom.example/guavaloom/internal/objectstore"
	"guavaloom.example/guavaloom/internal/packet"
	"guavaloom.example/guavaloom/internal/replica"
	"guavaloom.example/guavaloom/internal/view"
)

const (
	// tickInterval is how often old flows are forgotten and ended targets looked for.
	tickInterval = 500 * time.Millisecond
	// memoryFraction is the part of the process's limit that the Go runtime may use.
	memoryFraction = 0.7
	// logFlushTimeout is how long the last lines of the log may take when the process ends.
	logFlushTimeout = 250 * time.Millisecond
	// headerTimeout bounds the time for the header of a request to the instance, idleTimeout
	// that between two requests on a connection, maxRequestHeader its size in bytes.
	headerTimeout  = 5 * time.Second
	idleTimeout    = 10 * time.Second
	maxHeaderBytes = 16 << 10
	// maxServerMessageBytes is how much of a message of an HTTP server is logged, in bytes.
	maxServerMessageBytes = 1024
)

// Bounds of connections: the routers check the readiness; other instances follow this
// one or ask for its replica, all of a fleet at its start.
var (
	readyConnections = listen.Limits{Total: 256, PerAddress: 64}
	peerConnections  = listen.Limits{Total: 1024, PerAddress: 64}
)

// Entries decodes the objects of the store.
type Entries interface {
	Target(name string, value []byte) (view.TargetEntry, error)
	Config(name string, value []byte) (view.Config, []error, error)
	Instance(value []byte) (zone string, addr netip.AddrPort, err error)
	InstanceValue(zone string, addr netip.AddrPort) ([]byte, error)
}

// Platform is what an instance needs of the platform that it runs on.
type Platform struct {
	Store objectstore.Store
	// ListStale lists a kind from a copy of the store that may be old, which spares the
	// store; nil where there is none. It fails with objectstore.ErrTooLong if the list has
	// more pages.
	ListStale func(ctx context.Context, kind string, pages int) (objectstore.Listing, error)
	Codec     forwarding.Codec
	Entries   Entries
	// ConfigKind, TargetKind and InstanceKind are the kinds of the objects.
	ConfigKind, TargetKind, InstanceKind string
	// Transport is used for calls to other instances.
	Transport *http.Transport
	// ReadyHandler serves the readiness check of the routers.
	ReadyHandler func(ready func() bool) http.Handler
	// RequestID returns the id of the request that begins in the data, or "".
	RequestID func(data []byte) string
}

// Instance is one running instance.
type Instance struct {
	settings *Settings
	timing   Timing
	platform Platform
	start    time.Time
	log      *eventlog.Log
	metrics  *metric.Set
	counters *counters
	replica  *replica.Replica
	packets  *packet.Receiver
	registry *registry
	// peerClient is used for calls to other instances.
	peerClient *http.Client
	// firstLists waits for the first list of each kind.
	firstLists sync.WaitGroup
	// deferredToParent tells that a first list was too long for each instance to take it from
	// the store.
	deferredToParent atomic.Bool
	// instancesListed is closed when the first list of the instances has been taken or failed.
	instancesListed chan struct{}
	// stopped is closed when the instance begins to stop.
	stopped chan struct{}

	mu      sync.Mutex // guards all below
	forward *forwarding.Forwarder
	// lastPacketAt is when a packet arrived last.
	lastPacketAt time.Duration
	// heldPackets are packets that came before the view was complete.
	heldPackets [][]byte
	stopping    bool
	// confirmed tells that the view was the store's present state at some time.
	confirmed bool
	// loggedReasons is why the instance was not ready when that was last logged.
	loggedReasons []string
}

// New returns an instance that logs to out.
func New(s *Settings, p Platform, out *logrus.Logger) *Instance {
	i := &Instance{
		settings: s, timing: s.Deployment.Timing(), platform: p, start: time.Now(),
		log:        eventlog.New(out, s.Name),
		metrics:    metric.NewSet(),
		replica:    replica.New(p.ConfigKind, p.TargetKind, p.InstanceKind),
		registry:   newRegistry(s),
		peerClient: &http.Client{Transport: p.Transport},
		stopped:    make(chan struct{}),

		instancesListed: make(chan struct{}),
	}
	i.counters = newCounters(i.metrics)
	i.forward = forwarding.New(s.Zone, i.timing.Forwarding, view.New(i.timing.View), observer{i})
	return i
}

// now reads the steady clock.
func (i *Instance) now() time.Duration { return time.Since(i.start) }

// Run serves until ctx ends and the instance has stopped gracefully. reload is
// signalled when the settings file may have changed.
func (i *Instance) Run(ctx context.Context, file string, reload <-chan os.Signal) error {
	debug.SetMemoryLimit(int64(memoryFraction * float64(i.settings.MemoryMB<<20)))
	runCtx, cancelRun := context.WithCancel(context.Background())
	defer cancelRun()
	logDone := make(chan struct{})
	logCtx, cancelLog := context.WithCancel(context.Background())
	go func() { i.log.Run(logCtx); close(logDone) }()
	defer func() {
		cancelLog()
		select {
		case <-logDone:
		case <-time.After(logFlushTimeout): // nobody reads the output
		}
	}()
	i.log.Event(lifecycleClass, "start", logrus.Fields{logfield.Zone: i.settings.Zone, logfield.Address: i.settings.Packet.String()})
	i.mu.Lock()
	i.logReadinessChange()
	i.mu.Unlock()

	var err error
	if i.packets, err = packet.Listen(runCtx, i.settings.Packet, int(i.settings.Workers)); err != nil {
		return err
	}
	if err := i.serve(runCtx); err != nil {
		return err
	}
	i.startReading(runCtx)
	go i.tickLoop(runCtx)
	go i.watchSettings(runCtx, file, reload)
	failed := make(chan error, 1)
	go func() { failed <- i.packets.Run(runCtx, func(int) packet.Handler { return i.handlePackets }) }()
	select {
	case err := <-failed:
		return errors.Errorf("packet workers ended: %v", err)
	case <-ctx.Done():
	}
	i.stop()
	return nil
}

// serve starts the HTTP servers.
func (i *Instance) serve(ctx context.Context) error {
	adm, err := admin.Listen(i.settings.Admin, i.metrics, i.notReadyReasons)
	if err != nil {
		return err
	}
	adm.Add(explain.EdgeStatusPath, i.status)
	go i.reportEnd("admin", adm.Serve)
	context.AfterFunc(ctx, func() { _ = adm.Shutdown(context.Background()) }) // the process ends
	ready := i.platform.ReadyHandler(func() bool { return len(i.notReadyReasons()) == 0 })
	if err := i.serveHTTP(ctx, "ready", i.settings.Ready, readyConnections, ready); err != nil {
		return err
	}
	return i.serveHTTP(ctx, "peer", i.settings.Peer, peerConnections, i.peerHandler())
}

func (i *Instance) serveHTTP(ctx context.Context, name string, addr netip.AddrPort, limits listen.Limits, h http.Handler) error {
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", addr.String())
	if err != nil {
		return errors.Wrapf(err, "%s listener", name)
	}
	rejected := i.metrics.Counter(metric.ConnectionsRejected, name)
	bounded := listen.Bound(l, limits, func(from netip.Addr) {
		rejected.Inc(1)
		i.log.Event(lifecycleClass, "connection rejected", logrus.Fields{logfield.Part: name, logfield.Address: from.String()})
	})
	s := &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: stdlog.New(serverLog{i.log, name}, "", 0),
	}
	go i.reportEnd(name, func() error { return s.Serve(bounded) })
	context.AfterFunc(ctx, func() { _ = s.Close() }) // the process ends
	return nil
}

// serverLog passes the messages of an HTTP server on, such as that of a handler that
// panicked. Without it they would go to standard error, unbounded.
type serverLog struct {
	log  *eventlog.Log
	part string
}

// Write implements io.Writer.
func (l serverLog) Write(b []byte) (int, error) {
	message := string(b[:min(len(b), maxServerMessageBytes)])
	l.log.Event(lifecycleClass, "server message", logrus.Fields{logfield.Part: l.part, logfield.Error: strings.TrimSpace(message)})
	return len(b), nil
}

// reportEnd logs the unexpected end of a server.
func (i *Instance) reportEnd(name string, serve func() error) {
	if err := serve(); err != nil && !errors.Is(err, http.ErrServerClosed) {
		i.log.Event(lifecycleClass, "server ended", logrus.Fields{logfield.Part: name, logfield.Error: err.Error()})
	}
}

// notReadyReasons returns why the instance should get no packets, if it should not.
func (i *Instance) notReadyReasons() []string {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.notReady()
}

// notReady does the same for a caller that holds Instance.mu.
func (i *Instance) notReady() []string {
	var reasons []string
	if i.stopping {
		reasons = append(reasons, "stopping")
	}
	switch {
	case !i.forward.View.Complete():
		reasons = append(reasons, "no_view")
	case !i.viewConfirmed():
		reasons = append(reasons, "unconfirmed_view")
	}
	return reasons
}

// viewConfirmed reports whether the view was ever the store's present state. The first
// view may come from an old copy: a target that has left since would be in use again. It
// serves those packets that come nevertheless, but the instance asks for none on its
// strength, unless nothing better comes. The caller holds Instance.mu.
func (i *Instance) viewConfirmed() bool {
	if i.confirmed {
		return true
	}
	now, v := i.now(), i.forward.View
	oldest := now - min(v.ConfigFreshAt, v.TargetsFreshAt)
	i.confirmed = oldest <= i.timing.Forwarding.MaxConfigAge || now >= i.timing.ReadStoreAfter
	return i.confirmed
}

// logReadinessChange logs a change of the readiness. The caller holds Instance.mu.
func (i *Instance) logReadinessChange() {
	reasons := i.notReady()
	if i.loggedReasons != nil && slices.Equal(reasons, i.loggedReasons) {
		return
	}
	i.loggedReasons = append([]string{}, reasons...)
	if len(reasons) == 0 {
		i.counters.ready.Update(1)
		i.log.Event(lifecycleClass, "ready", nil)
		return
	}
	i.counters.ready.Update(0)
	i.log.Event(lifecycleClass, "not ready", logrus.Fields{logfield.Reason: strings.Join(reasons, ",")})
}

// tickLoop does the periodic work of the forwarder.
func (i *Instance) tickLoop(ctx context.Context) {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			i.tick()
		}
	}
}

func (i *Instance) tick() {
	now := i.now()
	i.mu.Lock()
	resets := i.forward.Tick(now)
	i.counters.flows.Update(float64(i.forward.Flows()))
	i.logReadinessChange()
	i.mu.Unlock()
	for _, r := range resets {
		i.sendReset(r)
	}
	for _, kind := range i.replica.Kinds() {
		if age, ok := i.replica.Age(now, kind); ok {
			i.metrics.Gauge(metric.EdgeViewAge, kind).Update(milliseconds(age))
		}
	}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// newRand returns a source of random numbers for pauses between calls.
func newRand() *rand.Rand { return rand.New(rand.NewSource(time.Now().UnixNano())) }
