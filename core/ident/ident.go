// Package ident defines the IDs of requests.
package ident

import (
	"encoding/hex"
	"errors"
)

// Size is the length of an ID in bytes.
const Size = 16

// ErrMalformed reports text that is not an ID.
var ErrMalformed = errors.New("ident: malformed ID: give 32 hexadecimal digits")

// ID identifies one request for its whole life. The first half is the incarnation of
// the entry that accepted the request and the second half is a counter. So two
// entries, or one entry before and after a restart, never create the same ID.
type ID [Size]byte

// Make returns the ID with the counter n of an incarnation.
func Make(incarnation, n uint64) ID {
	var id ID
	for i := range 8 {
		id[i] = byte(incarnation >> (56 - 8*i))
		id[8+i] = byte(n >> (56 - 8*i))
	}
	return id
}

// Incarnation returns the incarnation of the entry that created the ID.
func (id ID) Incarnation() uint64 {
	var v uint64
	for i := range 8 {
		v = v<<8 | uint64(id[i])
	}
	return v
}

// IsZero reports whether the ID is unset.
func (id ID) IsZero() bool { return id == ID{} }

// String returns the ID as 32 hexadecimal digits.
func (id ID) String() string { return hex.EncodeToString(id[:]) }

// Parse parses the output of String. It returns ErrMalformed for any other text.
func Parse(s string) (ID, error) {
	var id ID
	if len(s) != 2*Size {
		return id, ErrMalformed
	}
	if _, err := hex.Decode(id[:], []byte(s)); err != nil {
		return ID{}, ErrMalformed
	}
	return id, nil
}
