package daemon

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/go-faster/errors"
	metrics "github.com/rcrowley/go-metrics"

	"guavaloom.example/guavaloom/internal/idempotency"
	"guavaloom.example/guavaloom/internal/instance"
	"guavaloom.example/guavaloom/internal/logfield"
	"guavaloom.example/guavaloom/internal/objectstore"
	"guavaloom.example/guavaloom/internal/peer"
	"guavaloom.example/guavaloom/internal/request"
	"guavaloom.example/guavaloom/internal/rollout"
	"guavaloom.example/guavaloom/internal/service"
	"guavaloom.example/guavaloom/internal/zone"
)

// handoverTimeout bounds the handover of idempotency records to one instance. The
// next table waits for it.
const handoverTimeout = 2 * time.Second

// statusTimeout bounds the read of the zone's former status. Requests wait for it
// only when a new zone is formed.
const statusTimeout = 3 * time.Second

// peerClient sends the messages of the request path to other instances.
type peerClient struct{ d *daemon }

// Dispatch implements request.Peers.
func (p peerClient) Dispatch(ctx context.Context, to instance.Ref, c *request.Call) (*request.Reply, error) {
	r, err := call[request.Reply](ctx, p.d, to, *c)
	if err != nil {
		return nil, err
	}
	return &r, nil
}

// QueryKey implements request.Peers.
func (p peerClient) QueryKey(ctx context.Context, to instance.Ref, a idempotency.KeyQuery) (idempotency.KeyQueryReply, error) {
	return call[idempotency.KeyQueryReply](ctx, p.d, to, keyQueryMessage{Run: to.Incarnation, Query: a})
}

// Handover implements request.Peers.
func (p peerClient) Handover(ctx context.Context, to instance.Ref, h idempotency.Handover) error {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	r, err := call[handoverReply](ctx, p.d, to, h)
	if err == nil && !r.Accepted {
		return errors.Wrapf(errWrongIncarnation, "handover to %s", to)
	}
	return err
}

// call sends a request message and returns its typed reply.
func call[T any](ctx context.Context, d *daemon, to instance.Ref, msg any) (T, error) {
	var none T
	reply, err := d.peer.Call(ctx, to, msg)
	if err != nil {
		if peer.NotSent(err) {
			return none, errors.Wrap(request.ErrNotDelivered, err.Error())
		}
		return none, err
	}
	r, ok := reply.(T)
	if !ok {
		return none, errors.Errorf("reply of type %T to %T", reply, msg)
	}
	return r, nil
}

// newRequest returns the request listener's server, which does not listen yet.
func (d *daemon) newRequest(registry metrics.Registry) *request.Server {
	s := d.settings
	return request.New(request.Config{
		Self: d.self, Listen: s.Listen.Request, Seed: int64(d.self.Incarnation),
		Limits: request.Limits{MaxBody: s.Request.MaxBodyBytes, MaxHeader: s.Request.MaxHeaderBytes,
			MaxConnections: s.Request.MaxConnections, HeaderTimeout: s.Request.HeaderTimeout},
		Leased: d.leased, Isolated: d.isolated, Peers: peerClient{d}, Remote: d.remoteInstances, Metrics: registry, Log: d.log,
	})
}

// leased reports whether the instance may send requests now.
func (d *daemon) leased() bool { return int64(d.now()) < d.leaseEnd.Load() }

// isolated reports whether the instance may send, without a lease, the requests
// that need no agreement.
func (d *daemon) isolated() bool { return int64(d.now()) < d.isolatedEnd.Load() }

// remoteInstances lists the configured instances in other zones that serve a service.
func (d *daemon) remoteInstances(id service.ID) []instance.Ref {
	var refs []instance.Ref
	known := remotes(d.settings)
	for _, z := range zonesOf(d.bundle.Load())[id] {
		refs = append(refs, known[z]...)
	}
	return refs
}

// tableQueue passes the newest table to the request path, whose installation can
// wait for other instances. Tables that were replaced meanwhile are skipped.
type tableQueue struct {
	mu     sync.Mutex
	newest *zone.Table
	// newZone is set if the first table was that of a zone without a bundle: no other
	// instance then has earlier idempotency records.
	newZone bool
	wake    chan struct{} // buffered, holds one signal
}

func newTableQueue() *tableQueue { return &tableQueue{wake: make(chan struct{}, 1)} }

func (q *tableQueue) offer(t *zone.Table) {
	q.mu.Lock()
	if q.newest == nil {
		q.newZone = t.Bundle == zone.Revision{}
	}
	q.newest = t
	q.mu.Unlock()
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// run installs tables until ctx ends.
func (q *tableQueue) run(ctx context.Context, d *daemon) error {
	for first := true; ; first = false {
		select {
		case <-ctx.Done():
			return nil
		case <-q.wake:
		}
		q.mu.Lock()
		t, founded := q.newest, q.newZone
		q.mu.Unlock()
		if first && founded && servedBefore(ctx, d.rollout.store, d.self.Zone) {
			d.log.Warn("zone was rebuilt: earlier idempotency keys are unknown for the retention period")
			d.request.MarkRebuilt()
		}
		if err := d.request.Install(ctx, t, zonesOf(d.bundle.Load())); err != nil {
			// The new homes query this instance for the keys, or answer that the
			// outcome is unknown.
			d.log.WithField(logfield.Error, err).Warn("idempotency records were not handed over")
		}
	}
}

// servedBefore reports whether a zone whose first table was just created may have
// run requests before. It returns false for a zone that never had a bundle in force,
// and true if the platform does not answer, or was restored from an older copy and the zone
// has not reported since.
func servedBefore(ctx context.Context, store objectstore.Store, name string) bool {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	l, err := store.List(ctx, rollout.StatusPrefix)
	if err != nil {
		return true
	}
	var status rollout.Status
	for _, o := range l.Objects {
		if o.Key == rollout.StatusPrefix+name && json.Unmarshal(o.Value, &status) != nil {
			return true
		}
	}
	return status.StoreEpoch < l.Version.Epoch() || status.InForce != zone.Revision{}
}
