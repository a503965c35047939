//go:build linux

package main

import (
	"context"
	"fmt"
	"time"

	"guavaloom.example/guavaloom/platform/standin"
)

const (
	drainBound   = 3 * time.Second
	stableWindow = 4 * time.Second
	// serveAfterDrain is how long a draining target goes on serving.
	serveAfterDrain = 10 * time.Second
	// replacedZone is the data centre whose two machines are replaced, replacements how often.
	replacedZone = "kandy-b"
	replacements = 3
	drains       = 45
	// bookingPerZone is the requests a second of the data centre, as on the sheet of klr-retakes.
	bookingPerZone = 84.0
)

// drained is a target and when the store acknowledged that it drains.
type drained struct {
	*standin.Target
	at time.Time
}

// removed: the machines of one data centre are replaced by others at new addresses, one pair
// after the other. Later, with nothing wrong, targets are released one a second.
func removed(f *fleet, trouble bool) (broken bool, err error) {
	targets, err := begin(f, [2]string{"booking", "proofing"}, map[string][]string{
		"booking":  {"kandy-a", "kandy-a", "kandy-b", "kandy-b", "kandy-b", "kandy-b", "kandy-c", "kandy-c", "kandy-d", "kandy-d"},
		"proofing": {"kandy-a", "kandy-b"},
	}, []machines{{"kandy-a", 2}, {"kandy-b", 2}, {"kandy-c", 2}, {"kandy-d", 1}}, "lk-central")
	if err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second) // until all are registered
	if trouble {
		if err := replaceMachines(f); err != nil {
			return false, err
		}
	}
	f.rec.printf("no more disruptions from here")
	time.Sleep(stableWindow + time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	var seen counts
	if err := startClients(ctx, f, replacedZone, bookingPerZone, endpoints[0], &seen); err != nil {
		cancel()
		return false, err
	}
	go seen.report(ctx, f.rec, "booking")
	var zone []*standin.Target
	for n, t := range targets["booking"] {
		if n >= 2 && n < 6 {
			zone = append(zone, t)
		}
	}
	var all []drained
	for n := range drains {
		time.Sleep(time.Second)
		next, err := newTarget(f, "booking", replacedZone)
		if err != nil {
			cancel()
			return false, err
		}
		old := zone[0]
		zone = append(zone[1:], next)
		old.Register(f.store, "draining")
		all = append(all, drained{old, time.Now()})
		f.rec.printf("%s joined, %s drains: acknowledged by the store", next.ID(), old.ID())
		if gone := n - int(serveAfterDrain/time.Second); gone >= 0 {
			all[gone].Close()
			f.store.RemoveTarget(all[gone].ID())
		}
	}
	time.Sleep(drainBound + time.Second)
	cancel()
	f.rec.printf("requests: %d answered, %d not", seen.answered, seen.failed)
	late := 0
	for _, d := range all {
		recordRuns(f.rec, []*standin.Target{d.Target})
		arrivals, _ := d.Arrivals()
		for _, a := range arrivals {
			if after := a.At.Sub(d.at); a.SYN && after > drainBound {
				late++
				f.rec.printf("DRAIN: the first packet of %s reached %s %d ms after the acknowledgement (bound %d ms)", a.Flow, d.ID(), after.Milliseconds(), drainBound.Milliseconds())
			}
		}
	}
	f.rec.printf("%d opening packets reached a draining target too late", late)
	return late > 0, nil
}

// replaceMachines replaces the two machines of a data centre, several times.
func replaceMachines(f *fleet) error {
	var old []*instance
	for _, i := range f.instances {
		if i.zone == replacedZone {
			old = append(old, i)
		}
	}
	number := len(old)
	for range replacements {
		var next []*instance
		for range old {
			number++
			i, err := f.start(fmt.Sprintf("frontend-%s-%d", replacedZone, number), replacedZone, false)
			if err != nil {
				return err
			}
			next = append(next, i)
		}
		for _, i := range next {
			if !f.awaitReady(i) {
				return fmt.Errorf("%s is not ready", i.name)
			}
		}
		time.Sleep(2 * time.Second) // until they are registered
		for _, i := range old {
			f.rec.printf("remove %s", i.name)
			if err := f.remove(i); err != nil {
				return err
			}
		}
		old = next
	}
	return nil
}
