//go:build linux

package soak

import (
	"bytes"
	"fmt"
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

	"github.com/go-faster/errors"

	"guavaloom.example/guavaloom/platform"
)

// instance is one process of the built program, which is started again when it ends.
type instance struct {
	name    string
	packet  netip.AddrPort
	ready   netip.AddrPort
	admin   netip.AddrPort
	file    string
	program string
	log     *os.File
	store   *proxy
	report  func(format string, args ...any) // of a broken promise

	mu       sync.Mutex // guards all below
	cmd      *exec.Cmd
	expected string // signal that the process was sent and may end by
	stopped  bool   // the run is over
	ended    chan struct{}
}

// start runs the process and starts it again after each end.
func (i *instance) start() error {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.launch()
}

func (i *instance) launch() error {
	i.cmd = exec.Command(i.program)
	i.cmd.Env = []string{platform.SettingsVariable + "=" + i.file}
	i.cmd.Stdout, i.cmd.Stderr = i.log, i.log
	// The process ends with the soak, also if that is killed.
	i.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := i.cmd.Start(); err != nil {
		return errors.Wrap(err, i.name)
	}
	i.expected = ""
	i.ended = make(chan struct{})
	go i.await(i.cmd, i.ended)
	return nil
}

// restartAfter is the pause between a process's end and its next start.
const restartAfter = 300 * time.Millisecond

func (i *instance) await(cmd *exec.Cmd, ended chan struct{}) {
	err := cmd.Wait()
	close(ended)
	i.mu.Lock()
	expected, stopped := i.expected, i.stopped
	i.mu.Unlock()
	switch {
	case expected == "":
		i.report("%s ended by itself: %v; its log ends with %s", i.name, err, i.lastWords())
	case expected == "terminated" && err != nil:
		i.report("%s ended with %v after SIGTERM", i.name, err)
	}
	if stopped {
		return
	}
	time.Sleep(restartAfter)
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.stopped {
		return
	}
	if err := i.launch(); err != nil {
		i.report("%v", err)
	}
}

// signal sends a signal to the process, by its own id.
func (i *instance) signal(s syscall.Signal) {
	i.mu.Lock()
	defer i.mu.Unlock()
	switch s {
	case syscall.SIGKILL:
		i.expected = "killed"
	case syscall.SIGTERM:
		if i.expected == "" {
			i.expected = "terminated"
			if !i.listens() {
				i.expected = "terminated before it served" // by the signal itself
			}
		}
	}
	_ = i.cmd.Process.Signal(s) // the process may have ended
}

// listens reports whether the process has come so far in its start that it serves. Before
// that a signal may end it at once.
func (i *instance) listens() bool {
	c, err := net.DialTimeout("tcp", i.ready.String(), time.Second)
	if err != nil {
		return false
	}
	_ = c.Close() // nothing was written
	return true
}

// stop ends the process for good.
func (i *instance) stop() {
	i.mu.Lock()
	i.stopped, i.expected = true, "killed"
	ended := i.ended
	_ = i.cmd.Process.Kill() // it may have ended
	i.mu.Unlock()
	<-ended
}

// answersReady makes one readiness check, as the routers do.
func (i *instance) answersReady() bool {
	client := http.Client{Timeout: 300 * time.Millisecond}
	defer client.CloseIdleConnections()
	resp, err := client.Get("http://" + i.ready.String() + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// lastWords returns the end of the process's log, which tells why it ended.
func (i *instance) lastWords() string {
	const most = 600 // bytes
	b, err := os.ReadFile(i.log.Name())
	if err != nil {
		return err.Error()
	}
	return string(b[max(0, len(b)-most):])
}

// newInstance writes the settings of an instance at an address.
func newInstance(dir, program string, n int, ip netip.Addr, zone string, packetPort uint16, port func(ip netip.Addr) netip.AddrPort,
	store *proxy, seeds []string, deployment string) (*instance, error) {
	i := &instance{
		name: fmt.Sprintf("instance-%d", n), packet: netip.AddrPortFrom(ip, packetPort), ready: port(ip),
		program: program, store: store, file: filepath.Join(dir, fmt.Sprintf("instance-%d.ini", n)),
	}
	peer, reports := netip.AddrPortFrom(ip, peerPort(packetPort)), netip.AddrPortFrom(ip, reportsPort(packetPort))
	i.admin = port(ip)
	var b bytes.Buffer
	_, _ = fmt.Fprintf(&b, "[instance]\nname = %s\nzone = %s\n[listen]\npacket = %s\nready = %s\npeer = %s\nadmin = %s\nreports = %s\n",
		i.name, zone, i.packet, i.ready, peer, i.admin, reports)
	_, _ = fmt.Fprintf(&b, "[balancing]\npace = on\noverload = on\n")
	_, _ = fmt.Fprintf(&b, "[store]\naddress = %s\n[peers]\nseeds = %s\n%s", store.addr(), strings.Join(seeds, ","), deployment)
	if err := os.WriteFile(i.file, b.Bytes(), 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(dir, i.name+".log"))
	i.log = log
	return i, err
}

// peerPort is the port at which all instances serve each other, reportsPort the one at which they
// receive reports about targets.
func peerPort(packetPort uint16) uint16    { return packetPort + 1 }
func reportsPort(packetPort uint16) uint16 { return packetPort + 2 }
