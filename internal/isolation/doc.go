// Package isolation decides when an instance without a lease may serve the
// requests that need no agreement with the rest of its zone.
//
// The package is pure: it takes the time and its inputs as arguments.
// docs/decisions/at-most-once.md gives the reasons for the rule and its limits.
package isolation
