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

// ErrSilent means that the source made no progress for the time that the stream allows.
var ErrSilent = errors.New("source is silent")

// Request is what a follower asks for.
type Request struct {
	// Held are the versions by kind that the follower holds; 0 asks for everything.
	Held map[string]objectstore.Version
	// Once asks for one message only. Close ends the connection with it: an instance that is
	// asked by all which start would hold one for each of them.
	Once, Close bool
	// Silence is how long the source may make no progress.
	Silence time.Duration
}

// Follow hears from another instance's replica. take is called for each message
// until it returns false or an error. Follow ends with nil if take returned false or
// one message was asked for, with ErrSilent if the source fell silent or this process
// stood still meanwhile.
func Follow(ctx context.Context, c *http.Client, addr string, r Request, take func(Message) (bool, error)) error {
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
	asked := time.Now()
	watchdog := time.AfterFunc(r.Silence, cancel)
	defer watchdog.Stop()
	resp, err := c.Do(req)
	if err != nil {
		return lost(ctx, err)
	}
	defer func() { _ = resp.Body.Close() }() // it was only read
	if resp.StatusCode == http.StatusTooManyRequests {
		return ErrBusy
	}
	if resp.StatusCode != http.StatusOK {
		return errors.Wrapf(objectstore.ErrUnavailable, "status %d", resp.StatusCode)
	}
	body := &progress{Reader: resp.Body, silence: r.Silence, last: asked, made: func() { watchdog.Reset(r.Silence) }}
	dec := cbor.NewDecoder(body)
	for first := true; ; first = false {
		body.left, body.begin = maxMessage, true
		var line envelope
		if err := dec.Decode(&line); r.Once && errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return lost(ctx, err)
		}
		if body.stalled {
			return ErrSilent // what is left in the buffers may be old
		}
		m, err := line.open()
		if err != nil {
			return err
		}
		began := body.began
		if first {
			began = asked
		}
		for n := range m.Frames {
			m.Frames[n].Age += time.Since(began) // the time that a long message took
		}
		if more, err := take(m); err != nil || !more {
			return err
		}
	}
}

// lost returns the error of a broken connection.
func lost(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return ErrSilent
	}
	return errors.Wrap(objectstore.ErrUnavailable, err.Error())
}

// progress watches the reads of a connection.
type progress struct {
	io.Reader
	made func() // called for each read that brought something
	// silence is how long the source may make no progress.
	silence time.Duration
	// last is the time of the last such read. began is that of the one in which the
	// message began: the first since begin was set, or the last before.
	last, began time.Time
	begin       bool
	// stalled tells that two of them were further apart than a source may be silent.
	stalled bool
	left    int // bytes that the message may still have
}

// Read implements io.Reader.
func (p *progress) Read(b []byte) (int, error) {
	if p.left <= 0 {
		return 0, errors.Errorf("message is above %d bytes", maxMessage)
	}
	n, err := p.Reader.Read(b)
	if n == 0 {
		return n, err
	}
	p.left -= n
	now := time.Now()
	p.stalled = p.stalled || now.Sub(p.last) > p.silence
	if p.last = now; p.begin {
		p.began, p.begin = now, false
	}
	p.made()
	return n, err
}
