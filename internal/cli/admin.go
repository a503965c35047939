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
	// adminTimeout is the limit for the answer of one instance.
	adminTimeout = 5 * time.Second
	// maxResponseBytes bounds the answer of an instance in bytes. Its status has some 150
	// bytes a target, which is 2 MB at the target size.
	maxResponseBytes = 16 << 20
)

// callAdmin makes a call to the admin address of an instance: GET without a question, else
// POST with the question as JSON. A refusal by the instance is an error of type
// refused, one for the question itself is not.
func callAdmin(ctx context.Context, admin, path string, question, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	req, err := newAdminRequest(ctx, admin, path, question)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return refused{errors.Wrap(err, "ask instance")}
	}
	defer func() { _ = resp.Body.Close() }() // it was only read
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return refused{errors.Wrap(err, "ask instance")}
	}
	if resp.StatusCode != http.StatusOK {
		return responseError(resp, data)
	}
	if err := json.Unmarshal(data, answer); err != nil {
		return refused{errors.Wrap(err, "answer of the instance")}
	}
	return nil
}

func newAdminRequest(ctx context.Context, admin, path string, question any) (*http.Request, error) {
	if !strings.Contains(admin, "://") {
		admin = "http://" + admin
	}
	url := strings.TrimSuffix(admin, "/") + path
	method, body := http.MethodGet, []byte(nil)
	if question != nil {
		var err error
		if body, err = json.Marshal(question); err != nil {
			return nil, errors.Wrap(err, "question")
		}
		method = http.MethodPost
	}
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "admin address")
	}
	if question != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	return req, nil
}

// responseError returns the error of an answer other than 200.
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
