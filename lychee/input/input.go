// Package input reads the files that operators give: objects and settings.
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

// Content is what the files hold.
type Content struct {
	// Items are the objects without a problem of their own.
	Items []spec.Item
	// Settings counts settings files.
	Settings int
	Findings []Finding
	// files tells the file of each object by its reference.
	files map[string]string
}

// Find adds a problem of an object that was read.
func (c *Content) Find(p spec.Problem) {
	c.Findings = append(c.Findings, Finding{File: c.files[p.Object], Problem: p})
}

// Set returns the objects for a check between them. Those with a problem of
// their own stand in it by their names, so that what names them is not said to
// name nothing.
func (c *Content) Set() []spec.Item {
	set := slices.Clone(c.Items)
	seen := make(map[string]bool)
	for _, f := range c.Findings {
		kind, name, ok := strings.Cut(f.Object, "/")
		if ok && !seen[f.Object] {
			seen[f.Object] = true
			set = append(set, spec.Item{Kind: kind, Name: name, Line: f.Line})
		}
	}
	return set
}

// Has reports whether a file holds the object of a reference.
func (c *Content) Has(ref string) bool { return c.files[ref] != "" }

// order puts classes before the customers that name them.
var order = []string{spec.KindClass, spec.KindModel, spec.KindService, spec.KindCustomer}

// Read reads files and, of directories, the files that end in .yaml, .yml or
// .json. env looks environment variables up for settings.
func Read(paths []string, env func(string) (string, bool)) (*Content, error) {
	files, err := expand(paths)
	if err != nil {
		return nil, err
	}
	c := &Content{files: make(map[string]string)}
	for _, path := range files {
		data, err := os.ReadFile(path)
		if err != nil {
			return nil, eris.Wrap(err, "check the file's name")
		}
		c.add(path, data, env)
	}
	slices.SortStableFunc(c.Items, func(a, b spec.Item) int {
		return slices.Index(order, a.Kind) - slices.Index(order, b.Kind)
	})
	return c, nil
}

func (c *Content) add(path string, data []byte, env func(string) (string, bool)) {
	var problems spec.Problems
	if into := settingsOf(data); into != nil {
		c.Settings++
		err := conf.Parse(data, env, into)
		if err != nil && !errors.As(err, &problems) {
			problems = spec.Problems{{Reason: err.Error()}}
		}
	} else {
		var items []spec.Item
		items, problems = spec.Read(data)
		for _, it := range items {
			c.files[it.Ref()] = path
		}
		c.Items = append(c.Items, items...)
	}
	for _, p := range problems {
		c.Findings = append(c.Findings, Finding{File: path, Problem: p})
	}
}

// settingsOf returns what to read the settings into, nil if data holds objects.
func settingsOf(data []byte) any {
	var first map[string]any
	if yaml.NewDecoder(bytes.NewReader(data)).Decode(&first) != nil || first["kind"] != nil {
		return nil
	}
	if first["endpoint"] != nil {
		return new(conf.Agent)
	}
	if first["ready"] != nil {
		return new(conf.Direct)
	}
	for _, field := range []string{"listen", "link", "fleet_key", "fleet_keys", "platform"} {
		if first[field] != nil {
			return new(conf.Entry)
		}
	}
	return nil
}

func expand(paths []string) ([]string, error) {
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
