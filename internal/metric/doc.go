// Package metric declares the metrics of an instance and exposes them in the
// Prometheus text format. A metric has a name, a unit, a help text and at most
// one label; counters of refusals and retries have the label "reason". Values
// are stored in rcrowley/go-metrics types.
package metric
