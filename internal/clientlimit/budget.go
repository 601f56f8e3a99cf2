package clientlimit

import "sync/atomic"

const (
	// smallBytes is the largest lease that may use the reserve of a budget. An ordinary
	// submission of 600 bytes takes 5 KB.
	smallBytes = 16 << 10
	// reserveShare is the part of a budget that is kept for small leases: 1/4.
	reserveShare = 4
)

// Budget bounds the bytes that the bodies of all connections take, while they are read,
// queued and decoded. The newest request gives way: it is refused before it has cost much,
// and those before it may be honest ones about to end. The slowest lose their place by their
// deadlines. Small requests have a reserve, since otherwise a few large bodies that do not
// arrive would keep ordinary jobs out.
//
// A Budget is safe for concurrent use. A nil Budget has no limit.
type Budget struct {
	capacity int64
	used     atomic.Int64
}

// NewBudget returns an unused budget of a number of bytes.
func NewBudget(capacity int64) *Budget { return &Budget{capacity: capacity} }

// Used returns the bytes that are leased.
func (b *Budget) Used() int64 { return b.used.Load() }

// Lease is the part of a budget that one request holds. It is used by one goroutine.
type Lease struct {
	budget *Budget
	held   int64
}

// Lease returns a lease of 0 bytes. Its holder must release it.
func (b *Budget) Lease() Lease { return Lease{budget: b} }

// Grow raises the lease to a total, and reports whether there was room. If not, the lease
// stays as it was. A lease does not shrink.
func (l *Lease) Grow(total int64) bool {
	added := total - l.held
	if l.budget == nil || added <= 0 {
		return true
	}
	limit := l.budget.capacity
	if total > smallBytes {
		limit -= limit / reserveShare
	}
	if !l.budget.take(added, limit) {
		return false
	}
	l.held = total
	return true
}

// take adds to the used bytes if they stay within a limit. Bytes that do not fit are not counted
// for an instant either: that would refuse others.
func (b *Budget) take(added, limit int64) bool {
	for {
		used := b.used.Load()
		if used+added > limit {
			return false
		}
		if b.used.CompareAndSwap(used, used+added) {
			return true
		}
	}
}

// Release returns the lease to the budget.
func (l *Lease) Release() {
	if l.budget != nil {
		l.budget.used.Add(-l.held)
		l.held = 0
	}
}
