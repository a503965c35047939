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
	message, err := encode(nil, m.Frames)
	must.NoError(t, err)
	var e envelope
	must.NoError(t, cbor.Unmarshal(message, &e))
	got, err = e.message()
	must.NoError(t, err)
	return got, len(message)
}

// Guards against losing a field, or a value that is not text, in the encoding.
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

// Guards against lists that saturate the links when all instances of a large installation
// start at once and request all objects, some from other data centres.
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

// Guards against a damaged compressed message that is decoded as an empty one.
func TestDamagedMessageIsRefused(t *testing.T) {
	e := envelope{Compressed: []byte("no gzip")}
	_, err := e.message()
	must.Error(t, err)
}

// Guards against a list, encoded for an earlier follower, that counts as fresher than it
// is, and against one with a negative time since its encoding.
func TestSharedListAges(t *testing.T) {
	packed, err := compressFrame(Frame{Kind: "k", Full: true, Listing: objectstore.Listing{Version: 7, Age: time.Second, SinceOutage: 2 * time.Second}})
	must.NoError(t, err)
	message, err := encode([]compressedFrame{{packed, 300 * time.Millisecond}}, []Frame{{Kind: "k"}})
	must.NoError(t, err)
	var e envelope
	must.NoError(t, cbor.Unmarshal(message, &e))
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
