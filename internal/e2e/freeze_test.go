//go:build linux

package e2e

import (
	"fmt"
	"net/http"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"guavaloom.example/guavaloom/internal/testbed"
)

// frozenTime is longer than the lease of 6 s, so that the zone has gone on.
const frozenTime = 9 * time.Second

func (f *fleet) leader() *process {
	f.t.Helper()
	var leader *process
	f.await("all instances follow one leader", func() bool {
		leader = nil
		for _, p := range f.all() {
			s, err := f.Status(p.Instance)
			at := slices.IndexFunc(f.all(), func(o *process) bool { return string(o.ID) == s.Leader })
			if err != nil || at < 0 || leader != nil && leader != f.all()[at] {
				return false
			}
			leader = f.all()[at]
		}
		return true
	})
	return leader
}

// Guards against a member that steers or runs requests by what it knew before it
// was stopped for longer than its lease.
func TestFrozenMember(t *testing.T) {
	freeze(t, func(f *fleet) *process {
		leader := f.leader()
		return f.others(leader)[0]
	})
}

// Guards against a leader that goes on creating steps, or steers, after it was
// stopped for longer than its lease.
func TestFrozenLeader(t *testing.T) {
	freeze(t, (*fleet).leader)
}

func freeze(t *testing.T, choose func(*fleet) *process) {
	f := newFleet(t, "a1", "a2", "a3", "a4", "a5")
	f.open(60)
	victim := choose(f)
	rest := f.others(victim)
	const keys = 20
	key := func(n int) string { return fmt.Sprintf("key-%d", n) }
	for n := range keys {
		must.Eq(t, testbed.Answered, f.do(victim, http.MethodPost, "/bookings", key(n)))
	}
	must.NoError(t, victim.cmd.Process.Signal(syscall.SIGSTOP))
	since := time.Now()
	// Packets keep arriving at the stopped process; it gets those that its socket
	// buffered when it goes on.
	f.drain("feed-0", "board-0", "web-0")
	rolled := f.rollLater(2)
	for n := range keys {
		f.do(rest[n%len(rest)], http.MethodPost, "/bookings", key(n))
	}
	f.await("a new home set without the stopped process", func() bool {
		s, err := f.Status(rest[0].Instance)
		return err == nil && !slices.Contains(s.Members, string(victim.ID)) && time.Since(since) > frozenTime
	})
	f.open(30) // moved slots: a decision by the old table sends them elsewhere
	if err := victim.cmd.Process.Signal(syscall.SIGCONT); err != nil {
		<-victim.done
		t.Fatalf("the stopped process has ended: %v, %v", err, victim.cmd.ProcessState)
	}
	for n := range keys {
		f.do(victim, http.MethodPost, "/bookings", key(n))
		f.do(rest[n%len(rest)], http.MethodPost, "/bookings", key(n))
	}
	must.Eq(t, 0, <-rolled)
	f.awaitReady(f.all()...)
	f.spray(victim)
	f.moves()
	f.spray()
	f.serves(victim)
	must.Eq(t, "1.2", f.revision(victim))
	for n := range keys {
		must.Eq(t, 1, f.requests.RunsOf(key(n)))
	}
	f.holds()
}
