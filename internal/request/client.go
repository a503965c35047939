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
	recent *http.Transport // idle for less than Limits.RecentUse
	idle   *http.Transport
	// named tells that the target's last answer named its service, request and attempt.
	// Only then is a connection used again: without the names, a late second copy of an
	// answer can't be told from the answer to the next request.
	named atomic.Bool
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
			c.pools[id] = &pool{addr: addr, recent: c.transport(c.limits.RecentUse), idle: c.transport(c.limits.TargetIdle)}
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
		return dispatch.Result{Kind: dispatch.Unsent, Reason: dispatch.NotSent}, nil
	}
	var use connUse
	// The attempt's context ends with the headers' time limit or the whole attempt.
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timer := time.AfterFunc(c.limits.AttemptTimeout, func() { cancel(errAttemptTimeout) })
	req := newRequest(httptrace.WithClientTrace(ctx, use.trace()), p.addr, a)
	named := p.named.Load()
	req.Close = !named
	resp, err := p.transport(a.fresh).RoundTrip(req)
	if err != nil {
		return c.failed(ctx, p, &use, err), nil
	}
	// An expired timer has canceled ctx; the body read below then fails.
	timer.Stop()
	defer resp.Body.Close()
	names := answerNames(resp.Header, a.key)
	p.named.Store(names == allNamed)
	if names == otherNamed || named && names != allNamed {
		use.close()
		return lost(dispatch.AnswerCrossed), nil
	}
	if r, ok := notRun(resp); ok {
		return r, nil
	}
	return c.readAnswer(ctx, p, &use, resp, a.call.Method)
}

func (p *pool) transport(fresh bool) *http.Transport {
	if fresh {
		return p.recent
	}
	return p.idle
}

var errAttemptTimeout = errors.New("no response headers within the attempt's time limit")

func (c *client) failed(ctx context.Context, p *pool, use *connUse, _ error) dispatch.Result {
	timedOut := errors.Is(context.Cause(ctx), errAttemptTimeout)
	if timedOut {
		// One silent connection means that others may be silent as well.
		p.closeIdle()
	}
	switch {
	case use.seal():
		return dispatch.Result{Kind: dispatch.Unsent, Reason: dispatch.NotSent}
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
		r.Reason = dispatch.TargetDrains
	}
	if s, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil && s > 0 {
		r.RetryAfter = time.Duration(s) * time.Second
	}
	return r, true
}

// answerNaming tells how far an answer names the request that it belongs to.
type answerNaming int

const (
	// someNamed: nothing in the answer contradicts the request.
	someNamed answerNaming = iota
	// allNamed: the answer names the request's service, number and attempt.
	allNamed
	// otherNamed: the answer belongs to another request.
	otherNamed
)

// answerNames compares the names in an answer with those of its request.
func answerNames(h http.Header, k dispatch.Key) answerNaming {
	found := allNamed
	for name, want := range map[string]string{
		HeaderService: string(k.Service),
		HeaderRequest: strconv.FormatUint(uint64(k.Request), 10),
		HeaderAttempt: strconv.FormatUint(uint64(k.Attempt), 10),
	} {
		switch h.Get(name) {
		case want:
		case "":
			found = someNamed
		default:
			return otherNamed
		}
	}
	return found
}

func (c *client) readAnswer(ctx context.Context, p *pool, use *connUse, resp *http.Response, method string) (dispatch.Result, *idempotency.Answer) {
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && method != http.MethodHead {
		// The body ends with the connection, so a cut could not be noticed.
		use.close()
		return lost(dispatch.AnswerCut), nil
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, c.limits.MaxAnswer+1))
	switch {
	case err != nil && errors.Is(context.Cause(ctx), errAttemptTimeout):
		p.closeIdle()
		return lost(dispatch.AttemptTimeout), nil
	case err != nil:
		return lost(dispatch.AnswerCut), nil
	case int64(len(body)) > c.limits.MaxAnswer:
		use.close()
		return lost(dispatch.AnswerTooLarge), nil
	}
	h := resp.Header.Clone()
	removeHopHeaders(h)
	maps.DeleteFunc(h, func(name string, _ []string) bool { return isOwnHeader(name) })
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
		Body: io.NopCloser(onceReader{bytes.NewReader(a.call.Body)}), ContentLength: int64(len(a.call.Body)),
	}
	return r.WithContext(ctx)
}

// onceReader hides the methods by which net/http could rewind a body.
type onceReader struct{ io.Reader }
