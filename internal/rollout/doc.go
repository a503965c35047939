// Package rollout decides which bundle an instance holds, how bundles spread
// between instances, and what a zone reports about them.
//
// A Node is pure: it takes events with the time and returns actions. It adopts
// only a higher revision than it ever held. Two readers in each zone, chosen by
// rendezvous, watch the store and exchange digests with the readers of other
// zones; all instances exchange digests with random peers of their zone. The
// zone's leader merges acknowledgements into one status object, and a revision
// is in force in a zone once every instance that is not gone acknowledged it.
// See docs/decisions/rollout.md.
//
// The owner of a Node has these duties:
//   - call Tick about every 200 ms, and SetView when members, leader or the
//     platform's list change;
//   - carry Send to the peer and give its messages to Receive; loss is tolerated;
//   - make each StoreCall with objectstore.Do, without blocking the Node, and give
//     the outcome to StoreResult;
//   - on the zone's leader, propose the bundle of Adopt without the uses in
//     Withheld; a new leader begins with Bundle and Withheld;
//   - call SetLocal after each installed table and when the set of addresses that
//     pins refer to changed. The table's revision may only be that of the bundle
//     once the table expresses it.
package rollout
