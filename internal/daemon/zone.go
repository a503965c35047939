package daemon

import (
	"maps"
	"math/rand"
	"net/netip"
	"slices"
	"sync"
	"time"

	"guavaloom.example/guavaloom/internal/instance"
	"guavaloom.example/guavaloom/internal/isolation"
	"guavaloom.example/guavaloom/internal/logfield"
	"guavaloom.example/guavaloom/internal/membership"
	"guavaloom.example/guavaloom/internal/metric"
	"guavaloom.example/guavaloom/internal/settings"
	"guavaloom.example/guavaloom/internal/zone"
)

const (
	// zoneTick is the interval of zone protocol ticks.
	zoneTick = 100 * time.Millisecond
	// relayRefusalTimeout is how long an instance whose relay port refused a packet counts
	// as suspected. After it packets are sent there again, since a refusal can be forged.
	relayRefusalTimeout = time.Second
)

// listLag is how long the platform's list may lack an incarnation that the zone
// already knows. A former member that is not listed after that counts as gone. This
// decides only what the zone's status waits for, not who may steer.
const listLag = 20 * time.Second

// zoneController drives the zone protocol. All calls of the membership node and its
// actions run under mu, so that tables are installed in order and before the messages that
// acknowledge them are sent.
type zoneController struct {
	d    *daemon
	mu   sync.Mutex
	node *membership.Node
	// absent holds members that left the roster by a lapsed lease and that the
	// platform has not reported as gone: they may still steer.
	absent map[instance.ID]instance.Ref
	known  map[instance.ID]knownRun // members with the time at which this instance first saw them
	// listed is the newest list of the platform by instance ID, nil before the first,
	// and gone holds the instances that only an earlier list had.
	listed, gone map[instance.ID]instance.Ref
	isolation    isolation.Detector
	// lapsed holds the same incarnations as absent with the time at which they left the
	// roster. Entries stay for isolation.ReleaseHold, whatever the platform reports.
	lapsed    map[instance.Ref]time.Duration
	suspects  []instance.Ref
	committed zone.Version
	left      chan struct{} // closed once the instance has left the zone

	refusedMu sync.Mutex // taken last
	refused   map[netip.AddrPort]time.Duration
}

type knownRun struct {
	incarnation instance.Incarnation
	at          time.Duration
}

func newZoneController(d *daemon, rng *rand.Rand) *zoneController {
	cfg := membership.Config{Zone: d.self.Zone, Seeds: zoneSeeds(d.settings)}
	return &zoneController{d: d, node: membership.New(cfg, d.self, rng), absent: map[instance.ID]instance.Ref{}, known: map[instance.ID]knownRun{},
		lapsed: map[instance.Ref]time.Duration{}, left: make(chan struct{}), refused: map[netip.AddrPort]time.Duration{}}
}

