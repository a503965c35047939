package peer

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"

	"guavaloom.example/guavaloom/internal/instance"
	"guavaloom.example/guavaloom/internal/logfield"
	"guavaloom.example/guavaloom/internal/metric"
)

// Limits of the queues.
const (
	// queueLimit is how many messages of a class wait for one destination.
	queueLimit = 256
	// queueBytes is how many bytes of messages wait for one destination.
	queueBytes = 2 * MaxMessage
	// maxDestinations bounds the destinations, about twice a zone of target size.
	maxDestinations = 512
	// batchBytes is the size at which a batch is closed. Urgent messages wait for
	// the batch before them, so it stays small.
	batchBytes = 32 << 10
	// destinationIdle is how long a destination without messages is kept.
	destinationIdle = 2 * time.Minute
	// Backoff after a failed exchange doubles between the limits; the upper limit
	// is the time after which members without a leader vote.
	backoffMin = 50 * time.Millisecond
	backoffMax = 2 * time.Second
)

// queuedMessage is a queued message.
type queuedMessage struct {
	env     Envelope
	class   Class
	delayed bool // counted as delayed
}

func (i *queuedMessage) size() int { return len(i.env.Body) + 8 }

// destination is the queue to one instance. One exchange is in flight at a time;
// what arrives meanwhile goes out as the next batch. Transport.mu guards it.
type destination struct {
	link   *link
	queues [queuedClasses][]queuedMessage
	bytes  int
	wake   chan struct{} // has room for one signal
}

// Send queues a message. It returns ErrQueueFull when the class's queue is
// full; a full urgent queue drops its oldest message instead, because a newer
// lease or step message takes its place. Messages of class Data use Call.
func (t *Transport) Send(to instance.Ref, msg any) error {
	env, class, err := t.cfg.Registry.encode(msg)
	if err != nil {
		return err
	}
	if class >= queuedClasses {
		return errors.Errorf("%T has class data and can't be queued", msg)
	}
	if err := t.checkDestination(to); err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return ErrClosed
	}
	d := t.destination(to)
	if d == nil || !d.push(queuedMessage{env: env, class: class}, t) {
		t.countDropped("queue_full", 1)
		return ErrQueueFull
	}
	return nil
}

func (t *Transport) destination(to instance.Ref) *destination {
	key := keyOf(to)
	d := t.destinations[key]
	if d == nil {
		if len(t.destinations) >= maxDestinations {
			return nil
		}
		d = &destination{link: t.newLink(to, controlLane), wake: make(chan struct{}, 1)}
		t.destinations[key] = d
		t.wg.Go(func() { t.sendLoop(key, d) })
	}
	return d
}

func (d *destination) push(i queuedMessage, t *Transport) bool {
	q := &d.queues[i.class]
	if len(*q) >= queueLimit || d.bytes+i.size() > queueBytes {
		if i.class != Urgent {
			return false
		}
		for len(*q) > 0 && (len(*q) >= queueLimit || d.bytes+i.size() > queueBytes) {
			d.bytes -= (*q)[0].size()
			*q = (*q)[1:]
			t.countDropped("superseded", 1)
		}
	}
	*q = append(*q, i)
	d.bytes += i.size()
	select {
	case d.wake <- struct{}{}:
	default:
	}
	return true
}

// sendLoop sends the messages of one destination until it is idle or the transport
// closes.
func (t *Transport) sendLoop(key destKey, d *destination) {
	defer d.link.closeIdle()
	backoff := time.Duration(0)
	for {
		batch, held, wait := t.takeBatch(d)
		if len(batch) == 0 {
			if !t.waitForMessage(d, wait) && t.removeIdle(key, d) {
				return
			}
			continue
		}
		failed := t.sendBatch(d, batch)
		t.budget.release(held)
		if !failed {
			backoff = 0
			continue
		}
		backoff = min(max(2*backoff, backoffMin), backoffMax)
		t.sleep(t.jitter(backoff))
	}
}

