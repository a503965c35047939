package simulation

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"guavaloom.example/guavaloom/internal/bundle"
	"guavaloom.example/guavaloom/internal/objectstore"
	"guavaloom.example/guavaloom/internal/objectstore/standin"
	"guavaloom.example/guavaloom/internal/rollout"
	"guavaloom.example/guavaloom/internal/service"
	"guavaloom.example/guavaloom/internal/target"
	"guavaloom.example/guavaloom/internal/zone"
)

var fleetZones = []string{"zone-0", "zone-1"}

// noteAdopt counts adoptions of a bundle below one held before or in force everywhere.
func (m *member) noteAdopt(r zone.Revision) {
	if r.Compare(m.adopted) < 0 || r.Compare(m.f.floor) < 0 {
		m.f.figures.reverted++
		m.f.note("%s adopted %s after %s, in force %s", m.ref, r, m.adopted, m.f.floor)
	}
	m.adopted = r
}

func (m *member) noteTable(t *zone.Table) {
	if t.Bundle.Compare(m.table) < 0 {
		m.f.figures.reverted++
		m.f.note("%s installed table %s with %s after %s", m.ref, t.Version, t.Bundle, m.table)
	}
	m.table = t.Bundle
	m.f.checkAddresses()
}

// checkAddresses counts addresses that two leased instances give to two services.
func (f *fleet) checkAddresses() {
	owner := map[netip.AddrPort]service.ID{}
	for _, m := range f.live() {
		t := m.node.Table()
		if t == nil || !m.node.Leased(f.now) {
			continue
		}
		for _, u := range localOf(t).Uses {
			if o, ok := owner[u.Address]; ok && o != u.Service {
				f.figures.wrongService++
				f.note("%s gives %s to %s, others to %s", m.ref, u.Address, u.Service, o)
			}
			owner[u.Address] = u.Service
		}
	}
}

func (f *fleet) note(format string, args ...any) {
	f.events = append(f.events, fmt.Sprintf("%v ", f.now)+fmt.Sprintf(format, args...))
}

// inForce reports whether every live instance holds the revision and its zone's table has it.
func (f *fleet) inForce(r zone.Revision) bool {
	return !slices.ContainsFunc(f.live(), func(m *member) bool {
		t := m.node.Table()
		return m.roll.Held().Compare(r) < 0 || t == nil || t.Bundle.Compare(r) < 0
	})
}

// draft makes the next bundle: services come, go, and take the address that another had.
func (f *fleet) draft(n uint64) *bundle.Bundle {
	b := &bundle.Bundle{Name: "proof", Revision: zone.Revision{Epoch: 1, Number: n}, Zones: fleetZones}
	used := map[byte]bool{}
	for i := range 4 {
		last := byte(1 + f.rng.Intn(5))
		if f.rng.Intn(4) == 0 || used[last] {
			continue
		}
		used[last] = true
		s := service.Service{ID: service.ID(fmt.Sprintf("service-%d", i)), Protocol: service.TCP, IdleTimeout: 10 * time.Second,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, 2, last}), 443)}
		for z, name := range fleetZones {
			for k := range 3 {
				s.Targets = append(s.Targets, target.Target{ID: target.ID(fmt.Sprintf("t-%d-%d-%d", i, z, k)), Zone: name,
					Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 9, byte(z), byte(10*i + k)}), 80)})
			}
		}
		b.Services = append(b.Services, s)
	}
	return b
}

// roll does what the command-line tool does and reports whether the roll took effect.
func (f *fleet) roll(b *bundle.Bundle) bool {
	write := f.operator(b)
	return write != nil && write()
}

// operator reads the store and returns the update of the manifest on the version
// that it read, or nil if the bundle cannot be rolled.
func (f *fleet) operator(b *bundle.Bundle) func() bool {
	current, err := f.store.Get(context.Background(), rollout.CurrentKey)
	if errors.Is(err, objectstore.ErrNotFound) {
		highest, _ := rollout.HighestRevision(f.status())
		return func() bool { return f.write(b, f.rolled[highest], nil, 0) }
	}
	if err != nil {
		return nil
	}
	m, h, err := bundle.DecodeManifest(current.Value)
	if err != nil || b.Revision.Compare(h.Revision) <= 0 {
		return nil
	}
	prev, _, err := bundle.Assemble(m.Header, f.part)
	if err != nil {
		return nil
	}
	return func() bool { return f.write(b, prev, m.Retired, current.Version) }
}

func (f *fleet) part(d bundle.Digest) []byte {
	o, err := f.store.Get(context.Background(), rollout.PartKey(d))
	if err != nil {
		return nil
	}
	return o.Value
}

