package objectstore

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/time/rate"
)

// Config configures a Client; zero durations and counts take the defaults.
type Config struct {
	// URL is the base of the API, for example https://10.0.0.1:8443.
	URL string
	// Timeout is the limit of one attempt. Default 3 s, well above the milliseconds that the
	// platform usually takes.
	Timeout time.Duration
	// Attempts is the maximum number of attempts of a call that has no effect. Default 4.
	Attempts int
	// Backoff is the first pause between attempts. The pause doubles up to 16 times this value
	// and is multiplied by a random factor of 0.5 to 1.5. Default 100 ms.
	Backoff time.Duration
	// Rate and Burst limit the calls of this process. Default 50 a second and bursts of 100.
	Rate  rate.Limit
	Burst int
	// Liveness is how long a watch may stay unanswered after the end of its wait. Default 3 s.
	Liveness time.Duration
	HTTP     *http.Client
	Rand     *rand.Rand
}

// Client is a Store over HTTP. It is safe for concurrent use.
type Client struct {
	cfg   Config
	limit *rate.Limiter
	mu    sync.Mutex // guards cfg.Rand
}

var _ Store = (*Client)(nil)

// New returns a client.
func New(cfg Config) *Client {
	setDefault(&cfg.Timeout, 3*time.Second)
	setDefault(&cfg.Attempts, 4)
	setDefault(&cfg.Backoff, 100*time.Millisecond)
	setDefault(&cfg.Rate, 50)
	setDefault(&cfg.Burst, 100)
	setDefault(&cfg.Liveness, 3*time.Second)
	if cfg.HTTP == nil {
		cfg.HTTP = &http.Client{Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
			MaxIdleConnsPerHost: 8,
			IdleConnTimeout:     time.Minute,
		}}
	}
	if cfg.Rand == nil {
		cfg.Rand = rand.New(rand.NewSource(time.Now().UnixNano()))
	}
	cfg.URL = strings.TrimSuffix(cfg.URL, "/")
	return &Client{cfg: cfg, limit: rate.NewLimiter(cfg.Rate, cfg.Burst)}
}

