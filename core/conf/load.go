package conf

import (
	"io"
	"os"

	"github.com/rotisserie/eris"
	"gopkg.in/yaml.v3"

	"lycheepond/core/spec"
)

// maxFile is the largest settings file in bytes.
const maxFile = 1 << 20

// settings is what Load can read.
type settings interface {
	defaults()
	check() spec.Problems
}

// Load reads the settings file at path into an *Entry or *Agent. The error is
// a spec.Problems when the content is wrong.
func Load(path string, into any) error {
	f, err := os.Open(path)
	if err != nil {
		return eris.Wrap(err, "conf: give the settings file with --config")
	}
	defer f.Close()
	data, err := io.ReadAll(io.LimitReader(f, maxFile+1))
	if err != nil {
		return eris.Wrap(err, "conf: settings file cannot be read")
	}
	return Parse(data, os.LookupEnv, into)
}

// Parse reads settings from data; env looks environment variables up.
func Parse(data []byte, env func(string) (string, bool), into any) error {
	if len(data) > maxFile {
		return spec.Problems{{Reason: "file is larger than 1 MiB", Remedy: "check that it is the settings file"}}
	}
	s, ok := into.(settings)
	if !ok {
		return eris.Errorf("conf: cannot read settings into %T: use *Entry, *Agent or *Direct", into)
	}
	var doc yaml.Node
	if err := yaml.Unmarshal(data, &doc); err != nil {
		return spec.Problems{spec.Syntax(err)}
	}
	if len(doc.Content) == 0 {
		return spec.Problems{{Reason: "file is empty", Remedy: "write the settings as docs/OPERATIONS.md shows"}}
	}
	problems := expand(&doc, env)
	problems = append(problems, spec.DecodeNode(&doc, into)...)
	s.defaults()
	found := s.check()
	found.Locate(&doc)
	return problems.With(found).Err()
}
