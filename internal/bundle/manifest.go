package bundle

import (
	"crypto/sha256"

	"github.com/go-faster/errors"

	"guavaloom.example/guavaloom/internal/zone"
)

// RetiredUse is an address use that a revision removed and whose address may not be
// given to another service yet.
type RetiredUse struct {
	Use     AddressUse    `cbor:"1,keyasint" json:"use"`
	Removed zone.Revision `cbor:"2,keyasint" json:"removed"`
}

// Manifest is the value of the store's object bundle/current. Signatures cover only
// Header; the other fields describe the rollout.
type Manifest struct {
	Header     []byte       `cbor:"1,keyasint"`
	Signatures []Signature  `cbor:"2,keyasint"`
	RollID     string       `cbor:"3,keyasint"`
	Operator   string       `cbor:"4,keyasint"`
	Retired    []RetiredUse `cbor:"5,keyasint,omitempty"`
}

// Digest returns the digest of the bundle.
func (m *Manifest) Digest() Digest { return sha256.Sum256(m.Header) }

// Encode returns the manifest as it is stored.
func (m *Manifest) Encode() []byte { return encode(m) }

// DecodeManifest decodes a manifest and its header without verifying signatures.
func DecodeManifest(data []byte) (*Manifest, *Header, error) {
	var m Manifest
	if len(data) > MaxValueBytes {
		return nil, nil, errors.Errorf("manifest has %d bytes, allowed are up to %d", len(data), MaxValueBytes)
	}
	if err := decoder.Unmarshal(data, &m); err != nil {
		return nil, nil, errors.Wrap(err, "decode manifest")
	}
	h, err := DecodeHeader(m.Header)
	if err != nil {
		return nil, nil, err
	}
	return &m, h, nil
}

// VerifyManifest decodes a manifest and checks its bundle name and signatures.
func (p Policy) VerifyManifest(data []byte) (*Manifest, *Header, error) {
	m, h, err := DecodeManifest(data)
	if err != nil {
		return nil, nil, err
	}
	if h.Name != p.Name {
		return nil, nil, errors.Errorf("bundle is for %q, this installation is %q", h.Name, p.Name)
	}
	if err := p.Verify(m.Digest(), m.Signatures); err != nil {
		return nil, nil, err
	}
	return m, h, nil
}
