package allocator

// indexedHeap is a binary heap whose items store their own position, so that any item can be moved or
// removed in logarithmic time. A stored position of 0 means that the item is not in the heap.
type indexedHeap[T any] struct {
	items    []T
	less     func(a, b T) bool
	position func(T) *int
}

func newHeap[T any](less func(a, b T) bool, position func(T) *int) indexedHeap[T] {
	return indexedHeap[T]{less: less, position: position}
}

func (h *indexedHeap[T]) len() int { return len(h.items) }

// top returns the least item, or the zero value if the heap is empty.
func (h *indexedHeap[T]) top() T {
	if len(h.items) == 0 {
		var none T
		return none
	}
	return h.items[0]
}

// last returns the last item of the heap's array, which is a leaf.
func (h *indexedHeap[T]) last() T { return h.items[len(h.items)-1] }

// set adds, moves or removes the item so that it is in the heap if and only if present is true.
func (h *indexedHeap[T]) set(item T, present bool) {
	at := *h.position(item)
	switch {
	case present && at == 0:
		h.items = append(h.items, item)
		*h.position(item) = len(h.items)
		h.up(len(h.items) - 1)
	case present:
		h.fix(at - 1)
	case at != 0:
		h.removeAt(at - 1)
	}
}

func (h *indexedHeap[T]) removeAt(i int) {
	var none T
	end := len(h.items) - 1
	*h.position(h.items[i]) = 0
	if i != end {
		h.items[i] = h.items[end]
		*h.position(h.items[i]) = i + 1
	}
	h.items[end] = none
	h.items = h.items[:end]
	if i != end {
		h.fix(i)
	}
}

func (h *indexedHeap[T]) fix(i int) {
	if !h.down(i) {
		h.up(i)
	}
}

func (h *indexedHeap[T]) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(h.items[i], h.items[parent]) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

func (h *indexedHeap[T]) down(i int) bool {
	start := i
	for {
		child := 2*i + 1
		if child >= len(h.items) {
			break
		}
		if child+1 < len(h.items) && h.less(h.items[child+1], h.items[child]) {
			child++
		}
		if !h.less(h.items[child], h.items[i]) {
			break
		}
		h.swap(i, child)
		i = child
	}
	return i > start
}

func (h *indexedHeap[T]) swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	*h.position(h.items[i]) = i + 1
	*h.position(h.items[j]) = j + 1
}
