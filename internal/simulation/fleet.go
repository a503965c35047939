package simulation

import (
	"context"
	"crypto/ed25519"
	"fmt"
	"math/rand"
	"net/netip"
	"slices"
	"strings"
	"time"

	"guavaloom.example/guavaloom/internal/bundle"
	"guavaloom.example/guavaloom/internal/instance"
	"guavaloom.example/guavaloom/internal/membership"
	"guavaloom.example/guavaloom/internal/objectstore"
	"guavaloom.example/guavaloom/internal/objectstore/standin"
	"guavaloom.example/guavaloom/internal/rollout"
	"guavaloom.example/guavaloom/internal/target"
	"guavaloom.example/guavaloom/internal/zone"
)

const (
	// rolloutTick is the interval at which the daemon ticks the rollout.
	rolloutTick = 200 * time.Millisecond
	storeDelay  = 2 * time.Millisecond
	peerDelay   = 5 * time.Millisecond
)

// member is one instance of the fleet: the zone core and the rollout core.
type member struct {
	f       *fleet
	ref     instance.Ref
	node    *membership.Node
	roll    *rollout.Node
	dead    bool
	paused  bool
	held    []func()
	watch   *objectstore.Call
	since   time.Duration
	table   zone.Revision // highest seen in an installed table
	adopted zone.Revision
	seen    map[instance.ID]instance.Ref // by the platform's list
	gone    []instance.Ref
}

// fleet is two zones over one store.
type fleet struct {
	sim
	key     ed25519.PrivateKey
	policy  bundle.Policy
	store   *standin.Memory
	down    map[string]bool // zones that do not reach the store
	slow    time.Duration
	cut     map[string]bool // zones that do not reach other zones
	loss    float64
	members []*member
	floor   zone.Revision                    // in force at all live instances once
	rolled  map[zone.Revision]*bundle.Bundle // the operator's files
	figures fleetFigures
	events  []string
}

type fleetFigures struct {
	reverted, wrongService int
	rolls, raced, refused  int
}

func newFleet(seed int64, perZone ...int) *fleet {
	key := ed25519.NewKeyFromSeed([]byte(strings.Repeat("p", ed25519.SeedSize)))
	public := key.Public().(ed25519.PublicKey)
	f := &fleet{sim: newSim(seed), key: key, store: standin.New(), down: map[string]bool{}, cut: map[string]bool{},
		rolled: map[zone.Revision]*bundle.Bundle{},
		policy: bundle.Policy{Name: "proof", Threshold: 1, Keys: map[bundle.KeyID]ed25519.PublicKey{bundle.KeyIDOf(public): public}}}
	for z, n := range perZone {
		for i := range n {
			f.join(fmt.Sprintf("zone-%d", z), instance.ID(fmt.Sprintf("i-%d-%d", z, i)))
		}
	}
	f.list()
	return f
}

func (f *fleet) join(z string, id instance.ID) *member {
	n := byte(len(f.members) + 1)
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 3, 0, n}), 7000)
	m := &member{f: f, seen: map[instance.ID]instance.Ref{}, ref: instance.Ref{ID: id, Incarnation: instance.Incarnation(f.now + 1), Zone: z, Control: addr, Relay: addr, Request: addr}}
	var seeds []membership.Seed
	for i := range 3 {
		seeds = append(seeds, membership.Seed{ID: instance.ID(fmt.Sprintf("i-%s-%d", strings.TrimPrefix(z, "zone-"), i))})
	}
	m.node = membership.New(membership.Config{Zone: z, Seeds: seeds}, m.ref, rand.New(rand.NewSource(f.rng.Int63())))
	m.roll = rollout.New(rollout.Config{Self: m.ref, Policy: f.policy}, rand.New(rand.NewSource(f.rng.Int63())))
	f.members = append(f.members, m)
	f.after(f.between(0, nodeTick), m.tickZone)
	f.after(f.between(0, rolloutTick), m.tickRollout)
	return m
}

func (f *fleet) live() []*member {
	return slices.DeleteFunc(slices.Clone(f.members), func(m *member) bool { return m.dead })
}

// list refreshes the platform's list of instances, which lags behind.
func (f *fleet) list() {
	var listed []objectstore.Instance
	for _, m := range f.live() {
		listed = append(listed, objectstore.Instance{Ref: m.ref})
	}
	f.store.SetInstances(listed)
	f.after(10*time.Second, f.list)
}

func (m *member) do(run func()) {
	switch {
	case m.dead:
	case m.paused:
		m.held = append(m.held, run)
	default:
		run()
	}
}

func (m *member) resume() {
	m.paused = false
	held := m.held
	m.held = nil
	for _, run := range held {
		m.do(run)
	}
}

func (m *member) tickZone() {
	m.do(func() {
		m.actZone(m.node.Tick(m.f.now))
		if t := m.node.Table(); t != nil { // no flows, so nothing to transfer
			m.actZone(m.node.TransfersDone(m.f.now, t.Homes[0].Number))
		}
		m.f.after(nodeTick, m.tickZone)
	})
}

func (m *member) tickRollout() {
	m.do(func() {
		f := m.f
		m.pollWatch()
		m.act(m.roll.SetView(f.now, m.view()))
		m.act(m.roll.SetLocal(f.now, localOf(m.node.Table())))
		m.act(m.roll.Tick(f.now))
		f.after(rolloutTick, m.tickRollout)
	})
}

