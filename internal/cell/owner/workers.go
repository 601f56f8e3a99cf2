package owner

import (
	"slices"
	"sort"
	"time"

	"gypsumwinch/internal/cell"
	"gypsumwinch/internal/cell/pacing"
	"gypsumwinch/internal/structs"
)

// worker is a worker and the runs that may exist on it.
type worker struct {
	// info describes the worker: what the last entry of its latest known incarnation says.
	// Until that entry is read, all but Born is what is known of the incarnation before.
	info cell.Worker
	// entry is the last entry that was read. It may be that of an earlier incarnation, or of
	// one that has not answered yet; see isDescribed.
	entry cell.Worker
	// isListed is false for a worker that the store does not list.
	isListed bool
	// hasAnswered is true once this incarnation of the worker has answered this
	// owner. From then on it refuses all former owners, and all runs on it are
	// known.
	hasAnswered bool
	// incarnation counts the incarnations of the worker that this owner has
	// seen; incarnationSeenAt is when it learned of the present one.
	incarnation       int
	incarnationSeenAt time.Duration

	// clock is a reading of the worker's clock, taken at or before clockReadAt.
	clock       time.Duration
	clockReadAt time.Duration
	// leaseEnd is the latest lease end that was sent, on the worker's clock.
	leaseEnd time.Duration
	// formerLeaseEnd is the latest lease end that a former owner may have left, on the
	// worker's clock.
	formerLeaseEnd time.Duration
	// isLeaseNamed is true while the present LeaseStatement names the worker.
	// isLeaseStated is true while a record in the store may name it, statedInVersion
	// is the last statement that did.
	isLeaseNamed    bool
	isLeaseStated   bool
	statedInVersion int64

	isRenewalInFlight bool
	// pausedWhenSeen is the sum of the owner's pauses as of lastSeen.
	pausedWhenSeen time.Duration
	// renewalSentAt is when the last renewal was sent.
	renewalSentAt  time.Duration
	nextRenewalAt  time.Duration
	lastSeen       time.Duration
	failedRenewals int

	// processedCursor is the number of the last finished run that was processed,
	// recordedCursor that of the last one whose consequences are in the store.
	// acceptedCursor is the last cursor that the worker has received for sure,
	// cursorInFlight that of the renewal in flight.
	processedCursor int64
	recordedCursor  int64
	acceptedCursor  int64
	cursorInFlight  int64
	// mayHaveMoreFinished is true if the last inventory may lack finished runs.
	mayHaveMoreFinished bool

	runs map[runKey]*run
	// runList holds the runs in the order in which they were opened.
	runList []*run
	used    structs.Resources
	// reserved is the capacity that steps reserved in the scheduling cycle
	// reservedInCycle.
	reserved        structs.Resources
	reservedInCycle int
	// held is the capacity that gangs hold in the scheduling cycle heldInCycle.
	held        structs.Resources
	heldInCycle int
	// ends are the expected ends of the runs as of the scheduling cycle endsInCycle.
	ends        []runEnd
	endsInCycle int
	// unknownRuns counts the runs on the worker that the owner does not know.
	unknownRuns int
	// backoffUntil is the time before which the worker gets no new tasks.
	backoffUntil time.Duration
	health       health
	// slowness is the logarithm of the learned factor by which runs take longer here, or 0
	// if the speed is not known to differ from the usual one.
	slowness float64
	// pacer paces the best-effort runs, nil without any. pacedAt is when it was last used.
	pacer   *pacing.Pacer
	pacedAt time.Duration
}

// runKey identifies a run on a worker.
type runKey struct {
	task   string
	number int
}

func (w *worker) addRun(r *run) {
	w.runs[runKey{r.taskName, r.number}] = r
	w.runList = append(w.runList, r)
}

func (w *worker) removeRun(r *run) {
	delete(w.runs, runKey{r.taskName, r.number})
	w.runList = slices.DeleteFunc(w.runList, func(o *run) bool { return o == r })
}

