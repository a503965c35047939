package edge

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"guavaloom.example/guavaloom/internal/logfield"
	"guavaloom.example/guavaloom/internal/metric"
	"guavaloom.example/guavaloom/internal/objectstore"
)

// watchPeers checks other instances and removes the entries of those that were removed for good.
// Nothing in the store expires by itself, and an instance does not know at its end whether it
// will start again.
func (i *Instance) watchPeers(ctx context.Context) {
	role := ""
	for {
		sleep(ctx, idleInterval)
		if ctx.Err() != nil {
			return
		}
		if !i.allListed() {
			continue
		}
		i.queryConcurrently(ctx, i.registry.peersToCheck(i.now()))
		i.removeExpired(ctx)
		role = i.reportRole(i.now(), role)
	}
}

// removeExpired removes the entry of an instance that has expired, if there is one.
func (i *Instance) removeExpired(ctx context.Context) {
	now := i.now()
	i.registry.removeLost(now)
	names := i.registry.expired(now)
	if len(names) == 0 {
		return
	}
	name := names[0]
	key := i.platform.InstanceKind + "/" + name
	o, _, listed := i.replica.Get(i.platform.InstanceKind, key)
	if !listed {
		i.registry.remove(name)
		return
	}
	err := i.platform.Store.Delete(ctx, key, o.Version)
	fields := logrus.Fields{logfield.Peer: name, logfield.Epoch: o.Version.Epoch(), logfield.Version: o.Version.Revision()}
	switch {
	case err == nil, errors.Is(err, objectstore.ErrNotFound):
		i.registry.remove(name)
		i.metrics.Counter(metric.EdgeExpiredPeers, "").Inc(1)
		i.log.Event(viewClass, "instance does not answer, its entry was removed", fields)
	default: // it registered again, another instance was faster, or the store did not answer
		fields[logfield.Error] = err.Error()
		i.log.Event(viewClass, "entry of an instance that does not answer was not removed", fields)
		sleep(ctx, registerRetryDelay)
	}
}

// Sources of changes by role.
const (
	readerRole   = "reader"
	followerRole = "follower"
	detachedRole = "no parent answers"
)

// reportRole logs from where this instance receives changes if that differs from the last report.
func (i *Instance) reportRole(now time.Duration, last string) (role string) {
	failed := i.registry.failedPeers()
	i.metrics.Gauge(metric.EdgeFailedPeers, "").Update(float64(failed))
	switch role = followerRole; {
	case i.registry.isReader():
		role = readerRole
	case i.readsStore(now):
		role = detachedRole
	}
	if role != last {
		i.log.Event(viewClass, "source of changes", logrus.Fields{logfield.Reason: role, logfield.Count: failed})
	}
	return role
}
