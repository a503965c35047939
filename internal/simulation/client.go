package simulation

import (
	"fmt"
	"net/netip"
	"time"

	"guavaloom.example/guavaloom/internal/flow"
	"guavaloom.example/guavaloom/internal/service"
	"guavaloom.example/guavaloom/internal/steering"
)

const (
	clientDelay = 3 * time.Millisecond
	firstRetry  = time.Second
	lastRetry   = 4 * time.Second
	traceLength = 40
)

// client is the caller's end of one flow.
type client struct {
	number   int
	service  int
	key      flow.Key
	opening  *backend // got the newest first packet before the caller had an answer
	holder   *backend // gave the first answer that the caller took
	arrived  time.Duration
	answered bool // the caller has got an answer of the target
	sent     int  // data packets sent so far
	acked    int
	packets  int // that the flow will have; 0 for no end
	low      time.Duration
	high     time.Duration
	quiet    time.Duration // how long the flow stays open after its last packet
	over     bool
	broken   bool
	base     int // target of the baseline, -1 before the first packet
	baseLost bool
	trace    []string
}

// transit is a packet of a flow on its way, or a relay message without packet.
type transit struct {
	flow   *client
	first  bool
	answer bool
	seq    int
	from   *host
}

func (m transit) packet() steering.Packet {
	if m.answer {
		return steering.Packet{}
	}
	return steering.Packet{Key: m.flow.key, First: m.first}
}

func (w *world) trace(m transit, format string, args ...any) {
	c := m.flow
	if len(c.trace) >= traceLength && c.number != w.watched {
		c.trace = append(c.trace[:0], c.trace[traceLength/2:]...)
	}
	c.trace = append(c.trace, fmt.Sprintf("seq %d first %t answer %t: ", m.seq, m.first, m.answer)+fmt.Sprintf(format, args...))
}

// dial opens a flow: short, long, or silent for most of the idle timeout.
func (w *world) dial(svc int) *client {
	w.ports++
	s := w.services[svc].meta
	c := &client{number: w.ports, service: svc, base: -1, key: flow.Key{
		Src: netip.AddrFrom4([4]byte{198, 51, byte(w.ports >> 8), byte(w.ports)}), SrcPort: uint16(1024 + w.rng.Intn(60000)),
		Dst: s.Address.Addr(), DstPort: s.Address.Port(), Protocol: uint8(s.Protocol)}}
	switch k := w.rng.Intn(10); {
	case s.Protocol == service.UDP:
		c.low, c.high, c.packets = 100*time.Millisecond, s.QuietPeriod/6, w.rng.Intn(200)
	case k < 4:
		c.low, c.high, c.packets = 20*time.Millisecond, 500*time.Millisecond, 3+w.rng.Intn(30)
	case k < 7:
		c.low, c.high = 500*time.Millisecond, 4*time.Second
	default:
		c.low, c.high = s.IdleTimeout/2, s.IdleTimeout*8/10
	}
	w.flows = append(w.flows, c)
	w.figures.opened++
	w.open++
	w.send(c, firstRetry)
	return c
}

// send hands the flow's next packet to a random instance and repeats it until
// the caller has an answer.
func (w *world) send(c *client, retry time.Duration) {
	if c.over {
		return
	}
	m := transit{flow: c, first: !c.answered && c.key.Protocol == uint8(service.TCP), seq: c.sent}
	live := w.live()
	h := live[w.rng.Intn(len(live))]
	w.figures.packets++
	w.baseline(h, c)
	if w.rng.Float64() >= w.loss {
		w.after(clientDelay+w.between(0, time.Millisecond), func() { h.do(func() { h.packet(m) }) })
	}
	w.after(retry, func() {
		if c.acked <= m.seq && c.sent == m.seq {
			w.send(c, min(2*retry, lastRetry))
		}
	})
}

// forward carries a packet from an instance to a target.
func (w *world) forward(from *host, d steering.Decision, m transit) {
	for _, b := range w.services[m.flow.service].backends {
		if b.Addr == d.Addr {
			if w.rng.Float64() >= w.loss {
				w.after(w.between(200*time.Microsecond, 2*time.Millisecond), func() { w.arrive(b, m) })
			}
			return
		}
	}
	w.figures.wrongService++
	w.note("%s sent a packet of %s to %s", from.ref.ID, w.services[m.flow.service].meta.ID, d.Addr)
}

// arrive is a packet at a target. A target that does not hold the flow would reset it.
func (w *world) arrive(b *backend, m transit) {
	c := m.flow
	s := w.services[c.service].meta
	if c.over || b.dead {
		return
	}
	limit := s.IdleTimeout
	if s.Protocol == service.UDP {
		limit = s.QuietPeriod
	}
	switch {
	case c.holder == nil && m.first:
		// Not open yet: the caller takes the answer that comes first.
		if c.opening != nil && c.opening != b {
			w.figures.reopened++
		}
		c.opening = b
		w.reply(b, m)
		return
	case c.holder == nil:
		c.hold(b)
	case c.holder.dead:
		w.end(c)
		return
	case w.now-c.arrived > limit:
		w.figures.outlived++ // silent beyond the idle timeout: no longer an open flow
		w.end(c)
		return
	case c.holder != b:
		w.breaks(c, b, m)
		return
	}
	c.arrived = w.now
	w.reply(b, m)
}

// reply is the target's answer, which does not pass the load balancer.
func (w *world) reply(b *backend, m transit) {
	if w.rng.Float64() >= w.loss {
		w.after(clientDelay+w.between(0, clientDelay), func() { w.answer(m.flow, b, m.seq) })
	}
}

func (w *world) breaks(c *client, b *backend, m transit) {
	c.broken = true
	w.figures.broken++
	w.trace(m, "%v reached %s, held by %s", w.now, b.ID, c.holder.ID)
	if w.figures.first == "" {
		w.figures.number = c.number
		for _, l := range c.trace {
			w.figures.first += l + "\n"
		}
	}
	w.end(c)
}

func (w *world) answer(c *client, b *backend, seq int) {
	if c.over || seq < c.acked {
		return
	}
	if c.holder == nil {
		c.hold(b)
		c.arrived = w.now
	}
	c.answered = true
	c.acked, c.sent = seq+1, seq+1
	if c.packets > 0 && c.acked >= c.packets {
		w.after(c.quiet, func() { w.end(c) })
		return
	}
	w.after(w.between(c.low, c.high), func() { w.send(c, firstRetry) })
}

func (c *client) hold(b *backend) {
	c.holder = b
	b.flows++
}

func (w *world) end(c *client) {
	if c.over {
		return
	}
	if c.holder != nil {
		c.holder.flows--
	}
	c.over = true
	w.open--
}

// baseline decides the same packet by the newest slot map that the instance has.
func (w *world) baseline(h *host, c *client) {
	m := h.maps[c.service]
	t := m[c.key.Hash()%uint64(len(m))]
	backends := w.services[c.service].backends
	switch {
	case t >= len(backends):
	case c.base < 0:
		c.base = t
	case t != c.base && !c.baseLost && !backends[c.base].dead:
		c.baseLost = true
		w.figures.baselineBroken++
	}
}

// keepOpen opens flows until the given time so that about n are open.
func (w *world) keepOpen(n int, until time.Duration) {
	for w.open < n && w.now < until {
		svc := 0
		if w.rng.Intn(4) == 0 {
			svc = 1
		}
		w.dial(svc)
		if w.rng.Intn(8) == 0 {
			break
		}
	}
	if w.now < until {
		w.after(w.between(20*time.Millisecond, 200*time.Millisecond), func() { w.keepOpen(n, until) })
	}
}
