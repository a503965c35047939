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

// String returns the value that refusals carry in "outcome".
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

// Reasons. Reasons of admission pass through unchanged.
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

// ReasonHelp declares a counter name and its help text.
type ReasonHelp struct{ Name, Help string }

// Reasons lists the counters of the package.
func Reasons() []ReasonHelp {
	return []ReasonHelp{
		{string(TargetShed), "attempts that a target refused for lack of capacity, without running them"},
		{string(TargetDraining), "attempts that a draining target refused without running them"},
		{string(ConnectFailed), "attempts of which no byte could have reached a target"},
		{string(ConnectionLost), "attempts whose connection failed after the request may have been sent"},
		{string(AttemptTimeout), "attempts without response headers within their time limit"},
		{string(AnswerTruncated), "answers that ended before their announced end"},
		{string(AnswerMismatched), "answers that named another service, request or attempt"},
		{string(AnswerTooLarge), "answers larger than the answer limit"},
		{string(AnswerLate), "answers dropped because their attempt had been abandoned"},
		{string(DeadlinePassed), "requests whose deadline passed before an answer"},
		{string(CallerDisconnected), "requests whose caller disconnected"},
		{string(RetryBudget), "requests not sent again because the retry budget was used up"},
		{string(SpillBudget), "requests not sent to another zone because the spill budget was used up"},
		{string(LeaseLapsed), "requests refused because this instance holds no lease"},
		{string(ShuttingDown), "requests refused because this instance is leaving"},
		{string(zoneUnavailable), "requests that no zone could serve"},
	}
}

// RequestID identifies a request at this instance.
type RequestID uint64

// AttemptKey matches an answer with its attempt.
type AttemptKey struct {
	Service service.ID
	Request RequestID
	Attempt uint32
}

// Request is what dispatch needs to know about a request.
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

// ResultKind is how one attempt ended.
type ResultKind uint8

// Result kinds.
const (
	// Complete: a whole, matching answer arrived.
	Complete ResultKind = iota
	// Unsent: no byte of the request could have reached a target.
	Unsent
	// NotRun: the target states that it did not run the request.
	NotRun
	// Lost: the request may have run and no usable answer arrived.
	Lost
)

// Result is the end of one attempt.
type Result struct {
	Kind   ResultKind
	Reason Reason // for all kinds but Complete
	// RetryAfter is the wait that the target or admission asks for, or 0.
	RetryAfter time.Duration
}

// ActionKind tells what an Action asks the caller to do.
type ActionKind uint8

// Action kinds.
const (
	// Admit asks admission for a slot for Key, not on a target in Avoid.
	Admit ActionKind = iota
	// Send sends attempt Key to Target with Remaining time.
	Send
	// Abort cancels attempt Key: close its connection or stream.
	Abort
	// Spill asks another zone to serve the request.
	Spill
	// Finish gives the caller its final outcome.
	Finish
)

// Action is an instruction to the caller of a Dispatcher.
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
