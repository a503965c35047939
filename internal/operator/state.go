package operator

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"github.com/go-faster/errors"

	"guavaloom.example/guavaloom/internal/bundle"
	"guavaloom.example/guavaloom/internal/objectstore"
	"guavaloom.example/guavaloom/internal/rollout"
	"guavaloom.example/guavaloom/internal/zone"
)

// Current describes the current bundle in the store.
type Current struct {
	Revision zone.Revision       `json:"revision"`
	Digest   string              `json:"digest"`
	RollID   string              `json:"roll_id"`
	Operator string              `json:"operator"`
	Retired  []bundle.RetiredUse `json:"retired,omitempty"`
	version  objectstore.Version // of the manifest; 0 if there is none
	manifest *bundle.Manifest    // nil if there is none
	header   *bundle.Header      // of the manifest
}

// State is the state of the installation as recorded in the store.
type State struct {
	// Current is nil before the first roll.
	Current *Current                  `json:"current"`
	Zones   map[string]rollout.Status `json:"zones"`
	// Missing are zones that have instances or targets but no status.
	Missing []string `json:"missing,omitempty"`
	// Outdated are zones with instances whose status was written before the store was restored
	// from an older copy, or got lost by it. Their leaders write it again within seconds.
	Outdated []string `json:"outdated,omitempty"`
	// Evacuations are the zones whose targets are to get no new work.
	Evacuations []Evacuation `json:"evacuations,omitempty"`
	// InForce tells whether the current revision is in force in every zone.
	InForce bool `json:"in_force"`
	// expected lists the zones that have instances in the platform's list or targets in
	// the current bundle. A status of any other zone is left over from a closed zone.
	expected []string
	// epoch is the store's epoch when the statuses were read.
	epoch uint64
}

// ReadState reads the manifest, all zone statuses and the platform's list of instances.
func ReadState(ctx context.Context, s objectstore.Store) (*State, error) {
	st := &State{Zones: make(map[string]rollout.Status)}
	current, err := readCurrent(ctx, s)
	if err != nil {
		return nil, err
	}
	st.Current = current
	if err := st.readZones(ctx, s); err != nil {
		return nil, err
	}
	if st.Evacuations, err = readEvacuations(ctx, s); err != nil {
		return nil, err
	}
	instances, err := s.Instances(ctx)
	if err != nil {
		return nil, errors.Wrap(err, "read list of instances")
	}
	want := make(map[string]bool)
	for _, i := range instances {
		want[i.Ref.Zone] = true
	}
	st.Outdated = outdated(slices.Sorted(maps.Keys(want)), st.Zones, st.epoch)
	if current != nil {
		for _, z := range current.header.Zones {
			want[z] = true
		}
		st.InForce = true
	}
	st.expected = slices.Sorted(maps.Keys(want))
	for _, z := range st.expected {
		status, known := st.Zones[z]
		if !known {
			st.Missing = append(st.Missing, z)
		}
		if current != nil && status.InForce.Compare(current.Revision) < 0 {
			st.InForce = false
		}
	}
	return st, nil
}

func (st *State) readZones(ctx context.Context, s objectstore.Store) error {
	l, err := s.List(ctx, rollout.StatusPrefix)
	if err != nil {
		return errors.Wrap(err, "read status of zones")
	}
	st.epoch = l.Version.Epoch()
	for _, o := range l.Objects {
		var status rollout.Status
		if err := json.Unmarshal(o.Value, &status); err != nil {
			return errors.Wrapf(err, "stored zone status %s", o.Key)
		}
		st.Zones[strings.TrimPrefix(o.Key, rollout.StatusPrefix)] = status
	}
	return nil
}

// outdated returns the zones without a status of the store's epoch.
func outdated(zones []string, statuses map[string]rollout.Status, epoch uint64) []string {
	return slices.DeleteFunc(zones, func(z string) bool {
		return statuses[z].StoreEpoch >= epoch
	})
}

func readCurrent(ctx context.Context, s objectstore.Store) (*Current, error) {
	o, err := s.Get(ctx, rollout.CurrentKey)
	if errors.Is(err, objectstore.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, errors.Wrap(err, "read current manifest")
	}
	m, h, err := bundle.DecodeManifest(o.Value)
	if err != nil {
		return nil, errors.Wrapf(err, "stored manifest %s", o.Key)
	}
	return &Current{
		Revision: h.Revision, Digest: m.Digest().String(), RollID: m.RollID, Operator: m.Operator, Retired: m.Retired,
		version: o.Version, manifest: m, header: h,
	}, nil
}

// Zones returns the zones that the current bundle names.
func (c *Current) Zones() []string { return c.header.Zones }
