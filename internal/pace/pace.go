package pace

import (
	"math"
	"time"
)

const (
	// Min and Max bound a pace.
	Min, Max = 0.1, 1.5
	// Initial is the pace of a target that has just started or recovered.
	Initial = 0.25
	// maxCredit bounds the flows that a target may get at once, minCredit what it may owe.
	maxCredit, minCredit = 2, -1

	// growthPeriod is the time in which a pace doubles.
	growthPeriod = time.Second
	// returnPeriod is the time in which the pace of a target without answers doubles, so that a
	// slow target is tried again.
	returnPeriod = 10 * time.Second
	// staleAfter is how long after the last answer a target counts as being without answers. With
	// 5 s, each of 20 instances forgot a target six times slower between two of its flows.
	staleAfter = 10 * time.Second
	// halvingInterval is the shortest time between two halvings: answers of one queue arrive
	// together and are one observation.
	halvingInterval = 250 * time.Millisecond
	// goodAnswerFactor is the growth with one good answer.
	goodAnswerFactor = 1.15
	// lateFactor is the latency, relative to the usual one, above which an answer is late.
	lateFactor = 2
	// rejectionFactor is the relative latency below which an answer is taken for a rejection: a
	// full target turns requests away faster than it serves any.
	rejectionFactor = 0.2
	// failureFactor is the relative latency as which a failed request counts: the caller has to
	// try again, or loses it.
	failureFactor = 5
	// sampleWeight is the weight of a new sample in the relative latency, lateSampleWeight that of a
	// late one: an instance gets about one sample a second of a target that became slow.
	sampleWeight, lateSampleWeight = 0.3, 0.5
	// slowFactor is the relative latency from which the pace is limited to its reciprocal.
	slowFactor = 1.5
	// ownSampleAge is how long an answer seen here takes precedence over reports.
	ownSampleAge = time.Second
)

// Time is the time of an input and the sum of 1 / targets over the placements so far, which is
// what a target with a pace of 1 has earned in credits.
type Time struct {
	Now    time.Duration
	Earned float64
}

// Pace is the pace of one target at one instance, with its credit. The zero value has no credit
// until Start is called.
type Pace struct {
	updatedAt, halvedAt, answeredAt time.Duration
	// earned is the sum at which credit was last computed, ready the one at which the credit
	// reaches 1.
	earned, ready float64
	value, credit float32
	// relative is the mean latency relative to the usual one; 0 without samples.
	relative float32
}

// ColdStart returns the pace of a target whose start was not observed and that is cold for the
// given time.
func ColdStart(left time.Duration) float64 {
	return min(max(math.Exp2(-float64(left)/float64(growthPeriod)), Initial), 1)
}

// Start sets the pace of a target that has started or recovered. Answers before are forgotten.
func (p *Pace) Start(t Time, value, credit float64) {
	*p = Pace{updatedAt: t.Now, halvedAt: t.Now - halvingInterval, answeredAt: t.Now, earned: t.Earned, value: float32(value), credit: float32(credit)}
	p.updateReady()
}

// Value returns the pace at the last input.
func (p *Pace) Value() float64 { return float64(p.value) }

// Relative returns the mean latency relative to the usual one, 0 if it is unknown.
func (p *Pace) Relative() float64 { return float64(p.relative) }

// Ready reports whether the target has a credit of at least 1.
func (p *Pace) Ready(earned float64) bool { return earned >= p.ready }

// Credit returns the credit of the target.
func (p *Pace) Credit(earned float64) float64 {
	return min(float64(p.credit)+float64(p.value)*(earned-p.earned), maxCredit)
}

func (p *Pace) updateReady() {
	p.ready = p.earned + float64(1-p.credit)/float64(p.value)
}

func (p *Pace) settle(earned float64) {
	p.credit, p.earned = float32(p.Credit(earned)), earned
}

func (p *Pace) setValue(v float64) {
	p.value = float32(min(max(v, Min), Max))
	p.updateReady()
}

