package conf

import (
	"fmt"
	"regexp"

	"gopkg.in/yaml.v3"

	"lycheepond/core/spec"
)

var variable = regexp.MustCompile(`\$\{([A-Za-z_][A-Za-z0-9_]*)\}`)

// expand replaces ${NAME} in values by the environment's value. It works on
// the parsed text, so that a secret with a quote or a colon in it stays a value.
func expand(n *yaml.Node, env func(string) (string, bool)) spec.Problems {
	var problems spec.Problems
	if n.Kind == yaml.ScalarNode {
		n.Value = variable.ReplaceAllStringFunc(n.Value, func(m string) string {
			name := m[2 : len(m)-1]
			v, ok := env(name)
			if !ok {
				problems = append(problems, spec.Problem{
					Line: n.Line, Reason: fmt.Sprintf("environment variable %s is not set", name),
					Remedy: "set it before the start or write the value",
				})
				return m
			}
			return v
		})
	}
	for _, c := range n.Content {
		problems = append(problems, expand(c, env)...)
	}
	return problems
}
