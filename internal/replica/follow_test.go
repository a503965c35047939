package replica

import (
	"context"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"guavaloom.example/guavaloom/internal/objectstore"
)

// testTimeout ends a test that hangs; no assertion depends on it.
const testTimeout = time.Minute

var testTiming = StreamTiming{HeartbeatInterval: time.Second, IdleTimeout: 1700 * time.Millisecond}

func zeroClock() time.Duration { return 0 }

// serve returns the address of a server of the replica, and a function that stops it.
func serve(t *testing.T, r *Replica) (addr string, stop func()) {
	t.Helper()
	stopped := make(chan struct{})
	server := httptest.NewServer(r.Handler(testTiming, zeroClock, stopped))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://"), func() { close(stopped) }
}

// follow follows the server from a version on. The channels receive the messages with
// frames and the error with which Follow ended.
func follow(t *testing.T, addr string, after objectstore.Version) (<-chan Message, <-chan error) {
	t.Helper()
	messages, ended := make(chan Message, 100), make(chan error, 1)
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go func() {
		ended <- Follow(ctx, http.DefaultClient, addr, Request{Held: map[string]objectstore.Version{"k": after}, IdleTimeout: testTiming.IdleTimeout}, func(m Message) (bool, error) {
			if len(m.Frames) > 0 {
				messages <- m
			}
			return true, nil
		})
	}()
	return messages, ended
}

func nextFrame(t *testing.T, messages <-chan Message) Frame {
	t.Helper()
	select {
	case m := <-messages:
		must.Len(t, 1, m.Frames)
		return m.Frames[0]
	case <-time.After(testTimeout):
		t.Fatal("no message received")
		return Frame{}
	}
}

// Guards against a client and a server of the stream that disagree on its format, and
// against a follower that stays connected to a stopping instance.
func TestFollow(t *testing.T) {
	r := New("k")
	addr, stop := serve(t, r)
	_, ended := follow(t, addr, 0)
	must.ErrorIs(t, <-ended, ErrBusy) // the kind is not listed yet
	r.ApplyList(0, "k", listing(10, object("k/a", 4)))
	messages, ended := follow(t, addr, 0)
	f := nextFrame(t, messages)
	must.True(t, f.Full)
	must.Eq(t, 10, f.Version)
	must.Eq(t, []objectstore.Object{object("k/a", 4)}, f.Objects)
	r.ApplyEvents(0, "k", listing(12, object("k/b", 11), removed("k/a", 12)))
	f = nextFrame(t, messages)
	must.False(t, f.Full)
	must.Eq(t, []objectstore.Object{object("k/b", 11), removed("k/a", 12)}, f.Objects)
	late, _ := follow(t, addr, 5) // from a version with unknown later removals
	f = nextFrame(t, late)
	must.False(t, f.Full)
	must.Eq(t, 1, f.Count)
	must.Eq(t, []objectstore.Object{object("k/b", 11)}, f.Objects)
	stop()
	must.ErrorIs(t, <-ended, objectstore.ErrUnavailable)
	_, ended = follow(t, addr, 12)
	must.ErrorIs(t, <-ended, objectstore.ErrUnavailable)
}

// Guards against a follower whose copy ages although its source receives answers from the
// store, and against one that learns of an outage late.
func TestFollowersReceiveFreshnessAndOutages(t *testing.T) {
	r := New("k")
	r.ApplyList(0, "k", listing(10, object("k/a", 4)))
	addr, _ := serve(t, r)
	messages, _ := follow(t, addr, 10)
	must.True(t, changesNothing(nextFrame(t, messages)))
	r.ApplyEvents(time.Second, "k", listing(10))
	must.True(t, changesNothing(nextFrame(t, messages)))
	r.RecordStoreFailure(0)
	must.Positive(t, nextFrame(t, messages).SinceOutage)
}

// Guards against a connection that stays busy, or is not reused, after a request for
// one message.
func TestOneMessageOnly(t *testing.T) {
	r := New("k")
	r.ApplyList(0, "k", listing(10, object("k/a", 4)))
	addr, _ := serve(t, r)
	messages, reused := 0, false
	for range 2 {
		ctx := httptrace.WithClientTrace(t.Context(), &httptrace.ClientTrace{GotConn: func(g httptrace.GotConnInfo) { reused = g.Reused }})
		must.NoError(t, Follow(ctx, http.DefaultClient, addr, Request{Held: map[string]objectstore.Version{"k": 0}, Once: true, IdleTimeout: testTiming.IdleTimeout}, func(Message) (bool, error) {
			messages++
			return true, nil
		}))
	}
	must.Eq(t, 2, messages)
	must.True(t, reused)
}

