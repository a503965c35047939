package forwarding

import (
	"time"
)

const (
	// maxFlows bounds the table; flows beyond it are forwarded but not observed.
	maxFlows = 1 << 16
	// openingTimeout is how long a first packet may stay unanswered; clients give
	// up after 1.4 s.
	openingTimeout = 2 * time.Second
	// defaultIdleTimeout is used while the configuration gives none.
	defaultIdleTimeout = 15 * time.Second
	// window is the most data in bytes that a client may have in flight: 16 packets.
	window = 16 * 1200
)

// flowState is what this instance has seen of a flow.
type flowState struct {
	load *load
	// openingAt is when the first packet was last sent to a target.
	openingAt time.Duration
	seenAt    time.Duration
	opened    bool
	// firstAt is when the first packet came and firstSeq its number, if sawFirst tells that
	// it passed here; answered tells whether a request has been answered.
	firstAt            time.Duration
	firstSeq           uint32
	sawFirst, answered bool
	// busy tells whether a request is unanswered, dataAt when its last new packet
	// passed, and requestSeq where it began.
	busy       bool
	dataAt     time.Duration
	requestSeq uint32
	// sentAt is when data was last passed on, new or repeated.
	sentAt time.Duration
	// nextSeq follows the newest data of the client; ack is its newest acknowledgement.
	nextSeq, ack uint32
}

// table holds the flows that passed through this instance.
type table struct {
	flows map[FlowID]*flowState
}

func newTable() *table { return &table{flows: map[FlowID]*flowState{}} }

// add inserts a flow; it returns nil if the table is full.
func (t *table) add(id FlowID, l *load, now time.Duration) *flowState {
	if len(t.flows) >= maxFlows {
		return nil
	}
	f := &flowState{load: l, seenAt: now}
	t.flows[id] = f
	return f
}

// remove forgets a flow and takes it out of its target's counts.
func (t *table) remove(id FlowID, f *flowState) {
	f.leave()
	delete(t.flows, id)
}

// leave takes the flow out of its target's counts.
func (f *flowState) leave() {
	if !f.opened {
		f.load.opening--
		return
	}
	f.load.open--
	if f.busy {
		f.load.busy--
	}
}

// open records that the target accepted the flow.
func (f *flowState) open(l *load) {
	if f.opened {
		return
	}
	f.leave()
	f.load, f.opened = l, true
	l.open++
}

// precedes reports whether a first packet begins another flow, whose client uses the
// port of this one again. Copies of a first packet have its number, and none comes later
// than a client waits for its answer.
func (f *flowState) precedes(now time.Duration, first *Segment) bool {
	if f.sawFirst {
		return first.Seq != f.firstSeq
	}
	return now >= f.seenAt+openingTimeout
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

// sweep forgets flows that have been silent for too long.
func (t *table) sweep(now, idle time.Duration) {
	for id, f := range t.flows {
		limit := idle
		if !f.opened {
			limit = openingTimeout
		}
		if now >= f.seenAt+limit {
			t.remove(id, f)
		}
	}
}

// giveUp counts requests that have waited too long as unanswered. Their flows may
// also have moved to another instance, which sees the answers; that concerns all
// targets alike and leaves their order as it is.
func (t *table) giveUp(now time.Duration) {
	for _, f := range t.flows {
		if f.busy && now >= f.dataAt+unansweredAfter {
			f.setBusy(false)
			f.load.outcome(now, false)
		}
	}
}

// after reports whether sequence number a follows b.
func after(a, b uint32) bool { return int32(a-b) > 0 }
