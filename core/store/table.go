package store

import (
	"hash/maphash"
	"maps"
)

// shards is how many parts a table has. With 21,000 customers a change copies
// a part of about 80 entries in place of all.
const shards = 256

var seed = maphash.MakeSeed()

// table is a map that is never changed once it can be read. Its first change
// returns a copy that shares all parts but one; further changes go to that copy
// until it is frozen.
type table[K comparable, V any] struct {
	parts [shards]map[K]V
	size  int
	// fresh marks the parts that are not shared with another table; it is nil
	// in a frozen one.
	fresh *[shards]bool
}

func shardOf[K comparable](k K) int { return int(maphash.Comparable(seed, k) % shards) }

func (t *table[K, V]) get(k K) (V, bool) {
	v, ok := t.parts[shardOf(k)][k]
	return v, ok
}

// with returns a table that holds v under k.
func (t *table[K, V]) with(k K, v V) *table[K, V] {
	next, part := t.edit(shardOf(k))
	next.size -= len(part)
	part[k] = v
	next.size += len(part)
	return next
}

// without returns a table that holds nothing under k.
func (t *table[K, V]) without(k K) *table[K, V] {
	if _, ok := t.get(k); !ok {
		return t
	}
	next, part := t.edit(shardOf(k))
	delete(part, k)
	next.size--
	return next
}

// edit returns a table, t itself if it is not frozen, whose i-th part may be
// changed.
func (t *table[K, V]) edit(i int) (*table[K, V], map[K]V) {
	next := t
	if t.fresh == nil {
		c := *t
		next = &c
		next.fresh = new([shards]bool)
	}
	if !next.fresh[i] {
		next.fresh[i] = true
		next.parts[i] = maps.Clone(next.parts[i])
	}
	if next.parts[i] == nil {
		next.parts[i] = make(map[K]V)
	}
	return next, next.parts[i]
}

// freeze ends the changes of a table, which may be read by others from then on.
func (t *table[K, V]) freeze() { t.fresh = nil }

func (t *table[K, V]) frozen() bool { return t.fresh == nil }

// each calls f for every entry until it returns false.
func (t *table[K, V]) each(f func(K, V) bool) {
	for _, part := range t.parts {
		for k, v := range part {
			if !f(k, v) {
				return
			}
		}
	}
}
