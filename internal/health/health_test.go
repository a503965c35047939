package health

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"guavaloom.example/guavaloom/internal/instance"
	"guavaloom.example/guavaloom/internal/service"
	"guavaloom.example/guavaloom/internal/target"
	"guavaloom.example/guavaloom/internal/zone"
)

// fixture is a merger with one prober per instance; answers gives the probe results.
type fixture struct {
	*Merger
	now     time.Duration
	roster  []instance.Ref
	probers map[instance.ID]*Prober
	service service.Service
	answers func(from instance.ID, t target.ID) (ok bool, load int)
}

func newFixture(instances, targets int) *fixture {
	f := &fixture{Merger: NewMerger("jm-a"), probers: make(map[instance.ID]*Prober)}
	f.answers = func(instance.ID, target.ID) (bool, int) { return true, -1 }
	f.service = service.Service{ID: "knotdesk", ColdStart: 8 * time.Second}
	for i := range instances {
		r := instance.Ref{ID: instance.ID(fmt.Sprintf("jm-a-%d", i)), Incarnation: 1}
		f.roster = append(f.roster, r)
		f.probers[r.ID] = NewProber(r)
	}
	for i := range targets {
		f.service.Targets = append(f.service.Targets, target.Target{ID: targetID(i), Zone: "jm-a"})
	}
	f.SetRoster(f.roster, nil)
	f.setBundle(1)
	return f
}

func targetID(i int) target.ID { return target.ID(fmt.Sprintf("knot-%02d", i)) }

func (f *fixture) setBundle(revision uint64) {
	f.SetBundle(f.now, zone.Revision{Epoch: 1, Number: revision}, []service.Service{f.service})
	d := f.Desired(f.now)
	for _, p := range f.probers {
		p.Plan(f.roster, d.Services)
	}
}

// run probes and merges for the duration d and returns the targets of Desired at the end.
func (f *fixture) run(d time.Duration) map[target.ID]zone.DesiredTarget {
	for end := f.now + d; f.now < end; f.now += ProbeInterval {
		for _, r := range f.roster {
			p := f.probers[r.ID]
			for _, k := range p.Due(f.now) {
				ok, load := f.answers(r.ID, k.Target)
				p.RecordProbe(k, ok, load)
			}
			f.Observe(f.now, r, p.Report(f.now))
		}
		f.Desired(f.now)
	}
	out := make(map[target.ID]zone.DesiredTarget)
	for _, t := range f.Desired(f.now).Services[0].Targets {
		out[t.Target.ID] = t
	}
	return out
}

// Guards against targets without probers, and against probe plans that differ
// between instances.
func TestEveryTargetHasThreeProbers(t *testing.T) {
	f := newFixture(7, 18)
	count := make(map[Key]int)
	for _, p := range f.probers {
		for _, k := range p.Due(0) {
			count[k]++
		}
	}
	must.MapLen(t, 18, count)
	for k, c := range count {
		must.Eq(t, probersPerTarget, c)
		must.Len(t, probersPerTarget, Probers(f.roster, k))
	}
}

// Guards against ejections caused by one faulty prober, whose probes fail always or
// half of the time.
func TestFaultyProberEjectsNoTarget(t *testing.T) {
	f := newFixture(7, 14)
	wrong, n := f.roster[0].ID, 0
	f.answers = func(from instance.ID, _ target.ID) (bool, int) {
		n++
		return from != wrong || n%2 == 0, -1
	}
	f.run(30 * time.Second)
	must.SliceEmpty(t, f.Ejected())
	f.answers = func(from instance.ID, _ target.ID) (bool, int) { return from != wrong, -1 }
	f.run(30 * time.Second)
	must.SliceEmpty(t, f.Ejected())
}

// Guards against a failed target that is not ejected, and against one that is
// readmitted too early or at full weight.
func TestEjectionAndReadmission(t *testing.T) {
	f := newFixture(7, 14)
	dead := true
	f.answers = func(_ instance.ID, id target.ID) (bool, int) { return id != targetID(3) || !dead, -1 }
	got := f.run(4 * time.Second)
	must.Eq(t, target.Ejected, got[targetID(3)].State)
	dead = false
	got = f.run(2 * time.Second)
	must.Eq(t, target.Ejected, got[targetID(3)].State)
	got = f.run(4 * time.Second)
	must.Eq(t, target.Active, got[targetID(3)].State)
	must.Less(t, target.FullWeight, got[targetID(3)].Percent)
	got = f.run(10 * time.Second)
	must.Eq(t, target.FullWeight, got[targetID(3)].Percent)
}

// Guards against verdicts that eject most targets of a service.
func TestEjectionLimit(t *testing.T) {
	f := newFixture(7, 6)
	bad := 2
	f.answers = func(_ instance.ID, id target.ID) (bool, int) { return id >= targetID(bad), -1 }
	f.run(5 * time.Second)
	must.Len(t, 2, f.Ejected())
	bad = 3
	f.run(5 * time.Second)
	must.SliceEmpty(t, f.Ejected())
	single := newFixture(7, 1)
	single.answers = func(instance.ID, target.ID) (bool, int) { return false, -1 }
	single.run(5 * time.Second)
	must.Len(t, 1, single.Ejected())
}

