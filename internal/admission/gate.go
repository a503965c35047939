package admission

import (
	"cmp"
	"math/rand"
	"slices"
	"time"

	"guavaloom.example/guavaloom/internal/invariant"
	"guavaloom.example/guavaloom/internal/service"
	"guavaloom.example/guavaloom/internal/target"
)

// Gate queues the requests of one service at one instance and starts them on targets.
type Gate struct {
	cfg          Config
	rng          *rand.Rand
	targets      []*targetState // ordered by ID
	byID         map[target.ID]*targetState
	classes      [service.Classes]classState
	running      map[uint64]attempt
	virtualNow   float64 // virtual time of the last start
	borrowBudget float64 // number of borrowed attempts that may still be shed
}

type classState struct {
	queue       []Request
	virtualTime float64
	held        int // attempts that hold a slot
	heldOwned   int // of held, on owned slots
	serviceTime time.Duration
	lastStart   time.Duration
	floodUntil  time.Duration // the class counts as flooding up to this time
}

type attempt struct {
	class    service.Class
	target   *targetState
	started  time.Duration
	borrowed bool
}

// New returns a Gate without targets.
func New(cfg Config, rng *rand.Rand) *Gate {
	g := &Gate{cfg: cfg.withDefaults(), rng: rng, byID: map[target.ID]*targetState{}, running: map[uint64]attempt{}, borrowBudget: maxBorrowBudget}
	for c := range g.classes {
		g.classes[c].serviceTime = g.cfg.InitialService
		g.classes[c].floodUntil = -1
	}
	return g
}

// SetTargets installs the targets of a new zone table, as returned by Assign.
// Attempts that run on removed targets finish normally.
func (g *Gate) SetTargets(now time.Duration, targets []Target) []Event {
	known := g.byID
	g.byID, g.targets = map[target.ID]*targetState{}, nil
	for _, t := range targets {
		s := known[t.ID]
		if s == nil {
			s = &targetState{healthFactor: 1, borrowWindow: 1, gradientLimit: 1}
			// At start-up all targets count as warm, since there are no others to serve
			// requests while they ramp up.
			if len(known) == 0 {
				s.activeSince = now - g.cfg.ColdStart
			} else {
				s.activeSince = now
			}
		} else if s.State != target.Active && t.State == target.Active {
			s.activeSince = now
		}
		s.Target = t
		g.byID[t.ID] = s
		g.targets = append(g.targets, s)
	}
	slices.SortFunc(g.targets, func(a, b *targetState) int { return cmp.Compare(a.ID, b.ID) })
	return g.startQueued(now, nil)
}

// Submit queues a request for a slot. The returned events may start or refuse any
// queued request, including this one.
func (g *Gate) Submit(now time.Duration, r Request) []Event {
	if g.cfg.Plain {
		r.Class = service.Normal
	}
	c := &g.classes[r.Class]
	if !g.anyActive() {
		return []Event{g.refuse(now, r, NoTarget)}
	}
	if len(c.queue) == 0 && c.held == 0 {
		c.virtualTime = max(c.virtualTime, g.virtualNow)
	}
	c.queue = g.enqueue(c.queue, r)
	events := g.startQueued(now, nil)
	at := slices.IndexFunc(c.queue, func(q Request) bool { return q.Ticket == r.Ticket })
	if at < 0 || g.cfg.Plain {
		return events
	}
	switch {
	case len(c.queue) > g.cfg.QueueLimit:
		return append(events, g.drop(now, c, at, QueueFull))
	case len(r.Avoid) == 0 && waitMargin*g.expectedWait(now, r.Class, g.requestsAhead(r.Class, at)) > g.remainingWait(now, r, c):
		return append(events, g.drop(now, c, at, DeadlineUnreachable))
	}
	return events
}

// Done handles the end of a started attempt. Its latency counts towards the mean
// service time only if the target served the request.
func (g *Gate) Done(now time.Duration, ticket uint64, r Result) []Event {
	a, ok := g.running[ticket]
	invariant.Check(ok, "admission.running", "ticket %d is not running", ticket)
	delete(g.running, ticket)
	c := &g.classes[a.class]
	c.held--
	a.target.inflight--
	if a.borrowed {
		a.target.borrowed--
	} else {
		c.heldOwned--
	}
	latency := now - a.started
	if r == Served {
		c.serviceTime += time.Duration(serviceTimeGain * float64(latency-c.serviceTime))
		g.borrowBudget = min(maxBorrowBudget, g.borrowBudget+borrowBudgetPerServed)
	}
	if r == Shed && a.borrowed {
		g.borrowBudget--
	}
	a.target.attemptEnded(now, a, r, latency, g.cfg.ColdStart, g.rng)
	return g.startQueued(now, nil)
}

// Cancel removes a queued request and reports whether it was queued. Started attempts
// are ended with Done instead.
func (g *Gate) Cancel(ticket uint64) bool {
	for i := range g.classes {
		c := &g.classes[i]
		if at := slices.IndexFunc(c.queue, func(q Request) bool { return q.Ticket == ticket }); at >= 0 {
			c.queue = slices.Delete(c.queue, at, at+1)
			return true
		}
	}
	return false
}

