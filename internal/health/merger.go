package health

import (
	"slices"
	"time"

	"guavaloom.example/guavaloom/internal/instance"
	"guavaloom.example/guavaloom/internal/service"
	"guavaloom.example/guavaloom/internal/target"
	"guavaloom.example/guavaloom/internal/zone"
)

const (
	// observationTTL is the age up to which an observation is used. Probers repeat
	// observations every 5 s, so a verdict stays valid if two reports are lost.
	observationTTL = 16 * time.Second
	// minPassiveFailures is the number of failed passive outcomes, with none
	// answered, that confirms the failed verdict of a target's only live prober.
	minPassiveFailures = 3
	// loadCorrectionInterval is the minimum time between two load corrections of one target.
	loadCorrectionInterval = 30 * time.Second
	// maxLoadReductionPercent is how far reported load can reduce a weight.
	maxLoadReductionPercent = 20
	// A weight is reduced above the mean load of the service plus loadReducePercent,
	// and restored at or below the mean plus loadRestorePercent (percentage points).
	loadReducePercent, loadRestorePercent = 30, 10
)

// Merger merges the reports of a zone's instances on the leader. Other instances
// may feed one too, so that a new leader starts with the observations that it
// received itself. A Merger is not safe for concurrent use.
type Merger struct {
	bundle     zone.Revision
	services   []service.Service
	roster     []instance.Ref
	gone       []instance.Ref
	zone       string
	targets    map[Key]*targetState
	bundleSeen bool // targets added after the first bundle ramp up
	evacuated  bool // the zone's targets get no new requests
}

// targetState is what the merger knows about one target.
type targetState struct {
	probers       map[instance.ID]receivedObservation
	passive       map[instance.ID]receivedObservation
	ejected       bool
	rampStart     time.Duration // unused while fullWeight is set
	fullWeight    bool
	loadReduced   bool
	loadChangedAt time.Duration // time of the last load correction
}

type receivedObservation struct {
	observation Observation
	receivedAt  time.Duration
}

// NewMerger returns a Merger for the targets of one zone.
func NewMerger(zone string) *Merger {
	return &Merger{zone: zone, targets: make(map[Key]*targetState)}
}

// SetBundle replaces the bundle and its services. Targets that the earlier bundle
// did not list ramp up. Targets of the first bundle start at full weight, since a
// new leader must not restart ramps that are complete; Resume restarts the ramps
// of targets that are joining in the zone table.
func (m *Merger) SetBundle(now time.Duration, r zone.Revision, services []service.Service) {
	m.bundle, m.services = r, services
	listed := make(map[Key]bool)
	for _, s := range services {
		for _, t := range s.Targets {
			k := Key{s.ID, t.ID}
			listed[k] = true
			if m.targets[k] == nil {
				m.targets[k] = newTargetState(now, m.bundleSeen && s.ColdStart > 0)
			}
		}
	}
	for k := range m.targets {
		if !listed[k] {
			delete(m.targets, k)
		}
	}
	m.bundleSeen = true
}

func newTargetState(now time.Duration, ramp bool) *targetState {
	return &targetState{probers: make(map[instance.ID]receivedObservation), passive: make(map[instance.ID]receivedObservation), rampStart: now, fullWeight: !ramp, loadChangedAt: -loadCorrectionInterval}
}

// SetEvacuated sets whether an operator evacuates the zone, and reports whether that is a change.
// The targets of request services then drain. Those of flow services don't: the steering uses
// draining targets if a service has no others.
func (m *Merger) SetEvacuated(evacuated bool) (changed bool) {
	changed = m.evacuated != evacuated
	m.evacuated = evacuated
	return changed
}

// Evacuated reports whether the zone is evacuated.
func (m *Merger) Evacuated() bool { return m.evacuated }

// evacuatedIn reports whether the zone is evacuated in a table: all targets of request services
// drain, some of them though the bundle does not drain them.
func (m *Merger) evacuatedIn(t *zone.Table) bool {
	undrained := false
	for i := range t.Services {
		s := &t.Services[i]
		if s.Service.Kind != service.Request {
			continue
		}
		for _, e := range s.Targets {
			if e.Removed || m.targets[Key{s.Service.ID, e.Target.ID}] == nil {
				continue
			}
			if e.State != target.Draining {
				return false
			}
			undrained = undrained || !e.Target.Drain
		}
	}
	return undrained
}

