// Package standin is a small in-memory stand-in of the platform's object API,
// with faults on demand and counters of calls. Memory is a objectstore.Store for
// tests in one process; Handler serves it over HTTP.
package standin
