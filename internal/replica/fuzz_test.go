package replica

import (
	"net/http"
	"net/http/httptest"
	"net/url"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/shoenig/test/must"

	"guavaloom.example/guavaloom/internal/objectstore"
)

// Guards against a message of another instance that crashes the process, exhausts its
// memory or decreases a version.
func FuzzMessage(f *testing.F) {
	packed, err := encode(nil, []Frame{{Kind: "k", Full: true, Listing: listing(9, object("k/a", 4))}})
	must.NoError(f, err)
	f.Add(packed)
	list, err := compressFrame(Frame{Kind: "k", Full: true, Listing: listing(9, object("k/a", 4))})
	must.NoError(f, err)
	shared, err := encode([]compressedFrame{{list, time.Second}}, nil)
	must.NoError(f, err)
	f.Add(shared)
	changes, err := encode(nil, []Frame{{Kind: "k", Listing: objectstore.Listing{Version: 7, Age: -5}, Deltas: []Delta{{
		Key: "k/a", Version: 5, Base: 4, Parts: []Part{{Offset: 0, Len: 1}, {Literal: []byte("x")}},
	}}}})
	must.NoError(f, err)
	f.Add(changes)
	damaged, err := cbor.Marshal(envelope{Frames: []wireFrame{{Kind: "other"}}, Compressed: []byte{0x1f, 0x8b, 8, 0, 0, 0}})
	must.NoError(f, err)
	f.Add(damaged)
	f.Fuzz(func(t *testing.T, data []byte) {
		r := New("k")
		r.ApplyList(time.Second, "k", listing(3, object("k/a", 2), object("k/b", 3)))
		var e envelope
		if cbor.Unmarshal(data, &e) != nil {
			return
		}
		m, err := e.message()
		if err != nil {
			return
		}
		for n := range m.Frames {
			frame := &m.Frames[n]
			before := r.Version("k")
			if r.ExpandDeltas(frame) != nil {
				continue
			}
			now := 2 * time.Second
			if frame.Full {
				r.ApplyList(now, frame.Kind, frame.Listing)
			} else {
				r.ApplyEvents(now, frame.Kind, frame.Listing)
			}
			must.GreaterEq(t, before, r.Version("k"))
			age, _ := r.Age(now, "k")
			must.GreaterEq(t, 0, age, must.Sprint("the state is from the future"))
			_, _ = r.Changes(now, "k", 1)
		}
	})
}

// Guards against a request of another instance that crashes the process, or that succeeds
// although it is invalid.
func FuzzFollowCall(f *testing.F) {
	f.Add("after=k:0&once=true")
	f.Add("after=k:18446744073709551615&after=x:1&once")
	f.Add("once=true&after=")
	f.Fuzz(func(t *testing.T, query string) {
		r := New("k")
		r.ApplyList(0, "k", listing(3, object("k/a", 2)))
		stopped := make(chan struct{})
		close(stopped)
		w := httptest.NewRecorder()
		req := &http.Request{Method: http.MethodGet, URL: &url.URL{Path: followPath, RawQuery: query}}
		r.Handler(testTiming, zeroClock, stopped).ServeHTTP(w, req.WithContext(t.Context()))
		must.NotEq(t, http.StatusOK, w.Code)
		_, _ = parseCursors(req.URL.Query()["after"])
		_, _, _ = r.frame(0, "k", objectstore.Version(len(query)))
	})
}
