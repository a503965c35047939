package simulation

import (
	"time"

	"guavaloom.example/guavaloom/internal/target"
)

// chaos draws planned changes and faults of all kinds, some of them together.
func chaos(w *world) {
	w.plan(3+w.rng.Intn(4), drain, drain, undrain, joinTarget, leave, joinInstance, restart)
	w.plan(2+w.rng.Intn(4), pause, pause, cutZone, cutZone, cutOneWay, crashNow, leaderDies, targetDies)
}

// pause stops an instance for up to three leases; it does not notice.
func pause(w *world) {
	h := w.anyHost(3)
	if h == nil {
		return
	}
	d := w.between(500*time.Millisecond, 20*time.Second)
	w.note("pause %s for %v", h.ref.ID, d)
	h.paused = true
	w.after(d, h.resume)
}

// cutZone separates a part of the instances from the others, about one half.
func cutZone(w *world) {
	side := map[*host]bool{}
	live := w.live()
	for _, i := range w.rng.Perm(len(live))[:len(live)/2] {
		side[live[i]] = true
	}
	w.cutFor("cut", func(a, b *host) bool { return side[a] != side[b] })
}

// cutOneWay loses what one instance sends.
func cutOneWay(w *world) {
	h := w.entry()
	w.cutFor("one-way cut of "+string(h.ref.ID), func(a, _ *host) bool { return a == h })
}

func (w *world) cutFor(what string, cut func(a, b *host) bool) {
	d := w.between(time.Second, 25*time.Second)
	w.note("%s for %v", what, d)
	before := w.cut
	w.cut = func(a, b *host) bool { return cut(a, b) || before != nil && before(a, b) }
	until := w.now + d
	both := w.cut
	w.cut = func(a, b *host) bool {
		if w.now >= until {
			return before != nil && before(a, b)
		}
		return both(a, b)
	}
}

// leaderDies crashes the leader right after it has created a step.
func leaderDies(w *world) {
	drain(w)
	w.after(w.uneven+w.between(0, 20*time.Millisecond), func() {
		if h := w.leader(); h != nil && len(w.live()) > 4 {
			w.note("leader %s dies", h.ref.ID)
			w.crash(h)
		}
	})
}

func targetDies(w *world) {
	b := w.anyBackend(target.Active)
	if b == nil {
		return
	}
	w.note("target %s dies", b.ID)
	b.dead = true
	w.after(w.between(2*time.Second, 5*time.Second), func() {
		b.state = target.Ejected
		w.change()
	})
}
