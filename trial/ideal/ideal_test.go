package ideal

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// newLogLine returns the log line of a request that arrived at the time at and ended took
// later, both in milliseconds.
func newLogLine(event, fingerprint, tier string, at, took, output int) string {
	end := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC).Add(time.Duration(at+took) * time.Millisecond)
	return fmt.Sprintf(`  1.0 edge-1 {"event":%q,"time":%q,"fingerprint":%q,"tier":%q,"why":"full","took":"%dms","stood":"0s","target":"400ms","input":100,"output":%d}`+"\n",
		event, end.Format(time.RFC3339Nano), fingerprint, tier, took, output)
}

// Checks the plan of a day on which a long request held the only slot, while a short request
// of its tier, a second long one and a request of a higher tier were refused, the last one
// twice. Only one request was served. The plan must count these two refusals as one request,
// and must serve the short request and that of the higher tier before a long one.
func TestPlan(t *testing.T) {
	logText := newLogLine("request_done", "long", "1.0", 0, 2000, 400) +
		newLogLine("request_refused", "short", "1.0", 100, 60, 10) +
		newLogLine("request_refused", "high", "0.0", 150, 60, 10) +
		newLogLine("request_refused", "high", "0.0", 400, 60, 10) +
		newLogLine("request_refused", "as long", "1.0", 300, 60, 400) +
		"not a line\n"
	all, err := Read(strings.NewReader(logText))
	if err != nil {
		t.Fatal(err)
	}
	Plan(all)
	got := make(map[string]int)
	for _, r := range Summarize(all) {
		got["requests "+r.Tier] += r.Requests
		got["served "+r.Tier] += r.Served
		got["planned "+r.Tier] += r.Planned
	}
	want := map[string]int{"requests 0.0": 1, "served 0.0": 0, "planned 0.0": 1, "requests 1.0": 3, "served 1.0": 1, "planned 1.0": 2}
	for k, v := range want {
		if got[k] != v {
			t.Errorf("%s: %d, want %d", k, got[k], v)
		}
	}
}
