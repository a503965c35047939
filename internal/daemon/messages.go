package daemon

import (
	"context"

	"github.com/go-faster/errors"

	"guavaloom.example/guavaloom/internal/idempotency"
	"guavaloom.example/guavaloom/internal/instance"
	"guavaloom.example/guavaloom/internal/membership"
	"guavaloom.example/guavaloom/internal/peer"
	"guavaloom.example/guavaloom/internal/request"
	"guavaloom.example/guavaloom/internal/rollout"
	"guavaloom.example/guavaloom/internal/steering"
)

// zoneMessage carries a message of the zone protocol. Run, if set, is the only
// incarnation that may process it: a restarted instance does not know what its former
// incarnation promised.
type zoneMessage struct {
	Run     instance.Incarnation `cbor:"1,keyasint,omitempty"`
	Message membership.Message   `cbor:"2,keyasint"`
}

// keyQueryMessage queries a former home of an idempotency key. A later incarnation of
// that instance does not know what the former one did, so only Run may answer.
type keyQueryMessage struct {
	Run   instance.Incarnation `cbor:"1,keyasint"`
	Query idempotency.KeyQuery `cbor:"2,keyasint"`
}

// handoverReply reports whether the receiver accepted a handover.
type handoverReply struct {
	Accepted bool `cbor:"1,keyasint"`
}

// errWrongIncarnation rejects a message to another incarnation of this instance.
var errWrongIncarnation = errors.New("message is for another run of this instance")

// messageRegistry returns all message kinds; package peer lists their numbers.
func messageRegistry() *peer.Registry {
	r := peer.NewRegistry()
	peer.Register[zoneMessage](r, 1, peer.Urgent)
	peer.Register[secretsOffer](r, 2, peer.Urgent)
	peer.Register[secretsGrant](r, 3, peer.Urgent)
	peer.Register[steering.PinBatch](r, 20, peer.Background)
	peer.Register[steering.PinAck](r, 21, peer.Background)
	peer.Register[rollout.Digest](r, 40, peer.Bundle)
	peer.Register[rollout.Want](r, 41, peer.Bundle)
	peer.Register[rollout.Parts](r, 42, peer.Bundle)
	peer.Register[rollout.Ack](r, 43, peer.Bundle)
	peer.Register[request.Call](r, 60, peer.Data)
	peer.Register[request.Reply](r, 61, peer.Data)
	peer.Register[keyQueryMessage](r, 62, peer.Data)
	peer.Register[idempotency.KeyQueryReply](r, 63, peer.Data)
	peer.Register[idempotency.Handover](r, 64, peer.Data)
	peer.Register[handoverReply](r, 65, peer.Data)
	return r
}

// handle processes a message of another instance. Control messages are accepted
// from this zone only, bundles and requests from all zones.
func (d *daemon) handle(ctx context.Context, from instance.Ref, msg any) (any, error) {
	switch m := msg.(type) {
	case rollout.Message:
		d.rollout.receive(from, m)
		return nil, nil
	case request.Call:
		return *d.request.HandleDispatch(ctx, &m), nil
	}
	if from.Zone != d.self.Zone {
		return nil, errors.Errorf("message of zone %s", from.Zone)
	}
	return d.handleZone(from, msg)
}

func (d *daemon) handleZone(from instance.Ref, msg any) (any, error) {
	switch m := msg.(type) {
	case zoneMessage:
		if m.Run != 0 && m.Run != d.self.Incarnation {
			return nil, errWrongIncarnation
		}
		d.zone.receive(from, m.Message)
	case secretsOffer:
		return d.secrets.handleOffer(m), nil
	case secretsGrant:
		d.secrets.handleGrant(from, m)
	case steering.PinBatch:
		return d.steerer.ReceivePins(d.now(), m), nil
	case steering.PinAck:
		d.steerer.AckPins(d.now(), from, m)
	case keyQueryMessage:
		if m.Run != d.self.Incarnation {
			return nil, errWrongIncarnation
		}
		return d.request.HandleKeyQuery(m.Query), nil
	case idempotency.Handover:
		return handoverReply{Accepted: d.request.HandleHandover(m)}, nil
	default:
		return nil, errors.Errorf("no handler for %T", msg)
	}
	return nil, nil
}

// send queues a control message. The transport counts a message that can't be queued,
// and the protocol that sent it retries.
func (d *daemon) send(to instance.Ref, msg any) {
	_ = d.peer.Send(to, msg)
}
