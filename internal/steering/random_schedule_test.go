package steering

import (
	"math/rand"
	"testing"
	"time"

	"guavaloom.example/guavaloom/internal/instance"
	"guavaloom.example/guavaloom/internal/zone"
)

// schedule drives a test cluster through random table versions while members are up to
// one version apart.
type schedule struct {
	*testCluster
	outdated []*testNode // members that have not installed the newest version
	leaving  *testNode
	dead     *testNode // failed and still in the roster
	fault    bool      // a failure or false suspicion after which some pins have no copy yet
	gen      uint32
	opened   int
	prepare  time.Duration
	moved    time.Duration
}

// TestRandomSchedules guards against packets of one open flow reaching different
// targets, with loss, duplicates, reordering, members one version apart and one
// instance failure at a time.
func TestRandomSchedules(t *testing.T) {
	rounds, seeds := 200, 60
	if testing.Short() {
		seeds = 10
	}
	for seed := range seeds {
		runSchedule(t, int64(seed), rounds)
	}
}

func runSchedule(t *testing.T, seed int64, rounds int) {
	l := newTestCluster(t, seed, 4, 5)
	s := &schedule{testCluster: l, gen: 1}
	defer func() {
		if t.Failed() {
			t.Logf("seed %d", seed)
		}
	}()
	for i := range 150 {
		l.flow(i)
	}
	l.dup = 0.05
	for range rounds {
		l.loss = 0.1 * l.rng.Float64()
		for range 20 {
			l.send(l.randomNode(), l.flows[l.rng.Intn(len(l.flows))])
			l.run(l.rng.Intn(4))
		}
		s.openSome(8)
		s.advance()
		l.tick(200 * time.Millisecond)
	}
}

// openSome replaces n flows by new ones, whose first packets arrive in random order
// at random members, which may have different table versions.
func (s *schedule) openSome(n int) {
	var fresh []*testFlow
	for range n {
		s.opened++
		i := s.rng.Intn(len(s.flows))
		s.flows[i] = s.flows[len(s.flows)-1]
		s.flows = s.flows[:len(s.flows)-1]
		fresh = append(fresh, s.flow(1000+s.opened))
	}
	for range 6 * n {
		s.send(s.randomNode(), fresh[s.rng.Intn(n)])
		s.run(s.rng.Intn(6))
	}
}

// advance installs the newest version on an outdated member, and creates the next
// version once no member is outdated.
func (s *schedule) advance() {
	for i, n := range s.outdated {
		if n.dead || s.rng.Intn(2) == 0 {
			if !n.dead {
				n.st.Install(s.now, s.table)
			}
			s.outdated = append(s.outdated[:i:i], s.outdated[i+1:]...)
			break
		}
	}
	if len(s.outdated) > 0 {
		return
	}
	s.installAll()
	s.nextStep()
	s.outdated = s.live()
	s.rng.Shuffle(len(s.outdated), func(i, j int) { s.outdated[i], s.outdated[j] = s.outdated[j], s.outdated[i] })
}

func (s *schedule) transfersDone() bool {
	for _, n := range s.live() {
		if n.st.TransferredHomeSet() != s.table.Homes[0].Number {
			return false
		}
	}
	return true
}

func (s *schedule) nextStep() {
	if s.transfersDone() && len(s.table.Homes) > 1 {
		s.step(func(t *zone.Table) { t.Homes = t.Homes[:1] })
		return
	}
	if s.fault && s.dead == nil && s.transfersDone() && len(s.table.Homes) == 1 {
		s.fault = false
		s.unsuspect()
	}
	if s.rng.Intn(3) > 0 {
		s.serviceStep()
		return
	}
	s.memberStep()
}

func (s *schedule) serviceStep() {
	svc := &s.table.Services[0]
	switch {
	case svc.Phase == zone.Prepare && s.now-s.prepare > time.Second:
		// The prepare phase lasts longer than a packet is in transit.
		s.run(-1)
		s.step(move)
		s.moved = s.now
	case svc.Phase == zone.Prepare:
	case svc.Phase == zone.Move && s.rng.Intn(3) == 0 && !s.fault:
		s.settleAfterIdleTimeout()
	case svc.Phase == zone.Stable && svc.Touched.Count() > 0 && s.rng.Intn(2) == 0:
		s.step(s.settleTouched)
	default:
		s.gen++
		s.step(prepare(generation(s.gen, 5, s.rng.Intn(5), s.rng.Intn(5))))
		s.prepare = s.now
	}
}

// settleAfterIdleTimeout lets an idle timeout pass, in which every open flow has
// packets, and then settles Base.
func (s *schedule) settleAfterIdleTimeout() {
	s.run(-1)
	s.loss = 0
	s.sendAll() // completes handshakes, which take less than halfOpenTimeout
	for range 5 {
		s.sendAll()
		s.tick(testIdle / 4)
	}
	s.sendAll()
	s.step(s.settleBase)
}

func (s *schedule) memberStep() {
	members := s.table.Homes[0].Members
	room := len(s.table.Homes) < zone.MaxHomeSets
	switch {
	case s.dead != nil:
		d := s.dead.ref
		s.dead = nil
		s.step(func(t *zone.Table) {
			t.Roster = without(t.Roster, d)
			newHomeSet(without(members, d)...)(t)
		})
	case s.leaving != nil:
		if s.leaving.st.TransferredHomeSet() == s.table.Homes[0].Number {
			s.leaving.dead = true
			r := s.leaving.ref
			s.leaving = nil
			s.step(func(t *zone.Table) { t.Roster = without(t.Roster, r) })
		}
	case room && len(members) < 6 && s.rng.Intn(2) == 0:
		n := s.newNode()
		s.step(func(t *zone.Table) {
			t.Roster = append(append([]instance.Ref(nil), t.Roster...), n.ref)
			newHomeSet(append(append([]instance.Ref(nil), members...), n.ref)...)(t)
		})
	case room && len(members) > 3:
		n := s.node(&members[s.rng.Intn(len(members))], nil)
		s.removeOrSuspect(n, members)
	}
}

func (s *schedule) removeOrSuspect(n *testNode, members []instance.Ref) {
	switch kind := s.rng.Intn(3); {
	case kind == 0:
		s.leaving = n
		s.step(newHomeSet(without(members, n.ref)...))
	case s.fault:
	case kind == 1:
		s.fault, s.dead = true, n
		s.kill(n)
		s.suspect(n)
	default:
		s.fault = true
		for _, o := range s.nodes {
			if rand.New(rand.NewSource(s.rng.Int63())).Intn(2) == 0 {
				o.st.SetSuspects([]instance.Ref{n.ref})
			}
		}
	}
}
