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

// ErrCompacted reports a watch from a version whose changes the platform has dropped.
var ErrCompacted = errors.New("plat: watch version is compacted: list again and watch from the list's version")

// ErrTooLarge reports an object of more than MaxObjectSize bytes.
var ErrTooLarge = errors.New("plat: object is larger than 1 MiB: split it")

// ErrToken reports a platform token that is missing or wrong.
var ErrToken = errors.New("plat: platform refused the token: set platform.token")

// UnavailableError reports a platform that could not be reached or stated that it is
// unavailable. The call had no effect.
type UnavailableError struct{ err error }

// Error describes the cause and the remedy.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("plat: platform is unavailable (%v): the last accepted configuration stays in force; check platform.address and the platform's own status", e.err)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.err }

// UncertainError reports a write whose reply was lost. It may have taken effect.
type UncertainError struct {
	kind, name string
	err        error
}

// Error describes the cause and the remedy.
func (e *UncertainError) Error() string {
	return fmt.Sprintf("plat: no reply to the write of %s/%s (%v): it may have taken effect; read the object again before repeating it", e.kind, e.name, e.err)
}

// Unwrap returns the cause.
func (e *UncertainError) Unwrap() error { return e.err }

// StatusError reports an answer with an unexpected status.
type StatusError struct {
	status int
	text   string
}

// Status returns the HTTP status.
func (e *StatusError) Status() int { return e.status }

// Error describes the answer and the remedy.
func (e *StatusError) Error() string {
	return fmt.Sprintf("plat: platform answered %d %s: check that platform.address is an object API of this version", e.status, e.text)
}

// maxErrorBody bounds the bytes read of an answer with an error status.
const maxErrorBody = 4 << 10

// statusError returns the error for an answer with an error status.
func (q request) statusError(resp *http.Response) error {
	body, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBody))
	switch resp.StatusCode {
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusConflict:
		var conflict struct {
			Current int64 `json:"current"`
		}
		if err := json.Unmarshal(body, &conflict); err != nil {
			return &StatusError{status: resp.StatusCode, text: "without a version"}
		}
		return NewConflict(q.kind, q.name, conflict.Current)
	case http.StatusGone:
		return ErrCompacted
	case http.StatusRequestEntityTooLarge:
		return ErrTooLarge
	case http.StatusUnauthorized, http.StatusForbidden:
		return ErrToken
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return &UnavailableError{err: errors.New(resp.Status)}
	}
	err := &StatusError{status: resp.StatusCode, text: strings.TrimSpace(string(body))}
	if resp.StatusCode < http.StatusInternalServerError {
		return err
	}
	// A gateway in front of the platform may return an error after the write took
	// effect.
	if q.isWrite() {
		return &UncertainError{kind: q.kind, name: q.name, err: err}
	}
	return &UnavailableError{err: err}
}

// isDialError reports whether a call failed before anything was sent.
func isDialError(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial"
}
