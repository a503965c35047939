// Package demo checks the promises of docs/design.md, section 1.2, in one process with
// real sockets on loopback: it rolls a signed bundle, opens flows and makes requests,
// then drains targets, stops one instance, kills another and rolls a second bundle, all
// at once. Verdicts depend on counts and never on latency; time limits are generous.
package demo
