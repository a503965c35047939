// Package daemon creates the components of an instance from its settings, starts them
// and stops them gracefully.
//
// Packages membership, steering, rollout and request make the decisions; this package
// owns their sockets, clocks, goroutines and locks. Each file connects one component:
// zone.go the zone protocol, steering.go packets and pins, rollout.go and addressuse.go
// bundles, health.go probes and proposals, requests.go the request path, secrets.go the
// secrets that a zone's instances share, shutdown.go the graceful stop, status.go the
// admin endpoints, isolation.go request serving without a lease.
//
// The cookie of relayed packets and the key of idempotency tokens are random
// values per zone. The leader generates them, and members request them from it. They are
// kept in memory only; a new leader uses those that it received as a member.
//
// go-zero's ServiceGroup isn't used for the components: it stops all of its services
// at once, while the daemon must stop taking packets before it closes the
// transport between instances; it can't report that a service failed; and its
// Start registers a process-wide signal listener that stops the services beside
// the context. For the same reason proc shutdown hooks aren't used.
// Importing go-zero's core/proc, which its REST server does, installs a handler
// that kills the process 5.5 s after SIGTERM; guavaloomd raises that limit above
// StopTimeout.
package daemon
