//go:build linux

// Command driver plays the scripted cases of the review: it starts instances of the deploy
// file's program on loopback, with stand-ins of the store, the targets and the clients.
package main

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"sync"
	"time"

	"guavaloom.example/guavaloom/internal/view"
	"guavaloom.example/guavaloom/platform/standin"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// record writes what happened, with the time since the start.
type record struct {
	mu    sync.Mutex
	out   *os.File
	start time.Time
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: driver CASE PROGRAM RECORD")
		os.Exit(exitNotRun)
	}
	out, err := os.Create(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	rec := &record{out: out, start: time.Now()}
	trouble := os.Getenv("TROUBLE") != "0"
	f, err := newFleet(rec, os.Args[2])
	if err != nil {
		rec.printf("not run: %v", err)
		os.Exit(exitNotRun)
	}
	cases := map[string]func(*fleet, bool) (bool, error){"removed": removed, "forgotten": forgotten}
	broken, err := cases[os.Args[1]](f, trouble)
	f.close()
	switch {
	case err != nil:
		rec.printf("not run: %v", err)
		os.Exit(exitNotRun)
	case broken:
		rec.printf("result: the rule was broken")
		os.Exit(exitBroken)
	}
	rec.printf("result: the rule held")
	os.Exit(exitHeld)
}

var (
	endpoints = [2]view.Endpoint{{Addr: [4]byte{198, 18, 0, 1}, Port: 8443}, {Addr: [4]byte{198, 18, 0, 2}, Port: 8443}}
)

// machines is how many machines a data centre has.
type machines struct {
	zone  string
	count int
}

// begin writes the first configuration, with an endpoint for each of two services, and starts the
// machines of the deployment.
func begin(f *fleet, services [2]string, targets map[string][]string, zones []machines, region string) (targetsOf map[string][]*standin.Target, err error) {
	f.store.PutConfig(1, standin.Route{Name: "r-1", Endpoint: endpoints[0], Service: services[0]},
		standin.Route{Name: "r-2", Endpoint: endpoints[1], Service: services[1]})
	targetsOf = map[string][]*standin.Target{}
	for service, zones := range targets {
		for _, zone := range zones {
			t, err := newTarget(f, service, zone)
			if err != nil {
				return nil, err
			}
			targetsOf[service] = append(targetsOf[service], t)
		}
	}
	var regions []string
	for _, z := range zones {
		regions = append(regions, z.zone+"="+region)
	}
	f.zones = strings.Join(regions, ",")
	for _, z := range zones {
		for n := range z.count {
			if _, err := f.start(fmt.Sprintf("frontend-%s-%d", z.zone, n+1), z.zone, true); err != nil {
				return nil, err
			}
		}
	}
	for _, i := range f.instances {
		if !f.awaitReady(i) {
			return nil, fmt.Errorf("%s is not ready", i.name)
		}
	}
	return targetsOf, nil
}

var nextKey uint64 = 0x1000

func newTarget(f *fleet, service, zone string) (*standin.Target, error) {
	nextKey++
	t, err := standin.NewTarget(standin.TargetConfig{
		ID: fmt.Sprintf("i-%x", nextKey), Service: service, Zone: zone, Key: nextKey, PacketPort: f.base, Listen: netip.AddrPortFrom(f.addr(250), 0),
	})
	if err != nil {
		return nil, err
	}
	t.Register(f.store, "ready")
	return t, nil
}

// retries is how often a client tries a request again, on a new flow each.
const retries = 2

// request makes a request with its retries, each on a flow of its own.
func request(ctx context.Context, c *standin.Client, to view.Endpoint, counts *counts) {
	reqCtx, cancel := context.WithTimeout(ctx, 3*time.Second)
	defer cancel()
	for range 1 + retries {
		flow, err := c.Open(reqCtx, to)
		if err == nil {
			_, _, err = flow.Request(reqCtx, "GET / HTTP/1.1\r\nX-Request-Id: "+flow.ID.String()+"\r\n\r\n")
			flow.Close()
		}
		if err == nil {
			counts.add(true)
			return
		}
		if reqCtx.Err() != nil {
			break
		}
	}
	counts.add(false)
}

// counts counts the requests of one service's clients.
type counts struct {
	mu               sync.Mutex
	answered, failed int
}

// report records each second how many requests were answered and how many were not.
func (c *counts) report(ctx context.Context, rec *record, service string) {
	before := [2]int{}
	for range time.Tick(time.Second) {
		if ctx.Err() != nil {
			return
		}
		c.mu.Lock()
		now := [2]int{c.answered, c.failed}
		c.mu.Unlock()
		rec.printf("sent to %s in the last second: %d answered, %d reset or not answered", service, now[0]-before[0], now[1]-before[1])
		before = now
	}
}

// recordRuns records what each target was sent.
func recordRuns(rec *record, targets []*standin.Target) {
	for _, t := range targets {
		arrivals, _ := t.Arrivals()
		opened := 0
		for _, a := range arrivals {
			if a.SYN {
				opened++
			}
		}
		rec.printf("%s of %s got %d packets, %d of them opening packets", t.ID(), t.Service(), len(arrivals), opened)
	}
}

func (c *counts) add(ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if ok {
		c.answered++
	} else {
		c.failed++
	}
}

// clientsPerZone is how many client addresses a data centre has.
const clientsPerZone = 3

// startClients starts the clients of a data centre, which together make a number of requests a second.
func startClients(ctx context.Context, f *fleet, zone string, perSecond float64, to view.Endpoint, counts *counts) error {
	for range clientsPerZone {
		c, err := standin.NewClient(netip.AddrPortFrom(f.newIP(), f.base), f.route(zone))
		if err != nil {
			return err
		}
		go func() {
			for range time.Tick(time.Duration(float64(time.Second) * clientsPerZone / perSecond)) {
				if ctx.Err() != nil {
					return
				}
				go request(ctx, c, to, counts)
			}
		}()
	}
	return nil
}
