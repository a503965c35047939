package bundle

import (
	"cmp"
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"strings"

	"github.com/go-faster/errors"
)

// KeyID is the first 8 bytes of the SHA-256 digest of a public key, in hexadecimal.
type KeyID string

// KeyIDOf returns the ID of a public key.
func KeyIDOf(key ed25519.PublicKey) KeyID {
	sum := sha256.Sum256(key)
	return KeyID(hex.EncodeToString(sum[:8]))
}

// Signature is one operator's signature over a bundle's digest.
type Signature struct {
	Key   KeyID  `cbor:"1,keyasint"`
	Value []byte `cbor:"2,keyasint"`
}

// signedMessage returns the message that is signed for a digest. The prefix prevents
// a signature from being valid for another use of the key.
func signedMessage(d Digest) []byte { return append([]byte("guavaloom bundle 1\n"), d[:]...) }

// Sign signs the digest of a bundle.
func Sign(d Digest, key ed25519.PrivateKey) Signature {
	public := key.Public().(ed25519.PublicKey)
	return Signature{Key: KeyIDOf(public), Value: ed25519.Sign(key, signedMessage(d))}
}

// Policy defines the name and the signatures that a bundle must have.
type Policy struct {
	Name string // required bundle name
	Keys map[KeyID]ed25519.PublicKey
	// Threshold is the number of different keys that must have signed. Values below
	// 1 count as 1.
	Threshold int
}

// Verify checks signatures over a digest. Any signature that does not verify is
// an error even if the threshold is met, since it shows that the manifest was altered.
func (p Policy) Verify(d Digest, signatures []Signature) error {
	valid := make(map[KeyID]bool)
	for _, s := range signatures {
		key, known := p.Keys[s.Key]
		if !known {
			return errors.Errorf("signature by unknown key %q", s.Key)
		}
		if !ed25519.Verify(key, signedMessage(d), s.Value) {
			return errors.Errorf("signature by key %s does not match digest %s", s.Key, d)
		}
		valid[s.Key] = true
	}
	if need := max(p.Threshold, 1); len(valid) < need {
		return errors.Errorf("%d valid signatures, required are %d", len(valid), need)
	}
	return nil
}

// FormatSignatures returns the content of a signature file.
func FormatSignatures(d Digest, signatures []Signature) []byte {
	var b strings.Builder
	for _, s := range signatures {
		fmt.Fprintf(&b, "%s %s %x\n", d, s.Key, s.Value)
	}
	return []byte(b.String())
}

// ParseSignatures returns the signatures over digest d from a signature file. A
// signature over another digest is an error: the bundle was changed after signing.
func ParseSignatures(file string, data []byte, d Digest) ([]Signature, error) {
	var found []Signature
	for i, line := range strings.Split(string(data), "\n") {
		fields := strings.Fields(line)
		if len(fields) == 0 {
			continue
		}
		if len(fields) != 3 {
			return nil, errors.Errorf("%s:%d: bad signature line, allowed is DIGEST KEY SIGNATURE", file, i+1)
		}
		value, err := hex.DecodeString(fields[2])
		if err != nil || len(value) != ed25519.SignatureSize {
			return nil, errors.Errorf("%s:%d: bad signature, allowed are %d bytes in hexadecimal", file, i+1, ed25519.SignatureSize)
		}
		if fields[0] != d.String() {
			return nil, errors.Errorf("%s:%d: signature is for digest %s, the bundle has %s", file, i+1, fields[0], d)
		}
		found = append(found, Signature{KeyID(fields[1]), value})
	}
	return found, nil
}

// MergeSignature returns the list, ordered by key, with a signature added or
// replaced if there is one by the same key.
func MergeSignature(list []Signature, s Signature) []Signature {
	list = slices.DeleteFunc(slices.Clone(list), func(o Signature) bool { return o.Key == s.Key })
	list = append(list, s)
	slices.SortFunc(list, func(x, y Signature) int { return cmp.Compare(x.Key, y.Key) })
	return list
}
