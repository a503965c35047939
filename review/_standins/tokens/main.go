// Command tokens shows what happens to open flows when a target joins whose ID has the token of
// another target. It starts instances of the deploy file's program with a stand-in store, stand-in
// targets and stand-in clients on loopback, and judges by what clients and targets see.
//
// Exit codes: 1 if an open flow was broken, 0 if none was, 2 if the case could not run.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand"
	"net/netip"
	"os"
	"strings"
	"sync"
	"time"

	"guavaloom.example/guavaloom/internal/forwarding"
	"guavaloom.example/guavaloom/internal/target"
	"guavaloom.example/guavaloom/internal/view"
	"guavaloom.example/guavaloom/platform/standin"
	"guavaloom.example/guavaloom/review/_standins/internal/fleet"
)

const (
	instances  = 3 // one in each of zones
	flowCount  = 24
	requestGap = 300 * time.Millisecond
	beforeJoin = 5 * time.Second
	afterJoin  = 8 * time.Second
	serviceID  = "booking"
)

var zones = []string{"kandy-a", "kandy-b", "kandy-c"}

// flowID identifies a flow by the address and port of its two ends.
type flowID = forwarding.FlowID

func main() {
	recordFile := flag.String("record", "record.txt", "file to write the record to")
	program := flag.String("program", "target/guavaloom-edge", "program of the deploy file")
	seed := flag.Int64("seed", 1, "seed of the target IDs")
	flag.Parse()
	rec, err := fleet.NewRecord(*recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	code, err := run(rec, *program, *seed, os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.Line("could not run: %v", err)
		code = 2
	}
	rec.Line("exit code %d", code)
	rec.Close()
	os.Exit(code)
}

// collidingIDs returns two IDs in the form of the platform's, ten hexadecimal digits, whose tokens
// are equal; first is the one that lives when the other joins.
func collidingIDs(seed int64) (first, joining string) {
	random := rand.New(rand.NewSource(seed))
	seen := map[uint32]string{}
	for {
		id := fmt.Sprintf("i-%010x", random.Int63n(1<<40-1)+1)
		token := view.TokenOf(target.ID(id))
		other, ok := seen[token]
		if ok && other != id {
			return max(id, other), min(id, other)
		}
		seen[token] = id
	}
}

func run(rec *fleet.Record, program string, seed int64, trouble bool) (int, error) {
	dir, err := os.MkdirTemp("", "tokens")
	if err != nil {
		return 2, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	store := standin.New()
	defer store.Close()
	store.PutConfig(1, standin.Route{Name: "r1", Endpoint: endpoint(), Service: serviceID})

	port, err := fleet.FreePorts(instances)
	if err != nil {
		return 2, err
	}
	first, joining := collidingIDs(seed)
	targets := map[string]*standin.Target{}
	add := func(n int, id, zone string) error {
		var key uint64
		if _, err := fmt.Sscanf(id, "i-%x", &key); err != nil {
			return err
		}
		t, err := standin.NewTarget(standin.TargetConfig{
			ID: id, Key: key, Service: serviceID, Zone: zone, PacketPort: port,
			Listen: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 77, 2, byte(n)}), 0),
		})
		if err != nil {
			return err
		}
		targets[id] = t
		t.Register(store, "ready")
		rec.Line("target %s joins in %s, token %08x", id, zone, view.TokenOf(target.ID(id)))
		return nil
	}
	random := rand.New(rand.NewSource(seed + 1000))
	if err := add(1, first, zones[0]); err != nil {
		return 2, err
	}
	for n := range 5 {
		id := fmt.Sprintf("i-%010x", random.Int63n(1<<40-1)+1)
		if err := add(n+2, id, zones[n%len(zones)]); err != nil {
			return 2, err
		}
	}
	var nodes []*fleet.Instance
	defer func() {
		for _, n := range nodes {
			n.Kill()
		}
	}()
	for k, zone := range zones {
		n := fleet.New(fleet.Settings{
			Program: program, Dir: dir, N: k, Name: "frontend-" + zone + "-1", Zone: zone, Port: port, Zones: zones, Store: store.Addr(),
			Seeds: []netip.AddrPort{netip.AddrPortFrom(fleet.IP(0), port+1)},
		})
		if err := n.Start(); err != nil {
			return 2, err
		}
		nodes = append(nodes, n)
	}
	for _, n := range nodes {
		if err := n.AwaitReady(); err != nil {
			return 2, err
		}
	}
	rec.Line("%d instances are ready", len(nodes))

	time.Sleep(time.Until(rec.Start.Add(fleet.TrafficAfter)))
	// Each data centre has a client, whose packets go to the instance there.
	var callers []*standin.Client
	for k, n := range nodes {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 77, 3, byte(k + 1)}), port)
		client, err := standin.NewClient(addr, func(flowID) netip.AddrPort { return n.Packet })
		if err != nil {
			return 2, err
		}
		defer client.Close()
		callers = append(callers, client)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 90*time.Second)
	defer cancel()
	judge := &judge{rec: rec, reset: map[flowID]time.Time{}}
	var clients sync.WaitGroup
	stop := make(chan struct{})
	for n := range flowCount {
		clients.Go(func() { judge.useFlow(ctx, callers[n%len(callers)], n, stop) })
	}
	time.Sleep(beforeJoin)
	if judge.owners()[first] == 0 {
		close(stop)
		clients.Wait()
		return 2, errors.New("no flow was opened at the first target")
	}
	rec.Line("open flows by target: %v", judge.owners())
	if trouble {
		err = add(9, joining, zones[1])
	} else { // a target with a token of its own joins
		err = add(9, fmt.Sprintf("i-%010x", random.Int63n(1<<40-1)+1), zones[1])
	}
	if err != nil {
		close(stop)
		clients.Wait()
		return 2, err
	}
	time.Sleep(afterJoin)
	close(stop)
	clients.Wait()
	foreign, broken := strayPackets(rec, targets, judge)
	for _, t := range targets {
		t.Close()
	}
	rec.Line("flows opened %d, requests answered %d, flows reset %d, of these %d by another target while their own lives; packets of open flows at other targets %d",
		judge.opened, judge.answered, len(judge.reset), broken, foreign)
	if broken > 0 {
		return 1, nil
	}
	return 0, nil
}

