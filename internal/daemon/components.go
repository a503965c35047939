package daemon

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"guavaloom.example/guavaloom/internal/logfield"
)

// component has a blocking serve function. Its stop function makes serve return nil;
// the context bounds a graceful stop.
type component struct {
	name  string
	serve func() error
	stop  func(context.Context) error
}

// loopComponent returns a component that runs until it is stopped.
func loopComponent(name string, run func(context.Context) error) component {
	ctx, cancel := context.WithCancel(context.Background())
	return component{name, func() error { return run(ctx) }, func(context.Context) error { cancel(); return nil }}
}

// periodicComponent returns a component that calls f at an interval.
func periodicComponent(name string, interval time.Duration, f func(context.Context)) component {
	return loopComponent(name, func(ctx context.Context) error {
		tick := time.NewTicker(interval)
		defer tick.Stop()
		for {
			select {
			case <-ctx.Done():
				return nil
			case <-tick.C:
				f(ctx)
			}
		}
	})
}

// runner runs components.
type runner struct {
	log   logrus.FieldLogger
	crash <-chan struct{} // ends all components without leaving the zone; may be nil
	leave func(context.Context)
}

// run serves all components until ctx ends or one of them fails. It then leaves
// the zone and stops the components one after the other in reverse order.
func (r *runner) run(ctx context.Context, components []component) error {
	failed := make(chan error, len(components))
	var wg sync.WaitGroup
	for _, p := range components {
		wg.Go(func() {
			if err := p.serve(); err != nil {
				failed <- errors.Wrap(err, p.name)
			}
		})
	}
	var first error
	select {
	case <-r.crash:
		ended, cancel := context.WithCancel(context.Background())
		cancel()
		_ = r.stop(ended, components) // errors are ignored: a crash cuts connections
		wg.Wait()
		return nil
	case <-ctx.Done():
		r.leaveWithTimeout()
	case first = <-failed:
		r.leaveWithTimeout()
	}
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	err := errors.Join(first, r.stop(ctx, components))
	wg.Wait()
	close(failed)
	for late := range failed {
		err = errors.Join(err, late)
	}
	return err
}

func (r *runner) leaveWithTimeout() {
	ctx, cancel := context.WithTimeout(context.Background(), StopTimeout)
	defer cancel()
	r.leave(ctx)
}

func (r *runner) stop(ctx context.Context, components []component) error {
	var all error
	for _, p := range slices.Backward(components) {
		r.log.WithField(logfield.Part, p.name).Debug("stopping")
		if err := p.stop(ctx); err != nil {
			all = errors.Join(all, errors.Wrapf(err, "stop %s", p.name))
		}
	}
	return all
}
