package soak

import (
	"context"
	"math/rand"
	"time"

	"github.com/go-faster/errors"

	"guavaloom.example/guavaloom/platform/standin"
)

// requestLimit is a client's deadline.
const requestLimit = 3 * time.Second

// client opens flows without end and checks each answer.
func (w *world) client(c *standin.Client, rng *rand.Rand, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(rng.Intn(30)) * time.Millisecond):
		}
		n, expect := w.pickRoute(rng)
		w.useFlow(c, rng, n, expect)
	}
}

// expectation is what a flow to a route must lead to, judged when it begins.
type expectation uint8

const (
	anything expectation = iota
	mustServe
	mustNotServe
)

// pickRoute returns a route and what must hold for it: present routes mostly, at
// times one that was removed.
func (w *world) pickRoute(rng *rand.Rand) (int, expectation) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if rng.Intn(5) == 0 {
		for n, since := range w.removed {
			if now.Sub(since) > configBound && w.calm(since) {
				return n, mustNotServe
			}
			return n, anything
		}
	}
	pick := rng.Intn(len(w.routes))
	for n, since := range w.routes {
		if pick--; pick >= 0 {
			continue
		}
		if now.Sub(since) > configBound && w.calm(now) {
			return n, mustServe
		}
		return n, anything
	}
	return 0, anything
}

// calm is calmSince for a caller that holds mu.
func (w *world) calm(t time.Time) bool {
	return w.running == 0 && w.faultUntil.Before(t.Add(-calmFor))
}

// present reports whether a route is still in the configuration.
func (w *world) present(n int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, ok := w.routes[n]
	return ok
}

// useFlow opens a flow, makes some requests and checks who answers.
func (w *world) useFlow(c *standin.Client, rng *rand.Rand, n int, expect expectation) {
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), 2*requestLimit)
	defer cancel()
	f, err := c.Open(ctx, endpoint(n))
	if err != nil {
		w.count(false)
		if expect == mustServe && w.calmSince(began) && w.present(n) {
			w.report("route %d was not served though it was in force and nothing was wrong: %v", n, err)
		}
		return
	}
	defer f.Close()
	if expect == mustNotServe && w.calmSince(began) {
		w.report("route %d was served after it had been removed: %s", n, f.ID)
	}
	holder := ""
	for k := range 1 + rng.Intn(8) {
		if k > 0 {
			time.Sleep(time.Duration(rng.Intn(300)) * time.Millisecond)
		}
		reqCtx, cancel := context.WithTimeout(ctx, requestLimit)
		id, service, err := f.Request(reqCtx, "GET / HTTP/1.1\r\nX-Request-Id: "+f.ID.String()+"\r\n\r\n")
		cancel()
		w.count(err == nil)
		switch {
		case errors.Is(err, standin.ErrReset):
			if holder != "" && w.lives(holder) {
				w.report("flow %s was reset though its target %s lives", f.ID, holder)
			}
			return
		case err != nil:
			return
		case service != serviceOf(n):
			w.report("flow %s to %s was answered by %s", f.ID, serviceOf(n), service)
		case holder != "" && id != holder:
			w.report("flow %s was answered by %s and %s", f.ID, holder, id)
		}
		holder = id
	}
}

func (w *world) count(served bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if served {
		w.served++
	} else {
		w.failed++
	}
}

// checkTargets checks what the targets saw: every packet as its client wrote it,
// and no first packet at a target that had been draining for longer than the bound.
func (w *world) checkTargets(calms []span) {
	w.mu.Lock()
	targets := append([]*life{}, w.targets...)
	w.mu.Unlock()
	for _, t := range targets {
		arrivals, _ := t.Arrivals()
		for _, a := range arrivals {
			if !a.Intact {
				w.report("target %s got a packet of %s that was changed on the way", t.ID(), a.Flow)
			}
			late := !t.drainingAt.IsZero() && a.SYN && a.At.Sub(t.drainingAt) > drainBound
			if late && within(calms, t.drainingAt, a.At) {
				w.report("target %s was given flow %s %s after it began to drain", t.ID(), a.Flow, a.At.Sub(t.drainingAt))
			}
		}
	}
}

// span is a time without faults.
type span struct{ from, to time.Time }

// within reports whether a span holds both times.
func within(spans []span, from, to time.Time) bool {
	for _, s := range spans {
		if !from.Before(s.from) && !to.After(s.to) {
			return true
		}
	}
	return false
}
