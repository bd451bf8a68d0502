package store

import (
	"crypto/hmac"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"slices"
	"unique"

	"lycheepond/core/spec"
)

// keyMAC is the MAC of a key's hash under the process's own secret.
type keyMAC [sha256.Size]byte

// keyHolder is a customer that has a key. index is the index of the key in the
// customer's list.
type keyHolder struct {
	customer string
	index    int
}

// keyHolders are the customers that have the same key. There is almost always only
// one, so the first is stored without a slice.
type keyHolders struct {
	first keyHolder
	more  []keyHolder
}

// CustomerByKey returns the customer that a bearer key belongs to. A key that two
// customers have is valid for neither, because a customer must not get another's
// answers; `lychee check` rejects such customers.
//
// The index is searched by a MAC of the key's hash, so the duration of a search
// reveals nothing with which a caller could guess a stored hash. The hash itself is
// compared in constant time.
func (s *Store) CustomerByKey(bearer string) (spec.Customer, spec.Key, bool) {
	current := s.snap.Load()
	hash := sha256.Sum256([]byte(bearer))
	holders, ok := current.keys.get(s.macOf(hash))
	if !ok || len(holders.more) > 0 {
		return spec.Customer{}, spec.Key{}, false
	}
	customer, ok := current.customers.get(holders.first.customer)
	if !ok {
		return spec.Customer{}, spec.Key{}, false
	}
	key := customer.Keys[holders.first.index]
	want, ok := decodeHash(key)
	if !ok || subtle.ConstantTimeCompare(want[:], hash[:]) != 1 {
		return spec.Customer{}, spec.Key{}, false
	}
	return customer, key, true
}

// macOf returns the MAC of a key's hash.
func (s *Store) macOf(hash [sha256.Size]byte) keyMAC {
	mac := hmac.New(sha256.New, s.secret[:])
	mac.Write(hash[:])
	return keyMAC(mac.Sum(nil))
}

// index adds a decoded object to the typed tables. Names share their memory with the
// record and between objects. The writer of the object is dropped, because the
// platform keeps it.
func (s *Store) index(next *snapshot, id objectID, decoded spec.Object) {
	switch o := decoded.(type) {
	case spec.Class:
		o.Name, o.Applied = id.name, nil
		next.classes = next.classes.with(id.name, o)
	case spec.Model:
		o.Name, o.Applied = id.name, nil
		next.models = next.models.with(id.name, o)
	case spec.Service:
		o.Name, o.Applied = id.name, nil
		next.services = next.services.with(id.name, o)
	case spec.Customer:
		o.Name, o.Applied = id.name, nil
		for i := range o.Keys {
			o.Keys[i].Class = unique.Make(o.Keys[i].Class).Value()
		}
		for i := range o.Classes {
			o.Classes[i] = unique.Make(o.Classes[i]).Value()
		}
		s.dropKeys(next, id.name)
		next.customers = next.customers.with(id.name, o)
		s.addKeys(next, o)
	}
}

// unindex removes an object from the typed tables.
func (s *Store) unindex(next *snapshot, id objectID) {
	switch id.kind {
	case spec.KindClass:
		next.classes = next.classes.without(id.name)
	case spec.KindModel:
		next.models = next.models.without(id.name)
	case spec.KindService:
		next.services = next.services.without(id.name)
	case spec.KindCustomer:
		s.dropKeys(next, id.name)
		next.customers = next.customers.without(id.name)
	}
}

// addKeys adds a customer's keys to the index.
func (s *Store) addKeys(next *snapshot, c spec.Customer) {
	for i, k := range c.Keys {
		mac, ok := s.keyOf(k)
		if !ok {
			continue
		}
		holder := keyHolder{customer: c.Name, index: i}
		holders, ok := next.keys.get(mac)
		if ok {
			holders.more = append(slices.Clone(holders.more), holder)
		} else {
			holders.first = holder
		}
		next.keys = next.keys.with(mac, holders)
	}
}

// dropKeys removes a customer's keys from the index.
func (s *Store) dropKeys(next *snapshot, customer string) {
	c, ok := next.customers.get(customer)
	if !ok {
		return
	}
	for _, k := range c.Keys {
		mac, ok := s.keyOf(k)
		if !ok {
			continue
		}
		holders, ok := next.keys.get(mac)
		if !ok {
			continue
		}
		remaining := slices.DeleteFunc(append([]keyHolder{holders.first}, holders.more...), func(h keyHolder) bool { return h.customer == customer })
		if len(remaining) == 0 {
			next.keys = next.keys.without(mac)
			continue
		}
		next.keys = next.keys.with(mac, keyHolders{first: remaining[0], more: remaining[1:]})
	}
}

// keyOf returns the MAC under which a key is indexed, or false if its hash is
// malformed.
func (s *Store) keyOf(k spec.Key) (keyMAC, bool) {
	hash, ok := decodeHash(k)
	if !ok {
		return keyMAC{}, false
	}
	return s.macOf(hash), true
}

// decodeHash decodes the hash of a key, or false if it is malformed.
func decodeHash(k spec.Key) (hash [sha256.Size]byte, ok bool) {
	if len(k.SHA256) != 2*sha256.Size {
		return hash, false
	}
	_, err := hex.Decode(hash[:], []byte(k.SHA256))
	return hash, err == nil
}
