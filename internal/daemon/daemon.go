package daemon

import (
	"context"
	"math/rand"
	"os"
	"runtime"
	"slices"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"guavaloom.example/guavaloom/internal/admin"
	"guavaloom.example/guavaloom/internal/bundle"
	"guavaloom.example/guavaloom/internal/explain"
	"guavaloom.example/guavaloom/internal/instance"
	"guavaloom.example/guavaloom/internal/logfield"
	"guavaloom.example/guavaloom/internal/metric"
	"guavaloom.example/guavaloom/internal/packet"
	"guavaloom.example/guavaloom/internal/peer"
	"guavaloom.example/guavaloom/internal/request"
	"guavaloom.example/guavaloom/internal/settings"
	"guavaloom.example/guavaloom/internal/steering"
	"guavaloom.example/guavaloom/internal/zone"
)

// ErrSettings marks an error whose cause is a setting, such as an unusable TLS file.
var ErrSettings = errors.New("settings")

const (
	// StopTimeout bounds a graceful stop: requests in flight end, pins are handed
	// over, and the zone takes the instance out of its table.
	StopTimeout = 60 * time.Second
	// closeTimeout bounds closing the components after that. An HTTP server waits up to
	// 6 s for a connection on which nothing was sent yet.
	closeTimeout = 8 * time.Second
)

// Option changes how Run works.
type Option func(*options)

type options struct {
	log      logrus.FieldLogger
	started  func(instance.Ref, settings.Listen)
	crash    <-chan struct{}
	misroute func(steering.Decision, steering.Packet) steering.Decision
}

// WithLogger replaces the logger that the settings describe.
func WithLogger(log logrus.FieldLogger) Option { return func(o *options) { o.log = log } }

// WithStarted sets a function that is called once all listeners are open, with
// the addresses that they are bound to.
func WithStarted(f func(instance.Ref, settings.Listen)) Option {
	return func(o *options) { o.started = f }
}

// WithCrash makes Run end when the channel is closed, as a killed process would:
// it hands nothing over and notifies no other instance.
func WithCrash(c <-chan struct{}) Option { return func(o *options) { o.crash = c } }

// WithMisroute replaces steering decisions on packets from the fabric. The demo
// uses it to inject faults.
func WithMisroute(f func(steering.Decision, steering.Packet) steering.Decision) Option {
	return func(o *options) { o.misroute = f }
}

// daemon holds the components of one run.
//
// Lock order: rolloutController.mu, healthController.proposing, zoneController.mu,
// healthController.mu, secretsController.mu, the locks of steering and of the request
// path, the queues of the transport. The table, the bundle and the end of the lease are
// atomic values.
type daemon struct {
	settings *settings.Settings
	log      logrus.FieldLogger
	self     instance.Ref
	metrics  *metric.Set
	start    time.Time

	stopping atomic.Bool
	// holdTransfers keeps a leaving instance in the zone until its requests have ended.
	holdTransfers atomic.Bool
	table         atomic.Pointer[zone.Table]
	bundle        atomic.Pointer[bundle.Bundle]
	leaseEnd      atomic.Int64 // time.Duration since start
	isolatedEnd   atomic.Int64 // time.Duration since start; see package isolation
	nextReport    time.Duration
	misroute      func(steering.Decision, steering.Packet) steering.Decision

	steerer  *steering.Steerer
	zone     *zoneController
	secrets  *secretsController
	rollout  *rolloutController
	health   *healthController
	request  *request.Server
	installs *tableQueue

	admin  *admin.Server
	peer   *peer.Transport
	relay  *packet.Receiver
	packet *packet.Receiver
}

// now is the monotonic time since the start.
func (d *daemon) now() time.Duration { return time.Since(d.start) }

// Run runs an instance until ctx ends, then stops it gracefully within
// StopTimeout. It returns an error when a component can't start or fails.
func Run(ctx context.Context, s *settings.Settings, opts ...Option) error {
	o := options{started: func(instance.Ref, settings.Listen) {}}
	for _, f := range opts {
		f(&o)
	}
	if o.log == nil {
		l, err := logfield.New(os.Stderr, s.Log.Level, s.Log.Format)
		if err != nil {
			return err
		}
		o.log = l
	}
	base, end := context.WithCancel(context.Background())
	defer end()
	d := newDaemon(base, s, o)
	if err := d.open(ctx); err != nil {
		return errors.Join(err, d.close())
	}
	o.started(d.self, d.listenAddresses())
	d.log.WithField(logfield.Address, d.packet.Addr()).Info("started")
	run := &runner{log: d.log, crash: o.crash, leave: d.leave}
	err := run.run(ctx, d.components())
	end()
	d.rollout.calls.Wait()
	d.log.Info("stopped")
	return err
}

