package soak

import (
	"fmt"
	"math/rand"
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"guavaloom.example/guavaloom/internal/forwarding"
	"guavaloom.example/guavaloom/internal/rendezvous"
	"guavaloom.example/guavaloom/internal/view"
	"guavaloom.example/guavaloom/platform/standin"
)

// Bounds of the promises, from the users' site files.
const (
	drainBound  = 3 * time.Second
	configBound = 3 * time.Second
	// calmFor is how long there must have been no fault for a bound to hold.
	calmFor = 4 * time.Second
	// probeEvery is the pause between the routers' readiness checks; two misses
	// take an instance out of rotation.
	probeEvery = 500 * time.Millisecond
	// stall is a pause of this test's own process from which on a bound is not
	// judged: the machine gave it no time.
	stall = 300 * time.Millisecond
	// heartbeatsGone is after how long the store removes a silent target.
	heartbeatsGone = 2 * time.Second
)

// endpoint returns the endpoint of the n-th route: even ones lead to booking, odd
// ones to proofing.
func endpoint(n int) view.Endpoint {
	return view.Endpoint{Addr: [4]byte{198, 18, 0, byte(n)}, Port: 443}
}

func serviceOf(n int) string {
	if n%2 == 0 {
		return "booking"
	}
	return "proofing"
}

// life is a target and what was done to it.
type life struct {
	*standin.Target
	key        uint64
	zone       string
	drainingAt time.Time // zero until it drains
	endedAt    time.Time // zero while it lives
	// silencedUntil is the end of the last time in which it ignored all packets.
	silencedUntil time.Time
}

// world is one run.
type world struct {
	rng        *rand.Rand
	net        subnet
	store      *standin.Store
	instances  []*instance
	packetPort uint16
	// restores is the random source of the restores of the store, copies what it is restored
	// from.
	restores *rand.Rand
	copies   []storeCopy
	// evacuating is the random source of evacuations; nil in a run without them.
	evacuating *rand.Rand

	mu       sync.Mutex // guards all below
	targets  []*life
	nextKey  uint64
	version  int
	routes   map[int]time.Time // since when each route is in the configuration
	removed  map[int]time.Time // since when it is not any more
	rotation map[int]bool      // positions of instances
	// faultUntil is when the last fault ended; running counts those under way.
	faultUntil time.Time
	running    int
	// evacuations are all of the run, in order of time.
	evacuations []evacuation
	broken      []string
	served      int
	failed      int
}

// report records a broken promise.
func (w *world) report(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.broken = append(w.broken, fmt.Sprintf(format, args...))
}

// begin and end frame a fault.
func (w *world) begin() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running++
}

func (w *world) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running--
	w.faultUntil = time.Now()
}

// calmSince reports whether there was no fault from calmFor before the time on.
func (w *world) calmSince(t time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.running == 0 && w.faultUntil.Before(t.Add(-calmFor))
}

// watchStalls counts pauses of this process as faults.
func (w *world) watchStalls(stop <-chan struct{}) {
	const step = 50 * time.Millisecond
	for last := time.Now(); ; {
		select {
		case <-stop:
			return
		case <-time.After(step):
		}
		if now := time.Now(); now.Sub(last) > stall {
			w.begin()
			w.end()
		}
		last = time.Now()
	}
}

// putConfig writes the configuration with the present routes. The caller holds mu.
func (w *world) putConfig() {
	w.version += 1 + w.rng.Intn(3)
	routes := make([]standin.Route, 0, len(w.routes))
	for n := range w.routes {
		routes = append(routes, standin.Route{Name: fmt.Sprintf("r%d", n), Endpoint: endpoint(n), Service: serviceOf(n)})
	}
	w.store.PutConfig(w.version, routes...)
}

// addTarget starts and registers a target, at an address if one is given.
func (w *world) addTarget(service, zone string, at netip.AddrPort) error {
	return w.addColdTarget(service, zone, at, 0)
}

