package conf

import (
	"io"
	"os"

	"github.com/rotisserie/eris"
	"gopkg.in/yaml.v3"

	"lycheepond/core/spec"
)

// maxFileSize is the largest settings file in bytes.
const maxFileSize = 1 << 20

// settings is implemented by the types that Load can read.
type settings interface {
	setDefaults()
	check() spec.Problems
}

// Load reads the settings file at path into an *Entry, *Agent or *Direct. The error
// is a spec.Problems if the content is wrong.
func Load(path string, into any) error {
	f, err := os.Open(path)
	if err != nil {
		return eris.Wrap(err, "conf: give the settings file with --config")
	}
	defer f.Close()
	data, err := io.ReadAll(io.LimitReader(f, maxFileSize+1))
	if err != nil {
		return eris.Wrap(err, "conf: settings file cannot be read")
	}
	return Parse(data, os.LookupEnv, into)
}

// Parse reads settings from data. env looks up environment variables. The error is a
// spec.Problems if the content is wrong.
func Parse(data []byte, env func(string) (string, bool), into any) error {
	if len(data) > maxFileSize {
		return spec.Problems{{Reason: "file is larger than 1 MiB", Remedy: "check that it is the settings file"}}
	}
	s, ok := into.(settings)
	if !ok {
		return eris.Errorf("conf: cannot read settings into %T: use *Entry, *Agent or *Direct", into)
	}
	var doc yaml.Node
	if err := yaml.Unmarshal(data, &doc); err != nil {
		return spec.Problems{spec.SyntaxProblem(err)}
	}
	if len(doc.Content) == 0 {
		return spec.Problems{{Reason: "file is empty", Remedy: "write the settings as docs/OPERATIONS.md shows"}}
	}
	problems := expand(&doc, env)
	problems = append(problems, spec.DecodeNode(&doc, into)...)
	s.setDefaults()
	found := s.check()
	found.Locate(&doc)
	return problems.Merge(found).Err()
}
