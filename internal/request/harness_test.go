package request

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"guavaloom.example/guavaloom/internal/idempotency"
	"guavaloom.example/guavaloom/internal/instance"
	"guavaloom.example/guavaloom/internal/service"
	"guavaloom.example/guavaloom/internal/target"
	"guavaloom.example/guavaloom/internal/zone"
)

const host = "booking.test"

var testKey = []byte("test key")

// memoryPeers implements Peers by calling servers in the same process.
type memoryPeers map[instance.ID]*Server

func (f memoryPeers) Dispatch(ctx context.Context, to instance.Ref, c *Call) (*Reply, error) {
	s := f[to.ID]
	if s == nil || s.baseCtx.Err() != nil {
		return nil, ErrNotDelivered
	}
	reply := make(chan *Reply, 1)
	go func() { reply <- s.HandleDispatch(ctx, c) }()
	select {
	case r := <-reply:
		return r, nil
	case <-s.baseCtx.Done():
		return nil, io.ErrUnexpectedEOF
	}
}

func (f memoryPeers) QueryKey(_ context.Context, to instance.Ref, a idempotency.KeyQuery) (idempotency.KeyQueryReply, error) {
	if s := f[to.ID]; s != nil && s.baseCtx.Err() == nil {
		return s.HandleKeyQuery(a), nil
	}
	return idempotency.KeyQueryReply{}, ErrNotDelivered
}

func (f memoryPeers) Handover(_ context.Context, to instance.Ref, h idempotency.Handover) error {
	if s := f[to.ID]; s != nil && s.baseCtx.Err() == nil && s.HandleHandover(h) {
		return nil
	}
	return ErrNotDelivered
}

func ref(id string) instance.Ref {
	return instance.Ref{ID: instance.ID(id), Incarnation: 1, Zone: "z"}
}

func (f memoryPeers) start(t *testing.T, id string, change func(*Config)) *Server {
	t.Helper()
	cfg := Config{Self: ref(id), Listen: netip.MustParseAddrPort("127.0.0.1:0"), TokenKey: testKey, Seed: 1, Peers: f}
	if change != nil {
		change(&cfg)
	}
	s := New(cfg)
	must.NoError(t, s.Start())
	f[cfg.Self.ID] = s
	t.Cleanup(s.Close)
	return s
}

// table returns a zone table of version seq with targets at addrs. sets are the home sets,
// newest first; the members of the newest are also the roster.
func table(seq uint64, slots int, addrs []netip.AddrPort, sets ...zone.HomeSet) *zone.Table {
	st := zone.ServiceTable{Service: service.Service{
		ID: "booking", Kind: service.Request, Host: host, Deadline: 20 * time.Second,
		Routes: []service.Route{{Prefix: "/"}, {Method: "GET", Prefix: "/", Idempotent: true}},
	}}
	for i, a := range addrs {
		id := target.ID(string(rune('a' + i)))
		st.Targets = append(st.Targets, zone.TargetEntry{Target: target.Target{ID: id, Addr: a, Slots: slots}, State: target.Active})
	}
	return &zone.Table{Zone: "z", Version: zone.Version{Term: 1, Seq: seq}, Roster: sets[0].Members, Homes: sets, Services: []zone.ServiceTable{st}}
}

func homeSet(n uint32, ids ...string) zone.HomeSet {
	s := zone.HomeSet{Number: n}
	for _, id := range ids {
		s.Members = append(s.Members, ref(id))
	}
	return s
}

func startOne(t *testing.T, change func(*Config), slots int, addrs ...netip.AddrPort) (memoryPeers, *Server) {
	f := memoryPeers{}
	s := f.start(t, "i1", change)
	must.NoError(t, s.Install(t.Context(), table(1, slots, addrs, homeSet(1, "i1")), nil))
	return f, s
}

// httpTarget starts a target that serves h.
func httpTarget(t *testing.T, h http.HandlerFunc) netip.AddrPort {
	srv := httptest.NewServer(h)
	t.Cleanup(func() { srv.CloseClientConnections(); srv.Close() })
	return srv.Listener.Addr().(*net.TCPAddr).AddrPort()
}

// rawTarget starts a target whose answers are raw bytes: serve gets the number of the
// connection and of the request on it and returns the bytes to write. If it returns an
// empty string, nothing is written; if it returns false, the connection is closed.
func rawTarget(t *testing.T, serve func(conn, n int, r *http.Request) (string, bool)) netip.AddrPort {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for conn := 0; ; conn++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func(conn int) {
				defer c.Close()
				in := bufio.NewReader(c)
				for n := 0; ; n++ {
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					out, more := serve(conn, n, r)
					_, _ = io.WriteString(c, out)
					if !more {
						return
					}
				}
			}(conn)
		}
	}()
	return l.Addr().(*net.TCPAddr).AddrPort()
}

type result struct {
	status  int
	header  http.Header
	body    string
	reason  string
	outcome string
}

func call(t *testing.T, s *Server, method, path, body string, header ...string) result {
	t.Helper()
	r, err := do(context.Background(), s, method, path, strings.NewReader(body), header...)
	must.NoError(t, err)
	return r
}

func do(ctx context.Context, s *Server, method, path string, body io.Reader, header ...string) (result, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+s.Addr().String()+path, body)
	if err != nil {
		return result{}, err
	}
	req.Host = host
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return result{}, err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	out := result{status: resp.StatusCode, header: resp.Header, body: string(b)}
	if resp.Header.Get("Content-Type") == "application/problem+json" {
		var p problemDetails
		if err := json.Unmarshal(b, &p); err != nil {
			return result{}, err
		}
		out.reason, out.outcome = p.Reason, p.Outcome
	}
	return out, err
}
