package overload

import (
	"time"

	"guavaloom.example/guavaloom/internal/view"
)

const (
	// maxClasses bounds the classes of a service. A further one takes the place of an absent one;
	// its flows are admitted while there is none.
	maxClasses = 8
	// presentFor is how long after its last flow a class counts as present.
	presentFor = 2 * time.Second
	// targetQueue is how many requests a target queues beside those in its slots.
	targetQueue = 8
	// lowestShare, aloneShare and higherShare are the fractions of the objective that the
	// expected wait may take. Single waits vary by about a factor of two, and a caller that
	// was rejected once has used some of its time, hence the low value where other classes
	// need the room in the queues.
	lowestShare = 0.4
	aloneShare  = 0.6
	higherShare = 0.8
	// minPerSlot and maxPerSlot bound the requests per slot up to which the lowest class is
	// admitted. Below 2, targets idle between the end of a request and the next flow.
	minPerSlot = 2.0
	maxPerSlot = 3.0
	// recoverShare is the fraction of the limit below which a full service recovers if it
	// stays there for recoverAfter: the estimate varies from flow to flow.
	recoverShare = 0.75
	recoverAfter = 300 * time.Millisecond
	// floorShare is the share of the answers that each class gets at least. While a class is
	// below it, one of floorInterval consecutive arrivals is admitted. It is no share of the
	// arrivals, because rejected callers come again: in a crowd they would fill the targets.
	floorShare    = 0.05
	floorInterval = 20
	// budgetShare is the fraction of the answers that repeated attempts may add.
	budgetShare = 0.2
	// turnedAwayShare is the share of target rejections among the answers above which the
	// targets' queues are taken to be full.
	turnedAwayShare = 0.05
	// confirmShare is the fraction of a limit that the recent answers must confirm: with q
	// requests per slot, an answer takes about q service times. An instance among many sees
	// few requests in flight, and their random variation alone rejected up to 15 % of the
	// flows at 0.6 of the capacity. congestionWeight is the weight of a new answer, and
	// congestionAge how long an answer reflects the current queues.
	confirmShare     = 0.7
	congestionWeight = 0.1
	congestionAge    = time.Second
)

// Class identifies the requests that are treated alike.
type Class struct {
	Priority int
	Kind     view.Kind
}

// classState is what is known of a class.
type classState struct {
	class               Class
	objective, deadline time.Duration
	lastArrivalAt       time.Duration
	// denied counts the consecutive flows that were rejected.
	denied int
	// answers counts the answered requests of the last second.
	answers window
	// serviceTime is the smallest mean latency, last updated at serviceTimeAt; 0 if unknown.
	serviceTime   time.Duration
	serviceTimeAt time.Duration
	// latencySum is the sum of the samples since the last mean.
	latencySum time.Duration
	samples    int
	// quick is the mean share of quick answers while slots were free.
	quick float64
}

// Service is the overload state of a service as seen by one instance. The zero value is ready
// for use. It is not safe for concurrent use.
type Service struct {
	classes [maxClasses]classState
	known   int

	full       bool
	belowSince time.Duration // valid if below is set
	below      bool

	answers, turnedAway, repeats window
	// congestion is the mean of latency / service time over the latest answers, last updated
	// at congestionAt.
	congestion   float64
	congestionAt time.Duration
	// load is the load at the latest decision, loadAt its time.
	// remote means that it was that of other data centres' targets, since the own data centre
	// has none.
	load   Load
	loadAt time.Duration
	remote bool
}

// Load is the load of the service's usable targets in the own data centre.
type Load struct {
	// InFlight is the number of requests in flight and opening here; Instances is how many
	// instances share the targets.
	InFlight, Instances int
	// Targets, Late and Slots sum up the targets; Late ones answer later than MaxLatency.
	Targets, Late, Slots int
}

// PerSlot returns the estimated requests in flight per slot.
func (l *Load) PerSlot() float64 {
	if l.Slots == 0 {
		return 0
	}
	return float64(l.InFlight*l.Instances) / float64(l.Slots)
}

// room returns the requests per slot at which targets reject further ones.
func (l *Load) room() float64 {
	return 1 + float64(targetQueue*l.Targets)/float64(l.Slots)
}

// Flow describes a new flow.
type Flow struct {
	Class               Class
	Objective, Deadline time.Duration
	// Repeated is set for a flow of a client that was rejected shortly before.
	Repeated bool
}

// Outcome says what became of a flow.
type Outcome uint8

// Outcomes of flows.
const (
	Admitted Outcome = iota
	Elsewhere
	Rejected
)

var outcomeNames = [...]string{"admitted", "elsewhere", "rejected"}

// String returns the outcome's name as used in the metrics.
func (o Outcome) String() string { return outcomeNames[o] }

// Full reports whether the service is full.
func (s *Service) Full() bool { return s.full }

// class returns the state of a class, nil if there are too many classes.
func (s *Service) class(c Class) *classState {
	for i := range s.classes[:s.known] {
		if s.classes[i].class == c {
			return &s.classes[i]
		}
	}
	if s.known == maxClasses {
		return nil
	}
	s.known++
	s.classes[s.known-1] = classState{class: c}
	return &s.classes[s.known-1]
}

