//go:build linux

package e2e

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"github.com/shoenig/test/must"

	"guavaloom.example/guavaloom/internal/testbed"
)

// spray makes the given instances, or all running ones, receive packets.
func (f *fleet) spray(to ...*process) {
	if len(to) == 0 {
		to = f.all()
	}
	var fabric []netip.AddrPort
	for _, p := range to {
		fabric = append(fabric, p.Listen.Packet)
	}
	f.flows.SetFabric(fabric)
}

// open opens n flows to each flow service and waits until targets have them.
func (f *fleet) open(n int) {
	f.t.Helper()
	want := f.flows.Counts(hang).Established + 2*n
	f.flows.Open(testbed.FeedAddr, n)
	f.flows.Open(testbed.BoardAddr, n)
	f.await("flows are established", func() bool { return f.flows.Counts(hang).Established >= want })
}

// moves waits until every flow has had a packet arrive since now.
func (f *fleet) moves() {
	f.t.Helper()
	since := time.Now()
	f.await("all flows go on", func() bool { return f.flows.Counts(hang).Broken > 0 || f.flows.AllMovedSince(since) })
	must.Zero(f.t, f.flows.Counts(hang).Broken)
}

// callers make requests at random ready instances, and open flows, until endTraffic.
func (f *fleet) callers(n int) {
	ctx, cancel := context.WithCancel(f.ctx)
	f.stop = cancel
	ready := func() []*testbed.Instance {
		var all []*testbed.Instance
		for _, p := range f.all() {
			if f.Ready(p.Instance) {
				all = append(all, p.Instance)
			}
		}
		return all
	}
	for c := range n {
		f.traffic.Go(func() { f.requests.Run(ctx, fmt.Sprintf("caller-%d", c), int64(c), ready) })
	}
	f.traffic.Go(func() {
		for ctx.Err() == nil {
			f.flows.Open(testbed.FeedAddr, 1)
			f.flows.Open(testbed.BoardAddr, 1)
			time.Sleep(100 * time.Millisecond)
		}
	})
}

func (f *fleet) endTraffic() {
	f.stop()
	f.traffic.Wait()
}

// answered waits until n more requests have been answered.
func (f *fleet) answered(n int) {
	f.t.Helper()
	want := f.requests.Counts().Answered + n
	f.await("requests are answered", func() bool { return f.requests.Counts().Answered >= want })
}

// do makes a request at an instance.
func (f *fleet) do(p *process, method, path, key string) testbed.Outcome {
	return f.requests.Do(f.ctx, p.Instance, testbed.Call{Method: method, Path: path, Key: key, Body: []byte("body of " + path + key)})
}

// serves checks that an instance answers a new request.
func (f *fleet) serves(p *process) {
	f.t.Helper()
	f.await("request is answered", func() bool { return f.do(p, http.MethodGet, "/slots", "") == testbed.Answered })
}

// problems returns what breaks a promise, whatever fails: empty if nothing does.
func (f *fleet) problems() []string {
	var all []string
	add := func(n int, what string) {
		if n != 0 {
			all = append(all, fmt.Sprintf("%d %s", n, what))
		}
	}
	fl, rq := f.flows.Counts(hang), f.requests.Counts()
	add(fl.Broken, "flows broken")
	add(fl.WrongService, "packets at another service's target")
	add(rq.Wrong, "wrong answers")
	add(rq.Status, "answers that no target gave")
	add(rq.DoubleRuns, "double runs")
	add(rq.FalseNotRun, "runs that were refused as not run")
	add(rq.Cut, "requests cut")
	return all
}

// holds checks the promises and logs the counts that they were judged on.
func (f *fleet) holds() {
	f.t.Helper()
	f.endTraffic()
	f.moves()
	f.t.Logf("flows %+v", f.flows.Counts(hang))
	f.t.Logf("requests %+v", f.requests.Counts())
	must.SliceEmpty(f.t, f.problems())
}
