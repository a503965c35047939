// Package request carries HTTP requests from callers to targets.
//
// The listener is a go-zero REST server whose own load shedding, breaker,
// time-outs and tracing are switched off, because they would refuse requests
// without a reason that callers and counters can see. Requests go to targets
// through net/http clients. The decisions are made by packages admission,
// dispatch and idempotency; this package owns sockets, goroutines and locks.
//
// A request body is read completely before admission, so that a slow caller
// holds no slot. An answer is read completely before it is passed on, so that a
// cut answer becomes an error and never a short answer; answers beyond the
// limit and answers that end with the connection are refused for this reason.
//
// Connections to targets: each target has two pools. Requests that may not be
// repeated use connections that completed an answer within the last second, or
// new ones, because an older connection may be dead without a sign of it. Other
// requests use connections that were idle for longer. An attempt without response
// headers in time closes its connection and all idle ones to that target.
//
// Lock order: serviceScheduler.mu and keyRecords.mu are never held together.
package request
