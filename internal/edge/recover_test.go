package edge

import (
	"bytes"
	"context"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"guavaloom.example/guavaloom/internal/forwarding"
	"guavaloom.example/guavaloom/internal/invariant"
	"guavaloom.example/guavaloom/internal/logfield"
	"guavaloom.example/guavaloom/internal/objectstore"
	"guavaloom.example/guavaloom/internal/packet"
	"guavaloom.example/guavaloom/internal/service"
	"guavaloom.example/guavaloom/internal/target"
	"guavaloom.example/guavaloom/internal/targetreport"
	"guavaloom.example/guavaloom/internal/view"
)

// failingPlatform panics on packets and entries that start with "bad".
type failingPlatform struct {
	forwarding.Codec
	Entries
}

func (failingPlatform) Decode(b []byte) (s forwarding.Segment, ok bool) {
	if bytes.HasPrefix(b, []byte("bad")) {
		panic("packet")
	}
	return s, false
}

func (failingPlatform) InstanceValue(string, netip.AddrPort) ([]byte, error) {
	return []byte("{}"), nil
}

func (failingPlatform) Target(_ string, value []byte) (e view.TargetEntry, err error) {
	if bytes.HasPrefix(value, []byte("bad")) {
		panic("entry")
	}
	invariant.Check(!bytes.HasPrefix(value, []byte("impossible")), "test", "")
	return view.TargetEntry{ID: "i-1", Service: "booking", Slots: 1}, nil
}

func newTestInstance(t *testing.T, out *bytes.Buffer) *Instance {
	t.Helper()
	logger, err := logfield.New(out, "info", logfield.JSON)
	must.NoError(t, err)
	s := &Settings{Name: "i", Zone: "a", Deployment: DefaultDeployment()}
	p := Platform{ConfigKind: "config", TargetKind: "targets", InstanceKind: "instances", Codec: failingPlatform{}, Entries: failingPlatform{}}
	return New(s, p, logger)
}

// Guards against an operator who takes new settings for applied, as the data centres of the
// deployment, although only the seeds are.
func TestReloadTellsWhatNeedsARestart(t *testing.T) {
	for change, want := range map[string]bool{"": false, "[peers]\nseeds = 127.0.0.1:9\n": false, "[deployment]\nzones = a=north\n": true} {
		var out bytes.Buffer
		i := newTestInstance(t, &out)
		s, err := parseSettings("f.ini", []byte(minimalSettings))
		must.NoError(t, err)
		i.settings = s
		i.reload("f.ini", []byte(minimalSettings+change), true)
		i.log.Flush()
		must.Eq(t, want, strings.Contains(out.String(), "settings changed that apply at the next start"), must.Sprint(change))
		must.StrContains(t, out.String(), `"reload"`)
	}
}

// Guards against packets that are decided on with a time before the wait for the lock: a cold target
// would get them later than its sliding second counts them.
func TestTimeOfPacketsIsThatOfTheirDecision(t *testing.T) {
	i := newTestInstance(t, &bytes.Buffer{})
	i.mu.Lock()
	done := make(chan struct{})
	go func() {
		defer close(done)
		i.handlePackets(&packet.Batch{In: []packet.Datagram{{Data: []byte("other")}}})
	}()
	time.Sleep(50 * time.Millisecond) // until it waits; if it is later, the test finds nothing
	unlocked := i.now()
	i.mu.Unlock()
	<-done
	must.GreaterEq(t, unlocked, i.lastPacketAt)
}

// Guards against a panic on one packet or entry that ends the process or loses other inputs.
// A broken invariant must still end the process.
func TestFailureOnOneInput(t *testing.T) {
	var out bytes.Buffer
	i := newTestInstance(t, &out)
	send := func(netip.AddrPort, []byte, []byte) {}
	i.handlePacket(0, 0, []byte("bad packet"), send, nil)
	i.handlePacket(0, 0, []byte("other"), send, nil)
	i.applyListing(0, "targets", storeSource, objectstore.Listing{Version: 9, Objects: []objectstore.Object{
		{Key: "targets/i-0", Version: 1, Value: []byte("bad entry")}, {Key: "targets/i-1", Version: 2, Value: []byte("good")},
	}}, true)
	must.NotNil(t, i.forward.View.Target("i-1"))
	i.log.Flush()
	for _, part := range []string{`"part":"packet"`, `"part":"entry"`, `"stack":`} {
		must.StrContains(t, out.String(), part)
	}
	defer func() { must.NotNil(t, recover()) }()
	i.applyListing(0, "targets", storeSource, objectstore.Listing{Version: 10, Objects: []objectstore.Object{{Key: "targets/i-2", Version: 10, Value: []byte("impossible")}}}, false)
}

// blockedWriter blocks like a pipe that nobody reads.
type blockedWriter struct{ blocked chan struct{} }

func (w blockedWriter) Write(b []byte) (int, error) {
	<-w.blocked
	return len(b), nil
}

