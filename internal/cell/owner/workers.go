package owner

import (
	"slices"
	"sort"
	"time"

	"gypsumwinch/internal/cell"
	"gypsumwinch/internal/structs"
)

// worker is a worker and all that may run there.
type worker struct {
	info cell.Worker
	// listed is false for a worker that the store does not list.
	listed bool
	// known is true once this life has answered this owner: then it refuses
	// every former owner and all that runs there is known.
	known bool
	// life counts the lives of the worker that were seen.
	life int

	// clock was the worker's clock at or before clockAt.
	clock   time.Duration
	clockAt time.Duration
	// leaseEnd is the latest end of a lease that was sent, on the worker's clock.
	leaseEnd time.Duration

	renewing   bool
	renewAt    time.Duration
	lastAnswer time.Duration
	failures   int

	// cursorSeen is the highest end that was processed, cursorRecorded the
	// highest whose consequences are in the store.
	cursorSeen     int64
	cursorRecorded int64

	runs map[runKey]*run
	// list holds the runs in the order in which they were opened.
	list []*run
	used structs.Resources
	// claimed is what steps ask for in the pass claimedPass.
	claimed     structs.Resources
	claimedPass int
	// strangers counts runs there that the owner does not know.
	strangers int
	// avoidUntil keeps new tasks away for a while.
	avoidUntil time.Duration
	health     health
}

// runKey names a run.
type runKey struct {
	task   string
	number int
}

func (w *worker) addRun(r *run) {
	w.runs[runKey{r.name, r.number}] = r
	w.list = append(w.list, r)
}

func (w *worker) removeRun(r *run) {
	delete(w.runs, runKey{r.name, r.number})
	w.list = slices.DeleteFunc(w.list, func(o *run) bool { return o == r })
}

func (m *Machine) addWorker(id string) *worker {
	w := &worker{info: cell.Worker{ID: id}, runs: map[runKey]*run{}}
	m.workers[id] = w
	at := sort.Search(len(m.order), func(i int) bool { return m.order[i].info.ID >= id })
	m.order = append(m.order, nil)
	copy(m.order[at+1:], m.order[at:])
	m.order[at] = w
	return w
}

// workerOrPlaceholder returns a worker, also one that the store does not list:
// its runs are given up when the longest possible lease has passed.
func (m *Machine) workerOrPlaceholder(id string, born int64) *worker {
	if w, ok := m.workers[id]; ok {
		return w
	}
	w := m.addWorker(id)
	w.info.Born = born
	return w
}

// listWorkers takes changed entries of the store over.
func (m *Machine) listWorkers(e WorkersListed) {
	for _, info := range e.Workers {
		m.listWorker(info)
	}
	for _, id := range e.Removed {
		w, ok := m.workers[id]
		if !ok || !w.listed {
			continue
		}
		w.listed = false
		m.decide(id, "worker left the list", "open_runs", len(w.runs))
		m.dropWorkerIfGone(w)
	}
}

func (m *Machine) listWorker(info cell.Worker) {
	w, ok := m.workers[info.ID]
	if !ok {
		w = m.addWorker(info.ID)
		w.info.Born = info.Born
	}
	if info.Born != 0 && w.info.Born != info.Born && info.Born > w.info.Born {
		m.reborn(w, info.Born)
	}
	if !w.listed {
		w.renewAt = m.now.Mono
	}
	if info.Draining && !w.info.Draining {
		m.decide(info.ID, "worker is draining", "open_runs", len(w.runs), "remaining_ms", info.Remaining.Milliseconds())
	}
	born := w.info.Born
	w.info = info
	w.info.Born = born
	w.listed = true
	m.needPass = true
}

// reborn starts a new life of a worker: all that ran there is gone.
func (m *Machine) reborn(w *worker, born int64) {
	if w.info.Born != 0 {
		m.decide(w.info.ID, "worker started anew", "lost_runs", len(w.runs), "born", born)
	}
	w.life++
	for _, r := range slices.Clone(w.list) {
		if r.born != born {
			m.closeRun(r, "worker started anew")
		}
	}
	w.info.Born = born
	w.known = false
	w.clockAt, w.clock, w.leaseEnd = 0, 0, 0
	w.cursorSeen, w.cursorRecorded = 0, 0
	w.strangers = 0
	w.renewAt = m.now.Mono
	w.health = health{}
}

