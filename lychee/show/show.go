// Package show writes the results of commands as text or JSON.
package show

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"lycheepond/core/plat"
	"lycheepond/core/report"
	"lycheepond/core/spec"
	"lycheepond/lychee/apply"
	"lycheepond/lychee/input"
	"lycheepond/lychee/survey"
)

// Writer writes results in one format.
type Writer struct {
	out  io.Writer
	json bool
}

// New returns a Writer; asJSON writes JSON in place of text.
func New(out io.Writer, asJSON bool) *Writer { return &Writer{out: out, json: asJSON} }

// value writes v as JSON if that was asked for.
func (w *Writer) value(v any) bool {
	if !w.json {
		return false
	}
	enc := json.NewEncoder(w.out)
	enc.SetIndent("", "  ")
	_ = enc.Encode(v)
	return true
}

// Message writes one line of text.
func (w *Writer) Message(text string) {
	if !w.value(struct {
		Message string `json:"message"`
	}{text}) {
		fmt.Fprintln(w.out, text)
	}
}

// Findings writes what is wrong with files, as JSON.
func (w *Writer) Findings(findings []input.Finding) { w.value(findings) }

// Changes writes what would be applied.
func (w *Writer) Changes(changes []apply.Change) {
	type change struct {
		Object  string        `json:"object"`
		Version int64         `json:"version"`
		By      *spec.Applied `json:"by,omitempty"`
		Lines   []string      `json:"lines,omitempty"`
	}
	rows := make([]change, len(changes))
	for i, c := range changes {
		rows[i] = change{c.Item.Ref(), c.Version, c.By, c.Lines}
	}
	if w.value(rows) {
		return
	}
	for _, c := range rows {
		switch {
		case len(c.Lines) == 0:
			fmt.Fprintf(w.out, "%s: same as version %d\n", c.Object, c.Version)
		case c.Version == 0:
			fmt.Fprintf(w.out, "%s: new\n", c.Object)
		default:
			fmt.Fprintf(w.out, "%s: differs from version %d%s\n", c.Object, c.Version, by(c.By))
		}
		w.lines(c.Lines)
	}
}

// Results writes what was applied.
func (w *Writer) Results(results []apply.Result) {
	if w.value(results) {
		return
	}
	for _, r := range results {
		fmt.Fprintf(w.out, "%s: %s", r.Object, r.State)
		if r.Version > 0 {
			fmt.Fprintf(w.out, ", version %d", r.Version)
		}
		if r.State == apply.StateConflict {
			fmt.Fprint(w.out, by(r.By))
		}
		if r.Note != "" {
			fmt.Fprintf(w.out, " (%s)", r.Note)
		}
		fmt.Fprintln(w.out)
		if r.State == apply.StateConflict {
			fmt.Fprintln(w.out, "  the platform's version against the file's:")
			w.lines(r.Lines)
		}
	}
}

func by(a *spec.Applied) string {
	if a == nil {
		return ""
	}
	return fmt.Sprintf(", written by %s at %s", a.By, a.At.Format(time.RFC3339))
}

func (w *Writer) lines(lines []string) {
	for _, l := range lines {
		fmt.Fprintln(w.out, "    "+l)
	}
}

