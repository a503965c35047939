package objectstore

import (
	"net/http"
	"net/url"
	"strconv"

	"github.com/go-faster/errors"
)

// EpochHeader is the header of all responses that counts the restores of the store from an
// older copy. A store without it was never restored.
const EpochHeader = "Store-Epoch"

// Parameters of calls: the version to watch after, the expected version of a change, and the
// epoch of either.
const (
	afterParam   = "after"
	versionParam = "version"
	epochParam   = "epoch"
)

// WireObject is the JSON form of an object: Revision is the revision within the epoch of the
// response.
type WireObject struct {
	Key      string `json:"key"`
	Revision uint64 `json:"version"`
	Value    []byte `json:"value,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// WireListing is the JSON form of a listing.
type WireListing struct {
	Revision uint64       `json:"version"`
	Objects  []WireObject `json:"objects"`
}

// WireVersion is the JSON form of the response to a change.
type WireVersion struct {
	Revision uint64 `json:"version"`
}

// ToWire returns the JSON form of an object.
func (o Object) ToWire() WireObject {
	return WireObject{Key: o.Key, Revision: o.Version.Revision(), Value: o.Value, Deleted: o.Deleted}
}

// ToWire returns the JSON form of a listing.
func (l Listing) ToWire() WireListing {
	w := WireListing{Revision: l.Version.Revision(), Objects: []WireObject{}}
	for _, o := range l.Objects {
		w.Objects = append(w.Objects, o.ToWire())
	}
	return w
}

// object returns the object in the epoch of the response.
func (w WireObject) object(epoch uint64) (Object, error) {
	v, err := NewVersion(epoch, w.Revision)
	return Object{Key: w.Key, Version: v, Value: w.Value, Deleted: w.Deleted}, err
}

// listing returns the listing in the epoch of the response.
func (w WireListing) listing(epoch uint64) (Listing, error) {
	v, err := NewVersion(epoch, w.Revision)
	if err != nil {
		return Listing{}, err
	}
	l := Listing{Version: v}
	for _, item := range w.Objects {
		o, err := item.object(epoch)
		if err != nil {
			return Listing{}, err
		}
		l.Objects = append(l.Objects, o)
	}
	return l, nil
}

// epochOf returns the epoch that a response reports.
func epochOf(h http.Header) (uint64, error) {
	text := h.Get(EpochHeader)
	if text == "" {
		return 0, nil
	}
	epoch, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, errors.Wrapf(err, "header %s", EpochHeader)
	}
	return epoch, nil
}

// setVersion adds a version to the parameters of a call.
func setVersion(q url.Values, name string, v Version) {
	q.Set(name, strconv.FormatUint(v.Revision(), 10))
	q.Set(epochParam, strconv.FormatUint(v.Epoch(), 10))
}

// ParseVersion returns the version in the parameters of a call. A caller that does not know
// epochs sends none; its version then counts in the given one.
func ParseVersion(q url.Values, name string, current uint64) (Version, error) {
	revision, err := strconv.ParseUint(q.Get(name), 10, 64)
	if err != nil {
		return 0, errors.Wrap(err, name)
	}
	epoch := current
	if q.Has(epochParam) {
		if epoch, err = strconv.ParseUint(q.Get(epochParam), 10, 64); err != nil {
			return 0, errors.Wrap(err, epochParam)
		}
	}
	if revision == 0 && name == versionParam {
		return 0, nil // a creation is not conditional on an earlier state
	}
	return NewVersion(epoch, revision)
}
