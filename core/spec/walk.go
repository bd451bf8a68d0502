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

// DecodeNode decodes a YAML node into the struct that into points to and returns
// every problem: unknown and repeated fields, wrong types and wrong units. The YAML
// decoder itself stops at the first of some of them. DecodeNode removes the wrong
// parts from n, so that the rest can be decoded and checked too.
func DecodeNode(n *yaml.Node, into any) Problems {
	var ps Problems
	if n.Kind == yaml.DocumentNode && len(n.Content) == 1 {
		n = n.Content[0]
	}
	if !check(&ps, n, reflect.TypeOf(into).Elem(), "") {
		return ps
	}
	if err := n.Decode(into); err != nil {
		ps.addAt(n, "", err.Error(), "write the value as docs/OPERATIONS.md shows")
	}
	return ps
}

// addAt adds a problem at the line of n.
func (ps *Problems) addAt(n *yaml.Node, field, reason, remedy string) {
	*ps = append(*ps, Problem{Line: n.Line, Field: field, Reason: reason, Remedy: remedy})
}

var durationType = reflect.TypeFor[Duration]()

// check adds the problems in n to ps and reports whether n can be decoded once the
// wrong parts inside it are removed.
func check(ps *Problems, n *yaml.Node, t reflect.Type, path string) bool {
	switch {
	case n.Kind == yaml.AliasNode:
		ps.addAt(n, path, "aliases are not supported", "write the value out")
		return false
	case n.Tag == "!!null":
		// An empty value counts as a missing one.
		return true
	case t == durationType:
		return checkDurationNode(ps, n, path)
	case t.Kind() == reflect.Struct:
		return checkStruct(ps, n, t, path)
	case t.Kind() == reflect.Slice:
		return checkSlice(ps, n, t, path)
	case t.Kind() == reflect.Map:
		return checkMap(ps, n, t, path)
	case n.Kind != yaml.ScalarNode:
		ps.addAt(n, path, "a single value is expected here", "write "+describe(t))
		return false
	}
	return checkScalar(ps, n, t, path)
}

func checkStruct(ps *Problems, n *yaml.Node, t reflect.Type, path string) bool {
	if n.Kind != yaml.MappingNode {
		ps.addAt(n, path, "fields are expected here", "write one `field: value` per line")
		return false
	}
	fields := fieldsOf(t)
	seen := make(map[string]bool)
	var kept []*yaml.Node
	for i := 0; i+1 < len(n.Content); i += 2 {
		key, value := n.Content[i], n.Content[i+1]
		field := joinPath(path, key.Value)
		ft, ok := fields[key.Value]
		switch {
		case !ok:
			ps.addAt(key, field, "unknown field", listFields(fields))
		case seen[key.Value]:
			ps.addAt(key, field, "field appears twice", "remove one")
		case check(ps, value, ft, field):
			kept = append(kept, key, value)
		}
		seen[key.Value] = true
	}
	n.Content = kept
	return true
}

// fieldsOf returns the types of a struct's fields by their YAML names, including
// those of inlined structs.
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

// listFields returns the remedy that lists the known fields, sorted by name.
func listFields(fields map[string]reflect.Type) string {
	names := make([]string, 0, len(fields))
	for name := range fields {
		names = append(names, name)
	}
	slices.Sort(names)
	return "use one of " + strings.Join(names, ", ")
}

func checkSlice(ps *Problems, n *yaml.Node, t reflect.Type, path string) bool {
	if n.Kind != yaml.SequenceNode {
		ps.addAt(n, path, "a list is expected here", "write one `- item` per line, or [a, b]")
		return false
	}
	ok := true
	for i, item := range n.Content {
		ok = check(ps, item, t.Elem(), path+"["+strconv.Itoa(i)+"]") && ok
	}
	return ok
}

func checkMap(ps *Problems, n *yaml.Node, t reflect.Type, path string) bool {
	if n.Kind != yaml.MappingNode {
		ps.addAt(n, path, "pairs are expected here", "write one `key: value` per line")
		return false
	}
	ok := true
	seen := make(map[string]bool)
	for i := 0; i+1 < len(n.Content); i += 2 {
		key := n.Content[i]
		if key.Kind != yaml.ScalarNode {
			ps.addAt(key, path, "a key must be text", "write `key: value`")
			ok = false
			continue
		}
		if seen[key.Value] {
			ps.addAt(key, joinPath(path, key.Value), "key appears twice", "remove one")
			ok = false
		}
		seen[key.Value] = true
		ok = check(ps, n.Content[i+1], t.Elem(), joinPath(path, key.Value)) && ok
	}
	return ok
}

func checkDurationNode(ps *Problems, n *yaml.Node, path string) bool {
	if _, err := time.ParseDuration(n.Value); n.Kind != yaml.ScalarNode || err != nil {
		ps.addAt(n, path, quoted(n)+" is not a duration", "write a number with a unit, such as 1.5s or 49ms")
		return false
	}
	return true
}

func checkScalar(ps *Problems, n *yaml.Node, t reflect.Type, path string) bool {
	if isValid(n, t) {
		return true
	}
	ps.addAt(n, path, quoted(n)+" is not allowed here", "write "+describe(t))
	return false
}

// isValid reports whether the value of n can be decoded as a t.
func isValid(n *yaml.Node, t reflect.Type) bool {
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

// describe returns a description of the values of type t.
func describe(t reflect.Type) string {
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

// maxQuoted is the maximum number of bytes of a bad value that a message repeats.
const maxQuoted = 40

// quoted returns the value of n in quotes, shortened to maxQuoted bytes.
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

// joinPath returns the path of a field inside the field at path.
func joinPath(path, field string) string {
	if path == "" {
		return field
	}
	return path + "." + field
}
