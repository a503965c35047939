package daemon

import (
	"sync/atomic"

	metrics "github.com/rcrowley/go-metrics"

	"guavaloom.example/guavaloom/internal/metric"
	"guavaloom.example/guavaloom/internal/packet"
	"guavaloom.example/guavaloom/internal/request"
	"guavaloom.example/guavaloom/internal/steering"
)

// countPackets exposes the receivers' counters.
func (d *daemon) countPackets() {
	for port, r := range map[string]*packet.Receiver{"packet": d.packet, "relay": d.relay} {
		expose := func(decl metric.Declaration, label string, v *atomic.Uint64) {
			d.metrics.Func(decl, label, func() float64 { return float64(v.Load()) })
		}
		st := r.Stats()
		expose(metric.PacketsReceived, port, &st.Received)
		expose(metric.PacketsSent, port, &st.Sent)
		expose(metric.PacketsDropped, port+"_send_error", &st.SendErrors)
		expose(metric.PacketsDropped, port+"_oversized", &st.Oversized)
		expose(metric.PacketsDropped, port+"_read_error", &st.ReadErrors)
	}
}

// countSteering exposes the counters of the pin tables.
func (d *daemon) countSteering() {
	for label, read := range map[string]func(steering.Stats) uint64{
		"evicted":     func(s steering.Stats) uint64 { return s.Evicted },
		"expired":     func(s steering.Stats) uint64 { return s.Expired },
		"refused":     func(s steering.Stats) uint64 { return s.Refused },
		"conflict":    func(s steering.Stats) uint64 { return s.Conflicts },
		"alone":       func(s steering.Stats) uint64 { return s.WithoutBackup },
		"transferred": func(s steering.Stats) uint64 { return s.TransferredPins },
	} {
		d.metrics.Func(metric.PinEvents, label, func() float64 { return float64(read(d.steerer.Stats())) })
	}
	d.metrics.Func(metric.Pins, "", func() float64 { return float64(d.steerer.Stats().Pins) })
}

// countRequests exposes the counters of the request path, which keeps them in a
// registry of its own.
func (d *daemon) countRequests(registry metrics.Registry) {
	for _, r := range request.Reasons() {
		c := metrics.GetOrRegisterCounter(request.MetricPrefix+r.Name, registry)
		d.metrics.Func(metric.RequestReasons, r.Name, func() float64 { return float64(c.Count()) })
	}
}

// countDrops registers the counters of all drop reasons, so that they are exposed
// before the first drop.
func (d *daemon) countDrops() {
	for r := steering.NotReady; r.String() != "unknown"; r++ {
		d.metrics.Counter(metric.PacketsDropped, r.String())
	}
	for _, err := range []error{packet.ErrTruncated, packet.ErrVersion, packet.ErrHeader, packet.ErrFragment, packet.ErrProtocol, packet.ErrEncapsulation} {
		d.metrics.Counter(metric.PacketsDropped, packet.Reason(err))
	}
	d.metrics.Counter(metric.PacketsDropped, dropRelayHeader)
	d.metrics.Counter(metric.PacketsDropped, dropNoReceiver)
}