// newDaemon creates the components that need no listener. base ends with the run.
func newDaemon(base context.Context, s *settings.Settings, o options) *daemon {
	d := &daemon{settings: s, metrics: metric.NewSet(), self: selfRef(s), start: time.Now(), misroute: o.misroute, installs: newTableQueue()}
	d.log = o.log.WithField(logfield.Instance, s.Instance).WithField(logfield.Zone, s.Zone)
	seed := int64(d.self.Incarnation)
	d.steerer = newSteerer(s.PinLimit, d.self)
	d.zone = newZoneController(d, rand.New(rand.NewSource(seed)))
	d.secrets = &secretsController{d: d}
	d.rollout = newRolloutController(base, d, rand.New(rand.NewSource(seed+1)))
	d.health = newHealthController(d)
	registry := metrics.NewRegistry()
	d.request = d.newRequest(registry)
	// Until the zone's cookie is known, no relayed packet is accepted.
	d.steerer.SetCookie(generateSecrets().Cookie)
	d.countDrops()
	d.countSteering()
	d.countRequests(registry)
	return d
}

func selfRef(s *settings.Settings) instance.Ref {
	return instance.Ref{ID: s.Instance, Incarnation: instance.Incarnation(time.Now().UnixNano()), Zone: s.Zone,
		Control: s.Listen.Control, Relay: s.Listen.Relay, Request: s.Listen.Request}
}

// open opens all listeners.
func (d *daemon) open(ctx context.Context) (err error) {
	s := d.settings
	if d.admin, err = admin.Listen(s.Listen.Admin, d.metrics, d.notReady); err != nil {
		return err
	}
	d.admin.AddReady(admin.RequestsReadyPath, d.requestsNotReady)
	d.admin.Add("/status", d.status)
	d.admin.AddPost(explain.FlowPath, d.explainFlow)
	d.admin.AddPost(explain.RequestPath, d.explainRequest)
	if d.peer, err = d.newPeer(); err != nil {
		return err
	}
	workers := s.Workers
	if workers == 0 {
		workers = runtime.GOMAXPROCS(0)
	}
	if d.relay, err = packet.Listen(ctx, s.Listen.Relay, workers); err != nil {
		return err
	}
	if d.packet, err = packet.Listen(ctx, s.Listen.Packet, workers); err != nil {
		return err
	}
	d.countPackets()
	return d.request.Start()
}

func (d *daemon) newPeer() (*peer.Transport, error) {
	s := d.settings
	cfg := peer.Config{
		Self: d.self, Listen: s.Listen.Control, Zones: zones(s), PlaintextRemote: s.TLS.PlaintextRemote,
		Budget: s.Budget, Registry: messageRegistry(), Metrics: d.metrics, Log: d.log, Handler: d.handle,
		Jitter: rand.New(rand.NewSource(int64(d.self.Incarnation))),
	}
	if !s.TLS.Plaintext {
		c, err := peer.LoadCredentials(peer.Files{CA: s.TLS.CA, Cert: s.TLS.Cert, Key: s.TLS.Key})
		if err != nil {
			return nil, errors.Join(ErrSettings, err)
		}
		cfg.Credentials = c
	}
	return peer.New(cfg)
}

// zones returns the zone of this instance and those of its peers.
func zones(s *settings.Settings) []string {
	all := []string{s.Zone}
	for _, p := range s.Peers {
		all = append(all, p.Zone)
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// listenAddresses returns the addresses of the open listeners.
func (d *daemon) listenAddresses() settings.Listen {
	return settings.Listen{Packet: d.packet.Addr(), Relay: d.relay.Addr(), Control: d.peer.Addr(),
		Request: d.request.Addr(), Admin: d.admin.Addr()}
}

// components returns the components in the order of start.
func (d *daemon) components() []component {
	return []component{
		{"admin", d.admin.Serve, d.admin.Shutdown},
		{"peer", d.peer.Serve, d.peer.Close},
		receiverComponent("relay", d.relay, func(int) packet.Handler { return d.newWorker().handleRelayed }),
		loopComponent("tables", func(ctx context.Context) error { return d.installs.run(ctx, d) }),
		loopComponent("request", func(ctx context.Context) error { <-ctx.Done(); d.request.Close(); return nil }),
		periodicComponent("health", healthTick, d.health.tick),
		loopComponent("evacuations", d.health.watchEvacuations),
		periodicComponent("zone", zoneTick, func(context.Context) { d.zone.tick(); d.secrets.tick(d.now()) }),
		periodicComponent("pins", pinTick, func(context.Context) { d.tickPins(d.now()) }),
		periodicComponent("rollout", rolloutTick, func(context.Context) { d.rollout.tick() }),
		receiverComponent("packet", d.packet, func(int) packet.Handler { return d.newWorker().handleFabric }),
	}
}

// receiverComponent runs a receiver until it is stopped.
func receiverComponent(name string, r *packet.Receiver, newHandler func(int) packet.Handler) component {
	ctx, cancel := context.WithCancel(context.Background())
	return component{name,
		func() error { return errors.Join(r.Run(ctx, newHandler), r.Close()) },
		func(context.Context) error { cancel(); return nil },
	}
}

// close closes the listeners that open had opened before it failed.
func (d *daemon) close() error {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	var all error
	if d.admin != nil {
		all = errors.Join(all, d.admin.Shutdown(ctx))
	}
	if d.peer != nil {
		all = errors.Join(all, d.peer.Close(ctx))
	}
	for _, r := range []*packet.Receiver{d.relay, d.packet} {
		if r != nil {
			all = errors.Join(all, r.Close())
		}
	}
	d.request.Close()
	return all
}
