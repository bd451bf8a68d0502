// Package bearer checks the token that operators send.
package bearer

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"
)

// Token checks the token that operators must send.
type Token struct {
	// hash is the hash of the token, so that the duration of the comparison does not
	// depend on what was sent.
	hash     [sha256.Size]byte
	allowAll bool
}

// New returns the check of a token. An empty token allows every request.
func New(token string) *Token {
	return &Token{hash: sha256.Sum256([]byte(token)), allowAll: token == ""}
}

// Allows reports whether a request carries the token as its bearer token.
func (t *Token) Allows(r *http.Request) bool {
	if t.allowAll {
		return true
	}
	got := sha256.Sum256([]byte(strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")))
	return subtle.ConstantTimeCompare(got[:], t.hash[:]) == 1
}
