package simulation

import (
	"fmt"
	"math/rand"
	"net/netip"
	"slices"
	"time"

	"guavaloom.example/guavaloom/internal/instance"
	"guavaloom.example/guavaloom/internal/membership"
	"guavaloom.example/guavaloom/internal/steering"
	"guavaloom.example/guavaloom/internal/zone"
)

const (
	zoneName = "zone-a"
	cookie   = 0x5eed
	// nodeTick is the interval at which the daemon ticks the cores.
	nodeTick = 100 * time.Millisecond
	// deskTick is the interval at which the daemon ticks admission and dispatch.
	deskTick = 10 * time.Millisecond
	// reportEvery is the interval of the reports of touched slots.
	reportEvery = 2 * time.Second
)

// host is one instance: the zone and steering cores joined as the daemon joins them.
type host struct {
	w       *world
	ref     instance.Ref
	site    int // data centre
	node    *membership.Node
	st      *steering.Steerer
	offset  time.Duration // of the monotonic clock
	rate    float64       // of the monotonic clock
	dead    bool
	leaving bool
	paused  bool
	held    []func()
	refused []instance.Ref // relay port refused
	events  map[membership.EventKind]int
	desired zone.Desired
	counter *counter
	traffic traffic
	maps    [][]int // by service: the newest slot map, for the baseline
}

func (w *world) start(id instance.ID) *host {
	w.started++
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 2, 0, byte(w.started)}), 7000)
	h := &host{
		w: w, site: w.started % w.setting.sites, events: map[membership.EventKind]int{},
		ref: instance.Ref{ID: id, Incarnation: instance.Incarnation(w.now + 1), Zone: zoneName, Control: addr, Relay: addr, Request: addr},
		// The clocks start anywhere and run up to 1 % fast or slow.
		offset: w.between(0, time.Hour), rate: 0.99 + 0.02*w.rng.Float64(),
	}
	h.node = membership.New(membership.Config{Zone: zoneName, Seeds: w.seeds}, h.ref, rand.New(rand.NewSource(w.rng.Int63())))
	h.st = steering.New(steering.Config{Shards: 2, PinLimit: 1 << 15, TransferBytes: 800}, h.ref)
	h.st.SetCookie(cookie)
	h.node.SetListed(w.listed())
	if w.setting.requests {
		h.counter = newCounter(h)
		w.after(deskTick, h.tickDesk)
	}
	w.hosts = append(w.hosts, h)
	h.propose(w.desired)
	w.after(w.between(0, nodeTick), h.tick)
	w.after(w.between(0, reportEvery), h.report)
	return h
}

func (h *host) clock() time.Duration {
	return h.offset + time.Duration(float64(h.w.now)*h.rate)
}

// do runs f now, when the instance resumes, or never if it is dead.
func (h *host) do(f func()) {
	switch {
	case h.dead:
	case h.paused:
		h.held = append(h.held, f)
	default:
		f()
	}
}

func (h *host) resume() {
	h.paused = false
	held := h.held
	h.held = nil
	for _, f := range held {
		h.do(f)
	}
}

func (h *host) tick() {
	h.do(func() {
		h.act(h.node.Tick(h.clock()))
		for _, a := range h.st.Tick(h.clock()) {
			h.w.transfer(h, a)
		}
		if done := h.st.TransferredHomeSet(); done != 0 {
			h.act(h.node.TransfersDone(h.clock(), done))
		}
		h.w.after(nodeTick, h.tick)
	})
}

func (h *host) tickDesk() {
	h.do(func() {
		h.counter.desk.desk.Tick(h.clock())
		h.w.after(deskTick, h.tickDesk)
	})
}

func (h *host) report() {
	h.do(func() {
		h.act(h.node.ReportTouched(h.clock(), h.st.Report(h.clock())))
		h.w.after(reportEvery, h.report)
	})
}

func (h *host) propose(d zone.Desired) {
	h.do(func() {
		h.desired = d
		h.maps = h.w.baselineMaps()
		h.act(h.node.Propose(h.clock(), d))
	})
}

