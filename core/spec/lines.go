package spec

import (
	"strconv"
	"strings"

	"gopkg.in/yaml.v3"
)

// Locate sets the line of each problem that has none to where its field stands
// in n, or where the nearest field around it stands.
func (ps Problems) Locate(n *yaml.Node) {
	if n.Kind == yaml.DocumentNode && len(n.Content) == 1 {
		n = n.Content[0]
	}
	for i := range ps {
		if ps[i].Line == 0 {
			ps[i].Line = lineOf(n, ps[i].Field)
		}
	}
}

func lineOf(n *yaml.Node, path string) int {
	line := n.Line
	for path != "" {
		var step string
		step, path = nextStep(path)
		next, at := child(n, step)
		if next == nil {
			return line
		}
		n, line = next, at
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

func child(n *yaml.Node, step string) (next *yaml.Node, line int) {
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
