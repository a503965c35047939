package forwarding

import (
	"net/netip"
	"slices"
	"time"

	"guavaloom.example/guavaloom/internal/target"
	"guavaloom.example/guavaloom/internal/targetreport"
)

// Reports of other instances. Without EnableReports no target has a reported state, and nothing
// here has an effect.

const (
	// freshObservation is the age up to which an own observation goes before reports.
	freshObservation = time.Second
	// failingShare is the share of unanswered requests from which a target without any answer
	// for responseTimeout is reported as silent. One unanswered request gives 0.3, two in a row
	// 0.51, which decays to the threshold in 1.7 s.
	failingShare = 0.4
	// silenceReportGrace is how long after the end of its backoff a suspicion is reported. It
	// bridges the time until a retry; without traffic the observation is too old to report.
	silenceReportGrace = time.Second
	// answerWindowSeconds is the time over which answers are counted.
	answerWindowSeconds = 3
)

// answerWindow counts answers per second.
type answerWindow struct {
	counts [answerWindowSeconds]int
	second int64 // of the newest count
}

func (w *answerWindow) add(now time.Duration) {
	w.advance(now)
	w.counts[w.second%answerWindowSeconds]++
}

// advance clears the counts of seconds that have passed.
func (w *answerWindow) advance(now time.Duration) {
	second := int64(now / time.Second)
	for n := max(w.second+1, second-answerWindowSeconds+1); n <= second; n++ {
		w.counts[n%answerWindowSeconds] = 0
	}
	w.second = max(w.second, second)
}

// count returns the answers of this second and the two before.
func (w *answerWindow) count(now time.Duration) int {
	w.advance(now)
	sum := 0
	for _, n := range w.counts {
		sum += n
	}
	return sum
}

// reportedState is what is exchanged with other instances about a target: the answers counted
// here, and the effect of reports. Its methods accept nil, which stands for reports that are off.
type reportedState struct {
	answers answerWindow
	merged  targetreport.Merged
	// trialAt is when the next flow is tried on a target that is reported silent. backoff
	// doubles with each trial and is then at least as long as a flow may take to open.
	trialAt, backoff time.Duration
	// ownLatency is the relative latency observed here in percent; 0 if unknown.
	ownLatency int
}

// reset forgets the observations and reports of the target's earlier run.
func (r *reportedState) reset() {
	if r != nil {
		*r = reportedState{}
	}
}

func (r *reportedState) addAnswer(now time.Duration) {
	if r != nil {
		r.answers.add(now)
	}
}

// apply replaces the merged reports.
func (r *reportedState) apply(now time.Duration, m targetreport.Merged) {
	if m.SilentUntil > 0 && now >= r.merged.SilentUntil {
		r.backoff = minBackoff
		r.trialAt = now + r.backoff
	}
	r.merged = m
}

// recordPlacement records that the target was given a flow, which is a trial if it is reported silent.
func (r *reportedState) recordPlacement(now time.Duration) {
	if r != nil && now < r.merged.SilentUntil {
		r.backoff = min(2*r.backoff, maxBackoff)
		r.trialAt = now + r.backoff
	}
}

// avoidedByReports reports whether the target should get no new flow because others report it
// silent. An answer seen here goes before reports.
func (l *targetLoad) avoidedByReports(now time.Duration) bool {
	if now >= l.reported.merged.SilentUntil || l.lastResponseAt > 0 && now < l.lastResponseAt+freshObservation {
		return false
	}
	return now < l.reported.trialAt
}

// slowness returns the factor by which the target's relative latency raises its utilization: 1
// up to the latency from which targets are reported as slow. Reports must be enabled.
func (l *targetLoad) slowness(now time.Duration) float64 {
	percent := 0
	switch r := l.reported; {
	case r.ownLatency > 0 && now < l.latencyAt+freshObservation:
		percent = r.ownLatency
	case now < r.merged.LatencyUntil:
		percent = r.merged.Latency
	}
	if percent <= targetreport.SlowPercent {
		return 1
	}
	return float64(percent) / 100
}

// silentFor returns how long the target has been observed as silent here; 0 if it is not, or if
// the observation is too old to report.
func (l *targetLoad) silentFor(now time.Duration) time.Duration {
	since := l.lastResponseAt
	switch {
	case l.silent && now < l.backoffUntil+silenceReportGrace:
		if since == 0 {
			since = l.backoffUntil - l.backoff
		}
	case !l.silent && l.currentFailureShare(now) >= failingShare:
		if since == 0 {
			since = l.failureShareAt
		}
		if now < since+responseTimeout {
			return 0
		}
	default:
		return 0
	}
	return max(now-since, 1)
}

