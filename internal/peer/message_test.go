package peer

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/shoenig/test/must"

	"guavaloom.example/guavaloom/internal/instance"
	"guavaloom.example/guavaloom/internal/zone"
)

type sample struct {
	Version zone.Version
	Slots   zone.Bitmap
	Members []instance.Ref
}

func sampleRegistry() *Registry {
	r := NewRegistry()
	Register[sample](r, 210, Urgent)
	return r
}

// Guards against deeply nested, oversized or indefinite-length encodings that
// exhaust the receiver's memory or stack.
func TestHostileEncodings(t *testing.T) {
	r := sampleRegistry()
	nested := make([]byte, 100)
	for i := range nested {
		nested[i] = 0x81 // array of one
	}
	for name, body := range map[string][]byte{
		"nested":     append(nested, 0),
		"huge array": {0x9b, 0, 0, 0, 0xff, 0, 0, 0, 0},
		"indefinite": {0xbf, 0xff},
		"truncated":  {0xa1, 0x01},
	} {
		_, err := r.decode(Envelope{Kind: 210, Body: body})
		must.Error(t, err, must.Sprint(name))
	}
	_, err := r.decode(Envelope{Kind: 99, Body: []byte{0xa0}})
	must.ErrorIs(t, err, ErrUnregistered)
}

// Guards against a panic on hostile input, and against a decoded message that
// can't be encoded again.
func FuzzExchange(f *testing.F) {
	r := sampleRegistry()
	body, err := cbor.Marshal(sample{Version: zone.Version{Term: 1, Seq: 2}, Slots: zone.NewBitmap(251), Members: make([]instance.Ref, 2)})
	must.NoError(f, err)
	whole, err := codec{}.Marshal(&exchange{From: instance.Ref{ID: "a"}, Messages: []Envelope{{Kind: 210, Body: body}, {Kind: 0, Body: []byte{0x61, 'x'}}}})
	must.NoError(f, err)
	f.Add(whole)
	f.Fuzz(func(t *testing.T, b []byte) {
		var in exchange
		if (codec{}).Unmarshal(b, &in) != nil {
			return
		}
		for _, e := range in.Messages {
			_ = decodeFailure(e)
			if msg, err := r.decode(e); err == nil {
				_, _, err = r.encode(msg)
				must.NoError(t, err)
			}
		}
	})
}