// Guards against connections that stay open until they are idle when a fleet starts and
// every instance asks the one that all their settings name.
func TestConnectionEndsWithTheMessage(t *testing.T) {
	r := New("k")
	r.ApplyList(0, "k", listing(10, object("k/a", 4)))
	closed := make(chan struct{}, 2)
	server := httptest.NewUnstartedServer(r.Handler(testTiming, zeroClock, make(chan struct{})))
	server.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		if s == http.StateClosed {
			closed <- struct{}{}
		}
	}
	server.Start()
	defer server.Close()
	request := Request{Held: map[string]objectstore.Version{"k": 0}, Once: true, Close: true, IdleTimeout: testTiming.IdleTimeout}
	must.NoError(t, Follow(t.Context(), http.DefaultClient, strings.TrimPrefix(server.URL, "http://"), request, func(m Message) (bool, error) {
		must.Len(t, 1, m.Frames)
		return true, nil
	}))
	select {
	case <-closed:
	case <-time.After(testTimeout):
		t.Fatal("the connection is still open")
	}
}

func changesNothing(f Frame) bool { return len(f.Objects) == 0 && len(f.Deltas) == 0 }

// Guards against a follower that waits for a source which accepts connections and then
// sends nothing more.
func TestFollowEndsWhenTheSourceIsIdle(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		beat, err := encode(nil, nil)
		must.NoError(t, err)
		_, _ = w.Write(beat)
		must.NoError(t, http.NewResponseController(w).Flush())
		<-req.Context().Done()
	}))
	defer server.Close()
	_, ended := follow(t, strings.TrimPrefix(server.URL, "http://"), 0)
	select {
	case err := <-ended:
		must.ErrorIs(t, err, ErrIdleTimeout)
	case <-time.After(testTimeout):
		t.Fatal("Follow did not return")
	}
}

// Guards against an age that is wrong by years if one read returns two messages.
func TestMessagesThatArriveTogether(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		message, err := encode(nil, []Frame{{Kind: "k", Listing: objectstore.Listing{Version: 7, Age: 5 * time.Millisecond}}})
		must.NoError(t, err)
		_, _ = w.Write(slices.Concat(message, message))
		must.NoError(t, http.NewResponseController(w).Flush())
		<-req.Context().Done()
	}))
	defer server.Close()
	messages, _ := follow(t, strings.TrimPrefix(server.URL, "http://"), 0)
	for range 2 {
		age := nextFrame(t, messages).Age
		must.Between(t, 5*time.Millisecond, age, testTimeout)
	}
}

// Guards against a process that was suspended and takes data which it buffered before the
// pause for the current state.
func TestFollowerPauseIsDetected(t *testing.T) {
	p := &progressReader{Reader: strings.NewReader("{}{}"), idleTimeout: testTiming.IdleTimeout, onProgress: func() {}, remaining: 100, lastRead: time.Now()}
	buffer := make([]byte, 2)
	_, err := p.Read(buffer)
	must.NoError(t, err)
	must.False(t, p.stalled)
	p.lastRead = p.lastRead.Add(-testTiming.IdleTimeout - time.Millisecond)
	_, err = p.Read(buffer)
	must.NoError(t, err)
	must.True(t, p.stalled)
}

// slowWriter blocks until it is released.
type slowWriter struct {
	*httptest.ResponseRecorder
	writing, release chan struct{}
}

func (w *slowWriter) Write(b []byte) (int, error) {
	w.writing <- struct{}{}
	<-w.release
	return w.ResponseRecorder.Write(b)
}

func (w *slowWriter) SetWriteDeadline(time.Time) error { return nil }

// Guards against encoding the list anew for each of many instances that start at the same
// time, and against a shared list that is sent without the changes since.
func TestSharedListIsFollowedByLaterChanges(t *testing.T) {
	r := New("k")
	r.ApplyList(0, "k", listing(10, object("k/a", 4), object("k/b", 5)))
	s := newServer(r, testTiming, zeroClock, make(chan struct{}))
	updates := func() ([]compressedFrame, []Frame) {
		lists, frames, err := s.kindUpdates(&followerCursor{kind: "k"})
		must.NoError(t, err)
		return lists, frames
	}
	first, frames := updates()
	must.Len(t, 1, first)
	must.SliceEmpty(t, frames)
	r.ApplyEvents(0, "k", listing(12, object("k/c", 11), removed("k/a", 12)))
	second, frames := updates()
	must.Len(t, 1, second)
	must.Eq(t, &first[0].Data[0], &second[0].Data[0]) // the same buffer
	must.Len(t, 1, frames)
	must.Eq(t, []objectstore.Object{object("k/c", 11), removed("k/a", 12)}, frames[0].Objects)
	must.False(t, frames[0].Full)
}

