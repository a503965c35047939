package admission

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"guavaloom.example/guavaloom/internal/instance"
	"guavaloom.example/guavaloom/internal/service"
	"guavaloom.example/guavaloom/internal/target"
)

func testTargets(n, slots int) (targets []Target) {
	for i := range n {
		targets = append(targets, Target{ID: target.ID(fmt.Sprint(i)), State: target.Active, Slots: slots, Owned: slots, BulkOwned: slots - 1})
	}
	return targets
}

// Guards against an uneven assignment, and against slots that no instance or several
// instances own.
func TestAssignIsBalanced(t *testing.T) {
	for _, n := range []int{1, 6, 7, 42, 137} {
		var members []instance.ID
		for i := range n {
			members = append(members, instance.ID(fmt.Sprint("i", i)))
		}
		sum := 0
		for i, owned := range OwnedSlots("s", members, testTargets(14, 3)) {
			sum += owned
			must.Between(t, 42/n, owned, (42+n-1)/n)
			mine := 0
			for _, x := range Assign("s", members, members[i], testTargets(14, 3)) {
				mine += x.Owned
			}
			must.Eq(t, owned, mine)
		}
		must.Eq(t, 42, sum)
	}
}

func started(events []Event) (n int) {
	for _, e := range events {
		if e.Kind == Start {
			n++
		}
	}
	return n
}

// Guards against full load on a target that has just become active.
func TestColdStartRamps(t *testing.T) {
	g := New(Config{ColdStart: 40 * time.Second}, rand.New(rand.NewSource(1)))
	old := testTargets(1, 4)
	old[0].State = target.Draining
	g.SetTargets(0, old)
	g.SetTargets(0, testTargets(1, 4))
	ticket := uint64(0)
	for i, want := range []int{1, 2, 3, 4} {
		now := time.Duration(i*10+1) * time.Second
		n := started(g.Tick(now))
		for range 6 {
			ticket++
			n += started(g.Submit(now, Request{Ticket: ticket, Class: service.Urgent, Arrived: now, Deadline: now + time.Hour}))
		}
		must.Eq(t, want, g.Running(service.Urgent), must.Sprint("started ", n))
	}
}

// Guards against bulk requests in the reserved slot, and against attempts on a draining
// target.
func TestBulkLeavesASlot(t *testing.T) {
	g := New(Config{}, rand.New(rand.NewSource(1)))
	targets := testTargets(3, 3)
	targets[2].State = target.Draining
	g.SetTargets(0, targets)
	n := 0
	for i := range 20 {
		events := g.Submit(0, Request{Ticket: uint64(i + 1), Class: service.Bulk, Deadline: time.Hour})
		n += started(events)
		for _, e := range events {
			must.NotEq(t, "2", e.Target)
		}
	}
	must.Eq(t, 5, n)
	must.Eq(t, 1, started(g.Submit(0, Request{Ticket: 99, Class: service.Urgent, Deadline: time.Second})))
}

// Guards against load reports outside 0 to 1 that send requests to a target without free
// slots or block a target that has some.
func TestMisleadingReport(t *testing.T) {
	g := New(Config{}, rand.New(rand.NewSource(1)))
	g.SetTargets(0, testTargets(2, 3))
	g.ReportLoad("0", -5)
	g.ReportLoad("1", 99)
	for i := range 6 {
		must.Eq(t, 1, started(g.Submit(0, Request{Ticket: uint64(i + 1), Class: service.Normal, Deadline: time.Hour})))
	}
}