// Guards against the only prober of a target ejecting it without failed passive outcomes.
func TestSingleProberNeedsPassiveOutcomes(t *testing.T) {
	f := newFixture(1, 6)
	f.answers = func(_ instance.ID, id target.ID) (bool, int) { return id != targetID(0), -1 }
	f.run(5 * time.Second)
	must.SliceEmpty(t, f.Ejected())
	k := Key{"knotdesk", targetID(0)}
	for range minPassiveFailures {
		f.probers[f.roster[0].ID].RecordOutcome(k, false)
	}
	f.run(3 * time.Second)
	must.Eq(t, []Key{k}, f.Ejected())
}

// Guards against joining targets that get weight before they answer probes, or full
// weight at once.
func TestJoiningTargetRampsUp(t *testing.T) {
	f := newFixture(7, 4)
	f.service.Targets = append(f.service.Targets, target.Target{ID: targetID(9), Zone: "jm-a"})
	up := false
	f.answers = func(_ instance.ID, id target.ID) (bool, int) { return id != targetID(9) || up, -1 }
	f.setBundle(2)
	got := f.run(3 * time.Second)
	must.Eq(t, target.Joining, got[targetID(9)].State)
	up = true
	var seen []uint16
	for range 14 {
		seen = append(seen, f.run(time.Second)[targetID(9)].Percent)
	}
	must.Eq(t, []uint16{0, 25, 50, 75, 100}, slices.Compact(seen))
	f.service.Targets[4].Drain = true
	f.setBundle(3)
	must.Eq(t, target.Draining, f.run(time.Second)[targetID(9)].State)
}

// Guards against reported load that shifts most traffic to a failed target which
// reports a load of 0, and against weights that change with every report.
func TestReportedLoadIsBoundedAndDamped(t *testing.T) {
	f := newFixture(7, 6)
	n, changes, last := 0, 0, uint16(100)
	f.answers = func(_ instance.ID, id target.ID) (bool, int) {
		n++
		switch id {
		case targetID(0):
			return true, 90
		case targetID(1):
			return false, 0
		case targetID(2):
			return true, 20 + n%3*35 // varies between 20, 55 and 90
		}
		return true, 40
	}
	for range 120 {
		got := f.run(time.Second)
		for i := range 6 {
			if w := got[targetID(i)]; w.State == target.Active {
				must.Between(t, 80, w.Percent, 100)
			}
		}
		if w := got[targetID(2)].Percent; w != last {
			changes, last = changes+1, w
		}
	}
	must.LessEq(t, 4, changes)
	got := f.run(time.Second)
	must.Eq(t, 80, got[targetID(0)].Percent)
	must.Eq(t, target.Ejected, got[targetID(1)].State)
	must.Eq(t, 100, got[targetID(3)].Percent)
}

// Guards against reports that change when they are encoded and decoded.
func TestReportRoundTrip(t *testing.T) {
	r := Report{Observations: []Observation{{Key: Key{"knotdesk", targetID(1)}, Verdict: Failed, Passive: PassiveOutcomes{2, 3}, Load: 55, Reported: true}}}
	data, err := r.Encode()
	must.NoError(t, err)
	got, err := DecodeReport(data)
	must.NoError(t, err)
	must.Eq(t, r, got)
	_, err = DecodeReport([]byte{0xff})
	must.Error(t, err)
}

// Guards against targets of an evacuated zone that stay active, against an evacuation that changes
// what is known of the targets, and against a new leader that ends it before it has read the
// requests.
func TestEvacuatedZoneDrains(t *testing.T) {
	f := newFixture(3, 4)
	f.service.Kind = service.Request
	f.service.Targets[0].Drain = true
	f.setBundle(2)
	f.run(20 * time.Second)
	states := func() (draining, active int) {
		for _, d := range f.Desired(f.now).Services[0].Targets {
			switch d.State {
			case target.Draining:
				draining++
			case target.Active:
				active++
			}
		}
		return draining, active
	}
	table := func() *zone.Table {
		st := zone.ServiceTable{Service: f.service}
		for _, d := range f.Desired(f.now).Services[0].Targets {
			st.Targets = append(st.Targets, zone.TargetEntry{Target: d.Target, State: d.State})
		}
		// An entry that the bundle no longer lists drains until no pin refers to it.
		st.Targets = append(st.Targets, zone.TargetEntry{Target: target.Target{ID: "dropped"}, State: target.Draining})
		return &zone.Table{Services: []zone.ServiceTable{st}}
	}
	f.Resume(f.now, table())
	must.False(t, f.Evacuated())
	must.True(t, f.SetEvacuated(true))
	must.False(t, f.SetEvacuated(true))
	draining, _ := states()
	must.Eq(t, 4, draining)

	evacuated := table()
	must.True(t, f.SetEvacuated(false))
	draining, active := states()
	must.Eq(t, 1, draining)
	must.Eq(t, 3, active)
	f.Resume(f.now, evacuated)
	must.True(t, f.Evacuated())
	draining, _ = states()
	must.Eq(t, 4, draining)
}