// addWorker adds a worker with its id only, in the order of sortedWorkers; the
// caller sets the rest. updateWorker calls it for a worker that the store lists
// for the first time, workerOrPlaceholder for one that is not known yet.
func (m *Machine) addWorker(id string) *worker {
	w := &worker{info: cell.Worker{ID: id}, runs: map[runKey]*run{}}
	m.workers[id] = w
	m.restoreStated(w)
	index := sort.Search(len(m.sortedWorkers), func(i int) bool { return m.sortedWorkers[i].info.ID >= id })
	m.sortedWorkers = append(m.sortedWorkers, nil)
	copy(m.sortedWorkers[index+1:], m.sortedWorkers[index:])
	m.sortedWorkers[index] = w
	return w
}

// workerOrPlaceholder returns the worker of a recorded run, and adds one with its id, start
// time and recorded address if it is not known. recoverRun calls it for each recorded open
// run: a new owner may read the recorded runs before the list of workers, and a worker may
// have been removed from the list while it had open runs. An unlisted worker is called at the
// recorded address of its latest incarnation; without one, its runs are closed after the
// longest possible lease.
func (m *Machine) workerOrPlaceholder(open cell.OpenRun) *worker {
	w, ok := m.workers[open.Worker]
	if !ok {
		w = m.addWorker(open.Worker)
		w.info.Born, w.info.Addr = open.Born, open.Addr
	}
	if !w.isListed && open.Addr != "" && open.Born > w.info.Born {
		w.info.Born, w.info.Addr = open.Born, open.Addr
	}
	return w
}

// updateWorkers applies changed entries of topic workers. It runs for each
// WorkersListed.
func (m *Machine) updateWorkers(e WorkersListed) {
	for _, info := range e.Workers {
		m.updateWorker(info)
	}
	for _, id := range e.Removed {
		if w, ok := m.workers[id]; ok {
			m.unlistWorker(w, "worker is no longer listed in the store")
		}
	}
}

// unlistWorker ends the use of a worker for new tasks. Its runs are renewed and stopped at its
// last address. updateWorkers calls it for each removed entry, updateWorker for one that cannot
// be that of the worker.
func (m *Machine) unlistWorker(w *worker, reason string) {
	if !w.isListed {
		return
	}
	w.isListed = false
	m.logDecision(w.info.ID, reason, "open_runs", len(w.runs))
	m.removeWorkerIfUnused(w)
}

// contradicts reports whether an entry names another address than that at which the incarnation
// of the worker that it is about has answered. The address does not change while a process
// runs: the entry comes from another writer.
func (w *worker) contradicts(info cell.Worker) bool {
	return w.hasAnswered && w.info.Born != 0 && (info.Born == 0 || info.Born == w.info.Born) && info.Addr != w.info.Addr
}

// maxClockAhead is how far the clock of a worker may be ahead of that of this VM; the times of
// day jump by seconds. An entry with a later start time comes from another writer.
const maxClockAhead = time.Minute

// updateWorker adds a worker or updates it from its changed entry. An entry
// with a later start time shows that the worker has restarted. Any other entry than
// that of the latest known incarnation leaves the description as it is. updateWorkers
// calls it for each entry.
func (m *Machine) updateWorker(info cell.Worker) {
	w, ok := m.workers[info.ID]
	if !ok {
		w = m.addWorker(info.ID)
		w.info.Born = info.Born
	}
	switch {
	case w.contradicts(info):
		m.unlistWorker(w, "entry names another address than that of the worker")
		return
	case ok && info.Born > m.now.Wall.Add(maxClockAhead).UnixMilli():
		m.unlistWorker(w, "entry names a start time in the future")
		return
	}
	if info.Born > w.info.Born {
		m.startIncarnation(w, info.Born)
	}
	if w.incarnation > 0 && info.Born != w.entry.Born {
		m.logDecision(info.ID, "entry of a restarted worker is read", "born", info.Born, "known_born", w.info.Born,
			"labels", info.Labels, "known_labels", w.info.Labels, "after_ms", (m.now.Mono - w.incarnationSeenAt).Milliseconds())
	}
	if !w.isListed {
		w.nextRenewalAt = m.now.Mono
	}
	w.isListed = true
	w.entry = info
	m.isCycleNeeded = true
	if w.isDescribed() {
		m.applyEntry(w)
	}
}

