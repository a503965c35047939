package operator

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"guavaloom.example/guavaloom/internal/bundle"
	"guavaloom.example/guavaloom/internal/objectstore"
	"guavaloom.example/guavaloom/internal/rollout"
	"guavaloom.example/guavaloom/internal/zone"
)

// Roll is one attempt to bring a bundle into force.
type Roll struct {
	Store      objectstore.Store
	Policy     bundle.Policy
	Bundle     *bundle.Bundle
	Signatures []bundle.Signature
	// Previous optionally is the bundle that is current, for a store that has lost it or
	// some of its parts.
	Previous *bundle.Bundle
	// ID identifies the attempt uniquely; Operator names who makes it.
	ID, Operator string
	// Pause waits between two attempts to resolve an unknown outcome and between
	// two reads of the status. It returns early with an error when ctx ends.
	Pause func(ctx context.Context, d time.Duration) error
}

// RefusedError means that a check refused the bundle, or that another roll won or
// replaced it.
type RefusedError struct {
	Reason string
	// Winner is the roll that the store holds instead, if any.
	Winner *Current
	// Addresses lists the address uses that are refused.
	Addresses []rollout.Refusal
}

// Error implements error.
func (e *RefusedError) Error() string {
	s := e.Reason
	if w := e.Winner; w != nil {
		s += fmt.Sprintf(": roll %s by %s with revision %s", w.RollID, w.Operator, w.Revision)
	}
	for _, a := range e.Addresses {
		s += "\n" + a.String()
	}
	return s
}

// pollInterval is the time between two reads of the status while a roll is under way.
const pollInterval = 500 * time.Millisecond

// Start writes the bundle to the store. When it returns nil, the manifest is
// stored. A *RefusedError means that the bundle is not current and will not be;
// with any other error the outcome is unknown, and the call can be repeated safely.
func (r *Roll) Start(ctx context.Context) error {
	encoded := r.Bundle.Encode()
	if err := r.Policy.Verify(encoded.Digest(), r.Signatures); err != nil {
		return &RefusedError{Reason: err.Error()}
	}
	if r.Bundle.Name != r.Policy.Name {
		return &RefusedError{Reason: fmt.Sprintf("bundle is for %q, this installation is %q", r.Bundle.Name, r.Policy.Name)}
	}
	st, err := ReadState(ctx, r.Store)
	if err != nil {
		return err
	}
	if c := st.Current; c != nil && c.Digest == encoded.Digest().String() {
		return nil // Already current, from an earlier call or another operator.
	}
	if len(st.Outdated) > 0 {
		return &RefusedError{Reason: fmt.Sprintf("the store was restored from an older copy, zones %v have not reported since; try again in some seconds", st.Outdated)}
	}
	if err := r.checkRevision(st); err != nil {
		return err
	}
	stored, err := r.readParts(ctx)
	if err != nil {
		return err
	}
	retired, err := r.checkAddresses(st, stored)
	if err != nil {
		return err
	}
	if err := r.upload(ctx, encoded, stored); err != nil {
		return err
	}
	m := bundle.Manifest{Header: encoded.Header, Signatures: r.Signatures, RollID: r.ID, Operator: r.Operator, Retired: retired}
	if err := r.commit(ctx, &m, st.Current); err != nil {
		return err
	}
	return r.repair(ctx, encoded)
}

// checkRevision refuses a revision unless it is higher than the stored one and than
// every revision that a zone holds or has in force.
func (r *Roll) checkRevision(st *State) error {
	next := r.Bundle.Revision
	if c := st.Current; c != nil && next.Compare(c.Revision) <= 0 {
		return &RefusedError{Reason: fmt.Sprintf("revision %s is not above the current one", next), Winner: c}
	}
	if highest, z := rollout.HighestRevision(st.Zones); next.Compare(highest) <= 0 {
		return &RefusedError{Reason: fmt.Sprintf("revision %s is not above %s, which zone %s holds", next, highest, z)}
	}
	return nil
}

// readParts reads all stored parts in one call.
func (r *Roll) readParts(ctx context.Context) (map[string]objectstore.Object, error) {
	l, err := r.Store.List(ctx, rollout.PartPrefix)
	if err != nil {
		return nil, errors.Wrap(err, "read parts")
	}
	parts := make(map[string]objectstore.Object, len(l.Objects))
	for _, o := range l.Objects {
		parts[o.Key] = o
	}
	return parts, nil
}

