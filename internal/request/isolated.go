package request

import (
	"strings"

	"guavaloom.example/guavaloom/internal/idempotency"
)

// permits reports whether this instance may accept or send a request now: any request
// while it holds a lease, and while it is isolated only those that are safe without one.
func (s *Server) permits(c *Call, p routePolicy) bool {
	if s.cfg.Leased() {
		return true
	}
	ok := s.safeWithoutLease(c, p) && s.cfg.Isolated()
	if ok {
		s.count(countIsolated)
	}
	return ok
}

// safeWithoutLease reports whether at-most-once execution of a request holds whatever
// other instances do. This is so if the request is idempotent, if it has no key and is
// therefore at this instance only, or if its key is a token, on which only the
// incarnation that issued it decides. That incarnation may forward the request to an
// instance with slots. A key chosen by the caller is not safe, because its home may have
// moved.
func (s *Server) safeWithoutLease(c *Call, p routePolicy) bool {
	if p.idempotent || c.Key == "" {
		return true
	}
	if !strings.HasPrefix(c.Key, idempotency.TokenPrefix) {
		return false
	}
	return c.Spilled || s.issuedHere(c.Key)
}

// issuedHere reports whether this incarnation issued the token.
func (s *Server) issuedHere(token string) bool {
	secret := s.tokenKey.Load()
	if secret == nil {
		return false
	}
	t, err := idempotency.ParseToken(*secret, token)
	self := s.cfg.Self
	return err == nil && t.Instance == self.ID && t.Incarnation == self.Incarnation && t.Zone == self.Zone
}
