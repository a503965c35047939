package replica

import (
	"slices"
	"time"

	"github.com/go-faster/errors"

	"guavaloom.example/guavaloom/internal/objectstore"
)

// Frame tells a follower of one kind: all objects, or the changes since the version
// that the follower holds, and how old that is.
type Frame struct {
	Kind string
	// Full tells that the listing has all objects of the kind.
	Full bool
	objectstore.Listing
	// Count is the number of objects that the follower then holds, if the sender does not
	// know which ones were removed since the follower's version; else 0.
	Count int
	// Deltas are further changes, told as differences to what the follower holds.
	Deltas []Delta
}

// Message is what is sent at a time. One without frames shows that the sender lives.
type Message struct {
	Frames []Frame
}

// frame returns what a follower that holds a version has to be told, and the news
// that it covers.
func (r *Replica) frame(now time.Duration, name string, after objectstore.Version) (f Frame, seq uint64, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f = Frame{Kind: name, Full: after == 0}
	f.Listing, err = r.changes(now, name, after)
	if errors.Is(err, objectstore.ErrExpired) {
		f.Objects = r.kinds[name].objectsAfter(after)
		f.Count = len(r.kinds[name].objects)
	} else if err != nil {
		return f, 0, err
	}
	k := r.kinds[name]
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

// delta returns the difference between an object and what a follower of a version
// holds; ok is false if that is not known or the difference is large.
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

// ExpandDeltas turns the differences of a frame into objects. It fails if the replica does
// not hold what they refer to, or holds what the sender does not; then everything has
// to be asked for.
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
			continue // it came by another way meanwhile
		}
		if held.Version != d.Base {
			return errors.Errorf("%s differs from version %d, held is %d", d.Key, d.Base, held.Version)
		}
		value, err := patch(held.Value, d.Parts)
		if err != nil {
			return errors.Wrap(err, d.Key)
		}
		f.Objects = append(f.Objects, objectstore.Object{Key: d.Key, Version: d.Version, Value: value})
	}
	f.Deltas = nil
	if f.Count > 0 && k.countAfterAdding(f.Objects) != f.Count {
		return errors.Errorf("%s: objects were removed that the sender can't name", f.Kind)
	}
	return nil
}

// countAfterAdding returns the number of objects with further ones.
func (k *kindState) countAfterAdding(more []objectstore.Object) int {
	n := len(k.objects)
	for _, o := range more {
		if _, held := k.objects[o.Key]; !held {
			n++
		}
	}
	return n
}
