// Package fleet starts instances of the deploy file's program as processes on loopback, with the
// settings of a small deployment, for the scripts of a review.
package fleet

import (
	"errors"
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
)

// Heartbeat is the heartbeat interval of the targets of the small deployment.
const Heartbeat = 1200 * time.Millisecond

// TrafficAfter is how long after the machines traffic starts.
const TrafficAfter = 10 * time.Second

// portsPerInstance is the number of ports that an instance uses: for packets, other instances,
// readiness, admin and reports.
const portsPerInstance = 5

// Record writes what was sent, answered and run. It is safe for concurrent use.
type Record struct {
	// Start is the time from which the lines count.
	Start time.Time

	mu   sync.Mutex
	file *os.File
}

// NewRecord creates the file of a record.
func NewRecord(name string) (*Record, error) {
	file, err := os.Create(name)
	return &Record{Start: time.Now(), file: file}, err
}

// Line writes a line with the present time.
func (r *Record) Line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.Start).Seconds(), fmt.Sprintf(format, args...))
}

// Close closes the file.
func (r *Record) Close() { _ = r.file.Close() }

// IP returns the address of an instance by its number.
func IP(n int) netip.Addr { return netip.AddrFrom4([4]byte{127, 77, 1, byte(n + 1)}) }

// FreePorts returns the first of the ports that are free on the addresses of all instances.
func FreePorts(instances int) (uint16, error) {
	for range 50 {
		port := uint16(20000 + rand.Intn(20000))
		if isFree(port, instances) {
			return port, nil
		}
	}
	return 0, errors.New("no free ports")
}

func isFree(port uint16, instances int) bool {
	for n := range instances {
		for p := port; p < port+portsPerInstance; p++ {
			l, err := net.Listen("tcp", netip.AddrPortFrom(IP(n), p).String())
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// Instance is an instance of the program.
type Instance struct {
	Name, Zone            string
	Packet, Ready, Peer   netip.AddrPort
	program, file, output string
	// settings renders the settings file, as the platform does at each start.
	settings func(firstStart bool) string

	mu        sync.Mutex // guards all below
	cmd       *exec.Cmd
	ended     chan struct{}
	startedAt time.Time
}

// Settings are the settings of an instance that differ between cases.
type Settings struct {
	Program    string
	Dir        string
	N          int
	Name, Zone string
	Port       uint16
	Zones      []string
	Store      netip.AddrPort
	Seeds      []netip.AddrPort
}

// New returns an instance that is not running.
func New(s Settings) *Instance {
	at := func(offset uint16) netip.AddrPort { return netip.AddrPortFrom(IP(s.N), s.Port+offset) }
	i := &Instance{
		Name: s.Name, Zone: s.Zone, Packet: at(0), Peer: at(1), Ready: at(2), program: s.Program,
		file: filepath.Join(s.Dir, s.Name+".ini"), output: filepath.Join(s.Dir, s.Name+".log"),
	}
	var zones, seeds []string
	for _, z := range s.Zones {
		zones = append(zones, z+"=lk-central")
	}
	for _, a := range s.Seeds {
		seeds = append(seeds, a.String())
	}
	i.settings = func(firstStart bool) string {
		return fmt.Sprintf(`[instance]
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
evacuation_bound_ms =
warmup_overage =
warmup_slack =
zones = %s
stable_window_ms = 4000
heartbeat_ms = %d
max_flow_s = 60
[balancing]
pace = on
overload = on
[peers]
seeds = %s
[limits]
memory_mb = 284
link_mbps = 1000
`, s.Name, s.Zone, firstStart, at(0), at(2), at(1), at(3), at(4), s.Store, strings.Join(zones, ","), Heartbeat.Milliseconds(), strings.Join(seeds, ","))
	}
	return i
}

// Start renders the settings and starts the process.
func (i *Instance) Start() error {
	i.mu.Lock()
	defer i.mu.Unlock()
	if err := os.WriteFile(i.file, []byte(i.settings(i.cmd == nil)), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(i.output, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(i.program)
	cmd.Env = []string{"GUAVALOOM_SETTINGS=" + i.file}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	go func() { _ = cmd.Wait(); close(ended) }()
	i.cmd, i.ended, i.startedAt = cmd, ended, time.Now()
	return nil
}

// Signal sends a signal to the process and returns a channel that is closed when it has ended.
func (i *Instance) Signal(s syscall.Signal) <-chan struct{} {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.cmd == nil {
		ended := make(chan struct{})
		close(ended)
		return ended
	}
	_ = i.cmd.Process.Signal(s) // it may have ended
	return i.ended
}

// Kill ends the process and waits for its end.
func (i *Instance) Kill() { <-i.Signal(syscall.SIGKILL) }

// UpSince returns when the process was last started.
func (i *Instance) UpSince() time.Time {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.startedAt
}

// Log returns what the processes of the instance wrote.
func (i *Instance) Log() string {
	b, err := os.ReadFile(i.output)
	if err != nil {
		return err.Error()
	}
	return string(b)
}

// AnswersReady makes one readiness check, as the routers do.
func (i *Instance) AnswersReady() bool {
	client := http.Client{Timeout: 300 * time.Millisecond}
	defer client.CloseIdleConnections()
	resp, err := client.Get("http://" + i.Ready.String() + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// AwaitReady waits until the instance is ready.
func (i *Instance) AwaitReady() error {
	for range 100 {
		if i.AnswersReady() {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("%s is not ready", i.Name)
}
