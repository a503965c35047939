package edge

import (
	"net/netip"
	"time"

	"guavaloom.example/guavaloom/internal/forwarding"
	"guavaloom.example/guavaloom/internal/logfield"
	"guavaloom.example/guavaloom/internal/packet"

	"github.com/sirupsen/logrus"
)

// handlePackets decides on the packets of a batch and queues what is to be sent.
func (i *Instance) handlePackets(b *packet.Batch) {
	var header [forwarding.MaxHeader]byte
	now := i.now()
	i.mu.Lock()
	defer i.mu.Unlock()
	if len(b.In) > 0 {
		i.lastPacket = now
	}
	for _, d := range b.In {
		seg, ok := i.platform.Codec.Decode(d.Data)
		if !ok {
			i.counters.count(forwarding.Decision{Reason: forwarding.Malformed})
			continue
		}
		decision := i.forward.Handle(now, &seg)
		i.counters.count(decision)
		i.record(now, &seg, &decision)
		switch decision.Verdict {
		case forwarding.Forward:
			if decision.Token != 0 {
				i.platform.Codec.SetToken(d.Data, decision.Token)
			}
			b.Send(decision.Target.Addr, i.platform.Codec.PutKey(header[:], decision.Target.Key), d.Data)
		case forwarding.Reset:
			b.Send(i.clientAddr(seg.Flow), i.platform.Codec.PutReset(header[:], seg.Flow, decision.Seq), nil)
		}
	}
}

// clientAddr is where packets to the client of a flow are sent: at its address, on
// the port number of the instance's own packet address.
func (i *Instance) clientAddr(f forwarding.FlowID) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(f.Client.Addr), i.settings.Packet.Port())
}

// sendReset ends a flow whose target has ended.
func (i *Instance) sendReset(r forwarding.ResetFlow) {
	var header [forwarding.MaxHeader]byte
	d := forwarding.Decision{Verdict: forwarding.Reset, Reason: forwarding.TargetEnded, Target: r.Target}
	i.counters.count(d)
	i.log.Add(flowClass, &decisionRecord{flow: r.Flow, decision: d, configAge: -1})
	err := i.packets.WriteTo(i.platform.Codec.PutReset(header[:], r.Flow, r.Seq), i.clientAddr(r.Flow))
	if err != nil {
		i.log.Event(flowClass, "reset not sent", logrus.Fields{logfield.Flow: r.Flow.String(), logfield.Error: err.Error()})
	}
}

// record logs what a packet's decision rests on, for first packets, resets and
// drops, and for the packets that begin a request.
func (i *Instance) record(now time.Duration, s *forwarding.Segment, d *forwarding.Decision) {
	r := &decisionRecord{flow: s.Flow, token: s.Token, decision: *d}
	class := flowClass
	switch {
	case d.Reason != "":
		r.config = i.forward.View.Config().Version
		r.configAge, r.targetAge = now-i.forward.ConfigFreshAt, now-i.forward.TargetsFreshAt
	case len(s.Data) > 0:
		if r.request = i.platform.RequestID(s.Data); r.request == "" {
			return
		}
		class = requestClass
		r.configAge, r.targetAge = -1, now-i.forward.TargetsFreshAt
	default:
		return
	}
	i.log.Add(class, r)
}
