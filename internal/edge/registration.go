package edge

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"guavaloom.example/guavaloom/internal/logfield"
	"guavaloom.example/guavaloom/internal/objectstore"
)

const (
	// registerRetryDelay is the delay between attempts to register.
	registerRetryDelay = 2 * time.Second
	// registrationCheckInterval is the mean interval at which an instance checks that its entry
	// is in the store, in its replica and thus without a call.
	registrationCheckInterval = time.Second
)

// registration is an instance's own entry in the store.
type registration struct {
	key   string
	value []byte
	// written is the version of the last successful write.
	written objectstore.Version
}

// keepRegistered writes the instance's entry into the store whenever it is not there: at the
// first start, and after the store was restored from a copy without it.
func (i *Instance) keepRegistered(ctx context.Context) {
	value, err := i.platform.Entries.InstanceValue(i.settings.Zone, i.settings.Peer)
	if err != nil {
		i.log.Event(viewClass, "not registered", logrus.Fields{logfield.Error: err.Error()})
		return
	}
	r := &registration{key: i.platform.InstanceKind + "/" + i.settings.Name, value: value}
	rng := newRand()
	for ctx.Err() == nil {
		delay := time.Duration((0.5 + rng.Float64()) * float64(registrationCheckInterval))
		if !i.listed(i.platform.InstanceKind) {
			delay = retryDelay
		} else if expect, missing := i.missingRegistration(r); missing && !i.register(ctx, r, expect) {
			delay = registerRetryDelay
		}
		sleep(ctx, delay)
	}
}

// missingRegistration reports whether the replica lacks the current entry although it is as
// new as the last write, and the version of the entry to replace.
func (i *Instance) missingRegistration(r *registration) (expect objectstore.Version, missing bool) {
	o, listed, ok := i.replica.Get(i.platform.InstanceKind, r.key)
	if listed < r.written {
		return 0, false // the write has not arrived yet
	}
	return o.Version, !ok || !i.isOwnEntry(o)
}

// isOwnEntry reports whether an entry has the instance's data centre and address.
func (i *Instance) isOwnEntry(o objectstore.Object) bool {
	zone, addr, err := i.platform.Entries.Instance(o.Value)
	return err == nil && zone == i.settings.Zone && addr == i.settings.Peer
}

// register writes the entry and reports whether the store accepted it.
func (i *Instance) register(ctx context.Context, r *registration, expect objectstore.Version) bool {
	version, err := i.platform.Store.Put(ctx, r.key, r.value, expect)
	if err != nil {
		i.log.Event(viewClass, "registration failed, will be retried", logrus.Fields{logfield.Error: err.Error()})
		return false
	}
	r.written = version
	i.log.Event(viewClass, "registered", logrus.Fields{
		logfield.Address: i.settings.Peer.String(), logfield.Epoch: version.Epoch(), logfield.Version: version.Revision(),
	})
	return true
}
