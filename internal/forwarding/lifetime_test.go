package forwarding

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"guavaloom.example/guavaloom/internal/rendezvous"
	"guavaloom.example/guavaloom/internal/service"
	"guavaloom.example/guavaloom/internal/target"
	"guavaloom.example/guavaloom/internal/view"
)

// mustBeConsistent checks that nothing refers to a target that the view has forgotten, and that
// the counts of the loads are those of the flows.
func (f *Forwarder) mustBeConsistent(t *testing.T) {
	t.Helper()
	type counts struct{ opening, open, busy int }
	want := map[*targetLoad]counts{}
	for id, s := range f.flows.flows {
		l := s.load
		must.True(t, f.loads[l.target.ID] == l, must.Sprintf("flow %v refers to a forgotten load of %s", id, l.target.ID))
		c := want[l]
		switch {
		case !s.opened:
			c.opening++
		default:
			c.open++
		}
		if s.opened && s.busy {
			c.busy++
		}
		want[l] = c
	}
	listed := map[*targetLoad]bool{}
	for id, s := range f.services {
		must.SliceNotEmpty(t, s.zones, must.Sprint(id))
		for _, z := range s.zones {
			must.SliceNotEmpty(t, z.targets, must.Sprint(id, z.zone))
			for _, l := range z.targets {
				must.False(t, listed[l])
				listed[l] = true
				must.Eq(t, id, l.service)
				must.Eq(t, z.zone, l.zone)
			}
		}
	}
	must.MapLen(t, len(f.loads), listed)
	for id, l := range f.loads {
		must.True(t, listed[l], must.Sprint(id))
		must.True(t, f.View.Target(id) == l.target, must.Sprintf("load of %s refers to a forgotten target", id))
		must.Eq(t, want[l], counts{l.opening, l.open, l.busy}, must.Sprint(id))
	}
	f.View.Targets(func(x *view.Target) {
		must.MapContainsKey(t, f.loads, x.ID)
		owner := f.View.ByToken(x.Token)
		must.NotNil(t, owner, must.Sprintf("nobody owns the token of %s", x.ID))
		must.Eq(t, x.TokenConflict, owner != x, must.Sprint(x.ID))
		must.True(t, f.View.Target(owner.ID) == owner)
	})
}

// Load pattern: all targets of a service are lost for good, and while they are about to be
// forgotten, the store is down and clients still try the service. Guards against a tick that
// looks up the load of a target that was forgotten while a flow was placed on it (review/1).
func TestTargetsAreForgottenDuringAnOutage(t *testing.T) {
	b := newFixture()
	for n := range 4 {
		b.put(0, b.entry(target.ID(fmt.Sprintf("i-%d", n)), "booking", "a"))
	}
	const removedAt = time.Second
	for n := range 4 {
		b.remove(removedAt, target.ID(fmt.Sprintf("i-%d", n)))
	}
	step := 500 * ms
	outage := removedAt + viewLimits.ForgetAfter - 3*time.Second
	placed := 0
	for now := 2 * time.Second; now < outage+20*time.Second; now += step {
		if now >= outage && now < outage+4500*ms {
			b.View.OutageAt = now
		} else {
			b.View.TargetsFreshAt = now
		}
		b.View.ConfigFreshAt = now
		flow := flowTo(bookingAddr, int(now/step))
		d := b.syn(now, flow, 0)
		if d.Verdict == Forward {
			placed++
			if placed%2 == 0 {
				b.accept(now+ms, flow, d)
			}
		}
		for _, r := range b.Tick(now + 2*ms) {
			must.NotNil(t, r.Target)
		}
		b.mustBeConsistent(t)
	}
	must.Positive(t, placed)
	must.MapEmpty(t, b.loads)
	must.MapEmpty(t, b.services)
	must.MapEmpty(t, b.flows.flows)
}

// Guards against open flows of a forgotten target that nobody resets: their clients would wait
// until the deadline.
func TestFlowsOfForgottenTargetsAreReset(t *testing.T) {
	b := newFixture()
	b.put(0, b.entry("i-0", "booking", "a"))
	b.remove(time.Second, "i-0")
	at := time.Second + viewLimits.ForgetAfter - 500*ms
	b.View.OutageAt, b.View.ConfigFreshAt = at-2*time.Second, at
	d := b.syn(at-time.Second, flowTo(bookingAddr, 1), 0)
	must.Eq(t, Forward, d.Verdict)
	b.accept(at, flowTo(bookingAddr, 1), d)
	var reset []ResetFlow
	for now := at; now < at+20*time.Second; now += 500 * ms {
		b.View.TargetsFreshAt = now
		reset = append(reset, b.Tick(now)...)
		b.mustBeConsistent(t)
	}
	must.Len(t, 1, reset)
	must.MapEmpty(t, b.loads)
}

// randomSeeds returns the seeds of randomized tests: those of the environment, as FIRST and COUNT,
// or a few fixed ones.
func randomSeeds(t *testing.T) (first, count uint64) {
	if first, count = 1, 20; testing.Short() { // with the race detector
		count = 3
	}
	for name, value := range map[string]*uint64{"LIFETIME_FIRST": &first, "LIFETIME_SEEDS": &count} {
		if text := os.Getenv(name); text != "" {
			n, err := strconv.ParseUint(text, 10, 64)
			must.NoError(t, err)
			*value = n
		}
	}
	return first, count
}

// Load pattern: targets and services come, drain, go, are forgotten and return under their IDs
// during outages and restores of the store, with packets and ticks between. Guards against state
// that outlives what it is kept for. More seeds: LIFETIME_SEEDS=N LIFETIME_FIRST=N.
func TestRandomLifetimes(t *testing.T) {
	first, count := randomSeeds(t)
	for seed := first; seed < first+count; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runLifetimes(t, rand.New(rand.NewPCG(seed, 0))) })
	}
}

