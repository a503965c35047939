package bundle

import (
	"crypto/sha256"
	"fmt"
	"slices"

	"github.com/go-faster/errors"

	"guavaloom.example/guavaloom/internal/service"
	"guavaloom.example/guavaloom/internal/target"
)

// MissingPartsError lists the parts that an assembly needs and that are absent or do
// not match their digest.
type MissingPartsError struct{ Parts []Digest }

// Error implements error.
func (e *MissingPartsError) Error() string {
	return fmt.Sprintf("%d parts are missing, first %s", len(e.Parts), e.Parts[0])
}

// Assembler rebuilds bundles from their parts. It keeps the leaves of the last bundle
// and verifies and decodes only those leaves of the next one that have changed.
type Assembler struct {
	leaves map[Digest][]record
}

// Assemble rebuilds a bundle with a new Assembler.
func Assemble(header []byte, part func(Digest) []byte) (*Bundle, *Encoded, error) {
	return new(Assembler).Assemble(header, part)
}

// Assemble rebuilds a bundle from a header and parts and verifies every digest.
// It returns a *MissingPartsError for missing index parts, and once these are
// complete for missing leaves. Content that is not in canonical form is rejected,
// since one bundle must have only one digest. The result shares memory with the
// Assembler and must not be changed.
func (a *Assembler) Assemble(header []byte, part func(Digest) []byte) (*Bundle, *Encoded, error) {
	h, err := DecodeHeader(header)
	if err != nil {
		return nil, nil, err
	}
	if !slices.IsSorted(h.Zones) || string(encode(h)) != string(header) {
		return nil, nil, notCanonical("header")
	}
	e := &Encoded{Header: header, Parts: make(map[Digest][]byte)}
	blobs, err := a.collectParts(e, h.Index, part)
	if err != nil {
		return nil, nil, err
	}
	digests, err := decodeIndex(h, blobs)
	if err != nil {
		return nil, nil, err
	}
	if blobs, err = a.collectParts(e, digests, part); err != nil {
		return nil, nil, err
	}
	b, err := a.buildBundle(h, digests, blobs)
	if err != nil {
		return nil, nil, err
	}
	return b, e, nil
}

func notCanonical(what string) error { return errors.Errorf("%s is not in canonical form", what) }

// collectParts returns the parts in the order of digests and adds them to e. If some
// are absent or altered, it returns a *MissingPartsError that lists them.
func (a *Assembler) collectParts(e *Encoded, digests []Digest, part func(Digest) []byte) ([][]byte, error) {
	var missing []Digest
	blobs := make([][]byte, len(digests))
	for i, d := range digests {
		blob := part(d)
		if _, verified := a.leaves[d]; blob == nil || !verified && Digest(sha256.Sum256(blob)) != d {
			missing = append(missing, d)
			continue
		}
		blobs[i] = blob
		e.Parts[d] = blob
	}
	if len(missing) > 0 {
		return nil, &MissingPartsError{missing}
	}
	return blobs, nil
}

func decodeIndex(h *Header, blobs [][]byte) ([]Digest, error) {
	var digests []Digest
	for i, blob := range blobs {
		var ix index
		if err := decoder.Unmarshal(blob, &ix); err != nil {
			return nil, errors.Wrap(err, "decode index part")
		}
		if string(encode(ix)) != string(blob) || i < len(blobs)-1 && len(ix.Leaves) != leavesPerIndex {
			return nil, notCanonical("index part")
		}
		digests = append(digests, ix.Leaves...)
	}
	if len(digests) != int(leafCount(h.Records)) {
		return nil, errors.Errorf("index lists %d leaves for %d records", len(digests), h.Records)
	}
	return digests, nil
}

// buildBundle builds the bundle from its leaves and keeps them for the next assembly.
func (a *Assembler) buildBundle(h *Header, digests []Digest, blobs [][]byte) (*Bundle, error) {
	b := &Bundle{Name: h.Name, Revision: h.Revision, Zones: h.Zones}
	leaves := make(map[Digest][]record, len(digests))
	targets := make(map[service.ID][]target.Target)
	count := uint32(0)
	for i, d := range digests {
		records, known := a.leaves[d]
		if !known {
			var err error
			if records, err = decodeLeaf(blobs[i]); err != nil {
				return nil, err
			}
		}
		leaves[d] = records
		count += uint32(len(records))
		for _, r := range records {
			if leafIndex(r.name(), uint32(len(digests))) != uint32(i) {
				return nil, notCanonical("leaf assignment of " + r.name())
			}
			if r.Service != nil {
				b.Services = append(b.Services, *r.Service)
			} else {
				targets[r.Owner] = append(targets[r.Owner], *r.Target)
			}
		}
	}
	if count != h.Records {
		return nil, errors.Errorf("bundle has %d records, header says %d", count, h.Records)
	}
	for i := range b.Services {
		s := &b.Services[i]
		s.Targets = targets[s.ID]
		delete(targets, s.ID)
	}
	if len(targets) > 0 {
		return nil, errors.Errorf("bundle has targets of %d services that it does not contain", len(targets))
	}
	b.sortCanonical()
	a.leaves = leaves
	return b, nil
}

// decodeLeaf decodes a leaf and checks that it is in canonical form.
func decodeLeaf(blob []byte) ([]record, error) {
	var l leaf
	if err := decoder.Unmarshal(blob, &l); err != nil {
		return nil, errors.Wrap(err, "decode leaf part")
	}
	for i, r := range l.Records {
		if (r.Service == nil) == (r.Target == nil) || r.Service != nil && (r.Service.Targets != nil || r.Owner != "") {
			return nil, errors.New("leaf part: record must hold either a service without targets or a target")
		}
		if r.Service != nil {
			sortRoutes(r.Service.Routes)
		}
		if i > 0 && l.Records[i-1].name() >= r.name() {
			return nil, notCanonical("record order of leaf part")
		}
	}
	if string(encode(l)) != string(blob) {
		return nil, notCanonical("leaf part")
	}
	return l.Records, nil
}
