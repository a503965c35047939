package idempotency

import (
	"time"

	"guavaloom.example/guavaloom/internal/instance"
	"guavaloom.example/guavaloom/internal/invariant"
	"guavaloom.example/guavaloom/internal/zone"
)

// KeyStore holds the records of the keys whose home is this instance. It is not safe
// for concurrent use.
type KeyStore struct {
	limits       Limits
	history      homeHistory
	records      map[Key]*entry
	byCreation   []*entry // by creation time, for expiry
	byAnswerTime []*entry // by time of the answer, for discarding the oldest
	answerBytes  int      // of stored answers
	leaving      bool
	tokens       tokenWindow
	counts       map[string]uint64
}

type entry struct {
	Record
	createdAt   time.Duration
	homeSet     uint32 // home set for which Cleared or Ceded holds
	exportedSet uint32 // newest set for which the record was handed over
	removed     bool
}

// New returns a KeyStore for one incarnation of an instance.
func New(self instance.Ref, limits Limits) *KeyStore {
	limits = limits.withDefaults()
	h := &KeyStore{limits: limits, records: map[Key]*entry{}, counts: map[string]uint64{}}
	h.history = homeHistory{self: self, retention: limits.Retention, handedOverSet: map[incarnationKey]uint32{}, lostUntil: map[incarnationKey]time.Duration{}}
	return h
}

// MarkRebuilt is called before the first Install if the zone was rebuilt, that is,
// if it existed before its first table. The records of its former instances are
// lost, so every key counts as lost for the retention period.
func (s *KeyStore) MarkRebuilt() { s.history.allLostUntil = -1 }

// Install applies a newer zone table.
func (s *KeyStore) Install(now time.Duration, t *zone.Table) {
	if s.history.allLostUntil < 0 {
		s.history.allLostUntil = now + s.limits.Retention
	}
	s.history.install(now, t)
	// Once the table contains the newer home, Begin forwards to it, and the record of
	// the promise is no longer needed.
	for _, e := range s.records {
		if e.State == Ceded && e.homeSet <= s.history.newestNumber() {
			s.remove(e)
		}
	}
}

// HomeOf returns the home of a key in the newest home set, if there is one.
func (s *KeyStore) HomeOf(k Key) (instance.Ref, bool) { return s.history.home(k) }

// Begin decides on a request with a client's own key.
func (s *KeyStore) Begin(now time.Duration, k Key, fp Fingerprint, leased bool) Verdict {
	s.expire(now)
	if v, stop := s.checkServing(leased); stop {
		return v
	}
	home, ok := s.history.home(k)
	if !ok {
		return s.countedVerdict(Refuse, NotHome)
	}
	if !home.Same(s.history.self) {
		return Verdict{Kind: Forward, Home: home}
	}
	e := s.records[k]
	if e != nil && e.State != Cleared {
		return s.decideRepeat(e, fp)
	}
	if e == nil || e.homeSet != s.history.newestNumber() {
		ask, lost := s.history.formerHomes(now, k)
		if lost > 0 {
			return s.countedVerdict(Unknown, HomeLost)
		}
		if len(ask) > 0 {
			return Verdict{Kind: QueryFormer, Former: ask, HomeSet: s.history.newestNumber()}
		}
	}
	return s.startRun(now, k, fp)
}

func (s *KeyStore) checkServing(leased bool) (Verdict, bool) {
	switch {
	case !leased:
		return s.countedVerdict(Refuse, Unleased), true
	case s.leaving:
		return s.countedVerdict(Refuse, Leaving), true
	}
	return Verdict{}, false
}

// decideRepeat decides on a request whose key has a record.
func (s *KeyStore) decideRepeat(e *entry, fp Fingerprint) Verdict {
	if e.State == Ceded {
		return s.countedVerdict(Refuse, NotHome)
	}
	if e.Fingerprint != fp && e.Fingerprint != (Fingerprint{}) {
		return s.countedVerdict(Refuse, KeyReused)
	}
	switch e.State {
	case Running:
		return Verdict{Kind: Wait, Reason: InFlight}
	case Done:
		s.counts[CountReplayed]++
		return Verdict{Kind: Replay, Answer: e.Answer}
	case Discarded:
		return s.countedVerdict(Unknown, AnswerGone)
	}
	return s.countedVerdict(Unknown, OutcomeLost)
}

