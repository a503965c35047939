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

// maxMessage bounds the bytes of one message; the targets and the configuration of
// the target size take some 6 MB.
const maxMessage = 64 * objectstore.MaxValue

// ErrBusy means that the source lives and can't tell anything now: it has listed
// nothing yet, or is telling others everything.
var ErrBusy = errors.New("source is busy")

// ErrIdleTimeout means that the source made no progress for the time that the stream allows.
var ErrIdleTimeout = errors.New("source is silent")

// Request is what a follower asks for.
type Request struct {
	// Held are the versions by kind that the follower holds; 0 asks for everything.
	Held map[string]objectstore.Version
	// Once asks for one message only. Close ends the connection with it: an instance that is
	// asked by all which start would hold one for each of them.
	Once, Close bool
	// IdleTimeout is how long the source may make no progress.
	IdleTimeout time.Duration
}

// Follow hears from another instance's replica. take is called for each message
// until it returns false or an error. Follow ends with nil if take returned false or
// one message was asked for, with ErrSilent if the source fell silent or this process
// stood still meanwhile.
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
	defer func() { _ = resp.Body.Close() }() // it was only read
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
			return ErrIdleTimeout // what is left in the buffers may be old
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
			m.Frames[n].Age += time.Since(began) // the time that a long message took
		}
		if more, err := handle(m); err != nil || !more {
			return err
		}
	}
}

// connectionError returns the error of a broken connection.
func connectionError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return ErrIdleTimeout
	}
	return errors.Wrap(objectstore.ErrUnavailable, err.Error())
}

// progressReader watches the reads of a connection.
type progressReader struct {
	io.Reader
	onProgress func() // called for each read that brought something
	// idleTimeout is how long the source may make no progress.
	idleTimeout time.Duration
	// lastRead is the time of the lastRead such read. messageStart is that of the one in which the
	// message messageStart: the first since begin was set, or the lastRead before.
	lastRead, messageStart time.Time
	newMessage             bool
	// stalled tells that two of them were further apart than a source may be silent.
	stalled   bool
	remaining int // bytes that the message may still have
}

// Read implements io.Reader.
func (p *progressReader) Read(b []byte) (int, error) {
	if p.remaining <= 0 {
		return 0, errors.Errorf("message is above %d bytes", maxMessage)
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
