package replica

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"guavaloom.example/guavaloom/internal/objectstore"
)

const (
	// maxWait is the longest wait of another instance's watch.
	maxWait = 30 * time.Second
	// maxLists is how many full lists are answered at a time. Further instances
	// that start at the same moment are turned to others, so that the memory and
	// the link of one are not used up by all.
	maxLists = 4
)

// Handler serves the replica to other instances with the list and watch calls of
// the object API in package objectstore, where the prefix is the kind. now reads the
// steady clock.
func (r *Replica) Handler(now func() time.Duration) http.Handler {
	mux := http.NewServeMux()
	lists := make(chan struct{}, maxLists)
	mux.HandleFunc("GET /v1/objects", func(w http.ResponseWriter, req *http.Request) {
		q := req.URL.Query()
		after, afterErr := parseVersion(q.Get("after"))
		wait, waitErr := parseWait(q.Get("wait"))
		if afterErr != nil || waitErr != nil {
			http.Error(w, "bad after or wait, allowed is a version and 0 to 30 s", http.StatusBadRequest)
			return
		}
		if after == 0 {
			select {
			case lists <- struct{}{}:
				defer func() { <-lists }()
			default:
				reply(w, objectstore.Listing{}, objectstore.ErrUnavailable)
				return
			}
		}
		l, err := r.await(req, now, q.Get("prefix"), after, wait)
		reply(w, l, err)
	})
	return mux
}

func parseVersion(s string) (objectstore.Version, error) {
	if s == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(s, 10, 64)
	return objectstore.Version(n), err
}

func parseWait(s string) (time.Duration, error) {
	if s == "" {
		return 0, nil
	}
	f, err := strconv.ParseFloat(s, 64)
	wait := time.Duration(f * float64(time.Second))
	if err == nil && (wait < 0 || wait > maxWait) {
		err = errors.Errorf("wait of %s is out of range", wait)
	}
	return wait, err
}

// await answers at the first change after the version, or when the wait is over.
func (r *Replica) await(req *http.Request, now func() time.Duration, kind string, after objectstore.Version, wait time.Duration) (objectstore.Listing, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		l, changed, err := r.Changes(now(), kind, after)
		if err != nil || after == 0 || len(l.Objects) > 0 {
			return l, err
		}
		select {
		case <-req.Context().Done():
			return l, objectstore.ErrUnavailable
		case <-timer.C:
			l, _, err = r.Changes(now(), kind, after)
			return l, err
		case <-changed:
		}
	}
}

func reply(w http.ResponseWriter, l objectstore.Listing, err error) {
	switch {
	case err == nil:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(l) // fails only when the caller is gone
	case errors.Is(err, objectstore.ErrExpired):
		http.Error(w, err.Error(), http.StatusGone)
	case errors.Is(err, objectstore.ErrNotFound):
		http.Error(w, err.Error(), http.StatusNotFound)
	default:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}
