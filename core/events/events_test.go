package events_test

import (
	"strings"
	"testing"

	"pgregory.net/rapid"

	"lycheepond/core/events"
)

// Guards against events that are held back, or forwarded in part, because of how their lines
// end.
func TestWhole(t *testing.T) {
	for _, tt := range []struct {
		stream     string
		whole      int
		unfinished bool
	}{
		{"", 0, false},
		{"id: 1\ndata: a\n\n", 15, false},
		{"id: 1\ndata: a\n", 0, true},
		{"id: 1\r\ndata: a\r\n\r\n", 18, false},
		{"id: 1\r\ndata: a\r\n\r", 17, false},
		{"id: 1\r\ndata: a\r\n", 0, true},
		{"id: 1\rdata: a\r\r", 15, false},
		{"id: 1\ndata: a\n\nid: 2", 15, true},
		{"id: 1\ndata: a\n\n: ping\n", 22, false},
		{"id: 1\ndata: a\n\n: pi", 15, false},
		{"\n\n", 2, false},
		{"id: 1\n: a comment inside\ndata: a\n", 0, true},
		{"data: a\n\ndata: b\n\nd", 18, true},
	} {
		n := events.Whole([]byte(tt.stream))
		if n != tt.whole || events.IsUnfinished([]byte(tt.stream[n:])) != tt.unfinished {
			t.Errorf("%q: %d whole, unfinished %v; want %d, %v", tt.stream, n, !tt.unfinished, tt.whole, tt.unfinished)
		}
	}
}

// Guards against results that depend on how the stream was cut into reads.
func TestWholeIsIndependentOfReads(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pieces := rapid.SliceOf(rapid.SampledFrom([]string{"id: 7", "data: x", ":c", "\n", "\r\n", "\r", "\n\n"})).Draw(t, "pieces")
		stream := []byte(strings.Join(pieces, ""))
		atOnce := events.Whole(stream)
		var part []byte
		forwarded := 0
		for _, b := range stream {
			part = append(part, b)
			n := events.Whole(part)
			forwarded += n
			part = part[n:]
		}
		if forwarded != atOnce {
			t.Fatalf("%q: %d bytes of whole events read one by one, %d at once", stream, forwarded, atOnce)
		}
	})
}

func TestIDs(t *testing.T) {
	if n, last := events.IDs([]byte("id: 1\r\ndata: a\r\n\r\nid:2\rdata: b\r\rdata: c\n\n")); n != 2 || last != "2" {
		t.Errorf("%d IDs, the last %q; want 2, 2", n, last)
	}
}
