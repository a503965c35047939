package idempotency

import (
	"slices"
	"strings"
	"time"

	"guavaloom.example/guavaloom/internal/instance"
)

// tokenWindow tracks which tokens are still valid without an entry per token: each
// mark records the highest sequence number issued before its time.
type tokenWindow struct {
	issued         uint64
	expiredThrough uint64 // tokens up to this sequence number have expired
	marks          []tokenMark
}

type tokenMark struct {
	sequence uint64
	issuedAt time.Duration
}

// markInterval is the minimum time between two marks, and so the precision of token expiry.
const markInterval = 10 * time.Second

// IssueToken returns a new token of this incarnation.
func (s *KeyStore) IssueToken(now time.Duration) Token {
	l := &s.tokens
	if len(l.marks) == 0 || now-l.marks[len(l.marks)-1].issuedAt >= markInterval {
		l.marks = append(l.marks, tokenMark{sequence: l.issued, issuedAt: now})
	}
	l.issued++
	self := s.history.self
	return Token{Zone: self.Zone, Instance: self.ID, Incarnation: self.Incarnation, Sequence: l.issued}
}

// expire expires the tokens issued between a mark older than the retention period
// and the next one. A token's record is created after the mark that precedes the
// token, so the token expires no later than the record.
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

// BeginToken decides on a request with a token. The caller has verified the token's
// authentication code.
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

// RefuseToken counts and refuses a request whose token failed verification.
func (s *KeyStore) RefuseToken() Verdict { return s.countedVerdict(Refuse, BadToken) }

func isToken(k Key) bool { return strings.HasPrefix(k.Value, TokenPrefix) }
