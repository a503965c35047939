// Package health assigns health probes to instances, merges the probe results on
// the zone's leader, and turns a bundle's services into zone.Desired.
//
// The package does no I/O and reads no clock. Prober runs on every instance and
// holds its probe plan and verdicts. Merger runs on the leader: it ejects failed
// targets up to a limit, readmits them with hysteresis, ramps up joining targets
// and reduces the weight of targets that report high load. Weights change in few
// coarse steps, because every change moves slots of the service.
package health
