package replica

import (
	"slices"
	"time"

	"github.com/go-faster/errors"

	"guavaloom.example/guavaloom/internal/objectstore"
)

// Frame brings a follower up to date on one kind: it has all objects, or the changes since
// the version that the follower holds, and the age of that state.
type Frame struct {
	Kind string
	// Full marks a listing of all objects of the kind.
	Full bool
	objectstore.Listing
	// Count is the number of objects that the sender holds. A follower that has another number
	// after applying the frame holds objects whose removal the sender does not know of.
	Count int
	// Deltas are further changes, as differences from objects that the follower holds.
	Deltas []Delta
}

// Message is one message of the stream. A message without frames is a heartbeat.
type Message struct {
	Frames []Frame
}

// frame returns the frame for a follower that holds a version, and the sequence number of
// the update that it covers.
func (r *Replica) frame(now time.Duration, name string, after objectstore.Version) (f Frame, seq uint64, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f = Frame{Kind: name, Full: after == 0}
	f.Listing, err = r.changes(now, name, after)
	k := r.kinds[name]
	if errors.Is(err, objectstore.ErrExpired) {
		f.Objects = k.objectsAfter(after)
	} else if err != nil {
		return f, 0, err
	}
	f.Count = len(k.objects)
	if !f.Full {
		f.Objects = slices.DeleteFunc(f.Objects, func(o objectstore.Object) bool {
			d, ok := k.delta(o, after)
			if ok {
				f.Deltas = append(f.Deltas, d)
			}
			return ok
		})
	}
	return f, k.messageSeq, nil
}

// delta returns the difference between an object and the follower's copy of it at a version;
// ok is false if that copy is not known or the difference is large.
func (k *kindState) delta(o objectstore.Object, after objectstore.Version) (d Delta, ok bool) {
	f := k.previous[o.Key]
	if f == nil || o.Deleted || after < f.object.Version || after >= o.Version {
		return d, false
	}
	if f.deltaVersion != o.Version {
		f.deltaParts, f.deltaVersion = diff(f.object.Value, o.Value), o.Version
	}
	if float64(deltaSize(f.deltaParts)) > maxDeltaShare*float64(len(o.Value)) {
		return d, false
	}
	return Delta{Key: o.Key, Version: o.Version, Base: f.object.Version, Parts: f.deltaParts}, true
}

// ExpandDeltas replaces the deltas of a frame by the objects that they describe. It fails if
// the replica does not hold a delta's base, or if it holds objects that the sender does not
// have; the caller then has to request all objects.
func (r *Replica) ExpandDeltas(f *Frame) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	k := r.kinds[f.Kind]
	if k == nil {
		return errors.Errorf("unknown kind %q", f.Kind)
	}
	for _, d := range f.Deltas {
		held := k.objects[d.Key]
		if held.Version >= d.Version {
			continue // already received from another source
		}
		if held.Version != d.Base {
			return errors.Errorf("%s: delta is based on version %s, held is %s", d.Key, d.Base, held.Version)
		}
		value, err := patch(held.Value, d.Parts)
		if err != nil {
			return errors.Wrap(err, d.Key)
		}
		f.Objects = append(f.Objects, objectstore.Object{Key: d.Key, Version: d.Version, Value: value})
	}
	f.Deltas = nil
	if f.Full || f.Version < k.version {
		return nil // the follower may hold later changes than the sender
	}
	if n := k.countAfter(f.Objects); n != f.Count {
		return errors.Errorf("%s: %d objects after the changes, the sender holds %d: it has no record of some removals", f.Kind, n, f.Count)
	}
	return nil
}

// countAfter returns the number of objects that the kind would have after some changes.
func (k *kindState) countAfter(changes []objectstore.Object) int {
	n := len(k.objects)
	for _, o := range changes {
		_, held := k.objects[o.Key]
		switch {
		case o.Deleted && held:
			n--
		case !o.Deleted && !held:
			n++
		}
	}
	return n
}
