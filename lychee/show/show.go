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
	out    io.Writer
	asJSON bool
}

// New returns a Writer that writes JSON if asJSON is set, and text otherwise.
func New(out io.Writer, asJSON bool) *Writer { return &Writer{out: out, asJSON: asJSON} }

// writeIfJSON writes v and returns true if the format is JSON. Otherwise it
// writes nothing and returns false.
func (w *Writer) writeIfJSON(v any) bool {
	if !w.asJSON {
		return false
	}
	enc := json.NewEncoder(w.out)
	enc.SetIndent("", "  ")
	_ = enc.Encode(v)
	return true
}

// WriteMessage writes one line of text.
func (w *Writer) WriteMessage(text string) {
	if !w.writeIfJSON(struct {
		Message string `json:"message"`
	}{text}) {
		fmt.Fprintln(w.out, text)
	}
}

// WriteFindings writes the problems of files as JSON. It writes nothing if the
// format is text.
func (w *Writer) WriteFindings(findings []input.Finding) { w.writeIfJSON(findings) }

// WriteChanges writes what `lychee apply` would change.
func (w *Writer) WriteChanges(changes []apply.Change) {
	type change struct {
		Object    string        `json:"object"`
		Version   int64         `json:"version"`
		WrittenBy *spec.Applied `json:"by,omitempty"`
		DiffLines []string      `json:"lines,omitempty"`
	}
	rows := make([]change, len(changes))
	for i, c := range changes {
		rows[i] = change{c.Item.Ref(), c.Version, c.WrittenBy, c.DiffLines}
	}
	if w.writeIfJSON(rows) {
		return
	}
	for _, c := range rows {
		switch {
		case len(c.DiffLines) == 0:
			fmt.Fprintf(w.out, "%s: same as version %d\n", c.Object, c.Version)
		case c.Version == 0:
			fmt.Fprintf(w.out, "%s: new\n", c.Object)
		default:
			fmt.Fprintf(w.out, "%s: differs from version %d%s\n", c.Object, c.Version, authorSuffix(c.WrittenBy))
		}
		w.writeDiff(c.DiffLines)
	}
}

// WriteResults writes the outcome of `lychee apply` for each object.
func (w *Writer) WriteResults(results []apply.Result) {
	if w.writeIfJSON(results) {
		return
	}
	for _, r := range results {
		fmt.Fprintf(w.out, "%s: %s", r.Object, r.State)
		if r.Version > 0 {
			fmt.Fprintf(w.out, ", version %d", r.Version)
		}
		if r.State == apply.StateConflict {
			fmt.Fprint(w.out, authorSuffix(r.WrittenBy))
		}
		if r.Note != "" {
			fmt.Fprintf(w.out, " (%s)", r.Note)
		}
		fmt.Fprintln(w.out)
		if r.State == apply.StateConflict {
			fmt.Fprintln(w.out, "  the platform's version against the file's:")
			w.writeDiff(r.DiffLines)
		}
	}
}

// authorSuffix returns who wrote an object and when, as the end of a line of text.
func authorSuffix(a *spec.Applied) string {
	if a == nil {
		return ""
	}
	return fmt.Sprintf(", written by %s at %s", a.By, a.At.Format(time.RFC3339))
}

// writeDiff writes the lines of a difference, indented.
func (w *Writer) writeDiff(lines []string) {
	for _, line := range lines {
		fmt.Fprintln(w.out, "    "+line)
	}
}

