package daemon

import (
	"context"
	"crypto/ed25519"
	"maps"
	"math/rand"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"guavaloom.example/guavaloom/internal/bundle"
	"guavaloom.example/guavaloom/internal/instance"
	"guavaloom.example/guavaloom/internal/logfield"
	"guavaloom.example/guavaloom/internal/membership"
	"guavaloom.example/guavaloom/internal/metric"
	"guavaloom.example/guavaloom/internal/objectstore"
	"guavaloom.example/guavaloom/internal/rollout"
	"guavaloom.example/guavaloom/internal/settings"
	"guavaloom.example/guavaloom/internal/zone"
)

// rolloutTick is the time between two ticks of the rollout.
const rolloutTick = 200 * time.Millisecond

// rolloutController drives the rollout of bundles. Its lock is taken before that of
// zoneController and never while that is held.
type rolloutController struct {
	d     *daemon
	store objectstore.Store
	base  context.Context // ends with the daemon
	calls sync.WaitGroup

	mu   sync.Mutex
	node *rollout.Node
	// seen holds the newest incarnation of each of the zone's instances that the
	// platform has listed, and gone those that it no longer lists.
	seen, gone map[instance.ID]instance.Ref
	bundle     *bundle.Bundle
	withheld   []bundle.AddressUse
	proposed   bool // the newest bundle and gone list have been proposed
}

func newRolloutController(base context.Context, d *daemon, rng *rand.Rand) *rolloutController {
	s := d.settings
	calls := rate.Limit(max(s.Platform.CallsPerSecond, 1))
	return &rolloutController{
		d: d, base: base,
		store: objectstore.New(objectstore.Config{URL: s.Platform.URL, Timeout: s.Platform.Timeout, Rate: calls, Burst: 4 * int(calls)}),
		node:  rollout.New(rollout.Config{Self: d.self, Policy: policyOf(s)}, rng),
		seen:  map[instance.ID]instance.Ref{}, gone: map[instance.ID]instance.Ref{},
	}
}

func policyOf(s *settings.Settings) bundle.Policy {
	p := bundle.Policy{Name: s.Bundle.Name, Threshold: s.Bundle.Threshold, Keys: map[bundle.KeyID]ed25519.PublicKey{}}
	for _, k := range s.Bundle.Keys {
		p.Keys[bundle.KeyIDOf(k)] = k
	}
	return p
}

func (r *rolloutController) call(f func(now time.Duration) []rollout.Action) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range f(r.d.now()) {
		r.do(a)
	}
	if !r.proposed {
		r.proposed = true
		r.d.health.setInputs(r.bundle, r.withheld, r.goneRefs())
	}
}

func (r *rolloutController) do(a rollout.Action) {
	switch a := a.(type) {
	case rollout.Send:
		r.d.send(a.To, a.Message)
	case rollout.StoreCall:
		r.storeCall(a.Call)
	case rollout.Adopt:
		r.d.log.WithField(logfield.Bundle, a.Bundle.Revision).Info("bundle adopted")
		r.bundle, r.withheld, r.proposed = a.Bundle, a.Withheld, false
		r.d.bundle.Store(a.Bundle)
	case rollout.Listed:
		r.listed(a.Instances)
	case rollout.Report:
		r.d.metrics.Counter(metric.RolloutReports, string(a.Reason)).Inc(1)
		r.d.log.WithField(logfield.Reason, a.Reason).WithField(logfield.Error, a.Detail).Warn("rollout problem")
	}
}

func (r *rolloutController) storeCall(c objectstore.Call) {
	r.calls.Go(func() {
		res := objectstore.Do(r.base, r.store, c)
		if r.base.Err() == nil {
			r.call(func(now time.Duration) []rollout.Action { return r.node.StoreResult(now, res) })
		}
	})
}

// listed processes the platform's list of instances. The list lags, so an instance
// counts as gone only if a former list had it or a later incarnation is listed.
func (r *rolloutController) listed(list []objectstore.Instance) {
	now := map[instance.ID]instance.Ref{}
	var refs []instance.Ref
	for _, i := range list {
		if i.Ref.Zone != r.d.self.Zone {
			continue
		}
		now[i.Ref.ID] = i.Ref
		if !i.Leaving {
			refs = append(refs, i.Ref)
		}
	}
	for id, old := range r.seen {
		if cur, found := now[id]; !found || cur.Incarnation > old.Incarnation {
			r.gone[id] = old
		}
	}
	for id, cur := range now {
		r.seen[id] = cur
		if old, found := r.gone[id]; found && old.Same(cur) {
			delete(r.gone, id) // listed again: the former list was wrong
		}
	}
	for id := range r.gone {
		if _, found := now[id]; !found {
			delete(r.seen, id)
		}
	}
	r.proposed = false
	r.d.zone.setListed(refs, now, maps.Clone(r.gone))
}

func (r *rolloutController) goneRefs() []instance.Ref {
	var refs []instance.Ref
	for _, g := range r.gone {
		refs = append(refs, g)
	}
	slices.SortFunc(refs, instance.Ref.Compare)
	return refs
}

func (r *rolloutController) receive(from instance.Ref, m rollout.Message) {
	r.call(func(now time.Duration) []rollout.Action { return r.node.Receive(now, from, m) })
}

// tick passes the state of the zone and of the table in force to the rollout node,
// then advances its time.
func (r *rolloutController) tick() {
	view := r.d.zone.view()
	view.Remote = remotes(r.d.settings)
	t := r.d.table.Load()
	local := rollout.LocalState{Uses: usesOf(t)}
	if t != nil {
		local.Table = t.Bundle
	}
	r.call(func(now time.Duration) []rollout.Action {
		return slices.Concat(r.node.SetView(now, view), r.node.SetLocal(now, local), r.node.Tick(now))
	})
}

// view returns the state of the zone that the rollout needs.
func (z *zoneController) view() rollout.View {
	v := rollout.View{NotGone: z.notGone()}
	z.mu.Lock()
	defer z.mu.Unlock()
	v.Leader, _ = z.node.Leader()
	v.Lapsed = z.possiblyIsolated(z.d.now())
	if t := z.node.Table(); t != nil {
		for _, r := range t.Roster {
			if !slices.ContainsFunc(z.suspects, r.Same) {
				v.Members = append(v.Members, r)
			}
		}
	}
	if !slices.ContainsFunc(v.Members, z.d.self.Same) {
		v.Members = append(v.Members, z.d.self)
	}
	return v
}

// remotes returns the configured instances of other zones.
func remotes(s *settings.Settings) map[string][]instance.Ref {
	all := map[string][]instance.Ref{}
	for _, p := range s.Peers {
		all[p.Zone] = append(all[p.Zone], instance.Ref{ID: p.ID, Zone: p.Zone, Control: p.Control})
	}
	return all
}

// setListed records the platform's list: the zone's instances that are not leaving,
// all of its instances by ID, and those that only an earlier list had.
func (z *zoneController) setListed(live []instance.Ref, all, gone map[instance.ID]instance.Ref) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.node.SetListed(live)
	z.listed, z.gone = all, gone
}

func (z *zoneController) transfersDone(number uint32) {
	if t := z.d.table.Load(); t == nil || len(t.Homes) < 2 {
		return // nothing is being transferred
	}
	z.call(func(now time.Duration) []membership.Action { return z.node.TransfersDone(now, number) })
}

func (z *zoneController) report(r []zone.TouchedReport) {
	z.call(func(now time.Duration) []membership.Action { return z.node.ReportTouched(now, r) })
}
