package soak

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"guavaloom.example/guavaloom/platform"
	"guavaloom.example/guavaloom/platform/standin"
)

const (
	// restoreChance is one in how many steps of a storm restores the store.
	restoreChance = 5
	// minCopyAge and maxCopyAge are the ages of the copies from which the store is restored.
	minCopyAge = 500 * time.Millisecond
	maxCopyAge = 12 * time.Second
	// maxAway is how long the store is away before it comes back from a copy, at most.
	maxAway = 2 * time.Second
	// maxUnwritten is how long operators and targets take to write again, at most.
	maxUnwritten = time.Second
)

// storeCopy is a copy of the store.
type storeCopy struct {
	standin.Copy
	at time.Time
}

// copyStore keeps a copy of the store for later restores and forgets those that are too old.
func (w *world) copyStore() {
	now := time.Now()
	w.copies = slices.DeleteFunc(w.copies, func(c storeCopy) bool { return now.Sub(c.at) > maxCopyAge })
	w.copies = append(w.copies, storeCopy{w.store.Copy(), now})
}

// restore makes the store go away for a moment and come back from one of the copies; a little
// later operators and targets write again what it lost. Restores are drawn apart from the other
// faults, so that these are the same for a seed as before there were restores.
func (w *world) restore() string {
	now := time.Now()
	old, _ := slices.BinarySearchFunc(w.copies, now.Add(-minCopyAge), func(c storeCopy, t time.Time) int { return c.at.Compare(t) })
	if old == 0 {
		return "no copy to restore from"
	}
	c := w.copies[w.restores.Intn(old)]
	away := time.Duration(w.restores.Int63n(int64(maxAway)))
	unwritten := time.Duration(w.restores.Int63n(int64(maxUnwritten)))
	fault := []standin.Faults{{Status: http.StatusServiceUnavailable}, {Silent: true}, {}}[w.restores.Intn(3)]
	age := now.Sub(c.at).Round(100 * time.Millisecond)
	w.begin()
	w.store.SetFaults(fault)
	time.AfterFunc(away, func() {
		w.store.Restore(c.Copy)
		w.store.CutConnections()
		w.store.SetFaults(standin.Faults{})
	})
	time.AfterFunc(away+unwritten, func() {
		w.store.WriteAgain()
		w.end()
	})
	return fmt.Sprintf("restore from a copy %s old", age)
}

// checkRegistered checks that the store lists every instance.
func (w *world) checkRegistered() {
	names := w.store.Names(platform.InstanceKind)
	for _, i := range w.instances {
		if !slices.Contains(names, i.name) {
			w.report("%s is not in the store's list of instances", i.name)
		}
	}
}
