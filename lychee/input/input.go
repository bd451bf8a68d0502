// Package input reads operators' files, which hold objects or the settings of a
// process.
package input

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/rotisserie/eris"
	"gopkg.in/yaml.v3"

	"lycheepond/core/conf"
	"lycheepond/core/spec"
)

// Finding is a problem in a file.
type Finding struct {
	File string `json:"file"`
	spec.Problem
}

// String returns the finding as one line of text.
func (f Finding) String() string {
	if f.Line > 0 {
		p := f.Problem
		p.Line = 0
		return fmt.Sprintf("%s:%d: %s", f.File, f.Line, p)
	}
	return f.File + ": " + f.Problem.String()
}

// Content holds the objects and the problems of a set of files.
type Content struct {
	// Items are the objects that are valid on their own, classes before customers.
	// Their references to each other have not been checked.
	Items []spec.Item
	// SettingsFiles counts the settings files.
	SettingsFiles int
	Findings      []Finding
	// fileByRef maps an object's reference, KIND/NAME, to its file.
	fileByRef map[string]string
}

// AddFinding adds a problem of an object of the files.
func (c *Content) AddFinding(p spec.Problem) {
	c.Findings = append(c.Findings, Finding{File: c.fileByRef[p.Object], Problem: p})
}

// ItemsToCheck returns the objects for spec.CheckSet, which checks the references
// between objects. An invalid object is included with its kind and name only, so
// that references to it are not reported as missing.
func (c *Content) ItemsToCheck() []spec.Item {
	items := slices.Clone(c.Items)
	seen := make(map[string]bool)
	for _, f := range c.Findings {
		kind, name, ok := strings.Cut(f.Object, "/")
		if ok && !seen[f.Object] {
			seen[f.Object] = true
			items = append(items, spec.Item{Kind: kind, Name: name, Line: f.Line})
		}
	}
	return items
}

// Has reports whether the files hold a valid object with this reference.
func (c *Content) Has(ref string) bool { return c.fileByRef[ref] != "" }

// kindOrder is the order in which objects are written. Classes come before the
// customers that refer to them.
var kindOrder = []string{spec.KindClass, spec.KindModel, spec.KindService, spec.KindCustomer}

// Read reads files. For a directory, it reads the files in it that end in .yaml,
// .yml or .json. lookupEnv looks up the environment variables that settings refer
// to. An error means that a file can't be read; problems within files are in
// Findings.
func Read(paths []string, lookupEnv func(string) (string, bool)) (*Content, error) {
	files, err := expandPaths(paths)
	if err != nil {
		return nil, err
	}
	c := &Content{fileByRef: make(map[string]string)}
	for _, path := range files {
		data, err := os.ReadFile(path)
		if err != nil {
			return nil, eris.Wrap(err, "check the file's name")
		}
		c.addFile(path, data, lookupEnv)
	}
	slices.SortStableFunc(c.Items, func(a, b spec.Item) int {
		return slices.Index(kindOrder, a.Kind) - slices.Index(kindOrder, b.Kind)
	})
	return c, nil
}

// addFile adds the objects or the settings of one file, and their problems.
func (c *Content) addFile(path string, data []byte, lookupEnv func(string) (string, bool)) {
	var problems spec.Problems
	if settings := newSettings(data); settings != nil {
		c.SettingsFiles++
		err := conf.Parse(data, lookupEnv, settings)
		if err != nil && !errors.As(err, &problems) {
			problems = spec.Problems{{Reason: err.Error()}}
		}
	} else {
		var items []spec.Item
		items, problems = spec.Read(data)
		for _, item := range items {
			c.fileByRef[item.Ref()] = path
		}
		c.Items = append(c.Items, items...)
	}
	for _, p := range problems {
		c.Findings = append(c.Findings, Finding{File: path, Problem: p})
	}
}

// newSettings returns empty settings of the type for which data holds values, and
// nil if data holds objects.
func newSettings(data []byte) any {
	var document map[string]any
	if yaml.NewDecoder(bytes.NewReader(data)).Decode(&document) != nil || document["kind"] != nil {
		return nil
	}
	if document["endpoint"] != nil {
		return new(conf.Agent)
	}
	if document["ready"] != nil {
		return new(conf.Direct)
	}
	for _, field := range []string{"listen", "link", "fleet_key", "fleet_keys", "platform"} {
		if document[field] != nil {
			return new(conf.Entry)
		}
	}
	return nil
}

// expandPaths replaces each directory by the files in it.
func expandPaths(paths []string) ([]string, error) {
	var files []string
	for _, path := range paths {
		info, err := os.Stat(path)
		if err != nil {
			return nil, eris.Wrap(err, "check the file's name")
		}
		if !info.IsDir() {
			files = append(files, path)
			continue
		}
		entries, err := os.ReadDir(path)
		if err != nil {
			return nil, err
		}
		for _, e := range entries {
			if ext := filepath.Ext(e.Name()); !e.IsDir() && slices.Contains([]string{".yaml", ".yml", ".json"}, ext) {
				files = append(files, filepath.Join(path, e.Name()))
			}
		}
	}
	if len(files) == 0 {
		return nil, errors.New("no file: give YAML files or directories that hold some")
	}
	return files, nil
}
