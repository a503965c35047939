package replica

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"guavaloom.example/guavaloom/internal/objectstore"
)

const (
	// followPath is the path of the call by which instances follow a replica.
	followPath = "/v1/follow"
	// slowestLink is the rate in bytes a second at which a follower must take a
	// message: a tenth of the users' slowest link.
	slowestLink = 125_000
	// maxLists is how many followers are told everything at a time. Further instances
	// that start at the same moment are turned to others, so that the memory and
	// the link of one are not used up by all.
	maxLists = 4
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
// of JSON lines, until stop is closed.
type server struct {
	replica *Replica
	timing  StreamTiming
	now     func() time.Duration
	stop    <-chan struct{}
	lists   chan struct{}
}

// Handler serves the replica to other instances. now reads the steady clock.
func (r *Replica) Handler(timing StreamTiming, now func() time.Duration, stop <-chan struct{}) http.Handler {
	s := &server{replica: r, timing: timing, now: now, stop: stop, lists: make(chan struct{}, maxLists)}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+followPath, s.follow)
	return mux
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
	var m Message
	for _, c := range cursors {
		if c.told && !s.replica.hasNews(c.kind, c.news) {
			continue
		}
		f, news, err := s.replica.frame(s.now(), c.kind, c.after)
		if errors.Is(err, objectstore.ErrUnavailable) {
			return errNothingYet
		}
		if err != nil {
			return err
		}
		c.told, c.after, c.news = true, f.Version, news
		m.Frames = append(m.Frames, f)
	}
	if slices.ContainsFunc(m.Frames, func(f Frame) bool { return f.Full }) {
		select {
		case s.lists <- struct{}{}:
			defer func() { <-s.lists }()
		default:
			return errManyLists
		}
	}
	return s.write(w, m)
}

// write sends a message; it fails if the follower does not take it in time.
func (s *server) write(w http.ResponseWriter, m Message) error {
	text, err := encode(m)
	if err != nil {
		return errors.Wrap(err, "message")
	}
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
