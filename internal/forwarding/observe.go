package forwarding

import (
	"time"
)

// beforeStall reports whether a flow's request was sent before the process last stalled, so that
// the time until its answer says nothing about the target.
func (f *Forwarder) beforeStall(s *flowState) bool { return s.newDataAt < f.stallEndedAt }

// requestUnanswered records a request without an answer. Failures before a recovery that cleared
// them don't count.
func (f *Forwarder) requestUnanswered(now time.Duration, s *flowState) {
	if f.beforeStall(s) {
		return
	}
	if s.newDataAt >= s.load.pace.forgivenAt {
		s.load.recordOutcome(now, false)
	}
	f.paceOutcome(now, s.load, s.newDataAt, false)
}

func (f *Forwarder) recordRetransmission(now time.Duration, l *targetLoad, sentAt time.Duration) bool {
	if sentAt < f.stallEndedAt || !l.recordRetransmission(now, sentAt) {
		return false
	}
	e := Event{Target: l.target, Kind: Suspected}
	if l.lastResponseAt > 0 {
		e.SilentFor = now - l.lastResponseAt
	}
	f.observer.Event(now, e)
	return true
}

// observe updates the state of the flow and of its target.
func (f *Forwarder) observe(now time.Duration, s *Segment, l *targetLoad) {
	state := f.flows.flows[s.Flow]
	if state == nil {
		if len(s.Data) == 0 || s.RST {
			return
		}
		if state = f.flows.add(s.Flow, l, now); state == nil {
			return
		}
		l.opening++
		state.markOpen(l)
		state.nextSeq, state.ack = s.Seq, s.Ack
	}
	state.lastSeenAt = now
	if !state.opened {
		f.recordOpened(now, s, state, l)
	}
	if seqAfter(s.Ack, state.ack) {
		f.recordAck(now, s, state)
	}
	if len(s.Data) > 0 {
		f.recordData(now, s, state)
	}
	if s.FIN || s.RST {
		f.flows.remove(s.Flow, state)
	}
}

// recordOpened records the packet with which the client acknowledges its target's first
// answer.
func (f *Forwarder) recordOpened(now time.Duration, s *Segment, state *flowState, l *targetLoad) {
	if state.load == l {
		f.observer.ObserveSpan(Opening, now-state.firstPacketAt)
	}
	state.markOpen(l)
	state.nextSeq, state.ack = s.Seq, s.Ack
	f.recordResponse(now, l)
}

func (f *Forwarder) recordResponse(now time.Duration, l *targetLoad) {
	silentFor := now - l.lastResponseAt
	if l.recordResponse(now) {
		f.observer.Event(now, Event{Target: l.target, Kind: Cleared, SilentFor: silentFor})
		f.paceRecovered(now, l)
	}
}

// recordAck records that the client received more of the target's answer.
func (f *Forwarder) recordAck(now time.Duration, s *Segment, state *flowState) {
	size := s.Ack - state.ack
	state.ack = s.Ack
	f.recordResponse(now, state.load)
	if state.busy && f.isRefusal(s.Flow.Service, size) {
		state.load.recordRefusal(now)
		f.recordTurnedAway(now, state.load)
		f.paceOutcome(now, state.load, state.newDataAt, false)
		state.setBusy(false)
		return
	}
	if state.busy {
		took := now - state.newDataAt
		if !f.beforeStall(state) { // else the answer may have waited here
			if f.requestRan(now, s.Flow, state.load, took) {
				state.load.recordLatency(now, took)
			}
			f.paceOutcome(now, state.load, state.newDataAt, true)
		}
		state.load.recordOutcome(now, true)
		f.observer.ObserveSpan(Answer, took)
		if state.sawFirstPacket && !state.answered {
			f.observer.ObserveSpan(FirstAnswer, now-state.firstPacketAt)
		}
		state.answered = true
		state.setBusy(false)
	}
}

// recordData records a packet with data: a new part of a request or a retransmission.
func (f *Forwarder) recordData(now time.Duration, s *Segment, state *flowState) {
	end := s.Seq + uint32(len(s.Data))
	if !seqAfter(end, state.nextSeq) {
		if now >= state.sentAt+minRetransmitInterval {
			// A sooner one means that the client still sends new data, so its target responds.
			f.recordRetransmission(now, state.load, state.sentAt)
		}
		state.sentAt = now
		return
	}
	if !state.busy {
		f.useForRequest(now, state)
		state.requestSeq = s.Seq
		state.setBusy(true)
	}
	if end-state.requestSeq > maxInFlightBytes {
		f.recordResponse(now, state.load) // the target must have acknowledged earlier data
	}
	if state.sawFirstPacket && state.newDataAt == 0 {
		f.observer.ObserveSpan(FirstData, now-state.firstPacketAt)
	}
	state.nextSeq, state.newDataAt, state.sentAt = end, now, now
}
