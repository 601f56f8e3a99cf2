package owner

import (
	"maps"
	"time"
)

// LeaseBound is the latest time at which the lease of a worker may end.
type LeaseBound struct {
	Worker string
	// Born is the start time of the incarnation that holds the lease.
	Born int64
	// End is on the clock of Time.Mono.
	End time.Duration
}

// LeaseStatement is what an owner records about the workers that do not answer it: no
// owner up to this one has extended or will extend their leases beyond the bounds, until
// the store has accepted a heartbeat with a later statement that does not name the worker.
// A successor that reads it need not wait for the longest lease that the owner could
// have granted. A LeaseStatement does not change once it is returned.
type LeaseStatement struct {
	// Version orders the statements of one owner. The bounds that it has read from the
	// record of the former owner, and repeats, are its statement 0.
	Version int64
	Bounds  []LeaseBound
}

const (
	// silentRenewals is the number of failed renewals from which a worker is named in
	// a statement. The lease of a named worker that answers again is extended only after
	// the next heartbeat, so that single failures must not count.
	silentRenewals = 3
	// maxStatementStoreAge is the age of the last accepted heartbeat above which no
	// further worker is named: the statement could be recorded only after the outage,
	// and until then the worker's lease could not be extended. A slow store answers
	// after 0.35 s, so that the last heartbeat is up to 1 s old.
	maxStatementStoreAge = 1500 * time.Millisecond
	// unlistedStatementDelay is how long a new owner waits for the entry of a worker
	// with recorded runs before it names the worker without having called it.
	unlistedStatementDelay = time.Second
	// maxStatedLeases bounds the size of a heartbeat.
	maxStatedLeases = 500
)

// LeaseStatement returns the present statement, or nil if there is nothing to state yet.
// Package node calls it after each Tick and records it with the next heartbeat.
func (m *Machine) LeaseStatement() *LeaseStatement { return m.leaseStatement }

// updateLeaseStatement makes a new statement if other workers do not answer than those
// that the present one names, or if more is known of former owners. It runs on each Tick.
func (m *Machine) updateLeaseStatement() {
	if m.leaseStatement == nil {
		m.leaseStatement = &LeaseStatement{Version: 1}
	}
	named := 0
	changed := false
	for _, w := range m.sortedWorkers {
		isNamed := m.mustStateLease(w) && named < maxStatedLeases
		if isNamed {
			named++
		}
		changed = changed || isNamed != w.isLeaseNamed
		w.isLeaseNamed = isNamed
	}
	if !changed && named == len(m.leaseStatement.Bounds) && !m.haveBoundsChanged {
		return
	}
	m.haveBoundsChanged = false
	next := &LeaseStatement{Version: m.leaseStatement.Version + 1}
	for _, w := range m.sortedWorkers {
		if w.isLeaseNamed {
			w.isLeaseStated, w.statedInVersion = true, next.Version
			next.Bounds = append(next.Bounds, LeaseBound{Worker: w.info.ID, Born: w.info.Born, End: m.leaseBound(w)})
		}
	}
	m.leaseStatement = next
}

// mustStateLease reports whether a worker is named in a statement: it has runs and does
// not answer. updateLeaseStatement calls it.
func (m *Machine) mustStateLease(w *worker) bool {
	isSilent := w.failedRenewals >= silentRenewals || w.isLeaseStated && !w.hasAnswered ||
		w.info.Addr == "" && m.now.Mono-m.startedAt > unlistedStatementDelay
	if len(w.runs) == 0 || !isSilent {
		return false
	}
	return w.isLeaseStated || m.now.Mono-m.storeReachedAt <= maxStatementStoreAge
}

// handleLeaseStatementStored lets the leases of workers be extended again that the stored
// statement no longer names. It runs for each LeaseStatementStored.
func (m *Machine) handleLeaseStatementStored(version int64) {
	for _, w := range m.sortedWorkers {
		if w.isLeaseStated && !w.isLeaseNamed && version > w.statedInVersion {
			w.isLeaseStated = false
			m.isCycleNeeded = true
		}
	}
	maps.DeleteFunc(m.removedStated, func(_ string, stated int64) bool { return version > stated })
}

// keepFormerBounds keeps the bounds that the former owner has recorded. It runs for each
// FormerOwnersFenced.
func (m *Machine) keepFormerBounds(bounds []LeaseBound) {
	m.haveBoundsChanged = true
	for _, b := range bounds {
		m.formerBounds[b.Worker] = b
		m.removedStated[b.Worker] = 0
		if w, ok := m.workers[b.Worker]; ok {
			m.restoreStated(w)
		}
	}
}

// restoreStated sets the fields of a worker that a record in the store may name from
// before the worker was added. addWorker and keepFormerBounds call it.
func (m *Machine) restoreStated(w *worker) {
	if version, ok := m.removedStated[w.info.ID]; ok {
		w.isLeaseStated, w.statedInVersion = true, version
		delete(m.removedStated, w.info.ID)
	}
}

// leaseBound returns when the lease of a worker has certainly expired, even on the slowest
// clock, so that no run of it exists any more.
func (m *Machine) leaseBound(w *worker) time.Duration {
	if w.hasAnswered {
		remaining := float64(max(w.leaseEnd, w.formerLeaseEnd) - w.clock)
		return w.clockReadAt + leaseMargin + time.Duration(remaining/minClockRate)
	}
	longestLease := time.Duration(float64(m.opts.LeaseLimit)/minClockRate) + leaseMargin
	end := m.lastRenewalAt(w) + longestLease
	if b, ok := m.formerBounds[w.info.ID]; ok && b.Born == w.info.Born && b.Born != 0 {
		end = min(end, b.End)
	}
	return end
}