// Resume restores the ejections and the evacuation from the zone table on a new leader and
// restarts the ramps of joining targets.
func (m *Merger) Resume(now time.Duration, t *zone.Table) {
	m.evacuated = m.evacuatedIn(t)
	for i := range t.Services {
		s := &t.Services[i]
		for _, e := range s.Targets {
			j := m.targets[Key{s.Service.ID, e.Target.ID}]
			if j == nil || e.Removed {
				continue
			}
			j.ejected = e.State == target.Ejected
			if e.State == target.Joining {
				j.fullWeight, j.rampStart = false, now
			}
		}
	}
}

// SetRoster replaces the roster, which determines the probers of each target, and
// the list of instance incarnations that are gone.
func (m *Merger) SetRoster(roster, gone []instance.Ref) { m.roster, m.gone = roster, gone }

// Observe merges a report from an instance.
func (m *Merger) Observe(now time.Duration, from instance.Ref, r Report) {
	for _, o := range r.Observations {
		j := m.targets[o.Key]
		if j == nil {
			continue
		}
		if o.Verdict != Unknown || o.Reported {
			j.probers[from.ID] = receivedObservation{o, now}
		}
		if o.Passive != (PassiveOutcomes{}) {
			j.passive[from.ID] = receivedObservation{o, now}
		}
	}
}

// Desired updates ejections and weights and returns the state that the zone should
// converge to.
func (m *Merger) Desired(now time.Duration) zone.Desired {
	d := zone.Desired{Bundle: m.bundle, Gone: slices.Clone(m.gone)}
	seeds := m.rosterSeeds()
	for _, s := range m.services {
		m.updateEjections(now, &s, seeds)
		d.Services = append(d.Services, m.desiredService(now, &s))
	}
	slices.SortFunc(d.Services, func(a, b zone.DesiredService) int {
		return compareKeys(Key{Service: a.Service.ID}, Key{Service: b.Service.ID})
	})
	return d
}

func (m *Merger) desiredService(now time.Duration, s *service.Service) zone.DesiredService {
	out := zone.DesiredService{Service: *s}
	out.Service.Targets = nil
	m.correctLoad(now, s)
	for _, t := range s.Targets {
		if t.Zone != m.zone {
			continue
		}
		w := zone.DesiredTarget{Target: t}
		j := m.targets[Key{s.ID, t.ID}]
		switch percent := j.rampPercent(now, s.ColdStart); {
		case t.Drain || m.evacuated && s.Kind == service.Request:
			w.State = target.Draining
		case j.ejected:
			w.State = target.Ejected
		case percent == 0:
			w.State = target.Joining
		default:
			w.State, w.Percent = target.Active, uint16(percent)
			if j.loadReduced {
				w.Percent = uint16(percent * (100 - maxLoadReductionPercent) / 100)
			}
		}
		out.Targets = append(out.Targets, w)
	}
	slices.SortFunc(out.Targets, func(a, b zone.DesiredTarget) int {
		return compareKeys(Key{Target: a.Target.ID}, Key{Target: b.Target.ID})
	})
	return out
}

// rampPercent returns the weight of a target in percent of its full weight. A
// joining target has weight 0 until a prober finds it healthy, then 25, and 25 more
// after each quarter of coldStart.
func (j *targetState) rampPercent(now time.Duration, coldStart time.Duration) int {
	if j.fullWeight {
		return target.FullWeight
	}
	if !j.anyHealthy(now) {
		j.rampStart = now
		return 0
	}
	steps := 4
	if coldStart > 0 {
		steps = min(1+int(4*(now-j.rampStart)/coldStart), 4)
	}
	if steps == 4 {
		j.fullWeight = true
	}
	return steps * target.FullWeight / 4
}

func (j *targetState) anyHealthy(now time.Duration) bool {
	for _, s := range j.probers {
		if now < s.receivedAt+observationTTL && s.observation.Verdict == Healthy {
			return true
		}
	}
	return false
}
