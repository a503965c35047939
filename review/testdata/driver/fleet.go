//go:build linux

package main

import (
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"guavaloom.example/guavaloom/internal/forwarding"
	"guavaloom.example/guavaloom/internal/rendezvous"
	"guavaloom.example/guavaloom/platform/standin"
)

// Offsets of an instance's ports from the packet port.
const (
	peerOffset = 1 + iota
	reportsOffset
	readyOffset
	adminOffset
	portCount
)

// instance is a process of the deploy file's program on a loopback address of its own.
type instance struct {
	name, zone string
	ip         netip.Addr
	file, log  string
	out        *os.File
	cmd        *exec.Cmd // guarded by fleet.mu after the first start
	ended      chan struct{}
	stopping   bool // guarded by fleet.mu
	inRotation bool // guarded by fleet.mu
}

// fleet is a small deployment with the stand-in of the store.
type fleet struct {
	dir, program string
	zones        string // with their regions, as in the settings
	rec          *record
	store        *standin.Store
	base         uint16
	subnet       [3]byte
	nextIP       byte
	dark         []int // descriptors that keep addresses of removed machines silent

	mu        sync.Mutex // guards all below
	instances []*instance
	ownEnds   int
}

func newFleet(rec *record, program string) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f := &fleet{dir: dir, program: program, rec: rec, store: standin.New(), nextIP: 1}
	f.subnet = [3]byte{127, byte(1 + rand.Intn(250)), byte(rand.Intn(250))}
	for range 200 {
		f.base = uint16(10_000 + rand.Intn(20_000))
		if f.portsFree() {
			return f, nil
		}
	}
	return nil, fmt.Errorf("no free ports")
}

func (f *fleet) addr(n byte) netip.Addr {
	return netip.AddrFrom4([4]byte{f.subnet[0], f.subnet[1], f.subnet[2], n})
}

func (f *fleet) newIP() netip.Addr {
	f.nextIP++
	return f.addr(f.nextIP)
}

// portsFree reports whether the ports of the fleet are free on all loopback addresses.
func (f *fleet) portsFree() bool {
	for n := range uint16(portCount) {
		at := fmt.Sprintf("0.0.0.0:%d", f.base+n)
		l, err := net.Listen("tcp", at)
		if err != nil {
			return false
		}
		_ = l.Close()
		c, err := net.ListenPacket("udp", at)
		if err != nil {
			return false
		}
		_ = c.Close()
	}
	return true
}

func (f *fleet) port(ip netip.Addr, offset uint16) netip.AddrPort {
	return netip.AddrPortFrom(ip, f.base+offset)
}

// settings is the template of the deploy file, filled in for a small deployment.
const settings = `[instance]
name = %s
zone = %s
first_start = %t
[listen]
packet = %s
ready = %s
peer = %s
admin = %s
reports = %s
[store]
address = %s
history_s = 20
reads_per_s = 2000
[deployment]
stop_grace_s = 6
config_bound_ms = 3000
drain_bound_ms = 3000
zones = %s
stable_window_ms = 4000
heartbeat_ms = 1200
max_flow_s = 60
[balancing]
pace = on
overload = on
[peers]
seeds = %s
[limits]
memory_mb = 284
link_mbps = 1000.0
`

// start starts an instance. Seeds are the first three machines of the deployment.
func (f *fleet) start(name, zone string, first bool) (*instance, error) {
	i := &instance{name: name, zone: zone, ip: f.newIP(), ended: make(chan struct{})}
	var seeds []string
	for n := byte(2); n < 5; n++ {
		seeds = append(seeds, f.port(f.addr(n), peerOffset).String())
	}
	text := fmt.Sprintf(settings, name, zone, first, f.port(i.ip, 0), f.port(i.ip, readyOffset), f.port(i.ip, peerOffset),
		f.port(i.ip, adminOffset), f.port(i.ip, reportsOffset), f.store.Addr(), f.zones, strings.Join(seeds, ","))
	i.file, i.log = filepath.Join(f.dir, name+".ini"), filepath.Join(f.dir, name+".log")
	if err := os.WriteFile(i.file, []byte(text), 0o600); err != nil {
		return nil, err
	}
	out, err := os.Create(i.log)
	if err != nil {
		return nil, err
	}
	i.out = out
	if err := f.launch(i); err != nil {
		return nil, err
	}
	go f.await(i)
	go f.probe(i)
	f.mu.Lock()
	f.instances = append(f.instances, i)
	f.mu.Unlock()
	return i, nil
}

// launch starts an instance's process.
func (f *fleet) launch(i *instance) error {
	cmd := exec.Command(f.program)
	cmd.Env = []string{"GUAVALOOM_SETTINGS=" + i.file}
	cmd.Stdout, cmd.Stderr = i.out, i.out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	i.cmd = cmd
	f.rec.printf("start %s at %s", i.name, i.ip)
	return nil
}

// restartDelay is how long after its end the platform starts a process again.
const restartDelay = 300 * time.Millisecond

