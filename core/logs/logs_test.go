package logs

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	"lycheepond/core/ident"
)

// A line must be JSON with the event, process, level, request and time under the
// documented keys.
func TestLineFormat(t *testing.T) {
	var out bytes.Buffer
	l := NewTo(&out, "info", "entry-a1")
	Info(l, EventRequestRefused, Request(ident.Make(1, 2)))
	var line map[string]any
	if err := json.Unmarshal(out.Bytes(), &line); err != nil {
		t.Fatalf("%v: %s", err, out.Bytes())
	}
	if line["event"] != "request_refused" || line["process"] != "entry-a1" || line["level"] != "info" ||
		line["request_id"] != "00000000000000010000000000000002" || line["time"] == nil {
		t.Errorf("got %v", line)
	}
}

// A burst refuses thousands of requests a second, and each refusal writes a line. The
// log must not cost more than the refusals, and other events must still be written.
func TestRateIsBounded(t *testing.T) {
	var out bytes.Buffer
	l := NewTo(&out, "info", "entry-a1")
	const burst = 20000
	for range burst {
		Info(l, EventRequestRefused)
	}
	Info(l, EventLevelChanged)
	text := out.String()
	if n := strings.Count(text, "\n"); n > burst/10 || n < linesPerSecond {
		t.Errorf("%d lines of %d", n, burst)
	}
	if !strings.Contains(text, "level_changed") {
		t.Error("another event was dropped")
	}
}
