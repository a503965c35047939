package edge

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/shoenig/test/must"

	"guavaloom.example/guavaloom/internal/logfield"
	"guavaloom.example/guavaloom/internal/objectstore"
	"guavaloom.example/guavaloom/internal/view"
)

// Times of the virtual network and store.
const (
	fleetDialTimeout = 500 * time.Millisecond
	fleetLinkDelay   = 4 * time.Millisecond
)

// virtualEntries decodes instances only.
type virtualEntries struct{}

func (virtualEntries) Target(string, []byte) (view.TargetEntry, error) {
	return view.TargetEntry{}, errors.New("not decoded")
}

func (virtualEntries) Config(string, []byte) (view.Config, []error, error) {
	return view.Config{}, nil, errors.New("not decoded")
}

func (virtualEntries) Instance(value []byte) (zone string, addr netip.AddrPort, err error) {
	z, a, _ := bytes.Cut(value, []byte("="))
	addr, err = netip.ParseAddrPort(string(a))
	return string(z), addr, err
}

func (virtualEntries) InstanceValue(zone string, addr netip.AddrPort) ([]byte, error) {
	return []byte(zone + "=" + addr.String()), nil
}

// reachability is how an instance responds. One that is not reachable reaches nobody either, nor
// the store.
type reachability int

const (
	reachable reachability = iota
	unpowered              // connections to it hang
	frozen                 // connections open, and nothing is answered
)

// virtualFleet is a deployment in virtual time: the real instances but for packets, over an
// in-memory network and store.
type virtualFleet struct {
	t     *testing.T
	ctx   context.Context
	store *virtualStore
	log   bytes.Buffer

	mu        sync.Mutex // guards all below
	listeners map[string]*virtualListener
	state     map[string]reachability
	instances map[string]*Instance
	count     byte
}

// virtualListener accepts connections of the virtual network.
type virtualListener struct {
	addr  net.Addr
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func (l *virtualListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *virtualListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

func (l *virtualListener) Addr() net.Addr { return l.addr }

// runFleet runs a test with a fleet in virtual time.
func runFleet(t *testing.T, run func(f *virtualFleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := &virtualFleet{
			t: t, ctx: ctx, store: newVirtualStore(),
			listeners: map[string]*virtualListener{}, state: map[string]reachability{}, instances: map[string]*Instance{},
		}
		f.store.set("config/main", []byte("{}"))
		f.store.set("targets/first", []byte("{}"))
		f.store.set("evacuations/first", []byte("{}"))
		defer func() {
			cancel()
			for _, i := range f.instances {
				i.peerClient.CloseIdleConnections()
			}
			time.Sleep(time.Minute) // until all goroutines have ended
		}()
		run(f)
	})
}

// dial connects to an address on behalf of an instance.
func (f *virtualFleet) dial(ctx context.Context, from, to string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, fleetDialTimeout)
	defer cancel()
	time.Sleep(fleetLinkDelay)
	f.mu.Lock()
	l, at, own := f.listeners[to], f.state[to], f.state[from]
	f.mu.Unlock()
	if at == unpowered || own != reachable {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if l == nil {
		return nil, errors.New("connection refused")
	}
	near, far := f.pipe(from, to)
	if at == frozen {
		context.AfterFunc(f.ctx, func() { _ = far.Close() })
		return near, nil
	}
	select {
	case l.conns <- far:
		return near, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// virtualConn is an end of a connection. Nothing is delivered while one of its instances is not
// reachable.
type virtualConn struct {
	net.Conn
	f        *virtualFleet
	from, to string
	closed   *atomic.Bool // by either end
}

func (f *virtualFleet) pipe(from, to string) (near, far net.Conn) {
	near, far = net.Pipe()
	closed := &atomic.Bool{}
	return &virtualConn{near, f, from, to, closed}, &virtualConn{far, f, from, to, closed}
}

func (c *virtualConn) Write(b []byte) (int, error) {
	for c.stalled() && !c.closed.Load() && c.f.ctx.Err() == nil {
		time.Sleep(fleetLinkDelay)
	}
	return c.Conn.Write(b)
}

func (c *virtualConn) stalled() bool {
	c.f.mu.Lock()
	defer c.f.mu.Unlock()
	return c.f.state[c.from] != reachable || c.f.state[c.to] != reachable
}

func (c *virtualConn) Close() error {
	c.closed.Store(true)
	return c.Conn.Close()
}

// register adds the entry of an instance at a new address to the store, and returns its settings.
func (f *virtualFleet) register(name, zone string) *Settings {
	f.count++
	s := &Settings{Name: name, Zone: zone, Peer: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, f.count}), 7), Deployment: DefaultDeployment()}
	value, _ := virtualEntries{}.InstanceValue(zone, s.Peer)
	f.store.set("instances/"+name, value)
	return s
}

