// Package replica keeps copies of some kinds of objects of the platform's store
// and passes them on to other instances.
//
// Every instance holds a replica. Some instances of a data centre read the store;
// the others read from them, with the same two calls (list, and watch from a
// version). An answer carries the age of what it tells, so that an instance knows
// how old its belief is, whatever way it came. Versions never fall.
//
// Replica and Plan are pure: the time is an argument. Follower makes the calls.
package replica
