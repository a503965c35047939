package replica

import (
	"bytes"

	"github.com/go-faster/errors"

	"guavaloom.example/guavaloom/internal/objectstore"
)

const (
	// minDeltaValueSize is the size in bytes from which a value is sent as a delta; for
	// smaller ones, keeping the previous value is not worth the memory.
	minDeltaValueSize = 2048
	// maxDeltaShare is the largest size of a delta, as a fraction of the value's size.
	maxDeltaShare = 0.5
	// chunkDelimiter ends the chunks in which two values are compared. Values are JSON, whose
	// objects end with it.
	chunkDelimiter = '}'
)

// Delta describes the value of an object as a difference from the value of an earlier
// version, Base.
type Delta struct {
	Key     string              `cbor:"1,keyasint"`
	Version objectstore.Version `cbor:"2,keyasint"`
	Base    objectstore.Version `cbor:"3,keyasint"`
	Parts   []Part              `cbor:"4,keyasint,omitempty"`
}

// Part yields a run of bytes of a value: Len bytes of the base value from Offset, then
// Literal.
type Part struct {
	Offset  int    `cbor:"1,keyasint,omitempty"`
	Len     int    `cbor:"2,keyasint,omitempty"`
	Literal []byte `cbor:"3,keyasint,omitempty"`
}

// diff returns the parts that turn base into value.
func diff(base, value []byte) []Part {
	offsets := map[string]int{} // of the chunks in base
	for at, chunk := range chunks(base) {
		if _, known := offsets[string(chunk)]; !known {
			offsets[string(chunk)] = at
		}
	}
	var parts []Part
	for _, chunk := range chunks(value) {
		last := len(parts) - 1
		// Prefer to extend the last part over an equal chunk elsewhere in base.
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

// chunks yields the chunks of b with their offsets.
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

// patch returns the value that the parts make of base.
func patch(base []byte, parts []Part) ([]byte, error) {
	var value []byte
	for _, p := range parts {
		if p.Offset < 0 || p.Len < 0 || p.Offset > len(base) || p.Len > len(base)-p.Offset || len(value)+p.Len+len(p.Literal) > objectstore.MaxValue {
			return nil, errors.Errorf("part of %d bytes at offset %d does not fit a base value of %d bytes", p.Len, p.Offset, len(base))
		}
		value = append(append(value, base[p.Offset:p.Offset+p.Len]...), p.Literal...)
	}
	return value, nil
}

// deltaSize returns the approximate encoded size of the parts in bytes.
func deltaSize(parts []Part) int {
	const perPart = 32 // two integers and their CBOR keys
	size := perPart * len(parts)
	for _, p := range parts {
		size += len(p.Literal)
	}
	return size
}
