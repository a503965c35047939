// Package pace finds out how many new flows a target should get, as a fraction of a fair share,
// from its start, its answers and its failures, and turns that into credits for placements.
//
// The package is pure: the time is an argument.
package pace
