// Package dispatch manages the attempts of a request: it decides when to send an
// attempt, whether to retry after a failure, and which outcome the caller gets.
//
// Every request ends as Answered, Refused (certainly not run) or Unknown (may
// have run). A retry goes to another target and requires that the request is
// idempotent or that certainly no earlier attempt ran, that its deadline has not passed,
// and that the retry budget allows it.
//
// The package does no I/O and reads no clock: callers pass in the time and carry
// out the returned actions.
package dispatch
