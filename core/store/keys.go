package store

import (
	"crypto/hmac"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"slices"

	"lycheepond/core/spec"
)

// blinded is the MAC of a key's hash under the process's own secret.
type blinded [sha256.Size]byte

// holder is a customer that claims a key.
type holder struct {
	hash     [sha256.Size]byte
	customer string
	key      spec.Key
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
	holders, _ := now.keys.get(s.blind(hash))
	found := holder{}
	if len(holders) == 1 {
		found = holders[0]
	}
	if subtle.ConstantTimeCompare(found.hash[:], hash[:]) != 1 || found.customer == "" {
		return spec.Customer{}, spec.Key{}, false
	}
	customer, ok := now.customers.get(found.customer)
	return customer, found.key, ok
}

func (s *Store) blind(hash [sha256.Size]byte) blinded {
	mac := hmac.New(sha256.New, s.secret[:])
	mac.Write(hash[:])
	return blinded(mac.Sum(nil))
}

func (s *Store) index(next *snapshot, at ref, decoded any) {
	switch o := decoded.(type) {
	case spec.Class:
		next.classes = next.classes.with(at.name, o)
	case spec.Model:
		next.models = next.models.with(at.name, o)
	case spec.Service:
		next.services = next.services.with(at.name, o)
	case spec.Customer:
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
	for _, k := range c.Keys {
		h := holder{customer: c.Name, key: k}
		if _, err := hex.Decode(h.hash[:], []byte(k.SHA256)); err != nil {
			continue
		}
		at := s.blind(h.hash)
		had, _ := next.keys.get(at)
		next.keys = next.keys.with(at, append(slices.Clone(had), h))
	}
}

func (s *Store) dropKeys(next *snapshot, customer string) {
	c, ok := next.customers.get(customer)
	if !ok {
		return
	}
	for _, k := range c.Keys {
		var hash [sha256.Size]byte
		if _, err := hex.Decode(hash[:], []byte(k.SHA256)); err != nil {
			continue
		}
		at := s.blind(hash)
		had, _ := next.keys.get(at)
		left := slices.DeleteFunc(slices.Clone(had), func(h holder) bool { return h.customer == customer })
		if len(left) == 0 {
			next.keys = next.keys.without(at)
			continue
		}
		next.keys = next.keys.with(at, left)
	}
}
