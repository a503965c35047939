//go:build linux

package e2e

import (
	"context"
	"encoding/base64"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"guavaloom.example/guavaloom/internal/cli"
	"guavaloom.example/guavaloom/internal/instance"
	"guavaloom.example/guavaloom/internal/objectstore"
	"guavaloom.example/guavaloom/internal/settings"
	"guavaloom.example/guavaloom/internal/testbed"
)

// hang is a limit against a test that never ends; no verdict depends on it.
const hang = 90 * time.Second

// programs is the folder of the built programs.
var programs string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "guavaloom-e2e-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	programs = dir
	build := exec.Command("go", "build", "-o", dir+string(filepath.Separator), "./cmd/guavaloomd", "./cmd/guavaloom")
	build.Dir = filepath.Join("..", "..")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// process is one run of guavaloomd.
type process struct {
	*testbed.Instance
	cmd  *exec.Cmd
	done chan struct{} // closed at its end
}

// fleet is the processes of one zone, with what they need and what loads them.
type fleet struct {
	*testbed.Fleet             // store of the platform stand-in, and free addresses
	url            string      // of the platform stand-in
	lose           atomic.Bool // loses the answer to the next manifest
	t              *testing.T
	ctx            context.Context
	dir            string
	address        netip.Addr
	seeds          map[instance.ID]netip.AddrPort // control addresses
	flows          *testbed.Flows
	requests       *testbed.Requests
	targets        []testbed.Listed
	trusted        []string // the signers in the settings of instances that start, and of operators
	traffic        sync.WaitGroup
	stop           context.CancelFunc // ends traffic

	mu      sync.Mutex
	running []*process
}

// maxProcesses bounds the instances of all tests that run at the same time.
const maxProcesses = 10

var (
	reserving sync.Mutex // one fleet reserves at a time, so that none waits for another
	reserved  = make(chan struct{}, maxProcesses)
)

// fleets numbers the fleets of this process.
var fleets atomic.Int32

// loopback returns another loopback address for each fleet and, with few exceptions,
// each test process, so that none takes a port that another has chosen but not yet
// opened.
func loopback() netip.Addr {
	return netip.AddrFrom4([4]byte{127, 0, 0, byte(2 + (os.Getpid()*16+int(fleets.Add(1)))%250)})
}

// Addr reserves an address of the fleet.
func (f *fleet) Addr() netip.AddrPort {
	return netip.AddrPortFrom(f.address, f.Fleet.Addr().Port())
}

// reserve waits until n more processes may run.
func reserve(n int) (release func()) {
	reserving.Lock()
	defer reserving.Unlock()
	for range n {
		reserved <- struct{}{}
	}
	return func() {
		for range n {
			<-reserved
		}
	}
}

// newFleet starts targets and the named instances, and rolls revision 1.
func newFleet(t *testing.T, ids ...instance.ID) *fleet {
	t.Helper()
	t.Parallel()
	release := reserve(len(ids))
	t.Cleanup(release)
	log := logrus.New()
	ctx, cancel := context.WithTimeout(context.Background(), hang)
	t.Cleanup(cancel)
	base, err := testbed.NewFleet(log)
	must.NoError(t, err)
	t.Cleanup(base.Close)
	f := &fleet{Fleet: base, t: t, ctx: ctx, dir: t.TempDir(), address: loopback(), seeds: map[instance.ID]netip.AddrPort{}, requests: testbed.NewRequests(), stop: func() {}}
	f.servePlatform()
	f.flows, err = testbed.NewFlows(11)
	must.NoError(t, err)
	t.Cleanup(f.flows.Close)
	for n := range 4 {
		f.addFlowTarget(fmt.Sprintf("feed-%d", n), testbed.Feed, testbed.FeedAddr)
		f.addFlowTarget(fmt.Sprintf("board-%d", n), testbed.Board, testbed.BoardAddr)
		f.addWebTarget(fmt.Sprintf("web-%d", n), false)
	}
	for _, id := range ids {
		f.seeds[id] = f.Addr()
	}
	for _, s := range append(slices.Clone(signers), spareSigner) {
		f.addSigner(s)
	}
	t.Cleanup(f.endTraffic)
	for _, id := range ids {
		f.start(id)
	}
	f.mustRoll(1)
	f.awaitReady(f.all()...)
	f.spray()
	return f
}

func (f *fleet) addFlowTarget(name, service string, address netip.AddrPort) {
	target, err := f.flows.NewFlowTarget(name, f.Addr(), address)
	must.NoError(f.t, err)
	f.t.Cleanup(target.Close)
	f.targets = append(f.targets, testbed.Listed{Name: name, Service: service, Addr: target.Addr})
}

