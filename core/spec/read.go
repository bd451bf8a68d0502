package spec

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"

	"gopkg.in/yaml.v3"
)

// maxFileSize is the largest file of objects in bytes.
const maxFileSize = 64 << 20

// Item is one object in a file.
type Item struct {
	Kind string
	Name string
	// Line is the line on which the object begins.
	Line   int
	Object Object
	// IfVersion is the version on which the operator's change is based, or zero if the
	// file does not state it.
	IfVersion int64
	node      *yaml.Node
}

// NewItem returns an Item for an object that does not come from a file.
func NewItem(kind string, o Object) Item { return Item{Kind: kind, Name: o.ObjectName(), Object: o} }

// Ref returns KIND/NAME.
func (i Item) Ref() string { return i.Kind + "/" + i.Name }

// Read reads the objects in a file: YAML documents, or one JSON object, each with its
// kind. It returns every problem inside the objects; CheckSet finds those between
// objects.
func Read(data []byte) ([]Item, Problems) {
	if len(data) > maxFileSize {
		return nil, Problems{{Reason: "file is larger than 64 MiB", Remedy: "split it"}}
	}
	var items []Item
	var all Problems
	dec := yaml.NewDecoder(bytes.NewReader(data))
	for {
		var doc yaml.Node
		err := dec.Decode(&doc)
		if errors.Is(err, io.EOF) {
			return items, all
		}
		if err != nil {
			return items, append(all, SyntaxProblem(err))
		}
		if len(doc.Content) != 1 || doc.Content[0].Tag == "!!null" {
			continue
		}
		item, ps := readItem(doc.Content[0])
		all = append(all, ps...)
		if item.Object != nil {
			items = append(items, item)
		}
	}
}

// SyntaxProblem returns the problem for text that is not YAML. err is the error of
// the YAML decoder.
func SyntaxProblem(err error) Problem {
	p := Problem{Reason: strings.TrimPrefix(err.Error(), "yaml: "), Remedy: "correct the YAML: check indentation, colons and quotes"}
	if n, _ := fmt.Sscanf(p.Reason, "line %d:", &p.Line); n == 1 {
		_, p.Reason, _ = strings.Cut(p.Reason, ": ")
	}
	return p
}

// readItem reads the object in n, with the fields that only files have.
func readItem(n *yaml.Node) (Item, Problems) {
	var ps Problems
	if n.Kind != yaml.MappingNode {
		ps.addAt(n, "", "an object is expected here", "write `kind: class` and the object's fields, and separate objects by ---")
		return Item{}, ps
	}
	kind, _ := childNode(n, "kind")
	if kind == nil || !IsOperatorKind(kind.Value) {
		at, reason := n, "is missing"
		if kind != nil {
			at, reason = kind, quoted(kind)+" is not a kind that operators write"
		}
		ps.addAt(at, "kind", reason, "use one of class, customer, model, service")
		return Item{}, ps
	}
	item := Item{Kind: kind.Value, Line: n.Line}
	rest := *n
	rest.Content = nil
	for i := 0; i+1 < len(n.Content); i += 2 {
		switch key, value := n.Content[i], n.Content[i+1]; {
		case value == kind:
		case key.Value == "if_version":
			if value.Decode(&item.IfVersion) != nil || item.IfVersion < 1 {
				ps.addAt(key, "if_version", quoted(value)+" is not a version", "write what `lychee get` printed, or leave it out")
			}
		default:
			rest.Content = append(rest.Content, key, value)
		}
	}
	item.node = &rest
	if name, _ := childNode(n, "name"); name != nil {
		item.Name = name.Value
	}
	o, found := readKind(item.Kind, &rest)
	ps = append(ps, found...)
	if len(ps) == 0 {
		item.Object = o
	}
	for i := range ps {
		ps[i].Object = item.Ref()
	}
	return item, ps
}

// readKind decodes and checks the object of a kind in n.
func readKind(kind string, n *yaml.Node) (Object, Problems) {
	o := newObject(kind)
	ps := DecodeNode(n, o)
	found := o.Check()
	found.Locate(n)
	return deref(o), ps.Merge(found)
}
