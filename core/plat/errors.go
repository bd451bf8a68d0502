package plat

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
)

// ErrNotFound reports an object that does not exist.
var ErrNotFound = errors.New("plat: no such object: check kind and name, `lychee get KIND` lists them")

// ErrCompacted reports a watch from a version that the platform has dropped.
var ErrCompacted = errors.New("plat: watch version is compacted: list again and watch from the list's version")

// ErrTooLarge reports an object of more than MaxData bytes.
var ErrTooLarge = errors.New("plat: object is larger than 1 MiB: split it")

// ErrToken reports a platform token that is missing or wrong.
var ErrToken = errors.New("plat: platform refused the token: set platform.token")

// AwayError reports a platform that could not be reached or said that it is
// out of service. The call had no effect.
type AwayError struct{ err error }

// Error names the remedy.
func (e *AwayError) Error() string {
	return fmt.Sprintf("plat: platform is away (%v): the last accepted configuration stays in force; check platform.address and the platform's own status", e.err)
}

// Unwrap returns the cause.
func (e *AwayError) Unwrap() error { return e.err }

// UncertainError reports a write whose reply was lost: it may have taken
// effect.
type UncertainError struct {
	kind, name string
	err        error
}

// Error names the remedy.
func (e *UncertainError) Error() string {
	return fmt.Sprintf("plat: no reply to the write of %s/%s (%v): it may have taken effect; read the object again before repeating it", e.kind, e.name, e.err)
}

// Unwrap returns the cause.
func (e *UncertainError) Unwrap() error { return e.err }

// StatusError reports an answer that this client has no use for.
type StatusError struct {
	status int
	text   string
}

// Status returns the HTTP status.
func (e *StatusError) Status() int { return e.status }

// Error quotes the answer.
func (e *StatusError) Error() string {
	return fmt.Sprintf("plat: platform answered %d %s: check that platform.address is an object API of this version", e.status, e.text)
}

// maxRefusal bounds what is read of a refusal.
const maxRefusal = 4 << 10

func (q request) refusal(resp *http.Response) error {
	body, _ := io.ReadAll(io.LimitReader(resp.Body, maxRefusal))
	switch resp.StatusCode {
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusConflict:
		var now struct {
			Current int64 `json:"current"`
		}
		if err := json.Unmarshal(body, &now); err != nil {
			return &StatusError{status: resp.StatusCode, text: "without a version"}
		}
		return NewConflict(q.kind, q.name, now.Current)
	case http.StatusGone:
		return ErrCompacted
	case http.StatusRequestEntityTooLarge:
		return ErrTooLarge
	case http.StatusUnauthorized, http.StatusForbidden:
		return ErrToken
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return &AwayError{err: errors.New(resp.Status)}
	}
	err := &StatusError{status: resp.StatusCode, text: strings.TrimSpace(string(body))}
	if resp.StatusCode < http.StatusInternalServerError {
		return err
	}
	// A gateway in front of the platform may fail after the write was done.
	if q.writes() {
		return &UncertainError{kind: q.kind, name: q.name, err: err}
	}
	return &AwayError{err: err}
}

// refusedConnection reports whether a call failed before anything was sent.
func refusedConnection(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
