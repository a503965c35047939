package idempotency

import (
	"slices"
	"strings"
	"time"

	"guavaloom.example/guavaloom/internal/instance"
)

// tokenWindow bounds the tokens that are still valid without one entry per token:
// each mark notes the highest sequence number issued so far.
type tokenWindow struct {
	issued         uint64
	expiredThrough uint64 // tokens up to here have expired
	marks          []tokenMark
}

type tokenMark struct {
	sequence uint64
	issuedAt time.Duration
}

// markInterval is the precision of a token's validity.
const markInterval = 10 * time.Second

// IssueToken returns a new token of this run.
func (s *KeyStore) IssueToken(now time.Duration) Token {
	l := &s.tokens
	if len(l.marks) == 0 || now-l.marks[len(l.marks)-1].issuedAt >= markInterval {
		l.marks = append(l.marks, tokenMark{sequence: l.issued, issuedAt: now})
	}
	l.issued++
	self := s.history.self
	return Token{Zone: self.Zone, Instance: self.ID, Incarnation: self.Incarnation, Sequence: l.issued}
}

// expire expires the tokens issued between an old mark and the next one. A
// token never outlives the record of a run, which starts after the mark.
func (l *tokenWindow) expire(now, retention time.Duration) {
	for len(l.marks) > 0 && now-l.marks[0].issuedAt >= retention {
		l.marks = l.marks[1:]
		if len(l.marks) > 0 {
			l.expiredThrough = l.marks[0].sequence
		} else {
			l.expiredThrough = l.issued
		}
	}
}

// BeginToken decides on a request with a token whose authentication code is valid.
func (s *KeyStore) BeginToken(now time.Duration, t Token, k Key, fp Fingerprint, leased bool) Verdict {
	s.expire(now)
	self := s.history.self
	home := instance.Ref{ID: t.Instance, Incarnation: t.Incarnation, Zone: t.Zone}
	if !home.Same(self) {
		return s.forwardToken(home)
	}
	if e := s.records[k]; e != nil && e.State != Cleared {
		if !leased {
			return s.countedVerdict(Refuse, Unleased)
		}
		return s.decideRepeat(e, fp)
	}
	s.tokens.expire(now, s.limits.Retention)
	if t.Sequence <= s.tokens.expiredThrough {
		return s.countedVerdict(Unknown, TokenExpired)
	}
	if v, stop := s.checkServing(leased); stop {
		return v
	}
	return s.startRun(now, k, fp)
}

func (s *KeyStore) forwardToken(home instance.Ref) Verdict {
	if home.Zone != s.history.self.Zone {
		return Verdict{Kind: Forward, Home: home}
	}
	at := slices.IndexFunc(s.history.roster, home.Same)
	if at < 0 {
		return s.countedVerdict(Unknown, IncarnationGone)
	}
	return Verdict{Kind: Forward, Home: s.history.roster[at]}
}

// RefuseToken counts a token that failed its check.
func (s *KeyStore) RefuseToken() Verdict { return s.countedVerdict(Refuse, BadToken) }

func isToken(k Key) bool { return strings.HasPrefix(k.Value, TokenPrefix) }
