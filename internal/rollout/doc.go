// Package rollout distributes configuration bundles: it decides which bundle an
// instance adopts, spreads bundles between instances by gossip, and reports for each
// zone which revision is in force.
//
// A Node does no I/O and reads no clock: it takes events with the current time and
// returns actions. It only adopts a revision higher than every one it has held.
// Two readers in each zone, chosen by rendezvous hashing, watch the store and exchange
// digests with the readers of other zones; all instances exchange digests with random
// peers of their zone. The zone's leader merges acknowledgements into one status
// object, and a revision is in force in a zone once every instance that is not gone has acknowledged it.
// See docs/decisions/rollout.md.
//
// The caller that owns a Node must:
//   - call Tick about every 200 ms, and SetView when members, leader or the
//     platform's list change;
//   - deliver the message of each Send to the peer and pass received messages to
//     Receive; loss is tolerated;
//   - make each StoreCall with objectstore.Do, without blocking the Node, and pass
//     the result to StoreResult;
//   - on the zone's leader, propose the bundle of Adopt without the uses in
//     Withheld; a new leader starts with Bundle and Withheld;
//   - call SetLocal after each installed table and when the set of addresses that
//     pins refer to changes. LocalState.Table may be the bundle's revision only once
//     the table contains that bundle.
package rollout
