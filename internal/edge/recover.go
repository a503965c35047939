package edge

import (
	"context"
	"fmt"
	"runtime/debug"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"guavaloom.example/guavaloom/internal/invariant"
	"guavaloom.example/guavaloom/internal/logfield"
	"guavaloom.example/guavaloom/internal/metric"
)

// maxStackBytes bounds the logged part of a stack trace.
const maxStackBytes = 2048

const (
	// restartDelay is the delay before a goroutine's work begins again after a panic.
	restartDelay = time.Second
	// rebuildInterval is the shortest time between two rebuilds of the state: an input that panics
	// each time must not take the processor from all others.
	rebuildInterval = time.Second
)

// recoverPanic is deferred around the handling of one external input, a packet or a store
// entry, and around each goroutine's periodic work. A panic skips that input or round instead of
// ending the process, which would read the same store entry again after each restart; all
// instances would end at the same time. What was being changed may be half-changed, so that the
// state is rebuilt before it is next used. Broken invariants still end the process.
func (i *Instance) recoverPanic(part string) {
	p := recover()
	if p == nil {
		return
	}
	err, isError := p.(error)
	if isError && errors.As(err, new(invariant.Violation)) {
		panic(p)
	}
	i.damaged.Store(true)
	stack := debug.Stack()
	i.metrics.Counter(metric.EdgeSkippedInputs, part).Inc(1)
	i.log.Event(lifecycleClass, "work skipped after a failure of the program", logrus.Fields{
		logfield.Part: part, logfield.Error: fmt.Sprint(p), logfield.Stack: string(stack[:min(len(stack), maxStackBytes)]),
	})
}

// guard does work and recovers from a panic in it.
func (i *Instance) guard(part string, work func()) {
	defer i.recoverPanic(part)
	work()
}

// keepRunning does a goroutine's work, which lasts until ctx ends, and begins it again after a
// panic.
func (i *Instance) keepRunning(ctx context.Context, part string, work func(ctx context.Context)) {
	for ctx.Err() == nil {
		i.guard(part, func() { work(ctx) })
		sleep(ctx, restartDelay)
	}
}

// lockState acquires Instance.mu for a use of the view or the forwarder, and rebuilds both if a
// panic may have left them half-changed.
func (i *Instance) lockState() {
	i.mu.Lock()
	i.repairState()
}

// repairState rebuilds the state if it may be half-changed, unless it just was. The caller holds
// Instance.mu.
func (i *Instance) repairState() {
	if !i.damaged.Load() {
		return
	}
	if now := i.now(); i.rebuilds == 0 || now >= i.rebuiltAt+rebuildInterval {
		i.rebuildState(now)
	}
}

// rebuildState makes the view and the forwarder anew from the replica, as after a start. Flows,
// loads and targets that were removed from the store are no longer known. The caller holds
// Instance.mu.
func (i *Instance) rebuildState(now time.Duration) {
	i.rebuilds, i.rebuiltAt = i.rebuilds+1, now
	old := i.forward
	i.forward = i.newForwarder()
	v := i.forward.View
	if old != nil && old.View != nil {
		v.OutageAt, v.ConfigRestoredAt = old.View.OutageAt, old.View.ConfigRestoredAt
	}
	objects := 0
	for _, kind := range i.replica.Kinds() {
		l, err := i.replica.Changes(now, kind, 0)
		if err != nil {
			continue // it was not listed yet
		}
		for _, o := range l.Objects {
			i.applyObject(now, kind, rebuildSource, o, false)
		}
		objects += len(l.Objects)
		i.recordListed(now, kind, l.Age, true)
	}
	i.ownEntryAt = now     // the uses of cold targets are not known
	i.damaged.Store(false) // an object that panics again is left out
	i.metrics.Counter(metric.EdgeRebuilds, "").Inc(1)
	i.log.Event(lifecycleClass, "state rebuilt from the replica after a failure of the program", logrus.Fields{logfield.Count: objects})
}
