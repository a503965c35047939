package simulation

import (
	"fmt"
	"time"

	"guavaloom.example/guavaloom/internal/instance"
	"guavaloom.example/guavaloom/internal/target"
)

const (
	changesFrom  = 30 * time.Second
	changesUntil = 100 * time.Second
	flowsEnd     = 150 * time.Second
)

// schedules are the kinds of runs, by name.
var schedules = map[string]func(*world){"planned": planned, "crash": crashing, "faults": chaos}

// runFlows drives flows through a schedule of changes and faults.
func runFlows(seed int64, s setting, schedule func(*world), watch int) figures {
	w := newWorld(seed, s)
	w.watched = watch
	w.keepOpen(s.flows, flowsEnd-10*time.Second)
	schedule(w)
	w.runUntil(flowsEnd)
	w.figures.faults = w.events
	return w.figures
}

// plan draws n changes, some of them together.
func (w *world) plan(n int, kinds ...func(*world)) {
	at := changesFrom
	for range n {
		if w.rng.Intn(3) > 0 {
			at = w.between(changesFrom, changesUntil)
		}
		kind := kinds[w.rng.Intn(len(kinds))]
		w.after(at-w.now, func() { kind(w) })
	}
}

// planned draws planned changes only.
func planned(w *world) {
	w.plan(4+w.rng.Intn(6), drain, drain, drain, undrain, joinTarget, joinTarget, leave, joinInstance, restart)
}

// crashing adds the death of one instance while targets change.
func crashing(w *world) {
	planned(w)
	w.after(w.between(changesFrom, changesUntil)-w.now, func() { crashNow(w) })
	w.after(w.between(changesFrom, changesUntil)-w.now, func() { drain(w) })
}

func crashNow(w *world) { w.kill("crash") }

func (w *world) kill(why string) {
	if h := w.anyHost(3); h != nil {
		w.note("%s %s", why, h.ref.ID)
		w.crash(h)
	}
}

// anyHost returns a random instance, or nil if too few would remain.
func (w *world) anyHost(remain int) *host {
	var able []*host
	for _, h := range w.live() {
		if !h.leaving && !h.paused {
			able = append(able, h)
		}
	}
	if len(able) <= remain {
		return nil
	}
	return able[w.rng.Intn(len(able))]
}

func (w *world) anyBackend(state target.State) *backend {
	var able []*backend
	for _, s := range w.services {
		active := 0
		for _, b := range s.backends {
			if b.state == target.Active {
				active++
			}
		}
		for _, b := range s.backends {
			if b.state == state && !b.dead && (state != target.Active || active > len(s.backends)/2) {
				able = append(able, b)
			}
		}
	}
	if len(able) == 0 {
		return nil
	}
	return able[w.rng.Intn(len(able))]
}

func drain(w *world) {
	if b := w.anyBackend(target.Active); b != nil {
		w.note("drain %s", b.ID)
		b.state = target.Draining
		w.change()
	}
}

func undrain(w *world) {
	if b := w.anyBackend(target.Draining); b != nil {
		w.note("undrain %s", b.ID)
		w.ramp(b)
	}
}

func joinTarget(w *world) {
	s := w.services[w.rng.Intn(len(w.services))]
	b := w.addBackend(s, target.Joining, 0)
	w.note("join %s", b.ID)
	w.change()
	w.after(w.between(time.Second, 5*time.Second), func() { w.ramp(b) })
}

// ramp raises a target's weight in four steps.
func (w *world) ramp(b *backend) {
	b.state, b.percent = target.Active, 25
	w.change()
	for i := range 3 {
		w.after(time.Duration(i+1)*2*time.Second, func() {
			b.percent += 25
			w.change()
		})
	}
}

func leave(w *world) {
	if h := w.anyHost(4); h != nil {
		w.note("leave %s", h.ref.ID)
		h.depart()
	}
}

func joinInstance(w *world) {
	if len(w.live()) < w.setting.instances+3 {
		h := w.start(instanceName(w.started))
		w.note("join %s", h.ref.ID)
		for _, o := range w.live() {
			o.node.SetListed(w.listed())
		}
	}
}

// restart lets an instance leave and starts it again under its name.
func restart(w *world) {
	h := w.anyHost(4)
	if h == nil {
		return
	}
	w.note("restart %s", h.ref.ID)
	h.depart()
	w.startAgain(h, h.ref.ID)
}

func (w *world) startAgain(h *host, id instance.ID) {
	w.after(time.Second, func() {
		if !h.dead {
			w.startAgain(h, id)
			return
		}
		w.start(id)
		for _, o := range w.live() {
			o.node.SetListed(w.listed())
		}
	})
}

func (f *figures) add(o figures) {
	f.opened += o.opened
	f.packets += o.packets
	f.broken += o.broken
	f.outlived += o.outlived
	f.baselineBroken += o.baselineBroken
	f.wrongService += o.wrongService
	f.reopened += o.reopened
	f.relays += o.relays
	f.settles += o.settles
}

func (f figures) String() string {
	return fmt.Sprintf("opened %d packets %d relays %d broken %d outlived %d baseline %d settles %d reopened %d", f.opened, f.packets, f.relays, f.broken, f.outlived, f.baselineBroken, f.settles, f.reopened)
}
