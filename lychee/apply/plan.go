// Package apply compares objects with those at the platform and writes the
// changed ones, each under the condition that nobody else changed it.
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

// Change is the difference between an object of a file and the platform.
type Change struct {
	Item spec.Item
	// Version is the platform's version, zero if it has no such object.
	Version int64
	// By is who wrote the platform's version, nil if it does not tell.
	By *spec.Applied
	// Lines is the difference, from the platform's version to the file's. It
	// is empty when both are the same.
	Lines []string
}

// Same reports whether there is nothing to write.
func (c Change) Same() bool { return len(c.Lines) == 0 }

// Getter reads one object of the platform.
type Getter func(ctx context.Context, kind, name string) (plat.Object, error)

// Compare compares an object with the platform's.
func Compare(ctx context.Context, get Getter, it spec.Item) (Change, error) {
	now, err := get(ctx, it.Kind, it.Name)
	if errors.Is(err, plat.ErrNotFound) {
		return Change{Item: it, Lines: Lines("", Text(it.Kind, it.Object))}, nil
	}
	if err != nil {
		return Change{}, eris.Wrap(err, it.Ref())
	}
	return against(it, now)
}

func against(it spec.Item, now plat.Object) (Change, error) {
	c := Change{Item: it, Version: now.Version, By: spec.AppliedOf(now.Data)}
	had, problems := spec.Decode(now.Kind, now.Name, now.Data)
	if len(problems) > 0 {
		// A bad object is shown as it stands, so that its mistake is seen.
		c.Lines = Lines(string(now.Data)+"\n", Text(it.Kind, it.Object))
		return c, nil
	}
	a, err := spec.Encode(had, nil)
	if err != nil {
		return c, err
	}
	b, err := spec.Encode(it.Object, nil)
	if err != nil {
		return c, err
	}
	if !bytes.Equal(a, b) {
		c.Lines = Lines(Text(now.Kind, had), Text(it.Kind, it.Object))
	}
	return c, nil
}

// Text returns an object as YAML, as files hold it.
func Text(kind string, o spec.Object) string {
	var b bytes.Buffer
	fmt.Fprintf(&b, "kind: %s\n", kind)
	enc := yaml.NewEncoder(&b)
	enc.SetIndent(2)
	if err := enc.Encode(o); err != nil {
		return err.Error()
	}
	return b.String()
}