// WriteObjects writes a list of the platform's objects.
func (w *Writer) WriteObjects(objects []plat.Object) {
	if w.writeIfJSON(objects) {
		return
	}
	t := tabwriter.NewWriter(w.out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(t, "OBJECT\tVERSION\tWRITTEN BY\tAT")
	for _, o := range objects {
		author, at := "-", "-"
		if a := spec.AppliedOf(o.Data); a != nil {
			author, at = a.By, a.At.Format(time.RFC3339)
		}
		fmt.Fprintf(t, "%s/%s\t%d\t%s\t%s\n", o.Kind, o.Name, o.Version, author, at)
	}
	t.Flush()
}

// WriteObject writes one object as YAML that `lychee apply` can read. An invalid
// object is written as stored.
func (w *Writer) WriteObject(o plat.Object) {
	if w.writeIfJSON(o) {
		return
	}
	decoded, problems := spec.Decode(o.Kind, o.Name, o.Data)
	if decoded == nil || len(problems) > 0 {
		fmt.Fprintf(w.out, "# %s/%s version %d, invalid, as stored at the platform\n%s\n", o.Kind, o.Name, o.Version, o.Data)
		return
	}
	kindLine, rest, _ := strings.Cut(apply.FormatYAML(o.Kind, decoded), "\n")
	fmt.Fprintf(w.out, "%s\nif_version: %d\n%s", kindLine, o.Version, rest)
}

// WriteReport writes the state of a fleet.
func (w *Writer) WriteReport(r survey.Report) {
	if w.writeIfJSON(r) {
		return
	}
	state := "in force everywhere"
	switch {
	case r.PlatformAway:
		state = "the newest among the entries that were asked, the platform does not answer"
	case !r.InForceEverywhere:
		state = "NOT in force everywhere"
	}
	fmt.Fprintf(w.out, "configuration version %d: %s\n\n", r.ConfigVersion, state)
	t := tabwriter.NewWriter(w.out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(t, "ENTRY\tZONE\tSTATE\tCONFIG\tRUNNING\tNOTE")
	for _, e := range r.Entries {
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%d\t%s\n", e.Name, e.Zone, e.State, e.ConfigVersion, e.RunningRequests, formatEntryNote(e))
	}
	t.Flush()
	for _, p := range r.Pools {
		w.writePool(p)
	}
}

// formatEntryNote returns the remarks about an entry for the last column.
func formatEntryNote(e survey.Entry) string {
	var notes []string
	if e.IsOutdated {
		notes = append(notes, "lags")
	}
	if e.PlatformAway {
		notes = append(notes, fmt.Sprintf("platform away, last answer %v ago", time.Duration(e.PlatformAnswerAgeMS)*time.Millisecond))
	}
	for _, r := range e.Rejections {
		notes = append(notes, fmt.Sprintf("refused %s/%s version %d", r.Kind, r.Name, r.Version))
	}
	if e.Error != "" {
		notes = append(notes, e.Error)
	}
	return strings.Join(notes, "; ")
}

// writePool writes the state of a pool and its endpoints.
func (w *Writer) writePool(p survey.Pool) {
	fmt.Fprintf(w.out, "\npool %s: %d endpoints, %d of %d in flight, %d queued, %d waiting at entries, admits tiers 0 to %d%s\n",
		p.Name, len(p.Endpoints), p.InFlight, p.InFlightBound, p.QueuedRequests, p.WaitingAtEntries, p.ShedLevel, versionsSuffix(p))
	t := tabwriter.NewWriter(w.out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(t, "ENDPOINT\tZONE\tVERSION\tIN FLIGHT\tBOUND\tQUEUED\tNOTE")
	for _, e := range p.Endpoints {
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%d\t%d\t%s\n", e.Name, e.Zone, dashIfEmpty(e.Version), e.InFlight, e.InFlightBound, e.QueuedRequests, formatEndpointNote(e))
	}
	t.Flush()
}

// versionsSuffix returns how many endpoints serve each version, as the end of a
// line of text.
func versionsSuffix(p survey.Pool) string {
	counts := p.CountVersions()
	if len(counts) == 0 {
		return ""
	}
	var parts []string
	for _, v := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%s on %d", v, counts[v]))
	}
	text := ", versions: " + strings.Join(parts, ", ")
	if p.WantedVersion != "" {
		text += ", wanted " + p.WantedVersion
	}
	return text
}

// formatEndpointNote returns the remarks about an endpoint for the last column.
func formatEndpointNote(e survey.Endpoint) string {
	var notes []string
	for _, n := range []struct {
		isSet bool
		text  string
	}{{!e.IsLinked, "no link"}, {e.IsLeaving, "leaving"}, {e.IsSlow, "slow"}, {e.IsDown, "endpoint down"}} {
		if n.isSet {
			notes = append(notes, n.text)
		}
	}
	return strings.Join(notes, ", ")
}

func dashIfEmpty(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

// WriteExplanation writes an entry's record of its decisions about a request.
func (w *Writer) WriteExplanation(entry string, record report.Request) {
	if w.writeIfJSON(record) {
		return
	}
	outcome := record.Outcome
	if outcome == "" {
		outcome = "not decided yet"
	}
	fmt.Fprintf(w.out, "request %s at %s: customer %s, class %s (tier %d), pool %s\noutcome: %s", record.ID, entry, record.Customer, record.Class, record.Tier, record.Pool, outcome)
	if record.Fault != "" {
		fmt.Fprintf(w.out, " (%s)", record.Fault)
	}
	fmt.Fprintln(w.out)
	t := tabwriter.NewWriter(w.out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(t, "AFTER\tDECISION\tENDPOINT\tWHY")
	for _, step := range record.Steps {
		fmt.Fprintf(t, "%dms\t%s\t%s\t%s\n", step.AtMS, step.Action, dashIfEmpty(step.Agent), step.Reason)
	}
	t.Flush()
}
