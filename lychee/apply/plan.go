// Package apply compares objects with those at the platform and writes the
// changed ones. Each write takes effect only if nobody else has changed the
// object since it was read.
package apply

import (
	"bytes"
	"context"
	"errors"
	"fmt"

	"github.com/rotisserie/eris"
	"gopkg.in/yaml.v3"

	"lycheepond/core/plat"
	"lycheepond/core/spec"
)

// Change is the difference between an object of a file and the platform's
// version of it.
type Change struct {
	Item spec.Item
	// Version is the platform's version, zero if it has no such object.
	Version int64
	// WrittenBy is the author of the platform's version, nil if the object
	// doesn't say.
	WrittenBy *spec.Applied
	// DiffLines is the difference from the platform's version to the file's, as
	// returned by Diff. It is empty if the two are equal.
	DiffLines []string
}

// IsUnchanged reports whether the file's object equals the platform's.
func (c Change) IsUnchanged() bool { return len(c.DiffLines) == 0 }

// Getter reads one object from the platform.
type Getter func(ctx context.Context, kind, name string) (plat.Object, error)

// Compare reads the platform's version of an object and compares the two. An
// object that the platform doesn't have differs in every line.
func Compare(ctx context.Context, get Getter, item spec.Item) (Change, error) {
	current, err := get(ctx, item.Kind, item.Name)
	if errors.Is(err, plat.ErrNotFound) {
		return Change{Item: item, DiffLines: Diff("", FormatYAML(item.Kind, item.Object))}, nil
	}
	if err != nil {
		return Change{}, eris.Wrap(err, item.Ref())
	}
	return compareWith(item, current)
}

// compareWith compares an object with the platform's version of it.
func compareWith(item spec.Item, current plat.Object) (Change, error) {
	change := Change{Item: item, Version: current.Version, WrittenBy: spec.AppliedOf(current.Data)}
	currentObject, problems := spec.Decode(current.Kind, current.Name, current.Data)
	if len(problems) > 0 {
		// An invalid object is shown as stored, so that the operator sees what
		// is wrong with it.
		change.DiffLines = Diff(string(current.Data)+"\n", FormatYAML(item.Kind, item.Object))
		return change, nil
	}
	currentData, err := spec.Encode(currentObject, nil)
	if err != nil {
		return change, err
	}
	itemData, err := spec.Encode(item.Object, nil)
	if err != nil {
		return change, err
	}
	if !bytes.Equal(currentData, itemData) {
		change.DiffLines = Diff(FormatYAML(current.Kind, currentObject), FormatYAML(item.Kind, item.Object))
	}
	return change, nil
}

// FormatYAML returns an object as the YAML document of a file, with its kind.
func FormatYAML(kind string, o spec.Object) string {
	var b bytes.Buffer
	fmt.Fprintf(&b, "kind: %s\n", kind)
	enc := yaml.NewEncoder(&b)
	enc.SetIndent(2)
	if err := enc.Encode(o); err != nil {
		return err.Error()
	}
	return b.String()
}
