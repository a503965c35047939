package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"guavaloom.example/guavaloom/internal/explain"
)

const (
	// adminTimeout limits the call to one instance.
	adminTimeout = 5 * time.Second
	// maxResponseBytes is the largest response that is read. A status response has
	// about 150 bytes per target, which is 2 MB at the target size.
	maxResponseBytes = 16 << 20
)

// callAdmin calls the admin address of an instance: GET if query is nil, else POST with
// the query as JSON. Errors are of type refused, except for a bad address or query
// and for the status 400, which are bad input.
func callAdmin(ctx context.Context, admin, path string, query, response any) error {
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	req, err := newAdminRequest(ctx, admin, path, query)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return refused{errors.Wrap(err, "ask instance")}
	}
	defer func() { _ = resp.Body.Close() }() // read only: a failed close loses no data
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return refused{errors.Wrap(err, "ask instance")}
	}
	if resp.StatusCode != http.StatusOK {
		return responseError(resp, data)
	}
	if err := json.Unmarshal(data, response); err != nil {
		return refused{errors.Wrap(err, "answer of the instance")}
	}
	return nil
}

func newAdminRequest(ctx context.Context, admin, path string, query any) (*http.Request, error) {
	if !strings.Contains(admin, "://") {
		admin = "http://" + admin
	}
	url := strings.TrimSuffix(admin, "/") + path
	method, body := http.MethodGet, []byte(nil)
	if query != nil {
		var err error
		if body, err = json.Marshal(query); err != nil {
			return nil, errors.Wrap(err, "question")
		}
		method = http.MethodPost
	}
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "admin address")
	}
	if query != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	return req, nil
}

// responseError returns the error for a response with a status other than 200.
func responseError(resp *http.Response, data []byte) error {
	var e explain.Error
	if json.Unmarshal(data, &e) != nil || e.Error == "" {
		e.Error = resp.Status
	}
	if resp.StatusCode == http.StatusBadRequest {
		return errors.New(e.Error)
	}
	return refused{errors.New(e.Error)}
}
