package daemon

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"guavaloom.example/guavaloom/internal/instance"
)

// Guards against a zone status that waits forever for a killed member: a leader
// without an earlier list of the platform must still detect that the member is gone.
// It also guards against a live member that counts as gone because the list lags.
func TestLapsedMemberIsGone(t *testing.T) {
	ref := func(inc instance.Incarnation) instance.Ref { return instance.Ref{ID: "a2", Incarnation: inc} }
	list := func(refs ...instance.Ref) map[instance.ID]instance.Ref {
		m := map[instance.ID]instance.Ref{}
		for _, r := range refs {
			m[r.ID] = r
		}
		return m
	}
	for _, c := range []struct {
		name         string
		listed, gone map[instance.ID]instance.Ref
		known        time.Duration // how long the zone has known the incarnation
		want         bool
	}{
		{"no list yet", nil, nil, time.Hour, false},
		{"listed", list(ref(5)), nil, time.Hour, false},
		{"a later run is listed", list(ref(6)), nil, 0, true},
		{"an earlier run is listed", list(ref(4)), nil, time.Hour, false},
		{"not listed, known for long", list(), nil, listLag, true},
		{"not listed, known for a short time", list(), nil, listLag / 2, false},
		{"an earlier list had it", list(), list(ref(5)), 0, true},
		{"an earlier list had the run before", list(), list(ref(4)), 0, false},
	} {
		d := &daemon{start: time.Now().Add(-time.Hour)}
		z := &zoneController{d: d, listed: c.listed, gone: c.gone,
			known: map[instance.ID]knownRun{"a2": {5, d.now() - c.known}}}
		must.Eq(t, c.want, z.isGone(ref(5)), must.Sprint(c.name))
	}
}
