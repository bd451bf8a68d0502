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

// blinded is the MAC of a key's hash under the process's own secret.
type blinded [sha256.Size]byte

// holder is a customer that claims a key, the index-th of its keys.
type holder struct {
	customer string
	index    int
}

// holders are all customers that claim one key. There is hardly ever more than
// one, so the first needs no list.
type holders struct {
	first holder
	more  []holder
}

// CustomerByKey returns the customer that a bearer key belongs to. A key that
// two customers claim belongs to neither, because an answer must not be shown
// to the wrong one; `lychee check` refuses such customers.
//
// The index is searched under a MAC of the key's hash, so the time that a
// search takes depends on nothing that a caller could use to guess a stored
// hash; the hash itself is compared in constant time.
func (s *Store) CustomerByKey(bearer string) (spec.Customer, spec.Key, bool) {
	now := s.snap.Load()
	hash := sha256.Sum256([]byte(bearer))
	found, ok := now.keys.get(s.blind(hash))
	if !ok || len(found.more) > 0 {
		return spec.Customer{}, spec.Key{}, false
	}
	customer, ok := now.customers.get(found.first.customer)
	if !ok {
		return spec.Customer{}, spec.Key{}, false
	}
	key := customer.Keys[found.first.index]
	want, ok := hashOf(key)
	if !ok || subtle.ConstantTimeCompare(want[:], hash[:]) != 1 {
		return spec.Customer{}, spec.Key{}, false
	}
	return customer, key, true
}

func (s *Store) blind(hash [sha256.Size]byte) blinded {
	mac := hmac.New(sha256.New, s.secret[:])
	mac.Write(hash[:])
	return blinded(mac.Sum(nil))
}

// index takes a decoded object into the typed tables. Names are shared with the
// record and between objects, and who wrote an object is left to the platform.
func (s *Store) index(next *snapshot, at ref, decoded spec.Named) {
	switch o := decoded.(type) {
	case spec.Class:
		o.Name, o.Applied = at.name, nil
		next.classes = next.classes.with(at.name, o)
	case spec.Model:
		o.Name, o.Applied = at.name, nil
		next.models = next.models.with(at.name, o)
	case spec.Service:
		o.Name, o.Applied = at.name, nil
		next.services = next.services.with(at.name, o)
	case spec.Customer:
		o.Name, o.Applied = at.name, nil
		for i := range o.Keys {
			o.Keys[i].Class = unique.Make(o.Keys[i].Class).Value()
		}
		for i := range o.Classes {
			o.Classes[i] = unique.Make(o.Classes[i]).Value()
		}
		s.dropKeys(next, at.name)
		next.customers = next.customers.with(at.name, o)
		s.addKeys(next, o)
	}
}

func (s *Store) unindex(next *snapshot, at ref) {
	switch at.kind {
	case spec.KindClass:
		next.classes = next.classes.without(at.name)
	case spec.KindModel:
		next.models = next.models.without(at.name)
	case spec.KindService:
		next.services = next.services.without(at.name)
	case spec.KindCustomer:
		s.dropKeys(next, at.name)
		next.customers = next.customers.without(at.name)
	}
}

func (s *Store) addKeys(next *snapshot, c spec.Customer) {
	for i, k := range c.Keys {
		at, ok := s.keyOf(k)
		if !ok {
			continue
		}
		h := holder{customer: c.Name, index: i}
		had, ok := next.keys.get(at)
		if ok {
			had.more = append(slices.Clone(had.more), h)
		} else {
			had.first = h
		}
		next.keys = next.keys.with(at, had)
	}
}

func (s *Store) dropKeys(next *snapshot, customer string) {
	c, ok := next.customers.get(customer)
	if !ok {
		return
	}
	for _, k := range c.Keys {
		at, ok := s.keyOf(k)
		if !ok {
			continue
		}
		had, ok := next.keys.get(at)
		if !ok {
			continue
		}
		left := slices.DeleteFunc(append([]holder{had.first}, had.more...), func(h holder) bool { return h.customer == customer })
		if len(left) == 0 {
			next.keys = next.keys.without(at)
			continue
		}
		next.keys = next.keys.with(at, holders{first: left[0], more: left[1:]})
	}
}

func (s *Store) keyOf(k spec.Key) (blinded, bool) {
	hash, ok := hashOf(k)
	if !ok {
		return blinded{}, false
	}
	return s.blind(hash), true
}

func hashOf(k spec.Key) (hash [sha256.Size]byte, ok bool) {
	if len(k.SHA256) != 2*sha256.Size {
		return hash, false
	}
	_, err := hex.Decode(hash[:], []byte(k.SHA256))
	return hash, err == nil
}
