package edge

import (
	"bytes"
	"context"
	"slices"
	"sync"
	"time"

	"guavaloom.example/guavaloom/internal/objectstore"
)

// virtualStore is a store in memory, for tests in virtual time.
type virtualStore struct {
	mu       sync.Mutex // guards all below
	revision uint64
	objects  map[string]objectstore.Object
	events   []objectstore.Object
	changed  chan struct{}
	epoch    uint64
	calls    int
	deletes  int
	refused  map[string]bool // the zones of instances that the store turns away
}

func newVirtualStore() *virtualStore {
	return &virtualStore{objects: map[string]objectstore.Object{}, epoch: 1, changed: make(chan struct{}), refused: map[string]bool{}}
}

// version returns the version of the store's present revision.
func (s *virtualStore) version() objectstore.Version {
	v, err := objectstore.NewVersion(s.epoch, s.revision)
	if err != nil {
		panic(err)
	}
	return v
}

// write records a change. A nil value removes the object.
func (s *virtualStore) write(key string, value []byte) objectstore.Version {
	s.revision++
	o := objectstore.Object{Key: key, Version: s.version(), Value: value, Deleted: value == nil}
	if s.events = append(s.events, o); o.Deleted {
		delete(s.objects, key)
	} else {
		s.objects[key] = o
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return o.Version
}

func (s *virtualStore) set(key string, value []byte) objectstore.Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.write(key, value)
}

// restore puts a copy of the store that lacks some objects in its place.
func (s *virtualStore) restore(lacks func(key string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.epoch++
	s.events = nil
	old := s.objects
	s.objects = map[string]objectstore.Object{}
	for key, o := range old {
		if v, err := objectstore.NewVersion(s.epoch, o.Version.Revision()); err == nil && !lacks(key) {
			o.Version = v
			s.objects[key] = o
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *virtualStore) refuse(zone string, refused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused[zone] = refused
}

func (s *virtualStore) names(kind string) (names []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key := range s.objects {
		if k, name, _ := bytes.Cut([]byte(key), []byte("/")); string(k) == kind {
			names = append(names, string(name))
		}
	}
	slices.Sort(names)
	return names
}

func (s *virtualStore) callCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// virtualClient is the store as one instance reaches it.
type virtualClient struct {
	*virtualStore
	zone string
	cut  func() bool
}

// enter counts a call and fails if the store turns the caller away. The caller holds virtualStore.mu afterwards.
func (c virtualClient) enter() error {
	time.Sleep(fleetLinkDelay)
	if c.cut() {
		return objectstore.ErrUnavailable
	}
	c.mu.Lock()
	c.calls++
	if c.refused[c.zone] {
		c.mu.Unlock()
		return objectstore.ErrUnavailable
	}
	return nil
}

func (c virtualClient) after(kind string, after objectstore.Version, changes bool) (l objectstore.Listing) {
	l.Version = c.version()
	from := c.events
	if !changes {
		from = nil
		for _, o := range c.objects {
			from = append(from, o)
		}
	}
	for _, o := range from {
		if k, _, _ := bytes.Cut([]byte(o.Key), []byte("/")); string(k) == kind && o.Version > after {
			l.Objects = append(l.Objects, o)
		}
	}
	return l
}

func (c virtualClient) List(_ context.Context, kind string) (objectstore.Listing, error) {
	if err := c.enter(); err != nil {
		return objectstore.Listing{}, err
	}
	defer c.mu.Unlock()
	return c.after(kind, 0, false), nil
}

func (c virtualClient) Watch(ctx context.Context, kind string, after objectstore.Version, wait time.Duration) (objectstore.Listing, error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	if err := c.enter(); err != nil {
		return objectstore.Listing{}, err
	}
	for {
		if after.Epoch() != c.epoch {
			c.mu.Unlock()
			return objectstore.Listing{}, objectstore.ErrExpired
		}
		l, changed := c.after(kind, after, true), c.changed
		c.mu.Unlock()
		if len(l.Objects) > 0 || ctx.Err() != nil {
			return l, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
		if c.cut() {
			return l, objectstore.ErrUnavailable
		}
		c.mu.Lock()
	}
}

func (c virtualClient) Put(_ context.Context, key string, value []byte, expect objectstore.Version) (objectstore.Version, error) {
	if err := c.enter(); err != nil {
		return 0, err
	}
	defer c.mu.Unlock()
	if c.objects[key].Version != expect {
		return 0, objectstore.ErrConflict
	}
	return c.write(key, value), nil
}

func (c virtualClient) Delete(_ context.Context, key string, expect objectstore.Version) error {
	if err := c.enter(); err != nil {
		return err
	}
	defer c.mu.Unlock()
	if o, ok := c.objects[key]; !ok || o.Version != expect {
		return objectstore.ErrConflict
	}
	c.deletes++
	c.write(key, nil)
	return nil
}

func (virtualClient) Get(context.Context, string) (objectstore.Object, error) {
	return objectstore.Object{}, objectstore.ErrNotFound
}

func (virtualClient) Instances(context.Context) ([]objectstore.Instance, error) { return nil, nil }
