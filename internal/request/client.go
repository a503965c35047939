package request

import (
	"bytes"
	"context"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"guavaloom.example/guavaloom/internal/dispatch"
	"guavaloom.example/guavaloom/internal/idempotency"
	"guavaloom.example/guavaloom/internal/target"
)

// client sends the attempts for one service to its targets.
type client struct {
	limits Limits
	mu     sync.Mutex
	pools  map[target.ID]*pool
}

// pool holds the connections to one target.
type pool struct {
	addr   netip.AddrPort
	recent *http.Transport // connections idle for less than Limits.NonIdempotentIdleTimeout
	idle   *http.Transport // connections idle for less than Limits.TargetIdleTimeout
	// echoes is set if the target's last answer echoed the service, request and attempt
	// headers. Only then are connections reused: without the echo, a delayed duplicate of
	// an answer can't be distinguished from the answer to the next request.
	echoes atomic.Bool
}

func newClient(l Limits) *client { return &client{limits: l, pools: map[target.ID]*pool{}} }

// install sets the addresses of the targets and closes idle connections to all other
// addresses.
func (c *client) install(addrs map[target.ID]netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, p := range c.pools {
		if addrs[id] != p.addr {
			p.closeIdle()
			delete(c.pools, id)
		}
	}
	for id, addr := range addrs {
		if c.pools[id] == nil {
			c.pools[id] = &pool{addr: addr, recent: c.transport(c.limits.NonIdempotentIdleTimeout), idle: c.transport(c.limits.TargetIdleTimeout)}
		}
	}
}

func (c *client) transport(idle time.Duration) *http.Transport {
	dialer := net.Dialer{Timeout: c.limits.ConnectTimeout}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &trackedConn{Conn: conn}, nil
		},
		IdleConnTimeout:        idle,
		MaxIdleConnsPerHost:    8,
		DisableCompression:     true,
		MaxResponseHeaderBytes: 64 << 10,
	}
}

func (p *pool) closeIdle() {
	p.recent.CloseIdleConnections()
	p.idle.CloseIdleConnections()
}

func (c *client) pool(id target.ID) *pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pools[id]
}

// send makes one attempt. It returns Unsent only if no byte of the request was written
// to a connection and none can be written later.
func (c *client) send(ctx context.Context, a attempt) (dispatch.Result, *idempotency.Answer) {
	p := c.pool(a.target)
	if p == nil {
		return dispatch.Result{Kind: dispatch.Unsent, Reason: dispatch.ConnectFailed}, nil
	}
	var conns attemptConns
	// The context is canceled when the response headers time out or the attempt ends.
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timer := time.AfterFunc(c.limits.AttemptTimeout, func() { cancel(errAttemptTimeout) })
	req := newRequest(httptrace.WithClientTrace(ctx, conns.trace()), p.addr, a)
	echoes := p.echoes.Load()
	req.Close = !echoes
	resp, err := p.transport(a.freshConn).RoundTrip(req)
	if err != nil {
		return c.classifyFailure(ctx, p, &conns, err), nil
	}
	// If the timer has already fired, ctx is canceled and reading the body below fails.
	timer.Stop()
	defer resp.Body.Close()
	echo := compareEcho(resp.Header, a.key)
	p.echoes.Store(echo == echoComplete)
	if echo == echoMismatch || echoes && echo != echoComplete {
		conns.close()
		return lost(dispatch.AnswerMismatched), nil
	}
	if r, ok := notRun(resp); ok {
		return r, nil
	}
	return c.readAnswer(ctx, p, &conns, resp, a.call.Method)
}

func (p *pool) transport(freshConn bool) *http.Transport {
	if freshConn {
		return p.recent
	}
	return p.idle
}

var errAttemptTimeout = errors.New("no response headers within the attempt's time limit")

// classifyFailure returns the result of an attempt without a complete response header.
func (c *client) classifyFailure(ctx context.Context, p *pool, conns *attemptConns, _ error) dispatch.Result {
	timedOut := errors.Is(context.Cause(ctx), errAttemptTimeout)
	if timedOut {
		// Other idle connections to the target may be dead as well.
		p.closeIdle()
	}
	switch {
	case conns.seal():
		return dispatch.Result{Kind: dispatch.Unsent, Reason: dispatch.ConnectFailed}
	case timedOut:
		return lost(dispatch.AttemptTimeout)
	case deadlinePassed(ctx):
		return lost(dispatch.DeadlinePassed)
	}
	return lost(dispatch.ConnectionLost)
}

