package request

import (
	"net/http"

	"github.com/rcrowley/go-metrics"

	"guavaloom.example/guavaloom/internal/admission"
	"guavaloom.example/guavaloom/internal/dispatch"
	"guavaloom.example/guavaloom/internal/idempotency"
)

// Reasons of refusals that the listener itself makes. None of them has run.
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

// countIsolated is no refusal: it counts the checks at arrival and before each send.
const countIsolated = "isolated_permit"

// ReasonHelp declares a counter name and its help text.
type ReasonHelp struct{ Name, Help string }

// MetricPrefix precedes every reason in the names of counters.
const MetricPrefix = "request_"

// Reasons lists all counters of the request path, including those of the cores.
func Reasons() []ReasonHelp {
	all := []ReasonHelp{
		{reasonHostUnknown, "requests refused because no service has their host"},
		{reasonBodyTooLarge, "requests refused because their body exceeds the limit"},
		{reasonBodySlow, "requests refused because their body did not arrive in time"},
		{reasonBodyMemoryFull, "requests refused because too many bytes of bodies are held"},
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

// statusOf returns the HTTP status of a request that was not answered.
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

// counters adds the growth of the cores' counts to a registry.
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

// publish takes the present value of a core's counter. Source keeps equal names
// of different cores apart.
func (c *counters) publish(source, name string, value uint64) {
	key := source + "/" + name
	if d := value - c.published[key]; d > 0 {
		c.published[key] = value
		c.inc(name, int64(d))
	}
}
