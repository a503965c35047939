// Package invariant stops the process when a condition that the design
// guarantees does not hold.
//
// It is not for outcomes that can occur in normal operation: those are returned as
// values.
package invariant
