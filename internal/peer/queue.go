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
	// queueLimit is the largest number of queued messages per class and destination.
	queueLimit = 256
	// queueBytes is the largest size in bytes of the queued messages of one
	// destination.
	queueBytes = 2 * MaxMessage
	// maxDestinations limits the destinations, to about twice the number in a zone of
	// the target size.
	maxDestinations = 512
	// batchBytes is the size at which a batch is closed. It is small because urgent
	// messages wait for the batch in flight.
	batchBytes = 32 << 10
	// destinationIdle is the time after which a destination without messages is
	// removed.
	destinationIdle = 2 * time.Minute
	// The backoff after a failed exchange doubles from backoffMin to backoffMax. The
	// upper limit is the time after which members without a leader start a vote.
	backoffMin = 50 * time.Millisecond
	backoffMax = 2 * time.Second
)

// queuedMessage is an encoded message in a destination's queue.
type queuedMessage struct {
	env     Envelope
	class   Class
	delayed bool // already counted as delayed by the budget
}

func (m *queuedMessage) size() int { return len(m.env.Body) + 8 }

// destination holds the queues of one destination, one per class. One exchange is
// in flight at a time; messages queued meanwhile are sent in the next batch.
// Transport.mu guards it.
type destination struct {
	link   *link
	queues [queuedClasses][]queuedMessage
	bytes  int
	wake   chan struct{} // buffered with capacity 1; signals a new message
}

// Send queues a message. It returns ErrQueueFull when the class's queue is
// full; a full urgent queue drops its oldest message instead, because a newer
// lease or step message replaces it. Messages of class Data must use Call.
func (t *Transport) Send(to instance.Ref, msg any) error {
	env, class, err := t.cfg.Registry.encode(msg)
	if err != nil {
		return err
	}
	if class >= queuedClasses {
		return errors.Errorf("%T has class data and can't be queued; use Call", msg)
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

func (d *destination) push(m queuedMessage, t *Transport) bool {
	q := &d.queues[m.class]
	if len(*q) >= queueLimit || d.bytes+m.size() > queueBytes {
		if m.class != Urgent {
			return false
		}
		for len(*q) > 0 && (len(*q) >= queueLimit || d.bytes+m.size() > queueBytes) {
			d.bytes -= (*q)[0].size()
			*q = (*q)[1:]
			t.countDropped("superseded", 1)
		}
	}
	*q = append(*q, m)
	d.bytes += m.size()
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
		batch, reserved, wait := t.takeBatch(d)
		if len(batch) == 0 {
			if !t.waitForMessage(d, wait) && t.removeIdle(key, d) {
				return
			}
			continue
		}
		failed := t.sendBatch(d, batch)
		t.budget.release(reserved)
		if !failed {
			backoff = 0
			continue
		}
		backoff = min(max(2*backoff, backoffMin), backoffMax)
		t.sleep(t.jitter(backoff))
	}
}

// takeBatch removes the messages that the budget admits from the queues, most urgent
// class first, and returns them with the bytes reserved for them. If none is admitted,
// wait is the time to wait; 0 means until a message is queued.
func (t *Transport) takeBatch(d *destination) (batch []queuedMessage, reserved int, wait time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	size := wireOverhead
	for class := range Class(queuedClasses) {
		q := &d.queues[class]
		for len(*q) > 0 && len(batch) < maxEnvelopes {
			next := &(*q)[0]
			if len(batch) > 0 && size+next.size() > batchBytes {
				return batch, reserved, 0
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
			reserved += need
			size += next.size()
			d.bytes -= next.size()
			*q = (*q)[1:]
		}
	}
	return batch, reserved, wait
}

func (t *Transport) countDelayed(q []queuedMessage) {
	for i := range q {
		if !q[i].delayed {
			q[i].delayed = true
			t.cfg.Metrics.Counter(metric.PeerDelayed, q[i].class.String()).Inc(1)
		}
	}
}

// waitForMessage waits until a message is queued or, if wait is positive, until the
// time has passed. It reports false when the destination has been idle for
// destinationIdle or the transport closes.
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

// removeIdle removes an idle destination; once the transport is closed it also drops
// the queued messages. It reports false when a message was queued in the meantime.
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

// handleReplies passes replies to the handler. A reply that the handler returns for
// a reply is discarded, because no exchange is open that could carry it.
func (t *Transport) handleReplies(ctx context.Context, from instance.Ref, replies []Envelope) {
	for _, e := range replies {
		if err := decodeFailure(e); err != nil {
			t.countDropped("remote_error", 1)
			t.cfg.Log.WithField(logfield.Peer, from.ID).WithField(logfield.Error, err).Debug("peer did not process message")
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

// failureReason returns the metric label for a failed exchange.
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

// jitter returns a random duration between d/2 and d.
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
