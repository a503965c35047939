// Command busyparent restarts the two instances of a data centre one after the other while the
// store turns the first of them away, in two data centres in turn, and judges by what clients and targets see whether the
// second one, which the store serves, still sends new flows to a target that drains.
//
// Exit codes: 1 if it does later than the bound, 0 if not, 2 if the case could not run.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/netip"
	"net/url"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"guavaloom.example/guavaloom/internal/forwarding"
	"guavaloom.example/guavaloom/internal/rendezvous"
	"guavaloom.example/guavaloom/internal/view"
	"guavaloom.example/guavaloom/platform/standin"
	"guavaloom.example/guavaloom/review/_standins/internal/fleet"
)

const (
	serviceID = "booking"
	// drainBound and stableWindow are bounds of the small deployments.
	drainBound   = 3 * time.Second
	stableWindow = 4 * time.Second
	// turnedAwayFor is how long the store turns the first instance away.
	turnedAwayFor = 9 * time.Second
	// restartDelay is the pause between the end of a process and its next start.
	restartDelay = 300 * time.Millisecond
	// rollGap is the pause between two steps of the rolling restart.
	rollGap = 1300 * time.Millisecond
	// drainAfter is how long after the start of the second instance the target reports that it
	// drains, servesOn how long it serves after that.
	drainAfter = 500 * time.Millisecond
	servesOn   = 9 * time.Second
	// probeInterval is the pause between the routers' readiness checks; two misses take an
	// instance out of rotation.
	probeInterval = 500 * time.Millisecond
	flowInterval  = 15 * time.Millisecond
	clients       = 4
	// rounds is in how many data centres the instances are restarted, one after the other.
	rounds = 2
)

var zones = []string{"kandy-a", "kandy-b", "kandy-c", "kandy-d"}

func main() {
	recordFile := flag.String("record", "record.txt", "file to write the record to")
	program := flag.String("program", "target/guavaloom-edge", "program of the deploy file")
	keep := flag.Bool("logs", false, "append the instances' logs to the record")
	flag.Parse()
	rec, err := fleet.NewRecord(*recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	c := &testCase{rec: rec, flows: map[forwarding.FlowID]opening{}, trouble: os.Getenv("TROUBLE") != "0", logs: *keep}
	code, err := c.run(*program)
	if err != nil {
		rec.Line("could not run: %v", err)
		code = 2
	}
	rec.Line("exit code %d", code)
	rec.Close()
	os.Exit(code)
}

// storeGate is the store as one instance reaches it.
type storeGate struct {
	server  *httptest.Server
	refuses atomic.Bool
}

func newStoreGate(store netip.AddrPort) *storeGate {
	g := &storeGate{}
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: store.String()})
	proxy.ErrorHandler = func(w http.ResponseWriter, _ *http.Request, _ error) { w.WriteHeader(http.StatusServiceUnavailable) }
	g.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if g.refuses.Load() {
			w.WriteHeader(http.StatusServiceUnavailable) // nothing was done
			return
		}
		proxy.ServeHTTP(w, r)
	}))
	return g
}

func (g *storeGate) addr() netip.AddrPort {
	return netip.MustParseAddrPort(g.server.Listener.Addr().String())
}

// testCase is one run.
type testCase struct {
	rec           *fleet.Record
	trouble, logs bool
	instances     []*fleet.Instance
	rotation      [7]atomic.Bool

	mu     sync.Mutex // guards all below
	flows  map[forwarding.FlowID]opening
	served int
	failed int
}

// opening is the first packet of a flow.
type opening struct {
	at       time.Time
	instance int
	// moved is set if another instance got packets of the flow too.
	moved bool
}