// Guards against sending all objects to every follower when instances start from copies of
// different ages, and against a follower that keeps a target which was removed between its
// copy and the sender's first list.
func TestFollowerFromBeforeTheFirstList(t *testing.T) {
	sender := New("k")
	sender.ApplyList(0, "k", listing(20, object("k/a", 4), object("k/b", 15)))
	frame := func(after objectstore.Version) Frame {
		f, _, err := sender.frame(0, "k", after)
		must.NoError(t, err)
		must.False(t, f.Full)
		return f
	}
	same := New("k")
	same.ApplyList(0, "k", listing(10, object("k/a", 4)))
	f := frame(10)
	must.NoError(t, same.ExpandDeltas(&f))
	same.ApplyEvents(0, "k", f.Listing)
	held, err := same.Changes(0, "k", 0)
	must.NoError(t, err)
	must.Eq(t, []objectstore.Object{object("k/a", 4), object("k/b", 15)}, held.Objects)
	must.Eq(t, 20, same.Version("k"))

	other := New("k")
	other.ApplyList(0, "k", listing(10, object("k/a", 4), object("k/gone", 5)))
	f = frame(10)
	must.Error(t, other.ExpandDeltas(&f))
	must.Eq(t, 10, other.Version("k"))
}

// Guards against a follower further behind than the change log that receives only some of
// the changes, which happens when changes come faster than it receives them.
func TestChangesOlderThanTheLog(t *testing.T) {
	r := New("k")
	r.ApplyList(0, "k", listing(1, object("k/old", 1)))
	var want []objectstore.Object
	for v := objectstore.Version(2); v < 2*maxLogEntries; v++ {
		o := object(fmt.Sprintf("k/%d", v%(maxLogEntries/2)), v)
		r.ApplyEvents(0, "k", listing(v, o))
		if v >= 2*maxLogEntries-maxLogEntries/2 {
			want = append(want, o)
		}
	}
	r.ApplyEvents(0, "k", listing(3*maxLogEntries, removed("k/old", 3*maxLogEntries)))
	want = append(want, removed("k/old", 3*maxLogEntries))
	for _, after := range []objectstore.Version{1, 2, maxLogEntries} {
		l, err := r.Changes(0, "k", after)
		must.NoError(t, err)
		must.Eq(t, want, l.Objects)
	}
	l, err := r.Changes(0, "k", 2*maxLogEntries-3)
	must.NoError(t, err)
	must.Eq(t, want[len(want)-3:], l.Objects)
}

// Guards against an instance that runs out of memory when all instances of its data
// centre start at once and request all objects from it.
func TestFullListsAreBounded(t *testing.T) {
	const lists = 2
	noise := make([]byte, maxListBytesInFlight/lists*3/4) // random bytes, which can't be compressed; the encoding adds some more
	_, err := rand.New(rand.NewSource(1)).Read(noise)
	must.NoError(t, err)
	r := New("k")
	r.ApplyList(0, "k", listing(10, objectstore.Object{Key: "k/a", Version: 4, Value: noise}))
	h := r.Handler(testTiming, zeroClock, make(chan struct{}))
	ctx, cancel := context.WithCancel(t.Context())
	ask := func(after string) *http.Request {
		return httptest.NewRequest("GET", followPath+"?after=k:"+after, nil).WithContext(ctx)
	}
	free := make(chan struct{})
	close(free)
	writing, release, done := make(chan struct{}, lists+2), make(chan struct{}), make(chan struct{}, lists+2)
	start := func(after string, release chan struct{}) {
		go func() {
			h.ServeHTTP(&slowWriter{httptest.NewRecorder(), writing, release}, ask(after))
			done <- struct{}{}
		}()
		<-writing
	}
	for range lists {
		start("0", release)
	}
	refused := httptest.NewRecorder()
	h.ServeHTTP(refused, ask("0"))
	must.Eq(t, 429, refused.Code)
	start("10", free) // a follower that holds the current version needs no list
	close(release)
	cancel()
	for range lists + 1 {
		<-done
	}
	ctx, cancel = context.WithCancel(t.Context())
	start("0", free)
	cancel()
	<-done
}
