package forwarding

import (
	"time"
)

const (
	// maxFlows bounds the flow table; flows beyond it are forwarded but not observed.
	maxFlows = 1 << 16
	// openingTimeout is how long a first packet may stay unanswered; clients give up after
	// 1.4 s.
	openingTimeout = 2 * time.Second
	// defaultIdleTimeout applies if the configuration sets no idle timeout.
	defaultIdleTimeout = 15 * time.Second
	// maxInFlightBytes is the most data that a client may have in flight: 16 packets.
	maxInFlightBytes = 16 * 1200
)

// flowState is what this instance has observed of a flow.
type flowState struct {
	load *targetLoad
	// openingAt is when the first packet was last sent to a target.
	openingAt  time.Duration
	lastSeenAt time.Duration
	opened     bool
	// firstPacketAt is when the first packet arrived and firstPacketSeq its sequence
	// number; both are valid if sawFirstPacket is set. answered is set once a request has
	// been answered.
	firstPacketAt            time.Duration
	firstPacketSeq           uint32
	sawFirstPacket, answered bool
	// busy is set while a request is unanswered, newDataAt is when its last new packet
	// passed, and requestSeq the sequence number at which it began.
	busy       bool
	newDataAt  time.Duration
	requestSeq uint32
	// sentAt is when data was last forwarded, new or retransmitted.
	sentAt time.Duration
	// nextSeq is the sequence number after the client's newest data; ack is its highest
	// acknowledgement.
	nextSeq, ack uint32
}

// flowTable holds the flows that passed through this instance.
type flowTable struct {
	flows map[FlowID]*flowState
}

func newFlowTable() *flowTable { return &flowTable{flows: map[FlowID]*flowState{}} }

// add inserts a flow; it returns nil if the table is full.
func (t *flowTable) add(id FlowID, l *targetLoad, now time.Duration) *flowState {
	if len(t.flows) >= maxFlows {
		return nil
	}
	f := &flowState{load: l, lastSeenAt: now}
	t.flows[id] = f
	return f
}

// remove deletes a flow and takes it out of its target's counts.
func (t *flowTable) remove(id FlowID, f *flowState) {
	f.uncount()
	delete(t.flows, id)
}

// uncount takes the flow out of its target's counts.
func (f *flowState) uncount() {
	if !f.opened {
		f.load.opening--
		return
	}
	f.load.open--
	if f.busy {
		f.load.busy--
	}
}

// markOpen records that the target accepted the flow.
func (f *flowState) markOpen(l *targetLoad) {
	if f.opened {
		return
	}
	f.uncount()
	f.load, f.opened = l, true
	l.open++
}

// portReused reports whether a first packet begins another flow, whose client reuses the
// port of this one. Retransmissions of a first packet have its sequence number, and none
// arrives later than a client waits for the answer.
func (f *flowState) portReused(now time.Duration, first *Segment) bool {
	if f.sawFirstPacket {
		return first.Seq != f.firstPacketSeq
	}
	return now >= f.lastSeenAt+openingTimeout
}

// setBusy records whether a request is in flight.
func (f *flowState) setBusy(busy bool) {
	if f.busy == busy {
		return
	}
	f.busy = busy
	if busy {
		f.load.busy++
	} else {
		f.load.busy--
	}
}

// expireIdle removes flows that have been idle for too long.
func (t *flowTable) expireIdle(now, idle time.Duration) {
	for id, f := range t.flows {
		limit := idle
		if !f.opened {
			limit = openingTimeout
		}
		if now >= f.lastSeenAt+limit {
			t.remove(id, f)
		}
	}
}

// expireRequests calls unanswered for each request without an answer after responseTimeout,
// which is no longer in flight then, and waiting for the others in flight. Their flows may also
// have moved to another instance, which sees the answers; that affects all targets alike and
// doesn't change their order.
func (t *flowTable) expireRequests(now time.Duration, unanswered, waiting func(*flowState)) {
	for _, f := range t.flows {
		if !f.busy {
			continue
		}
		if now < f.newDataAt+responseTimeout {
			waiting(f)
			continue
		}
		f.setBusy(false)
		unanswered(f)
	}
}

// seqAfter reports whether sequence number a follows b.
func seqAfter(a, b uint32) bool { return int32(a-b) > 0 }