// removed adds the entry of an instance that was removed for good.
func (f *virtualFleet) removed(name, zone string) {
	s := f.register(name, zone)
	f.set(s.Peer, unpowered)
}

func (f *virtualFleet) set(addr netip.AddrPort, state reachability) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.state[addr.String()] = state
}

func (f *virtualFleet) stateOf(addr netip.AddrPort) reachability {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state[addr.String()]
}

// start starts an instance.
func (f *virtualFleet) start(name, zone string) *Instance {
	f.t.Helper()
	s := f.register(name, zone)
	logger, err := logfield.New(&f.log, "info", logfield.JSON)
	must.NoError(f.t, err)
	addr := s.Peer.String()
	transport := &http.Transport{DialContext: func(ctx context.Context, _, to string) (net.Conn, error) { return f.dial(ctx, addr, to) }}
	store := virtualClient{f.store, zone, func() bool { return f.stateOf(s.Peer) != reachable }}
	i := New(s, Platform{
		Store: store, Entries: virtualEntries{}, Transport: transport,
		ConfigKind: "config", TargetKind: "targets", InstanceKind: "instances", EvacuationKind: "evacuations",
	}, logger)
	l := &virtualListener{addr: net.TCPAddrFromAddrPort(s.Peer), conns: make(chan net.Conn), done: make(chan struct{})}
	f.mu.Lock()
	f.listeners[addr], f.instances[name] = l, i
	f.mu.Unlock()
	server := &http.Server{Handler: i.peerHandler(), ReadHeaderTimeout: headerTimeout}
	go func() { _ = server.Serve(l) }()
	context.AfterFunc(f.ctx, func() { _ = server.Close() })
	i.startReading(f.ctx)
	return i
}

// lose makes a running instance unpowered or frozen.
func (f *virtualFleet) lose(i *Instance, state reachability) { f.set(i.settings.Peer, state) }

// ranked returns names of instances of a data centre in the order of their ranks.
func ranked(zone string, n int) []string {
	var all []*peer
	for k := range n {
		all = append(all, newPeer(fmt.Sprintf("%s-%d", zone, k), zone, netip.AddrPort{}))
	}
	slices.SortFunc(all, byRank)
	names := make([]string, n)
	for k, p := range all {
		names[k] = p.name
	}
	return names
}

// changeKinds are the kinds of objects.
var changeKinds = []string{"config", "targets", "evacuations", "instances"}

// mustLearnChanges changes an object of each kind once a second for some time, and checks that
// each instance learns each change within its bound.
func (f *virtualFleet) mustLearnChanges(seconds int, all ...*Instance) {
	f.t.Helper()
	const step = 50 * time.Millisecond
	bound := DefaultDeployment().DrainBound
	type pending struct {
		kind    string
		version objectstore.Version
		at      time.Time
	}
	var open []pending
	late, worst := 0, time.Duration(0)
	for tick := range seconds*int(time.Second/step) + int(2*bound/step) {
		if tick%int(time.Second/step) == 0 && tick < seconds*int(time.Second/step) {
			for _, kind := range changeKinds {
				open = append(open, pending{kind, f.store.set(kind+"/changed", []byte(fmt.Sprint(tick))), time.Now()})
			}
		}
		time.Sleep(step)
		open = slices.DeleteFunc(open, func(p pending) bool {
			age := time.Since(p.at)
			for _, i := range all {
				if i.replica.Version(p.kind) < p.version {
					if age > bound && age <= bound+step {
						late++
					}
					return false
				}
			}
			worst = max(worst, age)
			return true
		})
	}
	f.store.set("instances/changed", nil)
	must.SliceEmpty(f.t, open, must.Sprint("changes that some instance never learned"))
	must.Eq(f.t, 0, late, must.Sprintf("changes learned after the bound of %v, the last after %v", bound, worst))
}

// startOthers starts an instance in each of two further data centres, so that one instance of each
// reads the store.
func (f *virtualFleet) startOthers() {
	for _, zone := range []string{"b", "c"} {
		f.start(zone+"-0", zone)
	}
}

// mustLearnFromOtherDataCentres checks that two instances of data centre "a", which the store turns
// away, learn each change within its bound.
func (f *virtualFleet) mustLearnFromOtherDataCentres() {
	f.t.Helper()
	names := ranked("a", 2)
	one, two := f.start(names[0], "a"), f.start(names[1], "a")
	time.Sleep(10 * time.Second)
	f.store.refuse("a", true)
	time.Sleep(one.settings.Deployment.StableWindow)
	f.mustLearnChanges(30, one, two)
}
