package request

import (
	"strings"

	"guavaloom.example/guavaloom/internal/idempotency"
)

// permits reports whether this instance may now accept or send a request: with a
// lease any, and while it is isolated those that need no agreement.
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

// safeWithoutLease reports whether at-most-once holds for a request whatever other
// instances do: it may be repeated, or no other instance has it, or its key is a
// token that only the run which issued it decides on. That run may hand the send
// to an owner of slots. A caller's own key may have got a new home.
func (s *Server) safeWithoutLease(c *Call, p routePolicy) bool {
	if p.idempotent || c.Key == "" {
		return true
	}
	if !strings.HasPrefix(c.Key, idempotency.TokenPrefix) {
		return false
	}
	return c.Spilled || s.issuedHere(c.Key)
}

// issuedHere reports whether the token comes from this run.
func (s *Server) issuedHere(token string) bool {
	secret := s.tokenKey.Load()
	if secret == nil {
		return false
	}
	t, err := idempotency.ParseToken(*secret, token)
	self := s.cfg.Self
	return err == nil && t.Instance == self.ID && t.Incarnation == self.Incarnation && t.Zone == self.Zone
}
