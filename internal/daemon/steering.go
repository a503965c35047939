package daemon

import (
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"guavaloom.example/guavaloom/internal/instance"
	"guavaloom.example/guavaloom/internal/metric"
	"guavaloom.example/guavaloom/internal/packet"
	"guavaloom.example/guavaloom/internal/steering"
)

// Drop reasons of this package; see steering.Reason and packet.Reason for others.
const (
	dropRelayHeader = "relay_header"
	dropNoReceiver  = "relay_receiver_unknown"
)

// worker handles the batches of one socket.
type worker struct {
	d     *daemon
	drops map[string]metrics.Counter // cached, since the lock of the metrics is contended in a flood
	head  [steering.HeaderSize]byte
	hdr   packet.Header
}

func (d *daemon) newWorker() *worker {
	return &worker{d: d, drops: map[string]metrics.Counter{}}
}

func (w *worker) drop(reason string) {
	c := w.drops[reason]
	if c == nil {
		c = w.d.metrics.Counter(metric.PacketsDropped, reason)
		w.drops[reason] = c
	}
	c.Inc(1)
}

// handleFabric steers the packets of callers. The time is read once for each batch, and
// steering compares it with the lease.
func (w *worker) handleFabric(b *packet.Batch) {
	w.reportRefused(b)
	now := w.d.now()
	for i := range b.In {
		inner, err := packet.Decapsulate(b.In[i].Data)
		if err == nil {
			err = packet.Decode(inner, &w.hdr)
		}
		if err != nil {
			w.drop(packet.Reason(err))
			continue
		}
		p := steering.Packet{Key: w.hdr.Key, First: w.hdr.IsInitialSYN()}
		w.execute(b, w.d.steer(now, p), inner[:w.hdr.Length])
	}
}

// handleRelayed steers packets that other instances have relayed.
func (w *worker) handleRelayed(b *packet.Batch) {
	w.reportRefused(b)
	now := w.d.now()
	for i := range b.In {
		rh, inner, err := steering.DecodeHeader(b.In[i].Data)
		if err != nil {
			w.drop(dropRelayHeader)
			continue
		}
		var p steering.Packet
		if rh.Kind != steering.Pin {
			if err := packet.Decode(inner, &w.hdr); err != nil {
				w.drop(packet.Reason(err))
				continue
			}
			p = steering.Packet{Key: w.hdr.Key, First: w.hdr.IsInitialSYN()}
			inner = inner[:w.hdr.Length]
		}
		w.execute(b, w.d.steerer.Relayed(now, rh, p), inner)
	}
}

// execute carries out a decision.
func (w *worker) execute(b *packet.Batch, dec steering.Decision, inner []byte) {
	switch dec.Action {
	case steering.Drop:
		w.drop(dec.Reason.String())
	case steering.Forward:
		b.Send(dec.Addr, packet.GUEHeader(inner), inner)
	case steering.Relay:
		w.relay(b, dec.To, &dec.Header, inner)
	}
	if dec.Reply != nil {
		w.relay(b, dec.ReplyTo, dec.Reply, nil)
	}
}

// relay sends a packet to an instance. If the receiver isn't in the table yet, the packet
// is dropped and counted, since packets from the receiver's fabric socket don't contain
// its relay address. A retransmission by the caller finds it in the next table.
func (w *worker) relay(b *packet.Batch, to *instance.Ref, h *steering.RelayHeader, inner []byte) {
	if to == nil {
		w.drop(dropNoReceiver)
		return
	}
	b.Send(to.Relay, h.Append(w.head[:0]), inner)
}

func (w *worker) reportRefused(b *packet.Batch) {
	if len(b.Refused) > 0 {
		w.d.zone.relayRefused(b.Refused)
		w.d.health.recordRefused(b.Refused)
	}
}

// steer returns the decision on a packet from the fabric.
func (d *daemon) steer(now time.Duration, p steering.Packet) steering.Decision {
	if d.misroute != nil {
		return d.misroute(d.steerer.Packet(now, p), p)
	}
	return d.steerer.Packet(now, p)
}

const (
	// pinTick is the interval of steering ticks.
	pinTick = 100 * time.Millisecond
	// touchedReportInterval is the interval of reports of touched slots.
	touchedReportInterval = 3 * time.Second
	// transferTickBytes bounds the pin transfers that one tick queues. The control
	// budget limits them further.
	transferTickBytes = 32 << 10
	// pinShards is the number of parts of the pin table: a few times the number of
	// workers, so that workers seldom contend for a lock.
	pinShards = 64
)

func newSteerer(pinLimit int, self instance.Ref) *steering.Steerer {
	return steering.New(steering.Config{Shards: pinShards, PinLimit: max(pinLimit, pinShards), TransferBytes: transferTickBytes}, self)
}

// tickPins sends pin transfers and reports pins and finished transfers to the leader. A
// leaving instance reports its transfers only once its requests have ended, since
// that report lets the leader take it out of the zone.
func (d *daemon) tickPins(now time.Duration) {
	for _, a := range d.steerer.Tick(now) {
		d.send(a.To, a.Batch)
	}
	if number := d.steerer.TransferredHomeSet(); number > 0 && !d.holdTransfers.Load() {
		d.zone.transfersDone(number)
	}
	if now >= d.nextReport {
		d.nextReport = now + touchedReportInterval
		d.zone.report(d.steerer.Report(now))
	}
}