func (c *testCase) run(program string) (int, error) {
	dir, err := os.MkdirTemp("", "busyparent")
	if err != nil {
		return 2, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	store := standin.New()
	defer store.Close()
	store.PutConfig(1, standin.Route{Name: "r1", Endpoint: endpoint(), Service: serviceID})
	port, err := fleet.FreePorts(len(c.rotation))
	if err != nil {
		return 2, err
	}
	targets, err := startTargets(store, port)
	if err != nil {
		return 2, err
	}
	gates, err := c.startInstances(dir, program, port, store.Addr())
	defer func() {
		for _, i := range c.instances {
			i.Kill()
		}
		for _, g := range gates {
			g.server.CloseClientConnections()
			g.server.Close()
		}
	}()
	if err != nil {
		return 2, err
	}
	probing := make(chan struct{})
	var probes sync.WaitGroup
	for n := range c.instances {
		probes.Go(func() { c.probe(n, probing) })
	}
	time.Sleep(time.Until(c.rec.Start.Add(fleet.TrafficAfter)))
	broken := 0
	for round := range rounds {
		n, err := c.restart(store, port, round, targets[round], gates[2*round])
		if err != nil {
			close(probing)
			probes.Wait()
			return 2, err
		}
		broken += n
	}
	close(probing)
	probes.Wait()
	for _, t := range targets[rounds:] {
		t.Close()
	}
	if c.logs {
		for _, i := range c.instances[:2*rounds] {
			c.rec.Line("log of %s:\n%s", i.Name, i.Log())
		}
	}
	c.rec.Line("requests served %d, failed %d; flows that reached the draining target after the bound: %d", c.served, c.failed, broken)
	switch {
	case c.served < 1000:
		return 2, errors.New("too few requests were served")
	case broken > 0:
		return 1, nil
	}
	return 0, nil
}

// restart restarts the two instances of a data centre while a target of it begins to drain, and returns
// how many flows reached it after the bound.
func (c *testCase) restart(store *standin.Store, port uint16, round int, t *standin.Target, gate *storeGate) (broken int, err error) {
	stop := make(chan struct{})
	var work sync.WaitGroup
	if err := c.startClients(port, round, stop, &work); err != nil {
		close(stop)
		work.Wait()
		return 0, err
	}
	time.Sleep(stableWindow)
	pair := c.instances[2*round : 2*round+2]
	c.roll(pair, gate)
	time.Sleep(time.Until(pair[1].UpSince().Add(drainAfter)))
	t.Register(store, "draining")
	ackedAt := time.Now()
	c.rec.Line("target %s reports that it drains, accepted by the store", t.ID())
	time.Sleep(servesOn)
	t.Close()
	store.RemoveTarget(t.ID())
	c.rec.Line("target %s has left", t.ID())
	close(stop)
	work.Wait()
	return c.judge(t, ackedAt, 2*round+1), nil
}

func startTargets(store *standin.Store, port uint16) ([]*standin.Target, error) {
	var targets []*standin.Target
	for n := range 12 {
		key := uint64(0x6ae8d49000 + n)
		t, err := standin.NewTarget(standin.TargetConfig{
			ID: fmt.Sprintf("i-%010x", key), Key: key, Service: serviceID, Zone: zones[n%len(zones)], PacketPort: port,
			Listen: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 77, 2, byte(n + 1)}), 0),
		})
		if err != nil {
			return targets, err
		}
		t.Register(store, "ready")
		targets = append(targets, t)
	}
	return targets, nil
}

// startInstances starts seven instances in four data centres. The first two are those of the first
// data centre, in the order of their ranks. The seeds are the addresses of machines that are down.
func (c *testCase) startInstances(dir, program string, port uint16, store netip.AddrPort) (gates []*storeGate, err error) {
	seeds := []netip.AddrPort{
		netip.AddrPortFrom(fleet.IP(100), port+1), netip.AddrPortFrom(fleet.IP(101), port+1), netip.AddrPortFrom(fleet.IP(102), port+1),
	}
	var names []string
	for _, zone := range zones[:3] {
		names = append(names, byRank(zone, "frontend-"+zone+"-1", "frontend-"+zone+"-2")...)
	}
	names = append(names, "frontend-kandy-d-1")
	for n, name := range names {
		gate := newStoreGate(store)
		gates = append(gates, gate)
		i := fleet.New(fleet.Settings{
			Program: program, Dir: dir, N: n, Name: name, Zone: name[len("frontend-") : len(name)-len("-1")], Port: port,
			Zones: zones, Store: gate.addr(), Seeds: seeds,
		})
		if err := i.Start(); err != nil {
			return gates, err
		}
		c.instances = append(c.instances, i)
	}
	for _, i := range c.instances {
		if err := i.AwaitReady(); err != nil {
			return gates, err
		}
	}
	c.rec.Line("%d instances are ready", len(c.instances))
	return gates, nil
}

// byRank orders two instances of a data centre by rank; the first one reads the store for both.
func byRank(zone, a, b string) []string {
	score := func(name string) uint64 { return rendezvous.Score(rendezvous.Seed(name), rendezvous.Seed(zone)) }
	if score(a) < score(b) {
		return []string{b, a}
	}
	return []string{a, b}
}

