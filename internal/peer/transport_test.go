package peer_test

import (
	"context"
	"io"
	"math/rand"
	"net"
	"net/netip"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"guavaloom.example/guavaloom/internal/instance"
	"guavaloom.example/guavaloom/internal/metric"
	"guavaloom.example/guavaloom/internal/peer"
	"guavaloom.example/guavaloom/internal/peer/certs"
)

// testTimeout stops a test that hangs; no assertion depends on it.
const testTimeout = 30 * time.Second

type (
	renew struct {
		N    int    `cbor:"1,keyasint"`
		Fill []byte `cbor:"2,keyasint"`
	}
	grant    struct{ N int }
	transfer struct{ Fill []byte }
	dispatch struct{ Text string }
	answer   struct{ Text string }
	unknown  struct{}
)

func registry() *peer.Registry {
	r := peer.NewRegistry()
	peer.Register[renew](r, 200, peer.Urgent)
	peer.Register[grant](r, 201, peer.Urgent)
	peer.Register[transfer](r, 202, peer.Background)
	peer.Register[dispatch](r, 203, peer.Data)
	peer.Register[answer](r, 204, peer.Data)
	return r
}

// node is a running transport; received holds the messages its handler was called
// with.
type node struct {
	*peer.Transport
	ref      instance.Ref
	set      *metric.Set
	creds    *peer.Credentials
	files    peer.Files
	received chan any
}

func (n *node) handle(_ context.Context, _ instance.Ref, msg any) (any, error) {
	n.received <- msg
	switch m := msg.(type) {
	case renew:
		return grant{N: m.N}, nil
	case dispatch:
		if m.Text == "fail" {
			return nil, errors.New("no such key")
		}
		return answer{Text: strings.ToUpper(m.Text)}, nil
	}
	return nil, nil
}

func (n *node) receive(t *testing.T) any {
	t.Helper()
	select {
	case m := <-n.received:
		return m
	case <-time.After(testTimeout):
		t.Fatal("no message")
		return nil
	}
}

func (n *node) refused(reason string) float64 { return n.set.Value(metric.PeerRefused.Name, reason) }

type option func(*peer.Config)

// startNode runs a transport; a nil authority means plain text.
func startNode(t *testing.T, ca *certs.Authority, id, zone string, options ...option) *node {
	t.Helper()
	n := &node{set: metric.NewSet(), received: make(chan any, 10000)}
	log := logrus.New()
	log.SetOutput(io.Discard)
	cfg := peer.Config{
		Self:   instance.Ref{ID: instance.ID(id), Zone: zone, Incarnation: 1},
		Listen: netip.MustParseAddrPort("127.0.0.1:0"),
		Zones:  []string{"galle", "kandy"}, Budget: 1 << 20, Registry: registry(), Handler: n.handle,
		Metrics: n.set, Log: log, Jitter: rand.New(rand.NewSource(1)),
	}
	if ca != nil {
		var err error
		n.files, err = ca.Write(t.TempDir(), peer.Identity{Zone: zone, Instance: instance.ID(id)}, time.Hour)
		must.NoError(t, err)
		n.creds, err = peer.LoadCredentials(n.files)
		must.NoError(t, err)
		cfg.Credentials = n.creds
	}
	for _, o := range options {
		o(&cfg)
	}
	var err error
	n.Transport, err = peer.New(cfg)
	must.NoError(t, err)
	n.ref = cfg.Self
	n.ref.Control = n.Addr()
	done := make(chan error, 1)
	go func() { done <- n.Serve() }()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		must.NoError(t, n.Close(ctx))
		must.NoError(t, <-done)
	})
	return n
}

func authority(t *testing.T) *certs.Authority {
	t.Helper()
	ca, err := certs.NewAuthority("test", time.Hour)
	must.NoError(t, err)
	key, err := ca.KeyPEM()
	must.NoError(t, err)
	ca, err = certs.LoadAuthority(ca.CertPEM(), key)
	must.NoError(t, err)
	return ca
}

func call(t *testing.T, from, to *node, text string) (any, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	return from.Call(ctx, to.ref, dispatch{Text: text})
}