func (r *Roll) checkAddresses(st *State, stored map[string]objectstore.Object) ([]bundle.RetiredUse, error) {
	var prev *bundle.Bundle
	var retired []bundle.RetiredUse
	if c := st.Current; c != nil {
		b, _, err := bundle.Assemble(c.manifest.Header, func(d bundle.Digest) []byte { return stored[rollout.PartKey(d)].Value })
		var missing *bundle.MissingPartsError
		if errors.As(err, &missing) && r.Previous != nil && r.Previous.Digest().String() == c.Digest {
			b, err = r.Previous, nil
		}
		if err != nil {
			return nil, errors.Wrapf(err, "read current bundle %s, which the address check needs", c.Revision)
		}
		prev, retired = b, c.Retired
	} else if highest, _ := rollout.HighestRevision(st.Zones); r.Previous != nil && r.Previous.Revision == highest {
		prev = r.Previous
	}
	zones := slices.Concat(st.expected, r.Bundle.Zones)
	slices.Sort(zones)
	keep, refusals := rollout.CheckAddresses(prev, r.Bundle, retired, slices.Compact(zones), st.Zones)
	if len(refusals) > 0 {
		return nil, &RefusedError{Reason: "addresses are not released", Addresses: refusals}
	}
	return keep, nil
}

// upload stores the parts that are absent or altered.
func (r *Roll) upload(ctx context.Context, e *bundle.Encoded, stored map[string]objectstore.Object) error {
	digests := slices.SortedFunc(maps.Keys(e.Parts), func(x, y bundle.Digest) int { return slices.Compare(x[:], y[:]) })
	for _, d := range digests {
		key, part := rollout.PartKey(d), e.Parts[d]
		o := stored[key]
		if o.Version != 0 && string(o.Value) == string(part) {
			continue
		}
		_, err := objectstore.PutResolved(ctx, r.Store, key, part, o.Version)
		for errors.Is(err, objectstore.ErrUnknown) && r.Pause(ctx, pollInterval) == nil {
			_, err = objectstore.PutResolved(ctx, r.Store, key, part, o.Version)
		}
		// A conflict means that the part was stored by another roll, since its key is its digest.
		if err != nil && !errors.Is(err, objectstore.ErrConflict) {
			return errors.Wrapf(err, "store part %s", d)
		}
	}
	return nil
}

// commit replaces the manifest unless it has changed since the checks. An unknown
// outcome is resolved by reading back the roll ID.
func (r *Roll) commit(ctx context.Context, m *bundle.Manifest, before *Current) error {
	var expect objectstore.Version
	if before != nil {
		expect = before.version
	}
	for {
		_, err := r.Store.Put(ctx, rollout.CurrentKey, m.Encode(), expect)
		if err == nil {
			return nil
		}
		if !errors.Is(err, objectstore.ErrConflict) && !errors.Is(err, objectstore.ErrUnknown) {
			return errors.Wrap(err, "store manifest")
		}
		now, readErr := r.readBack(ctx)
		if readErr != nil {
			return errors.Wrap(readErr, "outcome of the roll is unknown")
		}
		switch {
		case now != nil && now.RollID == r.ID:
			return nil
		case now == nil && expect == 0, now != nil && now.version == expect:
			// Not applied, or a stale read: the same conditional write is safe to repeat.
			if err := r.Pause(ctx, pollInterval); err != nil {
				return errors.Wrap(err, "outcome of the roll is unknown")
			}
		case now == nil:
			return &RefusedError{Reason: "the manifest was removed from the store during the roll"}
		case before != nil && now.RollID == before.RollID && now.Digest == before.Digest:
			return &RefusedError{Reason: "the store was restored from an older copy during the roll; roll again"}
		default:
			return &RefusedError{Reason: "another roll came first", Winner: now}
		}
	}
}

// readBack reads the manifest and retries while the store is unavailable.
func (r *Roll) readBack(ctx context.Context) (*Current, error) {
	for {
		c, err := readCurrent(ctx, r.Store)
		if err == nil || !errors.Is(err, objectstore.ErrUnavailable) {
			return c, err
		}
		if r.Pause(ctx, pollInterval) != nil {
			return nil, err
		}
	}
}

