package spec

import (
	"fmt"
	"strings"
)

// Problem is one thing that is wrong with an object or a settings file.
type Problem struct {
	// Line is where it stands in the file, zero if that is not known.
	Line int `json:"line,omitempty"`
	// Object is KIND/NAME, empty for settings.
	Object string `json:"object,omitempty"`
	Field  string `json:"field,omitempty"`
	Reason string `json:"reason"`
	Remedy string `json:"remedy"`
}

// String returns the problem as one line of text.
func (p Problem) String() string {
	var b strings.Builder
	if p.Line > 0 {
		fmt.Fprintf(&b, "line %d: ", p.Line)
	}
	if p.Object != "" {
		b.WriteString(p.Object + ": ")
	}
	if p.Field != "" {
		b.WriteString(p.Field + ": ")
	}
	b.WriteString(p.Reason)
	if p.Remedy != "" {
		b.WriteString(": " + p.Remedy)
	}
	return b.String()
}

// Problems are all that is wrong, as an error.
type Problems []Problem

// Error returns one line for each problem.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns the problems as an error, nil if there are none.
func (ps Problems) Err() error {
	if len(ps) == 0 {
		return nil
	}
	return ps
}

func (ps *Problems) add(field, reason, remedy string) {
	*ps = append(*ps, Problem{Field: field, Reason: reason, Remedy: remedy})
}