// deadlinePassed reports whether an attempt's context ended at the request's deadline.
func deadlinePassed(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), context.DeadlineExceeded)
}

func lost(r dispatch.Reason) dispatch.Result { return dispatch.Result{Kind: dispatch.Lost, Reason: r} }

// notRun reports whether the target answered that it did not run the request.
func notRun(resp *http.Response) (dispatch.Result, bool) {
	if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get(HeaderNotRun) != "true" {
		return dispatch.Result{}, false
	}
	r := dispatch.Result{Kind: dispatch.NotRun, Reason: dispatch.TargetShed}
	if resp.Header.Get(HeaderDraining) == "true" {
		r.Reason = dispatch.TargetDraining
	}
	if s, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil && s > 0 {
		r.RetryAfter = time.Duration(s) * time.Second
	}
	return r, true
}

// echoMatch is the result of comparing the headers echoed in an answer with its request.
type echoMatch int

const (
	// echoIncomplete: at least one header is missing, none differs.
	echoIncomplete echoMatch = iota
	// echoComplete: the service, request and attempt headers all match.
	echoComplete
	// echoMismatch: a header differs, so the answer belongs to another request.
	echoMismatch
)

// compareEcho compares the headers echoed in an answer with those of its request.
func compareEcho(h http.Header, k dispatch.AttemptKey) echoMatch {
	found := echoComplete
	for name, want := range map[string]string{
		HeaderService: string(k.Service),
		HeaderRequest: strconv.FormatUint(uint64(k.Request), 10),
		HeaderAttempt: strconv.FormatUint(uint64(k.Attempt), 10),
	} {
		switch h.Get(name) {
		case want:
		case "":
			found = echoIncomplete
		default:
			return echoMismatch
		}
	}
	return found
}

func (c *client) readAnswer(ctx context.Context, p *pool, conns *attemptConns, resp *http.Response, method string) (dispatch.Result, *idempotency.Answer) {
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && method != http.MethodHead {
		// The end of the connection ends the body, so truncation could not be detected.
		conns.close()
		return lost(dispatch.AnswerTruncated), nil
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, c.limits.MaxAnswer+1))
	switch {
	case err != nil && errors.Is(context.Cause(ctx), errAttemptTimeout):
		p.closeIdle()
		return lost(dispatch.AttemptTimeout), nil
	case err != nil && deadlinePassed(ctx):
		return lost(dispatch.DeadlinePassed), nil
	case err != nil:
		return lost(dispatch.AnswerTruncated), nil
	case int64(len(body)) > c.limits.MaxAnswer:
		conns.close()
		return lost(dispatch.AnswerTooLarge), nil
	}
	h := resp.Header.Clone()
	removeHopByHopHeaders(h)
	maps.DeleteFunc(h, func(name string, _ []string) bool { return isProtocolHeader(name) })
	if method != http.MethodHead {
		h.Del("Content-Length")
	}
	return dispatch.Result{Kind: dispatch.Complete}, &idempotency.Answer{Status: resp.StatusCode, Header: h, Body: body}
}

// newRequest builds the HTTP request of one attempt. Its body can't be rewound, which
// prevents net/http from retrying the request on its own.
func newRequest(ctx context.Context, addr netip.AddrPort, a attempt) *http.Request {
	u, err := url.ParseRequestURI(a.call.Target)
	if err != nil {
		u = &url.URL{Path: "/"}
	}
	u.Scheme, u.Host = "http", addr.String()
	h := http.Header(maps.Clone(a.call.Header))
	if h == nil {
		h = http.Header{}
	}
	h.Set(HeaderService, string(a.key.Service))
	h.Set(HeaderRequest, strconv.FormatUint(uint64(a.key.Request), 10))
	h.Set(HeaderAttempt, strconv.FormatUint(uint64(a.key.Attempt), 10))
	h.Set(HeaderDeadline, strconv.FormatInt(a.remaining.Milliseconds(), 10))
	if a.call.Key != "" {
		h.Set(HeaderKey, a.call.Key)
	}
	r := &http.Request{
		Method: a.call.Method, URL: u, Host: a.call.Host, Header: h,
		Body: io.NopCloser(nonRewindableReader{bytes.NewReader(a.call.Body)}), ContentLength: int64(len(a.call.Body)),
	}
	return r.WithContext(ctx)
}

// nonRewindableReader hides the methods that would let net/http rewind a body.
type nonRewindableReader struct{ io.Reader }
