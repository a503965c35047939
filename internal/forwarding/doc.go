// Package forwarding decides how each packet of a flow is handled.
//
// The first packet of a flow is placed on a target, and the target's token is written into
// it. Both ends of the flow include the token in every later packet, so that any instance
// can forward it without state of its own. Each instance also keeps a table of flows, which
// serves load estimates, the detection of silent targets and the log; losing it breaks no
// flow.
//
// The package is pure: it takes packets and the time and returns decisions.
package forwarding
