package targetreport

import (
	"bytes"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/shoenig/test/must"
)

func fullReport() *Report {
	r := &Report{Sequence: 0xffffffff}
	for n := range MaxEntries {
		r.Entries = append(r.Entries, Entry{
			Token: 0xffffffff - uint32(n), Incarnation: 0xffff, Latency: maxUnits * latencyUnit, Answers: maxUnits, Silence: maxUnits * silenceUnit,
		})
	}
	return r
}

func mustDecode(t testing.TB, b []byte) Report {
	t.Helper()
	r, err := Decode(b)
	must.NoError(t, err)
	return r
}

func mustEncode(t testing.TB, r *Report) []byte {
	t.Helper()
	b, err := r.Encode()
	must.NoError(t, err)
	return b
}

// Guards against a full report that exceeds the size of a datagram, and against entries that
// change on the way.
func TestFullReport(t *testing.T) {
	r := fullReport()
	b := mustEncode(t, r)
	must.LessEq(t, MaxBytes, len(b))
	must.Eq(t, *r, mustDecode(t, b))

	r.Entries = append(r.Entries, Entry{Token: 1})
	must.Eq(t, b, mustEncode(t, r), must.Sprint("entries beyond the bound"))
}

// Guards against values whose rounding turns a silent target into one that is not, and against
// overflow of the units.
func TestUnits(t *testing.T) {
	for _, c := range []struct{ in, want Entry }{
		{Entry{Silence: time.Millisecond}, Entry{Silence: 100 * time.Millisecond}},
		{Entry{Silence: time.Hour}, Entry{Silence: 25500 * time.Millisecond}},
		{Entry{Latency: 1, Answers: 1}, Entry{Latency: 10, Answers: 1}},
		{Entry{Latency: 154, Answers: 300}, Entry{Latency: 150, Answers: 255}},
		{Entry{Latency: 1 << 40, Answers: -1, Silence: -1}, Entry{Latency: 2550}},
	} {
		must.Eq(t, []Entry{c.want}, mustDecode(t, mustEncode(t, &Report{Entries: []Entry{c.in}})).Entries)
	}
}

// Guards against datagrams of another version or form that are read as reports, and against
// drops that are counted under the wrong reason.
func TestRejectedDatagrams(t *testing.T) {
	encode := func(v any) []byte {
		b, err := cbor.Marshal(v)
		must.NoError(t, err)
		return b
	}
	for name, c := range map[string]struct {
		data []byte
		want error
	}{
		"empty":             {nil, ErrMalformed},
		"text":              {[]byte("hello"), ErrMalformed},
		"no elements":       {encode([]any{}), ErrMalformed},
		"no version":        {encode([]any{"1", 1, []byte{}}), ErrMalformed},
		"later version":     {encode([]any{2, map[string]int{"a": 1}}), ErrVersion},
		"missing entries":   {encode([]any{1, 1}), ErrMalformed},
		"one element more":  {encode([]any{1, 1, []byte{}, 1}), ErrMalformed},
		"negative sequence": {encode([]any{1, -1, []byte{}}), ErrMalformed},
		"part of an entry":  {encode([]any{1, 1, make([]byte, entryBytes+1)}), ErrMalformed},
		"nested":            {bytes.Repeat([]byte{0x81}, MaxBytes), ErrMalformed},
		"followed by more":  {append(mustEncode(t, &Report{}), 0), ErrMalformed},
		"endless":           {[]byte{0x9f, 1, 1, 0x40, 0xff}, ErrMalformed},
		"huge array":        {[]byte{0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}, ErrMalformed},
		"huge byte string":  {[]byte{0x83, 1, 1, 0x5b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}, ErrMalformed},
		"33 entries":        {encode([]any{1, 1, make([]byte, 33*entryBytes)}), ErrOversized},
		"oversized":         {make([]byte, MaxBytes+1), ErrOversized},
	} {
		_, err := Decode(c.data)
		must.ErrorIs(t, err, c.want, must.Sprint(name))
	}
}

// Guards against datagrams that crash the decoder, and against accepted ones that can't be encoded
// again within the bound.
func FuzzReport(f *testing.F) {
	f.Add(mustEncode(f, fullReport()))
	f.Add(mustEncode(f, &Report{Sequence: 7, Entries: []Entry{{Token: 1, Latency: 200, Answers: 3}}}))
	f.Add([]byte{0x83, 2, 1, 0x40})
	f.Add([]byte{0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := Decode(data)
		if err != nil {
			return
		}
		must.LessEq(t, MaxEntries, len(r.Entries))
		b := mustEncode(t, &r)
		must.LessEq(t, MaxBytes, len(b))
		must.Eq(t, r, mustDecode(t, b))
	})
}
