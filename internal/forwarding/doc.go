// Package forwarding decides what happens to each packet of a flow.
//
// The first packet of a flow is placed on a target, and the target's token is
// written into it. Both ends of the flow repeat the token, so that any instance
// forwards every later packet without state of its own. The table of flows that an
// instance keeps serves load, the search for silent targets and the log; losing
// it breaks no flow.
//
// The package is pure: packets and the time go in, decisions come out.
package forwarding