// strayPackets records the later packets of open flows that arrived at a target that is not the flow's.
// It returns how many there were, and how many flows were reset by such a target: it got a packet of
// the flow before the client got the reset, and the flow's own target got none in between. No target ends
// before the flows are over.
func strayPackets(rec *fleet.Record, targets map[string]*standin.Target, j *judge) (packets, broken int) {
	strayAt, ownAt := map[flowID]time.Time{}, map[flowID]time.Time{}
	for id, t := range targets {
		arrivals, _ := t.Arrivals()
		for _, a := range arrivals {
			owner, ok := j.owner(a.Flow)
			if a.SYN || !ok {
				continue
			}
			if resetAt, ended := j.reset[a.Flow]; ended && a.At.After(resetAt) {
				continue
			}
			if owner == id {
				ownAt[a.Flow] = a.At
				continue
			}
			strayAt[a.Flow] = a.At
			if packets++; packets <= 20 {
				rec.Line("at %.3f s target %s got a packet of flow %s, which is open at %s", a.At.Sub(rec.Start).Seconds(), id, a.Flow, owner)
			}
		}
	}
	for flow := range j.reset {
		if at, ok := strayAt[flow]; ok && at.After(ownAt[flow]) {
			broken++
		}
	}
	return packets, broken
}

func endpoint() view.Endpoint { return view.Endpoint{Addr: [4]byte{198, 18, 0, 1}, Port: 443} }

// judge follows the flows.
type judge struct {
	rec *fleet.Record

	mu               sync.Mutex // guards all below
	opened, answered int
	reset            map[flowID]time.Time // when the client got it
	ownerOf          map[flowID]string
}

// owners counts the flows by the target that answered their first request.
func (j *judge) owners() map[string]int {
	j.mu.Lock()
	defer j.mu.Unlock()
	out := map[string]int{}
	for _, id := range j.ownerOf {
		out[id]++
	}
	return out
}

func (j *judge) owner(f flowID) (string, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	id, ok := j.ownerOf[f]
	return id, ok
}

// useFlow opens a flow and makes requests on it until stop is closed or the flow breaks.
func (j *judge) useFlow(ctx context.Context, c *standin.Client, n int, stop <-chan struct{}) {
	f, err := c.Open(ctx, endpoint())
	if err != nil {
		j.rec.Line("flow %d did not open: %v", n, err)
		return
	}
	defer f.Close()
	j.mu.Lock()
	j.opened++
	j.mu.Unlock()
	owner := ""
	for k := 0; ; k++ {
		select {
		case <-stop:
			return
		case <-time.After(requestGap):
		}
		limited, cancel := context.WithTimeout(ctx, 3*time.Second)
		id, _, err := f.Request(limited, fmt.Sprintf("GET /%d/%d HTTP/1.1", n, k))
		cancel()
		switch {
		case errors.Is(err, standin.ErrReset) || err != nil && strings.Contains(err.Error(), standin.ErrReset.Error()):
			j.mu.Lock()
			j.reset[f.ID] = time.Now()
			j.mu.Unlock()
			j.rec.Line("flow %s, open at target %s, was reset during request %d", f.ID, owner, k)
			return
		case err != nil:
			j.rec.Line("flow %s, open at target %s: request %d failed: %v", f.ID, owner, k, err)
			return
		}
		j.mu.Lock()
		j.answered++
		if owner == "" {
			owner = id
			if j.ownerOf == nil {
				j.ownerOf = map[flowID]string{}
			}
			j.ownerOf[f.ID] = id
		}
		j.mu.Unlock()
		j.rec.Line("flow %s: request %d was sent, run and answered by target %s", f.ID, k, id)
		if owner != id {
			j.rec.Line("flow %s is open at %s, but request %d was answered by %s", f.ID, owner, k, id)
		}
	}
}
