// Package daemon joins the parts of an instance, starts them from its settings and
// stops them gracefully.
//
// The decisions are made by the cores membership, steering, rollout and request;
// this package owns their sockets, clocks, goroutines and locks. Each file joins one
// part: zone.go the zone protocol, steering.go packets and pins, rollout.go and
// addressuse.go bundles, health.go probes and proposals, requests.go the request path, secrets.go the values that a
// zone's instances share, shutdown.go the graceful stop, status.go the admin endpoints,
// isolation.go when requests are served without a lease.
//
// The cookie of relayed packets and the key of idempotency tokens are random
// values per zone. The leader draws them, members ask it for them, and they are
// kept in memory only; a new leader uses those that it has learned as a member.
//
// go-zero's ServiceGroup isn't used for the parts: it stops all of its services
// at once, while the daemon must stop taking packets before it closes the
// transport between instances; it can't report that a service failed; and its
// Start registers a process-wide signal listener that stops the services beside
// the context. For the same reason proc shutdown hooks aren't used.
// Importing go-zero's core/proc, which its REST server does, installs a handler
// that kills the process 5.5 s after SIGTERM; guavaloomd raises that limit above
// its own time for a graceful stop.
package daemon
