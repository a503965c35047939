package objectstore_test

import (
	"context"
	"math/rand"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"guavaloom.example/guavaloom/internal/objectstore"
	"guavaloom.example/guavaloom/internal/objectstore/standin"
)

func client(t testing.TB, h http.Handler, change func(*objectstore.Config)) *objectstore.Client {
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	cfg := objectstore.Config{URL: server.URL, Backoff: time.Millisecond, Rate: 1e6, Burst: 1000, Rand: rand.New(rand.NewSource(1))}
	if change != nil {
		change(&cfg)
	}
	return objectstore.New(cfg)
}

// Guards against changes that ignore the expected version and against misread responses.
func TestConditionalChanges(t *testing.T) {
	ctx := context.Background()
	c := client(t, standin.New().Handler(), nil)
	_, err := c.Get(ctx, "bundle/current")
	must.ErrorIs(t, err, objectstore.ErrNotFound)
	v1, err := c.Put(ctx, "bundle/current", []byte("one"), 0)
	must.NoError(t, err)
	_, err = c.Put(ctx, "bundle/current", []byte("two"), 0)
	must.ErrorIs(t, err, objectstore.ErrConflict)
	v2, err := c.Put(ctx, "bundle/current", []byte("two"), v1)
	must.NoError(t, err)
	o, err := c.Get(ctx, "bundle/current")
	must.NoError(t, err)
	must.Eq(t, objectstore.Object{Key: "bundle/current", Version: v2, Value: []byte("two")}, o)
	must.ErrorIs(t, c.Delete(ctx, "bundle/current", v1), objectstore.ErrConflict)
	must.NoError(t, c.Delete(ctx, "bundle/current", v2))
	l, err := c.Watch(ctx, "bundle/", v1, time.Second)
	must.NoError(t, err)
	must.True(t, l.Objects[0].Deleted)
	l, err = c.List(ctx, "bundle/")
	must.NoError(t, err)
	must.Len(t, 0, l.Objects)
	_, err = c.Put(ctx, "k", make([]byte, objectstore.MaxValue+1), 0)
	must.ErrorContains(t, err, "allowed are")
}

// Guards against a lost response that is reported as a failure or leads to a second change.
func TestLostAnswerIsUnknownAndResolved(t *testing.T) {
	ctx := context.Background()
	m := standin.New()
	c := client(t, m.Handler(), nil)
	m.SetFaults(standin.Faults{LoseAnswers: 1})
	_, err := c.Put(ctx, "a", []byte("x"), 0)
	must.ErrorIs(t, err, objectstore.ErrUnknown)
	must.Eq(t, 1, m.Calls()[objectstore.OpPut])
	m.SetFaults(standin.Faults{LoseAnswers: 1})
	v, err := objectstore.PutResolved(ctx, c, "b", []byte("x"), 0)
	must.NoError(t, err)
	o, err := c.Get(ctx, "b")
	must.NoError(t, err)
	must.Eq(t, o.Version, v)
	slow := client(t, m.Handler(), func(cfg *objectstore.Config) { cfg.Timeout = 20 * time.Millisecond })
	m.SetFaults(standin.Faults{Slow: time.Minute})
	_, err = slow.Put(ctx, "c", []byte("x"), 0)
	must.ErrorIs(t, err, objectstore.ErrUnknown, must.Sprint("a slow change may still take effect"))
}

// Guards against an outage that is not retried, or retried without limit.
func TestOutageIsRetriedAndThenReported(t *testing.T) {
	m := standin.New()
	c := client(t, m.Handler(), nil)
	m.SetFaults(standin.Faults{Down: true})
	_, err := c.List(context.Background(), "")
	must.ErrorIs(t, err, objectstore.ErrUnavailable)
	must.Eq(t, 4, m.Calls()[objectstore.OpList])
	closed := objectstore.New(objectstore.Config{URL: "http://127.0.0.1:1", Backoff: time.Millisecond, Attempts: 2})
	_, err = closed.Put(context.Background(), "a", nil, 0)
	must.ErrorIs(t, err, objectstore.ErrUnavailable, must.Sprint("a change that was not sent is not unknown"))
}

// Guards against a process that exceeds its own rate limit of calls to the platform.
func TestOwnRateLimit(t *testing.T) {
	m := standin.New()
	c := client(t, m.Handler(), func(cfg *objectstore.Config) { cfg.Rate, cfg.Burst, cfg.Attempts = 0.001, 2, 1 })
	ctx := context.Background()
	for range 5 {
		_, _ = c.List(ctx, "")
	}
	must.Eq(t, 2, m.Calls()[objectstore.OpList])
}

