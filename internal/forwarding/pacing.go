package forwarding

import (
	"slices"
	"time"

	"guavaloom.example/guavaloom/internal/pace"
	"guavaloom.example/guavaloom/internal/target"
	"guavaloom.example/guavaloom/internal/view"
)

// Pacing of the targets of the own data centre, see docs/design/target-pace.md. A pace orders
// the local targets. It neither rejects a flow nor sends one to another data centre.

const (
	// usualSampleAge is the age up to which a target's latency counts for the usual one.
	usualSampleAge = 3 * time.Second
	// pacedBelow is the pace below which a target without a start is reported as paced. Single
	// late answers take a target to 0.75.
	pacedBelow = 0.5
	// forgiveInterval is the shortest time between two recoveries that clear the failures of a
	// target, so that one that keeps failing is not excused each time.
	forgiveInterval = 10 * time.Second
)

// PaceCause says why a target is paced.
type PaceCause string

// Causes of pacing.
const (
	PaceStarted   PaceCause = "started"
	PaceRecovered PaceCause = "recovered"
	PaceReturned  PaceCause = "returned"
	PaceEvacuated PaceCause = "evacuation_ended"
	PaceSlow      PaceCause = "slow"
)

// targetPace is the pace of a target with what leads to its start.
type targetPace struct {
	pace.Pace
	// pending is the cause of a start that is applied with the next tick, when the time is
	// known; empty if there is none. Until then the target has no credit.
	pending PaceCause
	// known is set if the target was in the first list, so that its start was not observed.
	known bool
	// running is set once the pace has been started, last at startedAt.
	running   bool
	startedAt time.Duration
	// forgivenAt is when a recovery last cleared the failures before it; 0 if none did.
	forgivenAt time.Duration
	// longestWait is the longest time that a request in flight has waited at the present tick.
	longestWait time.Duration
	// removed is set while the target's entry is removed.
	removed bool
	// reported is set while the target is reported as paced.
	reported bool
}

// zonePacing is the state of pacing of a service's targets in a data centre.
type zonePacing struct {
	// earned is the sum of 1 / targets over the placements.
	earned float64
	// targets is how many targets the last placement could choose from.
	targets int
	// meanIdle is the mean utilization by idle flows at the last placement.
	meanIdle float64
	// usual is the usual latency; 0 if it is unknown.
	usual time.Duration
	// evacuated is set while the data centre is evacuated.
	evacuated bool
	// latencies is reused for the computation of the usual latency.
	latencies []time.Duration
}

func (z *zonePacing) at(now time.Duration) pace.Time { return pace.Time{Now: now, Earned: z.earned} }

// markChange notes what a change of the target's entry means for its pace. first is set if the
// target is new here, restarted if it runs under another incarnation or for another service or
// data centre, whose credits are summed up separately, listing while the instance reads its first
// lists.
func (p *targetPace) markChange(t *view.Target, first, restarted, listing bool) {
	switch {
	case first:
		p.pending, p.known = PaceStarted, listing
	case restarted:
		p.pending, p.known = PaceStarted, false
	case p.removed && !t.Removed && p.pending == "":
		p.pending = PaceReturned
	}
	p.removed = t.Removed
}

// startPace applies a pending start. A started target counts as the one that got the latest
// flow, since it would otherwise precede all others.
func (f *Forwarder) startPace(now time.Duration, z *zoneTargets, l *targetLoad) {
	p := &l.pace
	cause := p.pending
	value, credit := pace.Initial, startCredit(l.tieBreak, now)
	if p.known {
		if value = 1; now < l.target.WarmAt {
			value = pace.ColdStart(l.target.WarmAt - now)
		}
		credit *= 2
	}
	known := p.known
	p.pending, p.known, p.running, p.startedAt = "", false, true, now
	p.Start(z.pacing.at(now), value, credit)
	if !known {
		l.lastPlacement = f.placements
	}
	f.reportPace(now, l, cause)
}

// startCredit returns a credit between 0 and 1 that differs between instances, so that they do
// not all place their next flow on the same target. It depends on the target's random tie-break.
func startCredit(tieBreak uint64, now time.Duration) float64 {
	x := (tieBreak ^ uint64(now)) * 0x9e3779b97f4a7c15
	x = (x ^ x>>32) * 0xd6e8feb86659fd93
	return float64((x^x>>32)>>11) / (1 << 53)
}

// reportPace reports the begin and the end of pacing.
func (f *Forwarder) reportPace(now time.Duration, l *targetLoad, cause PaceCause) {
	p, value := &l.pace, l.pace.Value()
	switch {
	case !p.reported && (value < pacedBelow || cause != PaceSlow && value < 1):
		p.reported = true
		f.observer.Event(now, Event{Target: l.target, Kind: Paced, Pace: value, Cause: cause})
	case p.reported && value >= 1:
		p.reported = false
		f.observer.Event(now, Event{Target: l.target, Kind: FullPace, Pace: value})
	}
}

