package request

import (
	"context"
	"encoding/json"
	"io"
	"math"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"guavaloom.example/guavaloom/internal/dispatch"
	"guavaloom.example/guavaloom/internal/idempotency"
	"guavaloom.example/guavaloom/internal/service"
)

// maxKeyLength is the maximum length of an Idempotency-Key in bytes. Tokens take less
// than 200 bytes.
const maxKeyLength = 255

// routePolicy holds the properties that a request gets from its route and deadline.
type routePolicy struct {
	class      service.Class
	idempotent bool
	deadline   time.Duration // on the clock of Server.now
}

func (p routePolicy) job(c *Call, maySend func() bool) *job {
	return &job{call: c, maySend: maySend, idempotent: p.idempotent, class: p.class, deadline: p.deadline}
}

func (s *Server) policyFor(v *serviceState, c *Call) routePolicy {
	path := c.Target
	if u, err := url.ParseRequestURI(c.Target); err == nil {
		path = u.Path
	}
	r := matchRoute(v.Routes, c.Method, path)
	return routePolicy{class: r.Class, idempotent: r.Idempotent, deadline: s.now() + c.Remaining}
}

func (s *Server) serveHTTP(w http.ResponseWriter, r *http.Request) {
	c, v, refusal := s.accept(w, r)
	if refusal != nil {
		s.count(refusal.Reason)
		s.writeReply(w, r, refusal)
		return
	}
	defer s.bodyBytes.Add(-int64(len(c.Body)))
	ctx, cancel := context.WithTimeout(r.Context(), c.Remaining)
	defer cancel()
	s.writeReply(w, r, s.serve(ctx, c, v))
}

// accept reads a request completely and makes all checks that precede admission.
func (s *Server) accept(w http.ResponseWriter, r *http.Request) (*Call, *serviceState, *Reply) {
	s.mu.RLock()
	v := s.byHost[hostName(r.Host)]
	s.mu.RUnlock()
	switch {
	case s.shuttingDown.Load():
		return nil, nil, refused(string(dispatch.ShuttingDown), time.Second)
	case v == nil:
		return nil, nil, refused(reasonHostUnknown, 0)
	}
	limit, ok := deadlineOf(r.Header, v.Deadline)
	if !ok {
		return nil, nil, refused(reasonDeadlineInvalid, 0)
	}
	key := r.Header.Get(HeaderKey)
	if len(r.Header.Values(HeaderKey)) > 0 && (key == "" || len(key) > maxKeyLength) {
		return nil, nil, refused(reasonKeyInvalid, 0)
	}
	c := &Call{Service: v.ID, Method: r.Method, Target: r.URL.RequestURI(), Host: r.Host, Key: key}
	if !s.permits(c, s.policyFor(v, c)) {
		return nil, nil, refused(string(dispatch.LeaseLapsed), time.Second)
	}
	started := time.Now()
	body, refusal := s.readBody(w, r, v)
	if refusal != nil {
		return nil, nil, refusal
	}
	c.Header, c.Body, c.Remaining = forwardHeader(r.Header, r.RemoteAddr), body, limit-time.Since(started)
	return c, v, nil
}

// deadlineOf returns the time limit of a request: the caller's, capped by the service's.
// It returns false if the caller's is invalid.
func deadlineOf(h http.Header, limit time.Duration) (time.Duration, bool) {
	if limit == 0 {
		limit = DefaultDeadline
	}
	text := h.Get(HeaderDeadline)
	if text == "" {
		return limit, true
	}
	ms, err := strconv.ParseInt(text, 10, 32)
	if err != nil || ms <= 0 {
		return 0, false
	}
	return min(limit, time.Duration(ms)*time.Millisecond), true
}