// applyEntry takes the description of a worker from the entry of its latest known incarnation.
// updateWorker calls it for such an entry, startIncarnation if the entry was read before the
// incarnation became known.
func (m *Machine) applyEntry(w *worker) {
	if w.entry.Draining && !w.info.Draining {
		m.logDecision(w.info.ID, "worker is draining", "open_runs", len(w.runs), "remaining_ms", w.entry.Remaining.Milliseconds())
	}
	w.info = w.entry
}

// isDescribed reports whether the last entry of a worker is that of its latest known
// incarnation. An incarnation may have other labels and another capacity than the one before.
func (w *worker) isDescribed() bool { return w.isListed && w.entry.Born == w.info.Born }

// isSameSince reports whether the owner has seen no restart of the worker since a time.
func (w *worker) isSameSince(t time.Duration) bool {
	return w.incarnation == 0 || w.incarnationSeenAt < t
}

// useEarlierEntry assumes that a worker without runs that does not answer has been replaced by
// the process of its last entry, although that has an earlier start time: the time of day may
// have been set back between the two. tickWorker calls it.
func (m *Machine) useEarlierEntry(w *worker) {
	isSilent := w.failedRenewals >= silentRenewals || w.info.Addr == ""
	if w.isListed && w.entry.Born != 0 && w.entry.Born < w.info.Born && len(w.runs) == 0 && isSilent {
		m.startIncarnation(w, w.entry.Born)
	}
}

// startIncarnation resets a worker that has restarted. It runs when the
// worker's entry or its answer to a renewal has a new start time.
//
// The runs that the former incarnation listed ended with it and are closed. All
// others may be on the new one: a request names the worker's id, which does not
// change, so the new incarnation carries out start requests that were meant for
// the former one. Those runs stay open until an inventory of the new incarnation
// decides.
func (m *Machine) startIncarnation(w *worker, startedAt int64) {
	if w.info.Born != 0 {
		m.logDecision(w.info.ID, "worker has restarted", "open_runs", len(w.runs), "born", startedAt, "known_labels", w.info.Labels)
	}
	w.incarnation++
	w.incarnationSeenAt = m.now.Mono
	w.info.Born = startedAt
	w.hasAnswered = false
	// The longest lease that the new incarnation may have granted begins now.
	w.clockReadAt, w.clock, w.leaseEnd, w.formerLeaseEnd = m.now.Mono, 0, 0, 0
	w.processedCursor, w.recordedCursor, w.acceptedCursor, w.cursorInFlight = 0, 0, 0, 0
	w.unknownRuns = 0
	w.nextRenewalAt = m.now.Mono
	w.health = health{}
	for _, r := range slices.Clone(w.runList) {
		m.moveToIncarnation(r, startedAt)
	}
	if w.isDescribed() {
		m.applyEntry(w)
	}
}

// moveToIncarnation decides what becomes of an open run when its worker has
// restarted. startIncarnation calls it for each run of the worker.
func (m *Machine) moveToIncarnation(r *run, startedAt int64) {
	hasEnded := r.listedBy != 0 && r.listedBy != startedAt
	switch {
	case r.phase == phasePlanned || r.phase == phaseRecording:
		// Not sent; sendRecordedStarts closes it because workerStartedAt differs.
		return
	case hasEnded && !r.hasUnansweredStart:
		m.closeRun(r, "lost: worker has restarted")
		return
	}
	r.workerStartedAt = startedAt
	r.isStopAcknowledged = false
	r.pacePercent = -1
	r.hasMoved = true
	if hasEnded && r.phase != phaseStopping {
		// The new incarnation may still carry out the start request without an answer.
		r.phase = phaseRunning
		m.stopWithGang(r, "worker of a member has restarted")
	}
}