func setDefault[T comparable](v *T, value T) {
	var zero T
	if *v == zero {
		*v = value
	}
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (Object, error) {
	var w WireObject
	epoch, err := c.retry(ctx, http.MethodGet, objectPath(key), nil, &w)
	if err != nil {
		return Object{}, err
	}
	o, err := w.object(epoch)
	if err != nil || o.Key != key || w.Revision == 0 {
		return Object{}, errors.Wrapf(ErrUnavailable, "response is for key %q version %s", o.Key, o.Version)
	}
	return o, nil
}

// List implements Store.
func (c *Client) List(ctx context.Context, prefix string) (Listing, error) {
	var w WireListing
	epoch, err := c.retry(ctx, http.MethodGet, "/v1/objects?prefix="+url.QueryEscape(prefix), nil, &w)
	if err != nil {
		return Listing{}, err
	}
	return readListing(w, epoch)
}

// readListing returns a listing of a response, or ErrUnavailable if its versions are invalid.
func readListing(w WireListing, epoch uint64) (Listing, error) {
	l, err := w.listing(epoch)
	if err != nil {
		return Listing{}, errors.Wrap(ErrUnavailable, err.Error())
	}
	return l, nil
}

// Put implements Store. It is retried only if no attempt can have taken effect.
func (c *Client) Put(ctx context.Context, key string, value []byte, expect Version) (Version, error) {
	if len(value) > MaxValue {
		return 0, errors.Errorf("value of %s has %d bytes, allowed are %d", key, len(value), MaxValue)
	}
	if value == nil {
		value = []byte{}
	}
	var answer WireVersion
	epoch, err := c.retry(ctx, http.MethodPut, versionPath(key, expect), value, &answer)
	if err != nil {
		return 0, err
	}
	v, err := NewVersion(epoch, answer.Revision)
	if err != nil || answer.Revision == 0 {
		return 0, errors.Wrap(ErrUnknown, "response has no valid version")
	}
	return v, nil
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, key string, expect Version) error {
	_, err := c.retry(ctx, http.MethodDelete, versionPath(key, expect), nil, nil)
	return err
}

// Watch implements Store. A watch that is not answered within its wait plus Liveness
// returns ErrExpired, so that the caller lists again. It is not retried.
func (c *Client) Watch(ctx context.Context, prefix string, after Version, wait time.Duration) (Listing, error) {
	q := url.Values{"prefix": {prefix}, "wait": {strconv.FormatFloat(wait.Seconds(), 'f', 3, 64)}}
	setVersion(q, afterParam, after)
	var w WireListing
	live, cancel := context.WithTimeout(ctx, wait+c.cfg.Liveness)
	defer cancel()
	epoch, err := c.attempt(live, http.MethodGet, "/v1/objects?"+q.Encode(), nil, &w)
	switch {
	case err != nil && live.Err() != nil && ctx.Err() == nil:
		return Listing{}, errors.Wrap(ErrExpired, "watch was not answered within its deadline")
	case err != nil:
		return Listing{}, err
	case epoch != after.Epoch():
		return Listing{}, errors.Wrapf(ErrExpired, "watch from epoch %d was answered in epoch %d", after.Epoch(), epoch)
	}
	return readListing(w, epoch)
}

// Instances implements Store.
func (c *Client) Instances(ctx context.Context) ([]Instance, error) {
	var list []Instance
	_, err := c.retry(ctx, http.MethodGet, "/v1/instances", nil, &list)
	return list, err
}

func objectPath(key string) string {
	return "/v1/objects/" + (&url.URL{Path: key}).EscapedPath()
}

func versionPath(key string, v Version) string {
	q := url.Values{}
	setVersion(q, versionParam, v)
	return objectPath(key) + "?" + q.Encode()
}

// retry repeats a call until it succeeds, fails with an error other than ErrUnavailable or
// runs out of attempts, with exponential backoff and jitter. It returns the store's epoch.
func (c *Client) retry(ctx context.Context, method, path string, body []byte, answer any) (epoch uint64, err error) {
	pause := c.cfg.Backoff
	for n := 1; ; n++ {
		attempt, cancel := context.WithTimeout(ctx, c.cfg.Timeout)
		epoch, err = c.attempt(attempt, method, path, body, answer)
		cancel()
		if err == nil || n >= c.cfg.Attempts || !errors.Is(err, ErrUnavailable) {
			return epoch, err
		}
		c.mu.Lock()
		factor := 0.5 + c.cfg.Rand.Float64()
		c.mu.Unlock()
		select {
		case <-ctx.Done():
			return 0, err
		case <-time.After(time.Duration(float64(pause) * factor)):
		}
		pause = min(2*pause, 16*c.cfg.Backoff)
	}
}

// attempt makes one HTTP call. A change whose response is lost or unreadable returns ErrUnknown.
func (c *Client) attempt(ctx context.Context, method, path string, body []byte, answer any) (epoch uint64, err error) {
	if err := c.limit.Wait(ctx); err != nil {
		return 0, errors.Wrap(ErrUnavailable, "rate limit of this process")
	}
	req, err := http.NewRequestWithContext(ctx, method, c.cfg.URL+path, bytes.NewReader(body))
	if err != nil {
		return 0, errors.Wrap(err, "platform address")
	}
	lostErr := ErrUnavailable
	if method != http.MethodGet {
		lostErr = ErrUnknown
	}
	resp, err := c.cfg.HTTP.Do(req)
	if err != nil {
		var dial *net.OpError
		if errors.As(err, &dial) && dial.Op == "dial" {
			lostErr = ErrUnavailable // no connection, so the change was not sent
		}
		return 0, errors.Wrapf(lostErr, "%s: %v", method, err)
	}
	defer func() { _ = resp.Body.Close() }()
	// A listing holds several values in base64, so it can exceed the limit of one value.
	data, err := io.ReadAll(io.LimitReader(resp.Body, 64*MaxValue))
	if err != nil {
		return 0, errors.Wrapf(lostErr, "%s: %v", method, err)
	}
	if err := statusError(resp.StatusCode, lostErr); err != nil {
		return 0, errors.Wrapf(err, "%s: status %d", method, resp.StatusCode)
	}
	if epoch, err = epochOf(resp.Header); err != nil {
		return 0, errors.Wrapf(lostErr, "%s: invalid response: %v", method, err)
	}
	if answer == nil {
		return epoch, nil
	}
	if err := json.Unmarshal(data, answer); err != nil {
		return 0, errors.Wrapf(lostErr, "%s: invalid response: %v", method, err)
	}
	return epoch, nil
}

func statusError(status int, lost error) error {
	switch status {
	case http.StatusOK:
		return nil
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusConflict:
		return ErrConflict
	case http.StatusGone:
		return ErrExpired
	case http.StatusTooManyRequests:
		return ErrUnavailable
	}
	if status >= 500 {
		return lost
	}
	return errors.New("request refused")
}