// startRun creates the record, which must exist before the request is sent.
func (s *KeyStore) startRun(now time.Duration, k Key, fp Fingerprint) Verdict {
	if e := s.records[k]; e != nil {
		s.remove(e) // the retention period starts with this run
	}
	if len(s.records) >= s.limits.Records {
		return s.countedVerdict(Refuse, TableFull)
	}
	e := s.add(now, Record{Key: k})
	e.Fingerprint, e.State, e.homeSet = fp, Running, s.history.newestNumber()
	return Verdict{Kind: Run}
}

// ConfirmSend reports whether the request may be sent. It is called directly before
// the send, under the same lock. If it returns false, the caller must not send and
// must call NotRun. The request must not be sent if the lease has expired since
// Begin, or if the record was transferred since then, because the new home computes
// the record's age without this send. The retention period starts with the send.
func (s *KeyStore) ConfirmSend(now time.Duration, k Key, leased bool) bool {
	e := s.records[k]
	if !leased || e == nil || e.State != Running || e.exportedSet > 0 {
		return false
	}
	s.remove(e)
	s.add(now, e.Record).homeSet = e.homeSet
	return true
}

// Answered stores the answer to a key's request.
func (s *KeyStore) Answered(k Key, a *Answer) {
	e := s.runningEntry(k)
	if e == nil {
		return
	}
	e.exportedSet = 0
	if size := a.size(); size > s.limits.AnswerBytes {
		e.State = Discarded
		s.counts[CountAnswerTooLarge]++
		return
	}
	s.storeAnswer(e, a)
}

// NotRun resets the record of a key whose request certainly did not run, so that the
// key can run later.
func (s *KeyStore) NotRun(k Key) {
	if e := s.runningEntry(k); e != nil {
		e.exportedSet = 0
		s.markNotRun(e)
	}
}

// OutcomeUnknown keeps the record of a key whose request may have run.
func (s *KeyStore) OutcomeUnknown(k Key) {
	if e := s.runningEntry(k); e != nil {
		e.State, e.exportedSet = Lost, 0
	}
}

func (s *KeyStore) runningEntry(k Key) *entry {
	e := s.records[k]
	if e == nil {
		return nil // expired while the request was in flight
	}
	invariant.Check(e.State == Running, "idempotency.running", "request with a key of service %s completed while its record was in state %d", k.Service, e.State)
	return e
}

// markNotRun keeps the record as Cleared, since the former homes need not be queried
// again.
func (s *KeyStore) markNotRun(e *entry) {
	e.State, e.Fingerprint = Cleared, Fingerprint{}
}

func (s *KeyStore) add(now time.Duration, r Record) *entry {
	e := &entry{Record: r, createdAt: now}
	s.records[r.Key] = e
	s.byCreation = append(s.byCreation, e)
	return e
}

func (s *KeyStore) remove(e *entry) {
	s.dropAnswer(e)
	e.removed = true
	if s.records[e.Key] == e {
		delete(s.records, e.Key)
	}
}

func (s *KeyStore) storeAnswer(e *entry, a *Answer) {
	e.State, e.Answer = Done, a
	s.answerBytes += a.size()
	s.byAnswerTime = append(s.byAnswerTime, e)
	for s.answerBytes > s.limits.TotalBytes && len(s.byAnswerTime) > 0 {
		oldest := s.byAnswerTime[0]
		s.byAnswerTime = s.byAnswerTime[1:]
		if oldest.Answer != nil {
			s.dropAnswer(oldest)
			oldest.State = Discarded
			s.counts[CountAnswersDropped]++
		}
	}
}

func (s *KeyStore) dropAnswer(e *entry) {
	if e.Answer != nil {
		s.answerBytes -= e.Answer.size()
		e.Answer = nil
	}
}

// expire removes records older than the retention period, except those of requests
// in flight.
func (s *KeyStore) expire(now time.Duration) {
	for len(s.byCreation) > 0 {
		e := s.byCreation[0]
		if !e.removed && (now-e.createdAt < s.limits.Retention || e.State == Running) {
			break
		}
		s.byCreation = s.byCreation[1:]
		if !e.removed {
			s.remove(e)
		}
	}
	for len(s.byAnswerTime) > 0 && s.byAnswerTime[0].Answer == nil {
		s.byAnswerTime = s.byAnswerTime[1:]
	}
}

func (s *KeyStore) countedVerdict(k VerdictKind, r Reason) Verdict {
	s.counts[string(r)]++
	return Verdict{Kind: k, Reason: r}
}

// Counts returns the counters listed by Reasons, counted since the start.
func (s *KeyStore) Counts() map[string]uint64 { return s.counts }

// Size returns the number of records and the bytes of stored answers.
func (s *KeyStore) Size() (records, answerBytes int) { return len(s.records), s.answerBytes }
