package admin

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"testing"

	"github.com/shoenig/test/must"

	"guavaloom.example/guavaloom/internal/metric"
)

// Guards against a ready status while there are reasons against it, and against
// endpoints with a wrong status.
func TestEndpoints(t *testing.T) {
	set := metric.NewSet()
	set.Counter(metric.PeerRefused, "wrong_zone").Inc(3)
	reasons := []string{"lease lapsed"}
	s, err := Listen(netip.MustParseAddrPort("127.0.0.1:0"), set, func() []string { return reasons })
	must.NoError(t, err)
	s.AddReady(RequestsReadyPath, func() []string { return nil })
	s.Add("/explain", func(_ context.Context, q url.Values) (any, error) {
		if q.Get("src") == "" {
			return nil, &BadRequest{Problem: "src is missing"}
		}
		return map[string]string{"src": q.Get("src")}, nil
	})
	done := make(chan error, 1)
	go func() { done <- s.Serve() }()
	get := func(path string) (int, string) {
		r, err := http.Get("http://" + s.Addr().String() + path)
		must.NoError(t, err)
		defer func() { _ = r.Body.Close() }()
		b, err := io.ReadAll(r.Body)
		must.NoError(t, err)
		return r.StatusCode, string(b)
	}
	cases := []struct {
		path   string
		status int
		want   string
	}{
		{"/healthz", 200, `"alive":true`},
		{"/readyz", 503, `"reasons":["lease lapsed"]`},
		{"/readyz/requests", 200, `"ready":true`},
		{"/metrics", 200, `guavaloom_peer_refused_total{reason="wrong_zone"} 3`},
		{"/explain?src=a", 200, `{"src":"a"}`},
		{"/explain", 400, `src is missing`},
		{"/other", 404, ``},
	}
	for _, c := range cases {
		status, body := get(c.path)
		must.Eq(t, c.status, status, must.Sprint(c.path))
		must.StrContains(t, body, c.want)
	}
	reasons = nil
	status, body := get("/readyz")
	must.Eq(t, 200, status)
	must.StrContains(t, body, `"ready":true,"reasons":[]`)
	must.NoError(t, s.Shutdown(context.Background()))
	must.NoError(t, <-done)
}
