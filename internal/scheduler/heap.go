package scheduler

// binaryHeap is a binary heap with the least item first. It avoids the
// allocations that the interface of container/heap makes for each item.
type binaryHeap[T any] struct {
	items []T
	less  func(a, b T) bool
}

func (h *binaryHeap[T]) len() int { return len(h.items) }

func (h *binaryHeap[T]) push(item T) {
	h.items = append(h.items, item)
	i := len(h.items) - 1
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(h.items[i], h.items[parent]) {
			return
		}
		h.items[i], h.items[parent] = h.items[parent], h.items[i]
		i = parent
	}
}

func (h *binaryHeap[T]) pop() T {
	var zero T
	top := h.items[0]
	n := len(h.items) - 1
	h.items[0] = h.items[n]
	h.items[n] = zero
	h.items = h.items[:n]
	h.siftDown(0)
	return top
}

func (h *binaryHeap[T]) siftDown(i int) {
	for {
		least := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(h.items); child++ {
			if h.less(h.items[child], h.items[least]) {
				least = child
			}
		}
		if least == i {
			return
		}
		h.items[i], h.items[least] = h.items[least], h.items[i]
		i = least
	}
}
