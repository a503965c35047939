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
	// outageBegin is when the store goes down, after the removal of the entries; outage is how long it is down.
	outageBegin = 87500 * time.Millisecond
	outage      = 4500 * time.Millisecond
	// sheetsPerSecond and registryPerSecond are the requests a second of all data centres, the first
	// as on the sheet of umurenge-badges, the second fewer.
	sheetsPerSecond   = 25.0
	registryPerSecond = 60.0
	// settle is how long the processes are watched after the outage.
	settle = 5 * time.Second
)

// forgotten: all targets of one service are lost for good. Clients go on trying. A minute and a
// half later the store is down for some seconds.
func forgotten(f *fleet, trouble bool) (broken bool, err error) {
	zones := []machines{{"nyarugenge", 3}, {"gasabo", 2}, {"kicukiro", 2}, {"remera", 2}}
	targets, err := begin(f, [2]string{"registry", "printworks"}, map[string][]string{
		"registry":   {"nyarugenge", "gasabo", "kicukiro", "remera"},
		"printworks": {"nyarugenge", "gasabo", "kicukiro", "remera"},
	}, zones, "kigali")
	if err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var registry, sheets counts
	for _, z := range zones {
		if err := startClients(ctx, f, z.zone, registryPerSecond/float64(len(zones)), endpoints[0], &registry); err != nil {
			return false, err
		}
		if err := startClients(ctx, f, z.zone, sheetsPerSecond/float64(len(zones)), endpoints[1], &sheets); err != nil {
			return false, err
		}
	}
	go registry.report(ctx, f.rec, "registry")
	go sheets.report(ctx, f.rec, "printworks")
	time.Sleep(time.Second)
	if trouble {
		for _, t := range targets["printworks"] {
			t.Close()
		}
		f.rec.printf("all targets of printworks are lost for good")
	}
	time.Sleep(lapse)
	if trouble {
		for _, t := range targets["printworks"] {
			f.store.RemoveTarget(t.ID())
		}
		f.rec.printf("the store removed their entries after three heartbeats")
	}
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
	recordRuns(f.rec, append(targets["printworks"], targets["registry"]...))
	f.rec.printf("%d processes ended by themselves", ownEnds)
	return ownEnds > 0, nil
}
