package idempotency

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"guavaloom.example/guavaloom/internal/instance"
)

// TokenPrefix starts every token. Clients' own keys with this prefix are refused.
const TokenPrefix = "gl1."

// macBytes is the length of a truncated HMAC-SHA256 (RFC 2104, section 5).
const macBytes = 16

// Token identifies an idempotency token. A request with the token may run only at
// the incarnation that the token names.
type Token struct {
	Zone        string               `cbor:"1,keyasint"`
	Instance    instance.ID          `cbor:"2,keyasint"`
	Incarnation instance.Incarnation `cbor:"3,keyasint"`
	Sequence    uint64               `cbor:"4,keyasint"`
}

// ErrToken is returned for a token that no instance of this fleet issued.
var ErrToken = errors.New("invalid idempotency token")

// Encode returns the token's text form, authenticated with the fleet's key.
func (t Token) Encode(key []byte) string {
	body, err := cbor.Marshal(t)
	if err != nil {
		return "" // unreachable: a struct of strings and integers always encodes
	}
	return TokenPrefix + base64.RawURLEncoding.EncodeToString(append(tokenMAC(key, body), body...))
}

// ParseToken verifies the authentication code of the token in s and decodes it.
func ParseToken(key []byte, s string) (Token, error) {
	raw, err := base64.RawURLEncoding.DecodeString(strings.TrimPrefix(s, TokenPrefix))
	if err != nil || len(raw) <= macBytes || !strings.HasPrefix(s, TokenPrefix) {
		return Token{}, ErrToken
	}
	if !hmac.Equal(raw[:macBytes], tokenMAC(key, raw[macBytes:])) {
		return Token{}, ErrToken
	}
	var t Token
	if err := cbor.Unmarshal(raw[macBytes:], &t); err != nil {
		return Token{}, ErrToken
	}
	return t, nil
}

func tokenMAC(key, body []byte) []byte {
	m := hmac.New(sha256.New, key)
	m.Write([]byte("guavaloom idempotency token\x00"))
	m.Write(body)
	return m.Sum(nil)[:macBytes]
}
