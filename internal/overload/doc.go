// Package overload decides which new flows of a service are admitted while its targets are
// full. Each instance decides alone, from its own share of the load; see
// docs/design/overload.md.
//
// The package is pure: the time is an argument, and nothing is allocated per decision.
package overload
