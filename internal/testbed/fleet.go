package testbed

import (
	"context"
	"crypto/ed25519"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"guavaloom.example/guavaloom/internal/bundle"
	"guavaloom.example/guavaloom/internal/daemon"
	"guavaloom.example/guavaloom/internal/instance"
	"guavaloom.example/guavaloom/internal/objectstore"
	"guavaloom.example/guavaloom/internal/objectstore/standin"
	"guavaloom.example/guavaloom/internal/operator"
	"guavaloom.example/guavaloom/internal/settings"
)

const (
	// Zone is the only zone of a fleet, and Name that of its bundles.
	Zone = "galle"
	Name = "lab"
	// budget is the control budget of an instance in bytes per second
	// (control_bytes_137 in docs/design.md).
	budget = 10_000
	// pollInterval is the time between two looks at a condition.
	pollInterval = 20 * time.Millisecond
)

// Fleet is a platform stand-in and the instances of one zone.
type Fleet struct {
	Store *standin.Memory
	log   logrus.FieldLogger
	ports *ports
	key   ed25519.PrivateKey
	web   *http.Server
	url   string
	http  *http.Client

	mu        sync.Mutex
	instances map[instance.ID]*Instance
	seeds     []settings.Seed
	rolls     int
}

// Instance is one run of an instance.
type Instance struct {
	ID     instance.ID
	Ref    instance.Ref
	Listen settings.Listen
	stop   context.CancelFunc
	crash  chan struct{}
	done   chan struct{}
	err    error // valid once done is closed
}

// NewFleet starts a platform stand-in and reserves addresses for the named
// instances, which know each other as seeds.
func NewFleet(log logrus.FieldLogger, ids ...instance.ID) (*Fleet, error) {
	_, key, err := ed25519.GenerateKey(nil)
	if err != nil {
		return nil, errors.Wrap(err, "key")
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "platform stand-in")
	}
	f := &Fleet{Store: standin.New(), log: log, key: key, instances: map[instance.ID]*Instance{},
		ports: newPorts(), url: "http://" + l.Addr().String(),
		http: &http.Client{Timeout: 2 * time.Second}}
	f.web = &http.Server{Handler: f.Store.Handler(), ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = f.web.Serve(l) }()
	for _, id := range ids {
		f.seeds = append(f.seeds, settings.Seed{ID: id, Zone: Zone, Control: f.ports.pick()})
	}
	return f, nil
}

// Addr reserves an address for a target.
func (f *Fleet) Addr() netip.AddrPort { return f.ports.pick() }

func (f *Fleet) settings(id instance.ID) *settings.Settings {
	s := &settings.Settings{Instance: id, Zone: Zone, Budget: budget, PinLimit: 100_000, Workers: 1,
		TLS:      settings.TLS{Plaintext: true},
		Platform: settings.Platform{URL: f.url, Timeout: 5 * time.Second, CallsPerSecond: 20, WatchTimeout: 30 * time.Second},
		Bundle: settings.Bundle{Name: Name, Threshold: 1,
			Keys: map[string]ed25519.PublicKey{"lab": f.key.Public().(ed25519.PublicKey)}},
		Request: settings.Request{MaxConnections: 1000, MaxHeaderBytes: 16 << 10, MaxBodyBytes: 1 << 20, HeaderTimeout: 5 * time.Second},
		Listen:  settings.Listen{Packet: f.ports.pick(), Relay: f.ports.pick(), Request: f.ports.pick(), Admin: f.ports.pick()}}
	for _, o := range f.seeds {
		if o.ID == id {
			s.Listen.Control = o.Control
		} else {
			s.Seeds = append(s.Seeds, o)
		}
	}
	if !s.Listen.Control.IsValid() {
		s.Listen.Control = f.ports.pick()
	}
	return s
}

// Start starts an instance and lists it at the platform.
func (f *Fleet) Start(id instance.ID, opts ...daemon.Option) (*Instance, error) {
	ctx, stop := context.WithCancel(context.Background())
	i := &Instance{ID: id, stop: stop, crash: make(chan struct{}), done: make(chan struct{})}
	started := make(chan struct{})
	opts = append(opts, daemon.WithLogger(f.log), daemon.WithCrash(i.crash), daemon.WithStarted(func(r instance.Ref, l settings.Listen) {
		i.Ref, i.Listen = r, l
		close(started)
	}))
	go func() {
		i.err = daemon.Run(ctx, f.settings(id), opts...)
		close(i.done)
	}()
	select {
	case <-started:
	case <-i.done:
		stop()
		return nil, errors.Wrapf(i.err, "start %s", id)
	}
	f.mu.Lock()
	f.instances[id] = i
	f.list()
	f.mu.Unlock()
	return i, nil
}