// Advance applies the growth by time.
func (p *Pace) Advance(t Time) {
	p.settle(t.Earned)
	passed := float64(t.Now - p.updatedAt)
	p.updatedAt = t.Now
	v, limit := float64(p.value), min(p.limit(), 1)
	if v < limit {
		v = min(v*math.Exp2(passed/float64(growthPeriod)), limit)
	}
	if t.Now >= p.answeredAt+staleAfter {
		change := math.Exp2(passed / float64(returnPeriod))
		switch {
		case v < 1:
			v = min(v*change, 1)
		case v > 1:
			v = max(v/change, 1)
		}
		if v == 1 {
			p.relative = 0
		}
	}
	p.setValue(v)
}

// limit returns the highest pace for the relative latency.
func (p *Pace) limit() float64 {
	r := float64(p.relative)
	switch {
	case r <= 1:
		return Max
	case r >= slowFactor:
		return max(1/r, Min)
	}
	return Max - (r-1)/(slowFactor-1)*(Max-1/slowFactor)
}

// Place subtracts the credit of a new flow.
func (p *Pace) Place(t Time) {
	p.settle(t.Earned)
	p.credit = max(p.credit-1, minCredit)
	p.updateReady()
}

// Answer applies the latency of a request. usual is the usual latency of the service, 0 if it
// is unknown.
func (p *Pace) Answer(t Time, latency, usual time.Duration) {
	p.Advance(t)
	if usual <= 0 {
		p.answeredAt = t.Now
		return
	}
	relative := float64(latency) / float64(usual)
	if relative < rejectionFactor {
		return
	}
	p.answeredAt = t.Now
	weight := sampleWeight
	if relative > lateFactor {
		weight = lateSampleWeight
	}
	p.addSample(relative, weight)
	p.apply(t.Now, relative)
}

// Wait applies that a request has been waiting for its answer for some time. It counts if it is
// late already.
func (p *Pace) Wait(t Time, waited, usual time.Duration) {
	if usual > 0 && waited > lateFactor*usual {
		p.Answer(t, waited, usual)
	}
}

// Observe applies the mean latency, relative to the usual one, that other instances report for
// a number of answers. An answer that was seen here within the last second takes precedence.
func (p *Pace) Observe(t Time, relative float64, answers int) {
	p.Advance(t)
	if answers <= 0 || relative <= 0 || p.relative > 0 && t.Now < p.answeredAt+ownSampleAge {
		return
	}
	p.addSample(relative, 1-math.Pow(1-sampleWeight, float64(answers)))
	p.apply(t.Now, relative)
}

func (p *Pace) addSample(relative, weight float64) {
	if p.relative == 0 {
		// The first answer of a target is compared with that of a usual one.
		p.relative = 1
	}
	p.relative += float32(weight * (relative - float64(p.relative)))
}

// apply moves the pace by an answer with the given relative latency.
func (p *Pace) apply(now time.Duration, relative float64) {
	v, limit := float64(p.value), p.limit()
	switch {
	case relative > lateFactor:
		if now >= p.halvedAt+halvingInterval {
			v = max(v/2, min(v, limit))
			p.markHalved(now, v)
		}
	case v < limit:
		v = min(v*goodAnswerFactor, limit)
	default:
		v += sampleWeight * (limit - v)
	}
	p.setValue(v)
}

// Fail applies a request that failed or had no answer.
func (p *Pace) Fail(t Time) {
	p.Advance(t)
	p.addSample(failureFactor, sampleWeight)
	p.answeredAt = t.Now
	if t.Now >= p.halvedAt+halvingInterval {
		v := float64(p.value) / 2
		p.markHalved(t.Now, v)
		p.setValue(v)
	}
}

// markHalved records a halving. Credit that was saved at the former pace would otherwise bring
// two more flows to a target that has become slow.
func (p *Pace) markHalved(now time.Duration, v float64) {
	p.halvedAt = now
	p.credit = min(p.credit, float32(v))
}
