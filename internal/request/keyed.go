package request

import (
	"context"
	"crypto/sha256"
	"math/rand"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"guavaloom.example/guavaloom/internal/dispatch"
	"guavaloom.example/guavaloom/internal/idempotency"
	"guavaloom.example/guavaloom/internal/instance"
	"guavaloom.example/guavaloom/internal/zone"
)

// keyRecords synchronizes access to the idempotency records of this instance.
type keyRecords struct {
	now func() time.Duration
	mu  sync.Mutex
	// store is guarded by mu, which is never held during I/O.
	store *idempotency.KeyStore
	// done holds a channel for each key in flight here; it is closed when the request ends.
	done map[idempotency.Key]chan struct{}
}

// fingerprint returns a hash that detects the use of one key for different requests.
// It excludes header fields, since proxies between caller and instance can change them.
func fingerprint(c *Call) idempotency.Fingerprint {
	h := sha256.New()
	for _, part := range []string{c.Method, c.Host, c.Target} {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	h.Write(c.Body)
	return idempotency.Fingerprint(h.Sum(nil)[:16])
}

func (k *keyRecords) begin(s *Server, c *Call, key idempotency.Key, p routePolicy) (idempotency.Verdict, chan struct{}) {
	fp := fingerprint(c)
	k.mu.Lock()
	defer k.mu.Unlock()
	permitted := s.permits(c, p)
	var v idempotency.Verdict
	if strings.HasPrefix(c.Key, idempotency.TokenPrefix) {
		secret := s.tokenKey.Load()
		if secret == nil {
			return k.store.RefuseToken(), nil
		}
		t, err := idempotency.ParseToken(*secret, c.Key)
		if err != nil {
			return k.store.RefuseToken(), nil
		}
		v = k.store.BeginToken(k.now(), t, key, fp, permitted)
	} else {
		v = k.store.Begin(k.now(), key, fp, permitted)
	}
	if v.Kind == idempotency.Run {
		k.done[key] = make(chan struct{})
	}
	return v, k.done[key]
}

func (k *keyRecords) recordOutcome(key idempotency.Key, r *Reply) {
	k.mu.Lock()
	defer k.mu.Unlock()
	switch r.Outcome {
	case dispatch.Answered:
		k.store.Answered(key, r.Answer)
	case dispatch.Refused:
		k.store.NotRun(key)
	default:
		k.store.OutcomeUnknown(key)
	}
	close(k.done[key])
	delete(k.done, key)
}

// maxRounds bounds how often the record of a key is looked up for one request. The lookup
// is repeated after waiting for a request in flight, after querying former homes and after
// a change of the home.
const maxRounds = 8

// maxHops bounds how often a request is forwarded: to the key's zone, to its home, and
// once more if the home has just moved.
const maxHops = 3

// serveKeyed executes a request with a key at most once and returns its outcome.
func (s *Server) serveKeyed(ctx context.Context, c *Call, svc *serviceState, policy routePolicy) *Reply {
	key := idempotency.Key{Service: c.Service, Value: c.Key}
	if r := s.forwardToKeyZone(ctx, c, key, svc); r != nil {
		return r
	}
	for range maxRounds {
		v, ended := s.keys.begin(s, c, key, policy)
		switch v.Kind {
		case idempotency.Run:
			return s.runKeyed(ctx, c, key, svc, policy)
		case idempotency.Replay:
			return answered(v.Answer)
		case idempotency.Wait:
			select {
			case <-ended:
			case <-ctx.Done():
				s.count(string(idempotency.InFlight))
				return unknown(string(idempotency.InFlight))
			}
		case idempotency.Forward:
			return s.forwardCall(ctx, c, v.Home)
		case idempotency.QueryFormer:
			if !s.queryFormerHomes(ctx, key, v) {
				s.count(string(idempotency.HomeUnreachable))
				return refused(string(idempotency.HomeUnreachable), time.Second)
			}
		case idempotency.Unknown:
			return unknown(string(v.Reason))
		default:
			return refused(string(v.Reason), retryHint(v.Reason))
		}
	}
	s.count(reasonKeyHomeMoving)
	return refused(reasonKeyHomeMoving, time.Second)
}

// retryHint returns the Retry-After of a refusal for a temporary reason, or 0.
func retryHint(r idempotency.Reason) time.Duration {
	switch r {
	case idempotency.Unleased, idempotency.Leaving, idempotency.NotHome, idempotency.HomeUnreachable:
		return time.Second
	case idempotency.TableFull:
		return time.Minute
	}
	return 0
}

// runKeyed executes a request whose key has been recorded. The execution continues if the
// caller disconnects, so that a repeated request gets its answer.
func (s *Server) runKeyed(ctx context.Context, c *Call, key idempotency.Key, svc *serviceState, policy routePolicy) *Reply {
	maySend := func() bool {
		s.keys.mu.Lock()
		defer s.keys.mu.Unlock()
		return s.keys.store.ConfirmSend(s.now(), key, s.permits(c, policy))
	}
	if !s.trackInFlight() {
		r := refused(string(dispatch.ShuttingDown), time.Second)
		s.keys.recordOutcome(key, r)
		return r
	}
	end := make(chan *Reply, 1)
	go func() {
		defer s.inFlight.Done()
		r := s.execute(context.WithoutCancel(ctx), c, svc, policy, maySend)
		s.keys.recordOutcome(key, r)
		end <- r
	}()
	select {
	case r := <-end:
		return r
	case <-ctx.Done():
		return unknown(string(dispatch.CallerDisconnected))
	}
}

// forwardToKeyZone forwards a request to the zone of its key. It returns nil if that is
// this zone or if the key is a token.
func (s *Server) forwardToKeyZone(ctx context.Context, c *Call, key idempotency.Key, svc *serviceState) *Reply {
	if strings.HasPrefix(c.Key, idempotency.TokenPrefix) {
		return nil
	}
	home := idempotency.ZoneOf(key, svc.zones)
	if home == "" || home == s.cfg.Self.Zone {
		return nil
	}
	var there []instance.Ref
	for _, r := range s.cfg.Remote(c.Service) {
		if r.Zone == home {
			there = append(there, r)
		}
	}
	if len(there) == 0 {
		s.count(string(idempotency.HomeUnreachable))
		return refused(string(idempotency.HomeUnreachable), time.Second)
	}
	return s.forwardCall(ctx, c, there[rand.Intn(len(there))])
}

// forwardCall forwards a request to another instance.
func (s *Server) forwardCall(ctx context.Context, c *Call, to instance.Ref) *Reply {
	if c.Hops >= maxHops {
		s.count(reasonKeyHomeMoving)
		return refused(reasonKeyHomeMoving, time.Second)
	}
	next := *c
	next.Hops++
	next.Remaining = remaining(ctx)
	r, err := s.cfg.Peers.Dispatch(ctx, to, &next)
	switch {
	case err == nil:
		return r
	case errors.Is(err, ErrNotDelivered):
		s.count(string(idempotency.HomeUnreachable))
		return refused(string(idempotency.HomeUnreachable), time.Second)
	}
	s.count(string(dispatch.ConnectionLost))
	return unknown(string(dispatch.ConnectionLost))
}

// queryFormerHomes queries the former homes of a key, and further ones named in their replies,
// for the key's record. It reports whether all of them replied.
func (s *Server) queryFormerHomes(ctx context.Context, key idempotency.Key, v idempotency.Verdict) bool {
	var asked []instance.Ref
	var replies []idempotency.KeyQueryReply
	for ask := v.Former; len(ask) > 0; {
		for _, to := range ask {
			r, err := s.cfg.Peers.QueryKey(ctx, to, idempotency.KeyQuery{Key: key, HomeSet: v.HomeSet})
			if err != nil {
				return false
			}
			asked, replies = append(asked, to), append(replies, r)
		}
		s.keys.mu.Lock()
		ask = s.keys.store.ApplyReplies(s.now(), key, v.HomeSet, asked, replies)
		s.keys.mu.Unlock()
	}
	return true
}

// HandleKeyQuery answers the query of an instance that has become the home of a key.
func (s *Server) HandleKeyQuery(a idempotency.KeyQuery) idempotency.KeyQueryReply {
	s.keys.mu.Lock()
	defer s.keys.mu.Unlock()
	return s.keys.store.HandleQuery(s.now(), a)
}

// HandleHandover stores records from a former home. It returns false if they are
// addressed to another incarnation of this instance.
func (s *Server) HandleHandover(h idempotency.Handover) bool {
	s.keys.mu.Lock()
	defer s.keys.mu.Unlock()
	return s.keys.store.Import(s.now(), h)
}

// handoverAnswerBytes bounds the total size of the answers in one handover. Records
// beyond it are handed over without their answers.
const handoverAnswerBytes = 512 << 10

// handOverKeys sends the records whose home under set is another instance to that
// instance. It returns the first error. A home that did not receive its records treats
// them as lost.
func (s *Server) handOverKeys(ctx context.Context, set zone.HomeSet) error {
	s.keys.mu.Lock()
	out := s.keys.store.Export(s.now(), set, handoverAnswerBytes)
	s.keys.mu.Unlock()
	var first error
	for _, h := range out {
		if err := s.cfg.Peers.Handover(ctx, h.To, h); err != nil && first == nil {
			first = errors.Wrapf(err, "hand over keys to %s", h.To)
		}
	}
	return first
}
