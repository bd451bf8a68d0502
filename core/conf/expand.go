package conf

import (
	"fmt"
	"regexp"

	"lycheepond/core/spec"
)

var variable = regexp.MustCompile(`\$\{([A-Za-z_][A-Za-z0-9_]*)\}`)

// expand replaces ${NAME} by the environment's value.
func expand(data []byte, env func(string) (string, bool)) ([]byte, spec.Problems) {
	var problems spec.Problems
	out := variable.ReplaceAllFunc(data, func(m []byte) []byte {
		name := string(m[2 : len(m)-1])
		v, ok := env(name)
		if !ok {
			problems = append(problems, spec.Problem{
				Field: string(m), Reason: "environment variable is not set",
				Remedy: fmt.Sprintf("set %s before the start or write the value", name),
			})
		}
		return []byte(v)
	})
	return out, problems
}
