// Package steering selects the target of each packet of a flow.
//
// A flow's hash selects a slot of its service. The service's generations (Base,
// Current and, during the prepare phase, Next) each map every slot to a target.
// A slot whose target does not depend on the generation is settled: every
// instance forwards its packets without state. Any other slot is touched: its
// flows are pinned to their targets. The pin of a flow is kept by its home, an
// instance chosen by rendezvous hashing, and a copy by its backup, the runner-up.
// Other instances relay the flow's packets to the home, or to the backup while
// the home is suspected to have failed. When the home set changes, the former
// holders transfer their pins to the new ones.
//
// The package opens no socket, starts no goroutine, reads no clock and has no
// global state. Time is a time.Duration since an arbitrary start.
//
// A View is the immutable form of one zone table. A Shard holds the pins of a
// subset of the flows. A Steerer combines a View with its shards and is safe for
// concurrent use. The rules and their safety argument are in
// docs/decisions/flow-steering.md.
//
// Lock order: Steerer.install, then shard i, then shard j > i. Packet and
// Relayed take no lock for settled slots and otherwise one shard lock. Inputs
// (view, suspects, committed version, lease, cookie) are atomic values that are
// read inside the shard lock, so a decision on a pin never uses a view older
// than one that an earlier decision of the same shard used.
package steering
