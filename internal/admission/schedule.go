package admission

import (
	"cmp"
	"slices"
	"time"

	"guavaloom.example/guavaloom/internal/service"
	"guavaloom.example/guavaloom/internal/target"
)

// startQueued starts queued requests while the slots and the limits per class allow
// it. Start-time fair queueing divides slot time among the classes.
func (g *Gate) startQueued(now time.Duration, events []Event) []Event {
	for {
		started := false
		for _, c := range g.queuedClasses() {
			if e, ok := g.startNext(now, c); ok {
				events = append(events, e)
				started = true
				break
			}
		}
		if !started {
			return events
		}
	}
}

// queuedClasses returns the classes with queued requests in order of virtual time.
func (g *Gate) queuedClasses() []service.Class {
	order := make([]service.Class, 0, service.Classes)
	for i := range g.classes {
		if len(g.classes[i].queue) > 0 {
			order = append(order, service.Class(i))
		}
	}
	slices.SortStableFunc(order, func(a, b service.Class) int { return cmp.Compare(g.classes[a].virtualTime, g.classes[b].virtualTime) })
	return order
}

func (g *Gate) startNext(now time.Duration, class service.Class) (Event, bool) {
	c := &g.classes[class]
	at, step := 0, 1
	if g.cfg.Order == NewestFirst && g.Flooding(now, class) {
		at, step = len(c.queue)-1, -1
	}
	t, borrowed := g.chooseTarget(now, class, c.queue[at])
	// A retry for which every target is avoided or busy must not block the requests
	// behind it.
	for t == nil && len(c.queue[at].Avoid) > 0 && at+step >= 0 && at+step < len(c.queue) {
		at += step
		t, borrowed = g.chooseTarget(now, class, c.queue[at])
	}
	if t == nil {
		return Event{}, false
	}
	r := c.queue[at]
	c.queue = slices.Delete(c.queue, at, at+1)
	c.held++
	c.lastStart = now
	t.inflight++
	if borrowed {
		t.borrowed++
	} else {
		c.heldOwned++
	}
	g.virtualNow = c.virtualTime
	weight := g.cfg.Weights[class]
	if g.Flooding(now, class) {
		weight *= floodWeight
	}
	c.virtualTime += float64(c.serviceTime) / weight
	g.running[r.Ticket] = attempt{class: class, target: t, started: now, borrowed: borrowed}
	return Event{Kind: Start, Ticket: r.Ticket, Class: class, Target: t.ID, Borrowed: borrowed}, true
}

// chooseTarget returns a target with a free owned slot if the class may use one more,
// and otherwise a target to borrow a slot from. It returns nil if there is neither.
func (g *Gate) chooseTarget(now time.Duration, class service.Class, r Request) (*targetState, bool) {
	avoid := r.Avoid
	if g.cfg.Limit != SlotCount {
		return g.leastLoaded(func(t *targetState) bool {
			return t.ready(now) && !slices.Contains(avoid, t.ID) && t.inflight < t.strategyLimit(g.cfg.Limit)
		}), false
	}
	if g.cfg.Plain || g.classes[class].heldOwned < g.ownedLimit(now, class) {
		if t := g.leastLoaded(func(t *targetState) bool {
			return t.ready(now) && !slices.Contains(avoid, t.ID) && t.inflight-t.borrowed < t.usableOwned(now, g.cfg.ColdStart)
		}); t != nil {
			return t, false
		}
	}
	if !g.mayBorrow(now, class, r) {
		return nil, false
	}
	t := g.leastLoaded(func(t *targetState) bool {
		return t.ready(now) && now >= t.borrowAfter && !slices.Contains(avoid, t.ID) && !t.ramping(now, g.cfg.ColdStart) &&
			t.borrowed < t.borrowWindow && t.inflight < t.Slots
	})
	return t, t != nil
}

// ownedLimit returns how many owned slots the class may use. A flooding class leaves
// the reserved slots free, and so does bulk at any time on an instance that owns at
// least three slots.
func (g *Gate) ownedLimit(now time.Duration, class service.Class) int {
	owned, floods := g.owned(), g.Flooding(now, class)
	if !floods && (class != service.Bulk || owned < 3) {
		return owned
	}
	if owned >= 3 {
		return unreservedSlots(owned)
	}
	// With one or two owned slots, a reserve per instance would be too coarse. The
	// reserve of the fleet is then the last slot of each target; these are spread
	// evenly over the instances.
	if open := g.bulkOwned(); open > 0 || owned == 0 {
		return open
	}
	// An instance that owns only reserved slots starts one attempt per
	// reservedStartInterval, so that it uses one slot a third of the time.
	if c := &g.classes[class]; now-c.lastStart >= reservedStartInterval*c.serviceTime {
		return 1
	}
	return 0
}

// unreservedSlots returns how many of an instance's owned slots, at least three, bulk
// and flooding classes may use.
func unreservedSlots(owned int) int { return owned - max(1, owned/reserveDivisor) }

// mayBorrow reports whether the request may use a borrowed slot: it has waited for
// minBorrowWait, or it is a retry, or this instance owns no slots. A flooding class
// borrows only on an instance without slots. While any class floods, bulk doesn't
// borrow, and the others do so only if the instance owns one or two slots.
func (g *Gate) mayBorrow(now time.Duration, class service.Class, r Request) bool {
	if g.cfg.Plain {
		return false
	}
	if len(r.Avoid) > 0 {
		// Retries are already limited by the retry budget, and the targets of all owned
		// slots may be on the avoid list.
		return !g.Flooding(now, class)
	}
	if g.borrowBudget < 1 {
		return false
	}
	owned := g.owned()
	if owned == 0 {
		// Without owned slots, a flooding class borrows one slot at a time.
		return !g.Flooding(now, class) || g.classes[class].held == 0
	}
	if now-r.Arrived < minBorrowWait*g.classes[class].serviceTime {
		return false
	}
	for i := range g.classes {
		if g.Flooding(now, service.Class(i)) {
			return service.Class(i) != class && class != service.Bulk && !g.Flooding(now, class) && owned < 3
		}
	}
	return true
}

// leastLoaded returns the permitted target with the lowest score, or nil if there is
// none. The search starts at a random target, so that ties are spread evenly.
func (g *Gate) leastLoaded(permitted func(*targetState) bool) *targetState {
	var best *targetState
	var lowest float64
	n := len(g.targets)
	if n == 0 {
		return nil
	}
	from := g.rng.Intn(n)
	for i := range n {
		t := g.targets[(from+i)%n]
		if !permitted(t) {
			continue
		}
		if s := t.score(); best == nil || s < lowest {
			best, lowest = t, s
		}
	}
	return best
}

func (g *Gate) owned() int { return g.sumActive(func(t *targetState) int { return t.Owned }) }

func (g *Gate) bulkOwned() int { return g.sumActive(func(t *targetState) int { return t.BulkOwned }) }

func (g *Gate) sumActive(slots func(*targetState) int) int {
	n := 0
	for _, t := range g.targets {
		if t.State == target.Active {
			n += slots(t)
		}
	}
	return n
}

func (g *Gate) anyActive() bool {
	return slices.ContainsFunc(g.targets, func(t *targetState) bool { return t.State == target.Active })
}