// mayHaveRuns reports whether a worker may run tasks. One that the store no longer lists and
// that has no known runs may still carry out a start request late: it is called for as long as
// it answers and its lease may last, so that such a run is stopped.
func (m *Machine) mayHaveRuns(w *worker) bool {
	return w.isListed || len(w.runs) > 0 || w.hasAnswered && w.failedRenewals < silentRenewals && !m.isLeaseExpired(w)
}

// removeWorkerIfUnused removes a worker that is not listed and has no runs.
// It runs on each Tick and when the store no longer lists the worker.
func (m *Machine) removeWorkerIfUnused(w *worker) {
	if m.mayHaveRuns(w) || m.workers[w.info.ID] != w {
		return
	}
	if w.isLeaseStated {
		m.removedStated[w.info.ID] = w.statedInVersion
	}
	delete(m.workers, w.info.ID)
	for i, o := range m.sortedWorkers {
		if o == w {
			m.sortedWorkers = append(m.sortedWorkers[:i], m.sortedWorkers[i+1:]...)
			return
		}
	}
}

// isUnresponsive reports whether a worker's answer to a renewal is overdue. Answers wait while the
// owner pauses, which says nothing about the worker.
func (m *Machine) isUnresponsive(w *worker) bool {
	paused := m.startDelay.pausedUntil(m.now.Mono) - w.pausedWhenSeen
	return m.now.Mono-w.lastSeen-paused > m.pollTimeout(idlePollTimeout)+renewalResponseTimeout
}

// isCurrent reports whether the description of a worker is that of the process that
// answers now: the worker answers renewals, which show its start time, and the entry of
// this incarnation has been read.
func (m *Machine) isCurrent(w *worker) bool {
	return w.isDescribed() && w.hasAnswered && w.failedRenewals == 0 && !m.isUnresponsive(w)
}

// isUsable reports whether a worker may get new tasks.
func (m *Machine) isUsable(w *worker) bool {
	return m.isCurrent(w) && !w.info.Draining && w.unknownRuns == 0 &&
		!w.isLeaseStated && m.now.Mono >= w.backoffUntil
}

// estimatedClock estimates the present reading of a worker's clock.
func (w *worker) estimatedClock(now time.Duration) time.Duration {
	return w.clock + now - w.clockReadAt
}

// isLeaseExpired reports whether a worker's lease has certainly expired,
// even on the slowest clock, so that no run of it exists any more.
// closeExpiredRuns calls it.
func (m *Machine) isLeaseExpired(w *worker) bool { return m.now.Mono > m.leaseBound(w) }

// lastRenewalAt returns the latest time at which the lease of a worker that has not
// answered this owner may have been renewed: by a former owner or, if the worker has
// restarted since, by a request that was under way. leaseBound calls it.
func (m *Machine) lastRenewalAt(w *worker) time.Duration {
	latest := max(m.formerRenewalsEnd, m.startedAt+lateRequestMargin)
	if w.clockReadAt > m.startedAt {
		latest = max(latest, w.clockReadAt+AuthorityTimeout)
	}
	return latest
}

// tickWorker does everything that is due for a worker: it closes the runs of
// an expired lease, uses an earlier entry if the worker is gone, sends the next
// renewal, repeats unanswered requests and removes an unused worker. It runs for
// every worker on each Tick.
func (m *Machine) tickWorker(w *worker) {
	if len(w.runs) > 0 && w.failedRenewals > 0 || !w.hasAnswered {
		m.closeExpiredRuns(w)
	}
	m.useEarlierEntry(w)
	m.renewIfDue(w)
	m.resendRequests(w)
	m.removeWorkerIfUnused(w)
}

// resendRequests repeats the unanswered requests of a worker. Few of its runs have one,
// and resending may close runs, so those are collected first. tickWorker calls it.
func (m *Machine) resendRequests(w *worker) {
	waiting := m.waitingRuns[:0]
	for _, r := range w.runList {
		if r.phase == phaseSent || r.phase == phaseStopping {
			waiting = append(waiting, r)
		}
	}
	m.waitingRuns = waiting
	for _, r := range waiting {
		m.resendRequest(r)
	}
}

