package owner

import (
	"slices"
	"time"

	"gypsumwinch/internal/cell"
)

// renewIfDue sends the next renewal of a worker if it is due. It runs on
// each Tick, after each answer to a renewal and when a batch that holds the
// worker's finished runs is stored.
func (m *Machine) renewIfDue(w *worker) {
	if w.isRenewalInFlight || m.now.Mono < w.nextRenewalAt || w.info.Addr == "" {
		return
	}
	if !m.mayHaveRuns(w) {
		return
	}
	if !w.hasAnswered && m.firstContacts >= maxFirstContacts {
		return
	}
	// The worker lists finished runs again until they are acknowledged, so the
	// next renewal waits until they are recorded.
	if w.processedCursor > w.recordedCursor && m.now.Mono < w.lastSeen+maxRecordDelay {
		return
	}
	w.isRenewalInFlight = true
	w.renewalSentAt = m.now.Mono
	if !w.hasAnswered {
		m.firstContacts++
	}
	w.cursorInFlight = m.cursorToSend(w)
	m.emit(Renew{Renewal: cell.Renewal{
		Worker:   w.info.ID,
		Addr:     w.info.Addr,
		Token:    m.opts.Term,
		LeaseEnd: m.extendLease(w),
		Cursor:   w.cursorInFlight,
		Wait:     m.renewalPollTimeout(w),
	}})
}

// maxFirstContacts bounds the renewals to workers that have not answered this owner and
// were sent within firstContactWindow. Each opens a connection. A new owner of 3,000 workers
// that calls all of them at once answers none of their calls in time, counts as isolated
// and resigns, and so does its successor. A call without an answer within the window takes
// no room any more, so that the workers of a data centre that is cut off do not keep the
// owner from the others, and at least 1,000 workers are called in a second.
const (
	maxFirstContacts   = 100
	firstContactWindow = 100 * time.Millisecond
)

// callNewWorkers calls workers that have not answered this owner: first those with recorded
// runs, whose leases may end within the seconds that a new owner needs to reach 3,000
// workers, then the others, both before those are called again that did not answer. It runs
// on each Tick.
func (m *Machine) callNewWorkers() {
	m.firstContacts, m.silentWorkers = 0, 0
	for _, w := range m.sortedWorkers {
		if w.failedRenewals > 0 {
			m.silentWorkers++
		}
		if !w.hasAnswered && w.isRenewalInFlight && m.now.Mono-w.renewalSentAt < firstContactWindow {
			m.firstContacts++
		}
	}
	for _, hasRuns := range []bool{true, false} {
		for _, w := range m.sortedWorkers {
			if !w.hasAnswered && w.failedRenewals == 0 && (len(w.runs) > 0) == hasRuns {
				m.renewIfDue(w)
			}
		}
	}
}

// maxCursorAge is the age of the worker's last answer up to which a cursor is sent. A
// worker that restarts in the meantime could forget finished runs that the owner has
// not seen; within this time it cannot restart and finish a run.
const maxCursorAge = 100 * time.Millisecond

// cursorToSend returns the number up to which the worker may drop finished runs, or 0 if
// there is nothing new to drop. renewIfDue calls it for each renewal. Another
// incarnation than the one that listed them may receive the renewal; it numbers its
// finished runs from 1, and the owner has seen none of those. So a cursor is sent only
// right after an answer of the worker; after a failed call or a slow record the next
// answer comes first.
func (m *Machine) cursorToSend(w *worker) int64 {
	if !w.hasAnswered || w.failedRenewals > 0 || w.recordedCursor <= w.acceptedCursor || m.now.Mono-w.lastSeen > maxCursorAge {
		return 0
	}
	return w.recordedCursor
}

// maxRecordDelay bounds how long a renewal waits until finished runs are
// recorded: the lease must be renewed even while the store is slow.
const maxRecordDelay = 700 * time.Millisecond

// renewalPollTimeout returns how long a worker may delay its answer to a
// renewal; 0 if the state of the worker or of a run is uncertain, or if finished runs may
// wait to be listed. renewIfDue calls it for each renewal.
func (m *Machine) renewalPollTimeout(w *worker) time.Duration {
	if !w.hasAnswered || w.mayHaveMoreFinished || w.failedRenewals > 0 || w.processedCursor > w.recordedCursor {
		return 0
	}
	for _, r := range w.runList {
		if r.phase == phaseRecovered || r.phase == phaseEnding || r.phase == phaseStopping && r.isStopAcknowledged {
			return 0
		}
	}
	if serving, bestEffort := w.sharingRuns(); len(serving) > 0 && len(bestEffort) > 0 {
		return mixedPollTimeout
	}
	if len(w.runs) > 0 {
		return m.pollTimeout(busyPollTimeout)
	}
	return m.pollTimeout(idlePollTimeout)
}

// pollTimeout returns how long workers may delay their answers to a renewal so that all
// workers together cause at most pollsPerSecond renewals while no run finishes; at least
// shortest. maxPollTimeout leaves time for another try within the longest lease.
func (m *Machine) pollTimeout(shortest time.Duration) time.Duration {
	spread := time.Duration(len(m.sortedWorkers)) * time.Second / pollsPerSecond
	return max(shortest, min(spread, maxPollTimeout))
}

