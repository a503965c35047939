// Package zone defines the zone table: the versioned state from which all instances
// of a zone derive their steering.
//
// Adjacent versions differ by one membership.Step, and every kind of step keeps
// adjacent versions compatible: two instances that hold adjacent versions never send
// packets of one flow to different targets. See docs/design.md.
package zone
