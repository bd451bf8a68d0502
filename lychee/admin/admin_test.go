package admin

import (
	"testing"

	"lycheepond/core/sample"
)

// Guards against commands that count as done, and states that are shown, by an answer that HTTP/1
// doesn't allow.
func TestMalformedAnswerIsNoAnswer(t *testing.T) {
	for _, answer := range sample.Malformed("", "{}") {
		t.Run(answer.Name, func(t *testing.T) {
			c, url := New("", nil), sample.Serve(t, answer.Text)
			if err := c.Drain(t.Context(), url); err == nil {
				t.Error("Drain succeeded")
			}
			if _, err := c.EntryStatus(t.Context(), url); err == nil {
				t.Error("EntryStatus succeeded")
			}
		})
	}
}
