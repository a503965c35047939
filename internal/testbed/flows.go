package testbed

import (
	"encoding/binary"
	"math/rand"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/gopacket"
	"github.com/google/gopacket/layers"

	"guavaloom.example/guavaloom/internal/flow"
	"guavaloom.example/guavaloom/internal/packet"
)

const (
	// retransmit is the time after which an unacknowledged packet is sent again.
	retransmit = 100 * time.Millisecond
	// gap is the mean time between the acknowledgement of a packet and the next.
	gap = 100 * time.Millisecond
)

// Flows tracks TCP flows from the view of their targets, and sprays their packets
// over instances. A target that gets a packet of a flow that was opened at another
// one would reset it, so the flow counts as broken. Lost packets are sent again.
type Flows struct {
	rng    *rand.Rand
	conn   *net.UDPConn
	client uint32

	mu        sync.Mutex
	fabric    []netip.AddrPort // packet addresses of the instances
	open      []*sprayed
	byKey     map[flow.Key]*sprayed
	counts    FlowCounts
	perTarget map[string]int // flows opened, by target
	stop      chan struct{}
	ended     chan struct{}
}

// FlowCounts are the totals of all flows.
type FlowCounts struct {
	Opened      int `json:"opened"`
	Established int `json:"established"`
	Broken      int `json:"broken"`
	// WrongService counts packets at a target of another service.
	WrongService int `json:"wrong_service"`
	// Packets counts packets that reached the flow's target, Sent those sprayed.
	Packets int `json:"packets"`
	Sent    int `json:"sent"`
	// Stalled counts flows whose packet is sent again and again but does not arrive.
	Stalled int `json:"stalled"`
}

type sprayed struct {
	key    flow.Key
	target string // where the flow is open; empty before
	next   uint32 // number of the packet that is sent until it arrives
	at     time.Time
	since  time.Time // when next was sent first
	broken bool
}

// NewFlows returns a source of packets without flows.
func NewFlows(seed int64) (*Flows, error) {
	c, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(loopback, 0)))
	if err != nil {
		return nil, errors.Wrap(err, "packet source")
	}
	f := &Flows{rng: rand.New(rand.NewSource(seed)), conn: c, byKey: map[flow.Key]*sprayed{}, perTarget: map[string]int{},
		stop: make(chan struct{}), ended: make(chan struct{})}
	go f.run()
	return f, nil
}

// Close ends the source.
func (f *Flows) Close() {
	close(f.stop)
	<-f.ended
	_ = f.conn.Close()
}

// SetFabric replaces the instances that packets are sprayed over.
func (f *Flows) SetFabric(addrs []netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fabric = slices.Clone(addrs)
}

// Open begins n flows to a service address.
func (f *Flows) Open(service netip.AddrPort, n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for range n {
		f.client++
		src := netip.AddrFrom4([4]byte{10, byte(f.client >> 16), byte(f.client >> 8), byte(f.client)})
		k := flow.Key{Src: src, Dst: service.Addr(), SrcPort: uint16(1024 + f.rng.Intn(60_000)), DstPort: service.Port(), Protocol: 6}
		s := &sprayed{key: k, since: time.Now()}
		f.open, f.byKey[k] = append(f.open, s), s
		f.counts.Opened++
	}
}

// Counts returns the totals. A flow counts as stalled if its packet has been on
// the way for longer than limit.
func (f *Flows) Counts(limit time.Duration) FlowCounts {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := f.counts
	for _, s := range f.open {
		if !s.broken && time.Since(s.since) > limit {
			c.Stalled++
		}
	}
	return c
}

// OpenedAt returns how many flows were opened at a target.
func (f *Flows) OpenedAt(name string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.perTarget[name]
}

func (f *Flows) run() {
	defer close(f.ended)
	tick := time.NewTicker(5 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-f.stop:
			return
		case now := <-tick.C:
			f.spray(now)
		}
	}
}