// closeExpiredRuns closes the runs of an unresponsive worker once its lease
// has expired. tickWorker calls it while the worker's renewals fail or it
// has not answered this owner.
func (m *Machine) closeExpiredRuns(w *worker) {
	if len(w.runs) == 0 || !m.isLeaseExpired(w) {
		return
	}
	m.logDecision(w.info.ID, "lease of worker has expired", "lost_runs", len(w.runs),
		"silent_ms", (m.now.Mono - w.lastSeen).Milliseconds())
	for _, r := range slices.Clone(w.runList) {
		m.closeRun(r, "lost: lease has expired")
	}
}

// reconcile compares a worker's inventory with the runs that the owner
// knows, and corrects the differences: it stops unknown runs, processes
// newly finished ones and closes those that should be listed but are not.
// Then it sets paces and stops stuck runs. handleRenewal calls it for each
// inventory.
func (m *Machine) reconcile(w *worker, sentAt time.Duration, inv cell.Inventory) {
	m.updateActiveRuns(w, inv.ActiveRuns)
	m.processFinishedRuns(w, inv.FinishedRuns)
	w.mayHaveMoreFinished = inv.MayHaveMoreFinished
	m.closeUnlistedRuns(w, sentAt, inv)
	if len(m.dirtyJobs) == 0 && len(m.pendingBatches) == 0 {
		w.recordedCursor = w.processedCursor
	}
	m.adjustPaces(w)
	m.stopStuckRuns(w)
}

// updateActiveRuns updates the open runs that an inventory lists as active, and stops runs
// that the owner does not know. reconcile calls it.
func (m *Machine) updateActiveRuns(w *worker, listed []cell.ActiveRun) {
	w.unknownRuns = 0
	for _, r := range w.runList {
		r.isListedActive = false
	}
	for _, active := range listed {
		if r, ok := w.runs[runKey{active.Task, active.Run}]; ok {
			r.listedBy = w.info.Born
			r.isListedActive = true
			m.updateListedRun(r, active)
			continue
		}
		w.unknownRuns++
		m.logDecision(active.Task, "unknown run is stopped", "run", active.Run, "worker", w.info.ID)
		m.emit(SendStop{Stop: cell.Stop{Task: active.Task, Run: active.Run, Worker: w.info.ID, Addr: w.info.Addr, Token: m.opts.Term}})
	}
}

// processFinishedRuns processes the finished runs of an inventory that have not been processed
// before. Their order in the list is not specified. reconcile calls it.
func (m *Machine) processFinishedRuns(w *worker, listed []cell.FinishedRun) {
	before := w.processedCursor
	for _, finished := range listed {
		if finished.Number <= before {
			continue
		}
		w.processedCursor = max(w.processedCursor, finished.Number)
		m.handleFinishedRun(w, finished)
	}
}

// closeUnlistedRuns closes the open runs that would be listed if they existed. It closes
// none if the worker may have finished runs that the inventory does not list: such a run
// would start again although it is done. Those are listed once the ones before them are
// acknowledged. reconcile calls it.
func (m *Machine) closeUnlistedRuns(w *worker, sentAt time.Duration, inv cell.Inventory) {
	if inv.MayHaveMoreFinished {
		return
	}
	isFinished := make(map[runKey]bool, len(inv.FinishedRuns))
	for _, finished := range inv.FinishedRuns {
		isFinished[runKey{finished.Task, finished.Run}] = true
	}
	for _, r := range slices.Clone(w.runList) {
		switch {
		case r.isListedActive || isFinished[runKey{r.taskName, r.number}] || !r.mustBeListed(sentAt):
		case r.mayStartLate():
			r.phase = phaseRunning // also of a run whose gang was expected to end
			m.stopWithGang(r, "member not listed after a restart")
		default:
			m.logDecision(r.taskName, "run is not on its worker", "run", r.number, "worker", w.info.ID, "phase", int(r.phase),
				"listed_active", len(inv.ActiveRuns), "listed_finished", len(inv.FinishedRuns), "recorded_cursor", w.recordedCursor)
			m.closeRun(r, "not listed")
		}
	}
}
