package shares

import (
	"cmp"
	"container/heap"

	"gypsumwinch/internal/structs"
)

// Fullness decides whether workers are full: while they are, capacity goes to the customers by
// weight. The order matters only to steps that compete for the same capacity, so that a limit
// which is too low costs little. Workers are full if most of a resource is in use, or if the
// waiting steps want more than is free: many tasks may end at once.
type Fullness struct {
	isFull bool
}

const (
	// fullFrom is the used fraction of the scarcest resource from which workers count as full.
	// Tasks of 18 of 64 cores leave a sixth of the cores unused when no more of them fit.
	fullFrom = 0.8
	// fullUntil is the fraction below which they do not count as full any more, so that the
	// order does not change with each task that ends.
	fullUntil = 0.7
)

// Update returns whether workers with a capacity are full now.
func (f *Fullness) Update(used, wanted, capacity structs.Resources) bool {
	fraction := UsedFraction(used, capacity)
	f.isFull = fraction >= fullFrom || f.isFull && fraction >= fullUntil || UsedFraction(used.Add(wanted), capacity) > 1
	return f.isFull
}

// UsedFraction returns the largest used fraction of a resource of a capacity.
func UsedFraction(used, capacity structs.Resources) float64 {
	fraction := 0.0
	usedAmounts := amounts(used)
	for i, c := range amounts(capacity) {
		if c > 0 {
			fraction = max(fraction, float64(usedAmounts[i])/float64(c))
		}
	}
	return fraction
}

// Weight returns the customer's weight. A customer without one counts as 1.
func (a *Account) Weight() float64 {
	if a.weight <= 0 {
		return 1
	}
	return a.weight
}

// Share returns the customer's weighted dominant share of a capacity: the largest fraction of a
// resource that it has running, divided by its weight.
func (a *Account) Share(capacity structs.Resources) float64 {
	return UsedFraction(a.running, capacity) / a.Weight()
}

// Turns orders items between customers by weighted max-min fairness: the next item is always one
// of the customer with the lowest share. The caller opens what it places for an item before it
// takes the next one, so that one customer's items do not take all capacity. Items of one
// customer keep their order.
type Turns[T any] struct {
	capacity structs.Resources
	queues   turnHeap[T]
	byName   map[*Account]*turnQueue[T]
	added    int
	isSorted bool
}

// turnQueue has the items of one customer. share is its share after its last turn.
type turnQueue[T any] struct {
	account *Account
	items   []T
	// ranks are the positions of the items in the order in which all were added.
	ranks []int
	share float64
}

// NewTurns returns turns without items.
func NewTurns[T any](capacity structs.Resources) *Turns[T] {
	return &Turns[T]{capacity: capacity, byName: map[*Account]*turnQueue[T]{}}
}

// Add adds an item behind the customer's earlier ones. Customers with equal shares have their
// turns in the order of their first items.
func (t *Turns[T]) Add(a *Account, item T) {
	q, ok := t.byName[a]
	if !ok {
		q = &turnQueue[T]{account: a, share: a.Share(t.capacity)}
		t.byName[a] = q
		t.queues = append(t.queues, q)
	}
	q.items, q.ranks = append(q.items, item), append(q.ranks, t.added)
	t.added++
}

// Next removes and returns the next item, or false if there is none. All items are added before.
func (t *Turns[T]) Next() (item T, ok bool) {
	switch {
	case !t.isSorted:
		heap.Init(&t.queues)
		t.isSorted = true
	case len(t.queues) > 0:
		// Only the customer that had the last turn has placed anything since.
		last := t.queues[0]
		last.share = last.account.Share(t.capacity)
		heap.Fix(&t.queues, 0)
	}
	for len(t.queues) > 0 && len(t.queues[0].items) == 0 {
		heap.Pop(&t.queues)
	}
	if len(t.queues) == 0 {
		return item, false
	}
	q := t.queues[0]
	item = q.items[0]
	q.items, q.ranks = q.items[1:], q.ranks[1:]
	return item, true
}

// turnHeap is a heap of queues, the one of the customer with the lowest share first.
type turnHeap[T any] []*turnQueue[T]

func (h turnHeap[T]) Len() int { return len(h) }
func (h turnHeap[T]) Less(i, k int) bool {
	a, b := h[i], h[k]
	if len(a.items) == 0 || len(b.items) == 0 {
		return len(a.items) == 0 && len(b.items) > 0
	}
	return cmp.Or(cmp.Compare(a.share, b.share), cmp.Compare(a.ranks[0], b.ranks[0])) < 0
}
func (h turnHeap[T]) Swap(i, k int) { h[i], h[k] = h[k], h[i] }
func (h *turnHeap[T]) Push(x any)   { *h = append(*h, x.(*turnQueue[T])) }
func (h *turnHeap[T]) Pop() any {
	old := *h
	q := old[len(old)-1]
	*h = old[:len(old)-1]
	return q
}
