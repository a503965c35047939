package simulation

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"guavaloom.example/guavaloom/internal/maglev"
	"guavaloom.example/guavaloom/internal/membership"
	"guavaloom.example/guavaloom/internal/service"
	"guavaloom.example/guavaloom/internal/steering"
	"guavaloom.example/guavaloom/internal/target"
	"guavaloom.example/guavaloom/internal/zone"
)

// setting is a fixed size of the world.
type setting struct {
	name      string
	instances int
	sites     int // data centres that the instances are spread over
	delay     time.Duration
	slots     int // request slots of a target
	flows     int
	requests  bool // add a request service
	plain     bool // admission as one first-in-first-out queue
}

var (
	kandy        = setting{name: "kandy", instances: 7, sites: 4, delay: 5 * time.Millisecond, slots: 3, flows: 300}
	blueMountain = setting{name: "bluemountain", instances: 6, sites: 3, delay: 3500 * time.Microsecond, slots: 2, flows: 300}
)

// backend is a backend server.
type backend struct {
	target.Target
	service *backendService
	index   int
	state   target.State
	percent uint16
	dead    bool
	busy    int // requests that run
	flows   int // open flows
}

type backendService struct {
	meta     service.Service
	backends []*backend
}

// world is one zone with its flows.
type world struct {
	sim
	setting  setting
	seeds    []membership.Seed
	hosts    []*host
	started  int
	services []*backendService
	desired  zone.Desired
	cut      func(from, to *host) bool
	loss     float64
	uneven   time.Duration // by how much proposals reach instances at different times
	flows    []*client
	open     int
	ports    int
	drops    map[steering.Reason]int
	watched  int // number of the flow to trace in full, 0 for none
	figures  figures
	requests requestFigures
	events   []string
	counting bool // bytes of messages
}

// figures are the results of one run.
type figures struct {
	opened, packets, relays int
	broken                  int
	reopened                int // flows whose repeated first packet went to another target before an answer
	outlived                int // flows silent beyond the idle timeout, because of lost packets
	baselineBroken          int
	wrongService            int
	settles                 int
	first                   string // trace of the first broken flow
	number                  int    // of the first broken flow
	faults                  []string
}

func newWorld(seed int64, s setting) *world {
	w := &world{sim: newSim(seed), setting: s, drops: map[steering.Reason]int{}, uneven: 1500 * time.Millisecond}
	w.loss = []float64{0, 0.005, 0.03}[w.rng.Intn(3)]
	for i := range s.instances {
		w.seeds = append(w.seeds, membership.Seed{ID: instanceName(i)})
	}
	idle := w.between(15*time.Second, 40*time.Second)
	w.addService("booking", 0, 14, service.TCP, idle)
	if w.rng.Intn(2) == 0 {
		w.addService("proofing", 1, 4, service.TCP, idle)
	} else {
		w.addService("proofing", 1, 4, service.UDP, idle)
	}
	if s.requests {
		w.addRequestService()
	}
	w.describe(1)
	for i := range s.instances {
		w.start(instanceName(i))
	}
	w.spread()
	w.runUntil(20 * time.Second)
	return w
}

func (w *world) addService(id service.ID, n, targets int, p service.Protocol, idle time.Duration) {
	s := &backendService{meta: service.Service{
		ID: id, Kind: service.Flow, Protocol: p, IdleTimeout: idle,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, 2, byte(n + 1)}), 443)}}
	if p == service.UDP {
		s.meta.QuietPeriod = 8 * time.Second
	}
	w.services = append(w.services, s)
	for range targets {
		w.addBackend(s, target.Active, target.FullWeight)
	}
}

func (w *world) addBackend(s *backendService, state target.State, percent uint16) *backend {
	i := len(s.backends)
	b := &backend{service: s, index: i, state: state, percent: percent, Target: target.Target{
		ID: target.ID(fmt.Sprintf("%s-%02d", s.meta.ID, i)), Zone: zoneName, Slots: w.setting.slots,
		Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 9, byte(slices.Index(w.services, s)), byte(i)}), 8443)}}
	s.backends = append(s.backends, b)
	return b
}