func (m *member) view() rollout.View {
	v := rollout.View{Remote: map[string][]instance.Ref{}}
	v.Leader, _ = m.node.Leader()
	suspects := m.node.Suspects()
	if t := m.node.Table(); t != nil {
		for _, r := range t.Roster {
			if !slices.ContainsFunc(suspects, r.Same) {
				v.Members = append(v.Members, r)
			}
		}
	}
	if !slices.ContainsFunc(v.Members, m.ref.Same) {
		v.Members = append(v.Members, m.ref)
	}
	for _, o := range m.f.members { // as configured
		if o.ref.Zone != m.ref.Zone {
			v.Remote[o.ref.Zone] = append(v.Remote[o.ref.Zone], o.ref)
		}
	}
	v.NotGone = slices.Clone(v.Members)
	for _, r := range m.seen {
		if !slices.ContainsFunc(v.NotGone, r.Same) && !slices.ContainsFunc(m.gone, r.Same) {
			v.NotGone = append(v.NotGone, r)
		}
	}
	return v
}

func localOf(t *zone.Table) rollout.LocalState {
	if t == nil {
		return rollout.LocalState{}
	}
	b := bundle.Bundle{}
	for _, s := range t.Services {
		d := s.Service
		for _, e := range s.Targets {
			if !e.Removed {
				d.Targets = append(d.Targets, e.Target)
			}
		}
		b.Services = append(b.Services, d)
	}
	return rollout.LocalState{Table: t.Bundle, Uses: b.AddressUses()}
}

func (m *member) actZone(actions []membership.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case membership.Send:
			m.f.send(m, a.To, func(to *member) { to.actZone(to.node.Receive(m.f.now, m.ref, a.Message)) })
		case membership.Install:
			m.noteTable(a.Table)
		}
	}
}

func (m *member) act(actions []rollout.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case rollout.Send:
			m.f.send(m, a.To, func(to *member) { to.act(to.roll.Receive(m.f.now, m.ref, a.Message)) })
		case rollout.StoreCall:
			m.call(a.Call)
		case rollout.Adopt:
			m.noteAdopt(a.Bundle.Revision)
			m.propose()
		case rollout.Listed:
			m.listed(a.Instances)
		}
	}
}

// listed takes runs that are listed no longer as gone.
func (m *member) listed(list []objectstore.Instance) {
	now := map[instance.ID]instance.Ref{}
	for _, i := range list {
		if i.Ref.Zone == m.ref.Zone {
			now[i.Ref.ID] = i.Ref
		}
	}
	for id, old := range m.seen {
		if cur, found := now[id]; (!found || cur.Incarnation > old.Incarnation) && !slices.ContainsFunc(m.gone, old.Same) {
			m.gone = append(m.gone, old)
		}
	}
	m.seen = now
	var refs []instance.Ref
	for _, r := range now {
		refs = append(refs, r)
	}
	slices.SortFunc(refs, instance.Ref.Compare)
	m.node.SetListed(refs)
	m.propose()
}

// propose gives the zone core what the held bundle asks for, without withheld uses.
func (m *member) propose() {
	b := m.roll.Bundle()
	d := zone.Desired{Gone: slices.Clone(m.gone)}
	if b != nil {
		d.Bundle = b.Revision
		withheld := m.roll.Withheld()
		for _, s := range b.Services {
			own := slices.DeleteFunc(withheldOf(withheld, s.ID), func(u bundle.AddressUse) bool { return u.Address != s.Address })
			if len(own) > 0 {
				continue
			}
			ds := zone.DesiredService{Service: s}
			ds.Service.Targets = nil
			for _, t := range s.Targets {
				if !slices.ContainsFunc(withheldOf(withheld, s.ID), func(u bundle.AddressUse) bool { return u.Address == t.Addr }) {
					ds.Targets = append(ds.Targets, zone.DesiredTarget{Target: t, State: target.Active, Percent: target.FullWeight})
				}
			}
			d.Services = append(d.Services, ds)
		}
	}
	m.actZone(m.node.Propose(m.f.now, d))
}

func withheldOf(uses []bundle.AddressUse, id any) []bundle.AddressUse {
	return slices.DeleteFunc(slices.Clone(uses), func(u bundle.AddressUse) bool { return any(u.Service) != id })
}

func (f *fleet) send(from *member, ref instance.Ref, receive func(*member)) {
	if f.rng.Float64() < f.loss || ref.Zone != from.ref.Zone && (f.cut[ref.Zone] || f.cut[from.ref.Zone]) {
		return
	}
	d := f.between(300*time.Microsecond, time.Millisecond)
	if ref.Zone != from.ref.Zone {
		d = peerDelay + f.between(0, peerDelay)
	}
	for _, to := range f.members {
		if to.ref.ID == ref.ID && !to.dead && (ref.Incarnation == 0 || to.ref.Same(ref)) {
			f.after(d, func() { to.do(func() { receive(to) }) })
		}
	}
}

func (m *member) call(c objectstore.Call) {
	f := m.f
	if c.Op == objectstore.OpWatch {
		m.watch, m.since = &c, f.now
		return
	}
	f.after(storeDelay+f.slow, func() {
		r := objectstore.Result{Call: c, Err: objectstore.ErrUnavailable}
		if !f.down[m.ref.Zone] {
			r = objectstore.Do(context.Background(), f.store, c)
		}
		f.after(storeDelay, func() { m.do(func() { m.act(m.roll.StoreResult(f.now, r)) }) })
	})
}

// pollWatch ends a watch that has a change or has waited long enough.
func (m *member) pollWatch() {
	c := m.watch
	if c == nil || m.f.down[m.ref.Zone] {
		return
	}
	l, _, err := m.f.store.Changes(c.Key, c.Version)
	if err == nil && len(l.Objects) == 0 && m.f.now < m.since+c.Wait {
		return
	}
	m.watch = nil
	m.act(m.roll.StoreResult(m.f.now, objectstore.Result{Call: *c, Listing: l, Err: err}))
}
