package show

import (
	"encoding/json"
	"fmt"
	"time"

	"lycheepond/lychee/trace"
)

// Trace writes what logs say of a request.
func (w *Writer) Trace(t *trace.Trace) {
	if w.value(struct {
		Cause  string            `json:"cause"`
		Before []json.RawMessage `json:"before,omitempty"`
		Lines  []json.RawMessage `json:"lines"`
	}{t.Cause, raw(t.Before), raw(t.Lines)}) {
		return
	}
	fmt.Fprintln(w.out, t.Cause)
	w.logLines("what its entries came to believe shortly before:", t.Before)
	w.logLines("the request:", t.Lines)
}

func (w *Writer) logLines(head string, lines []trace.Line) {
	if len(lines) == 0 {
		return
	}
	fmt.Fprintf(w.out, "\n%s\n", head)
	for _, l := range lines {
		fmt.Fprintf(w.out, "%s %s %s\n    %s\n", l.Time.Format(time.StampMicro), l.Process, l.Event, l.Text)
	}
}

func raw(lines []trace.Line) []json.RawMessage {
	var out []json.RawMessage
	for _, l := range lines {
		out = append(out, json.RawMessage(l.Text))
	}
	return out
}
