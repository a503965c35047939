package simulation

import (
	"math"
	"time"

	"github.com/fxamacker/cbor/v2"

	"guavaloom.example/guavaloom/internal/steering"
	"guavaloom.example/guavaloom/internal/target"
)

const (
	// messageOverhead is what one message costs besides its CBOR bytes: an HTTP/2
	// HEADERS frame with indexed fields (about 40 bytes) and a DATA frame header (9),
	// a TLS 1.3 record (22), and TCP and IP headers with timestamps (52).
	messageOverhead = 123
	// newFlows is the rate of new flows at each instance, per second.
	newFlows = 5000
	// sampledFlows is the rate of new flows that the run really opens in the whole
	// zone; bytes of relay headers are scaled up.
	sampledFlows = 400
	controlTime  = 120 * time.Second
)

// traffic counts the bytes that one instance sends and receives.
type traffic struct {
	control  int // messages between instances
	transfer int // pins in transfers and their answers
	pins     int // relay headers that carry or ask for a pin
	relayed  int // relay headers of packets on their way to the home
}

func (w *world) countMessage(from, to *host, m any) {
	if !w.counting {
		return
	}
	b, err := cbor.Marshal(m)
	if err != nil {
		panic(err)
	}
	for _, h := range []*host{from, to} {
		if h == nil {
			continue
		}
		switch m.(type) {
		case steering.PinBatch, steering.PinAck:
			h.traffic.transfer += len(b) + messageOverhead
		default:
			h.traffic.control += len(b) + messageOverhead
		}
	}
}

func (w *world) countRelay(from, to *host, hdr *steering.RelayHeader) {
	if !w.counting || to == nil {
		return
	}
	size := len(hdr.Append(nil))
	for _, h := range []*host{from, to} {
		if hdr.Kind == steering.ToHome {
			h.traffic.relayed += size
		} else {
			h.traffic.pins += size
		}
	}
}

// controlRates are bytes per second of the worst instance and the mean.
type controlRates struct{ control, transfer, pins, relayed, worst, mean float64 }

// runControl measures a drain in two minutes, which is about the usual interval of
// changes of a zone: 11,000 a day in 16 zones.
func runControl(seed int64, instances int, change bool) controlRates {
	s := kandy
	s.instances, s.sites = instances, 1
	w := newWorld(seed, s)
	w.loss = 0
	w.runUntil(w.now + time.Duration(instances/4)*time.Second)
	w.openAt(sampledFlows, w.now+controlTime+time.Second)
	w.runUntil(w.now + 10*time.Second)
	w.counting = true
	start := w.now
	if change {
		w.services[0].backends[w.rng.Intn(14)].state = target.Draining
		w.change()
	}
	w.runUntil(start + controlTime)
	return w.rates(float64(newFlows*instances) / sampledFlows)
}

// openAt opens short flows of three packets at a rate, at random times.
func (w *world) openAt(rate float64, until time.Duration) {
	if w.now >= until {
		return
	}
	c := w.dial(0)
	c.packets, c.low, c.high = 3, 20*time.Millisecond, 200*time.Millisecond
	w.after(time.Duration(-math.Log(1-w.rng.Float64())/rate*float64(time.Second)), func() { w.openAt(rate, until) })
}

func (w *world) rates(scale float64) controlRates {
	var r controlRates
	n := float64(len(w.live()))
	for _, h := range w.live() {
		t, d := h.traffic, controlTime.Seconds()
		all := (float64(t.control+t.transfer) + scale*float64(t.pins)) / d
		r.worst = max(r.worst, all)
		r.mean += all / n
		r.control += float64(t.control) / d / n
		r.transfer += float64(t.transfer) / d / n
		r.pins += scale * float64(t.pins) / d / n
		r.relayed += scale * float64(t.relayed) / d / n
	}
	return r
}
