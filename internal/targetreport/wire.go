package targetreport

import (
	"encoding/binary"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
)

const (
	// MaxEntries and MaxBytes bound a datagram.
	MaxEntries = 32
	MaxBytes   = 300
	// version is the version of the encoding.
	version = 1
	// entryBytes is the size of an encoded entry: 32 of them and the envelope fit into MaxBytes.
	entryBytes = 9
	// latencyUnit and silenceUnit are the units of the encoded latency, in percent, and silence.
	latencyUnit = 10
	silenceUnit = 100 * time.Millisecond
	maxUnits    = 255
)

// Errors of Decode.
var (
	ErrOversized = errors.New("oversized report")
	ErrVersion   = errors.New("unknown version of a report")
	ErrMalformed = errors.New("malformed report")
)

// Incarnation is a fingerprint of a target's incarnation. Two differ with a probability of
// 65,535 in 65,536.
type Incarnation uint16

// IncarnationOf returns the fingerprint of a target's incarnation.
func IncarnationOf(n int64) Incarnation {
	// The multiplier of splitmix64: neighbouring values differ in the high bits.
	return Incarnation(uint64(n) * 0x9e3779b97f4a7c15 >> 48)
}

// Entry is what one instance observed of a target. It is encoded in coarse units: latency in
// tenths of the usual, silence in tenths of a second, at most 255 of each.
type Entry struct {
	Token       uint32
	Incarnation Incarnation
	// Latency is the mean latency in percent of the usual; 0 if there was no answer.
	Latency int
	// Answers is the number of answers in the last 3 s.
	Answers int
	// Silence is the time for which the target has been silent; 0 if it is not.
	Silence time.Duration
}

// Report is one datagram.
type Report struct {
	// Sequence increases by one with each report of an instance and begins at random.
	Sequence uint32
	Entries  []Entry
}

type envelope struct {
	_        struct{} `cbor:",toarray"`
	Version  uint64
	Sequence uint32
	Entries  []byte
}

// strict rejects whatever Encode does not produce, and bounds the nesting before it allocates.
var strict = func() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxNestedLevels: 4, MaxArrayElements: 16, MaxMapPairs: 16,
		IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// Encode returns a datagram with the first MaxEntries entries.
func (r *Report) Encode() ([]byte, error) {
	entries := r.Entries[:min(len(r.Entries), MaxEntries)]
	packed := make([]byte, 0, len(entries)*entryBytes)
	for _, e := range entries {
		packed = binary.BigEndian.AppendUint32(packed, e.Token)
		packed = binary.BigEndian.AppendUint16(packed, uint16(e.Incarnation))
		packed = append(packed, units(e.Latency, latencyUnit), units(e.Answers, 1), units(int(e.Silence), int(silenceUnit)))
	}
	return cbor.Marshal(envelope{Version: version, Sequence: r.Sequence, Entries: packed})
}

// units returns a value in units, rounded. A positive value is never 0, which means "none".
func units(n, unit int) byte {
	if n <= 0 {
		return 0
	}
	return byte(min(max((n+unit/2)/unit, 1), maxUnits))
}

// Decode reads a datagram.
func Decode(b []byte) (Report, error) {
	if len(b) > MaxBytes {
		return Report{}, ErrOversized
	}
	var raw []cbor.RawMessage
	if err := strict.Unmarshal(b, &raw); err != nil || len(raw) == 0 {
		return Report{}, ErrMalformed
	}
	// The version comes first: a later one may have other elements.
	var v uint64
	if err := strict.Unmarshal(raw[0], &v); err != nil {
		return Report{}, ErrMalformed
	}
	if v != version {
		return Report{}, ErrVersion
	}
	var e envelope
	if err := strict.Unmarshal(b, &e); err != nil || len(e.Entries)%entryBytes != 0 || len(e.Entries) > MaxEntries*entryBytes {
		return Report{}, ErrMalformed
	}
	r := Report{Sequence: e.Sequence, Entries: make([]Entry, 0, len(e.Entries)/entryBytes)}
	for p := e.Entries; len(p) > 0; p = p[entryBytes:] {
		r.Entries = append(r.Entries, Entry{
			Token:       binary.BigEndian.Uint32(p),
			Incarnation: Incarnation(binary.BigEndian.Uint16(p[4:])),
			Latency:     int(p[6]) * latencyUnit,
			Answers:     int(p[7]),
			Silence:     time.Duration(p[8]) * silenceUnit,
		})
	}
	return r, nil
}
