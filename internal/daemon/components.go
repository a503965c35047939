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

// component is a component with a blocking serve function. Stop makes serve return
// nil; it is given a context for a graceful stop.
type component struct {
	name  string
	serve func() error
	stop  func(context.Context) error
}

// loopComponent is a part that runs until its context ends.
func loopComponent(name string, run func(context.Context) error) component {
	ctx, cancel := context.WithCancel(context.Background())
	return component{name, func() error { return run(ctx) }, func(context.Context) error { cancel(); return nil }}
}

// periodicComponent is a part that calls f at an interval.
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

// runner runs parts.
type runner struct {
	log   logrus.FieldLogger
	crash <-chan struct{} // ends all parts without leaving; may be nil
	leave func(context.Context)
}

// run serves all run until ctx ends or one of them fails. It then leaves
// gracefully and stops the run one after the other, the last one first.
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
		_ = r.stop(ended, components) // cut connections are what a crash leaves behind
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
