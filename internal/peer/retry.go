package peer

import (
	"io"
	"net/http"
)

// rewinder limits when net/http may repeat a request over HTTP/2. When the context ends at
// the time at which the connection is lost, the first try returns while it still reads its
// body. A repetition then reads the state of that body concurrently, which is a data race in
// net/http, and fails anyway because the context has ended. While the context lasts, the
// first try has ended before GetBody is called.
type rewinder struct{ next http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (r rewinder) RoundTrip(req *http.Request) (*http.Response, error) {
	if getBody := req.GetBody; getBody != nil {
		ctx := req.Context()
		req = req.WithContext(ctx) // a copy: a RoundTripper must not change its request
		req.GetBody = func() (io.ReadCloser, error) {
			if err := ctx.Err(); err != nil {
				return nil, err
			}
			return getBody()
		}
	}
	return r.next.RoundTrip(req)
}
