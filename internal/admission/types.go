package admission

import (
	"time"

	"guavaloom.example/guavaloom/internal/service"
	"guavaloom.example/guavaloom/internal/target"
)

// Reason states why a request was refused before it was sent.
type Reason string

// Refusal reasons. A request refused with any of them has not run.
const (
	// DeadlineUnreachable: at arrival the expected wait already exceeds the limit.
	DeadlineUnreachable Reason = "deadline_unreachable"
	// WaitExceeded: the request waited for its share of the deadline.
	WaitExceeded Reason = "wait_exceeded"
	// QueueFull: the queue of the class holds QueueLimit requests.
	QueueFull Reason = "queue_full"
	// NoTarget: no target takes new work.
	NoTarget Reason = "no_target"
)

// ReasonHelp declares a counter name and its help text.
type ReasonHelp struct{ Name, Help string }

// Reasons lists the refusal counters of the package.
func Reasons() []ReasonHelp {
	return []ReasonHelp{
		{string(DeadlineUnreachable), "requests refused on arrival because their deadline could not be met"},
		{string(WaitExceeded), "requests refused after waiting for half of their time"},
		{string(QueueFull), "requests refused because the queue of their class was full"},
		{string(NoTarget), "requests refused because no target takes new work"},
	}
}

// Target is a target as the zone table lists it.
type Target struct {
	ID    target.ID
	State target.State
	Slots int
	// Owned is how many of the slots belong to this instance (see Assign).
	Owned int
	// BulkOwned is how many of the owned slots bulk requests may hold.
	BulkOwned int
}

// Request is one attempt that asks for a slot.
type Request struct {
	// Ticket identifies the attempt within the Gate and is never reused.
	Ticket   uint64
	Class    service.Class
	Arrived  time.Duration
	Deadline time.Duration
	// Avoid lists targets that earlier attempts used.
	Avoid []target.ID
}

// Result is how a started attempt ended, as far as admission is concerned.
type Result uint8

// Results.
const (
	Served   Result = iota // the target answered
	Shed                   // the target refused for lack of capacity, without running it
	Drained                // the target refused because it is leaving
	Failed                 // connection error, time-out or invalid answer
	Canceled               // the caller gave up; says nothing about the target
)

// EventKind tells what an Event asks the caller to do.
type EventKind uint8

// Event kinds.
const (
	Start  EventKind = iota // send the attempt to Target
	Refuse                  // answer the request with Reason and RetryAfter
)

// Event is an action for the caller of a Gate.
type Event struct {
	Kind     EventKind
	Ticket   uint64
	Class    service.Class
	Target   target.ID
	Borrowed bool
	Reason   Reason
	// RetryAfter is the time after which a retry is likely to be admitted.
	RetryAfter time.Duration
}

// Order is the order within one class's queue.
type Order uint8

// Queue orders.
const (
	// EarliestDeadline serves the request whose deadline is nearest.
	EarliestDeadline Order = iota
	// NewestFirst serves the newest request while the class is overloaded.
	NewestFirst
	// ArrivalOrder serves in order of arrival.
	ArrivalOrder
)

// LimitKind selects the strategy that bounds attempts per target.
type LimitKind uint8

// Limit strategies.
const (
	SlotCount     LimitKind = iota // owned slots and a window of borrowed ones
	StaticLimit                    // the target's slots, for each instance
	DelayGradient                  // grows until latency rises above its minimum
)

// Config holds the constants of a Gate. Zero fields take the defaults.
type Config struct {
	// Weights is the share of slot time of each class under contention.
	Weights [service.Classes]float64
	// QueueLimit bounds each class's queue in requests.
	QueueLimit int
	// InitialService is the assumed service time before the first answer.
	InitialService time.Duration
	// ColdStart is how long a target that became active ramps up.
	ColdStart time.Duration
	Order     Order
	Limit     LimitKind
	// Plain turns off classes, early refusal and shares: one first-in-first-out
	// queue. It is the baseline of the measurements.
	Plain bool
}

func (c Config) withDefaults() Config {
	if c.Weights == ([service.Classes]float64{}) {
		c.Weights = [service.Classes]float64{4, 4, 2}
	}
	if c.QueueLimit == 0 {
		c.QueueLimit = 256
	}
	if c.InitialService == 0 {
		c.InitialService = 50 * time.Millisecond
	}
	return c
}

const (
	// floodHold is how long a class counts as flooding after a refusal. It
	// spans several service times so that shares do not flap.
	floodHold = 2 * time.Second
	// borrowBackoff is the first pause of borrowing from a target that shed; it
	// doubles up to maxBackoff.
	borrowBackoff = 50 * time.Millisecond
	// ownBackoff is the first pause of owned slots. It is short, because the usual
	// cause is a borrower that will finish soon.
	ownBackoff = 5 * time.Millisecond
	maxBackoff = 2 * time.Second
	// waitMargin is the safety factor on the expected wait at arrival. Without it,
	// 1 % of refused requests had waited for half of their deadline.
	waitMargin = 2
	// floodWeight scales the weight of a flooding class, so that classes that stay
	// within their share rarely wait behind it.
	floodWeight = 0.25
	// drainBackoff covers the delay until the zone table shows the target as draining.
	drainBackoff = 5 * time.Second
	// borrowBudgetPerServed is the borrow budget earned per served request: at most this
	// share of requests is shed because of borrowing.
	borrowBudgetPerServed = 0.02
	// maxBorrowBudget bounds the burst of borrowed attempts that may be shed.
	maxBorrowBudget = 4
	// reserveDivisor is the divisor of owned slots that a flooding class or bulk never holds.
	reserveDivisor = 6
	// reservedStartInterval is the least distance between starts of a flooding class on a
	// reserved slot, in service times.
	reservedStartInterval = 3
	// maxRetryWait is how long a retry waits for a slot on another target, in service times.
	maxRetryWait = 3
	// minBorrowWait is how long a request waits for an owned slot before it may
	// borrow, in service times.
	minBorrowWait = 1
	// reportedLoadWeight is the largest effect of a reported load on a target's weight.
	reportedLoadWeight = 0.2
	// serviceTimeGain is the weight of a new sample in the mean service time.
	serviceTimeGain = 0.1
)
