// Package scheduler combines admission and dispatch for one service: dispatch asks for
// a target, admission assigns one or refuses the request, and the end of an attempt
// frees its slot.
//
// A Scheduler does no I/O and starts no goroutines. Its Executor performs the attempts
// and the caller reports how they end. Packages request and simulation implement it.
package scheduler