// Guards against a stop that takes too long and does not say which connections were in use.
func TestCloseNamesTheOpenConnections(t *testing.T) {
	inHandler, release := make(chan struct{}), make(chan struct{})
	to := startNode(t, nil, "b", "galle", func(c *peer.Config) {
		c.Handler = func(context.Context, instance.Ref, any) (any, error) {
			close(inHandler)
			<-release
			return nil, nil
		}
	})
	from := startNode(t, nil, "a", "galle")
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_, _ = from.Call(t.Context(), to.ref, dispatch{Text: "x"}) // the connection is closed
	}()
	<-inHandler
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	time.AfterFunc(100*time.Millisecond, func() { close(release) })
	err := to.Close(ctx)
	must.ErrorIs(t, err, context.Canceled)
	must.ErrorContains(t, err, "connections still open: 127.0.0.1:")
	must.ErrorContains(t, err, "active for")
	<-ended
}

// Guards against lost replies, replies of a wrong type, and a handler error that is
// reported as a transport failure.
func TestSendAndCall(t *testing.T) {
	for _, ca := range []*certs.Authority{nil, authority(t)} {
		a, b := startNode(t, ca, "a1", "galle"), startNode(t, ca, "b1", "galle")
		must.NoError(t, a.Send(b.ref, renew{N: 7}))
		must.Eq(t, any(renew{N: 7}), b.receive(t))
		must.Eq(t, any(grant{N: 7}), a.receive(t))
		got, err := call(t, a, b, "key")
		must.NoError(t, err)
		must.Eq(t, any(answer{Text: "KEY"}), got)
		_, err = call(t, a, b, "fail")
		var remote *peer.RemoteError
		must.True(t, errors.As(err, &remote))
		must.StrContains(t, remote.Reason, "no such key")
		must.Positive(t, a.set.Value(metric.PeerBytesSent.Name, "control"))
		must.Positive(t, b.set.Value(metric.PeerBytesSent.Name, "data"))
		must.ErrorIs(t, a.Send(b.ref, unknown{}), peer.ErrUnregistered)
	}
}

// Guards against accepting a client with a certificate of another zone or of another
// authority, or without a certificate.
func TestServerRefusesClients(t *testing.T) {
	ca := authority(t)
	b := startNode(t, ca, "b1", "galle")
	refuse := func(a *node, reason string) {
		t.Helper()
		_, err := call(t, a, b, "x")
		must.Error(t, err)
		must.Eq(t, 1, b.refused(reason), must.Sprint(reason))
	}
	refuse(startNode(t, ca, "c1", "matara", func(c *peer.Config) { c.Zones = []string{"matara"} }), "wrong_zone")
	// The untrusted client trusts the server's authority, but another authority signed
	// its own certificate.
	untrusted := startNode(t, authority(t), "s1", "galle", func(c *peer.Config) {
		must.NoError(t, os.WriteFile(filesOf(c).CA, ca.CertPEM(), 0o600))
		_, err := c.Credentials.Reload()
		must.NoError(t, err)
	})
	refuse(untrusted, "unknown_ca")
	plain := startNode(t, nil, "p1", "galle")
	_, err := call(t, plain, b, "x")
	must.Error(t, err)
	must.Eq(t, 0, len(b.received))
}

func filesOf(c *peer.Config) peer.Files { return c.Credentials.Files() }

// Guards against a message that is processed by another instance at the
// destination's address, or by an instance of another zone or authority.
func TestClientRefusesServers(t *testing.T) {
	ca := authority(t)
	a, b := startNode(t, ca, "a1", "galle"), startNode(t, ca, "b1", "galle")
	for reason, change := range map[string]func(*instance.Ref){
		"wrong_instance": func(r *instance.Ref) { r.ID = "b2" },
		"wrong_zone":     func(r *instance.Ref) { r.Zone = "kandy" },
	} {
		to := b.ref
		change(&to)
		_, err := a.Call(context.Background(), to, dispatch{})
		must.True(t, peer.NotSent(err), must.Sprint(err))
		must.Eq(t, 1, a.refused(reason))
	}
	untrusted := startNode(t, authority(t), "s1", "galle")
	_, err := call(t, a, untrusted, "x")
	must.True(t, peer.NotSent(err))
	must.Eq(t, 1, a.refused("unknown_ca"))
	must.Eq(t, 0, len(b.received)+len(untrusted.received))
}

