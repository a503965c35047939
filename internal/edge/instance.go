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
	"guavaloom.example/guavaloom/internal/rendezvous"
	"guavaloom.example/guavaloom/internal/replica"
	"guavaloom.example/guavaloom/internal/view"
)

const (
	// tickInterval is how often expired flows are removed and ended targets are detected.
	tickInterval = 500 * time.Millisecond
	// bytesPerMbit is the number of bytes in a megabit.
	bytesPerMbit = 125_000
	// memoryFraction is the part of the process's memory limit that the Go runtime may use.
	memoryFraction = 0.7
	// logFlushTimeout bounds the time to write the last log lines when the process ends.
	logFlushTimeout = 250 * time.Millisecond
	// headerTimeout bounds the time to read a request's header, idleTimeout the time between
	// two requests on a connection, maxHeaderBytes the size of a request's header.
	headerTimeout  = 5 * time.Second
	idleTimeout    = 10 * time.Second
	maxHeaderBytes = 16 << 10
	// jitterSteps is the number of values of the jitter that follows from an instance's name.
	jitterSteps = 1024
	// maxServerMessageBytes bounds the logged part of a message from an HTTP server.
	maxServerMessageBytes = 1024
)

// Connection limits. The routers connect to the readiness check. Other instances connect
// to the peer listener to follow this one or to query its replica; when a fleet starts,
// all of them may do so at once.
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

// Platform is what an instance needs from the platform on which it runs.
type Platform struct {
	Store objectstore.Store
	// ListStale lists a kind from a copy of the store that may be out of date, to reduce
	// the store's load; nil if the platform has no such copy. It fails with
	// objectstore.ErrTooLong if the list has more than the given number of pages.
	ListStale func(ctx context.Context, kind string, pages int) (objectstore.Listing, error)
	Codec     forwarding.Codec
	Entries   Entries
	// ConfigKind, TargetKind and InstanceKind are the kinds of the objects.
	ConfigKind, TargetKind, InstanceKind string
	// EvacuationKind is the kind of the evacuations; "" if the deployment has none.
	EvacuationKind string
	// Transport is used for calls to other instances.
	Transport *http.Transport
	// ReadyHandler returns the handler of the routers' readiness check.
	ReadyHandler func(ready func() bool) http.Handler
	// RequestID returns the id of the request that starts in the data, or "".
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
	// graceJitter is the part of the grace by which this instance waits longer for a parent, 0 to
	// 1, so that those that lose one at the same time do not call the store at once.
	graceJitter float64
	// peerClient calls other instances.
	peerClient *http.Client
	// firstLists waits until the first list of each kind was received or failed.
	firstLists sync.WaitGroup
	// deferredToParent means that a first list was too long for every instance to read it from
	// the store, so that this one waits for its parent.
	deferredToParent atomic.Bool
	// instancesListed is closed when the first list of instances was received or failed.
	instancesListed chan struct{}
	// damaged is set while view and forwarder may be half-changed, since a panic was recovered.
	damaged atomic.Bool
	// stopped is closed when the instance starts to stop.
	stopped chan struct{}

	mu      sync.Mutex // guards all below
	forward *forwarding.Forwarder
	// recent has the instances of this data centre that share the allowance of cold targets, ownEntryAt is when this
	// instance first saw its own entry; valid if recent is not empty.
	recent     recentInstances
	ownEntryAt time.Duration
	// lastPacketAt is when the last packet arrived.
	lastPacketAt time.Duration
	// heldPackets are packets that arrived before the view was complete.
	heldPackets []heldPacket
	stopping    bool
	// confirmed means that the view has matched the store's current state at least once.
	confirmed bool
	// rebuilds counts the rebuilds of view and forwarder after a panic, the last at rebuiltAt.
	rebuilds  int
	rebuiltAt time.Duration
	// loggedReasons are the reasons in the last logged change of readiness; nil before the first.
	loggedReasons []string
}