func (f *fleet) addWebTarget(name string, double bool) {
	target, err := f.requests.NewWebTarget(name, f.Addr(), double)
	must.NoError(f.t, err)
	f.t.Cleanup(target.Close)
	f.targets = append(f.targets, testbed.Listed{Name: name, Service: testbed.Booking, Addr: target.Addr})
}

// drain marks targets in the bundles that are rolled from now on.
func (f *fleet) drain(names ...string) {
	for i := range f.targets {
		if slices.Contains(names, f.targets[i].Name) {
			f.targets[i].Drain = true
		}
	}
}

func (f *fleet) file(name string) string { return filepath.Join(f.dir, name) }

func (f *fleet) write(name, text string) string {
	must.NoError(f.t, os.WriteFile(f.file(name), []byte(text), 0o600))
	return f.file(name)
}

// signers have a key each; both have to sign a bundle, or one of them and spareSigner.
var signers = []string{"amara", "delroy"}

const spareSigner = "imani"

// addSigner makes a key and lets the settings written from now on trust it.
func (f *fleet) addSigner(name string) {
	code, out := f.tool("keys", "new", "--out", f.file(name))
	must.Eq(f.t, cli.ExitDone, code, must.Sprint(out))
	f.trust(append(f.trusted, name)...)
}

// trust sets the signers and writes the settings of the operators' tool.
func (f *fleet) trust(names ...string) {
	f.trusted = names
	text := fmt.Sprintf("[platform]\naddress = %s\n[bundle]\nname = %s\nthreshold = %d\n", f.url, testbed.Name, min(len(names), len(signers)))
	for _, s := range names {
		text += fmt.Sprintf("[key %s]\nfile = %s.pub\n", s, s)
	}
	f.write("operator.ini", text)
}

// settings writes the settings of an instance with new addresses.
func (f *fleet) settings(id instance.ID) (file string, l settings.Listen) {
	l = settings.Listen{Packet: f.Addr(), Relay: f.Addr(), Control: f.seeds[id], Request: f.Addr(), Admin: f.Addr()}
	var b strings.Builder
	p := func(format string, args ...any) { _, _ = fmt.Fprintf(&b, format+"\n", args...) }
	p("[instance]\nid = %s\nzone = %s", id, testbed.Zone)
	p("[listen]\npacket = %s\nrelay = %s\ncontrol = %s\nrequest = %s\nadmin = %s", l.Packet, l.Relay, l.Control, l.Request, l.Admin)
	p("[platform]\nurl = %s\ncalls_per_second = 20", f.url)
	p("[bundle]\nname = %s\nthreshold = %d\n[tls]\nplaintext = true\n[steering]\nworkers = 1", testbed.Name, len(signers))
	p("[seeds]")
	for other, control := range f.seeds {
		if other != id {
			p("%s = %s", other, control)
		}
	}
	p("[signers]")
	for _, s := range f.trusted {
		key, err := cli.ReadPublicKey(f.file(s + ".pub"))
		must.NoError(f.t, err)
		p("%s = %s", s, base64.StdEncoding.EncodeToString(key))
	}
	return f.write(string(id)+".ini", b.String()), l
}