// Guards against keys that stay in use after their replacement, also on open
// connections, and against partly replaced files that stop the transport.
func TestReload(t *testing.T) {
	old, next := authority(t), authority(t)
	a, b := startNode(t, old, "a1", "galle"), startNode(t, old, "b1", "galle")
	_, err := call(t, a, b, "x")
	must.NoError(t, err)

	must.NoError(t, os.WriteFile(b.files.Key, []byte("half"), 0o600))
	changed, err := b.creds.Reload()
	must.Error(t, err)
	must.False(t, changed)
	_, err = call(t, a, b, "x")
	must.NoError(t, err)

	replace := func(n *node) {
		files, err := next.Write(t.TempDir(), peer.Identity{Zone: "galle", Instance: n.ref.ID}, time.Hour)
		must.NoError(t, err)
		for from, to := range map[string]string{files.CA: n.files.CA, files.Cert: n.files.Cert, files.Key: n.files.Key} {
			pem, err := os.ReadFile(from)
			must.NoError(t, err)
			must.NoError(t, os.WriteFile(to, pem, 0o600))
		}
		changed, err := n.creds.Reload()
		must.NoError(t, err)
		must.True(t, changed)
	}
	replace(b)
	_, err = call(t, a, b, "x") // the open connection uses a certificate that b no longer trusts
	must.Error(t, err)
	must.Eq(t, 1, b.refused("unknown_ca"))
	replace(a)
	_, err = call(t, a, b, "x")
	must.NoError(t, err)
}

// Guards against plain text on non-loopback addresses without PlaintextRemote.
func TestPlaintextStaysOnLoopback(t *testing.T) {
	a := startNode(t, nil, "a1", "galle")
	to := instance.Ref{ID: "b1", Zone: "galle", Control: netip.MustParseAddrPort("192.0.2.1:1")}
	must.ErrorIs(t, a.Send(to, renew{}), peer.ErrPlaintext)
	_, err := a.Call(context.Background(), to, dispatch{})
	must.ErrorIs(t, err, peer.ErrPlaintext)
	must.Eq(t, 2, a.refused("plaintext_remote"))
	_, err = peer.New(peer.Config{Listen: netip.MustParseAddrPort("0.0.0.0:0"), Budget: 1, Metrics: metric.NewSet()})
	must.ErrorIs(t, err, peer.ErrPlaintext)
}

// Guards against background transfers that exceed the budget or delay leases. At
// 1 byte/s only the burst is available during the test.
func TestBudgetHoldsBackBackgroundOnly(t *testing.T) {
	a := startNode(t, nil, "a1", "galle", func(c *peer.Config) { c.Budget = 1 })
	b := startNode(t, nil, "b1", "galle")
	must.NoError(t, a.Send(b.ref, transfer{Fill: make([]byte, 5000)})) // puts the budget into debt
	must.Eq(t, 5000, len(b.receive(t).(transfer).Fill))
	must.NoError(t, a.Send(b.ref, transfer{}))
	must.NoError(t, a.Send(b.ref, renew{N: 1}))
	must.Eq(t, any(renew{N: 1}), b.receive(t))
	must.Eq(t, any(grant{N: 1}), a.receive(t))
	must.Eq(t, 0, len(b.received))
	must.Eq(t, 1, a.set.Value(metric.PeerDelayed.Name, "background"))
}

// Guards against unbounded queues while a destination is unreachable.
func TestQueueIsBounded(t *testing.T) {
	a := startNode(t, nil, "a1", "galle", func(c *peer.Config) { c.Budget = 1 })
	l, err := net.Listen("tcp", "127.0.0.1:0") // accepts and never answers
	must.NoError(t, err)
	defer func() { _ = l.Close() }()
	to := instance.Ref{ID: "b1", Zone: "galle", Control: l.Addr().(*net.TCPAddr).AddrPort()}
	full := 0
	for range 1000 {
		if errors.Is(a.Send(to, transfer{Fill: make([]byte, 100)}), peer.ErrQueueFull) {
			full++
		}
	}
	must.Between(t, 700, full, 744) // at most one batch, limited by the burst, is in flight
	for range 1000 {
		must.NoError(t, a.Send(to, renew{}))
	}
	must.Positive(t, a.set.Value(metric.PeerDropped.Name, "superseded"))
}

// Guards against messages that exhaust the receiver's memory.
func TestOversizedMessage(t *testing.T) {
	a, b := startNode(t, nil, "a1", "galle"), startNode(t, nil, "b1", "galle")
	must.ErrorIs(t, a.Send(b.ref, transfer{Fill: make([]byte, peer.MaxMessage)}), peer.ErrTooLarge)
	must.NoError(t, a.Send(b.ref, transfer{Fill: make([]byte, 1<<20)}))
	must.Eq(t, 1<<20, len(b.receive(t).(transfer).Fill))
}

