//go:build linux

package main

import (
	"context"
	"net/http"
	"time"

	"guavaloom.example/guavaloom/platform/standin"
)

const (
	// lapse is the time of three heartbeats after which the store removes the entry of a silent target.
	lapse = 3 * 1200 * time.Millisecond
	// outageBegin is when the store goes down, after the removal of the last entry; outage is how long it is down.
	outageBegin = 86500 * time.Millisecond
	outage      = 4500 * time.Millisecond
	// crashGap is the time between two crashes.
	crashGap = time.Second
	// settle is how long the processes are watched after the outage.
	settle = 5 * time.Second
)

// forgotten: the targets of one service crash for good, one after the other. Clients go on trying. A minute and a
// half later the store is down for some seconds.
func forgotten(f *fleet, trouble bool) (broken bool, err error) {
	targets, err := begin(f, map[string][]string{"booking": {"kandy-a", "kandy-b", "kandy-c"}, "proofing": {"kandy-a", "kandy-b", "kandy-c", "kandy-d"}},
		map[string]int{"kandy-a": 2, "kandy-b": 2, "kandy-c": 2, "kandy-d": 1})
	if err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var proofing, booking counts
	for _, zone := range []string{"kandy-a", "kandy-b", "kandy-c", "kandy-d"} {
		if err := startClients(ctx, f, zone, 4, proofingEndpoint, &proofing); err != nil {
			return false, err
		}
		if err := startClients(ctx, f, zone, 1, bookingEndpoint, &booking); err != nil {
			return false, err
		}
	}
	go proofing.report(ctx, f.rec, "proofing")
	go booking.report(ctx, f.rec, "booking")
	time.Sleep(time.Second)
	for _, t := range targets["proofing"] {
		time.Sleep(crashGap)
		if !trouble {
			continue
		}
		t.Close()
		f.rec.printf("%s of proofing crashed for good", t.ID())
		time.AfterFunc(lapse, func() {
			f.store.RemoveTarget(t.ID())
			f.rec.printf("the store removed the entry of %s", t.ID())
		})
	}
	time.Sleep(lapse)
	time.Sleep(outageBegin)
	if trouble {
		f.store.SetFaults(standin.Faults{Status: http.StatusServiceUnavailable})
		f.rec.printf("the store is down (503)")
	}
	time.Sleep(outage)
	if trouble {
		f.store.SetFaults(standin.Faults{})
		f.rec.printf("the store is back")
	}
	time.Sleep(settle)
	f.mu.Lock()
	ownEnds := f.ownEnds
	f.mu.Unlock()
	f.rec.printf("requests: proofing %d answered, %d not; booking %d answered, %d not", proofing.answered, proofing.failed, booking.answered, booking.failed)
	recordRuns(f.rec, append(targets["proofing"], targets["booking"]...))
	f.rec.printf("%d processes ended by themselves", ownEnds)
	return ownEnds > 0, nil
}