// replaceAbsent gives the place of the class that has been absent for longest to another one. It
// returns nil if all classes are present.
func (s *Service) replaceAbsent(now time.Duration, by Class) *classState {
	oldest := &s.classes[0]
	for i := range s.classes[:s.known] {
		if c := &s.classes[i]; c.lastArrivalAt < oldest.lastArrivalAt {
			oldest = c
		}
	}
	if now <= oldest.lastArrivalAt+presentFor {
		return nil
	}
	*oldest = classState{class: by}
	return oldest
}

// Arrive records the arrival of a new flow. It precedes Admits and AdmitsRemote.
func (s *Service) Arrive(now time.Duration, f Flow) {
	c := s.class(f.Class)
	if c == nil {
		c = s.replaceAbsent(now, f.Class)
	}
	if c != nil {
		c.objective, c.deadline, c.lastArrivalAt = f.Objective, f.Deadline, now
	}
}

// Finish records what became of a flow.
func (s *Service) Finish(now time.Duration, f Flow, o Outcome) {
	if f.Repeated && f.Class.Kind.Repeatable() && o != Rejected {
		s.repeats.add(now)
	}
	c := s.class(f.Class)
	switch {
	case c == nil:
	case o == Rejected:
		c.denied++
	default:
		c.denied = 0
	}
}

// lowest returns the lowest priority present, and whether another priority competes with it.
func (s *Service) lowest(now time.Duration) (priority int, competing bool) {
	highest := -1
	for i := range s.classes[:s.known] {
		c := &s.classes[i]
		if now > c.lastArrivalAt+presentFor {
			continue
		}
		priority = max(priority, c.class.Priority)
		if highest < 0 || c.class.Priority < highest {
			highest = c.class.Priority
		}
	}
	return priority, highest >= 0 && highest < priority
}

