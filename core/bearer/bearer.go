// Package bearer checks the token that operators send.
package bearer

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"
)

// Token is what operators must send.
type Token struct {
	// want is the hash of the token, so that the comparison takes the same
	// time whatever was sent.
	want [sha256.Size]byte
	open bool
}

// New returns the check of a token; an empty one lets everyone through.
func New(token string) *Token { return &Token{want: sha256.Sum256([]byte(token)), open: token == ""} }

// Allows reports whether a request carries the token.
func (t *Token) Allows(r *http.Request) bool {
	if t.open {
		return true
	}
	got := sha256.Sum256([]byte(strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")))
	return subtle.ConstantTimeCompare(got[:], t.want[:]) == 1
}
