// Package request proxies HTTP requests from callers to targets.
//
// The listener is a go-zero REST server. Its load shedding, circuit breaker,
// timeouts and tracing are disabled, because they would refuse requests without
// a reason that callers and counters can see. Requests go to targets through
// net/http transports. Packages admission, dispatch and idempotency make the
// decisions; this package owns the sockets, goroutines and locks.
//
// A request body is read completely before admission, so that a slow caller
// holds no slot. An answer is read completely before it is returned, so that a
// truncated answer becomes an error and is never returned as a complete one. For
// the same reason, answers above the size limit and answers whose end is marked
// only by closing the connection are rejected.
//
// Connections to targets: each target has two pools. Requests that must not be
// repeated use new connections or ones that completed an answer within the last
// second, because a connection that was idle for longer may be dead without
// notice. Other requests use a pool with a longer idle timeout. An attempt whose
// response headers time out closes its connection and all idle connections to
// that target.
//
// Locking: serviceScheduler.mu and keyRecords.mu are never held together.
package request
