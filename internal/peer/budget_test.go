package peer

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against a class that uses the reserve of a more urgent one, and against a
// long-term rate above the budget.
func TestBudgetClasses(t *testing.T) {
	now := time.Duration(0)
	b := newBudget(1000, func() time.Duration { return now }) // burst 4000 bytes
	send := func(c Class, n int) bool {
		if !b.admit(c, n) {
			return false
		}
		b.charge(n)
		b.release(n)
		return true
	}
	count := func(c Class) (n int) {
		for send(c, 100) {
			n++
		}
		return n
	}
	must.Eq(t, 20, count(Background)) // down to half of the burst
	must.Eq(t, 10, count(Bundle))     // down to a quarter
	must.Eq(t, 40, count(Urgent))     // from its own bucket
	must.False(t, send(Bundle, 1))
	must.LessEq(t, 6001*time.Millisecond, b.minWait(Background)) // debt 3000 and reserve 2000 at 1000/s
	must.Greater(t, 4999*time.Millisecond, b.minWait(Background))

	total := 0
	for range 1000 {
		now += time.Second
		total += 100 * (count(Background) + count(Bundle))
	}
	must.Between(t, 990_000, total, 1_002_100) // 1000 bytes/s after the debt
}

// Guards against admitting concurrent messages on the same tokens.
func TestBudgetHoldsAdmittedBytes(t *testing.T) {
	b := newBudget(1000, func() time.Duration { return 0 })
	must.True(t, b.admit(Background, 3000))
	must.False(t, b.admit(Background, 1))
	b.release(3000)
	must.True(t, b.admit(Background, 1))
}

// Guards against debt that blocks the classes below urgent for longer than
// maxDebtDuration and the burst.
func TestBudgetDebtIsBounded(t *testing.T) {
	b := newBudget(1000, func() time.Duration { return 0 })
	b.charge(1 << 30)
	must.LessEq(t, maxDebtDuration+burstDuration, b.minWait(Background))
	must.True(t, b.admit(Urgent, 100))
}
