package health

import (
	"slices"
	"time"

	"guavaloom.example/guavaloom/internal/rendezvous"
	"guavaloom.example/guavaloom/internal/service"
)

func (m *Merger) rosterSeeds() []uint64 {
	seeds := make([]uint64, len(m.roster))
	for i, r := range m.roster {
		seeds[i] = rendezvous.Seed(string(r.ID))
	}
	return seeds
}

// verdictCounts is what the probers of a target agree on.
type verdictCounts struct {
	failed, healthy, live int
}

// countVerdicts counts the fresh verdicts of the target's probers. Verdicts of other
// instances do not count: their plan is out of date.
func (m *Merger) countVerdicts(now time.Duration, k Key, seeds []uint64) verdictCounts {
	var o verdictCounts
	j := m.targets[k]
	for _, r := range selectProbers(m.roster, seeds, k) {
		s, ok := j.probers[r.ID]
		if !ok || now >= s.receivedAt+observationTTL || slices.ContainsFunc(m.gone, r.Same) {
			continue
		}
		switch s.observation.Verdict {
		case Failed:
			o.failed, o.live = o.failed+1, o.live+1
		case Healthy:
			o.healthy, o.live = o.healthy+1, o.live+1
		}
	}
	return o
}

// passiveOutcomesFailed reports whether real work fails at a target: other instances than
// the only prober have seen failures, and nobody has seen an answer.
func (j *targetState) passiveOutcomesFailed(now time.Duration) bool {
	failed := 0
	for _, s := range j.passive {
		if now >= s.receivedAt+observationTTL {
			continue
		}
		if s.observation.Passive.Answered > 0 {
			return false
		}
		failed += int(s.observation.Passive.Failed)
	}
	return failed >= minPassiveFailures
}

// updateEjections updates the ejections of a service. Two failed verdicts eject, or one of
// the only live prober together with passive outcomes; readmission needs at least
// two healthy verdicts, or one of the only prober, and no failed majority. When
// more targets fail than may be ejected, verdicts eject none: a fault of the
// probes, or of something common to all targets, is more likely.
func (m *Merger) updateEjections(now time.Duration, s *service.Service, seeds []uint64) {
	var listed, bad []Key
	for _, t := range s.Targets {
		k := Key{s.ID, t.ID}
		j := m.targets[k]
		if t.Zone != m.zone || t.Drain || !j.fullWeight && !j.anyHealthy(now) {
			j.ejected = false // takes no work anyway, and must not use up the limit
			continue
		}
		listed = append(listed, k)
		o := m.countVerdicts(now, k, seeds)
		switch {
		case o.failed >= 2 || o.failed == 1 && o.live == 1 && j.passiveOutcomesFailed(now):
			bad = append(bad, k)
		case j.ejected && !(o.healthy >= 2 || o.healthy == 1 && o.live == 1):
			bad = append(bad, k)
		}
	}
	limit := max(len(listed)/3, 1)
	for _, k := range listed {
		j := m.targets[k]
		eject := slices.Contains(bad, k) && len(bad) <= limit
		if j.ejected && !eject && !slices.Contains(bad, k) && s.ColdStart > 0 {
			j.fullWeight, j.rampStart = false, now // comes back cold
		}
		j.ejected = eject
	}
}

// correctLoad reduces the weight of targets whose reported load is well above the
// mean of the service, and restores it when it is near the mean again. Reports can
// lag or mislead, so the reduction is bounded, comes at most every 30 s for a
// target, and only from targets that a prober finds healthy. A report of zero is
// ignored in the mean: a target that does nothing may also report nothing.
func (m *Merger) correctLoad(now time.Duration, s *service.Service) {
	loads := make(map[Key]int)
	sum := 0
	for _, t := range s.Targets {
		k := Key{s.ID, t.ID}
		if l, ok := m.targets[k].medianLoad(now); ok && t.Zone == m.zone && l > 0 {
			loads[k] = l
			sum += l
		}
	}
	for _, t := range s.Targets {
		j := m.targets[Key{s.ID, t.ID}]
		l, ok := loads[Key{s.ID, t.ID}]
		reduced := j.loadReduced
		switch {
		case !ok || len(loads) < 2 || l <= sum/len(loads)+loadRestorePercent:
			reduced = false
		case l > sum/len(loads)+loadReducePercent:
			reduced = true
		}
		if reduced != j.loadReduced && now >= j.loadChangedAt+loadCorrectionInterval {
			j.loadReduced, j.loadChangedAt = reduced, now
		}
	}
}

// medianLoad returns the median of the loads that probers have heard from a target.
func (j *targetState) medianLoad(now time.Duration) (int, bool) {
	var loads []int
	for _, s := range j.probers {
		if now < s.receivedAt+observationTTL && s.observation.Reported && s.observation.Verdict == Healthy {
			loads = append(loads, int(s.observation.Load))
		}
	}
	if len(loads) == 0 {
		return 0, false
	}
	slices.Sort(loads)
	return loads[len(loads)/2], true
}

// Ejected returns the targets that are ejected, in order.
func (m *Merger) Ejected() []Key {
	var out []Key
	for k, j := range m.targets {
		if j.ejected {
			out = append(out, k)
		}
	}
	slices.SortFunc(out, compareKeys)
	return out
}
