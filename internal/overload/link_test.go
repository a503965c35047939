package overload

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"guavaloom.example/guavaloom/internal/view"
)

// Load pattern: uploads of 40 KB arrive at twice the rate that a link of 10 Mbit/s carries,
// beside small requests that use a tenth of it. Guards against uploads that fill the link, so
// that the small requests wait, against a link that is left idle, and against uploads that stay
// rejected after the crowd.
func TestUploadsLeaveRoomOnTheLink(t *testing.T) {
	const (
		rate      = 1_250_000 // bytes a second
		uploads   = 60        // arrivals a second, each of 34 packets in about half a second
		perUpload = 34
		size      = 1272
		step      = time.Millisecond
	)
	l := Link{Rate: rate}
	open := map[int]int{} // packets left by upload
	admitted, bytes, over := 0, 0, 0
	for now := time.Duration(0); now < 10*time.Second; now += step {
		tick := int(now / step)
		crowd := now < 8*time.Second
		if crowd && tick*uploads/1000 != (tick+1)*uploads/1000 && l.Admits(now, view.Upload) {
			l.Count(now, view.Upload)
			admitted++
			open[admitted] = perUpload
		}
		if tick%10 == 0 {
			must.True(t, l.Admits(now, view.AtMostOnce))
			l.Use(now, 72, rate/1000-72)
		}
		for id := range open {
			if tick%15 != id%15 {
				continue // a packet of each upload every 15 ms
			}
			l.Use(now, 72, size-72)
			bytes += size
			if open[id]--; open[id] == 0 {
				delete(open, id)
			}
		}
		if now > time.Second && l.Load(now) > 1 {
			over++
		}
	}
	must.LessEq(t, 100, over, must.Sprint("milliseconds with a full link"))
	must.GreaterEq(t, 0.6*8*rate, float64(bytes))
	must.True(t, l.Admits(10*time.Second, view.Upload))
}

// Guards against rejections where the rate of the link is not known.
func TestUnknownLinkRate(t *testing.T) {
	var l Link
	l.Use(0, 72, 1<<30)
	must.True(t, l.Admits(0, view.Upload))
}

// Load pattern: packets of full size pass for a minute, a tenth of the link, on flows that are
// open already or of other kinds; then single uploads of 40 KB arrive. Guards against taking all
// these bytes for the size of the first uploads, so that further ones are rejected on a free link.
func TestBytesOfOpenFlowsAreNoUploadSize(t *testing.T) {
	l := Link{Rate: 1_250_000}
	now := time.Duration(0)
	pass := func(until time.Duration) {
		for ; now < until; now += 10 * time.Millisecond {
			l.Use(now, 72, 1178)
		}
	}
	pass(time.Minute)
	for n := range 20 {
		must.True(t, l.Admits(now, view.Upload), must.Sprint("upload ", n, ", load ", l.Load(now)))
		l.Count(now, view.Upload)
		for range 32 {
			l.Use(now, 72, 1178)
		}
		pass(now + 200*time.Millisecond)
	}
}
