package edge

import (
	"bytes"
	"net/netip"
	"time"

	"guavaloom.example/guavaloom/internal/forwarding"
	"guavaloom.example/guavaloom/internal/logfield"
	"guavaloom.example/guavaloom/internal/packet"

	"github.com/sirupsen/logrus"
)

// handlePackets handles the packets of a batch and queues the packets to send.
func (i *Instance) handlePackets(b *packet.Batch) {
	defer i.recoverPanic("packets")
	var header [forwarding.MaxHeader]byte
	i.lockState()
	defer i.mu.Unlock()
	now := i.now() // after the wait for the lock: packets leave after that
	if len(b.In) > 0 {
		i.lastPacketAt = now
	}
	for _, d := range b.In {
		i.repairState() // the packet before may have met a fault
		i.handlePacket(now, now, d.Data, func(to netip.AddrPort, header, body []byte) { b.Send(to, header, body) }, header[:])
	}
}

// maxHeldPackets bounds the packets that are held until the view is complete. They use
// less than 1 MB.
const maxHeldPackets = 512

// heldPacket is a packet that arrived before the view was complete.
type heldPacket struct {
	data []byte
	at   time.Duration
}

// handlePacket applies the forwarder's decision to a packet that has been here since the given
// time. header is a buffer of forwarding.MaxHeader bytes.
func (i *Instance) handlePacket(now, since time.Duration, data []byte, send func(to netip.AddrPort, header, body []byte), header []byte) {
	defer i.recoverPanic("packet")
	seg, ok := i.platform.Codec.Decode(data)
	if !ok {
		i.counters.count(forwarding.Decision{Reason: forwarding.Malformed})
		return
	}
	decision := i.forward.HandleHeld(now, since, &seg)
	if decision.Verdict == forwarding.Hold {
		if len(i.heldPackets) < maxHeldPackets {
			i.heldPackets = append(i.heldPackets, heldPacket{bytes.Clone(data), since})
		} else {
			decision.Verdict = forwarding.Drop
		}
	}
	i.counters.count(decision)
	i.record(now, &seg, &decision)
	switch decision.Verdict {
	case forwarding.Forward:
		if decision.Token != 0 {
			i.platform.Codec.SetToken(data, decision.Token)
		}
		send(decision.Target.Addr, i.platform.Codec.PutKey(header, decision.Target.Key), data)
	case forwarding.Reset:
		send(i.clientAddr(seg.Flow), i.platform.Codec.PutReset(header, seg.Flow, decision.Seq), nil)
	}
}

// releaseHeld handles the held packets once the view is complete.
func (i *Instance) releaseHeld(now time.Duration) {
	if len(i.heldPackets) == 0 || !i.forward.View.Complete() {
		return
	}
	var header [forwarding.MaxHeader]byte
	var out []byte
	for _, held := range i.heldPackets {
		i.handlePacket(now, held.at, held.data, func(to netip.AddrPort, header, body []byte) {
			out = append(append(out[:0], header...), body...)
			i.write(out, to)
		}, header[:])
	}
	i.heldPackets = nil
}

// write sends one datagram outside a batch.
func (i *Instance) write(b []byte, to netip.AddrPort) {
	if err := i.packets.WriteTo(b, to); err != nil {
		i.log.Event(flowClass, "packet not sent", logrus.Fields{logfield.Address: to.String(), logfield.Error: err.Error()})
	}
}

// clientAddr returns where packets to the client of a flow are sent: the client's IP
// address with the port of the instance's packet address.
func (i *Instance) clientAddr(f forwarding.FlowID) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(f.Client.Addr), i.settings.Packet.Port())
}

// recordResets counts and logs the resets of flows whose targets have ended.
func (i *Instance) recordResets(flows []forwarding.ResetFlow) {
	i.lockState()
	defer i.mu.Unlock()
	for _, r := range flows {
		d := forwarding.Decision{Verdict: forwarding.Reset, Reason: forwarding.TargetEnded, Target: r.Target}
		i.counters.count(d)
		i.log.Add(flowClass, newDecisionRecord(r.Flow, &d))
	}
}

// resetFlows resets flows whose targets have ended.
func (i *Instance) resetFlows(flows []forwarding.ResetFlow) {
	i.recordResets(flows)
	var header [forwarding.MaxHeader]byte
	for _, r := range flows {
		i.write(i.platform.Codec.PutReset(header[:], r.Flow, r.Seq), i.clientAddr(r.Flow))
	}
}

// record logs a decision with its inputs: for first packets, resets, drops and the
// packets that start a request.
func (i *Instance) record(now time.Duration, s *forwarding.Segment, d *forwarding.Decision) {
	switch {
	case d.Reason != "":
		v := i.forward.View
		r := newDecisionRecord(s.Flow, d)
		r.config, r.configAge, r.targetAge = v.Config().Version, now-v.ConfigFreshAt, now-v.TargetsFreshAt
		if d.Verdict != forwarding.Hold {
			i.counters.configAge.Observe(r.configAge)
			i.counters.targetAge.Observe(r.targetAge)
		}
		i.log.Add(flowClass, r)
	case len(s.Data) > 0:
		request := i.platform.RequestID(s.Data)
		if request == "" {
			return
		}
		r := newDecisionRecord(s.Flow, d)
		r.request, r.targetAge = request, now-i.forward.View.TargetsFreshAt
		i.log.Add(requestClass, r)
	}
}
