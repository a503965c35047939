package replica

import (
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"guavaloom.example/guavaloom/internal/objectstore"
)

// replicaWithTargets returns a replica that holds a number of targets.
func replicaWithTargets(tb testing.TB, targets int) *Replica {
	tb.Helper()
	r := New("targets")
	l := objectstore.Listing{Version: 1_000_000}
	for n := range targets {
		l.Objects = append(l.Objects, target(n, objectstore.Version(n+1)))
	}
	r.ApplyList(0, "targets", l)
	return r
}

func target(n int, version objectstore.Version) objectstore.Object {
	value := fmt.Sprintf(`{"service":"s%d","address":"10.%d.%d.%d:8303","zone":"kandy-a","version":"v1","slots":2,"state":"ready",`+
		`"warm":0,"number":%d,"start":17648200%d}`, n%7, n>>16, n>>8&255, n&255, version, n)
	return objectstore.Object{Key: fmt.Sprintf("targets/i-%08x", n*2654435761%(1<<32)), Version: version, Value: []byte(value)}
}

// The cost of one target's change for an instance that reads the store and has 16 followers.
func BenchmarkTellChange(b *testing.B) {
	for _, targets := range []int{300, 3000, 13000} {
		b.Run(fmt.Sprint(targets), func(b *testing.B) {
			r := replicaWithTargets(b, targets)
			s := newServer(r, testTiming, zeroClock, make(chan struct{}))
			followers := make([][]*followerCursor, 16)
			for n := range followers {
				followers[n] = []*followerCursor{{kind: "targets", after: 1_000_000}}
				must.NoError(b, s.sendUpdates(&deadlineWriter{httptest.NewRecorder()}, followers[n]))
			}
			version := objectstore.Version(1_000_000)
			for b.Loop() {
				version++
				r.ApplyEvents(0, "targets", objectstore.Listing{Version: version, Objects: []objectstore.Object{target(7, version)}})
				for _, cursors := range followers {
					must.NoError(b, s.sendUpdates(&deadlineWriter{httptest.NewRecorder()}, cursors))
				}
			}
		})
	}
}

// The cost for an instance that reads the store when 16 followers start at once.
func BenchmarkTellLists(b *testing.B) {
	for _, targets := range []int{300, 3000, 13000} {
		b.Run(fmt.Sprint(targets), func(b *testing.B) {
			r := replicaWithTargets(b, targets)
			for b.Loop() {
				s := newServer(r, testTiming, func() time.Duration { return 0 }, make(chan struct{}))
				for range 16 {
					must.NoError(b, s.sendUpdates(&deadlineWriter{httptest.NewRecorder()}, []*followerCursor{{kind: "targets"}}))
				}
			}
		})
	}
}

// deadlineWriter accepts write deadlines, which httptest.ResponseRecorder does not.
type deadlineWriter struct{ *httptest.ResponseRecorder }

// SetWriteDeadline is called by http.ResponseController.
func (*deadlineWriter) SetWriteDeadline(time.Time) error { return nil }
