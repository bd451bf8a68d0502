package spec

import (
	"errors"

	"gopkg.in/yaml.v3"
)

// YAMLProblems turns an error of the YAML decoder into problems with lines.
func YAMLProblems(err error) Problems {
	var many *yaml.TypeError
	if !errors.As(err, &many) {
		return Problems{{Reason: err.Error(), Remedy: "mend the YAML"}}
	}
	var ps Problems
	for _, text := range many.Errors {
		ps = append(ps, Problem{Reason: text, Remedy: "mend the value"})
	}
	return ps
}
