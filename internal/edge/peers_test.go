package edge

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"guavaloom.example/guavaloom/internal/objectstore"
	"guavaloom.example/guavaloom/internal/replica"
)

// confirmed returns the version of a revision in the store's first epoch.
func confirmed(t *testing.T, revision uint64) objectstore.Version {
	t.Helper()
	v, err := objectstore.NewVersion(1, revision)
	must.NoError(t, err)
	return v
}

// Load pattern: configurations change in quick succession while the readers of all data
// centres can't reach the store and query several instances at a time. Guards against marking
// the instance with the newest configuration as failed because its changes are based on a
// version that another answer has replaced meanwhile.
func TestAnswerOvertakenByAnother(t *testing.T) {
	config := func(revision uint64, text string) objectstore.Listing {
		value := []byte(`{"routes":[` + strings.Repeat(`{"name":"route"},`, 200) + `{"name":"` + text + `"}]}`)
		v := confirmed(t, revision)
		return objectstore.Listing{Version: v, Objects: []objectstore.Object{{Key: "config/main", Version: v, Value: value}}}
	}
	source := replica.New("config", "targets", "instances")
	for _, kind := range []string{"targets", "instances"} {
		source.ApplyList(0, kind, objectstore.Listing{Version: confirmed(t, 3)})
	}
	source.ApplyList(0, "config", config(3, "a"))
	source.ApplyEvents(0, "config", config(39, "c"))

	var out bytes.Buffer
	i := newTestInstance(t, &out)
	i.peerClient = http.DefaultClient
	for _, kind := range i.replica.Kinds() {
		i.applyListing(0, kind, storeSource, objectstore.Listing{Version: confirmed(t, 3)}, true)
	}
	i.applyListing(0, "config", storeSource, config(3, "a"), true)

	var calls atomic.Int32
	handler := source.Handler(i.timing.Stream, func() time.Duration { return 0 }, make(chan struct{}))
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if calls.Add(1) == 1 {
			i.applyListing(0, "config", peerSource, config(38, "b"), true) // another answer arrives first
		}
		handler.ServeHTTP(w, r)
	}))
	defer server.Close()
	addr := netip.MustParseAddrPort(server.Listener.Addr().String())
	i.queryPeer(t.Context(), addr)
	must.Eq(t, confirmed(t, 39), i.replica.Version("config"))
	must.Eq(t, 2, calls.Load())
	must.False(t, i.registry.healthOf(addr).failed())
}

// Load pattern: the store refuses the reader of each data centre and serves the others,
// while configurations change. Guards against a data centre that receives no change until its
// followers' view is stale, and against all followers calling a store that is down.
func TestStandbyReadsWhileTheStoreRefusesTheReader(t *testing.T) {
	var out bytes.Buffer
	i := newTestInstance(t, &out)
	for n, zone := range []string{"b", "c", "d"} {
		i.registry.put("other-"+zone, zone, netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 1, byte(n)}), 1))
	}
	before := func(n int) {
		for name := 0; len(i.registry.usableBefore()) < n; name++ {
			i.registry.put("near-"+string(rune('a'+name)), "a", netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 2, byte(name)}), 1))
		}
	}
	before(1)
	i.applyListing(0, "config", peerSource, objectstore.Listing{Version: 3}, true)
	must.False(t, i.shouldReadStore("config", time.Hour))
	i.replica.RecordStoreFailure(i.now())
	must.True(t, i.shouldReadStore("config", time.Hour))
	before(2)
	must.False(t, i.shouldReadStore("config", time.Hour))
}