func (f *fleet) write(b, prev *bundle.Bundle, retired []bundle.RetiredUse, version objectstore.Version) bool {
	ctx := context.Background()
	status := f.status()
	if highest, _ := rollout.HighestRevision(status); b.Revision.Compare(highest) <= 0 {
		return false
	}
	keep, refusals := rollout.CheckAddresses(prev, b, retired, fleetZones, status)
	if len(refusals) > 0 {
		f.figures.refused++
		return false
	}
	e := b.Encode()
	for d, p := range e.Parts {
		_, _ = f.store.Put(ctx, rollout.PartKey(d), p, 0)
	}
	manifest := bundle.Manifest{Header: e.Header, Signatures: []bundle.Signature{bundle.Sign(e.Digest(), f.key)}, RollID: fmt.Sprint(f.rng.Int63()), Retired: keep}
	_, err := objectstore.PutResolved(ctx, f.store, rollout.CurrentKey, manifest.Encode(), version)
	if errors.Is(err, objectstore.ErrConflict) {
		f.figures.raced++
	}
	if err == nil {
		f.rolled[b.Revision] = b
	}
	return err == nil
}

func (f *fleet) status() map[string]rollout.Status {
	out := map[string]rollout.Status{}
	for _, z := range fleetZones {
		var s rollout.Status
		if o, err := f.store.Get(context.Background(), rollout.StatusPrefix+z); err == nil && json.Unmarshal(o.Value, &s) == nil {
			out[z] = s
		}
	}
	return out
}

// runRollout rolls bundles through faults of the store, the links and the instances.
func runRollout(seed int64) (fleetFigures, []string) {
	f := newFleet(seed, 4, 3)
	f.loss = []float64{0, 0.01, 0.05}[f.rng.Intn(3)]
	f.runUntil(15 * time.Second)
	n := uint64(1)
	for range 12 {
		f.disturb()
		f.race(n, 1+f.rng.Intn(2))
		n++
		f.runUntil(f.now + f.between(time.Second, 15*time.Second))
		if r := f.heldByAll(); f.inForce(r) && r.Compare(f.floor) > 0 {
			f.floor = r
		}
	}
	return f.figures, f.events
}

// race lets operators roll different bundles of one revision at the same time.
func (f *fleet) race(n uint64, operators int) {
	var writes []func() bool
	for range operators {
		if write := f.operator(f.draft(n)); write != nil {
			writes = append(writes, write)
		}
	}
	won := 0
	for _, write := range writes {
		if write() {
			won++
			f.figures.rolls++
			f.note("rolled %d", n)
		}
	}
	if won > 1 {
		f.figures.reverted++
		f.note("%d operators rolled revision %d", won, n)
	}
}

func (f *fleet) heldByAll() zone.Revision {
	lowest := zone.Revision{Epoch: 1 << 40}
	for _, m := range f.live() {
		if h := m.roll.Held(); h.Compare(lowest) < 0 {
			lowest = h
		}
	}
	return lowest
}

// disturb draws the next fault.
func (f *fleet) disturb() {
	z := fleetZones[f.rng.Intn(2)]
	d := f.between(time.Second, 30*time.Second)
	live := f.live()
	m := live[f.rng.Intn(len(live))]
	switch kind := f.rng.Intn(9); kind {
	case 0:
		f.note("store down at %s for %v", z, d)
		f.down[z] = true
		f.after(d, func() { f.down[z] = false })
	case 1:
		f.note("%s cut off for %v", z, d)
		f.cut[z] = true
		f.after(d, func() { f.cut[z] = false })
	case 2:
		f.note("store loses an answer")
		f.store.SetFaults(standin.Faults{LoseAnswers: 1 + f.rng.Intn(3)})
	case 3:
		f.note("store restored to an older state after %v", d)
		old := f.store.Snapshot()
		f.after(d, func() { f.store.Restore(old) })
	case 4:
		f.note("store reads are stale and watches silent")
		f.store.SetFaults(standin.Faults{StaleReads: f.rng.Intn(10), SilentWatch: true})
		f.after(d, func() { f.store.SetFaults(standin.Faults{}) })
	case 5:
		f.note("store slow")
		f.slow = f.between(100*time.Millisecond, 20*time.Second)
		f.after(d, func() { f.slow = 0 })
	case 6:
		f.note("pause %s for %v", m.ref, d)
		m.paused = true
		f.after(d, m.resume)
	case 7:
		f.note("restart %s", m.ref)
		m.dead = true
		f.after(d/4, func() { f.join(m.ref.Zone, m.ref.ID) })
	}
}

// runInForce measures how long bundles take until they are in force everywhere.
func runInForce(seed int64, down bool) []time.Duration {
	f := newFleet(seed, 4, 3)
	f.runUntil(15 * time.Second)
	var times []time.Duration
	for n := range 10 {
		f.down["zone-1"] = down && n > 0
		b := f.draft(uint64(n + 1))
		for !f.roll(b) {
			f.down["zone-1"] = false // a release needs the status of every zone
			f.runUntil(f.now + 5*time.Second)
			f.down["zone-1"] = down && n > 0
			b = f.draft(uint64(n + 1))
		}
		start := f.now
		for !f.inForce(b.Revision) && f.now < start+time.Minute {
			f.runUntil(f.now + 10*time.Millisecond)
		}
		if n > 0 {
			times = append(times, f.now-start)
		}
		f.runUntil(f.now + f.between(2*time.Second, 12*time.Second))
	}
	return times
}