// Guards against a destination that stays unreachable after it is available again.
func TestReconnect(t *testing.T) {
	a := startNode(t, nil, "a1", "galle")
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	addr := l.Addr().(*net.TCPAddr).AddrPort()
	must.NoError(t, l.Close())
	to := instance.Ref{ID: "b1", Zone: "galle", Control: addr}
	must.NoError(t, a.Send(to, renew{}))
	for a.set.Value(metric.PeerDropped.Name, "not_connected") == 0 {
		time.Sleep(time.Millisecond)
	}
	b := startNode(t, nil, "b1", "galle", func(c *peer.Config) { c.Listen = addr })
	must.NoError(t, a.Send(b.ref, renew{N: 2}))
	must.Eq(t, any(renew{N: 2}), b.receive(t))
}

// proxy forwards TCP connections. After silenceAll it discards all data on the
// connections accepted until then; later connections work.
type proxy struct {
	net.Listener
	accepted, silenced atomic.Int64
}

func newProxy(t *testing.T, to netip.AddrPort) *proxy {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	p := &proxy{Listener: l}
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", to.String())
			if err != nil {
				return
			}
			n := p.accepted.Add(1)
			go p.forward(n, in, out)
			go p.forward(n, out, in)
		}
	}()
	return p
}

func (p *proxy) forward(n int64, to, from net.Conn) {
	defer func() { _ = to.Close() }()
	buf := make([]byte, 32<<10)
	for {
		size, err := from.Read(buf)
		if err != nil {
			return
		}
		if n > p.silenced.Load() {
			_, _ = to.Write(buf[:size])
		}
	}
}

func (p *proxy) silenceAll() { p.silenced.Store(p.accepted.Load()) }

// Guards against a connection that stays open but no longer delivers data: later
// messages must use a new connection instead of being lost on the old one.
func TestSilentConnectionIsReplaced(t *testing.T) {
	ca := authority(t)
	a, b := startNode(t, ca, "a1", "galle"), startNode(t, ca, "b1", "galle")
	p := newProxy(t, b.ref.Control)
	to := b.ref
	to.Control = p.Addr().(*net.TCPAddr).AddrPort()
	must.NoError(t, a.Send(to, renew{N: 1}))
	must.Eq(t, any(renew{N: 1}), b.receive(t))
	must.Eq(t, any(grant{N: 1}), a.receive(t))
	p.silenceAll()
	must.NoError(t, a.Send(to, renew{N: 2})) // lost
	for a.set.Value(metric.PeerDropped.Name, "timeout") == 0 {
		time.Sleep(time.Millisecond)
	}
	must.NoError(t, a.Send(to, renew{N: 3}))
	must.Eq(t, any(renew{N: 3}), b.receive(t))

	_, err := a.Call(context.Background(), to, dispatch{Text: "x"})
	must.NoError(t, err)
	p.silenceAll()
	held, release := context.WithCancel(context.Background())
	lost := make(chan error, 1)
	go func() { // keeps an exchange open on the silent connection
		_, err := a.Call(held, to, dispatch{Text: "x"})
		lost <- err
	}()
	short, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err = a.Call(short, to, dispatch{Text: "x"})
	must.Error(t, err)
	_, err = a.Call(context.Background(), to, dispatch{Text: "x"})
	must.NoError(t, err)
	release()
	must.Error(t, <-lost)
}

// Guards against growth of the fixed cost of an exchange, at most 500 bytes each
// way. The budget of 4 KB/s for lease renewals every second depends on it.
func TestRenewalBytes(t *testing.T) {
	ca := authority(t)
	a, b := startNode(t, ca, "a1", "galle"), startNode(t, ca, "b1", "galle")
	round := func(n int) {
		must.NoError(t, a.Send(b.ref, renew{N: n}))
		b.receive(t)
		a.receive(t)
	}
	round(0) // handshake and first headers
	sent := func(n *node) float64 { return n.set.Value(metric.PeerBytesSent.Name, "control") }
	a0, b0 := sent(a), sent(b)
	t.Logf("connection setup: %v bytes from the client, %v from the server", a0, b0)
	const rounds = 50
	for n := range rounds {
		round(n)
	}
	perA, perB := (sent(a)-a0)/rounds, (sent(b)-b0)/rounds
	t.Logf("exchange: %v bytes from the client, %v from the server", perA, perB)
	must.Less(t, 500, perA)
	must.Less(t, 500, perB)
}
