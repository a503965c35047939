package standin

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"guavaloom.example/guavaloom/internal/objectstore"
)

// Faults are the injected faults. The zero value has none.
type Faults struct {
	// Down refuses every call.
	Down bool
	// Slow delays every answer.
	Slow time.Duration
	// LoseAnswers is how many of the next changes take effect but return ErrUnknown.
	LoseAnswers int
	// SilentWatch makes watches wait without ever reporting a change.
	SilentWatch bool
	// StaleReads is how many of the next gets and lists return the state before the last change.
	StaleReads int
}

// Memory is an in-memory store. It is safe for concurrent use.
type Memory struct {
	mu        sync.Mutex
	faults    Faults
	version   objectstore.Version
	objects   map[string]objectstore.Object // deleted objects stay as tombstones
	previous  map[string]objectstore.Object // state before the last change
	instances []objectstore.Instance
	calls     map[objectstore.Op]int
	changed   chan struct{} // closed at the next change
}

var _ objectstore.Store = (*Memory)(nil)

// New returns an empty store.
func New() *Memory {
	return &Memory{
		objects: make(map[string]objectstore.Object),
		calls:   make(map[objectstore.Op]int),
		changed: make(chan struct{}),
	}
}

// SetFaults replaces the injected faults.
func (m *Memory) SetFaults(f Faults) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults = f
}

// SetInstances replaces the platform's list of instances.
func (m *Memory) SetInstances(list []objectstore.Instance) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.instances = slices.Clone(list)
}

// Calls returns the number of calls by operation.
func (m *Memory) Calls() map[objectstore.Op]int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return maps.Clone(m.calls)
}

// Snapshot is a saved state.
type Snapshot struct {
	version objectstore.Version
	objects map[string]objectstore.Object
}

// Snapshot saves the state for a later Restore.
func (m *Memory) Snapshot() Snapshot {
	m.mu.Lock()
	defer m.mu.Unlock()
	return Snapshot{m.version, maps.Clone(m.objects)}
}

// Restore returns to a saved state in a new epoch: the revisions after the saved one are given
// out again.
func (m *Memory) Restore(s Snapshot) {
	m.mu.Lock()
	defer m.mu.Unlock()
	epoch := m.version.Epoch() + 1
	m.version, m.objects, m.previous = inEpoch(epoch, s.version), make(map[string]objectstore.Object, len(s.objects)), nil
	for key, o := range s.objects {
		o.Version = inEpoch(epoch, o.Version)
		m.objects[key] = o
	}
	m.notify()
}

// inEpoch returns the version with the same revision in another epoch.
func inEpoch(epoch uint64, v objectstore.Version) objectstore.Version {
	v, err := objectstore.NewVersion(epoch, v.Revision())
	if err != nil {
		panic(err) // more restores than any test makes
	}
	return v
}

// epoch returns the number of restores.
func (m *Memory) epoch() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.version.Epoch()
}

func (m *Memory) notify() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// startCall counts a call and applies the faults that precede its effect.
func (m *Memory) startCall(ctx context.Context, op objectstore.Op) error {
	m.mu.Lock()
	m.calls[op]++
	f := m.faults
	m.mu.Unlock()
	if f.Slow > 0 {
		select {
		case <-ctx.Done():
			return objectstore.ErrUnavailable
		case <-time.After(f.Slow):
		}
	}
	if f.Down {
		return objectstore.ErrUnavailable
	}
	return nil
}

// readState returns the state for a read, which is stale while StaleReads is positive.
func (m *Memory) readState() map[string]objectstore.Object {
	if m.faults.StaleReads > 0 && m.previous != nil {
		m.faults.StaleReads--
		return m.previous
	}
	return m.objects
}

// Get implements objectstore.Store.
func (m *Memory) Get(ctx context.Context, key string) (objectstore.Object, error) {
	if err := m.startCall(ctx, objectstore.OpGet); err != nil {
		return objectstore.Object{}, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	o, found := m.readState()[key]
	if !found || o.Deleted {
		return objectstore.Object{}, objectstore.ErrNotFound
	}
	return o, nil
}

// List implements objectstore.Store.
func (m *Memory) List(ctx context.Context, prefix string) (objectstore.Listing, error) {
	if err := m.startCall(ctx, objectstore.OpList); err != nil {
		return objectstore.Listing{}, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	l := objectstore.Listing{Version: m.version}
	for _, o := range m.readState() {
		if strings.HasPrefix(o.Key, prefix) && !o.Deleted {
			l.Objects = append(l.Objects, o)
		}
	}
	return sortedByKey(l), nil
}

func sortedByKey(l objectstore.Listing) objectstore.Listing {
	slices.SortFunc(l.Objects, func(x, y objectstore.Object) int { return strings.Compare(x.Key, y.Key) })
	return l
}

// Put implements objectstore.Store.
func (m *Memory) Put(ctx context.Context, key string, value []byte, expect objectstore.Version) (objectstore.Version, error) {
	return m.change(ctx, objectstore.OpPut, objectstore.Object{Key: key, Value: slices.Clone(value)}, expect)
}

// Delete implements objectstore.Store.
func (m *Memory) Delete(ctx context.Context, key string, expect objectstore.Version) error {
	_, err := m.change(ctx, objectstore.OpDelete, objectstore.Object{Key: key, Deleted: true}, expect)
	return err
}

func (m *Memory) change(ctx context.Context, op objectstore.Op, o objectstore.Object, expect objectstore.Version) (objectstore.Version, error) {
	if err := m.startCall(ctx, op); err != nil {
		return 0, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	old := m.objects[o.Key]
	if old.Deleted {
		old.Version = 0
	}
	if old.Version != expect {
		return 0, objectstore.ErrConflict
	}
	if o.Deleted && old.Version == 0 {
		return 0, objectstore.ErrNotFound
	}
	m.previous = maps.Clone(m.objects)
	m.version++
	o.Version = m.version
	m.objects[o.Key] = o
	m.notify()
	if m.faults.LoseAnswers > 0 {
		m.faults.LoseAnswers--
		return 0, objectstore.ErrUnknown
	}
	return o.Version, nil
}

// Watch implements objectstore.Store.
func (m *Memory) Watch(ctx context.Context, prefix string, after objectstore.Version, wait time.Duration) (objectstore.Listing, error) {
	if err := m.startCall(ctx, objectstore.OpWatch); err != nil {
		return objectstore.Listing{}, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		l, changed, err := m.Changes(prefix, after)
		if err != nil || len(l.Objects) > 0 {
			return l, err
		}
		select {
		case <-ctx.Done():
			return objectstore.Listing{}, objectstore.ErrUnavailable
		case <-timer.C:
			return l, nil
		case <-changed:
		}
	}
}

// Changes returns the changes below a prefix after a version, without waiting,
// and a channel that is closed at the next change of the store.
func (m *Memory) Changes(prefix string, after objectstore.Version) (objectstore.Listing, <-chan struct{}, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	l := objectstore.Listing{Version: m.version}
	if m.faults.SilentWatch {
		l.Version = after
		return l, m.changed, nil
	}
	if after > m.version || after.Epoch() != m.version.Epoch() {
		return l, m.changed, objectstore.ErrExpired
	}
	for _, o := range m.objects {
		if o.Version > after && strings.HasPrefix(o.Key, prefix) {
			l.Objects = append(l.Objects, o)
		}
	}
	return sortedByKey(l), m.changed, nil
}

// Instances implements objectstore.Store.
func (m *Memory) Instances(ctx context.Context) ([]objectstore.Instance, error) {
	if err := m.startCall(ctx, objectstore.OpInstances); err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.instances), nil
}