// dropWorkerIfGone forgets a worker that is not listed and runs nothing.
func (m *Machine) dropWorkerIfGone(w *worker) {
	if w.listed || len(w.runs) > 0 || m.workers[w.info.ID] != w {
		return
	}
	delete(m.workers, w.info.ID)
	for i, o := range m.order {
		if o == w {
			m.order = append(m.order[:i], m.order[i+1:]...)
			return
		}
	}
}

// silent reports whether a worker left renewals unanswered.
func (m *Machine) silent(w *worker) bool {
	return m.now.Mono-w.lastAnswer > renewWait+silentAfter
}

// usable reports whether a worker may get new tasks.
func (m *Machine) usable(w *worker) bool {
	return w.listed && w.known && !w.info.Draining && w.strangers == 0 &&
		w.failures == 0 && !m.silent(w) && m.now.Mono >= w.avoidUntil
}

// clockNow estimates a worker's clock.
func (w *worker) clockNow(now time.Duration) time.Duration {
	return w.clock + now - w.clockAt
}

// leasePassed reports whether everything that was started on a worker has
// ended by the end of its lease, on the slowest clock.
func (m *Machine) leasePassed(w *worker) bool {
	if !w.known {
		longest := AuthorityTimeout + time.Duration(float64(m.opts.LeaseLimit)/slowClock) + leaseMargin
		return m.now.Mono-max(m.started, w.clockAt) > longest
	}
	elapsed := float64(m.now.Mono-w.clockAt-leaseMargin) * slowClock
	return w.clock+time.Duration(elapsed) > w.leaseEnd
}

// tickWorker does what is due at a worker.
func (m *Machine) tickWorker(w *worker) {
	if len(w.runs) > 0 && w.failures > 0 || !w.known {
		m.expire(w)
	}
	m.renewIfDue(w)
	for _, r := range slices.Clone(w.list) {
		m.tickRun(r)
	}
	m.dropWorkerIfGone(w)
}

// expire gives the runs of a silent worker up when its lease has passed.
func (m *Machine) expire(w *worker) {
	if len(w.runs) == 0 || !m.leasePassed(w) {
		return
	}
	m.decide(w.info.ID, "worker's lease has passed", "lost_runs", len(w.runs),
		"silent_ms", (m.now.Mono - w.lastAnswer).Milliseconds())
	for _, r := range slices.Clone(w.list) {
		m.closeRun(r, "lease passed")
	}
}

// renewIfDue emits the next renewal of a worker.
func (m *Machine) renewIfDue(w *worker) {
	if w.renewing || m.now.Mono < w.renewAt || w.info.Addr == "" {
		return
	}
	if !w.listed && len(w.runs) == 0 {
		return
	}
	// Ends that are not recorded yet are returned again at once, so the next
	// renewal waits for their record.
	if w.cursorSeen > w.cursorRecorded && m.now.Mono < w.lastAnswer+recordPatience {
		return
	}
	w.renewing = true
	m.emit(Renew{Renewal: cell.Renewal{
		Worker:   w.info.ID,
		Addr:     w.info.Addr,
		Token:    m.opts.Term,
		LeaseEnd: m.extendLease(w),
		Cursor:   w.safeCursor(),
		Wait:     m.renewalWait(w),
	}})
}

// safeCursor returns the number up to which ends may be forgotten. After a failed
// call another life may answer, whose ends are numbered anew: none of them has
// been seen.
func (w *worker) safeCursor() int64 {
	if !w.known || w.failures > 0 {
		return 0
	}
	return w.cursorRecorded
}

// recordPatience bounds how long a renewal waits for the record of ends: the
// lease must be renewed also while the store is slow.
const recordPatience = 700 * time.Millisecond

