package trace

import (
	"errors"
	"os"
	"strings"
	"testing"
)

func openLog(t *testing.T) *os.File {
	t.Helper()
	f, err := os.Open("testdata/day.log")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { f.Close() })
	return f
}

// When a user reports a failed request, only the logs of that day remain. The cause
// must be found from the request ID for each kind of failure.
func TestCauseOfFailedRequest(t *testing.T) {
	for _, tc := range []struct {
		name, id string
		cause    []string
	}{
		{"refused", "7e0e25be0ec9cbb4", []string{"edge-hall-c-1 refused it: too long"}},
		{"late", "9627ec3b434cc9ec", []string{"edge-hall-a-1 ran out of time", "i-97b991c05c", "28ms were predicted with 3 requests ahead"}},
		{"answer lost", "3adffeaf4e3daac9", []string{"edge-hall-b-2 lost its answer at i-6d203cfc88", "connection reset", "must not run twice"}},
		{"sent again", "9e5151bb470600ea", []string{"answered it from i-3db9eaa1f3 after 77ms", "i-06ef1c71a9 failed it (endpoint answered with an error)"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got, err := Read(tc.id, openLog(t))
			if err != nil {
				t.Fatal(err)
			}
			for _, part := range tc.cause {
				if !strings.Contains(got.Cause, part) {
					t.Errorf("cause %q does not contain %q", got.Cause, part)
				}
			}
		})
	}
}

// An entry restarted shortly before the request. State changes from before the
// restart, and those of other entries, have no bearing on the request and must not
// be shown.
func TestStateChangesSinceProcessStart(t *testing.T) {
	got, err := Read("7e0e25be0ec9cbb4", openLog(t))
	if err != nil {
		t.Fatal(err)
	}
	if len(got.StateChanges) == 0 || got.StateChanges[0].Event != "starting" {
		t.Fatalf("begins with %+v, want the start of the process", got.StateChanges)
	}
	for _, l := range got.StateChanges {
		if l.Process != "edge-hall-c-1" {
			t.Errorf("shows a state change of %s", l.Process)
		}
	}
}

// Logs also hold lines of other programs, truncated lines, and lines of other events
// that use a key with another type. They must not prevent the cause from being found.
func TestForeignAndDamagedLines(t *testing.T) {
	log := strings.Join([]string{
		"Started.", "{", `{"event":"endpoint_away","endpoint":7,"process":"e"}`, `{"level":"info"}`,
		`12.5 e {"time":"2026-01-01T00:00:00Z","event":"request_refused","process":"e","request_id":"x","outcome":"limited","retry":"250ms","heard":3,"known":5}`,
	}, "\n")
	got, err := Read("x", strings.NewReader(log))
	if err != nil {
		t.Fatal(err)
	}
	for _, part := range []string{"over its limit", "250ms", "3 of 5 entries"} {
		if !strings.Contains(got.Cause, part) {
			t.Errorf("cause %q does not contain %q", got.Cause, part)
		}
	}
	if _, err := Read("y", strings.NewReader(log)); !errors.Is(err, ErrNotFound) {
		t.Errorf("%v, want ErrNotFound", err)
	}
}

// A caller asks why its request was refused. A lack of slots and a lack of time to
// process the prompt have different remedies, so the cause must distinguish them. A
// request that waited in the entry's queue took longer than its predicted wait, so
// the cause must also give its time in the queue.
func TestCauseOfRefusal(t *testing.T) {
	for _, tt := range []struct {
		why   string
		parts []string
	}{
		{"full", []string{"90ms of it waiting for a slot", "stood in line for 40ms", "come back after 100ms", "had 25.0% of the work placed in its tier, above the 6.0% that its weight of 0.5"}},
		{"late", []string{"predicted after 430ms", "that had room", "400ms are wanted"}},
	} {
		line := `{"time":"2026-01-01T00:00:00Z","event":"request_refused","process":"e","request_id":"x","outcome":"refused","why":"` + tt.why +
			`","predicted":"430ms","wait":"90ms","target":"400ms","stood":"40ms","retry":"100ms","share":0.25,"share_due":0.06,"weight":0.5,"heard":4,"known":4}`
		got, err := Read("x", strings.NewReader(line))
		if err != nil {
			t.Fatal(err)
		}
		for _, part := range tt.parts {
			if !strings.Contains(got.Cause, part) {
				t.Errorf("cause %q does not contain %q", got.Cause, part)
			}
		}
	}
}

