package dispatch

import (
	"time"

	"guavaloom.example/guavaloom/internal/service"
	"guavaloom.example/guavaloom/internal/target"
)

// Outcome is the final result of a request.
type Outcome uint8

// Outcomes.
const (
	Answered Outcome = iota + 1
	// Refused means that the request certainly did not run.
	Refused
	// Unknown means that the request may have run.
	Unknown
)

// String returns the value of the "outcome" field in a refusal.
func (o Outcome) String() string {
	switch o {
	case Answered:
		return "answered"
	case Refused:
		return "not_run"
	case Unknown:
		return "unknown"
	}
	return "none"
}

// Reason states why a request was not answered or why an attempt was repeated.
type Reason string

// Reasons. Reasons from package admission are passed on unchanged.
const (
	TargetShed         Reason = "target_shed"
	TargetDraining     Reason = "target_drains"
	ConnectFailed      Reason = "connect_failed"
	ConnectionLost     Reason = "connection_lost"
	AttemptTimeout     Reason = "attempt_timeout"
	AnswerTruncated    Reason = "answer_cut"
	AnswerMismatched   Reason = "answer_crossed"
	AnswerTooLarge     Reason = "answer_too_large"
	AnswerLate         Reason = "answer_late"
	DeadlinePassed     Reason = "deadline_passed"
	CallerDisconnected Reason = "caller_gone"
	RetryBudget        Reason = "retry_budget"
	SpillBudget        Reason = "spill_budget"
	LeaseLapsed        Reason = "lease_lapsed"
	ShuttingDown       Reason = "shutting_down"
	zoneUnavailable    Reason = "zone_unavailable"
)

// ReasonHelp is the name and the help text of a reason counter.
type ReasonHelp struct{ Name, Help string }

// Reasons lists the reason counters of this package.
func Reasons() []ReasonHelp {
	return []ReasonHelp{
		{string(TargetShed), "attempts that a target refused for lack of capacity and did not run"},
		{string(TargetDraining), "attempts that a draining target refused and did not run"},
		{string(ConnectFailed), "attempts that failed before any byte could reach a target"},
		{string(ConnectionLost), "attempts whose connection failed after the request may have been sent"},
		{string(AttemptTimeout), "attempts that received no response headers within the attempt time-out"},
		{string(AnswerTruncated), "answers that ended before they were complete"},
		{string(AnswerMismatched), "answers that identified another service, request or attempt"},
		{string(AnswerTooLarge), "answers larger than the answer limit"},
		{string(AnswerLate), "answers dropped because their attempt was no longer awaited"},
		{string(DeadlinePassed), "requests whose deadline passed before an answer"},
		{string(CallerDisconnected), "requests whose caller disconnected"},
		{string(RetryBudget), "requests not retried because the retry budget was used up"},
		{string(SpillBudget), "requests not sent to another zone because the spill budget was used up"},
		{string(LeaseLapsed), "requests refused because this instance holds no lease"},
		{string(ShuttingDown), "requests refused because this instance is shutting down"},
		{string(zoneUnavailable), "requests that no zone could serve"},
	}
}

// RequestID identifies a request at this instance.
type RequestID uint64

// AttemptKey identifies an attempt, so that an answer can be matched to it.
type AttemptKey struct {
	Service service.ID
	Request RequestID
	Attempt uint32
}

// Request holds the properties of a request that decide how it is dispatched.
type Request struct {
	ID       RequestID
	Service  service.ID
	Class    service.Class
	Deadline time.Duration
	// Idempotent requests may run more than once.
	Idempotent bool
	// Spillable requests may be served by another zone.
	Spillable bool
}

// ResultKind classifies the end of an attempt.
type ResultKind uint8

// Result kinds.
const (
	// Complete: the full answer to this attempt arrived.
	Complete ResultKind = iota
	// Unsent: the attempt failed before any byte could reach a target.
	Unsent
	// NotRun: the target answered that it did not run the request.
	NotRun
	// Lost: the request may have run, but no usable answer arrived.
	Lost
)

// Result describes the end of one attempt.
type Result struct {
	Kind   ResultKind
	Reason Reason // empty for Complete
	// RetryAfter is the delay that the target or admission asks for, or 0.
	RetryAfter time.Duration
}

// ActionKind is the kind of an Action.
type ActionKind uint8

// Action kinds.
const (
	// Admit asks admission for a slot for attempt Key on a target that is not in Avoid.
	Admit ActionKind = iota
	// Send sends attempt Key to Target; Remaining is the time until the deadline.
	Send
	// Abort cancels attempt Key by closing its connection or stream.
	Abort
	// Spill asks another zone to serve the request.
	Spill
	// Finish returns the final outcome to the caller of the request.
	Finish
)

// Action is an operation that the user of a Dispatcher has to carry out.
type Action struct {
	Kind       ActionKind
	Key        AttemptKey
	Target     target.ID
	Avoid      []target.ID
	Remaining  time.Duration
	Outcome    Outcome
	Reason     Reason
	RetryAfter time.Duration
}