// ReportLoad records the load that a target reports about itself, between 0 and 1.
// Reports can be late or wrong, so they only decide between targets on which this
// instance has the same number of attempts.
func (g *Gate) ReportLoad(id target.ID, load float64) {
	if t := g.byID[id]; t != nil {
		t.reportedLoad = min(1, max(0, load))
	}
}

// Tick refuses requests that have waited too long and starts requests on targets
// whose backoff has ended or whose ramp-up allows more. Callers call it every 5 to
// 20 ms while requests are queued.
func (g *Gate) Tick(now time.Duration) []Event {
	var events []Event
	open := g.anyActive()
	for i := range g.classes {
		c := &g.classes[i]
		for at := len(c.queue) - 1; at >= 0; at-- {
			switch r := c.queue[at]; {
			case !open:
				events = append(events, g.drop(now, c, at, NoTarget))
			case g.remainingWait(now, r, c) <= 0:
				events = append(events, g.drop(now, c, at, WaitExceeded))
			}
		}
	}
	return g.startQueued(now, events)
}

// Running returns the number of attempts of a class that hold a slot.
func (g *Gate) Running(c service.Class) int { return g.classes[c].held }

// Flooding reports whether a request of the class was refused within floodHold. A
// missing target and a refused retry don't count.
func (g *Gate) Flooding(now time.Duration, c service.Class) bool {
	return now <= g.classes[c].floodUntil
}

// remainingWait returns how long the request may still wait. The total wait is limited
// to half of the time from arrival to deadline, so that a refused caller has time to
// try elsewhere, and must leave the mean service time before the deadline.
func (g *Gate) remainingWait(now time.Duration, r Request, c *classState) time.Duration {
	if g.cfg.Plain {
		return r.Deadline - now
	}
	if len(r.Avoid) > 0 {
		// This instance may own no slots of the other targets, so a retry waits briefly
		// and is then refused.
		return min(r.Arrived+maxRetryWait*c.serviceTime-now, r.Deadline-now-c.serviceTime)
	}
	return min(r.Arrived+(r.Deadline-r.Arrived)/2-now, r.Deadline-now-c.serviceTime)
}

func (g *Gate) drop(now time.Duration, c *classState, at int, why Reason) Event {
	r := c.queue[at]
	c.queue = slices.Delete(c.queue, at, at+1)
	return g.refuse(now, r, why)
}

func (g *Gate) refuse(now time.Duration, r Request, why Reason) Event {
	c := &g.classes[r.Class]
	if why != NoTarget && len(r.Avoid) == 0 {
		c.floodUntil = now + floodHold
	}
	wait := g.expectedWait(now, r.Class, len(c.queue))
	if why == NoTarget {
		wait = time.Second
	}
	// Jitter spreads the retries of callers that were refused at the same time.
	wait += time.Duration(g.rng.Int63n(int64(wait)/2 + 1))
	return Event{Kind: Refuse, Ticket: r.Ticket, Class: r.Class, Reason: why, RetryAfter: wait}
}

func (g *Gate) enqueue(q []Request, r Request) []Request {
	at := len(q)
	if g.cfg.Order == EarliestDeadline && !g.cfg.Plain {
		for at > 0 && q[at-1].Deadline > r.Deadline {
			at--
		}
	}
	return slices.Insert(q, at, r)
}

// requestsAhead returns the number of queued requests that start before the one at
// index at.
func (g *Gate) requestsAhead(c service.Class, at int) int {
	if g.cfg.Order == NewestFirst {
		return len(g.classes[c].queue) - 1 - at
	}
	return at
}

// expectedWait estimates the wait of a request behind n others from the class's share
// of the slots and its mean service time.
func (g *Gate) expectedWait(now time.Duration, c service.Class, n int) time.Duration {
	var sum float64
	for i := range g.classes {
		if o := &g.classes[i]; service.Class(i) == c || o.held > 0 || len(o.queue) > 0 {
			sum += g.cfg.Weights[i]
		}
	}
	share := max(float64(g.owned())*g.cfg.Weights[c]/sum, float64(g.classes[c].held), 1)
	if owned := g.owned(); owned > 0 && g.cfg.Limit == SlotCount && (c == service.Bulk || g.Flooding(now, c)) {
		share = min(share, g.meanUnreservedSlots(owned))
	}
	return time.Duration(float64(n+1) / share * float64(g.classes[c].serviceTime))
}

// meanUnreservedSlots returns the mean number of owned slots that ownedLimit allows a
// flooding class; for expectedWait it applies to bulk, too. Without this limit,
// instances with few slots queued three times as many requests as they could start,
// and refused the excess only after half of its deadline.
func (g *Gate) meanUnreservedSlots(owned int) float64 {
	if owned >= 3 {
		return float64(unreservedSlots(owned))
	}
	if open := g.bulkOwned(); open > 0 {
		return float64(open)
	}
	return 1.0 / reservedStartInterval
}