// prepareZone notes the evacuation of the own data centre and starts the targets once it has ended.
func (f *Forwarder) prepareZone(now time.Duration, s *serviceTargets) {
	if s == nil {
		return
	}
	z := s.zone(f.chooser.zone)
	if z == nil {
		return
	}
	evacuated := f.View.Evacuated(z.zone)
	ended := z.pacing.evacuated && !evacuated
	z.pacing.evacuated = evacuated
	if !ended {
		return
	}
	for _, l := range z.targets {
		if l.pace.pending == "" {
			l.pace.pending, l.pace.known = PaceEvacuated, false
		}
		f.startPace(now, z, l)
	}
}

// pacedZone returns the targets among which a target is paced, nil if it is not paced.
func (f *Forwarder) pacedZone(l *targetLoad) *zoneTargets {
	if !f.limits.Pace || l.zone != f.chooser.zone {
		return nil
	}
	s := f.services[l.service]
	if s == nil {
		return nil
	}
	return s.zone(l.zone)
}

// pacePlaced records a new flow on a target.
func (f *Forwarder) pacePlaced(now time.Duration, l *targetLoad) {
	z := f.pacedZone(l)
	if z == nil || !l.pace.running {
		return
	}
	z.pacing.earned += 1 / float64(max(z.pacing.targets, 1))
	l.pace.Place(z.pacing.at(now))
}

// paceOutcome records the outcome of a request that was sent at the given time. Requests sent
// before a start say nothing about the time after it.
func (f *Forwarder) paceOutcome(now time.Duration, l *targetLoad, sentAt time.Duration, answered bool) {
	z := f.pacedZone(l)
	if z == nil || !l.pace.running || sentAt < l.pace.startedAt {
		return
	}
	if answered {
		l.pace.Answer(z.pacing.at(now), now-sentAt, z.pacing.usual)
	} else {
		l.pace.Fail(z.pacing.at(now))
	}
	f.reportPace(now, l, PaceSlow)
}

// paceWait records a request that waits for its answer. Only the longest wait at a target counts
// with a tick: requests in one queue are one observation.
func (f *Forwarder) paceWait(now time.Duration, s *flowState) {
	if p := &s.load.pace; p.running && s.newDataAt >= p.startedAt && !f.beforeStall(s) {
		p.longestWait = max(p.longestWait, now-s.newDataAt)
	}
}

// paceRecovered notes that a target was cleared of a suspicion. The share of unanswered requests
// would hold it back for longer than its pace does, so that it is cleared as well, unless the
// target recovered shortly before.
func (f *Forwarder) paceRecovered(now time.Duration, l *targetLoad) {
	if z := f.pacedZone(l); z != nil && l.pace.pending == "" {
		l.pace.pending, l.pace.known = PaceRecovered, false
		f.startPace(now, z, l)
		if l.pace.forgivenAt == 0 || now >= l.pace.forgivenAt+forgiveInterval {
			l.pace.forgivenAt, l.failureShare = now, 0
		}
	}
}

// ObserveReport applies what other instances report about a target: its mean latency relative to
// the usual one, over a number of answers.
func (f *Forwarder) ObserveReport(now time.Duration, id target.ID, relative float64, answers int) {
	l := f.loads[id]
	if l == nil || !l.pace.running {
		return
	}
	if z := f.pacedZone(l); z != nil {
		l.pace.Observe(z.pacing.at(now), relative, answers)
		f.reportPace(now, l, PaceSlow)
	}
}

// tickPaces applies the passing of time, and updates the usual latencies.
func (f *Forwarder) tickPaces(now time.Duration) {
	if !f.limits.Pace {
		return
	}
	for _, s := range f.services {
		if z := s.zone(f.chooser.zone); z != nil {
			f.tickZone(now, z)
		}
	}
}

func (f *Forwarder) tickZone(now time.Duration, z *zoneTargets) {
	q := &z.pacing
	q.latencies = q.latencies[:0]
	for _, l := range z.targets {
		if l.latency > 0 && now <= l.latencyAt+usualSampleAge && !l.target.Removed {
			q.latencies = append(q.latencies, l.latency)
		}
		if l.pace.pending != "" {
			f.startPace(now, z, l)
			continue
		}
		l.pace.Advance(q.at(now))
		l.pace.Wait(q.at(now), l.pace.longestWait, q.usual)
		l.pace.longestWait = 0
		f.reportPace(now, l, PaceSlow)
	}
	q.usual = 0
	if len(q.latencies) > 0 {
		slices.Sort(q.latencies)
		q.usual = q.latencies[(len(q.latencies)-1)/2]
	}
}
