package replica

import (
	"bytes"

	"github.com/go-faster/errors"

	"guavaloom.example/guavaloom/internal/objectstore"
)

const (
	// minDeltaValueSize is the smallest value in bytes that is told as a difference; smaller
	// ones are not worth the former value in memory.
	minDeltaValueSize = 2048
	// maxDeltaShare is the largest size of a difference, as a part of the value's.
	maxDeltaShare = 0.5
	// chunkDelimiter ends the pieces by which two values are compared. Values are JSON, whose
	// objects end with it.
	chunkDelimiter = '}'
)

// Delta tells the value of an object by what it shares with the value of an earlier
// version.
type Delta struct {
	Key     string              `cbor:"1,keyasint"`
	Version objectstore.Version `cbor:"2,keyasint"`
	Base    objectstore.Version `cbor:"3,keyasint"`
	Parts   []Part              `cbor:"4,keyasint,omitempty"`
}

// Part is a run of bytes of a value: Len bytes of the earlier value from the offset
// From, then Text.
type Part struct {
	Offset  int    `cbor:"1,keyasint,omitempty"`
	Len     int    `cbor:"2,keyasint,omitempty"`
	Literal []byte `cbor:"3,keyasint,omitempty"`
}

// diff returns the parts that make value out of base.
func diff(base, value []byte) []Part {
	offsets := map[string]int{} // of the chunks of base
	for at, chunk := range chunks(base) {
		if _, known := offsets[string(chunk)]; !known {
			offsets[string(chunk)] = at
		}
	}
	var parts []Part
	for _, chunk := range chunks(value) {
		last := len(parts) - 1
		// The chunk that follows the last part goes before an equal one elsewhere.
		if last >= 0 && len(parts[last].Literal) == 0 && bytes.HasPrefix(base[parts[last].Offset+parts[last].Len:], chunk) {
			parts[last].Len += len(chunk)
			continue
		}
		if from, known := offsets[string(chunk)]; known {
			parts = append(parts, Part{Offset: from, Len: len(chunk)})
			continue
		}
		if last < 0 {
			parts = append(parts, Part{})
			last = 0
		}
		parts[last].Literal = append(parts[last].Literal, chunk...)
	}
	return parts
}

// chunks yields the pieces of b with their offsets.
func chunks(b []byte) func(yield func(at int, chunk []byte) bool) {
	return func(yield func(int, []byte) bool) {
		for at := 0; at < len(b); {
			end := len(b)
			if n := bytes.IndexByte(b[at:], chunkDelimiter); n >= 0 {
				end = at + n + 1
			}
			if !yield(at, b[at:end]) {
				return
			}
			at = end
		}
	}
}

// patch returns the value that the parts make out of base.
func patch(base []byte, parts []Part) ([]byte, error) {
	var value []byte
	for _, p := range parts {
		if p.Offset < 0 || p.Len < 0 || p.Offset > len(base) || p.Len > len(base)-p.Offset || len(value)+p.Len+len(p.Literal) > objectstore.MaxValue {
			return nil, errors.Errorf("part of %d bytes at %d does not fit a value of %d bytes", p.Len, p.Offset, len(base))
		}
		value = append(append(value, base[p.Offset:p.Offset+p.Len]...), p.Literal...)
	}
	return value, nil
}

// deltaSize returns about how many bytes the parts take.
func deltaSize(parts []Part) int {
	const perPart = 32 // two numbers and their names
	size := perPart * len(parts)
	for _, p := range parts {
		size += len(p.Literal)
	}
	return size
}
