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
	// minLinkRate is the rate in bytes a second at which a follower must take a
	// message: a tenth of the users' slowest link.
	minLinkRate = 125_000
	// maxListBytesInFlight bounds the lists that are being sent. Further instances that start at
	// the same moment are turned to others, so that the memory and the link of one are
	// not used up by all.
	maxListBytesInFlight = 4 << 20
	// listCacheTTL is how long an encoded list is used for further followers, which are told
	// the changes since.
	listCacheTTL = 2 * time.Second
)

// StreamTiming has the times of the stream between instances.
type StreamTiming struct {
	// HeartbeatInterval is the longest time between two messages to a follower.
	HeartbeatInterval time.Duration
	// IdleTimeout is how long a connection may make no progress: a beat and the worst
	// delay of the links.
	IdleTimeout time.Duration
}

// server tells followers what the replica holds and each change of it, in messages
// of CBOR, until stop is closed.
type server struct {
	replica *Replica
	timing  StreamTiming
	now     func() time.Duration
	stop    <-chan struct{}
	// listBytes counts the bytes of lists.
	listBytes *semaphore.Weighted

	mu        sync.Mutex // guards all below; taken before the replica's
	listCache map[string]*encodedList
}

// encodedList is a kind's list as it is sent, and what it covers.
type encodedList struct {
	data       []byte
	encodedAt  time.Duration
	version    objectstore.Version
	messageSeq uint64
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
		listBytes: semaphore.NewWeighted(maxListBytesInFlight), listCache: map[string]*encodedList{},
	}
}

// followerCursor is what a follower has been told of one kind.
type followerCursor struct {
	kind       string
	after      objectstore.Version
	messageSeq uint64
	sent       bool
}

// parseCursors reads the versions that a follower holds, one "KIND:VERSION" a kind.
func parseCursors(values []string) ([]*followerCursor, error) {
	var out []*followerCursor
	for _, v := range values {
		name, text, ok := strings.Cut(v, ":")
		version, err := strconv.ParseUint(text, 10, 64)
		if !ok || err != nil {
			return nil, errors.Errorf("bad value %q of after, allowed is KIND:VERSION", v)
		}
		out = append(out, &followerCursor{kind: name, after: objectstore.Version(version)})
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
		wake := s.replica.wakeChannel()
		if err := s.sendUpdates(w, cursors); err != nil {
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
		case <-time.After(s.timing.HeartbeatInterval):
		}
	}
}

// Reasons why a follower is not told anything.
var (
	errStopping     = errors.New("stopping")
	errTooManyLists = errors.New("too many lists at a time")
	errNotListed    = errors.New("nothing listed yet")
)

// statusOf returns the status of a refusal: whether the follower should ask again soon.
func statusOf(err error) int {
	if errors.Is(err, errTooManyLists) || errors.Is(err, errNotListed) {
		return http.StatusTooManyRequests
	}
	return http.StatusServiceUnavailable
}

// sendUpdates writes a message with what is new to the follower.
func (s *server) sendUpdates(w http.ResponseWriter, cursors []*followerCursor) error {
	select {
	case <-s.stop:
		return errStopping
	default:
	}
	var lists []compressedFrame
	var frames []Frame
	for _, c := range cursors {
		l, f, err := s.kindUpdates(c)
		if err != nil {
			return err
		}
		lists, frames = append(lists, l...), append(frames, f...)
	}
	bytes := int64(0)
	for _, l := range lists {
		bytes += int64(len(l.Data))
	}
	bytes = min(bytes, maxListBytesInFlight)
	if !s.listBytes.TryAcquire(bytes) {
		return errTooManyLists
	}
	defer s.listBytes.Release(bytes)
	text, err := encode(lists, frames)
	if err != nil {
		return errors.Wrap(err, "message")
	}
	return s.write(w, text)
}

// kindUpdates returns what is new of one kind: its list for a follower that holds nothing of
// it, and the changes since, if there are any.
func (s *server) kindUpdates(c *followerCursor) (lists []compressedFrame, frames []Frame, err error) {
	if c.sent && !s.replica.hasUpdates(c.kind, c.messageSeq) {
		return nil, nil, nil
	}
	if c.after == 0 {
		l, err := s.sharedList(c.kind)
		if err != nil {
			return nil, nil, err
		}
		lists = append(lists, compressedFrame{Data: l.data, SinceEncoded: s.now() - l.encodedAt})
		c.sent, c.after, c.messageSeq = true, l.version, l.messageSeq
		if !s.replica.hasUpdates(c.kind, c.messageSeq) {
			return lists, nil, nil
		}
	}
	f, news, err := s.replica.frame(s.now(), c.kind, c.after)
	if err != nil {
		return nil, nil, frameError(err)
	}
	c.sent, c.after, c.messageSeq = true, f.Version, news
	return lists, append(frames, f), nil
}

// sharedList returns the sharedList of a kind as it is sent. Followers that start at the same time
// share one, since encoding it takes far longer than sending it.
func (s *server) sharedList(kind string) (*encodedList, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if l := s.listCache[kind]; l != nil && now < l.encodedAt+listCacheTTL && s.replica.hasChangesSince(kind, l.version) {
		return l, nil
	}
	f, news, err := s.replica.frame(now, kind, 0)
	if err != nil {
		return nil, frameError(err)
	}
	packed, err := compressFrame(f)
	if err != nil {
		return nil, err
	}
	l := &encodedList{data: packed, encodedAt: now, version: f.Version, messageSeq: news}
	s.listCache[kind] = l
	return l, nil
}

// frameError returns what a follower is told if a kind can't be told.
func frameError(err error) error {
	if errors.Is(err, objectstore.ErrUnavailable) {
		return errNotListed
	}
	return err
}

// write sends a message; it fails if the follower does not take it in time.
func (s *server) write(w http.ResponseWriter, text []byte) error {
	out := http.NewResponseController(w)
	limit := s.timing.IdleTimeout + time.Duration(len(text))*time.Second/minLinkRate
	if err := out.SetWriteDeadline(time.Now().Add(limit)); err != nil {
		return errors.Wrap(err, "connection")
	}
	if _, err := w.Write(text); err != nil {
		return errors.Wrap(err, "connection")
	}
	return out.Flush()
}

// hasChangesSince reports whether a follower of a version can be told the changes since.
func (r *Replica) hasChangesSince(name string, after objectstore.Version) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	k := r.kinds[name]
	return k != nil && k.listed && after > 0 && after >= k.tombstoneFloor
}

// wakeChannel returns a channel that is closed when there is something to tell.
func (r *Replica) wakeChannel() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.wake
}

// hasUpdates reports whether there is news of a kind beyond what was told.
func (r *Replica) hasUpdates(name string, sentSeq uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.kinds[name].messageSeq != sentSeq
}
