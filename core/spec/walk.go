package spec

import (
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"gopkg.in/yaml.v3"
)

// DecodeNode fills into from a YAML node and returns every problem at once:
// unknown and doubled fields, wrong types, wrong units. The YAML decoder itself
// stops at the first of some of them. What is wrong is cut out of n, so that
// the rest can be decoded and checked too.
func DecodeNode(n *yaml.Node, into any) Problems {
	var ps Problems
	if n.Kind == yaml.DocumentNode && len(n.Content) == 1 {
		n = n.Content[0]
	}
	if !walk(&ps, n, reflect.TypeOf(into).Elem(), "") {
		return ps
	}
	if err := n.Decode(into); err != nil {
		ps.at(n, "", err.Error(), "write the value as docs/OPERATIONS.md shows")
	}
	return ps
}

func (ps *Problems) at(n *yaml.Node, field, reason, remedy string) {
	*ps = append(*ps, Problem{Line: n.Line, Field: field, Reason: reason, Remedy: remedy})
}

var durationType = reflect.TypeFor[Duration]()

// walk notes what is wrong in n and reports whether n itself can be decoded
// once the wrong parts inside it are cut out.
func walk(ps *Problems, n *yaml.Node, t reflect.Type, path string) bool {
	switch {
	case n.Kind == yaml.AliasNode:
		ps.at(n, path, "aliases are not supported", "write the value out")
		return false
	case n.Tag == "!!null":
		// An empty value is the same as none.
		return true
	case t == durationType:
		return walkDuration(ps, n, path)
	case t.Kind() == reflect.Struct:
		return walkStruct(ps, n, t, path)
	case t.Kind() == reflect.Slice:
		return walkSlice(ps, n, t, path)
	case t.Kind() == reflect.Map:
		return walkMap(ps, n, t, path)
	case n.Kind != yaml.ScalarNode:
		ps.at(n, path, "a single value is expected here", "write "+example(t))
		return false
	}
	return walkScalar(ps, n, t, path)
}

func walkStruct(ps *Problems, n *yaml.Node, t reflect.Type, path string) bool {
	if n.Kind != yaml.MappingNode {
		ps.at(n, path, "fields are expected here", "write one `field: value` a line")
		return false
	}
	fields := fieldsOf(t)
	seen := make(map[string]bool)
	var kept []*yaml.Node
	for i := 0; i+1 < len(n.Content); i += 2 {
		key, value := n.Content[i], n.Content[i+1]
		field := join(path, key.Value)
		ft, ok := fields[key.Value]
		switch {
		case !ok:
			ps.at(key, field, "unknown field", known(fields))
		case seen[key.Value]:
			ps.at(key, field, "field stands twice", "remove one")
		case walk(ps, value, ft, field):
			kept = append(kept, key, value)
		}
		seen[key.Value] = true
	}
	n.Content = kept
	return true
}

// fieldsOf returns the fields of a struct by their YAML names.
func fieldsOf(t reflect.Type) map[string]reflect.Type {
	fields := make(map[string]reflect.Type)
	for i := range t.NumField() {
		f := t.Field(i)
		name, options, _ := strings.Cut(f.Tag.Get("yaml"), ",")
		switch {
		case options == "inline":
			for k, v := range fieldsOf(f.Type) {
				fields[k] = v
			}
		case name != "" && name != "-":
			fields[name] = f.Type
		}
	}
	return fields
}

func known(fields map[string]reflect.Type) string {
	names := make([]string, 0, len(fields))
	for name := range fields {
		names = append(names, name)
	}
	slices.Sort(names)
	return "use one of " + strings.Join(names, ", ")
}

func walkSlice(ps *Problems, n *yaml.Node, t reflect.Type, path string) bool {
	if n.Kind != yaml.SequenceNode {
		ps.at(n, path, "a list is expected here", "write one `- item` a line, or [a, b]")
		return false
	}
	ok := true
	for i, item := range n.Content {
		ok = walk(ps, item, t.Elem(), path+"["+strconv.Itoa(i)+"]") && ok
	}
	return ok
}

func walkMap(ps *Problems, n *yaml.Node, t reflect.Type, path string) bool {
	if n.Kind != yaml.MappingNode {
		ps.at(n, path, "pairs are expected here", "write one `key: value` a line")
		return false
	}
	ok := true
	seen := make(map[string]bool)
	for i := 0; i+1 < len(n.Content); i += 2 {
		key := n.Content[i]
		if key.Kind != yaml.ScalarNode {
			ps.at(key, path, "a key must be text", "write `key: value`")
			ok = false
			continue
		}
		if seen[key.Value] {
			ps.at(key, join(path, key.Value), "key stands twice", "remove one")
			ok = false
		}
		seen[key.Value] = true
		ok = walk(ps, n.Content[i+1], t.Elem(), join(path, key.Value)) && ok
	}
	return ok
}

func walkDuration(ps *Problems, n *yaml.Node, path string) bool {
	if _, err := time.ParseDuration(n.Value); n.Kind != yaml.ScalarNode || err != nil {
		ps.at(n, path, quoted(n)+" is not a duration", "write a number with a unit, such as 1.5s or 49ms")
		return false
	}
	return true
}

func walkScalar(ps *Problems, n *yaml.Node, t reflect.Type, path string) bool {
	if fits(n, t) {
		return true
	}
	ps.at(n, path, quoted(n)+" does not fit here", "write "+example(t))
	return false
}

func fits(n *yaml.Node, t reflect.Type) bool {
	switch t.Kind() {
	case reflect.Bool:
		return n.Tag == "!!bool" && n.Decode(new(bool)) == nil
	case reflect.Int, reflect.Int64:
		return n.Tag == "!!int" && n.Decode(new(int64)) == nil
	case reflect.Uint8:
		return n.Tag == "!!int" && n.Decode(new(uint8)) == nil
	case reflect.Float64:
		return (n.Tag == "!!int" || n.Tag == "!!float") && n.Decode(new(float64)) == nil
	case reflect.String:
		return n.Tag != "!!binary"
	}
	return true
}

func example(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Bool:
		return "true or false"
	case reflect.Int, reflect.Int64:
		return "a whole number"
	case reflect.Uint8:
		return "a whole number from 0 to 255"
	case reflect.Float64:
		return "a number"
	}
	return "text"
}

// maxQuoted is how much of a bad value a message repeats.
const maxQuoted = 40

func quoted(n *yaml.Node) string {
	if n.Kind != yaml.ScalarNode {
		return "this"
	}
	v := n.Value
	if len(v) > maxQuoted {
		v = v[:maxQuoted] + "..."
	}
	return fmt.Sprintf("%q", v)
}

func join(path, field string) string {
	if path == "" {
		return field
	}
	return path + "." + field
}
