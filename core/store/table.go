package store

import (
	"hash/maphash"
	"maps"
)

// tableParts is the number of parts of a table. With 21,000 customers, a change copies
// one part of about 80 elements instead of the whole table.
const tableParts = 256

var seed = maphash.MakeSeed()

// table is a persistent map: a frozen table is never changed. The first change of a
// frozen table returns a copy that shares all parts but one, and further changes
// modify that copy until it is frozen.
type table[K comparable, V any] struct {
	parts [tableParts]map[K]V
	size  int
	// owned marks the parts that are not shared with another table. It is nil in a
	// frozen table.
	owned *[tableParts]bool
}

// partOf returns the index of the part that holds k.
func partOf[K comparable](k K) int { return int(maphash.Comparable(seed, k) % tableParts) }

func (t *table[K, V]) get(k K) (V, bool) {
	v, ok := t.parts[partOf(k)][k]
	return v, ok
}

// with returns a table with v stored under k.
func (t *table[K, V]) with(k K, v V) *table[K, V] {
	next, part := t.edit(partOf(k))
	next.size -= len(part)
	part[k] = v
	next.size += len(part)
	return next
}

// without returns a table without k.
func (t *table[K, V]) without(k K) *table[K, V] {
	if _, ok := t.get(k); !ok {
		return t
	}
	next, part := t.edit(partOf(k))
	delete(part, k)
	next.size--
	return next
}

// edit returns a table whose i-th part may be changed, and that part. The table is t
// itself unless t is frozen.
func (t *table[K, V]) edit(i int) (*table[K, V], map[K]V) {
	next := t
	if t.owned == nil {
		c := *t
		next = &c
		next.owned = new([tableParts]bool)
	}
	if !next.owned[i] {
		next.owned[i] = true
		next.parts[i] = maps.Clone(next.parts[i])
	}
	if next.parts[i] == nil {
		next.parts[i] = make(map[K]V)
	}
	return next, next.parts[i]
}

// freeze makes the table read-only, so that other goroutines may read it from then
// on.
func (t *table[K, V]) freeze() { t.owned = nil }

// frozen reports whether the table is read-only.
func (t *table[K, V]) frozen() bool { return t.owned == nil }

// each calls f for every key and its value until f returns false. The order is random.
func (t *table[K, V]) each(f func(K, V) bool) {
	for _, part := range t.parts {
		for k, v := range part {
			if !f(k, v) {
				return
			}
		}
	}
}
