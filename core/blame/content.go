package blame

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"io"
)

// Content tells requests apart by what they ask for. Two attempts of one request
// have the same content, whatever their IDs, deadlines and entries. It is a
// cryptographic digest: nobody can make a request that shares another one's.
type Content [16]byte

// Of returns the content of a request. Headers are left out: they change from one
// attempt to the next, as does the event after which a stream goes on.
func Of(method, host, target, customer string, body []byte) Content {
	h := sha256.New()
	for _, part := range []string{method, host, target, customer} {
		var n [4]byte
		binary.BigEndian.PutUint32(n[:], uint32(len(part)))
		h.Write(n[:])
		io.WriteString(h, part)
	}
	h.Write(body)
	var c Content
	copy(c[:], h.Sum(nil))
	return c
}

// String returns the content as logs and the platform's objects spell it.
func (c Content) String() string { return hex.EncodeToString(c[:]) }

// Parse reads what String returned.
func Parse(s string) (Content, bool) {
	var c Content
	b, err := hex.DecodeString(s)
	if err != nil || len(b) != len(c) {
		return c, false
	}
	copy(c[:], b)
	return c, true
}
