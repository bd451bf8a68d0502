// Package recent implements a bounded map that evicts the least recently used
// key. It bounds the memory for what is learnt about customers and prompts.
package recent

// element is a key with its value and its position in the order of use.
type element[K comparable, V any] struct {
	key   K
	value V
	// newer and older are the indexes of the neighbours in the order of use, or
	// -1 at the ends.
	newer, older int32
}

// Table holds at most a fixed number of values. It is not safe for concurrent
// use.
type Table[K comparable, V any] struct {
	// max is the maximum length of elements. index maps each key to the index of
	// its element.
	max      int
	index    map[K]int32
	elements []element[K, V]
	// newest and oldest are the ends of the order of use, or -1 if the table is
	// empty.
	newest, oldest int32
}

// New returns an empty table for at most limit values. A limit below one counts
// as one.
func New[K comparable, V any](limit int) *Table[K, V] {
	return &Table[K, V]{max: max(limit, 1), index: make(map[K]int32), newest: -1, oldest: -1}
}

// Len returns the number of values.
func (t *Table[K, V]) Len() int { return len(t.elements) }

// Find returns the value of k, or nil if there is none. It counts as a use. The
// pointer is valid until the next call of GetOrAdd.
func (t *Table[K, V]) Find(k K) *V {
	i, ok := t.index[k]
	if !ok {
		return nil
	}
	t.unlink(i)
	t.link(i)
	return &t.elements[i].value
}

// Peek is like Find but does not count as a use.
func (t *Table[K, V]) Peek(k K) *V {
	if i, ok := t.index[k]; ok {
		return &t.elements[i].value
	}
	return nil
}

// Each calls f for every key and its value, in no particular order. It does not
// count as a use.
func (t *Table[K, V]) Each(f func(k K, v *V)) {
	for i := range t.elements {
		f(t.elements[i].key, &t.elements[i].value)
	}
}

// GetOrAdd returns the value of k. If there is none, it adds a zero value, and
// evicts the least recently used key if the table is full. It counts as a use.
// The pointer is valid until the next call of GetOrAdd.
func (t *Table[K, V]) GetOrAdd(k K) *V {
	if v := t.Find(k); v != nil {
		return v
	}
	var i int32
	if len(t.elements) < t.max {
		i = int32(len(t.elements))
		t.elements = append(t.elements, element[K, V]{})
	} else {
		i = t.oldest
		t.unlink(i)
		delete(t.index, t.elements[i].key)
	}
	t.elements[i] = element[K, V]{key: k}
	t.index[k] = i
	t.link(i)
	return &t.elements[i].value
}

// unlink removes element i from the order of use.
func (t *Table[K, V]) unlink(i int32) {
	e := &t.elements[i]
	if e.newer >= 0 {
		t.elements[e.newer].older = e.older
	} else {
		t.newest = e.older
	}
	if e.older >= 0 {
		t.elements[e.older].newer = e.newer
	} else {
		t.oldest = e.newer
	}
}

// link adds element i to the order of use as the newest.
func (t *Table[K, V]) link(i int32) {
	e := &t.elements[i]
	e.newer, e.older = -1, t.newest
	if t.newest >= 0 {
		t.elements[t.newest].newer = i
	}
	t.newest = i
	if t.oldest < 0 {
		t.oldest = i
	}
}