// Load pattern: a planned stop while nobody reads the log. Guards against a process that
// blocks on its last log lines until it is killed.
func TestStopDoesNotWaitForTheLog(t *testing.T) {
	out := blockedWriter{make(chan struct{})}
	t.Cleanup(func() { close(out.blocked) })
	logger, err := logfield.New(out, "info", logfield.JSON)
	must.NoError(t, err)
	local := netip.MustParseAddrPort("127.0.0.1:0")
	s := &Settings{
		Name: "i", Zone: "a", Packet: local, Ready: local, Peer: local, Admin: local, MemoryMB: 128, Workers: 1, Deployment: DefaultDeployment(),
	}
	file := filepath.Join(t.TempDir(), "instance.ini")
	must.NoError(t, os.WriteFile(file, nil, 0o600))
	ctx, stop := context.WithCancel(t.Context())
	p := Platform{
		ConfigKind: "config", TargetKind: "targets", InstanceKind: "instances", Codec: failingPlatform{}, Entries: failingPlatform{},
		Store: refusingStore{}, ReadyHandler: nothingToServe,
	}
	ended := make(chan error, 1)
	go func() { ended <- New(s, p, logger).Run(ctx, file, nil) }()
	stop()
	select {
	case err := <-ended:
		must.NoError(t, err)
	case <-time.After(time.Minute):
		t.Fatal("the instance does not end")
	}
}

// refusingStore is unavailable for lists.
type refusingStore struct{ objectstore.Store }

func (refusingStore) List(context.Context, string) (objectstore.Listing, error) {
	return objectstore.Listing{}, objectstore.ErrUnavailable
}

func nothingToServe(func() bool) http.Handler { return http.NotFoundHandler() }

// Guards against a panic on one report that ends the process.
func TestFailureOnOneReport(t *testing.T) {
	var out bytes.Buffer
	i := newTestInstance(t, &out)
	i.registry.put("other", "a", netip.MustParseAddrPort("127.0.0.2:1"))
	data, err := (&targetreport.Report{Sequence: 1, Entries: []targetreport.Entry{{Token: 1}}}).Encode()
	must.NoError(t, err)
	// Reports are not enabled in the forwarder, so that it panics.
	r := &reporter{i: i}
	r.receive(netip.MustParseAddr("127.0.0.2"), data)
	i.log.Flush()
	must.StrContains(t, out.String(), `"part":"report"`)
	must.True(t, i.mu.TryLock(), must.Sprint("the lock is still held"))
	i.mu.Unlock()
}

// newListedInstance returns a test instance that has listed two targets and a configuration.
func newListedInstance(t *testing.T, out *bytes.Buffer) *Instance {
	t.Helper()
	i := newTestInstance(t, out)
	i.platform.Entries = listedPlatform{}
	i.applyListing(0, "config", storeSource, objectstore.Listing{Version: confirmed(t, 1), Objects: []objectstore.Object{
		{Key: "config/main", Version: confirmed(t, 1), Value: []byte("{}")},
	}}, true)
	i.applyListing(0, "targets", storeSource, objectstore.Listing{Version: confirmed(t, 3), Objects: []objectstore.Object{
		{Key: "targets/i-1", Version: confirmed(t, 2), Value: []byte("{}")}, {Key: "targets/i-2", Version: confirmed(t, 3), Value: []byte("{}")},
	}}, true)
	return i
}

// listedPlatform decodes the entries of newListedInstance. Targets whose entry is "bad" panic.
type listedPlatform struct{ failingPlatform }

// listedEndpoint is the endpoint of the only route.
var listedEndpoint = view.Endpoint{Addr: [4]byte{198, 18, 0, 1}, Port: 443}

func (listedPlatform) Target(name string, value []byte) (view.TargetEntry, error) {
	if bytes.HasPrefix(value, []byte("bad")) {
		panic("entry")
	}
	return view.TargetEntry{
		ID: target.ID(name), Key: 1, Service: service.ID("booking" + string(value[2:])), Zone: "a", Slots: 1,
		Addr: netip.MustParseAddrPort("127.0.0.1:9"),
	}, nil
}

func (listedPlatform) Config(string, []byte) (view.Config, []error, error) {
	return view.Config{Version: 1, Routes: []view.Route{
		{Name: "r", Endpoint: listedEndpoint, Shares: []view.Share{{Service: "booking", Weight: 1}}},
	}}, nil, nil
}

