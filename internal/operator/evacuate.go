package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"guavaloom.example/guavaloom/internal/inifile"
	"guavaloom.example/guavaloom/internal/objectstore"
	"guavaloom.example/guavaloom/internal/rollout"
)

// Evacuation is a request, as recorded in the store, that the targets of a zone get no new work.
type Evacuation struct {
	Zone string `json:"zone"`
	// Operator is who requested it last; empty if the object does not say.
	Operator string `json:"operator,omitempty"`
	// Version is the store's version of the request, EPOCH.REVISION; empty if it is withdrawn.
	Version string `json:"version,omitempty"`
	version objectstore.Version
}

// evacuationValue is the content of an evacuation's object. Instances do not interpret it.
type evacuationValue struct {
	Operator string `json:"operator"`
}

func newEvacuation(o objectstore.Object) Evacuation {
	var v evacuationValue
	_ = json.Unmarshal(o.Value, &v) // written by another tool: the operator is not known
	return Evacuation{Zone: strings.TrimPrefix(o.Key, rollout.EvacuationPrefix), Operator: v.Operator, Version: o.Version.String(), version: o.Version}
}

// UnknownZoneError means that the current bundle does not name a zone.
type UnknownZoneError struct {
	Zone  string
	Known []string
}

// Error implements error.
func (e *UnknownZoneError) Error() string {
	if len(e.Known) == 0 {
		return fmt.Sprintf("unknown zone %q: no bundle has been rolled that names zones", e.Zone)
	}
	return fmt.Sprintf("unknown zone %q: the current bundle names %s", e.Zone, strings.Join(e.Known, ", "))
}

// Evacuate requests or withdraws the evacuation of a zone.
type Evacuate struct {
	Store objectstore.Store
	Zone  string
	// Operator names who makes the request.
	Operator string
	// Pause waits between two attempts. It returns early with an error when ctx ends.
	Pause func(ctx context.Context, d time.Duration) error
}

func (e *Evacuate) key() string { return rollout.EvacuationPrefix + e.Zone }

// Request writes the request and reports whether there was none before. It returns nil only
// after the store has acknowledged a write: a read alone may be stale and show a request that
// has been withdrawn. If the outcome stays unknown, the call can be repeated safely.
func (e *Evacuate) Request(ctx context.Context) (result Evacuation, added bool, err error) {
	if err := e.checkZone(ctx); err != nil {
		return Evacuation{}, false, err
	}
	value, err := json.Marshal(evacuationValue{e.Operator})
	if err != nil {
		return Evacuation{}, false, errors.Wrap(err, "evacuation")
	}
	for first := true; ; first = false {
		before, err := e.read(ctx)
		if err != nil {
			return Evacuation{}, false, err
		}
		if first {
			added = before.version == 0
		}
		version, err := e.Store.Put(ctx, e.key(), value, before.version)
		if err == nil {
			return newEvacuation(objectstore.Object{Key: e.key(), Value: value, Version: version}), added, nil
		}
		if err := e.retryable(ctx, err); err != nil {
			return Evacuation{}, false, err
		}
	}
}

// Withdraw removes the request and reports whether there was one. A *RefusedError means that the
// zone's evacuation was requested again meanwhile.
func (e *Evacuate) Withdraw(ctx context.Context) (removed bool, err error) {
	var name string
	if problem := inifile.Name(&name)(e.Zone); problem != "" {
		return false, e.checkZone(ctx) // not the name of an object
	}
	seen, err := e.read(ctx)
	if err != nil {
		return false, err
	}
	if seen.version == 0 {
		// A request for a zone that the bundle no longer names can still be withdrawn.
		if err := e.checkZone(ctx); err != nil {
			return false, err
		}
	}
	for now := seen; ; {
		// With version 0 the store confirms that there is no request, which a stale read can't.
		err := e.Store.Delete(ctx, e.key(), now.version)
		if err == nil || errors.Is(err, objectstore.ErrNotFound) {
			return seen.version != 0, nil
		}
		if err := e.retryable(ctx, err); err != nil {
			return false, err
		}
		if now, err = e.read(ctx); err != nil {
			return false, errors.Wrap(err, "outcome unknown")
		}
		if now.version != 0 && now.version != seen.version {
			return false, &RefusedError{Reason: fmt.Sprintf("the evacuation of %s was requested again by %s at version %s; if it is to end, withdraw it again",
				e.Zone, displayName(now.Operator), now.Version)}
		}
	}
}

// displayName returns the operator's name, or a description if it is not known.
func displayName(name string) string {
	if name == "" {
		return "an unknown operator"
	}
	return name
}

// checkZone fails unless the current bundle names the zone.
func (e *Evacuate) checkZone(ctx context.Context) error {
	c, err := readCurrent(ctx, e.Store)
	if err != nil {
		return err
	}
	unknown := &UnknownZoneError{Zone: e.Zone}
	if c != nil {
		unknown.Known = c.header.Zones
	}
	if !slices.Contains(unknown.Known, e.Zone) {
		return unknown
	}
	return nil
}

// read returns the request, without a version if there is none.
func (e *Evacuate) read(ctx context.Context) (Evacuation, error) {
	o, err := e.Store.Get(ctx, e.key())
	if errors.Is(err, objectstore.ErrNotFound) {
		return Evacuation{Zone: e.Zone}, nil
	}
	if err != nil {
		return Evacuation{}, errors.Wrap(err, "read evacuation")
	}
	return newEvacuation(o), nil
}

// retryable waits before the next attempt after a conflict or an unknown outcome, and returns
// any other error.
func (e *Evacuate) retryable(ctx context.Context, err error) error {
	if !errors.Is(err, objectstore.ErrConflict) && !errors.Is(err, objectstore.ErrUnknown) {
		return errors.Wrap(err, "change evacuation")
	}
	if pauseErr := e.Pause(ctx, pollInterval); pauseErr != nil {
		return errors.Wrapf(err, "outcome unknown, the command can be repeated: %v", pauseErr)
	}
	return nil
}

// readEvacuations returns the requests in the store, ordered by zone.
func readEvacuations(ctx context.Context, s objectstore.Store) ([]Evacuation, error) {
	l, err := s.List(ctx, rollout.EvacuationPrefix)
	if err != nil {
		return nil, errors.Wrap(err, "read evacuations")
	}
	var out []Evacuation
	for _, o := range l.Objects {
		out = append(out, newEvacuation(o))
	}
	slices.SortFunc(out, func(a, b Evacuation) int { return strings.Compare(a.Zone, b.Zone) })
	return out, nil
}
