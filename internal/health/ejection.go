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

// verdictCounts counts the verdicts of a target's probers; live is the number of
// probers with a verdict.
type verdictCounts struct {
	failed, healthy, live int
}

// countVerdicts counts the verdicts of the target's probers that are younger than
// observationTTL. Other instances that still report a verdict have an outdated
// probe plan and are ignored.
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

// passiveOutcomesFailed reports whether client traffic fails at the target: the
// instances have recently reported at least minPassiveFailures failures and no answer.
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

// updateEjections ejects and readmits targets of a service. A target is ejected on
// two failed verdicts, or on one from its only live prober that failed passive
// outcomes confirm. It is readmitted on two healthy verdicts, or one from its only
// live prober, unless the ejection condition still holds. If more targets fail than
// the limit allows, none is or stays ejected: a fault of the probes, or of something
// that all targets share, is more likely.
func (m *Merger) updateEjections(now time.Duration, s *service.Service, seeds []uint64) {
	var listed, bad []Key
	for _, t := range s.Targets {
		k := Key{s.ID, t.ID}
		j := m.targets[k]
		if t.Zone != m.zone || t.Drain || !j.fullWeight && !j.anyHealthy(now) {
			j.ejected = false // gets no traffic anyway, and must not count towards the limit
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
			j.fullWeight, j.rampStart = false, now // a readmitted target starts cold
		}
		j.ejected = eject
	}
}

// correctLoad reduces the weight of targets whose reported load is well above the
// mean of the service, and restores it when the load is near the mean again.
// Reports can be late or wrong, so the reduction is bounded, changes at most every
// 30 s for a target, and only uses reports received with a healthy verdict. A load
// of zero is left out of the mean, because an idle or broken target may report it.
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

// medianLoad returns the median of the loads that the target reported to its probers.
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

// Ejected returns the ejected targets, ordered by service and target.
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