// Guards against a process that ends, or goes on with half-changed state, after a panic in a tick, a
// packet or an entry: view and forwarder are made anew from the replica before they are used again.
func TestStateIsRebuiltAfterAPanic(t *testing.T) {
	damage := map[string]func(i *Instance){
		"tick": func(i *Instance) { i.forward = nil; i.tick() },
		"packet": func(i *Instance) {
			i.forward.View = nil
			i.handlePackets(&packet.Batch{In: []packet.Datagram{{Data: []byte("bad")}}})
		},
		"entry": func(i *Instance) {
			i.applyListing(0, "targets", storeSource, objectstore.Listing{Version: confirmed(t, 4), Objects: []objectstore.Object{
				{Key: "targets/i-3", Version: confirmed(t, 4), Value: []byte("bad entry")},
			}}, false)
		},
	}
	for part, panics := range damage {
		t.Run(part, func(t *testing.T) {
			var out bytes.Buffer
			i := newListedInstance(t, &out)
			before := i.forward
			panics(i)
			must.True(t, i.damaged.Load())
			must.SliceEmpty(t, i.notReadyReasons())
			must.True(t, i.forward != before)
			must.False(t, i.damaged.Load())
			must.Eq(t, 1, i.rebuilds)
			for _, id := range []target.ID{"i-1", "i-2"} {
				must.NotNil(t, i.forward.View.Target(id))
			}
			must.NotNil(t, i.forward.View.Route(listedEndpoint))
			i.tick()
			must.Eq(t, 1, i.rebuilds)
			i.log.Flush()
			must.StrContains(t, out.String(), "work skipped after a failure of the program")
			must.StrContains(t, out.String(), "state rebuilt from the replica after a failure of the program")
		})
	}
}

// Guards against an input that panics each time and takes the processor with rebuilds.
func TestRebuildsAreBounded(t *testing.T) {
	var out bytes.Buffer
	i := newListedInstance(t, &out)
	for range 100 {
		i.handlePackets(&packet.Batch{In: []packet.Datagram{{Data: []byte("bad")}, {Data: []byte("bad")}}})
	}
	must.Eq(t, 1, i.rebuilds)
	i.rebuiltAt -= rebuildInterval
	i.handlePackets(&packet.Batch{In: []packet.Datagram{{Data: []byte("other")}}})
	must.Eq(t, 2, i.rebuilds)
}

// Guards against a goroutine whose work ends for good after a panic, and against one that goes on
// after the instance was stopped.
func TestGoroutinesOutlastAPanic(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := newListedInstance(t, &bytes.Buffer{})
		ctx, cancel := context.WithCancel(t.Context())
		runs, ended := 0, make(chan struct{})
		go func() {
			defer close(ended)
			i.keepRunning(ctx, "test", func(ctx context.Context) {
				if runs++; runs < 3 {
					panic("work")
				}
				<-ctx.Done()
			})
		}()
		time.Sleep(10 * restartDelay)
		cancel()
		<-ended
		must.Eq(t, 3, runs)
	})
}

// Guards against a tick that shares state with packets or with the log without a lock: concurrent
// writes of a map end the process. It finds that with the race detector.
func TestTickBesidePackets(t *testing.T) {
	packets, err := packet.Listen(t.Context(), netip.MustParseAddrPort("127.0.0.1:0"), 1)
	must.NoError(t, err)
	for range 50 { // each instance counts an outcome for the first time
		var out bytes.Buffer
		i := newListedInstance(t, &out)
		i.packets, i.platform.Codec = packets, flowCodec{}
		tickBesidePackets(t, i)
		i.log.Flush()
		must.StrNotContains(t, out.String(), "work skipped")
	}
}

func tickBesidePackets(t *testing.T, i *Instance) {
	var all sync.WaitGroup
	often := func(work func(n int)) {
		all.Go(func() {
			for n := range 20 {
				work(n)
				time.Sleep(50 * time.Microsecond)
			}
		})
	}
	often(func(n int) {
		for kind := range byte(2) {
			var header [forwarding.MaxHeader]byte
			i.lockState()
			i.handlePacket(i.now(), i.now(), []byte{byte(n), kind}, func(netip.AddrPort, []byte, []byte) {}, header[:])
			i.mu.Unlock()
		}
	})
	often(func(n int) {
		version := confirmed(t, uint64(10+n))
		o := objectstore.Object{Key: "targets/i-1", Version: version, Value: []byte("{}" + strings.Repeat("x", n%2)), Deleted: n%3 == 0}
		i.applyListing(i.now(), "targets", storeSource, objectstore.Listing{Version: version, Objects: []objectstore.Object{o}}, false)
	})
	often(func(int) {
		i.tick()
		i.resetFlows([]forwarding.ResetFlow{{Target: i.forwardTarget("i-2")}})
	})
	often(func(int) { i.log.Flush() })
	all.Wait()
}

// forwardTarget returns a target of the view.
func (i *Instance) forwardTarget(id target.ID) *view.Target {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.forward.View.Target(id)
}

// flowCodec decodes two bytes as a packet of a flow: its number, and 0 for the first packet, 1 for
// the second.
type flowCodec struct{}

func (flowCodec) Decode(b []byte) (s forwarding.Segment, ok bool) {
	s = forwarding.Segment{Flow: forwarding.FlowID{Client: view.Endpoint{Addr: [4]byte{127, 0, 0, 9}, Port: uint16(b[0]) + 1}, Service: listedEndpoint}, Seq: 1}
	if s.SYN = b[1] == 0; !s.SYN {
		s.ACK, s.Token, s.Ack = true, view.TokenOf("i-1"), 9
	}
	return s, true
}

func (flowCodec) SetToken([]byte, uint32)                                      {}
func (flowCodec) PutKey(header []byte, _ uint64) []byte                        { return header[:8] }
func (flowCodec) PutReset(header []byte, _ forwarding.FlowID, _ uint32) []byte { return header[:8] }
