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
	// DeadlineUnreachable: on arrival the expected wait exceeded the time left to wait.
	DeadlineUnreachable Reason = "deadline_unreachable"
	// WaitExceeded: the request waited in the queue for as long as it may.
	WaitExceeded Reason = "wait_exceeded"
	// QueueFull: the queue of the class holds QueueLimit requests.
	QueueFull Reason = "queue_full"
	// NoTarget: no target is active.
	NoTarget Reason = "no_target"
)

// ReasonHelp is the name and the help text of a reason counter.
type ReasonHelp struct{ Name, Help string }

// Reasons lists the reason counters of this package.
func Reasons() []ReasonHelp {
	return []ReasonHelp{
		{string(DeadlineUnreachable), "requests refused on arrival because their deadline could not be met"},
		{string(WaitExceeded), "requests refused after waiting for half of the time to their deadline"},
		{string(QueueFull), "requests refused because the queue of their class was full"},
		{string(NoTarget), "requests refused because no target was active"},
	}
}

// Target is a backend server as listed in the zone table.
type Target struct {
	ID    target.ID
	State target.State
	Slots int
	// Owned is the number of slots assigned to this instance (see Assign).
	Owned int
	// BulkOwned is the number of owned slots outside the fleet's reserve (see Assign).
	BulkOwned int
}

// Request is one attempt that asks for a slot.
type Request struct {
	// Ticket identifies the attempt within the Gate and is never reused.
	Ticket   uint64
	Class    service.Class
	Arrived  time.Duration
	Deadline time.Duration
	// Avoid lists the targets of earlier attempts of the same request. It is empty
	// for a first attempt.
	Avoid []target.ID
}

// Result is the end of a started attempt as admission distinguishes it.
type Result uint8

// Results.
const (
	Served   Result = iota // the target answered
	Shed                   // the target refused for lack of capacity and did not run it
	Drained                // the target refused because it is draining
	Failed                 // connection error, time-out or invalid answer
	Canceled               // the attempt was canceled; says nothing about the target
)

// EventKind is the kind of an Event.
type EventKind uint8

// Event kinds.
const (
	Start  EventKind = iota // send the attempt to Target
	Refuse                  // answer the request with Reason and RetryAfter
)

// Event is an operation that the user of a Gate has to carry out.
type Event struct {
	Kind     EventKind
	Ticket   uint64
	Class    service.Class
	Target   target.ID
	Borrowed bool
	Reason   Reason
	// RetryAfter is the delay after which a retry is likely to be admitted.
	RetryAfter time.Duration
}

// Order is the order in which requests of a class leave its queue.
type Order uint8

// Queue orders.
const (
	// EarliestDeadline starts the request with the earliest deadline first.
	EarliestDeadline Order = iota
	// NewestFirst starts the newest request first while the class floods, and the
	// oldest first otherwise.
	NewestFirst
	// ArrivalOrder starts requests in the order of their arrival.
	ArrivalOrder
)

// LimitKind is the strategy that limits the concurrent attempts per target.
type LimitKind uint8

// Limit strategies.
const (
	SlotCount     LimitKind = iota // owned slots plus a window of borrowed ones
	StaticLimit                    // every instance uses up to all slots of the target
	DelayGradient                  // the limit grows until latency rises above its minimum
)

// Config configures a Gate. Zero values of Weights, QueueLimit and InitialService
// select their defaults.
type Config struct {
	// Weights divides slot time among the classes under contention.
	Weights [service.Classes]float64
	// QueueLimit is the largest number of queued requests per class.
	QueueLimit int
	// InitialService is the service time that is assumed before the first answer.
	InitialService time.Duration
	// ColdStart is the ramp-up time of a target that becomes active.
	ColdStart time.Duration
	Order     Order
	Limit     LimitKind
	// Plain replaces classes, early refusal, borrowing and the limits per class by
	// one first-in-first-out queue: the baseline that tests compare with.
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
	// floodHold is how long a class counts as flooding after one of its requests was
	// refused. It spans several service times, so that slot limits do not flap.
	floodHold = 2 * time.Second
	// borrowBackoff is the initial backoff of borrowing after a target shed a
	// borrowed attempt, and of a target after a failure. It doubles up to maxBackoff.
	borrowBackoff = 50 * time.Millisecond
	// ownBackoff is the initial backoff after a target shed an attempt on an owned
	// slot. It is short, because the slot is usually borrowed and soon free again.
	ownBackoff = 5 * time.Millisecond
	maxBackoff = 2 * time.Second
	// waitMargin is the safety factor on the expected wait on arrival. Without it,
	// 1 % of the refused requests were refused only after half of their deadline.
	waitMargin = 2
	// floodWeight scales the weight of a flooding class, so that the other classes
	// rarely wait behind it.
	floodWeight = 0.25
	// drainBackoff is the pause after a target refused an attempt as draining. It
	// covers the delay until the zone table lists the target as draining.
	drainBackoff = 5 * time.Second
	// borrowBudgetPerServed is the borrow budget gained per served request. It limits
	// the attempts shed because of borrowing to 2 % of the served requests.
	borrowBudgetPerServed = 0.02
	// maxBorrowBudget limits a burst of shed borrowed attempts.
	maxBorrowBudget = 4
	// reserveDivisor is the reciprocal of the share of owned slots that is reserved:
	// neither bulk nor a flooding class may use it.
	reserveDivisor = 6
	// reservedStartInterval is the minimum interval between starts of a flooding class
	// on an instance that owns only reserved slots, in service times.
	reservedStartInterval = 3
	// maxRetryWait is how long a retry may wait for a slot on another target, in service times.
	maxRetryWait = 3
	// minBorrowWait is how long a request must wait for an owned slot before it may
	// use a borrowed one, in service times.
	minBorrowWait = 1
	// reportedLoadWeight is the weight of a load of 1 reported by a target, in attempts.
	reportedLoadWeight = 0.2
	// serviceTimeGain is the weight of a new sample in the moving average of the
	// service time.
	serviceTimeGain = 0.1
)