// spray sends all packets that are due, each to a random instance.
func (f *Flows) spray(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.fabric) == 0 {
		return
	}
	for _, s := range f.open {
		if s.broken || now.Before(s.at) {
			continue
		}
		s.at = now.Add(retransmit)
		to := f.fabric[f.rng.Intn(len(f.fabric))]
		if _, err := f.conn.WriteToUDPAddrPort(packet.Encapsulate(nil, s.packet()), to); err == nil {
			f.counts.Sent++
		}
	}
}

// packet returns the flow's next packet: a SYN, then data with a number.
func (s *sprayed) packet() []byte {
	src, dst := s.key.Src.As4(), s.key.Dst.As4()
	ip := &layers.IPv4{Version: 4, TTL: 64, Protocol: layers.IPProtocolTCP, SrcIP: src[:], DstIP: dst[:]}
	tcp := &layers.TCP{SrcPort: layers.TCPPort(s.key.SrcPort), DstPort: layers.TCPPort(s.key.DstPort), Seq: s.next, SYN: s.next == 0, ACK: s.next != 0, Window: 1024}
	_ = tcp.SetNetworkLayerForChecksum(ip) // fails only for other network layers
	buf := gopacket.NewSerializeBuffer()
	opts := gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}
	// Layers of fixed form always serialize.
	_ = gopacket.SerializeLayers(buf, opts, ip, tcp, gopacket.Payload("guava"))
	return buf.Bytes()
}

// arrived notes a packet at a target of the service at address.
func (f *Flows) arrived(name string, address netip.AddrPort, inner []byte) {
	var h packet.Header
	if packet.Decode(inner, &h) != nil {
		return
	}
	seq := binary.BigEndian.Uint32(inner[h.Transport+4:])
	f.mu.Lock()
	defer f.mu.Unlock()
	if netip.AddrPortFrom(h.Key.Dst, h.Key.DstPort) != address {
		f.counts.WrongService++
		return
	}
	s := f.byKey[h.Key]
	if s == nil {
		return
	}
	switch {
	case h.IsInitialSYN() && s.target == "":
		s.target = name
		f.counts.Established++
		f.perTarget[name]++
	case h.IsInitialSYN():
		return // a repeated SYN: the caller has an answer already
	case s.target != name && !s.broken:
		s.broken = true
		f.counts.Broken++
		return
	}
	if seq == s.next && !s.broken {
		f.counts.Packets++
		now := time.Now()
		s.next++
		s.since = now
		s.at = now.Add(gap/2 + time.Duration(f.rng.Int63n(int64(gap))))
	}
}

// FlowTarget is a UDP listener that removes the encapsulation.
type FlowTarget struct {
	Name string
	Addr netip.AddrPort
	conn *net.UDPConn
	tcp  net.Listener // answers probes
	done chan struct{}
}

// NewFlowTarget starts a target of the service at address.
func (f *Flows) NewFlowTarget(name string, at, address netip.AddrPort) (*FlowTarget, error) {
	c, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, errors.Wrapf(err, "target %s", name)
	}
	l, err := net.Listen("tcp", at.String())
	if err != nil {
		return nil, errors.Join(errors.Wrapf(err, "target %s", name), c.Close())
	}
	t := &FlowTarget{Name: name, Addr: at, conn: c, tcp: l, done: make(chan struct{})}
	go answerProbes(l)
	go func() {
		defer close(t.done)
		buf := make([]byte, packet.MaxDatagram)
		for {
			n, err := c.Read(buf)
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err != nil {
				continue
			}
			if inner, err := packet.Decapsulate(buf[:n]); err == nil {
				f.arrived(name, address, inner)
			}
		}
	}()
	return t, nil
}

// answerProbes accepts connections until the listener is closed.
func answerProbes(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		_ = c.Close()
	}
}

// Close ends the target.
func (t *FlowTarget) Close() {
	_ = t.tcp.Close()
	_ = t.conn.Close()
	<-t.done
}

// AllMovedSince reports whether each flow that is not broken has had a packet
// arrive after t.
func (f *Flows) AllMovedSince(t time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !slices.ContainsFunc(f.open, func(s *sprayed) bool { return !s.broken && !s.since.After(t) })
}
