// Package simulation drives the decision packages in virtual time and measures the
// promises of docs/design.md.
//
// One queue of events advances a virtual clock; links, the store and the targets
// are small fakes that delay, lose and reorder, and the cores run unchanged. Every
// run is a pure function of its seed. No program uses the package; its tests judge
// the runs, and the figures come from
//
//	go test ./internal/simulation -run Measures -v -args -seeds N -first S
package simulation
