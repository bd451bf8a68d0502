// Package events finds the ends of the events of a stream of server-sent events
// (text/event-stream).
//
// An event ends with a blank line. Lines end with LF, CRLF or CR. A stream that ends inside an
// event was broken off, whatever its framing says: the receiver drops that event.
//
// The package uses no network, clock or random source.
package events

import "bytes"

// Whole returns the length of the longest prefix of p that ends between two events. p begins
// between two events. Comments between events belong to the prefix.
func Whole(p []byte) int {
	whole, inEvent := 0, false
	for rest := p; ; {
		line, next, ok := cutLine(rest)
		if !ok {
			return whole
		}
		rest = next
		inEvent = len(line) > 0 && (inEvent || line[0] != ':')
		if !inEvent {
			whole = len(p) - len(rest)
		}
	}
}

// IsUnfinished reports whether a stream that ends with rest ends inside an event. rest is what
// follows the prefix that Whole has found.
func IsUnfinished(rest []byte) bool { return len(rest) > 0 && rest[0] != ':' }

// IDs counts the lines of p that state an ID, and returns the last ID.
func IDs(p []byte) (n int, last string) {
	for {
		line, next, ok := cutLine(p)
		if id, found := bytes.CutPrefix(line, idPrefix); found {
			last = string(bytes.TrimSpace(id))
			n++
		}
		if !ok {
			return n, last
		}
		p = next
	}
}

var idPrefix = []byte("id:")

// cutLine returns the first line of p without its end, and what follows it. ok is false if the
// line has no end. A CR at the end of p ends a line; if an LF follows later, it looks like a
// blank line, which changes nothing between events.
func cutLine(p []byte) (line, rest []byte, ok bool) {
	i := bytes.IndexAny(p, "\r\n")
	if i < 0 {
		return p, nil, false
	}
	end := i + 1
	if p[i] == '\r' && end < len(p) && p[end] == '\n' {
		end++
	}
	return p[:i], p[end:], true
}
