package conf

import (
	"fmt"
	"regexp"

	"gopkg.in/yaml.v3"

	"lycheepond/core/spec"
)

// variable matches a reference to an environment variable.
var variable = regexp.MustCompile(`\$\{([A-Za-z_][A-Za-z0-9_]*)\}`)

// expand replaces ${NAME} in values by the value of the environment variable. It
// works on the parsed YAML, so a secret that contains a quote or a colon remains a
// single value.
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
