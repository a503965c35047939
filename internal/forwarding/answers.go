package forwarding

import (
	"maps"
	"time"

	"guavaloom.example/guavaloom/internal/view"
)

// An instance sees of an answer only how many bytes of it the client acknowledges. An answer
// that is far smaller than those of its route is an error or a refusal: the target is full or
// failing, and its low latency does not mean that it has room.

const (
	// smallAnswerQuantile is the share of a route's answers below the learned size.
	smallAnswerQuantile = 0.05
	// smallAnswerShare is the fraction of the learned size below which an answer is a refusal.
	smallAnswerShare = 0.5
	// sizeStep is the relative step by which an answer moves the learned size, firstSizeStep
	// that of the first firstSizes answers. Refusals move it refusalStepShare as much, so that
	// a route whose answers became smaller is learned anew.
	sizeStep         = 0.02
	firstSizeStep    = 0.1
	firstSizes       = 50
	refusalStepShare = 0.02
	// maxAnswerSizes bounds the routes whose answer sizes are kept.
	maxAnswerSizes = 4096
)

// answerSizes learns the size of the smallest usual answers of a route.
type answerSizes struct {
	small float64 // bytes; 0 before the first answer
	seen  int     // answers, counted up to firstSizes
}

// refused reports whether an answer of the given size in bytes is a refusal, and learns from it.
func (a *answerSizes) refused(bytes uint32) bool {
	size := float64(bytes)
	if a.small == 0 {
		a.small = size
		return false
	}
	refused := a.seen >= firstSizes && size < smallAnswerShare*a.small
	step := sizeStep
	switch {
	case refused:
		step *= refusalStepShare
	case a.seen < firstSizes:
		a.seen++
		step = firstSizeStep
	}
	if size < a.small {
		a.small *= 1 - step*(1-smallAnswerQuantile)
	} else {
		a.small *= 1 + step*smallAnswerQuantile
	}
	return refused
}

// isRefusal reports whether an answer on a flow to the endpoint is a refusal.
func (f *Forwarder) isRefusal(e view.Endpoint, bytes uint32) bool {
	if !f.limits.DetectRefusals {
		return false
	}
	a := f.answerSizes[e]
	if a == nil {
		if len(f.answerSizes) >= maxAnswerSizes {
			return false
		}
		a = &answerSizes{}
		f.answerSizes[e] = a
	}
	return a.refused(bytes)
}

// pruneAnswerSizes drops the answer sizes of endpoints without a route once the table is full.
func (f *Forwarder) pruneAnswerSizes() {
	if len(f.answerSizes) >= maxAnswerSizes {
		maps.DeleteFunc(f.answerSizes, func(e view.Endpoint, _ *answerSizes) bool { return f.View.Route(e) == nil })
	}
}

// recordRefusal records that the target refused a request or failed it.
func (l *targetLoad) recordRefusal(now time.Duration) {
	l.refusedAt = now
	l.recordOutcome(now, false)
}

// recentlyRefused reports whether the target refused a request so recently that it is taken to
// be full.
func (l *targetLoad) recentlyRefused(now time.Duration) bool {
	return l.refusedAt > 0 && now < l.refusedAt+maxLatencyAge
}
