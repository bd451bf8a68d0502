package show

import (
	"encoding/json"
	"fmt"
	"time"

	"lycheepond/lychee/trace"
)

// WriteTrace writes how a request ended, with the log lines that show it.
func (w *Writer) WriteTrace(t *trace.Trace) {
	if w.writeIfJSON(struct {
		Cause        string            `json:"cause"`
		StateChanges []json.RawMessage `json:"before,omitempty"`
		Lines        []json.RawMessage `json:"lines"`
	}{t.Cause, rawJSON(t.StateChanges), rawJSON(t.Lines)}) {
		return
	}
	fmt.Fprintln(w.out, t.Cause)
	w.writeLogLines("state changes at its entries shortly before:", t.StateChanges)
	w.writeLogLines("log lines of the request:", t.Lines)
}

func (w *Writer) writeLogLines(heading string, lines []trace.Line) {
	if len(lines) == 0 {
		return
	}
	fmt.Fprintf(w.out, "\n%s\n", heading)
	for _, l := range lines {
		fmt.Fprintf(w.out, "%s %s %s\n    %s\n", l.Time.Format(time.StampMicro), l.Process, l.Event, l.Text)
	}
}

// rawJSON returns the log lines as they were written.
func rawJSON(lines []trace.Line) []json.RawMessage {
	var out []json.RawMessage
	for _, l := range lines {
		out = append(out, json.RawMessage(l.Text))
	}
	return out
}