// Objects writes objects of the platform.
func (w *Writer) Objects(objects []plat.Object) {
	if w.value(objects) {
		return
	}
	t := tabwriter.NewWriter(w.out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(t, "OBJECT\tVERSION\tWRITTEN BY\tAT")
	for _, o := range objects {
		name, at := "-", "-"
		if a := spec.AppliedOf(o.Data); a != nil {
			name, at = a.By, a.At.Format(time.RFC3339)
		}
		fmt.Fprintf(t, "%s/%s\t%d\t%s\t%s\n", o.Kind, o.Name, o.Version, name, at)
	}
	t.Flush()
}

// Object writes one object as YAML, as `lychee apply` reads it.
func (w *Writer) Object(o plat.Object) {
	if w.value(o) {
		return
	}
	decoded, problems := spec.Decode(o.Kind, o.Name, o.Data)
	if decoded == nil || len(problems) > 0 {
		fmt.Fprintf(w.out, "# %s/%s version %d as it stands at the platform\n%s\n", o.Kind, o.Name, o.Version, o.Data)
		return
	}
	kind, rest, _ := strings.Cut(apply.Text(o.Kind, decoded), "\n")
	fmt.Fprintf(w.out, "%s\nif_version: %d\n%s", kind, o.Version, rest)
}

// Report writes the state of a fleet.
func (w *Writer) Report(r survey.Report) {
	if w.value(r) {
		return
	}
	state := "in force everywhere"
	switch {
	case r.Away:
		state = "the newest among the entries that were asked, the platform does not answer"
	case !r.InForce:
		state = "NOT in force everywhere"
	}
	fmt.Fprintf(w.out, "configuration version %d: %s\n\n", r.Config, state)
	t := tabwriter.NewWriter(w.out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(t, "ENTRY\tZONE\tSTATE\tCONFIG\tRUNNING\tNOTE")
	for _, e := range r.Entries {
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%d\t%s\n", e.Name, e.Zone, e.State, e.Config, e.Running, entryNote(e))
	}
	t.Flush()
	for _, p := range r.Pools {
		w.pool(p)
	}
}

func entryNote(e survey.Entry) string {
	var notes []string
	if e.Lags {
		notes = append(notes, "lags")
	}
	if e.Away {
		notes = append(notes, fmt.Sprintf("platform away, last answer %v ago", time.Duration(e.AgeMS)*time.Millisecond))
	}
	for _, r := range e.Rejected {
		notes = append(notes, fmt.Sprintf("refused %s/%s version %d", r.Kind, r.Name, r.Version))
	}
	if e.Error != "" {
		notes = append(notes, e.Error)
	}
	return strings.Join(notes, "; ")
}

func (w *Writer) pool(p survey.Pool) {
	fmt.Fprintf(w.out, "\npool %s: %d endpoints, %d of %d in flight, %d queued, %d waiting at entries, admits tiers 0 to %d%s\n",
		p.Name, len(p.Agents), p.InFlight, p.Bound, p.Queued, p.Waiting, p.Level, versions(p))
	t := tabwriter.NewWriter(w.out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(t, "ENDPOINT\tZONE\tVERSION\tIN FLIGHT\tBOUND\tQUEUED\tNOTE")
	for _, l := range p.Agents {
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%d\t%d\t%s\n", l.Name, l.Zone, dash(l.Version), l.InFlight, l.Bound, l.Queued, lineNote(l))
	}
	t.Flush()
}

func versions(p survey.Pool) string {
	count := p.Versions()
	if len(count) == 0 {
		return ""
	}
	var parts []string
	for _, v := range slices.Sorted(maps.Keys(count)) {
		parts = append(parts, fmt.Sprintf("%s on %d", v, count[v]))
	}
	text := ", versions: " + strings.Join(parts, ", ")
	if p.Wanted != "" {
		text += ", wanted " + p.Wanted
	}
	return text
}

func lineNote(l survey.Line) string {
	var notes []string
	for _, n := range []struct {
		on   bool
		text string
	}{{!l.Linked, "no link"}, {l.Leaving, "leaving"}, {l.Slow, "slow"}, {l.Down, "endpoint down"}} {
		if n.on {
			notes = append(notes, n.text)
		}
	}
	return strings.Join(notes, ", ")
}

func dash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

// Explained writes the decisions about a request.
func (w *Writer) Explained(entry string, e report.Request) {
	if w.value(e) {
		return
	}
	outcome := e.Outcome
	if outcome == "" {
		outcome = "not decided yet"
	}
	fmt.Fprintf(w.out, "request %s at %s: customer %s, class %s (tier %d), pool %s\noutcome: %s", e.ID, entry, e.Customer, e.Class, e.Tier, e.Pool, outcome)
	if e.Fault != "" {
		fmt.Fprintf(w.out, " (%s)", e.Fault)
	}
	fmt.Fprintln(w.out)
	t := tabwriter.NewWriter(w.out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(t, "AFTER\tDECISION\tENDPOINT\tWHY")
	for _, s := range e.Steps {
		fmt.Fprintf(t, "%dms\t%s\t%s\t%s\n", s.AtMS, s.Action, dash(s.Agent), s.Reason)
	}
	t.Flush()
}