// act carries out the actions of the zone core and passes its state to steering.
func (h *host) act(actions []membership.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case membership.Install:
			h.st.Install(h.clock(), a.Table)
			h.w.noteInstall(h, a.Table)
			if h.counter != nil {
				h.counter.install(a.Table)
			}
		case membership.Send:
			h.w.control(h, a)
		case membership.Event:
			h.events[a.Kind]++
			if a.Kind == membership.EventLeft {
				h.leave()
			}
		}
	}
	h.st.SetCommitted(h.node.Committed())
	h.suspect()
}

// suspect tells steering whom not to relay to.
func (h *host) suspect() {
	suspects := h.node.Suspects()
	for _, r := range h.refused {
		if !slices.ContainsFunc(suspects, r.Same) {
			suspects = append(suspects, r)
		}
	}
	h.st.SetSuspects(suspects)
}

// depart starts a graceful departure.
func (h *host) depart() {
	h.leaving = true
	h.do(func() {
		leave := func() { h.act(h.node.Leave(h.clock())) }
		if h.counter != nil {
			h.counter.leave(leave)
			return
		}
		leave()
	})
}

func (h *host) leave() {
	h.dead = true
	h.w.after(h.w.between(time.Second, 10*time.Second), func() { h.w.confirmGone(h.ref) })
}

// packet handles a packet that the fabric handed to this instance.
func (h *host) packet(m transit) {
	h.setLease()
	h.follow(h.st.Packet(h.clock(), m.packet()), m)
}

func (h *host) relayed(from *host, hdr steering.RelayHeader, m transit) {
	h.setLease()
	m.from = from
	h.follow(h.st.Relayed(h.clock(), hdr, m.packet()), m)
}

// setLease does what the daemon does for each batch of packets.
func (h *host) setLease() {
	now := h.clock()
	if !h.node.Leased(now) {
		now--
	}
	h.st.SetLease(now)
}

func (h *host) follow(d steering.Decision, m transit) {
	h.w.trace(m, "%v %s: %s %s to %v target %d %s", h.w.now, h.ref.ID, d.Action, d.Header.Kind, d.To, d.Target, d.Reason)
	switch d.Action {
	case steering.Forward:
		h.w.forward(h, d, m)
	case steering.Relay:
		h.w.relay(h, h.w.find(d.To, m.from), d.Header, m)
	case steering.Drop:
		h.w.drops[d.Reason]++
	}
	if d.Reply != nil {
		h.w.relay(h, h.w.find(d.ReplyTo, m.from), *d.Reply, transit{flow: m.flow, answer: true})
	}
}

func (w *world) find(r *instance.Ref, sender *host) *host {
	if r == nil {
		return sender
	}
	for _, h := range w.hosts {
		if h.ref.Same(*r) {
			return h
		}
	}
	return nil
}

func (w *world) live() []*host {
	var out []*host
	for _, h := range w.hosts {
		if !h.dead {
			out = append(out, h)
		}
	}
	return out
}

func (w *world) leader() *host {
	for _, h := range w.live() {
		if l, ok := h.node.Leader(); ok && l.Same(h.ref) && !h.paused {
			return h
		}
	}
	return nil
}

// crash ends an instance without notice. The platform's list shows it later.
func (w *world) crash(h *host) {
	h.dead = true
	w.after(w.between(5*time.Second, 30*time.Second), func() { w.confirmGone(h.ref) })
}

func (w *world) confirmGone(r instance.Ref) {
	w.desired.Gone = append(slices.Clone(w.desired.Gone), r)
	w.spread()
	for _, h := range w.live() {
		h.node.SetListed(w.listed())
	}
}

// listed is the platform's list; it lags behind for runs that have ended.
func (w *world) listed() []instance.Ref {
	var refs []instance.Ref
	for _, h := range w.hosts {
		if !slices.ContainsFunc(w.desired.Gone, h.ref.Same) {
			refs = append(refs, h.ref)
		}
	}
	return refs
}

func instanceName(i int) instance.ID { return instance.ID(fmt.Sprintf("i-%02d", i)) }
