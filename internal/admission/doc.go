// Package admission decides when a request may start, on which target, and when
// it is refused. A Gate does this for one service at one instance.
//
// The request slots of a target are divided among the instances. Every instance
// computes the same balanced rendezvous assignment, so that the fleet shares the
// slots fairly without a shared counter. A Gate uses its own slots first. It
// borrows slots of other instances within a window per target and within a budget
// of borrowed attempts that targets may shed.
//
// The package does no I/O and reads no clock: callers pass in the time and a seeded
// random source and carry out the returned events. See docs/decisions/admission.md
// for the measured alternatives.
package admission
