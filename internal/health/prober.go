package health

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"guavaloom.example/guavaloom/internal/instance"
	"guavaloom.example/guavaloom/internal/rendezvous"
	"guavaloom.example/guavaloom/internal/zone"
)

// probersPerTarget is how many instances probe a target.
const probersPerTarget = 3

// Probers returns the instances that probe a target, in order of rendezvous rank.
func Probers(roster []instance.Ref, k Key) []instance.Ref {
	seeds := make([]uint64, len(roster))
	for i, r := range roster {
		seeds[i] = rendezvous.Seed(string(r.ID))
	}
	return selectProbers(roster, seeds, k)
}

func selectProbers(roster []instance.Ref, seeds []uint64, k Key) []instance.Ref {
	key := xxhash.Sum64String(string(k.Service) + "/" + string(k.Target))
	var out []instance.Ref
	for _, i := range rendezvous.Top(seeds, key, probersPerTarget) {
		out = append(out, roster[i])
	}
	return out
}

// Prober holds the probe results of the targets that an instance probes, and the
// passive outcomes that it has recorded. It is not safe for concurrent use.
type Prober struct {
	self    instance.Ref
	targets map[Key]*probeState
}

type probeState struct {
	assigned    bool
	verdict     Verdict
	consecutive int // probes with the result lastOK
	lastOK      bool
	nextProbe   time.Duration
	passive     PassiveOutcomes
	load        uint8
	reported    bool
	sentVerdict Verdict
	sentLoad    uint8
	sentAt      time.Duration
}

// NewProber returns a Prober without targets.
func NewProber(self instance.Ref) *Prober {
	return &Prober{self: self, targets: make(map[Key]*probeState)}
}

// Plan computes this instance's probe plan from the roster and the services.
// Targets that are still listed keep their state.
func (p *Prober) Plan(roster []instance.Ref, services []zone.DesiredService) {
	for _, t := range p.targets {
		t.assigned = false
	}
	seeds := make([]uint64, len(roster))
	for i, r := range roster {
		seeds[i] = rendezvous.Seed(string(r.ID))
	}
	listed := make(map[Key]bool)
	for i := range services {
		for _, t := range services[i].Targets {
			k := Key{services[i].Service.ID, t.Target.ID}
			listed[k] = true
			if slices.ContainsFunc(selectProbers(roster, seeds, k), p.self.Same) {
				p.stateOf(k).assigned = true
			}
		}
	}
	for k := range p.targets {
		if !listed[k] {
			delete(p.targets, k)
		}
	}
}

func (p *Prober) stateOf(k Key) *probeState {
	t := p.targets[k]
	if t == nil {
		t = &probeState{sentAt: -repeatInterval}
		p.targets[k] = t
	}
	return t
}

// Due returns the targets to probe now, ordered by service and target, and
// schedules the next probe of each.
func (p *Prober) Due(now time.Duration) []Key {
	var due []Key
	for k, t := range p.targets {
		if t.assigned && now >= t.nextProbe {
			t.nextProbe = now + ProbeInterval
			due = append(due, k)
		}
	}
	slices.SortFunc(due, compareKeys)
	return due
}

// RecordProbe records the result of a probe. load is the load that the target
// reported in percent of its capacity, or negative if it reported none.
func (p *Prober) RecordProbe(k Key, ok bool, load int) {
	t := p.targets[k]
	if t == nil {
		return
	}
	if ok != t.lastOK {
		t.lastOK, t.consecutive = ok, 0
	}
	t.consecutive++
	switch {
	case !ok && t.consecutive >= failThreshold:
		t.verdict = Failed
	case ok && (t.consecutive >= passThreshold || t.verdict == Unknown):
		t.verdict = Healthy
	}
	// A failed probe discards the load that the target reported earlier.
	t.reported = ok && load >= 0
	if t.reported {
		t.load = uint8(min(load, 100))
	}
}

// RecordOutcome counts the outcome of client traffic that was sent to a target.
func (p *Prober) RecordOutcome(k Key, answered bool) {
	t := p.stateOf(k)
	if answered && t.passive.Answered < 1<<16-1 {
		t.passive.Answered++
	}
	if !answered && t.passive.Failed < 1<<16-1 {
		t.passive.Failed++
	}
}

// Report returns the observations that have changed or are due to be repeated, and
// marks them as sent. It should be called about once a second.
func (p *Prober) Report(now time.Duration) Report {
	var r Report
	for k, t := range p.targets {
		changed := t.assigned && t.verdict != t.sentVerdict ||
			t.reported && max(t.load, t.sentLoad)-min(t.load, t.sentLoad) >= loadReportStepPercent || t.passive.Failed > 0
		due := now >= t.sentAt+repeatInterval && (t.assigned || t.passive != PassiveOutcomes{})
		if !changed && !due {
			continue
		}
		o := Observation{Key: k, Passive: t.passive, Load: t.load, Reported: t.reported}
		if t.assigned {
			o.Verdict = t.verdict
		}
		r.Observations = append(r.Observations, o)
		t.passive, t.sentVerdict, t.sentLoad, t.sentAt = PassiveOutcomes{}, t.verdict, t.load, now
	}
	slices.SortFunc(r.Observations, func(a, b Observation) int { return compareKeys(a.Key, b.Key) })
	return r
}

func compareKeys(a, b Key) int {
	if a.Service != b.Service {
		if a.Service < b.Service {
			return -1
		}
		return 1
	}
	switch {
	case a.Target < b.Target:
		return -1
	case a.Target > b.Target:
		return 1
	}
	return 0
}
