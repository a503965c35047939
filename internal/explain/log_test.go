package explain

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

const sample = `   1.1 one {"class":"flow","flow":"c:1>s:1","instance":"one","level":"info","msg":"flow","reason":"placed","target":"i-1","time":"2026-05-24T13:04:43.100Z","verdict":"forward"}
{"class":"request","flow":"c:1>s:1","instance":"one","level":"info","msg":"request","request":"4711","target":"i-1","time":"2026-05-24T13:04:43.110Z","verdict":"forward"}
{"class":"target","instance":"two","level":"info","msg":"target suspected","target":"i-1","time":"2026-05-24T13:04:43.400Z"}
{"class":"target","instance":"two","level":"info","msg":"target suspected","target":"i-9","time":"2026-05-24T13:04:43.400Z"}
{"class":"view","instance":"one","kind":"servers","level":"info","msg":"source failed","source":"store","time":"2026-05-24T13:04:40.000Z"}
{"class":"view","instance":"two","kind":"servers","level":"info","msg":"source failed","source":"store","time":"2026-05-24T13:04:40.000Z"}
{"class":"view","change":"removed","instance":"one","level":"info","msg":"target","target":"i-1","time":"2026-05-24T13:04:46.000Z"}
{"class":"flow","flow":"c:1>s:1","instance":"two","level":"info","msg":"flow","reason":"target_ended","target":"i-1","time":"2026-05-24T13:04:46.500Z","verdict":"reset"}
{"class":"flow","flow":"c:2>s:1","instance":"two","level":"info","msg":"flow","reason":"placed","target":"i-1","time":"2026-05-24T13:04:43.500Z","verdict":"forward"}
{"class":"life","instance":"one","level":"info","msg":"start","time":"2026-05-24T13:00:00.000Z"}
not a line
`

// Guards against a result that lacks the lines of another instance or the lines that
// explain the outcome, or that includes other flows.
func TestRelatedLines(t *testing.T) {
	lines, unreadable, err := ReadLog(strings.NewReader(sample))
	must.NoError(t, err)
	must.Eq(t, 1, unreadable)
	for _, id := range []string{"4711", "c:1>s:1"} {
		related, err := RelatedLines(lines, id)
		must.NoError(t, err)
		var got []string
		for _, l := range related {
			got = append(got, l.Instance+" "+l.Message)
		}
		must.Eq(t, []string{
			"one source failed", "two source failed", "one flow", "one request", "two target suspected", "one target", "two flow",
		}, got, must.Sprint(id))
	}
	_, err = RelatedLines(lines, "4712")
	must.ErrorIs(t, err, ErrNoMatch)
	_, err = RelatedLines(lines, "")
	must.ErrorIs(t, err, ErrNoMatch)
}