// New returns an instance that logs to out.
func New(s *Settings, p Platform, out *logrus.Logger) *Instance {
	i := &Instance{
		settings: s, timing: s.Deployment.Timing(), platform: p, start: time.Now(),
		log:         eventlog.New(out, s.Name),
		metrics:     metric.NewSet(),
		replica:     replica.New(p.kinds()...),
		registry:    newRegistry(s),
		graceJitter: float64(rendezvous.Seed(s.Name)%jitterSteps) / jitterSteps,
		peerClient:  &http.Client{Transport: p.Transport},
		stopped:     make(chan struct{}),
		recent:      recentInstances{},

		instancesListed: make(chan struct{}),
	}
	i.counters = newCounters(i.metrics)
	i.timing.Forwarding.DetectRefusals = s.Pace || s.Overload
	i.timing.Forwarding.Overload = s.Overload
	i.timing.Forwarding.LinkRate = s.LinkMbps * bytesPerMbit
	i.timing.Forwarding.Pace = s.Pace
	i.forward = i.newForwarder()
	return i
}

// newForwarder returns a forwarder with an empty view.
func (i *Instance) newForwarder() *forwarding.Forwarder {
	s := i.settings
	f := forwarding.New(s.Zone, i.timing.Forwarding, view.New(i.timing.View), observer{i})
	f.View.SetRegions(s.Regions)
	f.SetColdLimits(s.Deployment.WarmUpOverage, s.Deployment.WarmUpSlack, rendezvous.Seed(s.Name))
	if i.platform.EvacuationKind != "" {
		f.View.RequireEvacuations()
	}
	if s.Reports.IsValid() {
		f.EnableReports()
	}
	return f
}

// kinds returns the kinds of objects that an instance reads.
func (p *Platform) kinds() []string {
	kinds := []string{p.ConfigKind, p.TargetKind, p.InstanceKind}
	if p.EvacuationKind != "" {
		kinds = append(kinds, p.EvacuationKind)
	}
	return kinds
}

// now returns the monotonic time since the instance was created.
func (i *Instance) now() time.Duration { return time.Since(i.start) }

// Run serves until ctx ends, then stops gracefully. A signal on reload means that the
// settings file may have changed.
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
		case <-time.After(logFlushTimeout): // the log output is blocked
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
	i.startReports(runCtx)
	go i.tickLoop(runCtx)
	go i.keepRunning(runCtx, "settings", func(ctx context.Context) { i.watchSettings(ctx, file, reload) })
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
	adm.Add(explain.PlacementPath, i.explainPlacement)
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

// serverLog writes the messages of an HTTP server, such as a handler's panic, to the event
// log. Without it they would go to standard error without any limit.
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

// notReadyReasons returns the reasons why the instance should receive no packets; none if
// it is ready.
func (i *Instance) notReadyReasons() []string {
	i.lockState()
	defer i.mu.Unlock()
	return i.notReady()
}

// notReady returns the same as notReadyReasons. The caller holds Instance.mu.
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

// viewConfirmed reports whether the view has ever matched the store's current state. The
// first view may come from an old copy and contain targets that were removed since. Packets
// that arrive are forwarded by it, but the instance reports ready only when the view is
// confirmed, or after ReadStoreAfter if no newer view arrives. The caller holds Instance.mu.
func (i *Instance) viewConfirmed() bool {
	if i.confirmed {
		return true
	}
	now, v := i.now(), i.forward.View
	freshAt := min(v.ConfigFreshAt, v.TargetsFreshAt)
	if i.platform.EvacuationKind != "" {
		freshAt = min(freshAt, v.EvacuationsFreshAt)
	}
	oldest := now - freshAt
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

// tickLoop runs the forwarder's periodic work.
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
	defer i.recoverPanic("tick")
	now := i.now()
	if ended := i.tickState(now); len(ended) > 0 {
		i.resetFlows(ended)
	}
	for _, kind := range i.replica.Kinds() {
		if age, ok := i.replica.Age(now, kind); ok {
			i.metrics.Gauge(metric.EdgeViewAge, kind).Update(milliseconds(age))
		}
	}
}

// tickState lets time pass for the view and the forwarder, and returns the flows to reset.
func (i *Instance) tickState(now time.Duration) []forwarding.ResetFlow {
	i.lockState()
	defer i.mu.Unlock()
	i.settleTargets(now)
	i.settleEvacuations(now)
	i.updateColdInstances(now)
	resets := i.forward.Tick(now)
	i.counters.flows.Update(float64(i.forward.Flows()))
	i.counters.fullServices.Update(float64(i.forward.FullServices()))
	i.logReadinessChange()
	return resets
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// newRand returns a random source for the jitter of intervals between calls.
func newRand() *rand.Rand { return rand.New(rand.NewSource(time.Now().UnixNano())) }
