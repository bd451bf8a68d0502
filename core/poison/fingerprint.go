package poison

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"io"
)

// Fingerprint identifies a request by its content, so that its retries have the same
// fingerprint at every entry. It is a truncated cryptographic hash: nobody can craft a
// request that collides with another caller's.
type Fingerprint [16]byte

// NewFingerprint returns the fingerprint of a request. Headers are left out, because
// request IDs, deadlines and the event from which to resume a stream differ between
// attempts.
func NewFingerprint(method, host, target, customer string, body []byte) Fingerprint {
	h := sha256.New()
	for _, part := range []string{method, host, target, customer} {
		var n [4]byte
		binary.BigEndian.PutUint32(n[:], uint32(len(part)))
		h.Write(n[:])
		io.WriteString(h, part)
	}
	h.Write(body)
	var f Fingerprint
	copy(f[:], h.Sum(nil))
	return f
}

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// ParseFingerprint is the inverse of String.
func ParseFingerprint(s string) (Fingerprint, bool) {
	var f Fingerprint
	b, err := hex.DecodeString(s)
	if err != nil || len(b) != len(f) {
		return f, false
	}
	copy(f[:], b)
	return f, true
}