// roll restarts the two instances of the first data centre in turn, as a platform does with
// SIGTERM. Meanwhile the store turns the first one away.
func (c *testCase) roll(pair []*fleet.Instance, gate *storeGate) {
	var both sync.WaitGroup
	for n, i := range pair {
		both.Go(func() {
			time.Sleep(time.Duration(n) * rollGap)
			c.rec.Line("%s gets SIGTERM", i.Name)
			<-i.Signal(syscall.SIGTERM)
			if n == 0 && c.trouble {
				gate.refuses.Store(true)
				c.rec.Line("the store answers 503 to %s for %s", i.Name, turnedAwayFor)
				time.AfterFunc(turnedAwayFor, func() {
					gate.refuses.Store(false)
					c.rec.Line("the store serves %s again", i.Name)
				})
			}
			time.Sleep(restartDelay)
			if err := i.Start(); err != nil {
				c.rec.Line("%s did not start: %v", i.Name, err)
				return
			}
			c.rec.Line("%s is started", i.Name)
		})
	}
	both.Wait()
}

// probe keeps the rotation of an instance as the routers do.
func (c *testCase) probe(n int, stop <-chan struct{}) {
	misses := 0
	for {
		if c.instances[n].AnswersReady() {
			misses = 0
			c.setRotation(n, true)
		} else if misses++; misses >= 2 {
			c.setRotation(n, false)
		}
		select {
		case <-stop:
			return
		case <-time.After(probeInterval):
		}
	}
}

func (c *testCase) setRotation(n int, in bool) {
	if c.rotation[n].Swap(in) != in {
		c.rec.Line("%s in rotation: %t", c.instances[n].Name, in)
	}
}

// route returns the instance for the packets of a client of a data centre: one of that data centre
// or, if none is in rotation, of the nearest one that has any.
func (c *testCase) route(round int, id forwarding.FlowID) int {
	for k := range zones {
		var in []int
		for n, i := range c.instances {
			if i.Zone == zones[(round+k)%len(zones)] && c.rotation[n].Load() {
				in = append(in, n)
			}
		}
		if len(in) > 0 {
			return in[int(id.Hash()%uint64(len(in)))]
		}
	}
	return 0
}

func (c *testCase) startClients(port uint16, round int, stop <-chan struct{}, work *sync.WaitGroup) error {
	for n := range clients {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 77, byte(3 + round), byte(n + 1)}), port)
		client, err := standin.NewClient(addr, func(id forwarding.FlowID) netip.AddrPort {
			k := c.route(round, id)
			c.mu.Lock()
			if o, known := c.flows[id]; !known {
				c.flows[id] = opening{at: time.Now(), instance: k}
			} else if o.instance != k {
				o.moved = true
				c.flows[id] = o
			}
			c.mu.Unlock()
			return c.instances[k].Packet
		})
		if err != nil {
			return err
		}
		work.Go(func() {
			defer client.Close()
			var flows sync.WaitGroup
			for {
				select {
				case <-stop:
					flows.Wait()
					return
				case <-time.After(clients * flowInterval):
				}
				flows.Go(func() { c.useFlow(client) })
			}
		})
	}
	return nil
}

// useFlow opens a flow and makes one request on it.
func (c *testCase) useFlow(client *standin.Client) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	f, err := client.Open(ctx, endpoint())
	if err != nil {
		c.finish("", "", err)
		return
	}
	defer f.Close()
	id, _, err := f.Request(ctx, "GET /slots HTTP/1.1")
	c.finish(f.ID.String(), id, err)
}

func (c *testCase) finish(flow, target string, err error) {
	if err != nil {
		c.rec.Line("request failed: %v", err)
	} else {
		c.rec.Line("request on flow %s was run and answered by target %s", flow, target)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.failed++
		return
	}
	c.served++
}

// judge counts the flows whose first packet the instance with a number took while it was in touch, and
// that reached the draining target after the bound.
func (c *testCase) judge(t *standin.Target, ackedAt time.Time, number int) (broken int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	second := c.instances[number]
	inTouchFrom := second.UpSince().Add(stableWindow)
	arrivals, _ := t.Arrivals()
	for _, a := range arrivals {
		o, known := c.flows[a.Flow]
		if !a.SYN || !known || a.At.Before(ackedAt.Add(drainBound)) || o.at.Before(inTouchFrom) || o.instance != number || o.moved {
			continue
		}
		broken++
		c.rec.Line("flow %s, sent at %.3f s to %s, in touch since %.3f s, reached the draining target %d ms after the store accepted that it drains (bound %d ms)",
			a.Flow, o.at.Sub(c.rec.Start).Seconds(), second.Name, inTouchFrom.Sub(c.rec.Start).Seconds(),
			a.At.Sub(ackedAt).Milliseconds(), drainBound.Milliseconds())
	}
	return broken
}

func endpoint() view.Endpoint { return view.Endpoint{Addr: [4]byte{198, 18, 0, 1}, Port: 443} }
