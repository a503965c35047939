// Package replica keeps copies of some kinds of objects of the platform's store
// and forwards them to other instances.
//
// Every instance holds a replica. Some instances of a data centre read the store, with
// a list and then watches from the listed version; the others follow these instances, or
// one another, over a stream of messages. Each message carries the age of its state, so
// that an instance knows how stale its copy is, whichever path the state came by. The
// version of a copy never decreases.
//
// Replica, WatchPlan and the deltas between versions are deterministic and do no I/O:
// the time is an argument. Handler and Follow are the two ends of the stream.
package replica
