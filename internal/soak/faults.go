package soak

import (
	"net/http"
	"net/netip"
	"syscall"
	"time"

	"guavaloom.example/guavaloom/platform/standin"
)

// draw returns a random duration between two limits.
func (w *world) draw(low, high time.Duration) time.Duration {
	return low + time.Duration(w.rng.Int63n(int64(high-low)))
}

// fault starts one random fault and returns its name. Its end is scheduled.
func (w *world) fault() string {
	i := w.instances[w.rng.Intn(len(w.instances))]
	lasting := w.draw(500*time.Millisecond, 3500*time.Millisecond)
	switch w.rng.Intn(13) {
	case 0:
		return w.once("kill "+i.name, func() { i.signal(syscall.SIGKILL) }, lasting)
	case 1:
		return w.once("kill all", func() {
			for _, i := range w.instances {
				i.signal(syscall.SIGKILL)
			}
		}, lasting)
	case 2:
		return w.lasting("pause "+i.name, lasting, func() { i.signal(syscall.SIGSTOP) }, func() { i.signal(syscall.SIGCONT) })
	case 3:
		return w.once("terminate "+i.name, func() { i.signal(syscall.SIGTERM) }, 5*time.Second)
	case 4, 5, 6:
		f := []linkFault{linkDelay, linkReset, linkSilence, linkOneWay}[w.rng.Intn(4)]
		return w.lasting(string(f)+" link of "+i.name, lasting, func() { i.store.set(f) }, func() { i.store.set(linkPass) })
	case 7:
		f := []standin.Faults{
			{Status: http.StatusServiceUnavailable}, {Status: http.StatusTooManyRequests}, {Silent: true},
			{Delay: 250 * time.Millisecond}, {LoseWrites: true}, {DropWatchEvents: true},
		}[w.rng.Intn(6)]
		return w.lasting("store", lasting, func() { w.store.SetFaults(f) }, func() {
			w.store.SetFaults(standin.Faults{})
			if f.DropWatchEvents {
				w.store.ForgetHistory()
				w.store.CutConnections()
			}
		})
	case 8:
		return w.once("history", func() { w.store.ForgetHistory(); w.store.CutConnections() }, 0)
	case 9:
		return w.crash()
	case 10:
		return w.silence(lasting)
	case 11:
		return w.lapse(lasting)
	default:
		return w.once("spoilt entry", func() { w.store.PutInvalidTargets() }, 0)
	}
}

// once makes a fault that has an effect for some time.
func (w *world) once(name string, do func(), effect time.Duration) string {
	return w.lasting(name, effect, do, func() {})
}

func (w *world) lasting(name string, d time.Duration, do, undo func()) string {
	w.begin()
	do()
	time.AfterFunc(d, func() {
		undo()
		w.end()
	})
	return name
}

// crash ends a target without notice; its entry goes later, and a target of the
// other service takes over its address.
func (w *world) crash() string {
	t := w.pick()
	if t == nil {
		return "no target to crash"
	}
	other := "booking"
	if t.Service() == other {
		other = "proofing"
	}
	at := t.Addr()
	return w.lasting("crash "+t.ID(), heartbeatsGone+time.Second, func() {
		w.finish(t)
		time.AfterFunc(heartbeatsGone, func() {
			w.store.RemoveTarget(t.ID())
			w.replace(other, at)
			w.replace(t.Service(), netip.AddrPort{})
		})
	}, func() {})
}

// pick returns a ready target of the own data centre whose service keeps two others.
func (w *world) pick() *life {
	service := serviceOf(w.rng.Intn(2))
	if l := w.living(service, ownZone); len(l) > 2 {
		return l[w.rng.Intn(len(l))]
	}
	return nil
}

func (w *world) finish(t *life) {
	w.mu.Lock()
	t.endedAt = time.Now()
	w.mu.Unlock()
	t.Close()
}

// replace adds a target and reports if that fails.
func (w *world) replace(service string, at netip.AddrPort) {
	if err := w.addTarget(service, ownZone, at); err != nil {
		w.report("the run itself: %v", err)
	}
}

// silence makes a living target deaf for a while.
func (w *world) silence(d time.Duration) string {
	t := w.pick()
	if t == nil {
		return "no target to silence"
	}
	return w.lasting("silence "+t.ID(), d, func() {
		w.mu.Lock()
		t.silencedUntil = time.Now().Add(d)
		w.mu.Unlock()
		t.SetSilent(true)
	}, func() { t.SetSilent(false) })
}

// lapse removes the entry of a living target while the store is away; it is back
// two seconds after the store at the latest.
func (w *world) lapse(d time.Duration) string {
	t := w.pick()
	if t == nil {
		return "no target to lapse"
	}
	return w.lasting("lapse "+t.ID(), d+2*time.Second, func() {
		w.store.SetFaults(standin.Faults{Status: http.StatusServiceUnavailable})
		w.store.RemoveTarget(t.ID())
		time.AfterFunc(d, func() {
			w.store.SetFaults(standin.Faults{})
			w.registerAgain(t)
		})
	}, func() {})
}

func (w *world) registerAgain(t *life) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if t.endedAt.IsZero() {
		state := "ready"
		if !t.drainingAt.IsZero() {
			state = "draining"
		}
		t.Register(w.store, state)
	}
}

// change makes one planned change: a drain with a replacement, or a new
// configuration.
func (w *world) change() string {
	switch w.rng.Intn(3) {
	case 0:
		t := w.pick()
		if t == nil {
			return "no target to drain"
		}
		w.replace(t.Service(), netip.AddrPort{})
		w.mu.Lock()
		t.Register(w.store, "draining")
		t.drainingAt = time.Now()
		w.mu.Unlock()
		time.AfterFunc(drainBound+2*time.Second, func() {
			w.store.RemoveTarget(t.ID())
			w.finish(t)
		})
		return "drain " + t.ID()
	case 1:
		return w.addRoute()
	default:
		return w.removeRoute()
	}
}

// firstExtra is the first route that may be removed; those below stay.
const firstExtra = 2

func (w *world) addRoute() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := firstExtra + len(w.routes) + len(w.removed)
	if n > 250 {
		return "no route to add"
	}
	w.routes[n] = time.Now()
	w.putConfig()
	w.routes[n] = time.Now() // acknowledged now
	return "add route"
}

func (w *world) removeRoute() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	for n := range w.routes {
		if n >= firstExtra {
			delete(w.routes, n)
			w.putConfig()
			w.removed[n] = time.Now()
			return "remove route"
		}
	}
	return "no route to remove"
}
