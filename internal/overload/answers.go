package overload

import "time"

// What the answers of targets tell about the service time and about the load.

const (
	// quickShare is the fraction of the service time below which an answer can't be that of
	// a request that ran. Service times vary between 0.5 and 1.5 of their mean.
	// Where a share of quickUsual of the answers is that quick while slots are free, they are
	// real answers, for example from a cache; quickWeight is the weight of an answer in it.
	quickShare  = 0.25
	quickUsual  = 0.05
	quickWeight = 0.02
	// sampleWindow is how many latencies are averaged before their mean is compared with
	// the smallest one. riseRate is the rise per second of the smallest mean, so that a
	// lasting change of the service time is learned; it adds a sixth in a crowd of 15 s.
	// The first mean is of fewer samples, since an instance among many gets few.
	sampleWindow = 16
	firstSamples = 4
	riseRate     = 0.01
)

// Answer records the latency of a request at a target of the own data centre and reports
// whether the request ran. A quick answer while all slots are taken is a rejection by the
// target, unless quick answers of the class are usual while slots are free.
func (s *Service) Answer(now time.Duration, class Class, latency time.Duration) (ran bool) {
	c := s.class(class)
	if c == nil {
		s.answers.add(now)
		return true
	}
	quick := c.quickAnswer(latency)
	if s.slotsTaken(now) {
		if quick && c.quick <= quickUsual {
			s.turnedAway.add(now)
			return false
		}
	} else {
		c.recordQuick(quick)
	}
	s.answers.add(now)
	c.answers.add(now)
	c.recordLatency(now, latency)
	if c.serviceTime > 0 {
		s.recordCongestion(now, float64(latency)/float64(c.serviceTime))
	}
	return true
}

// TurnAway records that a target of the own data centre is known to have refused a request.
func (s *Service) TurnAway(now time.Duration) { s.turnedAway.add(now) }

// AnswerElsewhere records an answer of a target in another data centre and reports whether the
// request ran. It tells nothing about the load of the own data centre's targets, if there are any.
func (s *Service) AnswerElsewhere(now time.Duration, class Class, latency time.Duration) (ran bool) {
	if s.remote {
		return s.Answer(now, class, latency)
	}
	if c := s.class(class); c != nil && s.full && c.quick <= quickUsual && c.quickAnswer(latency) {
		return false
	}
	s.answers.add(now)
	return true
}

// slotsTaken reports whether all slots of the own data centre's targets were taken at the
// latest decision, counting the answered request.
func (s *Service) slotsTaken(now time.Duration) bool {
	switch l := &s.load; {
	case s.loadAt == 0 || now > s.loadAt+congestionAge:
		return false
	case l.InFlight == 0: // one request may stand for many slots
		return now <= s.congestionAt+congestionAge && s.congestion >= minPerSlot
	default:
		return (l.InFlight+1)*l.Instances >= l.Slots
	}
}

// quickAnswer reports whether a latency is too short for a request that ran.
func (c *classState) quickAnswer(latency time.Duration) bool {
	return float64(latency) < quickShare*float64(c.serviceTime)
}

func (c *classState) recordQuick(quick bool) {
	c.quick *= 1 - quickWeight
	if quick {
		c.quick += quickWeight
	}
}

func (s *Service) recordCongestion(now time.Duration, sample float64) {
	s.congestionAt = now
	if s.congestion == 0 {
		s.congestion = sample
		return
	}
	s.congestion += congestionWeight * (sample - s.congestion)
}

// recordLatency lowers the service time to the mean of the latest samples if that is smaller.
func (c *classState) recordLatency(now, latency time.Duration) {
	c.latencySum += latency
	c.samples++
	if c.samples < firstSamples || c.serviceTime > 0 && c.samples < sampleWindow {
		return
	}
	mean := c.latencySum / time.Duration(c.samples)
	c.latencySum, c.samples = 0, 0
	risen := time.Duration(float64(c.serviceTime) * (1 + riseRate*min(now-c.serviceTimeAt, 10*time.Second).Seconds()))
	if c.serviceTime == 0 || mean < risen {
		risen = mean
	}
	c.serviceTime, c.serviceTimeAt = risen, now
}
