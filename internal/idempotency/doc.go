// Package idempotency prevents a request with an idempotency key from running
// twice.
//
// Each key has a home: the instance that keeps the key's record and decides on
// its requests. A KeyStore holds the records of the keys whose home is this
// instance. A record is created before the request is sent. A repeated request
// gets the stored answer, waits for the first request, or is answered with
// "outcome unknown". Records are never evicted before the retention period ends:
// when memory is short, stored answers are discarded first, and then new keys
// are refused.
//
// docs/decisions/at-most-once.md explains why a key cannot run twice. The package
// is pure: it takes the time as an argument and does no I/O.
package idempotency