// Guards against a watch that hangs on a connection without a response.
func TestSilentWatchExpires(t *testing.T) {
	m := standin.New()
	silent := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Has("wait") {
			<-r.Context().Done()
			return
		}
		m.Handler().ServeHTTP(w, r)
	})
	c := client(t, silent, func(cfg *objectstore.Config) { cfg.Liveness = 20 * time.Millisecond })
	_, err := c.Watch(context.Background(), "", 0, 10*time.Millisecond)
	must.ErrorIs(t, err, objectstore.ErrExpired)
}

// Guards against revisions that a restored store gives out again and that pass for those from
// before: a change that is missed by a watch, or that is overwritten by a conditional one.
func TestRevisionsAreGivenOutAgain(t *testing.T) {
	ctx := context.Background()
	m := standin.New()
	c := client(t, m.Handler(), nil)
	old := m.Snapshot()
	v, err := c.Put(ctx, "a", []byte("lost"), 0)
	must.NoError(t, err)
	m.Restore(old)
	again, err := c.Put(ctx, "a", []byte("new"), 0)
	must.NoError(t, err)
	must.Eq(t, v.Revision(), again.Revision())
	must.Greater(t, v, again)
	_, err = c.Watch(ctx, "", v, time.Second)
	must.ErrorIs(t, err, objectstore.ErrExpired)
	_, err = c.Put(ctx, "a", []byte("overwritten"), v)
	must.ErrorIs(t, err, objectstore.ErrConflict)
	must.ErrorIs(t, c.Delete(ctx, "a", v), objectstore.ErrConflict)
	o, err := c.Get(ctx, "a")
	must.NoError(t, err)
	must.Eq(t, objectstore.Object{Key: "a", Version: again, Value: []byte("new")}, o)
	l, err := c.List(ctx, "")
	must.NoError(t, err)
	must.Eq(t, again, l.Version)
}

// Guards against a server that refuses callers which don't know epochs, and against a client
// that can't read a store which reports none.
func TestEpochsAreOptional(t *testing.T) {
	ctx := context.Background()
	m := standin.New()
	m.Restore(m.Snapshot())
	withoutEpochs := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		q := r.URL.Query()
		q.Del("epoch")
		r.URL.RawQuery = q.Encode()
		rec := httptest.NewRecorder()
		m.Handler().ServeHTTP(rec, r)
		w.WriteHeader(rec.Code)
		_, _ = w.Write(rec.Body.Bytes())
	})
	c := client(t, withoutEpochs, nil)
	v, err := c.Put(ctx, "a", []byte("one"), 0)
	must.NoError(t, err)
	v, err = c.Put(ctx, "a", []byte("two"), v)
	must.NoError(t, err)
	must.Eq(t, 0, v.Epoch())
	l, err := c.Watch(ctx, "", v-1, time.Second)
	must.NoError(t, err)
	must.Eq(t, []objectstore.Object{{Key: "a", Version: v, Value: []byte("two")}}, l.Objects)
}

// Guards against a watch that waits for a version which a restored store won't reach soon.
func TestWatchAheadOfRestoredStoreExpires(t *testing.T) {
	ctx := context.Background()
	m := standin.New()
	c := client(t, m.Handler(), nil)
	old := m.Snapshot()
	v, err := c.Put(ctx, "a", []byte("x"), 0)
	must.NoError(t, err)
	m.Restore(old)
	_, err = c.Watch(ctx, "", v, time.Minute)
	must.ErrorIs(t, err, objectstore.ErrExpired)
}

// Guards against responses that crash the client or are wrongly accepted as an object or a change.
func FuzzAnswer(f *testing.F) {
	f.Add(200, []byte(`{"key":"k","version":3,"value":"eA=="}`))
	f.Add(200, []byte(`{"version":0}`))
	f.Add(503, []byte("x"))
	f.Add(409, []byte(""))
	status, body := 0, []byte(nil)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = w.Write(body)
	}))
	f.Cleanup(server.Close)
	c := objectstore.New(objectstore.Config{URL: server.URL, Attempts: 1, Rate: 1e9, Burst: 1e6})
	f.Fuzz(func(t *testing.T, s int, b []byte) {
		status, body = 200+(s%400+400)%400, b
		ctx := context.Background()
		o, err := c.Get(ctx, "k")
		must.True(t, err != nil || o.Key == "k" && o.Version > 0)
		v, err := c.Put(ctx, "k", nil, 1)
		must.True(t, err != nil || v > 0)
		_, _ = c.List(ctx, "k")
		_, _ = c.Instances(ctx)
		_, _ = c.Watch(ctx, "k", 1, time.Millisecond)
	})
}
