//go:build linux

// Command driver plays the scripted cases of the review: it starts instances of the deploy
// file's program on loopback, with stand-ins of the store, the targets and the clients.
package main

import (
	"context"
	"fmt"
	"net/netip"
	"os"
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
	bookingEndpoint  = view.Endpoint{Addr: [4]byte{198, 18, 0, 1}, Port: 8443}
	proofingEndpoint = view.Endpoint{Addr: [4]byte{198, 18, 0, 2}, Port: 8443}
)

// begin writes the first configuration and starts the machines of the deployment.
func begin(f *fleet, targets map[string][]string, machines map[string]int) (targetsOf map[string][]*standin.Target, err error) {
	f.store.PutConfig(1, standin.Route{Name: "r-1", Endpoint: bookingEndpoint, Service: "booking"},
		standin.Route{Name: "r-2", Endpoint: proofingEndpoint, Service: "proofing"})
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
	for _, zone := range []string{"kandy-a", "kandy-b", "kandy-c", "kandy-d"} {
		for n := range machines[zone] {
			if _, err := f.start(fmt.Sprintf("frontend-%s-%d", zone, n+1), zone, true); err != nil {
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

// useFlows opens a flow after the other from one client address, with a request each, until
// the context ends.
func useFlows(ctx context.Context, f *fleet, c *standin.Client, to view.Endpoint, counts *counts) {
	for ctx.Err() == nil {
		reqCtx, cancel := context.WithTimeout(ctx, 3*time.Second)
		flow, err := c.Open(reqCtx, to)
		if err == nil {
			_, _, err = flow.Request(reqCtx, "GET / HTTP/1.1\r\nX-Request-Id: "+flow.ID.String()+"\r\n\r\n")
			flow.Close()
		}
		cancel()
		counts.add(err == nil)
		time.Sleep(20 * time.Millisecond)
	}
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

// startClients starts clients of a data centre.
func startClients(ctx context.Context, f *fleet, zone string, n int, to view.Endpoint, counts *counts) error {
	for range n {
		c, err := standin.NewClient(netip.AddrPortFrom(f.newIP(), f.base), f.route(zone))
		if err != nil {
			return err
		}
		for range 3 {
			go useFlows(ctx, f, c, to, counts)
		}
	}
	return nil
}
