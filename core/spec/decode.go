package spec

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"

	"gopkg.in/yaml.v3"
)

// Operators reports whether operators write objects of a kind.
func Operators(kind string) bool {
	switch kind {
	case KindClass, KindCustomer, KindModel, KindService:
		return true
	}
	return false
}

// Named is what operators' objects have in common.
type Named interface {
	// Check returns all that is wrong with the object by itself.
	Check() Problems
	// ObjectName returns the name that the object states.
	ObjectName() string
}

// ObjectName returns the class's name.
func (c Class) ObjectName() string { return c.Name }

// ObjectName returns the customer's name.
func (c Customer) ObjectName() string { return c.Name }

// ObjectName returns the model's name.
func (m Model) ObjectName() string { return m.Name }

// ObjectName returns the service's name.
func (s Service) ObjectName() string { return s.Name }

// blank returns a pointer to an empty object of a kind, nil for kinds that
// operators do not write.
func blank(kind string) Named {
	switch kind {
	case KindClass:
		return new(Class)
	case KindCustomer:
		return new(Customer)
	case KindModel:
		return new(Model)
	case KindService:
		return new(Service)
	}
	return nil
}

// value returns what a pointer of blank points to.
func value(o Named) Named {
	switch o := o.(type) {
	case *Class:
		return *o
	case *Customer:
		return *o
	case *Model:
		return *o
	case *Service:
		return *o
	}
	return o
}

// Decode reads and checks the content of an object as the platform holds it.
// It returns a Class, Customer, Model or Service, nil for the kinds that
// processes write, and all that is wrong.
func Decode(kind, name string, data []byte) (Named, Problems) {
	o := blank(kind)
	if o == nil {
		return nil, nil
	}
	ps := decodeJSON(data, o)
	if len(ps) == 0 {
		ps = o.Check()
		if o.ObjectName() != name {
			ps.add("name", fmt.Sprintf("%q is not the name that the object is stored under", o.ObjectName()), "write "+name)
		}
	}
	for i := range ps {
		ps[i].Object = kind + "/" + name
	}
	return value(o), ps
}

// decodeJSON reads strictly. encoding/json stops at the first problem, so bad
// content is read a second time to tell all of them.
func decodeJSON(data []byte, into any) Problems {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	err := dec.Decode(into)
	if err == nil {
		if _, err = dec.Token(); err == io.EOF {
			return nil
		}
		err = fmt.Errorf("content goes on behind the object")
	}
	if json.Valid(data) {
		var n yaml.Node
		if yaml.Unmarshal(data, &n) == nil {
			dropField(&n, "applied")
			if ps := DecodeNode(&n, into); len(ps) > 0 {
				return ps
			}
		}
	}
	return Problems{{Reason: err.Error(), Remedy: "write the object with `lychee apply`"}}
}

func dropField(n *yaml.Node, name string) {
	if n.Kind != yaml.DocumentNode || len(n.Content) != 1 || n.Content[0].Kind != yaml.MappingNode {
		return
	}
	m := n.Content[0]
	for i := 0; i+1 < len(m.Content); i += 2 {
		if m.Content[i].Value == name {
			m.Content = append(m.Content[:i:i], m.Content[i+2:]...)
			return
		}
	}
}

// Encode returns the content of an object as the platform holds it.
func Encode(o Named, applied *Applied) ([]byte, error) {
	switch o := o.(type) {
	case Class:
		o.Applied = applied
		return json.Marshal(o)
	case Customer:
		o.Applied = applied
		return json.Marshal(o)
	case Model:
		o.Applied = applied
		return json.Marshal(o)
	case Service:
		o.Applied = applied
		return json.Marshal(o)
	}
	return nil, fmt.Errorf("spec: cannot encode %T: use a Class, Customer, Model or Service", o)
}

// AppliedOf returns who wrote an object, nil if the content does not tell.
func AppliedOf(data []byte) *Applied {
	var o struct {
		Applied *Applied `json:"applied"`
	}
	if json.Unmarshal(data, &o) != nil {
		return nil
	}
	return o.Applied
}