// addColdTarget is addTarget for a target that is cold for some time after its start.
func (w *world) addColdTarget(service, zone string, at netip.AddrPort, warmUp time.Duration) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nextKey++
	key := 0x1000 + w.nextKey
	if !at.IsValid() {
		at = netip.AddrPortFrom(w.net.addr(maxAddrs-1), 0)
	}
	t, err := standin.NewTarget(standin.TargetConfig{
		ID: fmt.Sprintf("i-%x", key), Service: service, Zone: zone, Key: key, PacketPort: w.packetPort, Listen: at, WarmUp: warmUp,
	})
	if err != nil {
		return err
	}
	t.Register(w.store, "ready")
	w.targets = append(w.targets, &life{Target: t, key: key, zone: zone})
	return nil
}

// living returns the targets of a service in a data centre that are ready.
func (w *world) living(service, zone string) (out []*life) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, t := range w.targets {
		if t.Service() == service && t.zone == zone && t.drainingAt.IsZero() && t.endedAt.IsZero() {
			out = append(out, t)
		}
	}
	return out
}

// lives reports whether a target has not ended and was not silenced in the last
// calmFor: a target that lost its entry and ignores its clients can't be told from
// one that ended, and the users' rules except it.
func (w *world) lives(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, t := range w.targets {
		if t.ID() == id {
			return t.endedAt.IsZero() && time.Since(t.silencedUntil) > calmFor
		}
	}
	return false
}

// route picks the instance for a flow: by rendezvous over those in rotation, over
// all if fewer than half are.
func (w *world) route(f forwarding.FlowID) netip.AddrPort {
	w.mu.Lock()
	defer w.mu.Unlock()
	best, bestScore := -1, uint64(0)
	for n := range w.instances {
		if !w.rotation[n] && 2*len(w.rotation) >= len(w.instances) {
			continue
		}
		if s := rendezvous.Score(rendezvous.Seed(w.instances[n].name), f.Hash()); best < 0 || s > bestScore {
			best, bestScore = n, s
		}
	}
	return w.instances[best].packet
}

// probe keeps the rotation by readiness checks.
func (w *world) probe(n int, stop <-chan struct{}) {
	misses := 0
	for {
		if w.instances[n].answersReady() {
			misses = 0
		} else {
			misses++
		}
		w.mu.Lock()
		if misses == 0 {
			w.rotation[n] = true
		} else if misses >= 2 {
			delete(w.rotation, n)
		}
		w.mu.Unlock()
		select {
		case <-stop:
			return
		case <-time.After(probeEvery):
		}
	}
}

// subnet is a /24 of the loopback network that one run has for itself.
type subnet [3]byte

// maxAddrs is how many addresses a subnet has.
const maxAddrs = 250

// subnets counts those that this process has used.
var subnets atomic.Uint32

// newSubnet returns a subnet of its own for each run of this process, and with other
// processes' runs one that is most likely another.
func newSubnet() subnet {
	const all = 250 * 250
	n := (uint32(os.Getpid())*64 + subnets.Add(1)) % all
	return subnet{127, byte(1 + n/250), byte(n % 250)}
}

func (s subnet) addr(n int) netip.Addr {
	return netip.AddrFrom4([4]byte{s[0], s[1], s[2], byte(1 + n)})
}

// portFinder returns a function that picks free ports and the packet port, which
// is free on all addresses of the run.
func portFinder(rng *rand.Rand, ips []netip.Addr) (packet uint16, pick func(netip.Addr) netip.AddrPort) {
	free := func(port uint16, on []netip.Addr) bool {
		for _, ip := range on {
			a := netip.AddrPortFrom(ip, port).String()
			c, err := net.ListenPacket("udp", a)
			if err != nil {
				return false
			}
			_ = c.Close()
			l, err := net.Listen("tcp", a)
			if err != nil {
				return false
			}
			_ = l.Close()
		}
		return true
	}
	taken := map[uint16]bool{}
	draw := func(on []netip.Addr, width uint16) uint16 {
		for {
			port := uint16(10_000 + rng.Intn(20_000))
			ok := true
			for n := range width {
				ok = ok && !taken[port+n] && free(port+n, on)
			}
			if ok {
				for n := range width {
					taken[port+n] = true
				}
				return port
			}
		}
	}
	packet = draw(ips, 2)
	return packet, func(ip netip.Addr) netip.AddrPort { return netip.AddrPortFrom(ip, draw([]netip.Addr{ip}, 1)) }
}
