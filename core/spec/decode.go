package spec

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"

	"gopkg.in/yaml.v3"
)

// IsOperatorKind reports whether operators write the objects of a kind.
func IsOperatorKind(kind string) bool {
	switch kind {
	case KindClass, KindCustomer, KindModel, KindService:
		return true
	}
	return false
}

// Object is implemented by the objects that operators write.
type Object interface {
	// Check returns every problem of the object that can be found without other
	// objects.
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

// newObject returns a pointer to an empty object of a kind, nil for the kinds that
// operators do not write.
func newObject(kind string) Object {
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

// deref returns the object that o, a pointer from newObject, points to.
func deref(o Object) Object {
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

// Decode reads and checks the content of an object as the platform stores it. It
// returns a Class, Customer, Model or Service and every problem found. For the kinds
// that processes write it returns nil and no problems.
func Decode(kind, name string, data []byte) (Object, Problems) {
	o := newObject(kind)
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
	return deref(o), ps
}

// decodeJSON reads data into an object and rejects unknown fields. encoding/json
// stops at the first problem, so bad content is read a second time to report all of
// them.
func decodeJSON(data []byte, into any) Problems {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	err := dec.Decode(into)
	if err == nil {
		if _, err = dec.Token(); err == io.EOF {
			return nil
		}
		err = fmt.Errorf("there is more content after the object")
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

// dropField removes the field name from the top-level mapping of a document.
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

// Encode returns the content of an object as the platform stores it, with applied as
// its writer.
func Encode(o Object, applied *Applied) ([]byte, error) {
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

// AppliedOf returns who wrote an object, or nil if the content does not say.
func AppliedOf(data []byte) *Applied {
	var o struct {
		Applied *Applied `json:"applied"`
	}
	if json.Unmarshal(data, &o) != nil {
		return nil
	}
	return o.Applied
}
