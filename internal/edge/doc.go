// Package edge is an instance that steers flows by tokens: it joins the packet
// edge, the forwarder, the replica of the store and the log, and does their input
// and output. It runs where targets answer their clients directly and repeat a
// token in every packet; see docs/platform.md.
//
// Locks, in the order in which they are taken: Instance.mu (view and forwarder),
// then those inside replica.Replica, eventlog.Log and metric.Set, each taken alone.
package edge
