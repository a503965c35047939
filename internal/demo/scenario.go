package demo

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"guavaloom.example/guavaloom/internal/steering"
	"guavaloom.example/guavaloom/internal/testbed"
)

// startTraffic opens the early flows and waits until they are established. Then it
// starts to open further flows and to make requests until ctx ends, and waits until
// 100 requests are answered.
func (s *scenario) startTraffic(ctx context.Context) error {
	s.spray()
	s.flows.Open(testbed.FeedAddr, earlyFeeds)
	s.flows.Open(testbed.BoardAddr, earlyBoards)
	established := func() bool { return s.flows.Counts(limit).Established == earlyFeeds+earlyBoards }
	if err := await(ctx, established, "flows are not established"); err != nil {
		return err
	}
	s.traffic.Go(func() { s.openFlows(ctx) })
	for n := range callers {
		s.traffic.Go(func() { s.requests.Run(ctx, fmt.Sprintf("caller-%d", n), s.opts.Seed+int64(n), s.watch.ready) })
	}
	return await(ctx, func() bool { return s.requests.Counts().Answered >= 100 }, "requests are not answered")
}

func (s *scenario) openFlows(ctx context.Context) {
	tick := time.NewTicker(100 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			s.flows.Open(testbed.FeedAddr, 2)
			s.flows.Open(testbed.BoardAddr, 1)
		}
	}
}

// change drains targets, adds others, stops one instance and kills another, all at
// once, and waits until the second bundle is in force.
func (s *scenario) change(ctx context.Context, f *findings) error {
	if err := s.startFlowTarget("feed-5", testbed.Feed, testbed.FeedAddr); err != nil {
		return err
	}
	if err := s.startWebTarget("web-4", false); err != nil {
		return err
	}
	for i := range s.targets {
		s.targets[i].Drain = slices.Contains(drained, s.targets[i].Name)
	}
	all := s.fleet.Instances()
	leaver, victim := all[1], all[3]
	var work sync.WaitGroup
	work.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, rollLimit)
		defer cancel()
		f.rolled = s.fleet.Roll(ctx, testbed.BundleText(2, s.targets))
	})
	work.Go(func() {
		f.stopped = s.fleet.Stop(leaver)
		s.spray()
	})
	work.Go(func() {
		s.requests.Killed(victim)
		s.fleet.Kill(victim)
		// The network fabric detects a killed instance only after a delay.
		time.Sleep(time.Second)
		s.spray()
	})
	work.Wait()
	f.zones = "2 not"
	if f.rolled == nil {
		f.zones = "1.2"
	}
	return ctx.Err()
}

var drained = []string{"feed-0", "board-0", "web-0"}

// newWork returns the number of flows and requests that the drained targets have
// received so far.
func (s *scenario) newWork() int {
	n := 0
	for _, name := range drained {
		n += s.flows.OpenedAt(name) + s.requests.RunAt(name)
	}
	return n
}

// awaitDrained waits until the drained targets get no new work for quietTime.
func (s *scenario) awaitDrained(ctx context.Context, f *findings) {
	before := s.newWork()
	ctx, cancel := context.WithTimeout(ctx, settleLimit)
	defer cancel()
	last, since := before, time.Now()
	err := testbed.Await(ctx, func() bool {
		if n := s.newWork(); n != last {
			last, since = n, time.Now()
		}
		return time.Since(since) >= quietTime
	})
	f.drained, f.late, f.work = err == nil, last-before, last
}

// judge waits until every open flow has received a packet, and records the counts.
func (s *scenario) judge(ctx context.Context, f *findings) {
	wait, cancel := context.WithTimeout(ctx, settleLimit)
	defer cancel()
	since := time.Now()
	f.stalled = testbed.Await(wait, func() bool { return s.flows.AllMovedSince(since) }) != nil
	f.drained = f.drained && s.newWork() == f.work
	f.reverted = s.watch.reverted()
	f.reports.Flows = s.flows.Counts(settleLimit / 2)
	f.reports.Requests = s.requests.Counts()
	seconds := time.Since(s.began).Seconds()
	for _, i := range s.fleet.Instances() {
		sent := s.watch.controlBytes(i)
		f.reports.ControlBytesPerSecond = max(f.reports.ControlBytesPerSecond, int(sent/seconds))
	}
}

// plainHash returns the function for the fault PlainHash, which replaces a steering
// decision by a hash over the targets of the first bundle.
func (s *scenario) plainHash() func(steering.Decision, steering.Packet) steering.Decision {
	feeds := s.ofService(testbed.Feed)
	return func(d steering.Decision, p steering.Packet) steering.Decision {
		if d.Action == steering.Drop || p.Key.Dst != testbed.FeedAddr.Addr() {
			return d
		}
		return steering.Decision{Action: steering.Forward, Addr: feeds[p.Key.Hash()%uint64(len(feeds))].Addr}
	}
}

func (s *scenario) ofService(name string) []testbed.Listed {
	var of []testbed.Listed
	for _, t := range s.targets {
		if t.Service == name {
			of = append(of, t)
		}
	}
	return of
}
