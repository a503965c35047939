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
	HeaderDraining = "Guavaloom-Draining"    // "true" with Not-Run: the target is draining
	HeaderKey      = "Idempotency-Key"
	headerPrefix   = "Guavaloom-"
)

// TokenPath is the path at which callers request idempotency tokens (POST).
const TokenPath = "/.guavaloom/tokens"

// Peers sends messages to other instances.
type Peers interface {
	// Dispatch forwards a request and returns its outcome. An error that wraps
	// ErrNotDelivered means that the other instance certainly did not receive the
	// request. A call is sent at most once: the transport must not retry it.
	Dispatch(ctx context.Context, to instance.Ref, c *Call) (*Reply, error)
	// QueryKey asks a former home of a key for its record.
	QueryKey(ctx context.Context, to instance.Ref, a idempotency.KeyQuery) (idempotency.KeyQueryReply, error)
	// Handover transfers key records to their new home.
	Handover(ctx context.Context, to instance.Ref, h idempotency.Handover) error
}

// Limits bounds the memory, connections and time that callers and targets can take up
// at an instance. Zero fields take the defaults.
type Limits struct {
	MaxBody                  int64         // size of a request body, unless the service sets its own limit; 1 MiB
	MaxBodyMemory            int64         // total size of the request bodies in memory; 64 MiB
	MaxAnswer                int64         // size of an answer body; 4 MiB
	MaxHeader                int           // size of a request header; 16 KiB
	MaxConnections           int           // connections from callers; 4096
	HeaderTimeout            time.Duration // reading a request header; 5 s
	BodyTimeout              time.Duration // reading a request body; 10 s
	WriteTimeout             time.Duration // writing an answer; 30 s
	CallerIdleTimeout        time.Duration // idle connections from callers; 60 s
	ConnectTimeout           time.Duration // connecting to a target; 1 s
	AttemptTimeout           time.Duration // time until the response headers of an attempt; 5 s
	TargetIdleTimeout        time.Duration // idle connections to targets; 30 s
	NonIdempotentIdleTimeout time.Duration // idle connections to targets, for requests that must not be repeated; 1 s
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
	// Leased reports whether this instance holds a lease and so may send requests. It
	// must read the clock on every call.
	Leased func() bool
	// Isolated reports whether this instance, without a lease, may send requests that
	// are safe without coordination between instances (see package isolation). It must
	// read the clock on every call.
	Isolated func() bool
	Peers    Peers
	// Remote lists instances in other zones that serve a service.
	Remote func(service.ID) []instance.Ref
	// Metrics is the registry for the counters of Reasons; nil creates one.
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
