// Package soak runs the built guavaloom-edge as separate processes against
// stand-ins of store, targets and clients, injects faults from outside in
// overlapping series, and checks the promises from what clients and targets see.
//
//	go test ./internal/soak -run Soak -v -args -seeds 50 -first 1
//
// Data centres are evacuated, the targets of some come back cold, and the evacuations are
// withdrawn. The store is also restored from older copies, and operators and targets write again.
//
// A run alternates between storms, in which faults come, and calms, in which only
// planned changes do. Promises without a time limit hold always; those with one
// hold in calms. Seeds that failed once are kept in regressions with their cause.
package soak
