package door

import (
	"errors"
	"io"
	"sync/atomic"
)

// errMemory reports that the bodies of all requests take too much memory.
var errMemory = errors.New("door: too many large bodies at once: send the request again a moment later")

// meteredBody counts what is read of a body among all that are held. Large
// bodies that come together would otherwise use up the process's memory, and end
// it with every other request in it. Bodies are counted as they come: those sent
// in chunks do not tell their size.
type meteredBody struct {
	io.ReadCloser
	// held is what the bodies of all requests take, limit the most they may.
	held  *atomic.Int64
	limit int64
	// own is this body's part of held.
	own int64
}

// Read reads the body until too much is held. A small body is read in any case.
func (m *meteredBody) Read(p []byte) (int, error) {
	if m.own > smallBody && m.held.Load() > m.limit {
		return 0, errMemory
	}
	n, err := m.ReadCloser.Read(p)
	m.own += int64(n)
	m.held.Add(int64(n))
	return n, err
}

// release takes the body out of the count.
func (m *meteredBody) release() { m.held.Add(-m.own) }