// renewalWait is 0 for a worker about which something is unclear.
func (m *Machine) renewalWait(w *worker) time.Duration {
	if !w.known || w.failures > 0 || w.cursorSeen > w.cursorRecorded {
		return 0
	}
	for _, r := range w.list {
		if r.phase == phaseInherited || r.phase == phaseEnding || r.phase == phaseStopping && r.settled {
			return 0
		}
	}
	if serving, filling := w.sharing(); len(serving) > 0 && len(filling) > 0 {
		return shareWait
	}
	if len(w.runs) > 0 {
		return busyWait
	}
	return renewWait
}

// extendLease returns the end of the lease to send. The lease of a worker that
// does not answer, or of an owner that has not reached the store lately, is not
// extended, so that it passes in a known time.
func (m *Machine) extendLease(w *worker) time.Duration {
	if !w.known {
		return 0
	}
	if w.failures > 0 || m.now.Mono-m.authority > AuthorityTimeout {
		return w.leaseEnd
	}
	w.leaseEnd = max(w.leaseEnd, w.clockNow(m.now.Mono)+m.opts.LeaseLimit)
	return w.leaseEnd
}

// renewed processes a worker's answer.
func (m *Machine) renewed(e RenewResult) {
	w, ok := m.workers[e.Worker]
	if !ok {
		return
	}
	w.renewing = false
	if e.Err != nil || e.Refusal != cell.RefusedNone {
		m.renewalFailed(w, e)
		return
	}
	if w.failures > 2 {
		m.decide(w.info.ID, "worker answers again", "after_ms", (m.now.Mono - w.lastAnswer).Milliseconds())
	}
	inv := e.Inventory
	if inv.Born != 0 && inv.Born != w.info.Born {
		m.reborn(w, inv.Born)
	}
	w.clock, w.clockAt = inv.Clock, m.now.Mono
	w.lastAnswer = m.now.Mono
	w.failures = 0
	if !w.known {
		w.known = true
		m.needPass = true
	}
	m.inventory(w, e.SentAt, inv)
	m.renewIfDue(w)
}

func (m *Machine) renewalFailed(w *worker, e RenewResult) {
	w.renewAt = m.now.Mono + renewRetry
	switch e.Refusal {
	case cell.RefusedStaleToken:
		m.emit(Resign{Reason: "worker " + w.info.ID + " knows a higher token"})
		return
	case cell.RefusedIncarnation:
		// The store tells of the new life when it reports itself.
		w.known = false
	}
	w.failures++
	if w.failures == 3 {
		m.decide(w.info.ID, "worker does not answer", "open_runs", len(w.runs), "refused", string(e.Refusal), "error", errText(e.Err))
	}
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// inventory compares what a worker lists with what the owner believes.
func (m *Machine) inventory(w *worker, sent time.Duration, inv cell.Inventory) {
	w.strangers = 0
	defer m.stopStuck(w)
	defer m.share(w)
	listed := make(map[runKey]bool, len(inv.ActiveRuns)+len(inv.FinishedRuns))
	for _, row := range inv.ActiveRuns {
		key := runKey{row.Task, row.Run}
		listed[key] = true
		if r, ok := w.runs[key]; ok {
			m.runListed(r, row)
			continue
		}
		w.strangers++
		m.decide(row.Task, "unknown run is stopped", "run", row.Run, "worker", w.info.ID)
		m.emit(SendStop{Stop: cell.Stop{Task: row.Task, Run: row.Run, Worker: w.info.ID, Addr: w.info.Addr, Token: m.opts.Term}})
	}
	for _, end := range inv.FinishedRuns {
		listed[runKey{end.Task, end.Run}] = true
		if end.Number <= w.cursorSeen {
			continue
		}
		w.cursorSeen = end.Number
		m.ended(w, end)
	}
	for _, r := range slices.Clone(w.list) {
		key := runKey{r.name, r.number}
		if !listed[key] && r.mustBeListed(sent) {
			m.decide(key.task, "run is not on its worker", "run", key.number, "worker", w.info.ID, "phase", int(r.phase))
			m.closeRun(r, "not listed")
		}
	}
	if len(m.dirty) == 0 && len(m.batches) == 0 {
		w.cursorRecorded = w.cursorSeen
	}
}
