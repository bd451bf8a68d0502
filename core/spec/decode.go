package spec

import (
	"bytes"
	"encoding/json"
)

// Operators reports whether operators write objects of a kind.
func Operators(kind string) bool {
	switch kind {
	case KindClass, KindCustomer, KindModel, KindService:
		return true
	}
	return false
}

// Decode reads and checks the content of an object. It returns a Class,
// Customer, Model or Service, nil for the kinds that processes write, and all
// that is wrong.
func Decode(kind, name string, data []byte) (any, Problems) {
	switch kind {
	case KindClass:
		return decode[Class](name, data)
	case KindCustomer:
		return decode[Customer](name, data)
	case KindModel:
		return decode[Model](name, data)
	case KindService:
		return decode[Service](name, data)
	}
	return nil, nil
}

func decode[T any](_ string, data []byte) (any, Problems) {
	var o T
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&o); err != nil {
		return nil, Problems{{Reason: err.Error(), Remedy: "mend the object"}}
	}
	return o, nil
}