// repair uploads parts again that another roll's DeleteUnusedParts removed between upload
// and commit. It retries during an outage, since the manifest is already stored.
func (r *Roll) repair(ctx context.Context, e *bundle.Encoded) error {
	for {
		stored, err := r.readParts(ctx)
		if err == nil {
			err = r.upload(ctx, e, stored)
		}
		if err == nil {
			return nil
		}
		if !errors.Is(err, objectstore.ErrUnavailable) || r.Pause(ctx, pollInterval) != nil {
			return errors.Wrapf(err, "revision %s is stored, but its parts could not be checked", r.Bundle.Revision)
		}
	}
}

// Progress is the state of a roll in one zone.
type Progress struct {
	Zone string `json:"zone"`
	// InForce tells whether the rolled revision is in force in the zone.
	InForce   bool              `json:"in_force"`
	Revision  zone.Revision     `json:"revision"` // in force
	Instances int               `json:"instances"`
	Behind    int               `json:"behind"`
	Laggards  []rollout.Laggard `json:"laggards,omitempty"`
}

// Wait blocks until the roll's revision is in force in every zone, and calls show
// whenever the progress of a zone has changed. It returns a *RefusedError if
// another roll replaced this one, and ctx's error when it ends.
func (r *Roll) Wait(ctx context.Context, show func([]Progress)) error {
	var last []Progress
	for {
		st, err := ReadState(ctx, r.Store)
		if err == nil {
			progress, done := r.progress(st)
			if !equalProgress(progress, last) {
				show(progress)
				last = progress
			}
			if c := st.Current; c != nil && c.Revision.Compare(r.Bundle.Revision) > 0 {
				return &RefusedError{Reason: "replaced before it was in force everywhere", Winner: c}
			}
			if done {
				return nil
			}
		}
		if err := r.Pause(ctx, pollInterval); err != nil {
			return errors.Wrap(err, "not in force everywhere")
		}
	}
}

func (r *Roll) progress(st *State) ([]Progress, bool) {
	names := slices.Concat(st.expected, r.Bundle.Zones)
	slices.Sort(names)
	done := true
	var list []Progress
	for _, z := range slices.Compact(names) {
		s := st.Zones[z]
		p := Progress{Zone: z, Revision: s.InForce, Instances: s.Instances, Laggards: s.Laggards}
		p.InForce = s.InForce.Compare(r.Bundle.Revision) >= 0
		for revision, count := range s.Counts {
			var number zone.Revision
			if _, err := fmt.Sscanf(revision, "%d.%d", &number.Epoch, &number.Number); err == nil && number.Compare(r.Bundle.Revision) < 0 {
				p.Behind += count
			}
		}
		done = done && p.InForce
		list = append(list, p)
	}
	return list, done
}

func equalProgress(x, y []Progress) bool {
	return slices.EqualFunc(x, y, func(a, b Progress) bool {
		return a.Zone == b.Zone && a.InForce == b.InForce && a.Revision == b.Revision && a.Behind == b.Behind &&
			slices.Equal(a.Laggards, b.Laggards)
	})
}

// DeleteUnusedParts deletes the stored parts that r.Bundle does not refer to, if that is
// the current bundle. It is called once the roll is in force everywhere; a concurrent
// roll that loses parts uploads them again after its commit.
func (r *Roll) DeleteUnusedParts(ctx context.Context) error {
	c, err := readCurrent(ctx, r.Store)
	if err != nil || c == nil || c.Digest != r.Bundle.Digest().String() {
		return err
	}
	stored, err := r.readParts(ctx)
	if err != nil {
		return err
	}
	for d := range r.Bundle.Encode().Parts {
		delete(stored, rollout.PartKey(d))
	}
	for _, key := range slices.Sorted(maps.Keys(stored)) {
		err := r.Store.Delete(ctx, key, stored[key].Version)
		if err != nil && !errors.Is(err, objectstore.ErrNotFound) && !errors.Is(err, objectstore.ErrConflict) {
			return errors.Wrap(err, "delete unused part")
		}
	}
	return nil
}

// Sleep waits for d, or until ctx ends and then returns its error. It is the Pause
// function for real time.
func Sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}
