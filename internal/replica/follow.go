package replica

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"guavaloom.example/guavaloom/internal/objectstore"
)

// maxMessage bounds the size of a message in bytes. At the target size, the targets and the
// configuration take about 6 MB.
const maxMessage = 64 * objectstore.MaxValue

// ErrBusy means that the source is running but can't serve now: it has not listed the
// objects yet, or is sending lists to other followers.
var ErrBusy = errors.New("source is busy")

// ErrIdleTimeout means that the source made no progress within the idle timeout.
var ErrIdleTimeout = errors.New("source made no progress within the idle timeout")

// Request is the request of a follower.
type Request struct {
	// Held are the versions by kind that the follower holds; 0 requests all objects.
	Held map[string]objectstore.Version
	// Once requests a single message. Close also closes the connection after it: an instance
	// that every starting instance asks would otherwise hold a connection for each of them.
	Once, Close bool
	// IdleTimeout is how long the source may make no progress.
	IdleTimeout time.Duration
}

// Follow receives messages from another instance's replica. handle is called for each message
// until it returns false or an error. Follow returns nil if handle returned false or
// a single message was requested, and ErrIdleTimeout if the source made no progress within
// the idle timeout or this process was suspended for as long.
func Follow(ctx context.Context, c *http.Client, addr string, r Request, handle func(Message) (bool, error)) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	query := url.Values{}
	for kind, version := range r.Held {
		query.Add("after", kind+":"+strconv.FormatUint(uint64(version), 10))
	}
	if r.Once {
		query.Set("once", "true")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+followPath+"?"+query.Encode(), nil)
	if err != nil {
		return errors.Wrap(err, "address of the instance")
	}
	req.Close = r.Once && r.Close
	requestedAt := time.Now()
	watchdog := time.AfterFunc(r.IdleTimeout, cancel)
	defer watchdog.Stop()
	resp, err := c.Do(req)
	if err != nil {
		return connectionError(ctx, err)
	}
	defer func() { _ = resp.Body.Close() }() // nothing was written, so a failed close loses no data
	if resp.StatusCode == http.StatusTooManyRequests {
		return ErrBusy
	}
	if resp.StatusCode != http.StatusOK {
		return errors.Wrapf(objectstore.ErrUnavailable, "status %d", resp.StatusCode)
	}
	body := &progressReader{Reader: resp.Body, idleTimeout: r.IdleTimeout, lastRead: requestedAt, onProgress: func() { watchdog.Reset(r.IdleTimeout) }}
	dec := cbor.NewDecoder(body)
	for first := true; ; first = false {
		body.remaining, body.newMessage = maxMessage, true
		var e envelope
		if err := dec.Decode(&e); r.Once && errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return connectionError(ctx, err)
		}
		if body.stalled {
			return ErrIdleTimeout // data in the buffers may be from before the stall
		}
		m, err := e.message()
		if err != nil {
			return err
		}
		began := body.messageStart
		if first {
			began = requestedAt
		}
		for n := range m.Frames {
			m.Frames[n].Age += time.Since(began) // the transfer time of a long message
		}
		if more, err := handle(m); err != nil || !more {
			return err
		}
	}
}

// connectionError returns ErrIdleTimeout if the context was cancelled, by the idle timeout or
// by the caller, else ErrUnavailable.
func connectionError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return ErrIdleTimeout
	}
	return errors.Wrap(objectstore.ErrUnavailable, err.Error())
}

// progressReader reads from a connection and tracks when data arrived.
type progressReader struct {
	io.Reader
	onProgress func() // called for each read that returned data
	// idleTimeout is how long the source may make no progress.
	idleTimeout time.Duration
	// lastRead is the time of the last read that returned data. messageStart is the time of
	// the read in which the current message began: the first since newMessage was set or, if
	// there was none, the last before.
	lastRead, messageStart time.Time
	newMessage             bool
	// stalled is set if two such reads were further apart than idleTimeout.
	stalled   bool
	remaining int // bytes left of the message's limit
}

// Read implements io.Reader.
func (p *progressReader) Read(b []byte) (int, error) {
	if p.remaining <= 0 {
		return 0, errors.Errorf("message exceeds %d bytes", maxMessage)
	}
	n, err := p.Reader.Read(b)
	if n == 0 {
		return n, err
	}
	p.remaining -= n
	now := time.Now()
	p.stalled = p.stalled || now.Sub(p.lastRead) > p.idleTimeout
	if p.lastRead = now; p.newMessage {
		p.messageStart, p.newMessage = now, false
	}
	p.onProgress()
	return n, err
}
