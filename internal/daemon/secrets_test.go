package daemon

import (
	"testing"

	"github.com/shoenig/test/must"

	"guavaloom.example/guavaloom/internal/instance"
	"guavaloom.example/guavaloom/internal/request"
	"guavaloom.example/guavaloom/internal/steering"
)

// newSecrets returns the controller of an instance that has the given secrets.
func newSecrets(id instance.ID, s zoneSecrets) *secretsController {
	ref := instance.Ref{ID: id, Incarnation: 1}
	d := &daemon{self: ref, steerer: steering.New(steering.Config{Shards: 1, PinLimit: 1}, ref), request: &request.Server{}}
	p := &secretsController{d: d}
	if s.Cookie != 0 {
		p.adopt(s)
	}
	return p
}

// Guards against a zone whose relayed packets are refused after its leader died: a
// new leader without secrets must adopt those of the members instead of generating
// others, and pass them on.
func TestSecretsOutliveTheLeader(t *testing.T) {
	old := generateSecrets()
	must.Positive(t, old.Cookie)
	leader := newSecrets("a2", zoneSecrets{})
	leader.leadingSince = 1
	must.Nil(t, leader.handleOffer(secretsOffer{}), must.Sprint("no member has offered secrets yet"))
	must.Eq[any](t, secretsGrant{old}, leader.handleOffer(secretsOffer{old}))
	must.Eq[any](t, secretsGrant{old}, leader.handleOffer(secretsOffer{}))
	must.Eq[any](t, secretsGrant{old}, leader.handleOffer(secretsOffer{generateSecrets()}), must.Sprint("the leader's secrets take precedence"))
	must.Nil(t, newSecrets("a3", old).handleOffer(secretsOffer{}), must.Sprint("a member grants nothing"))
}
