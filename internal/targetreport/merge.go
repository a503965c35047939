package targetreport

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

const (
	// Lifetime is how long a report counts.
	Lifetime = 3 * time.Second
	// minSources is the number of instances needed for an effect: one may be wrong or cut off.
	minSources = 2
	// reorderWindow is how many reports a datagram may be behind the newest of its source to count
	// as old. A source sends 10 in the Lifetime; a larger distance means that it has restarted.
	reorderWindow = 16
	// maxTargets, maxSourcesPerTarget and maxSources bound the memory. Sixteen sources are more than
	// a decision needs.
	maxTargets          = 4096
	maxSourcesPerTarget = 16
	maxSources          = 1024
)

// Merger holds the reports received. It is not safe for concurrent use.
type Merger struct {
	sources map[netip.Addr]sequence
	targets map[uint32][]claim
}

// sequence is the newest report of a source.
type sequence struct {
	number uint32
	at     time.Duration
}

// claim is what a source reported of a target.
type claim struct {
	source netip.Addr
	at     time.Duration
	entry  Entry
}

// Merged is the result of all reports about a target that count.
type Merged struct {
	// SilentUntil is how long enough of the present reports say that the target is silent; 0 if
	// they do not.
	SilentUntil time.Duration
	// Latency is the relative latency in percent, valid until LatencyUntil; 0 if unknown.
	Latency      int
	LatencyUntil time.Duration
	// Sources is the number of instances with a report that counts.
	Sources int
}

// NewMerger returns a merger without reports.
func NewMerger() *Merger {
	return &Merger{sources: map[netip.Addr]sequence{}, targets: map[uint32][]claim{}}
}

// Add records a report. It returns false for one that is a duplicate or older than another one of
// its source, and for a source beyond the bound.
func (m *Merger) Add(now time.Duration, source netip.Addr, r *Report) bool {
	last, known := m.sources[source]
	if known && now < last.at+Lifetime && last.number-r.Sequence <= reorderWindow {
		return false
	}
	if !known && len(m.sources) >= maxSources {
		return false
	}
	m.sources[source] = sequence{r.Sequence, now}
	for _, e := range r.Entries[:min(len(r.Entries), MaxEntries)] {
		m.put(claim{source, now, e})
	}
	return true
}

// put replaces the source's earlier claim about the target, and the oldest of others if there are
// too many.
func (m *Merger) put(c claim) {
	claims, known := m.targets[c.entry.Token]
	if !known && len(m.targets) >= maxTargets {
		return
	}
	at := slices.IndexFunc(claims, func(o claim) bool { return o.source == c.source })
	if at < 0 && len(claims) >= maxSourcesPerTarget {
		at = 0
		for n, o := range claims {
			if o.at < claims[at].at {
				at = n
			}
		}
	}
	if at >= 0 {
		claims[at] = c
		return
	}
	m.targets[c.entry.Token] = append(claims, c)
}

// Expire drops what no longer counts.
func (m *Merger) Expire(now time.Duration) {
	for source, s := range m.sources {
		if now >= s.at+Lifetime {
			delete(m.sources, source)
		}
	}
	for token, claims := range m.targets {
		claims = slices.DeleteFunc(claims, func(c claim) bool { return now >= c.at+Lifetime })
		if len(claims) == 0 {
			delete(m.targets, token)
		} else {
			m.targets[token] = claims
		}
	}
}

// Tokens calls f for each target that has reports, expired ones included.
func (m *Merger) Tokens(f func(token uint32)) {
	for token := range m.targets {
		f(token)
	}
}

// Size returns the number of sources and of targets with reports.
func (m *Merger) Size() (sources, targets int) { return len(m.sources), len(m.targets) }

// Merge returns the result for a target's present incarnation. ownSilent means that this instance
// observes the target as silent too; it counts as one of the instances.
func (m *Merger) Merge(now time.Duration, token uint32, incarnation Incarnation, ownSilent bool) (out Merged) {
	var silent, answering []claim
	for _, c := range m.targets[token] {
		if now >= c.at+Lifetime || c.entry.Incarnation != incarnation {
			continue
		}
		out.Sources++
		switch {
		case c.entry.Silence > 0:
			silent = append(silent, c)
		case c.entry.Answers > 0 && c.entry.Latency > 0:
			answering = append(answering, c)
		}
	}
	needed := max(minSources, len(answering)+1)
	if ownSilent {
		needed--
	}
	out.SilentUntil = validUntil(silent, needed)
	if out.LatencyUntil = validUntil(answering, minSources); out.LatencyUntil > 0 {
		out.Latency = weightedMedian(answering)
	}
	return out
}

// validUntil returns when fewer than the needed claims will be left; 0 if that is so already.
func validUntil(claims []claim, needed int) time.Duration {
	if len(claims) < needed {
		return 0
	}
	slices.SortFunc(claims, func(a, b claim) int { return cmp.Compare(b.at, a.at) })
	return claims[needed-1].at + Lifetime
}

// weightedMedian returns the lower median of the latencies, weighted by the number of answers. The
// weight of each source is at most the sum of all others, so that the result is never above the
// second-highest latency: one source alone cannot raise it.
func weightedMedian(claims []claim) int {
	slices.SortFunc(claims, func(a, b claim) int { return cmp.Compare(a.entry.Latency, b.entry.Latency) })
	total := 0
	for _, c := range claims {
		total += c.entry.Answers
	}
	capped := 0
	weight := func(c claim) int { return min(c.entry.Answers, total-c.entry.Answers) }
	for _, c := range claims {
		capped += weight(c)
	}
	sum := 0
	for _, c := range claims {
		if sum += weight(c); 2*sum >= capped {
			return c.entry.Latency
		}
	}
	return claims[len(claims)-1].entry.Latency
}
