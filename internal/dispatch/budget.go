package dispatch

// Budget is a token bucket that is refilled by requests instead of by time: the
// retry budget by answered ones, the spill budget by all that arrive.
type Budget struct {
	share  float64
	limit  float64
	tokens float64
}

const (
	// retryShare limits retries to 10 % of recent successes.
	retryShare = 0.10
	// spillShare limits requests sent to another zone to 10 % of all requests.
	spillShare = 0.10
	// budgetBurst is the capacity in tokens, so that a burst of failures cannot
	// spend what requests long ago have earned.
	budgetBurst = 10
	// initialTokens allows one retry before a new instance has had a success.
	initialTokens = 1
)

// NewBudget returns a budget that gains share tokens per call of Earn, up to limit tokens.
func NewBudget(share, limit float64) *Budget {
	return &Budget{share: share, limit: limit, tokens: initialTokens}
}

// Earn adds the tokens for one request.
func (b *Budget) Earn() { b.tokens = min(b.limit, b.tokens+b.share) }

// Take removes one token and reports whether one was available.
func (b *Budget) Take() bool {
	// In floating point, ten additions of 0.1 give slightly less than 1.
	if b.tokens < 1-1e-9 {
		return false
	}
	b.tokens--
	return true
}
