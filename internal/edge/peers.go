package edge

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"guavaloom.example/guavaloom/internal/logfield"
	"guavaloom.example/guavaloom/internal/metric"
	"guavaloom.example/guavaloom/internal/objectstore"
	"guavaloom.example/guavaloom/internal/replica"
)

// followParent follows the instance that stands before this one in the tree of its
// data centre, if there is one.
func (i *Instance) followParent(ctx context.Context) {
	whole := false
	for ctx.Err() == nil {
		addr, ok := i.registry.parent(i.now())
		if !ok {
			sleep(ctx, i.noParentPause())
			continue
		}
		f := &following{i: i, addr: addr, began: i.now()}
		err := replica.Follow(ctx, i.peers, addr.String(), replica.Request{Held: i.heldVersions(whole), IdleTimeout: i.timing.Stream.IdleTimeout}, f.take)
		if ctx.Err() != nil {
			return
		}
		if whole = f.gap; err == nil {
			continue
		}
		f.failed(err)
		if !f.gap {
			sleep(ctx, retryPause)
		}
	}
}

// noParentPause returns how long to wait before an instance without a parent looks for
// one again: less while it does not know its data centre's instances.
func (i *Instance) noParentPause() time.Duration {
	if !i.allListed() {
		return firstPause
	}
	return idlePause
}

// askOthers asks other instances for their replicas: one after the other while nothing
// was listed yet, and one of each data centre while this instance reads the store and
// its replica is not known to be fresh. The store may leave some without an answer, so
// that an instance of only one data centre may know of a change. One that has a parent
// hears that way of what the reader of its data centre learns.
func (i *Instance) askOthers(ctx context.Context) {
	sleep(ctx, i.firstListDelay()+i.storeHeadStart())
	if i.anyListed() {
		// The store answers. What others tell would cross data centres, for every instance
		// of a fleet that starts.
		i.firstLists.Wait()
	}
	for ctx.Err() == nil {
		now := i.now()
		rest := i.freshFor(now)
		switch {
		case !i.allListed() && i.awaitsParent(now, i.timing.ReadStoreAfter):
			sleep(ctx, retryPause)
		case !i.allListed():
			if addr, ok := i.registry.other(now); ok {
				i.ask(ctx, addr)
			}
			sleep(ctx, retryPause)
		case rest > 0:
			sleep(ctx, max(rest, idlePause))
		default:
			i.askEach(ctx, i.registry.toCompare(now))
			sleep(ctx, now+i.timing.AskPause-i.now())
		}
	}
}

// askEach asks some instances at the same time.
func (i *Instance) askEach(ctx context.Context, addrs []netip.AddrPort) {
	limited, cancel := context.WithTimeout(ctx, i.timing.AskTimeout)
	defer cancel()
	var all sync.WaitGroup
	for _, addr := range addrs {
		all.Go(func() { i.ask(limited, addr) })
	}
	all.Wait()
}

// ask takes one message of an instance. If it is the difference to what this one no longer
// holds, since another answer came first, everything is asked for.
func (i *Instance) ask(ctx context.Context, addr netip.AddrPort) {
	if f := i.askOnce(ctx, addr, false); f.gap {
		i.askOnce(ctx, addr, true)
	}
}

func (i *Instance) askOnce(ctx context.Context, addr netip.AddrPort, whole bool) *following {
	f := &following{i: i, addr: addr, began: i.now()}
	request := replica.Request{Held: i.heldVersions(whole), Once: true, Close: !i.allListed(), IdleTimeout: i.timing.Stream.IdleTimeout}
	err := replica.Follow(ctx, i.peers, addr.String(), request, func(m replica.Message) (bool, error) {
		_, err := f.take(m)
		return true, err // there is one message only
	})
	if err != nil {
		f.failed(err)
	}
	return f
}

// freshFor returns how long no other instance has to be asked once all kinds were
// listed. The list of instances may be old.
func (i *Instance) freshFor(now time.Duration) time.Duration {
	if _, follower := i.registry.parent(now); follower {
		return idlePause
	}
	return max(i.timing.AskAfter-i.oldest(now), 0)
}

// heldVersions returns the versions of the replica by kind; 0, which asks for
// everything, if a kind was never listed or all are wanted whole.
func (i *Instance) heldVersions(whole bool) map[string]objectstore.Version {
	held := map[string]objectstore.Version{}
	for _, kind := range i.replica.Kinds() {
		held[kind] = 0
		if !whole {
			held[kind] = i.replica.Version(kind)
		}
	}
	return held
}

// following is a connection with an instance whose replica is followed.
type following struct {
	i     *Instance
	addr  netip.AddrPort
	began time.Duration // when the source was asked
	heard bool
	gap   bool // a change could not be applied to what is held
}

// take adopts a message and reports whether the source is still the one to follow.
func (f *following) take(m replica.Message) (bool, error) {
	i, now := f.i, f.i.now()
	if !f.heard {
		f.heard = true
		i.metrics.Histogram(metric.EdgeReadTime, peerSource).Observe(now - f.began)
	}
	for n := range m.Frames {
		frame := &m.Frames[n]
		if err := i.replica.ExpandDeltas(frame); err != nil {
			f.gap = true
			return false, err
		}
		i.countRead(peerSource, "told", nil)
		i.adopt(now, frame.Kind, peerSource, frame.Listing, frame.Full)
	}
	if i.registry.answered(f.addr) {
		i.log.Event(viewClass, "source regained", logrus.Fields{logfield.Source: peerSource, logfield.Peer: f.addr.String()})
	}
	return i.registry.isParent(now, f.addr), nil
}

// failed records the end of a connection and logs it if the source answered before.
func (f *following) failed(err error) {
	i, now := f.i, f.i.now()
	i.countRead(peerSource, "follow", err)
	if f.gap || errors.Is(err, replica.ErrBusy) {
		return // it lives; the next one is asked, or it is asked again
	}
	if i.registry.fail(now, f.addr) {
		i.log.Event(viewClass, "source failed", logrus.Fields{
			logfield.Source: peerSource, logfield.Peer: f.addr.String(),
			logfield.Error: err.Error(), logfield.Age: i.oldest(now).Milliseconds(),
		})
	}
}

// oldest returns the age of the older of configuration and targets.
func (i *Instance) oldest(now time.Duration) time.Duration {
	config, _ := i.replica.Age(now, i.platform.ConfigKind)
	targets, _ := i.replica.Age(now, i.platform.TargetKind)
	return max(config, targets)
}

// peerHandler serves the replica to other instances until this one stops.
func (i *Instance) peerHandler() http.Handler {
	return i.replica.Handler(i.timing.Stream, i.now, i.stopped)
}