// await waits for the end of a process and starts it again, as the platform does, unless it was
// told to end.
func (f *fleet) await(i *instance) {
	defer close(i.ended)
	for {
		err := i.cmd.Wait()
		f.mu.Lock()
		stopping := i.stopping
		if !stopping {
			f.ownEnds++
		}
		f.mu.Unlock()
		if stopping {
			f.rec.printf("ended %s after a signal", i.name)
			return
		}
		f.rec.printf("ENDED BY ITSELF %s: %v; the end of its output: %s", i.name, err, f.panicOf(i))
		time.Sleep(restartDelay)
		f.mu.Lock()
		if !i.stopping {
			err = f.launch(i)
		}
		stopping = i.stopping
		f.mu.Unlock()
		if stopping || err != nil {
			return
		}
	}
}

// signal sends a signal to an instance's process for its planned end.
func (f *fleet) signal(i *instance, s syscall.Signal) {
	f.mu.Lock()
	defer f.mu.Unlock()
	i.stopping = true
	_ = i.cmd.Process.Signal(s) // it may have ended
}

// panicOf returns the lines of an instance's output from a panic on.
func (f *fleet) panicOf(i *instance) string {
	b, err := os.ReadFile(i.log)
	if err != nil {
		return err.Error()
	}
	text := string(b)
	at := strings.Index(text, "panic: ")
	if at < 0 {
		return text[max(0, len(text)-600):]
	}
	var out []string
	for line := range strings.SplitSeq(text[at:], "\n") {
		if line != "" && !strings.HasPrefix(line, "\t") { // without the file names
			out = append(out, line)
		}
	}
	return strings.Join(out[:min(len(out), 8)], " | ")
}

// probe checks the readiness twice a second, as the routers do; two misses take an instance
// out of the rotation.
func (f *fleet) probe(i *instance) {
	client := http.Client{Timeout: 400 * time.Millisecond}
	for misses := 0; ; time.Sleep(500 * time.Millisecond) {
		select {
		case <-i.ended:
			return
		default:
		}
		resp, err := client.Get("http://" + f.port(i.ip, readyOffset).String() + "/ready")
		ok := err == nil && resp.StatusCode == http.StatusOK
		if err == nil {
			_ = resp.Body.Close()
		}
		if ok {
			misses = 0
		} else {
			misses++
		}
		f.mu.Lock()
		if ok || misses >= 2 {
			i.inRotation = ok
		}
		f.mu.Unlock()
	}
}

func (f *fleet) awaitReady(i *instance) bool {
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		f.mu.Lock()
		ready := i.inRotation
		f.mu.Unlock()
		if ready {
			return true
		}
	}
	return false
}

// route returns the instance of a data centre that gets the packets of a flow: a steady hash
// over those in rotation.
func (f *fleet) route(zone string) func(forwarding.FlowID) netip.AddrPort {
	return func(id forwarding.FlowID) netip.AddrPort {
		f.mu.Lock()
		defer f.mu.Unlock()
		var best *instance
		var bestScore uint64
		for _, i := range f.instances {
			if i.zone != zone || !i.inRotation {
				continue
			}
			if s := rendezvous.Score(rendezvous.Seed(i.ip.String()), id.Hash()); best == nil || s > bestScore {
				best, bestScore = i, s
			}
		}
		if best == nil {
			return netip.AddrPort{}
		}
		return f.port(best.ip, 0)
	}
}

// remove stops an instance for good with SIGTERM, and SIGKILL after the grace of 6 s. Nobody
// responds at its address afterwards, as on a machine without power.
func (f *fleet) remove(i *instance) error {
	f.signal(i, syscall.SIGTERM)
	select {
	case <-i.ended:
	case <-time.After(6 * time.Second):
		f.signal(i, syscall.SIGKILL)
		<-i.ended
	}
	return f.silence(f.port(i.ip, peerOffset))
}

// silence makes connections to an address hang: a listener that accepts none, with a full queue.
func (f *fleet) silence(at netip.AddrPort) error {
	sa := &syscall.SockaddrInet4{Port: int(at.Port()), Addr: at.Addr().As4()}
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return err
	}
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return err
	}
	if err := syscall.Bind(fd, sa); err != nil {
		return err
	}
	if err := syscall.Listen(fd, 0); err != nil {
		return err
	}
	f.dark = append(f.dark, fd)
	for range 4 {
		c, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC, 0)
		if err != nil {
			return err
		}
		_ = syscall.Connect(c, sa) // stays in progress once the queue is full
		f.dark = append(f.dark, c)
	}
	return nil
}

// close ends all processes that were started.
func (f *fleet) close() {
	f.mu.Lock()
	all := append([]*instance{}, f.instances...)
	f.mu.Unlock()
	for _, i := range all {
		f.signal(i, syscall.SIGKILL)
		<-i.ended
	}
	f.store.Close()
	_ = os.RemoveAll(f.dir)
}
