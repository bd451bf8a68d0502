package spec

import (
	"fmt"
	"strings"
)

// Problem is one error in an object or a settings file.
type Problem struct {
	// Line is the line in the file, or zero if unknown.
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

// Problems is a list of problems that can be used as one error.
type Problems []Problem

// Error returns one line for each problem.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns the problems as an error, or nil if there are none.
func (ps Problems) Err() error {
	if len(ps) == 0 {
		return nil
	}
	return ps
}

func (ps *Problems) add(field, reason, remedy string) {
	*ps = append(*ps, Problem{Field: field, Reason: reason, Remedy: remedy})
}

// Merge returns the problems and those of more that concern other fields. So a field
// whose value could not be read is not also reported as missing.
func (ps Problems) Merge(more Problems) Problems {
	out := ps
	for _, m := range more {
		if !ps.concerns(m.Field) {
			out = append(out, m)
		}
	}
	return out
}

// concerns reports whether a problem is about the field, a part of it or a field that
// contains it.
func (ps Problems) concerns(field string) bool {
	for _, p := range ps {
		if p.Field == field || isInside(field, p.Field) || isInside(p.Field, field) {
			return true
		}
	}
	return false
}

// isInside reports whether inner is a part of the field outer.
func isInside(inner, outer string) bool {
	rest, ok := strings.CutPrefix(inner, outer)
	return ok && outer != "" && rest != "" && (rest[0] == '.' || rest[0] == '[')
}
