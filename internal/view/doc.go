// Package view is what one instance believes of routes and targets.
//
// A View is built from two inputs, the configuration and the entries of targets.
// Versions only rise: an input that is older than what the view holds is ignored.
// A target whose entry has been removed stays known, so that packets of its open
// flows still find it, until the view is sure that it has ended.
//
// The package is pure: the time is an argument, a duration on the steady clock.
package view
