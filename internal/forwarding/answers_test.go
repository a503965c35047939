package forwarding

import (
	"math/rand"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"guavaloom.example/guavaloom/internal/target"
)

// Load pattern: answers of 500 to 4,000 bytes, then a crowd in which two thirds of the answers
// are refusals of 150 bytes. Guards against refusals that are taken for answers, and against a
// crowd that teaches the instance that refusals are usual.
func TestRefusalsAreRecognizedInACrowd(t *testing.T) {
	var a answerSizes
	rng := rand.New(rand.NewSource(1))
	answer := func() uint32 { return 500 + uint32(rng.Intn(3500)) }
	for range 200 {
		a.refused(answer())
	}
	for n := range 500 { // 10 s of 50 answers a second
		if n%3 > 0 {
			must.True(t, a.refused(150), must.Sprint(n))
			continue
		}
		must.False(t, a.refused(answer()), must.Sprint(n))
	}
}

// Guards against a route whose answers became smaller for good being taken for failing.
func TestSmallerAnswersAreLearned(t *testing.T) {
	var a answerSizes
	for range 200 {
		a.refused(4000)
	}
	refused := 0
	for range 6000 { // two minutes of 50 answers a second
		if a.refused(1000) {
			refused++
		}
	}
	must.Positive(t, refused)
	must.False(t, a.refused(1000))
}

// Guards against a target that refuses its requests at once drawing the flows because it looks
// idle and quick.
func TestRefusingTargetGetsFewerFlows(t *testing.T) {
	count := func(detect bool) map[target.ID]int {
		b := newFixture()
		b.limits.DetectRefusals = detect
		b.put(0, b.entry("i-1", "booking", "a"))
		b.put(0, b.entry("i-2", "booking", "a"))
		placed := map[target.ID]int{}
		now := 10 * ms
		for n := range 160 {
			f := flowTo(bookingAddr, n)
			d := b.syn(now, f, 0)
			placed[d.Target.ID]++
			b.accept(now, f, d)
			b.data(now, f, d.Token, 101, 500, 10)
			size, work := uint32(800), 40*ms
			if n >= 60 && d.Target.ID == "i-1" {
				size, work = 150, 6*ms
			}
			now += work
			b.Handle(now, &Segment{Flow: f, ACK: true, FIN: true, Seq: 111, Ack: 500 + size, Token: d.Token})
		}
		return placed
	}
	must.GreaterEq(t, 75, count(false)["i-1"])
	must.LessEq(t, 30+25, count(true)["i-1"])
}

// Guards against routes of earlier configurations that fill the table of answer sizes for good, so
// that refusals on later routes are not noticed.
func TestAnswerSizesOfFormerRoutesAreDropped(t *testing.T) {
	b := newFixture()
	b.limits.DetectRefusals = true
	for n := range maxAnswerSizes {
		b.isRefusal(client(n), 1000)
	}
	b.Tick(time.Second)
	b.isRefusal(bookingAddr, 1000)
	must.MapContainsKey(t, b.answerSizes, bookingAddr)
	b.Tick(2 * time.Second)
	must.MapContainsKey(t, b.answerSizes, bookingAddr)
}
