package poison

import (
	"crypto/sha256"
	"encoding/binary"
	"io"
)

// Request is what a Tracker knows of a request.
type Request struct {
	// fingerprint identifies the whole request. It is zero if that is not tracked.
	fingerprint Fingerprint
	customer    string
	// parts holds the parts of the prompt that other requests may share, without repetitions.
	parts []subject
}

// NewRequest returns a request of a customer. parts holds the IDs of the parts of its prompt that
// other requests may share. A zero fingerprint excludes the whole request.
func NewRequest(f Fingerprint, customer string, parts []string) Request {
	r := Request{fingerprint: f, customer: customer}
	for _, id := range parts {
		r.parts = append(r.parts, newPart(customer, id))
	}
	return r
}

// Fingerprint returns the fingerprint of the whole request.
func (r Request) Fingerprint() Fingerprint { return r.fingerprint }

// IsTracked reports whether anything of the request is tracked.
func (r Request) IsTracked() bool { return r.fingerprint != (Fingerprint{}) || len(r.parts) > 0 }

// subjects returns what a crash during a run of the request is evidence against: the parts only
// unless the run had got past its beginning.
func (r Request) subjects(hasPassed bool) []subject {
	var out []subject
	if r.fingerprint != (Fingerprint{}) {
		out = append(out, subject{fingerprint: r.fingerprint, customer: r.customer})
	}
	if !hasPassed {
		out = append(out, r.parts...)
	}
	return out
}

// newPart returns the subject for a part of prompts as a customer sends it.
func newPart(customer, id string) subject {
	h := sha256.New()
	for _, field := range []string{"part", customer, id} {
		var n [4]byte
		binary.BigEndian.PutUint32(n[:], uint32(len(field)))
		h.Write(n[:])
		io.WriteString(h, field)
	}
	s := subject{customer: customer, part: id}
	copy(s.fingerprint[:], h.Sum(nil))
	return s
}
