package demo

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"guavaloom.example/guavaloom/internal/daemon"
	"guavaloom.example/guavaloom/internal/instance"
	"guavaloom.example/guavaloom/internal/testbed"
)

// Faults that can be injected to check that a broken promise is detected.
const (
	// PlainHash makes one instance choose targets by a hash over the bundle's targets.
	PlainHash = "plain-hash"
	// DoubleRun makes one target run each booking twice.
	DoubleRun = "double-run"
)

// Options configure a demo run.
type Options struct {
	Seed  int64
	Fault string // empty, PlainHash or DoubleRun
	// Log receives the log of the instances; nil discards it.
	Log io.Writer
}

const (
	// limit ends a demo that hangs; otherwise no verdict depends on it.
	limit = 5 * time.Minute
	// rollLimit ends the wait for the second bundle.
	rollLimit = 90 * time.Second
	// settleLimit bounds each wait for an expected state.
	settleLimit = 45 * time.Second
	// quietTime is how long a drained target must get no new work to count as drained.
	quietTime = 2 * time.Second
	// callers is the number of concurrent callers; each makes one request at a time.
	callers = 6
	// earlyFeeds and earlyBoards are the numbers of flows opened before the changes, for
	// the services feed and board.
	earlyFeeds, earlyBoards = 150, 60
)

var members = []instance.ID{"a1", "a2", "a3", "a4", "a5"}

// scenario is the state of one demo run.
type scenario struct {
	opts     Options
	fleet    *testbed.Fleet
	flows    *testbed.Flows
	requests *testbed.Requests
	targets  []testbed.Listed
	close    []func()
	traffic  sync.WaitGroup
	watch    *watcher
	began    time.Time
}

// Run runs the demo. It returns an error if the demo could not be completed, not for a
// broken promise.
func Run(ctx context.Context, o Options) (*Report, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	s := &scenario{opts: o}
	defer s.end()
	if err := s.begin(ctx); err != nil {
		return nil, err
	}
	traffic, stop := context.WithCancel(ctx)
	defer stop()
	if err := s.startTraffic(traffic); err != nil {
		return nil, err
	}
	f := &findings{}
	if err := s.change(ctx, f); err != nil {
		return nil, err
	}
	s.awaitDrained(ctx, f)
	stop()
	s.traffic.Wait()
	s.judge(ctx, f)
	return f.report(), ctx.Err()
}

// begin starts the targets and the instances and rolls the first bundle.
func (s *scenario) begin(ctx context.Context) error {
	log := logrus.New()
	log.SetOutput(io.Discard)
	if s.opts.Log != nil {
		log.SetOutput(s.opts.Log)
	}
	var err error
	if s.fleet, err = testbed.NewFleet(log, members...); err != nil {
		return err
	}
	if s.flows, err = testbed.NewFlows(s.opts.Seed); err != nil {
		return err
	}
	s.requests = testbed.NewRequests()
	if err := s.startTargets(); err != nil {
		return err
	}
	for _, id := range members {
		var opts []daemon.Option
		if s.opts.Fault == PlainHash && id == members[0] {
			opts = append(opts, daemon.WithMisroute(s.plainHash()))
		}
		if _, err := s.fleet.Start(id, opts...); err != nil {
			return err
		}
	}
	s.began = time.Now()
	if err := s.fleet.Roll(ctx, testbed.BundleText(1, s.targets)); err != nil {
		return errors.Wrap(err, "first roll")
	}
	s.watch = newWatcher(s.fleet)
	return await(ctx, s.allReady, "instances are not ready")
}

func (s *scenario) startTargets() error {
	for n := range 5 {
		if err := s.startFlowTarget(fmt.Sprintf("feed-%d", n), testbed.Feed, testbed.FeedAddr); err != nil {
			return err
		}
	}
	for n := range 3 {
		if err := s.startFlowTarget(fmt.Sprintf("board-%d", n), testbed.Board, testbed.BoardAddr); err != nil {
			return err
		}
	}
	for n := range 4 {
		if err := s.startWebTarget(fmt.Sprintf("web-%d", n), s.opts.Fault == DoubleRun && n == 1); err != nil {
			return err
		}
	}
	return nil
}

func (s *scenario) startFlowTarget(name, service string, address netip.AddrPort) error {
	t, err := s.flows.NewFlowTarget(name, s.fleet.Addr(), address)
	if err != nil {
		return err
	}
	s.close = append(s.close, t.Close)
	s.targets = append(s.targets, testbed.Listed{Name: name, Service: service, Addr: t.Addr})
	return nil
}

func (s *scenario) startWebTarget(name string, double bool) error {
	t, err := s.requests.NewWebTarget(name, s.fleet.Addr(), double)
	if err != nil {
		return err
	}
	s.close = append(s.close, t.Close)
	s.targets = append(s.targets, testbed.Listed{Name: name, Service: testbed.Booking, Addr: t.Addr})
	return nil
}

func (s *scenario) allReady() bool {
	for _, i := range s.fleet.Instances() {
		if !s.fleet.Ready(i) {
			return false
		}
	}
	return true
}

// await waits until holds returns true. Its error ends the demo and names the problem.
func await(ctx context.Context, holds func() bool, problem string) error {
	if err := testbed.Await(ctx, holds); err != nil {
		return errors.Wrap(err, problem)
	}
	return nil
}

// spray spreads the packets over all running instances.
func (s *scenario) spray() {
	var fabric []netip.AddrPort
	for _, i := range s.fleet.Instances() {
		fabric = append(fabric, i.Listen.Packet)
	}
	s.flows.SetFabric(fabric)
}

func (s *scenario) end() {
	if s.watch != nil {
		s.watch.end()
	}
	if s.flows != nil {
		s.flows.Close()
	}
	if s.fleet != nil {
		s.fleet.Close()
	}
	for _, c := range s.close {
		c()
	}
}
