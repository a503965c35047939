// Package view holds an instance's knowledge of routes and targets.
//
// A View is built from two inputs, the configuration and the entries of targets. Versions
// only increase: an input older than what the view holds is ignored. A target whose entry
// has been removed stays known, so that packets of its open flows still reach it, until the
// view is certain that it has ended.
//
// The package is pure: the time is an argument, a duration on the monotonic clock.
package view