// start starts an instance and lists it at the platform.
func (f *fleet) start(id instance.ID) *process {
	f.t.Helper()
	file, listen := f.settings(id)
	log, err := os.OpenFile(f.file(string(id)+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must.NoError(f.t, err)
	cmd := exec.Command(filepath.Join(programs, "guavaloomd"), "--config", file)
	cmd.Stdout, cmd.Stderr, cmd.Env = log, log, append(os.Environ(), "GOMAXPROCS=2")
	// The kernel ends the process even if the test process ends without its clean-ups.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	must.NoError(f.t, cmd.Start())
	p := &process{Instance: &testbed.Instance{ID: id, Listen: listen}, cmd: cmd, done: make(chan struct{})}
	go func() {
		_ = cmd.Wait() // the exit status is read from ProcessState
		_ = log.Close()
		close(p.done)
	}()
	f.t.Cleanup(func() { f.end(p) })
	f.await("process starts", func() bool {
		s, err := f.Status(p.Instance)
		p.Ref = instance.Ref{ID: id, Incarnation: s.Incarnation, Zone: testbed.Zone, Control: listen.Control, Relay: listen.Relay, Request: listen.Request}
		return err == nil
	})
	f.list(func() { f.running = append(f.running, p) })
	return p
}

// list changes the running processes and the platform's list of them.
func (f *fleet) list(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
	var all []objectstore.Instance
	for _, p := range f.running {
		all = append(all, objectstore.Instance{Ref: p.Ref})
	}
	f.Store.SetInstances(all)
}

// all returns the running processes in the order of their starts.
func (f *fleet) all() []*process {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.running)
}

func (f *fleet) others(than ...*process) []*process {
	return slices.DeleteFunc(f.all(), func(p *process) bool { return slices.Contains(than, p) })
}

// end kills a process and shows the end of its log if the test has failed.
func (f *fleet) end(p *process) {
	_ = p.cmd.Process.Kill() // ends stopped processes too; fails only after their end
	<-p.done
	if text, err := os.ReadFile(f.file(string(p.ID) + ".log")); err == nil && f.t.Failed() {
		f.t.Logf("log of %s:\n%s", p.ID, text[max(0, len(text)-4000):])
	}
}

// kill ends an instance as kill -9 does.
func (f *fleet) kill(p *process) {
	f.requests.Killed(p.Instance)
	must.NoError(f.t, p.cmd.Process.Signal(syscall.SIGKILL))
	<-p.done
	f.list(func() { f.running = slices.DeleteFunc(f.running, func(o *process) bool { return o == p }) })
}

// terminate stops an instance with SIGTERM and returns its exit status.
func (f *fleet) terminate(p *process) int {
	must.NoError(f.t, p.cmd.Process.Signal(syscall.SIGTERM))
	<-p.done
	f.list(func() { f.running = slices.DeleteFunc(f.running, func(o *process) bool { return o == p }) })
	return p.cmd.ProcessState.ExitCode()
}

// tool runs the operators' tool and returns its exit status and output.
func (f *fleet) tool(args ...string) (code int, out string) {
	cmd := exec.CommandContext(f.ctx, filepath.Join(programs, "guavaloom"), args...)
	text, err := cmd.CombinedOutput()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		return -1, err.Error()
	}
	return cmd.ProcessState.ExitCode(), string(text)
}

// signed writes a bundle of the current targets, signed by the named signers.
func (f *fleet) signed(name string, revision int, by ...string) string {
	f.t.Helper()
	file := f.write(name, testbed.BundleText(revision, f.targets))
	for _, s := range by {
		code, out := f.tool("bundle", "sign", file, "--key", f.file(s))
		must.Eq(f.t, cli.ExitDone, code, must.Sprint(out))
	}
	return file
}

func (f *fleet) roll(file string, more ...string) (code int, out string) {
	return f.tool(append([]string{"roll", file, "--settings", f.file("operator.ini")}, more...)...)
}

// mustRoll rolls the current targets and waits until the bundle is in force.
func (f *fleet) mustRoll(revision int) {
	f.t.Helper()
	code, out := f.roll(f.signed(fmt.Sprintf("bundle-%d.ini", revision), revision, signers...))
	must.Eq(f.t, cli.ExitDone, code, must.Sprint(out))
}

// rollLater starts a roll of the current targets and delivers its exit status.
func (f *fleet) rollLater(revision int) <-chan int {
	f.t.Helper()
	file := f.signed(fmt.Sprintf("bundle-%d.ini", revision), revision, signers...)
	rolled := make(chan int, 1)
	go func() {
		code, out := f.roll(file)
		if code != cli.ExitDone {
			f.t.Log(out)
		}
		rolled <- code
	}()
	return rolled
}

// await waits for a state that the test needs.
func (f *fleet) await(what string, holds func() bool) {
	f.t.Helper()
	if err := testbed.Await(f.ctx, holds); err != nil {
		for _, p := range f.all() {
			_, body, _ := f.Get(p.Instance, "/status")
			f.t.Logf("status of %s: %s", p.ID, body)
		}
		must.NoError(f.t, err, must.Sprint(what))
	}
}

func (f *fleet) awaitReady(all ...*process) {
	f.t.Helper()
	f.await("instances become ready", func() bool {
		return !slices.ContainsFunc(all, func(p *process) bool { return !f.Ready(p.Instance) })
	})
}

// revision returns the revision that an instance steers by, empty if it can't tell.
func (f *fleet) revision(p *process) string {
	s, _ := f.Status(p.Instance)
	return s.Revision
}

// metric reports whether an instance shows a metric with a value above 0.
func (f *fleet) metric(p *process, series string) bool {
	_, text, err := f.Get(p.Instance, "/metrics")
	return err == nil && strings.Contains(text, series+" ") && !strings.Contains(text, series+" 0\n")
}