// A caller's connection or an attempt ended early. The remedy depends on whether the
// caller left or the entry closed the connection, and on whether the endpoint failed
// or the entry gave it up as slow, so the cause must distinguish these cases.
func TestCauseOfEarlyEnd(t *testing.T) {
	for _, tt := range []struct {
		line  string
		parts []string
	}{
		{
			`"event":"request_unknown","outcome":"cut","endpoint":"i-1","why":"connection idle for 1s"`,
			[]string{"e ended its caller's connection itself", "i-1", "connection idle for 1s"},
		},
		{
			`"event":"request_returned","from":"i-1","to":"i-2","why":"endpoint silent for 1s","silent":"1.001s","bound":"1s"}` + "\n" +
				`{"time":"2026-01-01T00:00:01Z","process":"e","request_id":"x","event":"request_done","outcome":"complete","endpoint":"i-2"`,
			[]string{"answered it from i-2", "i-1 failed it (endpoint silent for 1s)", "given up by the entry after 1.001s"},
		},
		{
			`"event":"answer_late","endpoint":"i-1","why":"endpoint silent for 1s","lacks":"no repeat left in the budget"}` + "\n" +
				`{"time":"2026-01-01T00:00:01Z","process":"e","request_id":"x","event":"request_done","outcome":"complete","endpoint":"i-1"`,
			[]string{"answered it from i-1", "late (endpoint silent for 1s)", "no repeat left in the budget"},
		},
	} {
		got, err := Read("x", strings.NewReader(`{"time":"2026-01-01T00:00:00Z","process":"e","request_id":"x",`+tt.line+"}"))
		if err != nil {
			t.Fatal(err)
		}
		for _, part := range tt.parts {
			if !strings.Contains(got.Cause, part) {
				t.Errorf("cause %q does not contain %q", got.Cause, part)
			}
		}
	}
}

// The quarantine of another request's fingerprint must not be shown as the cause.
func TestQuarantineOfSameFingerprint(t *testing.T) {
	log := `{"time":"2026-01-01T00:00:01Z","event":"quarantined","process":"e","fingerprint":"f1","left":"5m0s"}
{"time":"2026-01-01T00:00:02Z","event":"quarantined","process":"e","fingerprint":"f2","left":"5m0s"}
{"time":"2026-01-01T00:00:03Z","event":"request_refused","process":"e","request_id":"r","outcome":"quarantined","fingerprint":"f1","retry":"4m58s"}
`
	got, err := Read("r", strings.NewReader(log))
	if err != nil {
		t.Fatal(err)
	}
	if len(got.StateChanges) != 1 || got.StateChanges[0].Fingerprint != "f1" {
		t.Errorf("state changes: %+v, want the quarantine of f1", got.StateChanges)
	}
	if !strings.Contains(got.Cause, "f1 have crashed endpoints") || !strings.Contains(got.Cause, "4m58s") {
		t.Errorf("cause: %s", got.Cause)
	}
}

// Guards against a trace that does not name the part of a prompt for which a request was refused.
func TestQuarantineOfPart(t *testing.T) {
	log := `{"time":"2026-01-01T00:00:01Z","event":"quarantined","process":"e","fingerprint":"p1","part":"5c1e","customer":"c","left":"2s","endpoints":["w-1"],"peers":["f"]}
{"time":"2026-01-01T00:00:02Z","event":"quarantined","process":"e","fingerprint":"p2","part":"91bd","customer":"c","left":"2s"}
{"time":"2026-01-01T00:00:03Z","event":"request_refused","process":"e","request_id":"r","outcome":"quarantined","why":"quarantined: requests with part 5c1e of its prompt crashed endpoints","fingerprint":"f1","culprit":"p1","retry":"9m58s"}
`
	got, err := Read("r", strings.NewReader(log))
	if err != nil {
		t.Fatal(err)
	}
	if len(got.StateChanges) != 1 || got.StateChanges[0].Fingerprint != "p1" {
		t.Errorf("state changes: %+v, want the quarantine of p1", got.StateChanges)
	}
	if !strings.Contains(got.Cause, "part 5c1e of its prompt crashed endpoints") || !strings.Contains(got.Cause, "9m58s") {
		t.Errorf("cause: %s", got.Cause)
	}
}