// serviceTime returns the mean uncongested service time of the classes present, 0 if unknown.
func (s *Service) serviceTime(now time.Duration) time.Duration {
	sum, n := time.Duration(0), time.Duration(0)
	for i := range s.classes[:s.known] {
		if c := &s.classes[i]; c.serviceTime > 0 && now <= c.lastArrivalAt+presentFor {
			sum += c.serviceTime
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return sum / n
}

// objective returns the shortest objective of the classes present at a priority: classes of one
// priority have one limit, so that they are admitted alike. It is 0 if none has an objective.
func (s *Service) objective(now time.Duration, priority int) (out time.Duration) {
	for i := range s.classes[:s.known] {
		c := &s.classes[i]
		if c.class.Priority == priority && c.objective > 0 && now <= c.lastArrivalAt+presentFor && (out == 0 || c.objective < out) {
			out = c.objective
		}
	}
	return out
}

// share returns the fraction of the objective that the expected wait of a priority may take.
func (s *Service) share(now time.Duration, priority int) float64 {
	lowest, competing := s.lowest(now)
	switch {
	case !competing:
		return aloneShare
	case priority == lowest:
		return lowestShare
	}
	return higherShare
}

// limit returns the requests per slot from which requests of a priority that may be repeated
// are rejected.
func (s *Service) limit(now time.Duration, priority int, l *Load) float64 {
	lowest, competing := s.lowest(now)
	bound := l.room()
	if competing && priority == lowest {
		bound = min(bound, maxPerSlot)
	}
	if t, o := s.serviceTime(now), s.objective(now, priority); t > 0 && o > 0 {
		bound = min(bound, s.share(now, priority)*float64(o)/float64(t))
	}
	return max(bound, minPerSlot)
}

// MaxLatency returns the mean latency above which a target is late for a flow, 0 if the flow has
// no objective.
func (s *Service) MaxLatency(now time.Duration, f Flow) time.Duration {
	share := higherShare
	if lowest, competing := s.lowest(now); f.Class.Kind.Repeatable() && (!competing || f.Class.Priority == lowest) {
		share = lowestShare
	}
	return time.Duration(share * float64(f.Objective))
}

// Admits reports whether a flow may go to the targets of the own data centre. Only flows that
// it does not admit go elsewhere or are rejected.
func (s *Service) Admits(now time.Duration, f Flow, l Load) bool {
	if l.Slots == 0 {
		return true
	}
	s.load, s.loadAt, s.remote = l, now, false
	late := f.Class.Kind.Repeatable() && f.Objective > 0 && l.PerSlot() >= 1 && 2*l.Late > l.Targets
	s.update(now, &l, late)
	if f.Class.Priority == view.HighestPriority || f.Objective <= 0 || s.belowFloor(now, f.Class) {
		return true
	}
	q := l.PerSlot()
	if !f.Class.Kind.Repeatable() {
		return !s.afterDeadline(now, f, &l)
	}
	if !s.slotsIdle(now, q) && s.exceedsBudget(now, f) {
		return false
	}
	if late {
		return false
	}
	if lowest, competing := s.lowest(now); competing && f.Class.Priority == lowest && q >= minPerSlot && s.targetsTurnAway(now) {
		return false
	}
	return !s.exceeds(now, &l, s.limit(now, f.Class.Priority, &l))
}

// exceeds reports whether the requests per slot are above a limit and the recent answers
// confirm it. Without any, a single request in flight is no sign of a queue.
func (s *Service) exceeds(now time.Duration, l *Load, limit float64) bool {
	recent := s.congestion > 0 && now <= s.congestionAt+congestionAge
	switch {
	case l.PerSlot() < limit:
		// Where one request here stands for more than the limit, the answers tell more.
		return float64(l.Instances) > limit*float64(l.Slots) && recent && s.congestion >= limit
	case s.targetsTurnAway(now):
		return true
	case !recent:
		return l.InFlight > 1
	}
	return s.congestion >= confirmShare*limit
}

// Remote is the load of the targets of other data centres, of which only the flows that came
// through this data centre are known: InFlight is a lower bound.
type Remote struct {
	Load
	// Measured is how many targets have a recent latency; Fastest is the shortest one.
	Measured int
	Fastest  time.Duration
}

// AdmitsRemote reports whether a flow may go to any target of other data centres, for a data
// centre without usable targets.
func (s *Service) AdmitsRemote(now time.Duration, f Flow, r Remote) bool {
	if r.Slots == 0 {
		return true
	}
	s.load, s.loadAt, s.remote = r.Load, now, true
	late := f.Class.Kind.Repeatable() && f.Objective > 0 && 2*r.Late > r.Measured
	s.update(now, &r.Load, late)
	if f.Class.Priority == view.HighestPriority || f.Objective <= 0 || s.probes(f.Class) {
		return true
	}
	if !f.Class.Kind.Repeatable() {
		return f.Deadline <= 0 || r.Fastest <= f.Deadline
	}
	return !late && !s.exceedsBudget(now, f) && !s.exceeds(now, &r.Load, s.limit(now, f.Class.Priority, &r.Load))
}

// belowFloor reports whether a flow is admitted because its class gets less than its floor.
func (s *Service) belowFloor(now time.Duration, c Class) bool {
	state := s.class(c)
	return s.probes(c) && (state == nil ||
		float64(state.answers.sum(now, 10)) <= floorShare*float64(s.answers.sum(now, 10)))
}

// probes reports whether a flow is admitted because the floorInterval-1 flows of its class before
// it were rejected. The answers of remote targets, whose load is not known, tell when there is
// room again.
func (s *Service) probes(c Class) bool {
	state := s.class(c)
	return state == nil || state.denied >= floorInterval-1
}

// afterDeadline reports whether the answer to a request would arrive after its deadline. An
// upload counts as in flight while it is sent, so the count alone does not show a queue.
func (s *Service) afterDeadline(now time.Duration, f Flow, l *Load) bool {
	t := s.serviceTime(now)
	if f.Deadline <= 0 || t <= 0 {
		return false
	}
	return s.exceeds(now, l, max(float64(f.Deadline)/float64(t)-1, minPerSlot))
}

// exceedsBudget reports whether a repeated attempt must not be admitted. The repeated ones are
// counted over a little more than a second and the answers over a little less.
func (s *Service) exceedsBudget(now time.Duration, f Flow) bool {
	if !s.full || !f.Repeated || !f.Class.Kind.Repeatable() {
		return false
	}
	budget := max(int(budgetShare*float64(s.answers.sum(now, 10))), 1)
	return s.repeats.sum(now, 11) >= budget
}

// targetsTurnAway reports whether the targets' queues are full, as shown by their answers of
// the last half second.
func (s *Service) targetsTurnAway(now time.Duration) bool {
	away := s.turnedAway.sum(now, 5)
	return away > 1 && float64(away) > turnedAwayShare*float64(away+s.answers.sum(now, 5))
}

// update determines whether the service is full. late means that most targets are late.
func (s *Service) update(now time.Duration, l *Load, late bool) {
	lowest, _ := s.lowest(now)
	q, limit := l.PerSlot(), s.limit(now, lowest, l)
	s.setFull(now, late || s.exceeds(now, l, limit), q < recoverShare*limit)
}

// slotsIdle reports whether slots are free, so that the retry budget must not reject a flow.
// An instance among many often has no request in flight while the targets are full.
func (s *Service) slotsIdle(now time.Duration, q float64) bool {
	return q < 1 && (now > s.congestionAt+congestionAge || s.congestion < minPerSlot)
}

func (s *Service) setFull(now time.Duration, above, below bool) {
	switch {
	case above:
		s.full, s.below = true, false
	case !below:
		s.below = false
	case !s.below:
		s.below, s.belowSince = true, now
	case now >= s.belowSince+recoverAfter:
		s.full = false
	}
}

// Tick ends the full state of a service that gets no flows any more.
func (s *Service) Tick(now time.Duration) {
	for i := range s.classes[:s.known] {
		if now <= s.classes[i].lastArrivalAt+presentFor {
			return
		}
	}
	s.full = false
}
