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
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		setEpoch(w, m.epoch())
		mux.ServeHTTP(w, r)
	})
}

func (m *Memory) serveList(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	if !q.Has("after") {
		l, err := m.List(r.Context(), q.Get("prefix"))
		replyAt(w, l.Version, l.ToWire(), err)
		return
	}
	after, err := objectstore.ParseVersion(q, "after", m.epoch())
	wait, waitErr := strconv.ParseFloat(q.Get("wait"), 64)
	if err != nil || waitErr != nil || wait < 0 || wait > 60 {
		http.Error(w, "bad after or wait, allowed are a version and 0 to 60 s", http.StatusBadRequest)
		return
	}
	l, err := m.Watch(r.Context(), q.Get("prefix"), after, time.Duration(wait*float64(time.Second)))
	replyAt(w, l.Version, l.ToWire(), err)
}

func (m *Memory) serveObject(w http.ResponseWriter, r *http.Request) {
	key := strings.TrimPrefix(r.URL.Path, "/v1/objects/")
	if r.Method == http.MethodGet {
		o, err := m.Get(r.Context(), key)
		replyAt(w, o.Version, o.ToWire(), err)
		return
	}
	version, err := objectstore.ParseVersion(r.URL.Query(), "version", m.epoch())
	if err != nil {
		http.Error(w, "bad version", http.StatusBadRequest)
		return
	}
	if r.Method == http.MethodDelete {
		err := m.Delete(r.Context(), key, version)
		reply(w, struct{}{}, err)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, objectstore.MaxValue))
	if r.Method != http.MethodPut || err != nil {
		http.Error(w, "allowed are GET, PUT and DELETE with up to 1 MB", http.StatusBadRequest)
		return
	}
	v, err := m.Put(r.Context(), key, body, version)
	replyAt(w, v, objectstore.WireVersion{Revision: v.Revision()}, err)
}

// replyAt is reply for an answer that shows the store at a version.
func replyAt(w http.ResponseWriter, v objectstore.Version, answer any, err error) {
	if err == nil {
		setEpoch(w, v.Epoch())
	}
	reply(w, answer, err)
}

func setEpoch(w http.ResponseWriter, epoch uint64) {
	w.Header().Set(objectstore.EpochHeader, strconv.FormatUint(epoch, 10))
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
