package idempotency

import (
	"slices"
	"time"

	"guavaloom.example/guavaloom/internal/instance"
	"guavaloom.example/guavaloom/internal/invariant"
	"guavaloom.example/guavaloom/internal/zone"
)

// ApplyReplies processes the replies of former homes after a QueryFormer verdict for
// the home set with number set. It returns the homes that must also be queried
// before the key can run. Unless all of them reply, the caller must refuse the
// request as not run.
func (s *KeyStore) ApplyReplies(now time.Duration, k Key, set uint32, asked []instance.Ref, replies []KeyQueryReply) []instance.Ref {
	if set != s.history.newestNumber() || s.records[k] != nil && s.records[k].State != Cleared {
		return nil // Begin decides again from the newer table or record
	}
	need, lost := s.history.formerHomes(now, k)
	for _, r := range replies {
		need = append(need, r.Former...)
		lost = max(lost, r.LostFor)
		if r.Record.State != None && r.Record.State != Running {
			s.importRecord(now, r.Record)
			return nil
		}
		if r.Record.State == Running {
			return nil // the next Begin queries again
		}
	}
	var missing []instance.Ref
	for _, n := range need {
		if !n.Same(s.history.self) && !slices.ContainsFunc(asked, n.Same) && !slices.ContainsFunc(missing, n.Same) {
			missing = append(missing, n)
		}
	}
	if len(missing) > 0 {
		return missing
	}
	e := s.records[k]
	if e == nil {
		e = s.add(now, Record{Key: k})
	}
	e.State, e.homeSet = Cleared, set
	if lost > 0 {
		// The record stays lost for as long as the former home treats the key as lost.
		e.State, e.createdAt = Lost, now+lost-s.limits.Retention
	}
	return nil
}

// HandleQuery answers a query of a key's newer home. Unless the reply contains a
// record, this instance will not run the key under any home set up to the sender's.
func (s *KeyStore) HandleQuery(now time.Duration, a KeyQuery) KeyQueryReply {
	s.expire(now)
	e := s.records[a.Key]
	if e != nil && e.State != Cleared && e.State != Ceded {
		r := e.Record
		r.Age = now - e.createdAt
		return KeyQueryReply{Record: r}
	}
	former, lost := s.history.formerHomes(now, a.Key)
	if e != nil && e.State == Cleared && e.homeSet == s.history.newestNumber() {
		former, lost = nil, 0 // the former homes have already replied
	}
	if a.HomeSet > s.history.newestNumber() {
		set := a.HomeSet
		if e != nil {
			set = max(set, e.homeSet)
			s.remove(e) // the promise holds for a full retention period from now
		}
		e = s.add(now, Record{Key: a.Key, State: Ceded})
		e.homeSet = set
	}
	return KeyQueryReply{Record: Record{Key: a.Key}, LostFor: lost, Former: former}
}

// Leave makes the store refuse new requests. Once nothing is in flight, call Export
// with a home set that excludes this instance to transfer all records.
func (s *KeyStore) Leave() { s.leaving = true }

// InFlight returns the number of keys whose request is in flight.
func (s *KeyStore) InFlight() int {
	n := 0
	for _, e := range s.records {
		if e.State == Running {
			n++
		}
	}
	return n
}

// Export returns the records that have another home under the given set, one
// Handover per member, also for members without records: a Handover states that this
// instance holds nothing else for the member. The record of a request in flight is
// exported as Lost, and exported again after the request has completed. Answers
// beyond answerBytes in total are discarded. The set must be installed, or Leave must
// have been called.
func (s *KeyStore) Export(now time.Duration, set zone.HomeSet, answerBytes int) []Handover {
	invariant.Check(s.leaving || set.Number <= s.history.newestNumber(), "idempotency.export", "set %d is not installed", set.Number)
	s.expire(now)
	known := newKnownSet(set, now)
	out := map[incarnationKey]*Handover{}
	var order []*Handover
	for _, m := range set.Members {
		if m.Same(s.history.self) {
			continue
		}
		o := &Handover{From: s.history.self, To: m, HomeSet: set.Number, LostFor: s.history.longestLoss(now)}
		out[incarnationOf(m)] = o
		order = append(order, o)
	}
	for _, e := range s.byCreation {
		if e.removed || e.State == Ceded || e.State == Cleared || e.exportedSet >= set.Number {
			continue
		}
		home, ok := known.home(e.Key)
		if !ok || home.Same(s.history.self) || isToken(e.Key) {
			continue
		}
		r := e.Record
		r.Age = now - e.createdAt
		if r.State == Running {
			r.State = Lost
		}
		if r.Answer != nil {
			if answerBytes -= r.Answer.size(); answerBytes < 0 {
				r.State, r.Answer = Discarded, nil
				s.counts[CountAnswersDropped]++
			}
		}
		e.exportedSet = set.Number
		out[incarnationOf(home)].Records = append(out[incarnationOf(home)].Records, r)
	}
	result := make([]Handover, len(order))
	for i, o := range order {
		result[i] = *o
	}
	return result
}

// Import adds the records of a handover. It reports false if the handover is for
// another incarnation.
func (s *KeyStore) Import(now time.Duration, o Handover) bool {
	if !o.To.Same(s.history.self) {
		return false
	}
	for _, r := range o.Records {
		s.importRecord(now, r)
	}
	s.history.addHandover(now, o.From, o.HomeSet, o.LostFor)
	return true
}

// importRecord adds a record of a former home. It replaces an existing record only if
// that one is Lost or Cleared, since the former home may know the outcome by now.
func (s *KeyStore) importRecord(now time.Duration, r Record) {
	e := s.records[r.Key]
	switch {
	case e == nil:
		e = s.add(now, r)
		e.createdAt = now - r.Age
	case e.State == Lost || e.State == Cleared:
		e.Record = r
		// A Lost record created for a lost home can expire earlier than the imported one.
		e.createdAt = max(e.createdAt, now-r.Age)
	default:
		return
	}
	e.exportedSet = 0
	if a := e.Answer; a != nil {
		e.Answer = nil
		s.storeAnswer(e, a)
	}
}
