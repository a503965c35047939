//go:build linux

package soak

import (
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"guavaloom.example/guavaloom/platform/standin"
)

// forgottenSettings set a longest flow of 2 s, so that instances forget a removed target 3 s after
// its removal.
const forgottenSettings = "[deployment]\nmax_flow_s = 2\n"

// forgetRounds is how often all targets of a service are lost in a run.
const forgetRounds = 2

// Load pattern: all targets of a service are lost for good and are about to be forgotten when the
// store goes down, while clients still try the service. Guards against processes that end by
// themselves or skip work, all at the same moment (review/1), and against a service that is not
// served again.
func TestSoakForgottenTargets(t *testing.T) {
	for s := *first; s < *first+int64(*seeds); s++ {
		t.Run(fmt.Sprint(s), func(t *testing.T) { runForgotten(t, s) })
	}
}

func runForgotten(t *testing.T, seed int64) {
	dir := t.TempDir()
	w := newWorld(t, dir, seed, false, forgottenSettings)
	stop, clientsDone := make(chan struct{}), make(chan struct{})
	for n := range w.instances {
		go w.probe(n, stop)
	}
	go w.watchStalls(stop)
	startClients(t, w, seed, stop, clientsDone)
	time.Sleep(warmUp)
	for range forgetRounds {
		w.loseService("proofing")
		time.Sleep(calmFor + time.Second) // until the service has to be served again
	}
	close(stop)
	<-clientsDone
	for _, i := range w.instances {
		i.stop()
		b, err := os.ReadFile(i.log.Name())
		must.NoError(t, err)
		if strings.Contains(string(b), "work skipped after a failure of the program") || strings.Contains(string(b), "panic: ") {
			w.report("%s met a fault of the program", i.name)
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	t.Logf("seed %d: %d instances, %d requests served, %d not", seed, len(w.instances), w.served, w.failed)
	for _, b := range w.broken {
		t.Error(b)
	}
	if len(w.broken) > 0 {
		keepLogs(t, dir, seed)
	}
}

// loseService ends all targets of a service, removes their entries, and takes the store down
// around the moment when instances forget them. Others take their place afterwards.
func (w *world) loseService(service string) {
	w.begin()
	defer w.end()
	lost := w.living(service, ownZone)
	for _, l := range lost {
		w.finish(l)
	}
	time.Sleep(heartbeatsGone)
	for _, l := range lost {
		w.store.RemoveTarget(l.ID())
	}
	time.Sleep(w.draw(1500*time.Millisecond, 3200*time.Millisecond))
	w.store.SetFaults(standin.Faults{Status: http.StatusServiceUnavailable})
	time.Sleep(w.draw(time.Second, 4*time.Second))
	w.store.SetFaults(standin.Faults{})
	time.Sleep(w.draw(time.Second, 4*time.Second))
	for range lost {
		w.replace(service, netip.AddrPort{})
	}
	time.Sleep(time.Second) // until they are known
}