// lifetimes is a randomized run.
type lifetimes struct {
	*fixture
	t        *testing.T
	r        *rand.Rand
	now      time.Duration
	outage   bool
	restored uint64
	open     []openFlow
}

type openFlow struct {
	id       FlowID
	token    uint32
	seq, ack uint32
}

func runLifetimes(t *testing.T, r *rand.Rand) {
	b := newFixture()
	l := Limits{MaxConfigAge: 5 * time.Second, EvacuationRepeat: 300 * ms}
	l.Pace, l.Overload, l.DetectRefusals = r.IntN(2) == 0, r.IntN(2) == 0, r.IntN(2) == 0
	v := view.Limits{ReturnGrace: 3 * time.Second, RestoreGrace: 5 * time.Second, ForgetAfter: time.Duration(5+r.IntN(20)) * time.Second}
	config := *b.View.Config()
	config.ColdRates = map[service.ID]float64{"proofing": 8}
	b.Forwarder = New("a", l, view.New(v), b.events)
	b.View.SetConfig(config, 1)
	b.View.SetRegions(map[string]string{"a": "north", "b": "north"})
	b.View.MarkListed()
	b.SetColdLimits(1.5, 5, rendezvous.Seed("self"))
	b.SetColdInstances([]uint64{rendezvous.Seed("self")})
	if r.IntN(2) == 0 {
		b.EnableReports()
	}
	x := &lifetimes{fixture: b, t: t, r: r}
	for range 1500 {
		x.now += time.Duration(r.IntN(400)) * ms
		if r.IntN(300) == 0 {
			x.now += v.ForgetAfter // nothing happens for a while
		}
		if x.outage {
			b.View.OutageAt = x.now
		} else {
			b.View.TargetsFreshAt, b.View.ConfigFreshAt = x.now, x.now
		}
		x.step()
		if r.IntN(3) == 0 {
			b.View.Settle(x.now, func(t *view.Target, _ view.Change) { b.UpdateTarget(t) })
			b.View.SettleEvacuations(x.now, func(view.Evacuation) {})
			for _, f := range b.Tick(x.now) {
				must.NotNil(t, f.Target)
			}
			if b.reports != nil {
				b.Observations(x.now)
			}
		}
		b.mustBeConsistent(t)
	}
}

// id returns one of a few IDs, so that they are used again.
func (x *lifetimes) id() target.ID { return target.ID(fmt.Sprintf("i-%d", x.r.IntN(12))) }

func (x *lifetimes) step() {
	b, r := x.fixture, x.r
	b.version++
	version := x.restored<<40 | b.version
	entry := b.entry(x.id(), []service.ID{"booking", "proofing"}[r.IntN(2)], []string{"a", "b"}[r.IntN(2)])
	entry.Draining, entry.Incarnation = r.IntN(4) == 0, int64(r.IntN(3))
	entry.Sequence, entry.WarmUp = uint64(r.IntN(5)), time.Duration(r.IntN(3))*time.Second
	apply := func(t *view.Target, change view.Change) {
		if t != nil && change != view.Unchanged {
			b.UpdateTarget(t)
		}
	}
	switch r.IntN(16) {
	case 0, 1:
		apply(b.View.Put(x.now, entry, version))
	case 2, 3:
		apply(b.View.Remove(x.now, entry.ID, version))
	case 4:
		b.View.PutUnreadable(entry.ID, version)
	case 5:
		x.outage = !x.outage
	case 6:
		x.restore()
	case 7:
		if r.IntN(2) == 0 {
			b.View.PutEvacuation(x.now, entry.Zone, version)
		} else {
			b.View.WithdrawEvacuation(entry.Zone, version)
		}
	default:
		x.packets()
	}
}

// restore replaces the store by an older copy: some entries are those of before, some are missing.
func (x *lifetimes) restore() {
	b, r := x.fixture, x.r
	x.restored++
	b.View.OutageAt = x.now
	b.View.ExtendClaims(x.now)
	var known []view.TargetEntry
	b.View.Targets(func(t *view.Target) { known = append(known, t.TargetEntry) })
	for _, e := range known {
		b.version++
		version := x.restored<<40 | b.version
		switch r.IntN(4) {
		case 0:
			b.View.RemoveRestored(x.now, e.ID, version)
		case 1:
			b.View.PutUnreadableRestored(x.now, e.ID, version)
		default:
			e.Sequence -= min(e.Sequence, uint64(r.IntN(3)))
			if t, change := b.View.PutRestored(x.now, e, version); change != view.Unchanged {
				b.UpdateTarget(t)
			}
		}
	}
}

// packets opens a flow, or continues one.
func (x *lifetimes) packets() {
	b, r := x.fixture, x.r
	if len(x.open) == 0 || r.IntN(3) == 0 {
		flow := flowTo([]view.Endpoint{bookingAddr, proofingAddr, splitAddr}[r.IntN(3)], r.IntN(40))
		d := b.syn(x.now, flow, uint32(r.IntN(2)))
		if d.Verdict != Forward {
			return
		}
		if r.IntN(4) > 0 {
			b.accept(x.now, flow, d)
			x.open = append(x.open, openFlow{flow, d.Token, 101, 500})
		}
		return
	}
	n := r.IntN(len(x.open))
	f := &x.open[n]
	size := r.IntN(3) * 400
	d := b.data(x.now, f.id, f.token, f.seq, f.ack, size)
	if r.IntN(3) > 0 {
		f.seq += uint32(size)
		f.ack += uint32(r.IntN(2) * 600)
	}
	if d.Verdict == Reset || r.IntN(20) == 0 {
		x.open = append(x.open[:n], x.open[n+1:]...)
	}
}
