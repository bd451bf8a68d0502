package store

import "hash/maphash"

// shards is how many parts a table has. With 21,000 customers a change copies
// a part of about 80 entries in place of all.
const shards = 256

var seed = maphash.MakeSeed()

// table is a map that is never changed once it can be read: a change returns a
// new table that shares all parts but one.
type table[K comparable, V any] struct {
	parts [shards]map[K]V
	size  int
}

func shardOf[K comparable](k K) int { return int(maphash.Comparable(seed, k) % shards) }

func (t *table[K, V]) get(k K) (V, bool) {
	v, ok := t.parts[shardOf(k)][k]
	return v, ok
}

func (t *table[K, V]) with(k K, v V) *table[K, V] {
	i := shardOf(k)
	part := make(map[K]V, len(t.parts[i])+1)
	for a, b := range t.parts[i] {
		part[a] = b
	}
	part[k] = v
	return t.replace(i, part)
}

func (t *table[K, V]) without(k K) *table[K, V] {
	i := shardOf(k)
	if _, ok := t.parts[i][k]; !ok {
		return t
	}
	part := make(map[K]V, len(t.parts[i]))
	for a, b := range t.parts[i] {
		if a != k {
			part[a] = b
		}
	}
	return t.replace(i, part)
}

func (t *table[K, V]) replace(i int, part map[K]V) *table[K, V] {
	next := *t
	next.size += len(part) - len(t.parts[i])
	next.parts[i] = part
	return &next
}

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
