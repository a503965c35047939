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

// client sends attempts to the targets of one service.
type client struct {
	limits Limits
	mu     sync.Mutex
	pools  map[target.ID]*pool
}

// pool holds the connections to one target.
type pool struct {
	addr   netip.AddrPort
	recent *http.Transport // idle for less than Limits.NonIdempotentIdleTimeout
	idle   *http.Transport
	// echoes tells that the target's last answer echoes its service, request and attempt.
	// Only then is a connection used again: without the names, a late second copy of an
	// answer can't be told from the answer to the next request.
	echoes atomic.Bool
}

func newClient(l Limits) *client { return &client{limits: l, pools: map[target.ID]*pool{}} }

// install sets the addresses of the targets and closes the idle connections of others.
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

// send makes one attempt. It reports Unsent only if no byte was handed to a
// connection and none can be later.
func (c *client) send(ctx context.Context, a attempt) (dispatch.Result, *idempotency.Answer) {
	p := c.pool(a.target)
	if p == nil {
		return dispatch.Result{Kind: dispatch.Unsent, Reason: dispatch.ConnectFailed}, nil
	}
	var conns attemptConns
	// The attempt's context ends with the headers' time limit or the whole attempt.
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
	// An expired timer has canceled ctx; the body read below then fails.
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

func (c *client) classifyFailure(ctx context.Context, p *pool, conns *attemptConns, _ error) dispatch.Result {
	timedOut := errors.Is(context.Cause(ctx), errAttemptTimeout)
	if timedOut {
		// One silent connection means that others may be silent as well.
		p.closeIdle()
	}
	switch {
	case conns.seal():
		return dispatch.Result{Kind: dispatch.Unsent, Reason: dispatch.ConnectFailed}
	case timedOut:
		return lost(dispatch.AttemptTimeout)
	}
	return lost(dispatch.ConnectionLost)
}

func lost(r dispatch.Reason) dispatch.Result { return dispatch.Result{Kind: dispatch.Lost, Reason: r} }

// notRun recognizes a target's statement that it did not run the request.
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

// echoMatch tells how far an answer names the request that it belongs to.
type echoMatch int

const (
	// echoIncomplete: nothing in the answer contradicts the request.
	echoIncomplete echoMatch = iota
	// echoComplete: the answer names the request's service, number and attempt.
	echoComplete
	// echoMismatch: the answer belongs to another request.
	echoMismatch
)

// compareEcho compares the names in an answer with those of its request.
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
		// The body ends with the connection, so a cut could not be noticed.
		conns.close()
		return lost(dispatch.AnswerTruncated), nil
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, c.limits.MaxAnswer+1))
	switch {
	case err != nil && errors.Is(context.Cause(ctx), errAttemptTimeout):
		p.closeIdle()
		return lost(dispatch.AttemptTimeout), nil
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

// newRequest builds the request of one attempt. Its body can not be rewound,
// which keeps net/http from sending it again by itself.
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

// nonRewindableReader hides the methods by which net/http could rewind a body.
type nonRewindableReader struct{ io.Reader }
