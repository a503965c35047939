package steering

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"guavaloom.example/guavaloom/internal/instance"
	"guavaloom.example/guavaloom/internal/zone"
)

// pinnedFlow opens a flow whose home and backup satisfy ok, drains its target, and
// sends packets until both hold the pin.
func pinnedFlow(t *testing.T, l *testCluster, targets int, ok func(home, backup instance.Ref) bool) *testFlow {
	for i := range 10000 {
		f := l.flow(i)
		home, backup := l.nodes[0].st.View().homes[0].holders(f.key.Hash())
		if !ok(home.ref, backup.ref) {
			continue
		}
		l.send(l.nodes[0], f)
		l.run(-1)
		l.stepAll(prepare(generation(2, targets, int(f.target))))
		l.stepAll(move)
		for range 2 {
			l.send(l.nodes[0], f)
			l.run(-1)
		}
		l.settle() // from here on the flow would reach another target without its pin
		must.NotEq(t, f.target, l.nodes[0].st.View().services[0].base[f.key.Hash()%251])
		return f
	}
	t.Fatal("no flow has a home and a backup that satisfy the condition")
	return nil
}

// Guards against a pin that is not transferred when two home sets follow each other
// before the older ones are dropped: the home of the first set is no holder of the
// next one and has removed the pin, so that the backup of the first set, which is
// the home now, has to transfer it.
func TestTransferAcrossTwoHomeSets(t *testing.T) {
	l := newTestCluster(t, 1, 6, 4)
	all := l.table.Homes[0].Members
	x, joiner := all[0], l.newNode()
	both := append(without(all, x), joiner.ref)
	f := pinnedFlow(t, l, 4, func(home, _ instance.Ref) bool {
		set := zone.Table{Homes: []zone.HomeSet{{Members: both}}, Roster: both}
		key := l.flows[len(l.flows)-1].key
		_, backup := NewView(&set, nil).holders(key.Hash())
		return home.Same(x) && backup.ref.Same(joiner.ref)
	})
	l.stepAll(newHomeSet(without(all, x)...))
	l.transferAll()
	l.step(func(t *zone.Table) { t.Roster = append(append([]instance.Ref(nil), t.Roster...), joiner.ref) })
	l.step(newHomeSet(both...))
	l.installAll()
	l.transferAll()
	l.stepAll(func(t *zone.Table) { t.Homes = t.Homes[:1] })
	home, _ := joiner.st.View().holders(f.key.Hash())
	l.kill(l.node(&home.ref, nil))
	l.suspect(l.node(&home.ref, nil))
	l.send(l.live()[1], f) // fails if the packet reaches another target
	l.run(-1)
}

// Guards against a backup that expires its copy after becoming the home: the packet
// that refreshes the copy can be lost, and the time of the packet before it is too
// old.
func TestCopyOutlivesPromotion(t *testing.T) {
	l := newTestCluster(t, 1, 4, 4)
	f := pinnedFlow(t, l, 4, func(home, backup instance.Ref) bool {
		return !home.Same(l.nodes[0].ref) && !backup.Same(l.nodes[0].ref)
	})
	home, _ := l.nodes[0].st.View().holders(f.key.Hash())
	l.now += testIdle * 8 / 10
	l.loss = 1
	l.handle(l.node(&home.ref, nil), l.node(&home.ref, nil).st.Packet(l.now, Packet{Key: f.key}), testMessage{flow: f})
	l.loss = 0
	l.handle(l.node(&home.ref, nil), l.node(&home.ref, nil).st.Packet(l.now, Packet{Key: f.key}), testMessage{flow: f})
	l.kill(l.node(&home.ref, nil))
	l.suspect(l.node(&home.ref, nil))
	l.now += testIdle * 7 / 10
	l.step(func(t *zone.Table) { t.Roster = without(t.Roster, home.ref) })
	l.step(newHomeSet(without(l.table.Homes[0].Members, home.ref)...))
	l.installAll()
	l.tick(time.Second)
	l.send(l.nodes[0], f) // fails if the packet reaches another target
	l.run(-1)
	must.Positive(t, f.got[f.target])
}
