package request

import (
	"context"
	"net/netip"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"guavaloom.example/guavaloom/internal/admission"
	"guavaloom.example/guavaloom/internal/idempotency"
	"guavaloom.example/guavaloom/internal/instance"
	"guavaloom.example/guavaloom/internal/service"
)

// Header names of the protocol between instances and targets.
const (
	HeaderService  = "Guavaloom-Service"     // service ID; echoed by the target if it can
	HeaderRequest  = "Guavaloom-Request"     // request ID; echoed
	HeaderAttempt  = "Guavaloom-Attempt"     // attempt number from 1; echoed
	HeaderDeadline = "Guavaloom-Deadline-Ms" // remaining time in milliseconds
	HeaderNotRun   = "Guavaloom-Not-Run"     // "true" on a 503: the request did not run
	HeaderDraining = "Guavaloom-Draining"    // "true" with Not-Run: the target is leaving
	HeaderKey      = "Idempotency-Key"
	headerPrefix   = "Guavaloom-"
)

// TokenPath is where callers get idempotency tokens (POST).
const TokenPath = "/.guavaloom/tokens"

// Peers carries messages to other instances.
type Peers interface {
	// Dispatch hands a request over. An error that wraps ErrNotDelivered means that
	// the other instance certainly did not receive it. A call is sent at most once:
	// the transport must not retry it.
	Dispatch(ctx context.Context, to instance.Ref, c *Call) (*Reply, error)
	QueryKey(ctx context.Context, to instance.Ref, a idempotency.KeyQuery) (idempotency.KeyQueryReply, error)
	Handover(ctx context.Context, to instance.Ref, h idempotency.Handover) error
}

// Limits bound what callers and targets can make an instance hold. Zero fields
// take the defaults.
type Limits struct {
	MaxBody                  int64         // request body, unless the service sets its own; 1 MiB
	MaxBodyMemory            int64         // all request bodies held at once; 64 MiB
	MaxAnswer                int64         // answer body; 4 MiB
	MaxHeader                int           // request header; 16 KiB
	MaxConnections           int           // connections from callers; 4096
	HeaderTimeout            time.Duration // reading a request header; 5 s
	BodyTimeout              time.Duration // reading a request body; 10 s
	WriteTimeout             time.Duration // writing an answer; 30 s
	CallerIdleTimeout        time.Duration // idle connections from callers; 60 s
	ConnectTimeout           time.Duration // connecting to a target; 1 s
	AttemptTimeout           time.Duration // response headers of an attempt; 5 s
	TargetIdleTimeout        time.Duration // idle connections to targets; 30 s
	NonIdempotentIdleTimeout time.Duration // age of proof of life for requests that must not be repeated; 1 s
}

func (l Limits) withDefaults() Limits {
	setDefault(&l.MaxBody, 1<<20)
	setDefault(&l.MaxBodyMemory, 64<<20)
	setDefault(&l.MaxAnswer, 4<<20)
	setDefault(&l.MaxHeader, 16<<10)
	setDefault(&l.MaxConnections, 4096)
	setDefault(&l.HeaderTimeout, 5*time.Second)
	setDefault(&l.BodyTimeout, 10*time.Second)
	setDefault(&l.WriteTimeout, 30*time.Second)
	setDefault(&l.CallerIdleTimeout, time.Minute)
	setDefault(&l.ConnectTimeout, time.Second)
	setDefault(&l.AttemptTimeout, 5*time.Second)
	setDefault(&l.TargetIdleTimeout, 30*time.Second)
	setDefault(&l.NonIdempotentIdleTimeout, time.Second)
	return l
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// DefaultDeadline is the time limit of a request when neither the caller nor the
// service sets one.
const DefaultDeadline = 10 * time.Second

// Config describes a Server.
type Config struct {
	Self   instance.Ref
	Listen netip.AddrPort // port 0 picks a free port
	// TokenKey authenticates idempotency tokens; all instances of the zone share
	// it. It may be set later with SetTokenKey.
	TokenKey  []byte
	Limits    Limits
	Admission admission.Config
	Keys      idempotency.Limits
	Seed      int64
	// Leased reports whether this instance may send. It must read the clock itself.
	Leased func() bool
	// Isolated reports whether this instance, without a lease, may send requests
	// that need no agreement (see package isolation). It must read the clock itself.
	Isolated func() bool
	Peers    Peers
	// Remote lists instances in other zones that serve a service.
	Remote func(service.ID) []instance.Ref
	// Metrics takes the counters of Reasons; nil creates a registry.
	Metrics metrics.Registry
	Log     logrus.FieldLogger
}

func (c Config) withDefaults() Config {
	c.Limits = c.Limits.withDefaults()
	if c.Leased == nil {
		c.Leased = func() bool { return true }
	}
	if c.Isolated == nil {
		c.Isolated = func() bool { return false }
	}
	if c.Remote == nil {
		c.Remote = func(service.ID) []instance.Ref { return nil }
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewRegistry()
	}
	if c.Log == nil {
		c.Log = logrus.StandardLogger()
	}
	return c
}