// describe sets what the zone should converge to, as bundle and health give it.
func (w *world) describe(revision uint64) {
	d := zone.Desired{Bundle: zone.Revision{Epoch: 1, Number: revision}, Gone: w.desired.Gone}
	for _, s := range w.byID() {
		ds := zone.DesiredService{Service: s.meta}
		for _, b := range s.backends {
			dt := zone.DesiredTarget{Target: b.Target, State: b.state}
			if b.state == target.Active {
				dt.Percent = b.percent
			}
			ds.Targets = append(ds.Targets, dt)
		}
		d.Services = append(d.Services, ds)
	}
	w.desired = d
}

// byID returns the services in the order of the bundle.
func (w *world) byID() []*backendService {
	return slices.SortedFunc(slices.Values(w.services), func(a, b *backendService) int { return strings.Compare(string(a.meta.ID), string(b.meta.ID)) })
}

// spread gives the desired state to every instance, to each at another time.
func (w *world) spread() {
	for _, h := range w.live() {
		d := w.desired
		w.after(w.between(0, w.uneven), func() { h.propose(d) })
	}
}

// change describes the present state as the next revision and spreads it.
func (w *world) change() {
	w.describe(w.desired.Bundle.Number + 1)
	w.spread()
}

func (w *world) baselineMaps() [][]int {
	var maps [][]int
	for _, s := range w.services {
		var members []maglev.Member
		for _, b := range s.backends {
			if b.state == target.Active {
				members = append(members, maglev.Member{Index: zone.TargetIndex(b.index), Name: string(b.ID), Percent: b.percent})
			}
		}
		slots := maglev.Build(members, maglev.Size(len(s.backends)))
		m := make([]int, len(slots))
		for i, t := range slots {
			m[i] = int(t)
		}
		maps = append(maps, m)
	}
	return maps
}

// latency is a random one-way delay between two instances; it reorders messages.
func (w *world) latency(a, b *host) time.Duration {
	d := 300 * time.Microsecond
	if a.site != b.site {
		d = w.setting.delay
	}
	return d + w.between(0, d)
}

// link delivers f at to unless the message is lost or the link is cut.
func (w *world) link(from, to *host, f func()) {
	if to == nil || w.cut != nil && w.cut(from, to) || w.rng.Float64() < w.loss {
		return
	}
	w.after(w.latency(from, to), func() { to.do(f) })
}

func (w *world) control(from *host, s membership.Send) {
	var to *host
	for _, h := range w.hosts {
		if h.ref.ID == s.To.ID && !h.dead && (s.To.Incarnation == 0 || h.ref.Same(s.To)) {
			to = h
		}
	}
	m := s.Message
	w.countMessage(from, to, m)
	w.link(from, to, func() { to.act(to.node.Receive(to.clock(), from.ref, m)) })
}

func (w *world) transfer(from *host, a steering.Transfer) {
	to := w.find(&a.To, nil)
	w.traceTransfer(from, a)
	w.countMessage(from, to, a.Batch)
	w.link(from, to, func() {
		ack := to.st.ReceivePins(to.clock(), a.Batch)
		w.countMessage(to, from, ack)
		w.link(to, from, func() { from.st.AckPins(from.clock(), to.ref, ack) })
	})
}

func (w *world) relay(from, to *host, hdr steering.RelayHeader, m transit) {
	w.figures.relays++
	w.countRelay(from, to, &hdr)
	hdr, _, err := steering.DecodeHeader(hdr.Append(nil))
	if err != nil {
		panic(err)
	}
	if to != nil && to.dead {
		// Half of the dead instances leave a machine that refuses the port.
		if to.w.started%2 == 0 {
			from.refused = append(from.refused, to.ref)
		}
		return
	}
	w.link(from, to, func() { to.relayed(from, hdr, m) })
}

func (w *world) noteInstall(h *host, t *zone.Table) {
	for i := range t.Services {
		if t.Services[i].Phase == zone.Stable && t.Version.Seq > 3 {
			w.figures.settles++
		}
	}
	w.traceInstall(h, t)
}

func (w *world) note(format string, args ...any) {
	w.events = append(w.events, fmt.Sprintf("%v ", w.now)+fmt.Sprintf(format, args...))
}
