package daemon

import (
	"crypto/rand"
	"encoding/binary"
	"sync"
	"time"

	"guavaloom.example/guavaloom/internal/instance"
)

const (
	// secretsInterval is the interval of offers to the leader.
	secretsInterval = time.Second
	// secretsWait is how long a leader without secrets waits for the offer of a
	// member that knows them: an offer is repeated every second.
	secretsWait = 2500 * time.Millisecond
	tokenKeyLen = 32
)

// zoneSecrets are random values that all instances of a zone share.
type zoneSecrets struct {
	// Cookie marks relayed packets; 0 means that it is not known.
	Cookie uint64 `cbor:"1,keyasint"`
	// TokenKey authenticates idempotency tokens.
	TokenKey []byte `cbor:"2,keyasint"`
}

// secretsOffer sends a member's secrets, if any, to the leader and requests the leader's.
type secretsOffer struct {
	Secrets zoneSecrets `cbor:"1,keyasint"`
}

// secretsGrant answers an offer with the secrets that the leader uses.
type secretsGrant struct {
	Secrets zoneSecrets `cbor:"1,keyasint"`
}

// secretsController makes all instances of the zone use the leader's secrets. A leader
// without secrets adopts the first that a member offers, and generates them if no
// member has any. Secrets are kept in memory only.
type secretsController struct {
	d            *daemon
	mu           sync.Mutex
	secrets      zoneSecrets
	confirmed    instance.Ref  // leader whose secrets these are
	leadingSince time.Duration // since when this instance leads; 0 if it does not
	nextOffer    time.Duration
}

// known reports whether the secrets are known.
func (p *secretsController) known() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.secrets.Cookie != 0
}

// tick offers the secrets to a new leader, or generates them as leader.
func (p *secretsController) tick(now time.Duration) {
	leader, ok := p.d.zone.leader()
	p.mu.Lock()
	defer p.mu.Unlock()
	if !ok || !leader.Same(p.d.self) {
		p.leadingSince = 0
		if ok && !p.confirmed.Same(leader) && now >= p.nextOffer {
			p.nextOffer = now + secretsInterval
			p.d.send(leader, secretsOffer{p.secrets})
		}
		return
	}
	p.confirmed = leader
	if p.leadingSince == 0 {
		p.leadingSince = now
	}
	if p.secrets.Cookie == 0 && now >= p.leadingSince+secretsWait {
		p.adopt(generateSecrets())
	}
}

func generateSecrets() zoneSecrets {
	var cookie [8]byte
	s := zoneSecrets{TokenKey: make([]byte, tokenKeyLen)}
	for s.Cookie == 0 {
		_, _ = rand.Read(cookie[:]) // never fails
		s.Cookie = binary.BigEndian.Uint64(cookie[:])
	}
	_, _ = rand.Read(s.TokenKey)
	return s
}

func (p *secretsController) adopt(s zoneSecrets) {
	p.secrets = s
	p.d.steerer.SetCookie(s.Cookie)
	p.d.request.SetTokenKey(s.TokenKey)
}

// handleOffer answers a member with a grant. It returns nil if this instance does not
// lead or has no secrets.
func (p *secretsController) handleOffer(o secretsOffer) any {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.leadingSince == 0 {
		return nil
	}
	if p.secrets.Cookie == 0 && o.Secrets.Cookie != 0 {
		p.adopt(o.Secrets)
	}
	if p.secrets.Cookie == 0 {
		return nil
	}
	return secretsGrant{p.secrets}
}

// handleGrant adopts the secrets of the leader.
func (p *secretsController) handleGrant(from instance.Ref, g secretsGrant) {
	leader, ok := p.d.zone.leader()
	if !ok || !leader.Same(from) || g.Secrets.Cookie == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.confirmed = from
	if p.secrets.Cookie != g.Secrets.Cookie {
		p.adopt(g.Secrets)
	}
}