// extendLease returns the lease end to send with a renewal or a start
// request. It does not extend the lease of a worker that does not answer, that
// a recorded LeaseStatement may name or that is unlisted and has no known runs, or if the
// store has not accepted a heartbeat of this owner for AuthorityTimeout, so that the lease
// expires at a known time.
func (m *Machine) extendLease(w *worker) time.Duration {
	if !w.hasAnswered {
		return 0
	}
	if w.failedRenewals > 0 || !w.isListed && len(w.runs) == 0 || w.isLeaseStated || m.now.Mono-m.storeReachedAt > AuthorityTimeout {
		return w.leaseEnd
	}
	w.leaseEnd = max(w.leaseEnd, w.estimatedClock(m.now.Mono)+m.opts.LeaseLimit)
	return w.leaseEnd
}

// startLease returns the lease end to send with a start request: the present one while it
// lasts for minStartLease. A worker may be gone for as long as a renewal waits there; a start
// request that extended the lease would prolong the wait for the runs of such a worker.
func (m *Machine) startLease(w *worker) time.Duration {
	if w.leaseEnd-w.estimatedClock(m.now.Mono) >= minStartLease {
		return w.leaseEnd
	}
	return m.extendLease(w)
}

// minStartLease is two intervals of renewals.
const minStartLease = 2 * idlePollTimeout

// handleRenewal processes a RenewResult: it updates the worker's clock,
// compares the inventory with the known runs and sends the next renewal if
// that is due.
func (m *Machine) handleRenewal(e RenewResult) {
	w, ok := m.workers[e.Worker]
	if !ok {
		return
	}
	w.isRenewalInFlight = false
	if e.Err != nil || e.Refusal != cell.RefusedNone {
		m.handleFailedRenewal(w, e)
		return
	}
	if w.failedRenewals > 2 {
		m.logDecision(w.info.ID, "worker answers again", "after_ms", (m.now.Mono - w.lastSeen).Milliseconds())
	}
	inv := e.Inventory
	if inv.Born != 0 && inv.Born != w.info.Born {
		if w.incarnation > 0 && e.SentAt < w.incarnationSeenAt {
			// A former incarnation answered before it ended.
			m.renewIfDue(w)
			return
		}
		m.startIncarnation(w, inv.Born)
	}
	w.acceptedCursor = max(w.acceptedCursor, w.cursorInFlight)
	w.clock, w.clockReadAt = inv.Clock, m.now.Mono
	w.lastSeen, w.pausedWhenSeen = m.now.Mono, m.startDelay.pausedUntil(m.now.Mono)
	w.failedRenewals = 0
	if !w.hasAnswered {
		w.hasAnswered = true
		w.formerLeaseEnd = inv.Clock + m.opts.LeaseLimit
		m.isCycleNeeded = true
	}
	m.reconcile(w, e.SentAt, inv)
	m.renewIfDue(w)
}

// handleFailedRenewal processes a renewal that failed or was refused: it is
// repeated after renewalRetryDelay, and the worker gets no new tasks
// until one succeeds. If the worker knows a later owner, this owner resigns.
// handleRenewal calls it.
func (m *Machine) handleFailedRenewal(w *worker, e RenewResult) {
	w.nextRenewalAt = m.now.Mono + m.renewalRetryDelay()
	switch e.Refusal {
	case cell.RefusedStaleToken:
		m.emit(Resign{Reason: "worker " + w.info.ID + " reports a higher fencing token"})
		return
	case cell.RefusedIncarnation:
		// The start time of the new incarnation arrives with its entry in the
		// store.
		w.hasAnswered = false
		if e.SentAt >= w.incarnationSeenAt {
			m.closeReplacedRuns(w)
		}
	}
	w.failedRenewals++
	if w.failedRenewals == 1 {
		m.awaitLeases(w)
	}
	if w.failedRenewals == 3 {
		m.logDecision(w.info.ID, "worker does not answer", "open_runs", len(w.runs), "refused", string(e.Refusal), "error", errText(e.Err))
	}
}

// closeReplacedRuns closes the runs of a worker at whose address another worker answers: the
// process that had them has ended. A run of an incarnation that is later than the listed one
// may be at another address. handleFailedRenewal calls it.
func (m *Machine) closeReplacedRuns(w *worker) {
	for _, r := range slices.Clone(w.runList) {
		if r.phase != phasePlanned && r.phase != phaseRecording && r.workerStartedAt <= w.info.Born {
			m.closeRun(r, "lost: worker has been replaced")
		}
	}
}

// awaitLeases makes scheduling cycles consider the steps with runs on a worker that does not
// answer; see prefetchAdvice. handleFailedRenewal calls it.
func (m *Machine) awaitLeases(w *worker) {
	for _, r := range w.runList {
		if s := r.step; s != nil && s.isReady && s.doneTasks < len(s.tasks) && !r.job.state.IsFinal() {
			m.waitingSteps[s.id] = s
		}
	}
}

// renewalRetryDelay returns the delay before a failed renewal is sent again: it grows with
// the number of workers that do not answer, up to maxRenewalRetryDelay, since each try
// opens a connection: with 510 workers cut off, the owner opened 1,900 in a second.
func (m *Machine) renewalRetryDelay() time.Duration {
	spread := time.Duration(m.silentWorkers) * time.Second / renewalRetriesPerSecond
	return max(renewalRetryInterval, min(spread, maxRenewalRetryDelay))
}

// errText returns the text of an error for a log line, "" for nil.
func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
