package peer

import (
	"sync"
	"time"
)

const (
	// burstDuration is how much unused budget is kept: renewals of a second and a
	// step that follows them go out together.
	burstDuration = 4 * time.Second
	// maxDebtDuration bounds how long a large message or many answers hold up classes
	// below urgent.
	maxDebtDuration = 30 * time.Second
	// bundleReserve and backgroundReserve are the parts of the burst that a class
	// leaves to the classes before it.
	bundleReserve     = 0.25
	backgroundReserve = 0.50
)

// budget is the control budget in bytes per second. Bytes are charged when they
// are written to a connection. A message is admitted when its class's bucket
// is above the class's reserve, and its size is held until its exchange ends,
// so that messages admitted at the same time don't use the same bytes.
//
// Urgent messages have a bucket of the full rate of their own, so that debts of
// other classes never delay a lease; what they use is missing to the others.
type budget struct {
	mu           sync.Mutex
	now          func() time.Duration
	last         time.Duration
	rate         float64 // bytes per second
	tokens       float64 // bytes left, negative in debt
	urgentTokens float64 // bytes left to urgent messages
	inFlight     float64 // bytes admitted whose exchange has not ended
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

// shortfall returns how many bytes the class lacks before it is admitted.
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

// admit holds n bytes for a message and reports whether the class may send now.
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

// minWait returns how long the class has to minWait at least.
func (b *budget) minWait(c Class) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill()
	seconds := max(b.shortfall(c)/b.rate, 0)
	return time.Duration(seconds*float64(time.Second)) + time.Millisecond
}

// release ends the hold on n bytes after their exchange.
func (b *budget) release(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inFlight -= float64(n)
}

// charge takes n bytes that were written to a connection.
func (b *budget) charge(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill()
	b.tokens = max(b.tokens-float64(n), -b.rate*maxDebtDuration.Seconds())
}
