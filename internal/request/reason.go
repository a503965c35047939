package request

import (
	"net/http"

	"github.com/rcrowley/go-metrics"

	"guavaloom.example/guavaloom/internal/admission"
	"guavaloom.example/guavaloom/internal/dispatch"
	"guavaloom.example/guavaloom/internal/idempotency"
)

// Reasons for refusals by the listener itself. The refused requests did not run.
const (
	reasonHostUnknown     = "host_unknown"
	reasonBodyTooLarge    = "body_too_large"
	reasonBodySlow        = "body_slow"
	reasonBodyMemoryFull  = "body_memory_full"
	reasonDeadlineInvalid = "deadline_invalid"
	reasonConnectionsFull = "connections_full"
	reasonKeyInvalid      = "key_invalid"
	reasonKeyHomeMoving   = "key_home_moving"
)

// countIsolated is not a refusal: it counts the checks, at arrival and before each send,
// that let a request pass without a lease.
const countIsolated = "isolated_permit"

// ReasonHelp declares a counter name and its help text.
type ReasonHelp struct{ Name, Help string }

// MetricPrefix is the prefix of the counter names.
const MetricPrefix = "request_"

// Reasons lists all counters of the request path, including those of packages admission,
// dispatch and idempotency.
func Reasons() []ReasonHelp {
	all := []ReasonHelp{
		{reasonHostUnknown, "requests refused because no service has their host"},
		{reasonBodyTooLarge, "requests refused because their body exceeds the limit"},
		{reasonBodySlow, "requests refused because their body did not arrive in time"},
		{reasonBodyMemoryFull, "requests refused because the request bodies in memory reached their limit"},
		{reasonDeadlineInvalid, "requests refused because their deadline header is invalid"},
		{reasonConnectionsFull, "connections closed because the connection limit was reached"},
		{reasonKeyInvalid, "requests refused because their idempotency key is empty or too long"},
		{reasonKeyHomeMoving, "requests refused because the home of their key was changing"},
		{countIsolated, "checks, at arrival and before each send, that a request passed without a lease because the instance is isolated"},
	}
	for _, r := range admission.Reasons() {
		all = append(all, ReasonHelp(r))
	}
	for _, r := range dispatch.Reasons() {
		all = append(all, ReasonHelp(r))
	}
	for _, r := range idempotency.Reasons() {
		all = append(all, ReasonHelp(r))
	}
	return all
}

// statusOf returns the HTTP status for a request without an answer.
func statusOf(r *Reply) int {
	switch r.Reason {
	case reasonHostUnknown:
		return http.StatusNotFound
	case reasonBodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case reasonBodySlow:
		return http.StatusRequestTimeout
	case reasonDeadlineInvalid, reasonKeyInvalid, string(idempotency.BadToken):
		return http.StatusBadRequest
	case string(idempotency.KeyReused):
		return http.StatusUnprocessableEntity
	case string(idempotency.InFlight):
		return http.StatusConflict
	case string(dispatch.DeadlinePassed), string(dispatch.AttemptTimeout):
		return http.StatusGatewayTimeout
	}
	if r.Outcome == dispatch.Unknown {
		return http.StatusBadGateway
	}
	return http.StatusServiceUnavailable
}

// counters adds the increase of counts kept by other packages to a registry.
type counters struct {
	registry  metrics.Registry
	published map[string]uint64
}

func newCounters(r metrics.Registry) *counters {
	for _, reason := range Reasons() {
		metrics.GetOrRegisterCounter(MetricPrefix+reason.Name, r)
	}
	return &counters{registry: r, published: map[string]uint64{}}
}

func (c *counters) inc(name string, n int64) {
	metrics.GetOrRegisterCounter(MetricPrefix+name, c.registry).Inc(n)
}

// publish adds the increase of a count since its last call. source distinguishes equal
// names from different packages and services.
func (c *counters) publish(source, name string, value uint64) {
	key := source + "/" + name
	if d := value - c.published[key]; d > 0 {
		c.published[key] = value
		c.inc(name, int64(d))
	}
}
