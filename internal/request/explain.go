package request

import (
	"strings"

	"guavaloom.example/guavaloom/internal/dispatch"
	"guavaloom.example/guavaloom/internal/explain"
	"guavaloom.example/guavaloom/internal/idempotency"
	"guavaloom.example/guavaloom/internal/target"
)

// Explain returns what this instance would do with a request, without side effects.
func (s *Server) Explain(q explain.RequestQuery) explain.RequestAnswer {
	a := explain.RequestAnswer{Instance: string(s.cfg.Self.ID), Decision: "refuse"}
	s.mu.RLock()
	v := s.byHost[hostName(q.Host)]
	s.mu.RUnlock()
	if v == nil {
		a.Reason = reasonHostUnknown
		return a
	}
	path, _, _ := strings.Cut(q.Path, "?")
	r := matchRoute(v.Routes, q.Method, path)
	limit := v.Deadline
	if limit == 0 {
		limit = DefaultDeadline
	}
	a.Service, a.Class, a.Idempotent, a.DeadlineMillis = string(v.ID), r.Class.String(), r.Idempotent, limit.Milliseconds()
	free := s.explainTargets(&a, v)
	switch {
	case s.shuttingDown.Load():
		a.Reason = string(dispatch.ShuttingDown)
	case !s.cfg.Leased() && !(s.cfg.Isolated() && s.safeWithoutLease(&Call{Key: q.IdempotencyKey}, routePolicy{idempotent: r.Idempotent})):
		a.Reason = string(dispatch.LeaseLapsed)
	case q.IdempotencyKey != "" && !r.Idempotent && s.explainKey(&a, v, q.IdempotencyKey):
	case free:
		a.Decision, a.Reason = "send", "a target has a free slot"
	default:
		a.Decision, a.Reason = "queue", "no target has a free slot now"
	}
	return a
}

// explainTargets lists the targets and reports whether one has a free slot.
func (s *Server) explainTargets(a *explain.RequestAnswer, v *serviceState) bool {
	any := false
	for _, t := range v.scheduler.loads() {
		a.Targets = append(a.Targets, explain.RequestTarget{Target: string(t.ID), State: t.State.String(), Own: t.Owned, Free: t.Free})
		any = any || t.Free > 0 && t.State == target.Active
	}
	return any
}

// explainKey fills in the home of a key and reports whether it is another instance.
func (s *Server) explainKey(a *explain.RequestAnswer, v *serviceState, key string) bool {
	k := idempotency.Key{Service: v.ID, Value: key}
	if z := idempotency.ZoneOf(k, v.zones); z != "" && z != s.cfg.Self.Zone {
		a.Decision, a.Reason, a.KeyHome = "dispatch", "the key belongs to zone "+z, z
		return true
	}
	s.keys.mu.Lock()
	home, ok := s.keys.store.HomeOf(k)
	s.keys.mu.Unlock()
	if !ok || home.Same(s.cfg.Self) {
		a.KeyHome = string(home.ID)
		return false
	}
	a.Decision, a.Reason, a.KeyHome = "dispatch", "another instance is the home of the key", string(home.ID)
	return true
}
