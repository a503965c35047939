package dispatch

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"guavaloom.example/guavaloom/internal/target"
)

// requestHistory records what actually happened to a request.
type requestHistory struct {
	req      Request
	sent     []AttemptKey
	ran      int
	open     map[uint32]bool // attempts whose end has not been reported
	ends     int
	finished bool
}

// Guards against running a non-idempotent request twice, against reporting a request
// that ran as not run, and against accepting the answer of another request, attempt
// or service. Results arrive in random order, are lost, or carry a wrong key.
func TestOutcomesUnderFaults(t *testing.T) {
	var doubleRuns, falseNotRun, wrongAnswers, answered int
	for seed := range int64(1000) {
		rng := rand.New(rand.NewSource(seed))
		d := New()
		now := time.Duration(0)
		all := map[RequestID]*requestHistory{}
		var admits []AttemptKey
		apply := func(actions []Action) {
			for _, a := range actions {
				q := all[a.Key.Request]
				switch a.Kind {
				case Admit:
					admits = append(admits, a.Key)
				case Send:
					must.SliceNotContains(t, q.sent, a.Key)
					q.sent = append(q.sent, a.Key)
					q.open[a.Key.Attempt] = true
				case Finish:
					must.False(t, q.finished)
					q.finished = true
					q.ends++
					if a.Outcome == Refused && (q.ran > 0 || len(q.open) > 0) {
						falseNotRun++
					}
					if a.Outcome == Answered {
						answered++
						if q.ran == 0 {
							wrongAnswers++
						}
					}
				}
			}
		}
		for id := RequestID(1); id <= 40; id++ {
			q := &requestHistory{req: Request{ID: id, Service: "s", Deadline: now + time.Duration(rng.Intn(300))*time.Millisecond, Idempotent: rng.Intn(2) == 0}, open: map[uint32]bool{}}
			all[id] = q
			apply(d.Begin(now, q.req))
			for range 12 {
				now += time.Duration(rng.Intn(5)) * time.Millisecond
				randomStep(rng, d, now, all, &admits, apply)
			}
		}
		now += time.Second
		apply(d.Expire(now))
		must.Eq(t, 0, d.Unfinished())
		for _, q := range all {
			must.Eq(t, 1, q.ends, must.Sprint("seed ", seed))
			if !q.req.Idempotent && q.ran > 1 {
				doubleRuns++
			}
		}
		s := d.Stats()
		must.LessEq(t, 1.1*float64(s.Accepted)+1, float64(s.Sent))
	}
	t.Log(answered, "answered")
	must.Eq(t, []int{0, 0, 0}, []int{doubleRuns, falseNotRun, wrongAnswers})
}

func randomStep(rng *rand.Rand, d *Dispatcher, now time.Duration, all map[RequestID]*requestHistory, admits *[]AttemptKey, apply func([]Action)) {
	id := RequestID(1 + rng.Intn(len(all)))
	q := all[id]
	switch r := rng.Intn(10); {
	case r < 4 && len(*admits) > 0:
		at := rng.Intn(len(*admits))
		k := (*admits)[at]
		*admits = append((*admits)[:at], (*admits)[at+1:]...)
		if rng.Intn(5) == 0 {
			apply(d.NotAdmitted(now, k, "queue_full", time.Second))
		} else {
			apply(d.Admitted(now, k, target.ID(fmt.Sprint(rng.Intn(9)))))
		}
	case r < 8 && len(q.sent) > 0:
		reportEnd(rng, d, now, q, apply)
	case r == 8 && rng.Intn(4) == 0:
		apply(d.Cancel(now, id, CallerDisconnected))
	case r == 9:
		apply(d.Expire(now))
	}
}

// reportEnd reports the end of an open attempt, or an answer whose key matches no
// attempt in flight.
func reportEnd(rng *rand.Rand, d *Dispatcher, now time.Duration, q *requestHistory, apply func([]Action)) {
	k := q.sent[rng.Intn(len(q.sent))]
	if rng.Intn(4) == 0 { // the answer of another attempt or service
		k.Attempt += uint32(1 + rng.Intn(2))
		if rng.Intn(2) == 0 {
			k.Attempt, k.Service = q.sent[0].Attempt, "other"
		}
		if !q.open[k.Attempt] || k.Service == "other" {
			apply(d.AttemptEnded(now, k, Result{Kind: Complete}))
		}
		return
	}
	if !q.open[k.Attempt] {
		return
	}
	delete(q.open, k.Attempt)
	kind := []ResultKind{Complete, Unsent, NotRun, Lost}[rng.Intn(4)]
	if kind == Complete || kind == Lost && rng.Intn(2) == 0 {
		q.ran++
	}
	apply(d.AttemptEnded(now, k, Result{Kind: kind, Reason: TargetShed}))
}
