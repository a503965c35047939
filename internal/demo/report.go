package demo

import (
	"fmt"
	"strings"

	"guavaloom.example/guavaloom/internal/testbed"
)

// Promise is one invariant of docs/design.md, section 1.2, with its verdict and the
// figures behind it.
type Promise struct {
	Name   string `json:"name"`
	Held   bool   `json:"held"`
	Figure string `json:"figure"`
}

// Report is the result of a demo run.
type Report struct {
	Promises []Promise             `json:"promises"`
	Flows    testbed.FlowCounts    `json:"flows"`
	Requests testbed.RequestCounts `json:"requests"`
	// ControlBytesPerSecond is the control traffic that the busiest instance sent to
	// its peers.
	ControlBytesPerSecond int `json:"control_bytes_per_second"`
}

// Held reports whether all promises were kept.
func (r *Report) Held() bool {
	for _, p := range r.Promises {
		if !p.Held {
			return false
		}
	}
	return true
}

// Text returns the report as a table.
func (r *Report) Text() string {
	var b strings.Builder
	for _, p := range r.Promises {
		state := "held"
		if !p.Held {
			state = "BROKEN"
		}
		fmt.Fprintf(&b, "%-7s %-58s %s\n", state, p.Name, p.Figure)
	}
	fmt.Fprintf(&b, "\n%d flows opened, %d packets sprayed; %d requests, %d refused as not run, %d with unknown outcome after the kill\n",
		r.Flows.Opened, r.Flows.Sent, r.Requests.Attempts, r.Requests.Refused+r.Requests.NotSent, r.Requests.Unknown)
	fmt.Fprintf(&b, "control traffic of the busiest instance: %d bytes/s\n", r.ControlBytesPerSecond)
	return b.String()
}

// findings holds the observations that decide whether the promises were kept. The
// counts are in reports.
type findings struct {
	stalled  bool   // an open flow received no more packets
	late     int    // new work at drained targets from the end of the changes until it stopped
	work     int    // all work of drained targets when new work stopped
	drained  bool   // drained targets stopped getting new work and got none later
	stopped  error  // error of the graceful stop
	rolled   error  // error of the second roll
	reverted int    // instances seen going back to an older revision
	zones    string // revision in force at the end
	reports  Report
}

func (f *findings) report() *Report {
	fl, rq := f.reports.Flows, f.reports.Requests
	r := f.reports
	add := func(name string, held bool, format string, args ...any) {
		r.Promises = append(r.Promises, Promise{name, held, fmt.Sprintf(format, args...)})
	}
	add("open flows survive all changes", fl.Broken == 0 && !f.stalled && fl.Established > 0,
		"%d of %d flows broken, %d stalled", fl.Broken, fl.Established, fl.Stalled)
	add("a packet never reaches another service's target", fl.WrongService == 0, "%d of %d packets", fl.WrongService, fl.Packets)
	add("a caller gets the complete answer to its own request", rq.Wrong == 0 && rq.Status == 0 && rq.Answered > 0,
		"%d of %d answers wrong", rq.Wrong+rq.Status, rq.Answered)
	add("a request refused as not run did not run", rq.FalseNotRun == 0, "%d of %d refusals", rq.FalseNotRun, rq.Refused)
	add("a non-idempotent request runs at most once", rq.DoubleRuns == 0, "%d ran twice, %d keys were repeated", rq.DoubleRuns, rq.Keys)
	add("a target that leaves gets no new work", f.drained, "%d flows and requests until the drain took effect, then none", f.late)
	add("a planned stop cuts no request in flight", rq.Cut == 0 && rq.UnknownUnkeyed == 0 && f.stopped == nil,
		"%d cut, %d without a known outcome%s", rq.Cut, rq.UnknownUnkeyed, failureReason(f.stopped))
	add("an accepted bundle is in force everywhere and stays", f.rolled == nil && f.reverted == 0,
		"revision %s, %d instances went back%s", f.zones, f.reverted, failureReason(f.rolled))
	return &r
}

func failureReason(err error) string {
	if err == nil {
		return ""
	}
	return ": " + err.Error()
}
