package replica

import (
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/semaphore"

	"guavaloom.example/guavaloom/internal/objectstore"
)

const (
	// followPath is the path of the call by which instances follow a replica.
	followPath = "/v3/follow"
	// slowestLink is the rate in bytes a second at which a follower must take a
	// message: a tenth of the users' slowest link.
	slowestLink = 125_000
	// maxListBytes bounds the lists that are being sent. Further instances that start at
	// the same moment are turned to others, so that the memory and the link of one are
	// not used up by all.
	maxListBytes = 4 << 20
	// listReuse is how long an encoded list is used for further followers, which are told
	// the changes since.
	listReuse = 2 * time.Second
)

// StreamTiming has the times of the stream between instances.
type StreamTiming struct {
	// Beat is the longest time between two messages to a follower.
	Beat time.Duration
	// Silence is how long a connection may make no progress: a beat and the worst
	// delay of the links.
	Silence time.Duration
}

// server tells followers what the replica holds and each change of it, in messages
// of CBOR, until stop is closed.
type server struct {
	replica *Replica
	timing  StreamTiming
	now     func() time.Duration
	stop    <-chan struct{}
	// sending counts the bytes of lists.
	sending *semaphore.Weighted

	mu    sync.Mutex // guards all below; taken before the replica's
	lists map[string]*encodedList
}

// encodedList is a kind's list as it is sent, and what it covers.
type encodedList struct {
	packed  []byte
	at      time.Duration
	version objectstore.Version
	news    uint64
}

// Handler serves the replica to other instances. now reads the steady clock.
func (r *Replica) Handler(timing StreamTiming, now func() time.Duration, stop <-chan struct{}) http.Handler {
	s := newServer(r, timing, now, stop)
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+followPath, s.follow)
	return mux
}

func newServer(r *Replica, timing StreamTiming, now func() time.Duration, stop <-chan struct{}) *server {
	return &server{
		replica: r, timing: timing, now: now, stop: stop,
		sending: semaphore.NewWeighted(maxListBytes), lists: map[string]*encodedList{},
	}
}

// cursor is what a follower has been told of one kind.
type cursor struct {
	kind  string
	after objectstore.Version
	news  uint64
	told  bool
}

// parseCursors reads the versions that a follower holds, one "KIND:VERSION" a kind.
func parseCursors(values []string) ([]*cursor, error) {
	var out []*cursor
	for _, v := range values {
		name, text, ok := strings.Cut(v, ":")
		version, err := strconv.ParseUint(text, 10, 64)
		if !ok || err != nil {
			return nil, errors.Errorf("bad value %q of after, allowed is KIND:VERSION", v)
		}
		out = append(out, &cursor{kind: name, after: objectstore.Version(version)})
	}
	if len(out) == 0 {
		return nil, errors.New("after is missing, allowed is KIND:VERSION, once a kind")
	}
	return out, nil
}

func (s *server) follow(w http.ResponseWriter, req *http.Request) {
	cursors, err := parseCursors(req.URL.Query()["after"])
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	once, started := req.URL.Query().Has("once"), false
	for {
		wake := s.replica.waker()
		if err := s.tell(w, cursors); err != nil {
			if !started {
				http.Error(w, err.Error(), statusOf(err))
			}
			return // the follower asks again, or another instance
		}
		started = true
		if once {
			return
		}
		select {
		case <-req.Context().Done():
			return
		case <-s.stop:
			return
		case <-wake:
		case <-time.After(s.timing.Beat):
		}
	}
}

// Reasons why a follower is not told anything.
var (
	errStopping   = errors.New("stopping")
	errManyLists  = errors.New("too many lists at a time")
	errNothingYet = errors.New("nothing listed yet")
)

// statusOf returns the status of a refusal: whether the follower should ask again soon.
func statusOf(err error) int {
	if errors.Is(err, errManyLists) || errors.Is(err, errNothingYet) {
		return http.StatusTooManyRequests
	}
	return http.StatusServiceUnavailable
}

// tell writes a message with what is new to the follower.
func (s *server) tell(w http.ResponseWriter, cursors []*cursor) error {
	select {
	case <-s.stop:
		return errStopping
	default:
	}
	var lists []packedFrame
	var frames []Frame
	for _, c := range cursors {
		l, f, err := s.tellKind(c)
		if err != nil {
			return err
		}
		lists, frames = append(lists, l...), append(frames, f...)
	}
	bytes := int64(0)
	for _, l := range lists {
		bytes += int64(len(l.Packed))
	}
	bytes = min(bytes, maxListBytes)
	if !s.sending.TryAcquire(bytes) {
		return errManyLists
	}
	defer s.sending.Release(bytes)
	text, err := encode(lists, frames)
	if err != nil {
		return errors.Wrap(err, "message")
	}
	return s.write(w, text)
}

// tellKind returns what is new of one kind: its list for a follower that holds nothing of
// it, and the changes since, if there are any.
func (s *server) tellKind(c *cursor) (lists []packedFrame, frames []Frame, err error) {
	if c.told && !s.replica.hasNews(c.kind, c.news) {
		return nil, nil, nil
	}
	if c.after == 0 {
		l, err := s.list(c.kind)
		if err != nil {
			return nil, nil, err
		}
		lists = append(lists, packedFrame{Packed: l.packed, Waited: s.now() - l.at})
		c.told, c.after, c.news = true, l.version, l.news
		if !s.replica.hasNews(c.kind, c.news) {
			return lists, nil, nil
		}
	}
	f, news, err := s.replica.frame(s.now(), c.kind, c.after)
	if err != nil {
		return nil, nil, refusal(err)
	}
	c.told, c.after, c.news = true, f.Version, news
	return lists, append(frames, f), nil
}

// list returns the list of a kind as it is sent. Followers that start at the same time
// share one, since encoding it takes far longer than sending it.
func (s *server) list(kind string) (*encodedList, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if l := s.lists[kind]; l != nil && now < l.at+listReuse && s.replica.reaches(kind, l.version) {
		return l, nil
	}
	f, news, err := s.replica.frame(now, kind, 0)
	if err != nil {
		return nil, refusal(err)
	}
	packed, err := pack(f)
	if err != nil {
		return nil, err
	}
	l := &encodedList{packed: packed, at: now, version: f.Version, news: news}
	s.lists[kind] = l
	return l, nil
}

// refusal returns what a follower is told if a kind can't be told.
func refusal(err error) error {
	if errors.Is(err, objectstore.ErrUnavailable) {
		return errNothingYet
	}
	return err
}

// write sends a message; it fails if the follower does not take it in time.
func (s *server) write(w http.ResponseWriter, text []byte) error {
	out := http.NewResponseController(w)
	limit := s.timing.Silence + time.Duration(len(text))*time.Second/slowestLink
	if err := out.SetWriteDeadline(time.Now().Add(limit)); err != nil {
		return errors.Wrap(err, "connection")
	}
	if _, err := w.Write(text); err != nil {
		return errors.Wrap(err, "connection")
	}
	return out.Flush()
}

// reaches reports whether a follower of a version can be told the changes since.
func (r *Replica) reaches(name string, after objectstore.Version) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	k := r.kinds[name]
	return k != nil && k.listed && after > 0 && after >= k.floor
}

// waker returns a channel that is closed when there is something to tell.
func (r *Replica) waker() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.wake
}

// hasNews reports whether there is news of a kind beyond what was told.
func (r *Replica) hasNews(name string, told uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.kinds[name].news != told
}
