package idempotency

import (
	"time"

	"guavaloom.example/guavaloom/internal/instance"
	"guavaloom.example/guavaloom/internal/invariant"
	"guavaloom.example/guavaloom/internal/zone"
)

// KeyStore holds the records of the keys whose home is this instance.
type KeyStore struct {
	limits       Limits
	history      homeHistory
	records      map[Key]*entry
	byCreation   []*entry // by time of creation, for expiry
	byAnswerTime []*entry // by time of answer, for giving up answers
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

// New returns a Home for one run of an instance.
func New(self instance.Ref, limits Limits) *KeyStore {
	limits = limits.withDefaults()
	h := &KeyStore{limits: limits, records: map[Key]*entry{}, counts: map[string]uint64{}}
	h.history = homeHistory{self: self, retention: limits.Retention, handedOverSet: map[incarnationKey]uint32{}, lostUntil: map[incarnationKey]time.Duration{}}
	return h
}

// MarkRebuilt tells, before the first Install, that the zone existed before its
// first table: every key is then unknown for the retention period, since the
// records of the former instances are lost.
func (s *KeyStore) MarkRebuilt() { s.history.allLostUntil = -1 }

// Install takes a newer zone table.
func (s *KeyStore) Install(now time.Duration, t *zone.Table) {
	if s.history.allLostUntil < 0 {
		s.history.allLostUntil = now + s.limits.Retention
	}
	s.history.install(now, t)
	// A promise to a newer home is kept by the table once it shows that home.
	for _, e := range s.records {
		if e.State == Ceded && e.homeSet <= s.history.newestNumber() {
			s.remove(e)
		}
	}
}

// HomeOf returns the home of a key in the newest home set, if there is one.
func (s *KeyStore) HomeOf(k Key) (instance.Ref, bool) { return s.history.home(k) }

// Begin decides on a request with a caller's own key.
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

// decideRepeat decides on a key that has a record.
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

// startRun makes the startRun that precedes every send.
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

// ConfirmSend is called under the same lock as, and directly before, the send. A
// holder whose lease lapsed since Begin must not send and ends with NotRun.
// A record that was handed over before its send must not be sent either: the new
// home counts its age without this send. The retention period starts with the send.
func (s *KeyStore) ConfirmSend(now time.Duration, k Key, leased bool) bool {
	e := s.records[k]
	if !leased || e == nil || e.State != Running || e.exportedSet > 0 {
		return false
	}
	s.remove(e)
	s.add(now, e.Record).homeSet = e.homeSet
	return true
}

// Answered stores the answer of a key that ran.
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

// NotRun forgets a key whose request certainly did not run.
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
		return nil // expired while the request ran
	}
	invariant.Check(e.State == Running, "idempotency.running", "key of %s ended in state %d", k.Service, e.State)
	return e
}

// markNotRun keeps what the former homes have said about the key.
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

// expire removes records older than the retention period. A request in flight
// keeps its record.
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

// Counts returns how often each counter of Reasons occurred since the start.
func (s *KeyStore) Counts() map[string]uint64 { return s.counts }

// Size returns the number of records and the bytes of stored answers.
func (s *KeyStore) Size() (records, answerBytes int) { return len(s.records), s.answerBytes }
