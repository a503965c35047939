package daemon

import (
	"context"
	"time"

	"guavaloom.example/guavaloom/internal/instance"
	"guavaloom.example/guavaloom/internal/logfield"
	"guavaloom.example/guavaloom/internal/zone"
)

const (
	// notReadyDelay is how long the instance continues to serve after it has reported
	// not ready, so that callers and fabric stop choosing it before it refuses work.
	notReadyDelay = time.Second
	// leavePollInterval is the interval of checks on the progress of leaving.
	leavePollInterval = 20 * time.Millisecond
)

// leave removes the instance from its zone: it reports not ready, hands over its
// pins and idempotency records, finishes its requests, and forwards packets until
// the zone has confirmed the departure or ctx ends.
func (d *daemon) leave(ctx context.Context) {
	d.stopping.Store(true)
	d.holdTransfers.Store(true)
	d.log.Info("leaving the zone")
	sleep(ctx, notReadyDelay)
	if d.lastMember() {
		// Leaving ends the lease of the last member at once.
		d.finishRequests(ctx, zone.HomeSet{})
		d.zone.leave()
		return
	}
	d.zone.leave()
	next := d.awaitHomeSetWithoutSelf(ctx)
	d.finishRequests(ctx, next)
	d.holdTransfers.Store(false)
	select {
	case <-d.zone.left:
	case <-ctx.Done():
		d.log.Warn("the zone did not confirm the departure in time")
	}
}

func sleep(ctx context.Context, t time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(t):
	}
}

// lastMember reports whether the zone has no other instance that could take over.
func (d *daemon) lastMember() bool {
	t := d.table.Load()
	return t == nil || len(t.Roster) < 2
}

// awaitHomeSetWithoutSelf waits until a home set without this instance is in force and
// returns it.
func (d *daemon) awaitHomeSetWithoutSelf(ctx context.Context) zone.HomeSet {
	for ctx.Err() == nil {
		t := d.table.Load()
		if len(t.Homes) > 0 && !contains(t.Homes[0].Members, d.self) {
			return t.Homes[0]
		}
		select {
		case <-d.zone.left:
			return zone.HomeSet{}
		default:
			sleep(ctx, leavePollInterval)
		}
	}
	return zone.HomeSet{}
}

// finishRequests lets requests in flight end and hands over idempotency records.
func (d *daemon) finishRequests(ctx context.Context, next zone.HomeSet) {
	if err := d.request.Shutdown(ctx, next); err != nil {
		d.log.WithField(logfield.Error, err).Warn("stopping with unfinished requests or idempotency records not handed over")
	}
}

func contains(refs []instance.Ref, r instance.Ref) bool {
	for _, o := range refs {
		if o.Same(r) {
			return true
		}
	}
	return false
}
