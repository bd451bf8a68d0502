package queue

// heap is a binary min-heap that reports the index of each element, so that
// elements can be removed from its middle.
type heap[T any] struct {
	// items satisfies !less(items[i], items[(i-1)/2]) for every i > 0.
	items []T
	less  func(a, b T) bool
	// onMove is called with the new index of an element whenever the index
	// changes, and with -1 when the element is removed.
	onMove func(v T, i int)
}

func (h *heap[T]) len() int { return len(h.items) }

func (h *heap[T]) top() T { return h.items[0] }

func (h *heap[T]) push(v T) {
	h.items = append(h.items, v)
	h.onMove(v, len(h.items)-1)
	h.up(len(h.items) - 1)
}

func (h *heap[T]) remove(i int) T {
	v := h.items[i]
	last := len(h.items) - 1
	h.swap(i, last)
	var zero T
	h.items[last] = zero
	h.items = h.items[:last]
	if i < last {
		h.fix(i)
	}
	h.onMove(v, -1)
	return v
}

// fix restores the heap order after the element at index i has changed.
func (h *heap[T]) fix(i int) {
	if !h.down(i) {
		h.up(i)
	}
}

func (h *heap[T]) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(h.items[i], h.items[parent]) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

func (h *heap[T]) down(i int) (moved bool) {
	for {
		child := 2*i + 1
		if child >= len(h.items) {
			return moved
		}
		if right := child + 1; right < len(h.items) && h.less(h.items[right], h.items[child]) {
			child = right
		}
		if !h.less(h.items[child], h.items[i]) {
			return moved
		}
		h.swap(i, child)
		i, moved = child, true
	}
}

func (h *heap[T]) swap(i, j int) {
	if i == j {
		return
	}
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.onMove(h.items[i], i)
	h.onMove(h.items[j], j)
}
