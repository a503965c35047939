package request

import (
	"time"

	"github.com/go-faster/errors"

	"guavaloom.example/guavaloom/internal/dispatch"
	"guavaloom.example/guavaloom/internal/idempotency"
	"guavaloom.example/guavaloom/internal/service"
)

// ErrNotDelivered is wrapped by errors of Peers if the other instance certainly did not
// receive the message.
var ErrNotDelivered = errors.New("instance not reached")

// Call is a request that one instance forwards to another.
type Call struct {
	Service service.ID          `cbor:"1,keyasint"`
	Method  string              `cbor:"2,keyasint"`
	Target  string              `cbor:"3,keyasint"` // path and query
	Host    string              `cbor:"4,keyasint"`
	Header  map[string][]string `cbor:"5,keyasint"`
	Body    []byte              `cbor:"6,keyasint"`
	// Remaining is the time left until the caller's deadline.
	Remaining time.Duration `cbor:"7,keyasint"`
	// Key is the caller's idempotency key or token, or empty.
	Key string `cbor:"8,keyasint"`
	// Hops counts the instances that have forwarded the request.
	Hops int `cbor:"9,keyasint"`
	// Spilled is set if the request comes from another zone or from an instance without
	// slots. The receiver sends it to a target and does not forward it again.
	Spilled bool `cbor:"10,keyasint"`
}

// Reply is the final outcome of a Call.
type Reply struct {
	Outcome    dispatch.Outcome    `cbor:"1,keyasint"`
	Reason     string              `cbor:"2,keyasint"`
	RetryAfter time.Duration       `cbor:"3,keyasint"`
	Answer     *idempotency.Answer `cbor:"4,keyasint"`
}

func answered(a *idempotency.Answer) *Reply { return &Reply{Outcome: dispatch.Answered, Answer: a} }

func refused(reason string, retryAfter time.Duration) *Reply {
	return &Reply{Outcome: dispatch.Refused, Reason: reason, RetryAfter: retryAfter}
}

func unknown(reason string) *Reply { return &Reply{Outcome: dispatch.Unknown, Reason: reason} }
