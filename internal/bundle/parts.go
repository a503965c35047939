package bundle

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"guavaloom.example/guavaloom/internal/service"
	"guavaloom.example/guavaloom/internal/target"
	"guavaloom.example/guavaloom/internal/zone"
)

// Digest is a SHA-256 digest.
type Digest [sha256.Size]byte

// String returns the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// MarshalText implements encoding.TextMarshaler.
func (d Digest) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Digest) UnmarshalText(text []byte) error {
	b, err := hex.DecodeString(string(text))
	if err != nil || len(b) != len(d) {
		return errors.Errorf("bad digest %q", text)
	}
	copy(d[:], b)
	return nil
}

const (
	// recordsPerLeaf balances the size of a changed leaf against the size of the index.
	recordsPerLeaf = 16
	// leavesPerIndex makes an index part about 1 KB.
	leavesPerIndex = 32
	// MaxValueBytes is the platform's limit on the size of a value in bytes.
	MaxValueBytes = 1 << 20
	// maxRecords limits the number of parts that a header can make a reader fetch.
	maxRecords = 4 * MaxTargets
	format     = 1
)

// record holds either a service without its targets, or a target and the ID of its
// service. Records are assigned to leaves by a hash of their name, so that a change
// of one record changes one leaf, also if one service has all targets.
type record struct {
	Service *service.Service `cbor:"1,keyasint,omitempty"`
	Owner   service.ID       `cbor:"2,keyasint,omitempty"`
	Target  *target.Target   `cbor:"3,keyasint,omitempty"`
}

// name is unique within a bundle and sorts services before targets.
func (r record) name() string {
	if r.Service != nil {
		return "service " + string(r.Service.ID)
	}
	return "target " + string(r.Target.ID)
}

type leaf struct {
	Records []record `cbor:"1,keyasint"`
}

type index struct {
	Leaves []Digest `cbor:"2,keyasint"`
}

// Header is the root of a bundle's hash tree.
type Header struct {
	Format   uint64        `cbor:"1,keyasint"`
	Name     string        `cbor:"2,keyasint"`
	Revision zone.Revision `cbor:"3,keyasint"`
	Zones    []string      `cbor:"4,keyasint"`
	Records  uint32        `cbor:"5,keyasint"`
	Index    []Digest      `cbor:"6,keyasint"`
}

var encoder, decoder = codecs()

func codecs() (cbor.EncMode, cbor.DecMode) {
	enc := cbor.CoreDetEncOptions()
	enc.BinaryMarshaler = cbor.BinaryMarshalerByteString
	e, err := enc.EncMode()
	if err != nil {
		panic(err)
	}
	d, err := cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden}.DecMode()
	if err != nil {
		panic(err)
	}
	return e, d
}

// encode panics on an error: the types of this package hold only plain values, which
// can always be encoded.
func encode(v any) []byte {
	b, err := encoder.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}

// leafIndex returns the index of a record's leaf. It uses linear hashing: when the
// number of leaves grows by one, only one leaf is split and all others stay the
// same, so that a small change of a bundle never re-sends all of it.
func leafIndex(name string, leaves uint32) uint32 {
	h := xxhash.Sum64String(name)
	size := uint64(1)
	for size < uint64(leaves) {
		size *= 2
	}
	if b := h % size; b < uint64(leaves) {
		return uint32(b)
	}
	return uint32(h % (size / 2))
}

func leafCount(records uint32) uint32 { return max(1, (records+recordsPerLeaf-1)/recordsPerLeaf) }

// Encoded is an encoded bundle: its header, and its parts by digest.
type Encoded struct {
	Header []byte
	Parts  map[Digest][]byte
}

// Digest returns the canonical digest of the bundle, which signatures cover.
func (e *Encoded) Digest() Digest { return sha256.Sum256(e.Header) }

func (e *Encoded) add(part []byte) Digest {
	d := Digest(sha256.Sum256(part))
	e.Parts[d] = part
	return d
}

// Encode returns the canonical form of the bundle.
func (b *Bundle) Encode() *Encoded {
	var records []record
	for _, s := range b.Services {
		targets := s.Targets
		s.Targets = nil
		records = append(records, record{Service: &s})
		for i := range targets {
			records = append(records, record{Owner: s.ID, Target: &targets[i]})
		}
	}
	leaves := make([]leaf, leafCount(uint32(len(records))))
	for _, r := range records {
		l := &leaves[leafIndex(r.name(), uint32(len(leaves)))]
		l.Records = append(l.Records, r)
	}
	e := &Encoded{Parts: make(map[Digest][]byte)}
	header := Header{Format: format, Name: b.Name, Revision: b.Revision, Zones: b.Zones, Records: uint32(len(records))}
	for group := range slices.Chunk(leaves, leavesPerIndex) {
		var ix index
		for _, l := range group {
			slices.SortFunc(l.Records, func(x, y record) int { return compareNames(x, y) })
			ix.Leaves = append(ix.Leaves, e.add(encode(l)))
		}
		header.Index = append(header.Index, e.add(encode(ix)))
	}
	e.Header = encode(header)
	return e
}

func compareNames(x, y record) int {
	if x.name() < y.name() {
		return -1
	}
	return 1
}

// Digest returns the canonical digest of the bundle.
func (b *Bundle) Digest() Digest { return b.Encode().Digest() }

// DecodeHeader reads a header and checks its bounds.
func DecodeHeader(data []byte) (*Header, error) {
	var h Header
	if err := decoder.Unmarshal(data, &h); err != nil {
		return nil, errors.Wrap(err, "decode bundle header")
	}
	leaves := int(leafCount(h.Records))
	if h.Format != format || h.Records > maxRecords || len(h.Index) != (leaves+leavesPerIndex-1)/leavesPerIndex {
		return nil, errors.Errorf("invalid bundle header: format %d with %d records and %d index parts", h.Format, h.Records, len(h.Index))
	}
	return &h, nil
}
