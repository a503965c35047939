package testbed

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"guavaloom.example/guavaloom/internal/operator"
	"guavaloom.example/guavaloom/internal/request"
)

// callTimeout is far above what any request needs.
const callTimeout = time.Minute

// Requests makes HTTP requests at instances and compares the outcomes with what
// the targets have run.
type Requests struct {
	client *http.Client
	runs   runLog

	mu      sync.Mutex
	counts  RequestCounts
	calls   int
	once    []string // attempts that must run at most once
	refused []string // attempts that were refused as not run
	keys    []string
	killed  map[*Instance]bool
}

// RequestCounts are the totals of all attempts.
type RequestCounts struct {
	Attempts int `json:"attempts"`
	Answered int `json:"answered"`
	Refused  int `json:"refused"`
	// Unknown counts outcomes that the instance could not tell; only keyed requests
	// may have them, when the home of their key was killed.
	Unknown        int `json:"unknown"`
	UnknownUnkeyed int `json:"unknown_unkeyed"`
	// Cut counts connections that ended without an answer, and CutByKill those to
	// an instance that was killed.
	Cut       int `json:"cut"`
	CutByKill int `json:"cut_by_kill"`
	// NotSent counts failed connection attempts.
	NotSent int `json:"not_sent"`
	// Wrong counts answers that are incomplete or belong to another request.
	Wrong int `json:"wrong"`
	// Status counts other answers, which targets never give.
	Status      int `json:"status"`
	Keys        int `json:"keys"`
	DoubleRuns  int `json:"double_runs"`
	FalseNotRun int `json:"false_not_run"`
}

// NewRequests returns a caller without targets.
func NewRequests() *Requests {
	// A connection for each request: a stop would otherwise race with the reuse of
	// an idle connection, which HTTP can't tell from a cut request.
	return &Requests{
		client: &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
		runs:   runLog{byAttempt: map[string]int{}, byKey: map[string]int{}, byTarget: map[string]int{}},
		killed: map[*Instance]bool{},
	}
}

// Outcome is how an attempt ended for the caller.
type Outcome string

// Outcomes.
const (
	Answered Outcome = "answered"
	Refused  Outcome = "refused" // not run
	Unknown  Outcome = "unknown"
	Failed   Outcome = "failed" // no answer
)

// Call is one request.
type Call struct {
	Method, Path string
	Key          string // empty for none
	Body         []byte
}

// Killed notes that connections to an instance end without blame from now on.
func (q *Requests) Killed(i *Instance) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.killed[i] = true
}

// Do makes an attempt at an instance.
func (q *Requests) Do(ctx context.Context, i *Instance, c Call) Outcome {
	q.mu.Lock()
	q.calls++
	q.counts.Attempts++
	attempt := fmt.Sprintf("attempt-%d", q.calls)
	if c.Method == http.MethodPost {
		q.once = append(q.once, attempt)
	}
	if c.Key != "" {
		q.keys = append(q.keys, c.Key)
	}
	q.mu.Unlock()
	resp, body, err := q.send(ctx, i, c, attempt)
	q.mu.Lock()
	defer q.mu.Unlock()
	if err != nil {
		return q.failed(i, err)
	}
	return q.judge(c, attempt, resp, body)
}

func (q *Requests) send(ctx context.Context, i *Instance, c Call, attempt string) (*http.Response, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, c.Method, "http://"+i.Listen.Request.String()+c.Path, bytes.NewReader(c.Body))
	if err != nil {
		return nil, nil, err
	}
	req.Host = Host
	req.Header.Set(headerAttempt, attempt)
	if c.Key != "" {
		req.Header.Set(headerKey, c.Key)
		req.Header.Set(request.HeaderKey, c.Key)
	}
	resp, err := q.client.Do(req)
	if err != nil {
		return nil, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return resp, body, err
}

func (q *Requests) failed(i *Instance, err error) Outcome {
	var op *net.OpError
	switch {
	case errors.As(err, &op) && op.Op == "dial":
		q.counts.NotSent++
		return Refused
	case q.killed[i]:
		q.counts.CutByKill++
	default:
		q.counts.Cut++
	}
	return Failed
}

func (q *Requests) judge(c Call, attempt string, resp *http.Response, body []byte) Outcome {
	switch {
	case resp.StatusCode == http.StatusOK:
		var a answer
		own := json.Unmarshal(body, &a) == nil && a.Digest == digest(c.Body) && a.Key == c.Key && (a.Attempt == attempt || c.Key != "")
		if !own {
			q.counts.Wrong++
		}
		q.counts.Answered++
		return Answered
	case resp.Header.Get(request.HeaderNotRun) == "true":
		q.counts.Refused++
		q.refused = append(q.refused, attempt)
		return Refused
	case resp.StatusCode == http.StatusBadGateway || resp.StatusCode == http.StatusGatewayTimeout || resp.StatusCode == http.StatusServiceUnavailable:
		q.counts.Unknown++
		if c.Key == "" {
			q.counts.UnknownUnkeyed++
		}
		return Unknown
	}
	q.counts.Status++
	return Failed
}

// Counts returns the totals, compared with the targets' runs.
func (q *Requests) Counts() RequestCounts {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.runs.mu.Lock()
	defer q.runs.mu.Unlock()
	c := q.counts
	for _, a := range q.once {
		if q.runs.byAttempt[a] > 1 {
			c.DoubleRuns++
		}
	}
	seen := map[string]bool{}
	for _, k := range q.keys {
		if seen[k] {
			continue
		}
		seen[k] = true
		c.Keys++
		if q.runs.byKey[k] > 1 {
			c.DoubleRuns++
		}
	}
	for _, a := range q.refused {
		if q.runs.byAttempt[a] > 0 {
			c.FalseNotRun++
		}
	}
	return c
}

// Run makes requests until ctx ends: lookups, bookings, uploads, and bookings with
// a key that are repeated at another instance.
func (q *Requests) Run(ctx context.Context, name string, seed int64, ready func() []*Instance) {
	rng := rand.New(rand.NewSource(seed))
	upload := make([]byte, 32<<10)
	rng.Read(upload)
	for n := 0; ctx.Err() == nil; n++ {
		if operator.Sleep(ctx, 20*time.Millisecond) != nil {
			return
		}
		all := ready()
		if len(all) == 0 {
			continue
		}
		at, other := all[rng.Intn(len(all))], all[rng.Intn(len(all))]
		body := []byte(fmt.Sprintf("%s booking %d", name, n))
		// An attempt runs to its end even if ctx ends meanwhile.
		ctx := context.WithoutCancel(ctx)
		switch rng.Intn(5) {
		case 0, 1:
			q.Do(ctx, at, Call{Method: http.MethodGet, Path: "/slots"})
		case 2:
			q.Do(ctx, at, Call{Method: http.MethodPost, Path: "/bookings", Body: body})
		case 3:
			q.Do(ctx, at, Call{Method: http.MethodPut, Path: "/proofs", Body: upload})
		case 4:
			c := Call{Method: http.MethodPost, Path: "/bookings", Key: fmt.Sprintf("%s-%d", name, n), Body: body}
			q.Do(ctx, at, c)
			q.Do(ctx, other, c)
		}
	}
}
