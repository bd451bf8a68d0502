package spec

import (
	"strconv"
	"strings"

	"gopkg.in/yaml.v3"
)

// Locate sets the missing line numbers of the problems: the line of the problem's
// field in n, or that of the nearest field that contains it.
func (ps Problems) Locate(doc *yaml.Node) {
	if doc.Kind == yaml.DocumentNode && len(doc.Content) == 1 {
		doc = doc.Content[0]
	}
	for i := range ps {
		if ps[i].Line == 0 {
			ps[i].Line = lineOf(doc, ps[i].Field)
		}
	}
}

// lineOf returns the line of the field at path in n, or that of the deepest existing
// field on the path.
func lineOf(n *yaml.Node, path string) int {
	line := n.Line
	for path != "" {
		var step string
		step, path = nextStep(path)
		next, nextLine := childNode(n, step)
		if next == nil {
			return line
		}
		n, line = next, nextLine
	}
	return line
}

// nextStep splits the first field name or index off a path.
func nextStep(path string) (step, rest string) {
	if path[0] == '[' {
		step, rest, _ = strings.Cut(path[1:], "]")
		return step, strings.TrimPrefix(rest, ".")
	}
	i := strings.IndexAny(path, ".[")
	if i < 0 {
		return path, ""
	}
	return path[:i], strings.TrimPrefix(path[i:], ".")
}

// childNode returns the node of a field or index in n and its line, or nil if it does
// not exist.
func childNode(n *yaml.Node, step string) (next *yaml.Node, line int) {
	switch n.Kind {
	case yaml.SequenceNode:
		i, err := strconv.Atoi(step)
		if err != nil || i < 0 || i >= len(n.Content) {
			return nil, 0
		}
		return n.Content[i], n.Content[i].Line
	case yaml.MappingNode:
		for i := 0; i+1 < len(n.Content); i += 2 {
			if n.Content[i].Value == step {
				return n.Content[i+1], n.Content[i].Line
			}
		}
	}
	return nil, 0
}
