package replica

import (
	"math/rand"
	"time"

	"github.com/go-faster/errors"

	"guavaloom.example/guavaloom/internal/objectstore"
)

const (
	// initialBackoff and maxBackoff bound the pause after a failed call. The pause doubles
	// with each failure and is multiplied by a random factor of 0.5 to 1.5.
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = time.Second
)

// WatchPlan decides the next call to a source of one kind: a list, then watches from the
// listed version, and a list again after any failure, because a source that failed may
// have lost history without reporting it.
type WatchPlan struct {
	// Wait is the longest time that a watch waits for a change.
	Wait time.Duration
	// Coalesce is the pause after an answer with changes. Changes made shortly after one
	// another then come in one answer, since the platform charges for each call.
	Coalesce time.Duration
	Rand     *rand.Rand

	listed bool
	// cursor is the version to watch from. After an answer without changes it is set to the
	// version that the previous answer reported, not to the newest one, so that changes which
	// the watch missed are requested again.
	cursor, reported objectstore.Version
	failures         int
}

// NewWatchPlan returns the plan for one source.
func NewWatchPlan(wait, coalesce time.Duration, r *rand.Rand) *WatchPlan {
	return &WatchPlan{Wait: wait, Coalesce: coalesce, Rand: r}
}

// Next returns the next call for the kind.
func (p *WatchPlan) Next(kind string) objectstore.Call {
	if !p.listed {
		return objectstore.Call{Op: objectstore.OpList, Key: kind}
	}
	return objectstore.Call{Op: objectstore.OpWatch, Key: kind, Version: p.cursor, Wait: p.Wait}
}

// Done records the result of the call and returns the pause before the next one. In an
// answer without changes it lowers the version to the one up to which no change can be
// missing.
func (p *WatchPlan) Done(r *objectstore.Result) time.Duration {
	switch {
	case errors.Is(r.Err, objectstore.ErrExpired):
		p.listed = false
		return 0
	case r.Err != nil:
		p.listed = false
		p.failures++
		return p.backoff()
	}
	p.failures = 0
	if r.Call.Op == objectstore.OpList {
		p.listed = true
		p.cursor, p.reported = r.Listing.Version, r.Listing.Version
		return 0
	}
	if len(r.Listing.Objects) > 0 {
		p.cursor = max(p.cursor, r.Listing.Version)
		p.reported = p.cursor
		return p.Coalesce
	}
	p.cursor, p.reported = p.reported, max(p.reported, r.Listing.Version)
	r.Listing.Version = p.cursor
	return 0
}

func (p *WatchPlan) backoff() time.Duration {
	pause := initialBackoff << min(p.failures-1, 10)
	pause = min(pause, maxBackoff)
	return time.Duration(float64(pause) * (0.5 + p.Rand.Float64()))
}

// Restart makes the next call a list. It is called when the source changes.
func (p *WatchPlan) Restart() { p.listed = false }
