package edge

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"guavaloom.example/guavaloom/internal/logfield"
	"guavaloom.example/guavaloom/internal/objectstore"
)

// registerRetryDelay is the delay between attempts to register.
const registerRetryDelay = 2 * time.Second

// ensureRegistered writes the instance's entry into the store unless it is already
// there, as after a restart.
func (i *Instance) ensureRegistered(ctx context.Context) {
	name, kind := i.settings.Name, i.platform.InstanceKind
	value, err := i.platform.Entries.InstanceValue(i.settings.Zone, i.settings.Peer)
	if err != nil {
		i.log.Event(viewClass, "not registered", logrus.Fields{logfield.Error: err.Error()})
		return
	}
	for ctx.Err() == nil {
		l, err := i.replica.Changes(i.now(), kind, 0)
		if err != nil {
			sleep(ctx, retryDelay) // the instances are not listed yet
			continue
		}
		expect, same := i.registered(l, kind, name)
		if same {
			return
		}
		if _, err = i.platform.Store.Put(ctx, kind+"/"+name, value, expect); err == nil {
			i.log.Event(viewClass, "registered", logrus.Fields{logfield.Address: i.settings.Peer.String()})
			return
		}
		i.log.Event(viewClass, "registration failed, will be retried", logrus.Fields{logfield.Error: err.Error()})
		sleep(ctx, registerRetryDelay)
	}
}

// registered returns the version of the instance's entry and whether its content is current.
func (i *Instance) registered(l objectstore.Listing, kind, name string) (objectstore.Version, bool) {
	for _, o := range l.Objects {
		if o.Key != kind+"/"+name {
			continue
		}
		zone, addr, err := i.platform.Entries.Instance(o.Value)
		return o.Version, err == nil && zone == i.settings.Zone && addr == i.settings.Peer
	}
	return 0, false
}
