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
	// followPath is the HTTP path at which instances follow a replica. It changes with the
	// meaning of the messages, so that instances of different meaning don't follow each other.
	followPath = "/v4/follow"
	// minLinkRate is the rate in bytes a second at which a follower must receive a message:
	// a tenth of the users' slowest link.
	minLinkRate = 125_000
	// maxListBytesInFlight bounds the compressed lists being sent at a time. Further instances
	// that start at the same moment are refused and ask another source, so that they don't use
	// up the memory and the link of one instance.
	maxListBytesInFlight = 4 << 20
	// listCacheTTL is how long an encoded list is reused for other followers, which also get
	// the changes since.
	listCacheTTL = 2 * time.Second
)

// StreamTiming has the timing of the stream between instances.
type StreamTiming struct {
	// HeartbeatInterval is the longest time between two messages to a follower.
	HeartbeatInterval time.Duration
	// IdleTimeout is how long a connection may make no progress: a heartbeat interval plus
	// the worst delay of the links.
	IdleTimeout time.Duration
}

// server sends followers the content of the replica and then each change, as messages in
// CBOR, until stop is closed.
type server struct {
	replica *Replica
	timing  StreamTiming
	now     func() time.Duration
	stop    <-chan struct{}
	// listBytes limits the bytes of lists in flight to maxListBytesInFlight.
	listBytes *semaphore.Weighted

	mu        sync.Mutex // guards all fields below; acquired before the replica's
	listCache map[string]*encodedList
}

// encodedList is the encoded list of a kind and the state that it covers.
type encodedList struct {
	data       []byte
	encodedAt  time.Duration
	version    objectstore.Version
	messageSeq uint64
}

// Handler serves the replica to other instances. now reads the monotonic clock.
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

// followerCursor is the state of one kind that a follower was sent.
type followerCursor struct {
	kind       string
	after      objectstore.Version
	messageSeq uint64
	sent       bool
}

// parseCursors parses the versions that a follower holds, given as one "KIND:VERSION" per kind.
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
		return nil, errors.New("after is missing, allowed is KIND:VERSION, once per kind")
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
			return // the follower retries, here or at another instance
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

// Reasons for refusing a follower.
var (
	errStopping     = errors.New("stopping")
	errTooManyLists = errors.New("too many lists in flight")
	errNotListed    = errors.New("kind is not listed yet")
)

// statusOf returns the HTTP status of a refusal: 429 if the follower should retry soon.
func statusOf(err error) int {
	if errors.Is(err, errTooManyLists) || errors.Is(err, errNotListed) {
		return http.StatusTooManyRequests
	}
	return http.StatusServiceUnavailable
}

// sendUpdates sends a message with the updates that the follower has not received. The
// message is a heartbeat if there are none.
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
	message, err := encode(lists, frames)
	if err != nil {
		return errors.Wrap(err, "message")
	}
	return s.write(w, message)
}

// kindUpdates returns the updates of one kind: the list for a follower that holds nothing
// of it, and the changes since, if there are any.
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
	f, seq, err := s.replica.frame(s.now(), c.kind, c.after)
	if err != nil {
		return nil, nil, frameError(err)
	}
	c.sent, c.after, c.messageSeq = true, f.Version, seq
	return lists, append(frames, f), nil
}

// sharedList returns the encoded list of a kind. Followers that start at the same time
// share it, since encoding a list takes far longer than sending it.
func (s *server) sharedList(kind string) (*encodedList, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if l := s.listCache[kind]; l != nil && now < l.encodedAt+listCacheTTL && s.replica.hasChangesSince(kind, l.version) {
		return l, nil
	}
	f, seq, err := s.replica.frame(now, kind, 0)
	if err != nil {
		return nil, frameError(err)
	}
	packed, err := compressFrame(f)
	if err != nil {
		return nil, err
	}
	l := &encodedList{data: packed, encodedAt: now, version: f.Version, messageSeq: seq}
	s.listCache[kind] = l
	return l, nil
}

// frameError returns the error to report to a follower if a frame is not available.
func frameError(err error) error {
	if errors.Is(err, objectstore.ErrUnavailable) {
		return errNotListed
	}
	return err
}

// write sends a message; it fails if the follower does not receive it in time.
func (s *server) write(w http.ResponseWriter, message []byte) error {
	out := http.NewResponseController(w)
	limit := s.timing.IdleTimeout + time.Duration(len(message))*time.Second/minLinkRate
	if err := out.SetWriteDeadline(time.Now().Add(limit)); err != nil {
		return errors.Wrap(err, "connection")
	}
	if _, err := w.Write(message); err != nil {
		return errors.Wrap(err, "connection")
	}
	return out.Flush()
}

// hasChangesSince reports whether all changes since a version, removals included, are known.
func (r *Replica) hasChangesSince(name string, after objectstore.Version) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	k := r.kinds[name]
	return k != nil && k.listed && after > 0 && after >= k.tombstoneFloor
}

// wakeChannel returns a channel that is closed when followers have an update to receive.
func (r *Replica) wakeChannel() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.wake
}

// hasUpdates reports whether a kind has updates beyond the sequence number sent.
func (r *Replica) hasUpdates(name string, sentSeq uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.kinds[name].messageSeq != sentSeq
}
