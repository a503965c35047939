package request

import (
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"

	"guavaloom.example/guavaloom/internal/service"
)

// matchRoute returns the matching route with the longest prefix, or a non-idempotent route
// of class normal if none matches. Of two prefixes of equal length, the route with a
// method takes precedence.
func matchRoute(routes []service.Route, method, path string) service.Route {
	best := service.Route{Class: service.Normal}
	found := false
	for _, r := range routes {
		if r.Method != "" && r.Method != method || !strings.HasPrefix(path, r.Prefix) {
			continue
		}
		longer := len(r.Prefix) > len(best.Prefix) || len(r.Prefix) == len(best.Prefix) && r.Method != "" && best.Method == ""
		if !found || longer {
			best, found = r, true
		}
	}
	return best
}

// hostName returns the host of a request in lower case and without a port.
func hostName(host string) string {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}

// hopByHopHeaders apply to one connection only (RFC 9110, section 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

func removeHopByHopHeaders(h http.Header) {
	for _, value := range h.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
}

func isProtocolHeader(name string) bool { return strings.HasPrefix(name, headerPrefix) }

// forwardHeader returns the header fields to send to the target.
func forwardHeader(h http.Header, remote string) http.Header {
	out := h.Clone()
	removeHopByHopHeaders(out)
	maps.DeleteFunc(out, func(name string, _ []string) bool { return isProtocolHeader(name) })
	out.Del(HeaderKey)
	if host, _, err := net.SplitHostPort(remote); err == nil {
		out["X-Forwarded-For"] = append(slices.Clone(out["X-Forwarded-For"]), host)
	}
	return out
}
