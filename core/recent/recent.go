// Package recent holds values by key and forgets those that were not used for
// longest, so that what is learnt of customers and prompts stays bounded.
package recent

type slot[K comparable, V any] struct {
	key   K
	value V
	// newer and older are neighbours in the order of use, -1 at the ends.
	newer, older int32
}

// Table holds at most a fixed number of values.
type Table[K comparable, V any] struct {
	// slots never grows beyond max; index holds the place of each key in it.
	max   int
	index map[K]int32
	slots []slot[K, V]
	// newest and oldest are the ends of the order of use, -1 when empty.
	newest, oldest int32
}

// New returns an empty table for up to limit values; limit is at least one.
func New[K comparable, V any](limit int) *Table[K, V] {
	return &Table[K, V]{max: max(limit, 1), index: make(map[K]int32), newest: -1, oldest: -1}
}

// Len returns how many values are held.
func (t *Table[K, V]) Len() int { return len(t.slots) }

// Find returns the value of k, nil if there is none. It counts as a use. The
// pointer is valid until the next call of Get.
func (t *Table[K, V]) Find(k K) *V {
	i, ok := t.index[k]
	if !ok {
		return nil
	}
	t.unlink(i)
	t.link(i)
	return &t.slots[i].value
}

// Peek returns the value of k, nil if there is none. It does not count as a use.
func (t *Table[K, V]) Peek(k K) *V {
	if i, ok := t.index[k]; ok {
		return &t.slots[i].value
	}
	return nil
}

// Each calls f with every key and its value.
func (t *Table[K, V]) Each(f func(k K, v *V)) {
	for i := range t.slots {
		f(t.slots[i].key, &t.slots[i].value)
	}
}

// Get returns the value of k, a zero one if there was none. The pointer is
// valid until the next call of Get.
func (t *Table[K, V]) Get(k K) *V {
	if v := t.Find(k); v != nil {
		return v
	}
	var i int32
	if len(t.slots) < t.max {
		i = int32(len(t.slots))
		t.slots = append(t.slots, slot[K, V]{})
	} else {
		i = t.oldest
		t.unlink(i)
		delete(t.index, t.slots[i].key)
	}
	t.slots[i] = slot[K, V]{key: k}
	t.index[k] = i
	t.link(i)
	return &t.slots[i].value
}

func (t *Table[K, V]) unlink(i int32) {
	s := &t.slots[i]
	if s.newer >= 0 {
		t.slots[s.newer].older = s.older
	} else {
		t.newest = s.older
	}
	if s.older >= 0 {
		t.slots[s.older].newer = s.newer
	} else {
		t.oldest = s.newer
	}
}

func (t *Table[K, V]) link(i int32) {
	s := &t.slots[i]
	s.newer, s.older = -1, t.newest
	if t.newest >= 0 {
		t.slots[t.newest].newer = i
	}
	t.newest = i
	if t.oldest < 0 {
		t.oldest = i
	}
}
