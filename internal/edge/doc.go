// Package edge runs an instance that steers flows by tokens. It connects the packet
// receiver, the forwarder, the replica of the store and the event log, and does
// their input and output. It is used where targets answer clients directly and
// repeat a token in every packet; see docs/platform.md.
//
// Lock order: Instance.mu (view and forwarder) first, then one of the locks inside
// replica.Replica, eventlog.Log and metric.Set. No two of the latter are held together.
package edge
