// Package strict finds answers that net/http accepts although HTTP/1.1 (RFC 9110 and RFC 9112)
// doesn't allow them. What the sender of such an answer meant is not known.
package strict

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
)

// CheckHead returns an error if resp has a version other than HTTP/1, or HTTP/2 where that was
// negotiated; a status that no answer can have: one outside of 100 to 599, or 101, which answers a
// request for an upgrade; or a malformed name of a field.
func CheckHead(resp *http.Response) error {
	isHTTP2 := resp.TLS != nil && resp.TLS.NegotiatedProtocol == "h2"
	switch status := resp.StatusCode; {
	case resp.ProtoMajor != 1 && !isHTTP2:
		return fmt.Errorf("strict: answer with version %s on a connection of HTTP/1", resp.Proto)
	case status < 100 || status > 599:
		return fmt.Errorf("strict: answer with status %03d, which HTTP doesn't define", status)
	case status == http.StatusSwitchingProtocols:
		return fmt.Errorf("strict: answer with status %d to a request without Upgrade", status)
	}
	return CheckNames(resp.Header)
}

// CheckNames returns an error if a name in h, the fields of a head or of a trailer, is no token.
func CheckNames(h http.Header) error {
	for name := range h {
		if name == "" || strings.ContainsFunc(name, func(c rune) bool { return !isTokenChar(c) }) {
			return fmt.Errorf("strict: answer with the malformed field name %q", name)
		}
	}
	return nil
}

// CheckEncoding returns an error if head, what has arrived of an answer so far, begins with a head of
// HTTP/1.0 that has a Transfer-Encoding, which only HTTP/1.1 defines. net/http drops that field and
// takes the encoded body for the body.
func CheckEncoding(head []byte) error {
	if !bytes.HasPrefix(head, []byte(version10)) {
		return nil
	}
	for line := range bytes.Lines(head) {
		name, _, isField := bytes.Cut(line, []byte(":"))
		if isField && bytes.EqualFold(name, []byte("Transfer-Encoding")) {
			return fmt.Errorf("strict: answer of %s with a Transfer-Encoding", version10)
		}
		if len(bytes.TrimSpace(line)) == 0 {
			return nil
		}
	}
	return nil
}

// maxRestBytes bounds what may follow the part of a body that a reader needs.
const maxRestBytes = 64 << 10

// ReadRest reads body to its end. Without that, neither the framing of the rest nor the trailer is
// checked, and the connection can't be used again.
func ReadRest(body io.Reader) error {
	switch _, err := io.CopyN(io.Discard, body, maxRestBytes+1); err {
	case io.EOF:
		return nil
	case nil:
		return fmt.Errorf("strict: answer with more than %d bytes after its content", maxRestBytes)
	default:
		return err
	}
}

func isTokenChar(c rune) bool {
	return '0' <= c && c <= '9' || 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || strings.ContainsRune("!#$%&'*+-.^_`|~", c)
}
