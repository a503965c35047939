// Package standin is an in-memory stand-in of the platform's object API for tests, with
// fault injection and counters of calls. Memory is an objectstore.Store for use in one
// process; Handler serves it over HTTP.
package standin