// takeBatch removes the messages that the budget admits, most urgent first, and
// returns them with the bytes held for them. With nothing admitted it returns
// how long to wait; 0 means until a message arrives.
func (t *Transport) takeBatch(d *destination) (batch []queuedMessage, held int, wait time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	size := wireOverhead
	for class := range Class(queuedClasses) {
		q := &d.queues[class]
		for len(*q) > 0 && len(batch) < maxEnvelopes {
			next := &(*q)[0]
			if len(batch) > 0 && size+next.size() > batchBytes {
				return batch, held, 0
			}
			need := next.size()
			if len(batch) == 0 {
				need += wireOverhead
			}
			if !t.budget.admit(class, need) {
				t.countDelayed(*q)
				if w := t.budget.minWait(class); wait == 0 || w < wait {
					wait = w
				}
				break
			}
			batch = append(batch, *next)
			held += need
			size += next.size()
			d.bytes -= next.size()
			*q = (*q)[1:]
		}
	}
	return batch, held, wait
}

func (t *Transport) countDelayed(q []queuedMessage) {
	for i := range q {
		if !q[i].delayed {
			q[i].delayed = true
			t.cfg.Metrics.Counter(metric.PeerDelayed, q[i].class.String()).Inc(1)
		}
	}
}

// waitForMessage waits for a message or, if positive, the given time. It reports false
// when the destination was idle or the transport closes.
func (t *Transport) waitForMessage(d *destination, wait time.Duration) bool {
	idle := wait == 0
	if idle {
		wait = destinationIdle
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-d.wake:
		return true
	case <-timer.C:
		return !idle
	case <-t.ctx.Done():
		return false
	}
}

// removeIdle removes an idle destination, or drops its messages on close. It reports
// false when a message has arrived in the meantime.
func (t *Transport) removeIdle(key destKey, d *destination) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	left := 0
	for _, q := range d.queues {
		left += len(q)
	}
	if left > 0 && !t.closed {
		return false
	}
	if left > 0 {
		t.countDropped("closed", left)
	}
	delete(t.destinations, key)
	return true
}

// sendBatch runs one exchange and reports whether it failed.
func (t *Transport) sendBatch(d *destination, batch []queuedMessage) bool {
	envelopes := make([]Envelope, len(batch))
	for i := range batch {
		envelopes[i] = batch[i].env
	}
	ctx, cancel := context.WithTimeout(t.ctx, exchangeTimeout)
	defer cancel()
	replies, from, err := d.link.exchange(ctx, envelopes)
	if err != nil {
		reason := failureReason(err)
		t.countDropped(reason, len(batch))
		t.cfg.Metrics.Counter(metric.PeerRetries, reason).Inc(1)
		t.cfg.Log.WithField(logfield.Peer, d.link.to.ID).WithField(logfield.Reason, reason).
			WithField(logfield.Error, err).Debug("exchange failed")
		return true
	}
	for i := range batch {
		t.cfg.Metrics.Counter(metric.PeerMessages, batch[i].class.String()).Inc(1)
	}
	t.handleReplies(ctx, from, replies)
	return false
}

// handleReplies passes replies to the handler; a reply to a reply has no way back.
func (t *Transport) handleReplies(ctx context.Context, from instance.Ref, replies []Envelope) {
	for _, e := range replies {
		if err := decodeFailure(e); err != nil {
			t.countDropped("remote_error", 1)
			t.cfg.Log.WithField(logfield.Peer, from.ID).WithField(logfield.Error, err).Debug("message not processed")
			continue
		}
		msg, err := t.cfg.Registry.decode(e)
		if err != nil {
			t.cfg.Metrics.Counter(metric.PeerRefused, "bad_message").Inc(1)
			continue
		}
		if _, err := t.cfg.Handler(ctx, from, msg); err != nil {
			t.countDropped("reply_not_processed", 1)
		}
	}
}

// failureReason returns the counter label of a failed exchange.
func failureReason(err error) string {
	var r *refusal
	switch {
	case errors.As(err, &r):
		return r.reason
	case NotSent(err):
		return "not_connected"
	case connect.CodeOf(err) == connect.CodeDeadlineExceeded:
		return "timeout"
	case connect.CodeOf(err) == connect.CodePermissionDenied:
		return "refused_by_peer"
	case connect.CodeOf(err) == connect.CodeResourceExhausted:
		return "too_large"
	}
	return "connection"
}

// jitter returns a random time between half of d and d.
func (t *Transport) jitter(d time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return d/2 + time.Duration(t.cfg.Jitter.Int63n(int64(d/2)+1))
}

func (t *Transport) sleep(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-t.ctx.Done():
	}
}
