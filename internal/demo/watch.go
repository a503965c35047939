package demo

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"guavaloom.example/guavaloom/internal/testbed"
	"guavaloom.example/guavaloom/internal/zone"
)

// watchInterval is the interval at which all instances are polled.
const watchInterval = 100 * time.Millisecond

// watcher polls the readiness and the revision in force of all instances.
type watcher struct {
	fleet *testbed.Fleet
	stop  chan struct{}
	ended chan struct{}

	mu       sync.Mutex
	up       []*testbed.Instance
	newest   map[*testbed.Instance]zone.Revision
	wentBack map[*testbed.Instance]bool
}

func newWatcher(f *testbed.Fleet) *watcher {
	w := &watcher{fleet: f, stop: make(chan struct{}), ended: make(chan struct{}),
		newest: map[*testbed.Instance]zone.Revision{}, wentBack: map[*testbed.Instance]bool{}}
	go w.run()
	return w
}

func (w *watcher) end() {
	close(w.stop)
	<-w.ended
}

func (w *watcher) run() {
	defer close(w.ended)
	tick := time.NewTicker(watchInterval)
	defer tick.Stop()
	for {
		select {
		case <-w.stop:
			return
		case <-tick.C:
			w.look()
		}
	}
}

func (w *watcher) look() {
	var up []*testbed.Instance
	for _, i := range w.fleet.Instances() {
		if w.fleet.Ready(i) {
			up = append(up, i)
		}
		if s, err := w.fleet.Status(i); err == nil {
			w.revision(i, s.Revision)
		}
	}
	w.mu.Lock()
	w.up = up
	w.mu.Unlock()
}

func (w *watcher) revision(i *testbed.Instance, text string) {
	var r zone.Revision
	if _, err := fmt.Sscanf(text, "%d.%d", &r.Epoch, &r.Number); err != nil {
		return // the instance has no table yet
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if r.Compare(w.newest[i]) < 0 {
		w.wentBack[i] = true
		return
	}
	w.newest[i] = r
}

// ready returns the instances that were ready at the last poll.
func (w *watcher) ready() []*testbed.Instance {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.up
}

// reverted returns the number of instances that went back to an older revision.
func (w *watcher) reverted() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.wentBack)
}

// controlBytes returns the bytes of control traffic that an instance has sent, or 0 if
// its metrics can't be read.
func (w *watcher) controlBytes(i *testbed.Instance) float64 {
	_, text, err := w.fleet.Get(i, "/metrics")
	if err != nil {
		return 0
	}
	for line := range strings.Lines(text) {
		var n float64
		if _, err := fmt.Sscanf(line, `guavaloom_peer_sent_bytes_total{lane="control"} %g`, &n); err == nil {
			return n
		}
	}
	return 0
}