// zoneSeeds returns the configured instances of the zone, this one included: the
// list must be the same at all of them.
func zoneSeeds(s *settings.Settings) []membership.Seed {
	seeds := []membership.Seed{{ID: s.Instance, Control: s.Listen.Control}}
	for _, o := range s.Seeds {
		seeds = append(seeds, membership.Seed{ID: o.ID, Control: o.Control})
	}
	slices.SortFunc(seeds, func(a, b membership.Seed) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return seeds
}

// call runs f and executes the actions that it returns.
func (z *zoneController) call(f func(now time.Duration) []membership.Action) {
	z.mu.Lock()
	defer z.mu.Unlock()
	now := z.d.now()
	for _, a := range f(now) {
		z.do(now, a)
	}
	z.publish()
}

func (z *zoneController) do(now time.Duration, a membership.Action) {
	switch a := a.(type) {
	case membership.Send:
		z.d.send(a.To, zoneMessage{Run: a.To.Incarnation, Message: a.Message})
	case membership.Install:
		z.trackRoster(a.Table)
		z.d.steerer.Install(now, a.Table)
		z.d.table.Store(a.Table)
		z.d.installs.offer(a.Table)
	case membership.Deliver:
		z.d.health.deliver(a.From, a.Payload)
	case membership.Event:
		z.recordEvent(a)
	}
}

// publish passes the committed version, the suspects and the lease to steering. The
// lease comes last: a table without this instance is installed before its lease could count.
func (z *zoneController) publish() {
	now := z.d.now()
	if v := z.node.Committed(); v != z.committed {
		z.committed = v
		z.d.steerer.SetCommitted(v)
	}
	suspects := append(z.node.Suspects(), z.refusing(now)...)
	if !slices.EqualFunc(suspects, z.suspects, instance.Ref.Same) {
		z.suspects = suspects
		z.d.steerer.SetSuspects(suspects)
	}
	end := time.Duration(0)
	if z.node.Leased(now) {
		end = z.node.LeaseEnd(now)
	}
	// Steering allows packets up to and including the end of the lease.
	z.d.steerer.SetLease(end - 1)
	z.d.leaseEnd.Store(int64(end))
}

func (z *zoneController) recordEvent(e membership.Event) {
	z.d.metrics.Counter(metric.ZoneEvents, string(e.Kind)).Inc(1)
	log := z.d.log.WithField(logfield.Version, e.Version).WithField(logfield.Peer, e.Subject.ID)
	switch e.Kind {
	case membership.EventStep, membership.EventCommitted:
		log.Debug("zone: " + string(e.Kind))
	default:
		log.Info("zone: " + string(e.Kind))
	}
	switch e.Kind {
	case membership.EventLeft:
		select {
		case <-z.left:
		default:
			close(z.left)
		}
	case membership.EventMemberLapsed:
		z.recordLapse(e.Subject)
	}
}

// trackRoster records members that drop out of the roster while they are suspected,
// which a gracefully leaving member never is, and forgets those that have rejoined.
func (z *zoneController) trackRoster(next *zone.Table) {
	if prev := z.d.table.Load(); prev != nil {
		for _, r := range prev.Roster {
			if !slices.ContainsFunc(next.Roster, r.Same) && slices.ContainsFunc(z.suspects, r.Same) {
				z.recordLapse(r)
			}
		}
	}
	maps.DeleteFunc(z.known, func(id instance.ID, k knownRun) bool {
		_, kept := z.absent[id]
		return !kept && !slices.ContainsFunc(next.Roster, func(r instance.Ref) bool { return r.ID == id })
	})
	for _, r := range next.Roster {
		if z.known[r.ID].incarnation != r.Incarnation {
			z.known[r.ID] = knownRun{r.Incarnation, z.d.now()}
		}
		maps.DeleteFunc(z.lapsed, func(l instance.Ref, _ time.Duration) bool { return l.Same(r) })
	}
	for id, r := range z.absent {
		if slices.ContainsFunc(next.Roster, func(o instance.Ref) bool { return o.ID == id && o.Incarnation >= r.Incarnation }) {
			delete(z.absent, id)
		}
	}
}

// isGone reports whether the platform shows that a former member is gone.
func (z *zoneController) isGone(r instance.Ref) bool {
	if g, found := z.gone[r.ID]; found && g.Incarnation >= r.Incarnation {
		return true
	}
	listed, found := z.listed[r.ID]
	if found {
		return listed.Incarnation > r.Incarnation
	}
	return z.listed != nil && z.d.now() >= z.known[r.ID].at+listLag
}

// notGone returns the members and the former members that may still steer.
func (z *zoneController) notGone() []instance.Ref {
	z.mu.Lock()
	defer z.mu.Unlock()
	for id, r := range z.absent {
		if z.isGone(r) {
			delete(z.absent, id)
		}
	}
	var refs []instance.Ref
	if t := z.node.Table(); t != nil {
		refs = slices.Clone(t.Roster)
	}
	for _, r := range z.absent {
		if !slices.ContainsFunc(refs, r.Same) {
			refs = append(refs, r)
		}
	}
	return refs
}

func (z *zoneController) receive(from instance.Ref, m membership.Message) {
	z.call(func(now time.Duration) []membership.Action { return z.node.Receive(now, from, m) })
}

func (z *zoneController) tick() {
	z.call(z.node.Tick)
	z.detectIsolation()
}

func (z *zoneController) propose(w zone.Desired) {
	z.call(func(now time.Duration) []membership.Action { return z.node.Propose(now, w) })
}

// leave starts the departure from the zone.
func (z *zoneController) leave() { z.call(z.node.Leave) }

// leader returns the leader that this instance follows or is.
func (z *zoneController) leader() (instance.Ref, bool) {
	z.mu.Lock()
	defer z.mu.Unlock()
	return z.node.Leader()
}

// relayRefused records the time at which relay ports refused a packet.
func (z *zoneController) relayRefused(addrs []netip.AddrPort) {
	z.refusedMu.Lock()
	defer z.refusedMu.Unlock()
	now := z.d.now()
	for _, a := range addrs {
		z.refused[netip.AddrPortFrom(a.Addr().Unmap(), a.Port())] = now
	}
}

// refusing returns the members whose relay port refused a packet recently.
func (z *zoneController) refusing(now time.Duration) []instance.Ref {
	z.refusedMu.Lock()
	defer z.refusedMu.Unlock()
	if len(z.refused) == 0 {
		return nil
	}
	var refs []instance.Ref
	if t := z.node.Table(); t != nil {
		for _, r := range t.Roster {
			if at, found := z.refused[r.Relay]; found && now < at+relayRefusalTimeout && !r.Same(z.d.self) {
				refs = append(refs, r)
			}
		}
	}
	for a, at := range z.refused {
		if now >= at+relayRefusalTimeout {
			delete(z.refused, a)
		}
	}
	return refs
}