// EnableReports makes the forwarder compute and accept reports about targets. It must be called
// before the first target is known.
func (f *Forwarder) EnableReports() { f.reports = targetreport.NewMerger() }

// Observations returns the observations that are worth a report, and updates what depends on time
// in the effect of reports. It is to be called before each report is sent.
func (f *Forwarder) Observations(now time.Duration) []targetreport.Entry {
	var out []targetreport.Entry
	for _, s := range f.services {
		for _, z := range s.zones {
			var usual time.Duration
			if z.zone == f.chooser.zone {
				usual = z.usualLatency(now)
			}
			for _, l := range z.targets {
				if e := l.observe(now, usual); e.Notable() && f.View.AcceptsNewFlows(now, l.target) {
					out = append(out, e)
				}
			}
		}
	}
	f.reports.Expire(now)
	f.reports.Tokens(func(token uint32) { f.mergeReports(now, token) })
	return out
}

// usualLatency returns the median latency of the targets that have answered in the last seconds; 0
// if there is none.
func (z *zoneTargets) usualLatency(now time.Duration) time.Duration {
	var all []time.Duration
	for _, l := range z.targets {
		if l.latency > 0 && l.reported.answers.count(now) > 0 {
			all = append(all, l.latency)
		}
	}
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return (all[(len(all)-1)/2] + all[len(all)/2]) / 2
}

// observe returns what is observed of a target, and records its relative latency, which failed
// requests raise as they raise its utilization. usual is the latency to compare with; 0 if there
// is none. Reports must be enabled.
func (l *targetLoad) observe(now, usual time.Duration) targetreport.Entry {
	e := targetreport.Entry{
		Token: l.target.Token, Incarnation: targetreport.IncarnationOf(l.incarnation), Silence: l.silentFor(now),
	}
	if e.Answers = l.reported.answers.count(now); e.Answers > 0 && usual > 0 {
		relative := float64(l.latency) / float64(usual) * (1 + failurePenalty*l.currentFailureShare(now))
		e.Latency = max(int(100*relative), 1)
	}
	l.reported.ownLatency = e.Latency
	return e
}

// AddReport records a report of another instance. It returns false for one that is a duplicate or
// was overtaken. Entries about unknown targets are left out.
func (f *Forwarder) AddReport(now time.Duration, source netip.Addr, r targetreport.Report) bool {
	r.Entries = slices.DeleteFunc(r.Entries, func(e targetreport.Entry) bool { return f.reportedLoad(e.Token) == nil })
	if !f.reports.Add(now, source, &r) {
		return false
	}
	for _, e := range r.Entries {
		f.mergeReports(now, e.Token)
		f.paceByReports(now, e)
	}
	return true
}

// reportedLoad returns the load of a target by its token, or nil.
func (f *Forwarder) reportedLoad(token uint32) *targetLoad {
	if t := f.View.ByToken(token); t != nil {
		return f.loads[t.ID]
	}
	return nil
}

// maxReportedAnswers bounds the weight of one report in the pace of a target.
const maxReportedAnswers = 3

// paceByReports passes the latency that other instances agree on to the pace of a target.
func (f *Forwarder) paceByReports(now time.Duration, e targetreport.Entry) {
	l := f.reportedLoad(e.Token)
	if l == nil || e.Latency == 0 || now >= l.reported.merged.LatencyUntil {
		return
	}
	f.ObserveReport(now, l.target.ID, float64(l.reported.merged.Latency)/100, min(e.Answers, maxReportedAnswers))
}

func (f *Forwarder) mergeReports(now time.Duration, token uint32) {
	if l := f.reportedLoad(token); l != nil {
		l.reported.apply(now, f.reports.Merge(now, token, targetreport.IncarnationOf(l.incarnation), l.silentFor(now) > 0))
	}
}

// Reported is the effect of reports on a target, for the status.
type Reported struct {
	// Sources is the number of other instances whose reports count.
	Sources int
	// Silent means that enough of them report the target silent, Latency is the relative latency
	// in percent; 0 if unknown.
	Silent  bool
	Latency int
}

// Reported returns the effect of reports on a target.
func (f *Forwarder) Reported(now time.Duration, id target.ID) (r Reported) {
	l := f.loads[id]
	if l == nil || f.reports == nil {
		return r
	}
	m := f.reports.Merge(now, l.target.Token, targetreport.IncarnationOf(l.incarnation), l.silentFor(now) > 0)
	return Reported{Sources: m.Sources, Silent: m.SilentUntil > 0, Latency: m.Latency}
}
