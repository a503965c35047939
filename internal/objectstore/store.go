package objectstore

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"guavaloom.example/guavaloom/internal/instance"
)

// MaxValue is the size limit of an object's value in bytes.
const MaxValue = 1 << 20

// Object is one stored object.
type Object struct {
	Key     string
	Version Version
	Value   []byte
	// Deleted marks the removal of an object in the answer of a watch.
	Deleted bool
}

// Listing is the state of the objects below a prefix, or the changes to them, at a version
// of the store.
type Listing struct {
	Version Version
	Objects []Object
	// Age is the maximum age of the state if a replica answers in place of the store.
	Age time.Duration
	// SinceOutage is the time since a call to the store last failed, at the instance that
	// answers or at the one that it follows; 0 if none failed recently. After a recent
	// failure, objects may have expired only because their owners could not renew them.
	SinceOutage time.Duration
}

// Instance is an entry of the platform's list of instances, which lags behind the
// actual state.
type Instance struct {
	Ref     instance.Ref `json:"ref"`
	Leaving bool         `json:"leaving"`
}

// Errors of a Store. Any other error means that the call had no effect.
var (
	// ErrNotFound means that there is no object with the key.
	ErrNotFound = errors.New("no such object")
	// ErrConflict means that the object's version is not the expected one.
	ErrConflict = errors.New("version conflict")
	// ErrUnknown means that a change may or may not have taken effect.
	ErrUnknown = errors.New("outcome unknown")
	// ErrUnavailable means that the store did not answer or refused the call.
	ErrUnavailable = errors.New("store unavailable")
	// ErrExpired means that the watch's version is not usable and the caller must list again.
	ErrExpired = errors.New("watch expired")
	// ErrTooLong means that a list has more pages than the caller accepts or is allowed.
	ErrTooLong = errors.New("list has more pages")
)

// Store is the platform's object API.
type Store interface {
	Get(ctx context.Context, key string) (Object, error)
	List(ctx context.Context, prefix string) (Listing, error)
	// Put creates the object (expect 0) or replaces it if its version is expect.
	Put(ctx context.Context, key string, value []byte, expect Version) (Version, error)
	Delete(ctx context.Context, key string, expect Version) error
	// Watch waits for changes below the prefix after a version, at most for wait.
	// An empty listing means that there were none.
	Watch(ctx context.Context, prefix string, after Version, wait time.Duration) (Listing, error)
	Instances(ctx context.Context) ([]Instance, error)
}

// Op is the operation of a Call.
type Op string

// Operations of the Store.
const (
	OpGet       Op = "get"
	OpList      Op = "list"
	OpPut       Op = "put"
	OpDelete    Op = "delete"
	OpWatch     Op = "watch"
	OpInstances Op = "instances"
)

// Call is a store call as a value, for packages that do no I/O themselves.
type Call struct {
	// ID is chosen by the caller to match the Result.
	ID      uint64
	Op      Op
	Key     string // key or prefix
	Value   []byte
	Version Version // expected version, or version to watch after
	Wait    time.Duration
}

// Result is the outcome of a Call.
type Result struct {
	Call    Call
	Listing Listing // of OpGet, OpList and OpWatch; OpGet gives one object
	Version Version // of OpPut
	// Instances is the result of OpInstances.
	Instances []Instance
	Err       error
}

// Do executes a call on a store.
func Do(ctx context.Context, s Store, c Call) Result {
	r := Result{Call: c}
	switch c.Op {
	case OpGet:
		var o Object
		if o, r.Err = s.Get(ctx, c.Key); r.Err == nil {
			r.Listing = Listing{Version: o.Version, Objects: []Object{o}}
		}
	case OpList:
		r.Listing, r.Err = s.List(ctx, c.Key)
	case OpPut:
		r.Version, r.Err = s.Put(ctx, c.Key, c.Value, c.Version)
	case OpDelete:
		r.Err = s.Delete(ctx, c.Key, c.Version)
	case OpWatch:
		r.Listing, r.Err = s.Watch(ctx, c.Key, c.Version, c.Wait)
	case OpInstances:
		r.Instances, r.Err = s.Instances(ctx)
	default:
		r.Err = errors.Errorf("operation %q is not supported", c.Op)
	}
	return r
}

// PutResolved is Put, but resolves an unknown outcome by reading the object back: the
// change took effect if the object now holds the value that was written. It
// returns ErrUnknown if the read fails or the change may still take effect.
func PutResolved(ctx context.Context, s Store, key string, value []byte, expect Version) (Version, error) {
	v, err := s.Put(ctx, key, value, expect)
	if !errors.Is(err, ErrUnknown) {
		return v, err
	}
	o, readErr := s.Get(ctx, key)
	switch {
	case readErr == nil && o.Version != expect && string(o.Value) == string(value):
		return o.Version, nil
	case readErr == nil && o.Version == expect, errors.Is(readErr, ErrNotFound) && expect == 0:
		// The change may still reach the store, so its outcome stays unknown.
		return 0, ErrUnknown
	case readErr == nil, errors.Is(readErr, ErrNotFound):
		return 0, ErrConflict
	}
	return 0, ErrUnknown
}
