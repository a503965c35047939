package replica

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/shoenig/test/must"

	"guavaloom.example/guavaloom/internal/objectstore"
)

func roundTrip(t *testing.T, m Message) (got Message, size int) {
	t.Helper()
	line, err := encode(nil, m.Frames)
	must.NoError(t, err)
	var e envelope
	must.NoError(t, cbor.Unmarshal(line, &e))
	got, err = e.message()
	must.NoError(t, err)
	return got, len(line)
}

// Guards against a field, or a value that is no text, that is lost on the way.
func TestMessagesArriveAsSent(t *testing.T) {
	m := Message{Frames: []Frame{{
		Kind: "k", Full: true,
		Listing: objectstore.Listing{Version: 7, Age: time.Second, SinceOutage: time.Millisecond, Objects: []objectstore.Object{
			{Key: "k/a", Version: 5, Value: []byte(`{"x":"ü"}`)}, {Key: "k/b", Version: 6, Value: []byte{0xff, 0, 1}}, removed("k/c", 7),
		}},
		Deltas: []Delta{{Key: "k/d", Version: 7, Base: 6, Parts: []Part{{Offset: 1, Len: 2, Literal: []byte("t")}}}},
	}}}
	got, _ := roundTrip(t, m)
	must.Eq(t, m, got)
}

// Load pattern: all instances of a large installation start at once and are told
// everything, some from other data centres. Guards against lists that fill the links.
func TestListsAreCompressed(t *testing.T) {
	var l objectstore.Listing
	plain := 0
	for n := range 3000 {
		value := fmt.Appendf(nil, `{"id":"i-%08x","service":"booking","address":"10.1.%d.%d:8465","zone":"kandy-a","slots":3,"heartbeat":%d}`, n*2654435761, n/250, n%250, n)
		plain += len(value)
		l.Objects = append(l.Objects, objectstore.Object{Key: fmt.Sprintf("k/i-%08x", n*2654435761), Version: objectstore.Version(n), Value: value})
	}
	m := Message{Frames: []Frame{{Kind: "k", Full: true, Listing: l}}}
	got, size := roundTrip(t, m)
	must.Eq(t, m, got)
	must.LessEq(t, plain/2, size)
}

// Guards against a compressed message that is damaged and taken for an empty one.
func TestDamagedMessageIsRefused(t *testing.T) {
	e := envelope{Compressed: []byte("no gzip")}
	_, err := e.message()
	must.Error(t, err)
}

// Guards against a list that is taken for fresher than it is because it was encoded for
// an earlier follower, and against one whose time runs backwards.
func TestSharedListAges(t *testing.T) {
	packed, err := compressFrame(Frame{Kind: "k", Full: true, Listing: objectstore.Listing{Version: 7, Age: time.Second, SinceOutage: 2 * time.Second}})
	must.NoError(t, err)
	line, err := encode([]compressedFrame{{packed, 300 * time.Millisecond}}, []Frame{{Kind: "k"}})
	must.NoError(t, err)
	var e envelope
	must.NoError(t, cbor.Unmarshal(line, &e))
	m, err := e.message()
	must.NoError(t, err)
	must.Len(t, 2, m.Frames)
	must.True(t, m.Frames[0].Full)
	must.Eq(t, 1300*time.Millisecond, m.Frames[0].Age)
	must.Eq(t, 2300*time.Millisecond, m.Frames[0].SinceOutage)
	e.Lists[0].SinceEncoded = -time.Second
	_, err = e.message()
	must.Error(t, err)
	e.Lists = make([]compressedFrame, maxListsPerMessage+1)
	_, err = e.message()
	must.Error(t, err)
}
