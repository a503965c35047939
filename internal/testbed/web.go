package testbed

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// Header fields by which targets recognise what a caller sent. The idempotency
// key itself is not passed on to targets.
const (
	headerAttempt = "Lab-Attempt"
	headerKey     = "Lab-Key"
)

// Host is the host name of the request service that targets of Requests serve.
const Host = "booking.lab"

// uploadTime is how long a target works on an upload, so that stops meet uploads
// in flight.
const uploadTime = 300 * time.Millisecond

// answer is the body of a target's answer. It lets the caller check that it is
// complete and its own.
type answer struct {
	Attempt string `json:"attempt"`
	Key     string `json:"key"`
	Digest  string `json:"digest"` // of the request body
	Target  string `json:"target"`
}

func digest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// WebTarget is an HTTP target. It takes GET /slots (idempotent), POST /bookings and
// PUT /proofs.
type WebTarget struct {
	Name string
	Addr netip.AddrPort
	web  *http.Server
}

// NewWebTarget starts a target. With double set it runs each booking twice, which
// is a planted fault.
func (q *Requests) NewWebTarget(name string, at netip.AddrPort, double bool) (*WebTarget, error) {
	l, err := net.Listen("tcp", at.String())
	if err != nil {
		return nil, errors.Wrapf(err, "target %s", name)
	}
	t := &WebTarget{Name: name, Addr: at}
	t.web = &http.Server{ReadHeaderTimeout: 5 * time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		q.runs.add(name, r)
		if double && r.Method == http.MethodPost {
			q.runs.add(name, r)
		}
		if r.Method == http.MethodPut {
			time.Sleep(uploadTime)
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(answer{r.Header.Get(headerAttempt), r.Header.Get(headerKey), digest(body), name})
	})}
	go func() { _ = t.web.Serve(l) }()
	return t, nil
}

// Close ends the target.
func (t *WebTarget) Close() { _ = t.web.Close() }

// runLog counts what the targets have run.
type runLog struct {
	mu        sync.Mutex
	byAttempt map[string]int
	byKey     map[string]int
	byTarget  map[string]int
}

func (l *runLog) add(target string, r *http.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.byTarget[target]++
	l.byAttempt[r.Header.Get(headerAttempt)]++
	if k := r.Header.Get(headerKey); k != "" {
		l.byKey[k]++
	}
}

// RunAt returns how many requests a target has run.
func (q *Requests) RunAt(name string) int {
	q.runs.mu.Lock()
	defer q.runs.mu.Unlock()
	return q.runs.byTarget[name]
}

// RunsOf returns how often requests with a key have run.
func (q *Requests) RunsOf(key string) int {
	q.runs.mu.Lock()
	defer q.runs.mu.Unlock()
	return q.runs.byKey[key]
}