// readBody reads the body before admission, so that a slow caller holds no slot.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request, v *serviceState) ([]byte, *Reply) {
	limit := s.cfg.Limits.MaxBody
	if v.MaxBody > 0 {
		limit = v.MaxBody
	}
	if r.ContentLength > limit {
		return nil, refused(reasonBodyTooLarge, 0)
	}
	// A body of unknown length reserves the maximum until it has been read.
	reserve := r.ContentLength
	if reserve < 0 {
		reserve = limit
	}
	if s.bodyBytes.Add(reserve) > s.cfg.Limits.MaxBodyMemory {
		s.bodyBytes.Add(-reserve)
		return nil, refused(reasonBodyMemoryFull, time.Second)
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(s.cfg.Limits.BodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	_ = control.SetReadDeadline(time.Time{})
	if err == nil {
		s.bodyBytes.Add(int64(len(body)) - reserve)
		return body, nil
	}
	s.bodyBytes.Add(-reserve)
	w.Header().Set("Connection", "close")
	if tooLarge := (*http.MaxBytesError)(nil); errors.As(err, &tooLarge) {
		return nil, refused(reasonBodyTooLarge, 0)
	}
	return nil, refused(reasonBodySlow, 0)
}

// serve processes an accepted request at this instance or forwards it.
func (s *Server) serve(ctx context.Context, c *Call, v *serviceState) *Reply {
	p := s.policyFor(v, c)
	// A key on an idempotent route needs no record, because the request may run again.
	// A spilled request needs none here, because the key's home has recorded it.
	if c.Key != "" && !p.idempotent && !c.Spilled {
		return s.serveKeyed(ctx, c, v, p)
	}
	return s.execute(ctx, c, v, p, func() bool { return s.permits(c, p) })
}

// execute sends a request to a target. If this instance owns no slots, it forwards the
// request to one that does; if that instance certainly did not receive it, this instance
// sends the request itself on a borrowed slot.
func (s *Server) execute(ctx context.Context, c *Call, v *serviceState, p routePolicy, maySend func() bool) *Reply {
	if len(v.slotOwners) > 0 && !c.Spilled {
		if !maySend() {
			return refused(string(dispatch.LeaseLapsed), time.Second)
		}
		next := *c
		next.Spilled = true
		next.Remaining = p.deadline - s.now()
		ctx, cancel := context.WithTimeout(ctx, next.Remaining)
		defer cancel()
		r, err := s.cfg.Peers.Dispatch(ctx, v.slotOwners[int(s.roundRobin.Add(1))%len(v.slotOwners)], &next)
		switch {
		case err == nil:
			return r
		case !errors.Is(err, ErrNotDelivered):
			s.count(string(dispatch.ConnectionLost))
			return unknown(string(dispatch.ConnectionLost))
		}
	}
	return v.scheduler.serve(ctx, p.job(c, maySend))
}

// HandleDispatch processes a request that another instance has forwarded.
func (s *Server) HandleDispatch(ctx context.Context, c *Call) *Reply {
	s.mu.RLock()
	v := s.byID[c.Service]
	s.mu.RUnlock()
	if !s.trackInFlight() {
		s.count(string(dispatch.ShuttingDown))
		return refused(string(dispatch.ShuttingDown), time.Second)
	}
	defer s.inFlight.Done()
	var refusal *Reply
	switch {
	case v == nil:
		refusal = refused(reasonHostUnknown, 0)
	case !s.permits(c, s.policyFor(v, c)):
		refusal = refused(string(dispatch.LeaseLapsed), time.Second)
	}
	if refusal != nil {
		s.count(refusal.Reason)
		return refusal
	}
	ctx, cancel := context.WithTimeout(ctx, c.Remaining)
	defer cancel()
	return s.serve(ctx, c, v)
}

// spillToRemote forwards a request to an instance in another zone.
func (s *Server) spillToRemote(ctx context.Context, svc service.ID, c *Call) *Reply {
	refs := s.cfg.Remote(svc)
	if len(refs) == 0 {
		return refused("", time.Second)
	}
	next := *c
	next.Spilled, next.Remaining = true, remaining(ctx)
	r, err := s.cfg.Peers.Dispatch(ctx, refs[int(s.roundRobin.Add(1))%len(refs)], &next)
	switch {
	case err == nil:
		return r
	case errors.Is(err, ErrNotDelivered):
		return refused("", time.Second)
	}
	return unknown(string(dispatch.ConnectionLost))
}

func (s *Server) issueToken(w http.ResponseWriter, r *http.Request) {
	if s.shuttingDown.Load() {
		s.count(string(dispatch.ShuttingDown))
		s.writeReply(w, r, refused(string(dispatch.ShuttingDown), time.Second))
		return
	}
	secret := s.tokenKey.Load()
	if secret == nil {
		s.count(string(dispatch.LeaseLapsed))
		s.writeReply(w, r, refused(string(dispatch.LeaseLapsed), time.Second))
		return
	}
	s.keys.mu.Lock()
	t := s.keys.store.IssueToken(s.now())
	s.keys.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(http.StatusCreated)
	_ = json.NewEncoder(w).Encode(map[string]string{"token": t.Encode(*secret)})
}

func remaining(ctx context.Context) time.Duration {
	if d, ok := ctx.Deadline(); ok {
		return time.Until(d)
	}
	return DefaultDeadline
}

// problemDetails is the response body for a request without an answer (RFC 9457).
type problemDetails struct {
	Type    string `json:"type"`
	Title   string `json:"title"`
	Status  int    `json:"status"`
	Reason  string `json:"reason"`
	Outcome string `json:"outcome"`
}

func (s *Server) writeReply(w http.ResponseWriter, r *http.Request, reply *Reply) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(s.cfg.Limits.WriteTimeout))
	if reply.Outcome == dispatch.Answered {
		writeAnswer(w, r, reply.Answer)
		return
	}
	status := statusOf(reply)
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	if reply.Outcome == dispatch.Refused {
		h.Set(HeaderNotRun, "true")
		if reply.RetryAfter > 0 {
			h.Set("Retry-After", strconv.Itoa(int(math.Ceil(reply.RetryAfter.Seconds()))))
		}
	}
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(problemDetails{
		Type: "about:blank", Title: title(reply), Status: status, Reason: reply.Reason, Outcome: reply.Outcome.String(),
	})
}

func title(r *Reply) string {
	text := strings.ReplaceAll(r.Reason, "_", " ")
	if r.Outcome == dispatch.Refused {
		return "Request not run: " + text
	}
	return "Outcome unknown: " + text
}

// writeAnswer sets Content-Length, so that the caller can detect truncation.
func writeAnswer(w http.ResponseWriter, r *http.Request, a *idempotency.Answer) {
	h := w.Header()
	for name, values := range a.Header {
		h[name] = append([]string(nil), values...)
	}
	if r.Method != http.MethodHead && a.Status != http.StatusNoContent && a.Status != http.StatusNotModified {
		h.Set("Content-Length", strconv.Itoa(len(a.Body)))
	}
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
}
