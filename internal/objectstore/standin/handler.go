package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"guavaloom.example/guavaloom/internal/objectstore"
)

// Handler serves the store over HTTP with the API described in package objectstore.
func (m *Memory) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/instances", func(w http.ResponseWriter, r *http.Request) {
		list, err := m.Instances(r.Context())
		reply(w, list, err)
	})
	mux.HandleFunc("GET /v1/objects", m.serveList)
	mux.HandleFunc("/v1/objects/", m.serveObject)
	return mux
}

func (m *Memory) serveList(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	if !q.Has("after") {
		l, err := m.List(r.Context(), q.Get("prefix"))
		reply(w, l, err)
		return
	}
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, waitErr := strconv.ParseFloat(q.Get("wait"), 64)
	if err != nil || waitErr != nil || wait < 0 || wait > 60 {
		http.Error(w, "bad after or wait, allowed are a version and 0 to 60 s", http.StatusBadRequest)
		return
	}
	l, err := m.Watch(r.Context(), q.Get("prefix"), objectstore.Version(after), time.Duration(wait*float64(time.Second)))
	reply(w, l, err)
}

func (m *Memory) serveObject(w http.ResponseWriter, r *http.Request) {
	key := strings.TrimPrefix(r.URL.Path, "/v1/objects/")
	if r.Method == http.MethodGet {
		o, err := m.Get(r.Context(), key)
		reply(w, o, err)
		return
	}
	version, err := strconv.ParseUint(r.URL.Query().Get("version"), 10, 64)
	if err != nil {
		http.Error(w, "bad version", http.StatusBadRequest)
		return
	}
	if r.Method == http.MethodDelete {
		err := m.Delete(r.Context(), key, objectstore.Version(version))
		reply(w, struct{}{}, err)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, objectstore.MaxValue))
	if r.Method != http.MethodPut || err != nil {
		http.Error(w, "allowed are GET, PUT and DELETE with up to 1 MB", http.StatusBadRequest)
		return
	}
	v, err := m.Put(r.Context(), key, body, objectstore.Version(version))
	reply(w, map[string]objectstore.Version{"version": v}, err)
}

func reply(w http.ResponseWriter, answer any, err error) {
	switch {
	case err == nil:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(answer)
	case errors.Is(err, objectstore.ErrNotFound):
		http.Error(w, err.Error(), http.StatusNotFound)
	case errors.Is(err, objectstore.ErrConflict):
		http.Error(w, err.Error(), http.StatusConflict)
	case errors.Is(err, objectstore.ErrExpired):
		http.Error(w, err.Error(), http.StatusGone)
	case errors.Is(err, objectstore.ErrUnknown):
		// Closes the connection without a response.
		panic(http.ErrAbortHandler)
	default:
		// Status 429 means that the call had no effect.
		http.Error(w, err.Error(), http.StatusTooManyRequests)
	}
}
