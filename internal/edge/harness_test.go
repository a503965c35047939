package edge_test

import (
	"bytes"
	"context"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"guavaloom.example/guavaloom/internal/edge"
	"guavaloom.example/guavaloom/internal/forwarding"
	"guavaloom.example/guavaloom/internal/logfield"
	"guavaloom.example/guavaloom/internal/view"
	"guavaloom.example/guavaloom/platform"
	"guavaloom.example/guavaloom/platform/standin"
)

// testTimeout ends a test that hangs; no result depends on it.
const testTimeout = 60 * time.Second

var bookingEndpoint = view.Endpoint{Addr: [4]byte{198, 18, 0, 1}, Port: 443}

// addedEndpoint is an endpoint to which a route is added during a test.
var addedEndpoint = view.Endpoint{Addr: [4]byte{198, 18, 0, 9}, Port: 80}

// configure stores a configuration with the booking route and further ones.
func (s *testSite) configure(version int, more ...standin.Route) {
	routes := append([]standin.Route{{Name: "booking", Endpoint: bookingEndpoint, Service: "booking"}}, more...)
	s.store.PutConfig(version, routes...)
}

// addRoute stores a second version of the configuration, with a new route.
func (s *testSite) addRoute() {
	s.configure(2, standin.Route{Name: "new", Endpoint: addedEndpoint, Service: "booking"})
}

// testSite is a store, targets and instances on loopback addresses.
type testSite struct {
	t          *testing.T
	store      *standin.Store
	packetPort uint16
	// pace enables the pacing of targets, deployment and regions are further settings of the
	// instances that are started next.
	pace       bool
	deployment edge.Deployment
	regions    map[string]string
}

func newSite(t *testing.T) *testSite {
	t.Helper()
	s := &testSite{t: t, store: standin.New(), packetPort: freePort(t), deployment: edge.DefaultDeployment()}
	t.Cleanup(s.store.Close)
	s.configure(1)
	return s
}

// freePort returns a port that was free for TCP and UDP on several loopback addresses.
func freePort(t *testing.T) uint16 {
	t.Helper()
	for range 1000 {
		port := uint16(10_000 + rand.Intn(20_000))
		if bindable(port) {
			return port
		}
	}
	t.Fatal("no free port")
	return 0
}

func bindable(port uint16) bool {
	for _, ip := range []string{"127.0.0.1", "127.0.0.2", "127.0.0.9"} {
		c, err := net.ListenPacket("udp", fmt.Sprintf("%s:%d", ip, port))
		if err != nil {
			return false
		}
		_ = c.Close()
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

// target starts and registers a target in data centre "a".
func (s *testSite) target(id string, key uint64) *standin.Target {
	s.t.Helper()
	return s.targetIn("a", id, key, 0)
}

// coldTarget starts and registers a target that is cold for some time.
func (s *testSite) coldTarget(id string, key uint64, warmUp time.Duration) *standin.Target {
	s.t.Helper()
	return s.targetIn("a", id, key, warmUp)
}

func (s *testSite) targetIn(zone, id string, key uint64, warmUp time.Duration) *standin.Target {
	s.t.Helper()
	tg, err := standin.NewTarget(standin.TargetConfig{
		ID: id, Service: "booking", Zone: zone, Key: key, PacketPort: s.packetPort, Listen: netip.MustParseAddrPort("127.0.0.1:0"),
		WarmUp: warmUp,
	})
	must.NoError(s.t, err)
	s.t.Cleanup(tg.Close)
	tg.Register(s.store, "ready")
	return tg
}

// node is an instance under test.
type node struct {
	t        *testing.T
	settings *edge.Settings
	file     string
	log      *lockedBuffer
	stop     context.CancelFunc
	reload   chan os.Signal
	ended    chan error
}

type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// start runs an instance at 127.0.0.N with the given store and seeds.
func (s *testSite) start(n int, store netip.AddrPort, seeds ...netip.AddrPort) *node {
	s.t.Helper()
	return s.startWith(n, store, func(*edge.Settings) {}, seeds...)
}

// startWith runs an instance with changed settings.
func (s *testSite) startWith(n int, store netip.AddrPort, change func(*edge.Settings), seeds ...netip.AddrPort) *node {
	s.t.Helper()
	ip := netip.AddrFrom4([4]byte{127, 0, 0, byte(n)})
	at := func() netip.AddrPort { return netip.AddrPortFrom(ip, freePort(s.t)) }
	set := &edge.Settings{
		Name: fmt.Sprintf("instance-%d", n), Zone: "a", Packet: netip.AddrPortFrom(ip, s.packetPort),
		Ready: at(), Peer: at(), Admin: at(), Store: store, Seeds: seeds, MemoryMB: 128, Workers: 1,
		Deployment: s.deployment, Regions: s.regions,
		Pace: s.pace,
	}
	change(set)
	log := &lockedBuffer{}
	logger, err := logfield.New(log, "info", logfield.JSON)
	must.NoError(s.t, err)
	ctx, stop := context.WithCancel(context.Background())
	node := &node{
		t: s.t, settings: set, log: log, stop: stop, ended: make(chan error, 1),
		reload: make(chan os.Signal, 1), file: filepath.Join(s.t.TempDir(), "instance.ini"),
	}
	node.write("")
	go func() {
		node.ended <- edge.New(set, platform.New(set), logger).Run(ctx, node.file, node.reload)
	}()
	s.t.Cleanup(func() {
		stop()
		select {
		case <-node.ended:
		case <-time.After(testTimeout):
			s.t.Error("instance did not stop")
		}
	})
	return node
}

// write writes the settings file with additional lines.
func (n *node) write(more string) {
	s := n.settings
	text := fmt.Sprintf("[instance]\nname = %s\nzone = %s\n[listen]\npacket = %s\nready = %s\npeer = %s\nadmin = %s\n[store]\naddress = %s\n%s",
		s.Name, s.Zone, s.Packet, s.Ready, s.Peer, s.Admin, s.Store, more)
	must.NoError(n.t, os.WriteFile(n.file, []byte(text), 0o600))
}

func (n *node) ready() bool {
	resp, err := http.Get("http://" + n.settings.Ready.String() + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// eventually waits until a condition holds.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !holds(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: not seen", what)
		}
	}
}

func (n *node) awaitReady() { eventually(n.t, n.settings.Name+" ready", n.ready) }

// client returns a client whose packets are sprayed over the nodes.
func (s *testSite) client(nodes ...*node) *standin.Client {
	s.t.Helper()
	var mu sync.Mutex
	turn := 0
	c, err := standin.NewClient(netip.AddrPortFrom(netip.MustParseAddr("127.0.0.9"), s.packetPort),
		func(forwarding.FlowID) netip.AddrPort {
			mu.Lock()
			defer mu.Unlock()
			turn++
			return nodes[turn%len(nodes)].settings.Packet
		})
	must.NoError(s.t, err)
	s.t.Cleanup(c.Close)
	return c
}

// requestTarget opens a flow, sends a request and returns the target that answered.
func requestTarget(t *testing.T, c *standin.Client, to view.Endpoint) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	f, err := c.Open(ctx, to)
	if err != nil {
		return "", err
	}
	defer f.Close()
	id, _, err := f.Request(ctx, "hello")
	return id, err
}
