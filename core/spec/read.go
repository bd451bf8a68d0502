package spec

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"

	"gopkg.in/yaml.v3"
)

// maxFile is the largest file of objects in bytes.
const maxFile = 64 << 20

// Item is one object of a file.
type Item struct {
	Kind string
	Name string
	// Line is where the object begins.
	Line   int
	Object Named
	// IfVersion is the version that the operator's change was made from, zero
	// if the file does not tell.
	IfVersion int64
	node      *yaml.Node
}

// ItemOf returns an object that does not come from a file as an Item.
func ItemOf(kind string, o Named) Item { return Item{Kind: kind, Name: o.ObjectName(), Object: o} }

// Ref returns KIND/NAME.
func (i Item) Ref() string { return i.Kind + "/" + i.Name }

// Read reads the objects of a file: YAML documents, or one JSON object, each
// with its kind. It returns every problem of every object, those between the
// objects not included; see CheckSet.
func Read(data []byte) ([]Item, Problems) {
	if len(data) > maxFile {
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
			return items, append(all, Syntax(err))
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

// Syntax is the problem of text that is not YAML at all.
func Syntax(err error) Problem {
	p := Problem{Reason: strings.TrimPrefix(err.Error(), "yaml: "), Remedy: "mend the YAML: check indentation, colons and quotes"}
	if n, _ := fmt.Sscanf(p.Reason, "line %d:", &p.Line); n == 1 {
		_, p.Reason, _ = strings.Cut(p.Reason, ": ")
	}
	return p
}

func readItem(n *yaml.Node) (Item, Problems) {
	var ps Problems
	if n.Kind != yaml.MappingNode {
		ps.at(n, "", "an object is expected here", "write `kind: class` and the object's fields, separate objects by ---")
		return Item{}, ps
	}
	kind, _ := child(n, "kind")
	if kind == nil || !Operators(kind.Value) {
		at, reason := n, "is missing"
		if kind != nil {
			at, reason = kind, quoted(kind)+" is not a kind that operators write"
		}
		ps.at(at, "kind", reason, "use one of class, customer, model, service")
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
				ps.at(key, "if_version", quoted(value)+" is not a version", "write what `lychee get` printed, or leave it out")
			}
		default:
			rest.Content = append(rest.Content, key, value)
		}
	}
	item.node = &rest
	if name, _ := child(n, "name"); name != nil {
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

func readKind(kind string, n *yaml.Node) (Named, Problems) {
	o := blank(kind)
	ps := DecodeNode(n, o)
	found := o.Check()
	found.Locate(n)
	return value(o), ps.With(found)
}
