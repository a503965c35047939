package peer

import (
	"sync"
	"time"
)

const (
	// burstDuration is the capacity of a token bucket, as a time at the full rate.
	// It lets the lease renewals of one second and a membership step right after
	// them be sent without delay.
	burstDuration = 4 * time.Second
	// maxDebtDuration bounds how long a large message or many replies delay the
	// classes below urgent.
	maxDebtDuration = 30 * time.Second
	// bundleReserve and backgroundReserve are the fractions of the burst that a
	// class must leave for more urgent classes.
	bundleReserve     = 0.25
	backgroundReserve = 0.50
)

// budget is the control budget, a token bucket in bytes. Bytes are charged when
// they are written to a connection. A message is admitted while its class's bucket
// is above the class's reserve. Its size is reserved until its exchange ends, so
// that messages admitted at the same time don't use the same tokens.
//
// Urgent messages have their own bucket with the full rate, so that debt from other
// classes never delays a lease. Their bytes are also charged to the bucket of the
// other classes.
type budget struct {
	mu           sync.Mutex
	now          func() time.Duration
	last         time.Duration
	rate         float64 // bytes per second
	tokens       float64 // bytes that may be sent; negative while in debt
	urgentTokens float64 // bytes that urgent messages may send
	inFlight     float64 // bytes admitted in exchanges that have not ended
}

func newBudget(bytesPerSecond int, now func() time.Duration) *budget {
	b := &budget{now: now, last: now(), rate: float64(bytesPerSecond)}
	b.tokens, b.urgentTokens = b.burst(), b.burst()
	return b
}

func (b *budget) burst() float64 { return b.rate * burstDuration.Seconds() }

func (b *budget) refill() {
	now := b.now()
	gained := (now - b.last).Seconds() * b.rate
	b.last = now
	b.tokens = min(b.tokens+gained, b.burst())
	b.urgentTokens = min(b.urgentTokens+gained, b.burst())
}

// shortfall returns how many bytes are missing until the class is admitted. The
// class is admitted while the result is negative.
func (b *budget) shortfall(c Class) float64 {
	switch c {
	case Urgent:
		return -b.urgentTokens
	case Bundle:
		return b.burst()*bundleReserve - (b.tokens - b.inFlight)
	default:
		return b.burst()*backgroundReserve - (b.tokens - b.inFlight)
	}
}

// admit reports whether the class may send now and, if so, reserves n bytes for
// the message.
func (b *budget) admit(c Class, n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill()
	if b.shortfall(c) >= 0 {
		return false
	}
	if c == Urgent {
		b.urgentTokens -= float64(n)
	}
	b.inFlight += float64(n)
	return true
}

// minWait returns the shortest time until the class can be admitted.
func (b *budget) minWait(c Class) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill()
	seconds := max(b.shortfall(c)/b.rate, 0)
	return time.Duration(seconds*float64(time.Second)) + time.Millisecond
}

// release ends the reservation of n bytes after their exchange.
func (b *budget) release(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inFlight -= float64(n)
}

// charge deducts n bytes that were written to a connection.
func (b *budget) charge(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill()
	b.tokens = max(b.tokens-float64(n), -b.rate*maxDebtDuration.Seconds())
}