// list replaces the platform's list of instances; f.mu is held.
func (f *Fleet) list() {
	var all []objectstore.Instance
	for _, i := range f.instances {
		all = append(all, objectstore.Instance{Ref: i.Ref})
	}
	slices.SortFunc(all, func(a, b objectstore.Instance) int { return a.Ref.Compare(b.Ref) })
	f.Store.SetInstances(all)
}

func (f *Fleet) unlist(i *Instance) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.instances[i.ID] == i {
		delete(f.instances, i.ID)
	}
	f.list()
}

// Stop stops an instance gracefully and waits for its end.
func (f *Fleet) Stop(i *Instance) error {
	i.stop()
	<-i.done
	f.unlist(i)
	return i.err
}

// Kill ends an instance without any notice, as a crash would.
func (f *Fleet) Kill(i *Instance) {
	close(i.crash)
	<-i.done
	i.stop()
	f.unlist(i)
}

// Instances returns the running instances in order.
func (f *Fleet) Instances() []*Instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	var all []*Instance
	for _, i := range f.instances {
		all = append(all, i)
	}
	slices.SortFunc(all, func(a, b *Instance) int { return a.Ref.Compare(b.Ref) })
	return all
}

// Close kills what runs.
func (f *Fleet) Close() {
	for _, i := range f.Instances() {
		f.Kill(i)
	}
	_ = f.web.Close()
	f.http.CloseIdleConnections()
}

// Roll signs a bundle, rolls it and waits until it is in force or ctx ends.
func (f *Fleet) Roll(ctx context.Context, text string) error {
	b, err := bundle.Parse("lab.ini", []byte(text))
	if err != nil {
		return err
	}
	f.mu.Lock()
	f.rolls++
	id := fmt.Sprintf("lab-%d", f.rolls)
	f.mu.Unlock()
	public := f.key.Public().(ed25519.PublicKey)
	r := &operator.Roll{
		Store:      objectstore.New(objectstore.Config{URL: f.url, Rate: 150, Burst: 150, Timeout: 10 * time.Second}),
		Policy:     bundle.Policy{Name: Name, Threshold: 1, Keys: map[bundle.KeyID]ed25519.PublicKey{bundle.KeyIDOf(public): public}},
		Bundle:     b,
		Signatures: []bundle.Signature{bundle.Sign(b.Digest(), f.key)},
		ID:         id, Operator: "lab", Pause: operator.Sleep,
	}
	if err := r.Start(ctx); err != nil {
		return err
	}
	var last []operator.Progress
	if err := r.Wait(ctx, func(p []operator.Progress) { last = p }); err != nil {
		return errors.Wrapf(err, "roll ended at %+v", last)
	}
	return nil
}

// Get reads a path from the admin address of an instance.
func (f *Fleet) Get(i *Instance, path string) (status int, body string, err error) {
	r, err := f.http.Get("http://" + i.Listen.Admin.String() + path)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = r.Body.Close() }()
	b, err := io.ReadAll(r.Body)
	return r.StatusCode, string(b), err
}

// Ready reports whether an instance takes traffic.
func (f *Fleet) Ready(i *Instance) bool {
	status, _, err := f.Get(i, "/readyz")
	return err == nil && status == http.StatusOK
}

// Status is the part of an instance's status that callers of this package use.
type Status struct {
	Version     string               `json:"version"`
	Incarnation instance.Incarnation `json:"incarnation"`
	Revision    string               `json:"revision"`
	Leader      string               `json:"leader"`
	Members     []string             `json:"members"`
	NotReady    []string             `json:"not_ready"`
	Pins        int                  `json:"pins"`
}

// Status returns the status of an instance.
func (f *Fleet) Status(i *Instance) (Status, error) {
	var s Status
	_, body, err := f.Get(i, "/status")
	if err == nil {
		err = json.Unmarshal([]byte(body), &s)
	}
	return s, err
}

// Await polls a condition until it holds or ctx ends.
func Await(ctx context.Context, holds func() bool) error {
	for !holds() {
		if err := operator.Sleep(ctx, pollInterval); err != nil {
			return err
		}
	}
	return nil
}
