// Package baseline compares steering strategies on one seeded workload: hashing
// only, pinning every flow, and pinning only the flows that a change can move,
// which is what package steering does.
//
// It is used for measurements only. Relayed packets are passed in memory without
// loss.
package baseline
