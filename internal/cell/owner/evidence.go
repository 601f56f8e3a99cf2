package owner

import (
	"fmt"
	"strings"
	"time"

	"gypsumwinch/internal/cell/failurerate"
	"gypsumwinch/internal/cell/pacing"
)

// work returns what a run executes, for the failure rates.
func (r *run) work() failurerate.Work {
	return failurerate.Work{Queue: r.job.def.Queue.Name, Image: r.step.def.Image, Step: &r.step.outcomes}
}

// recordFailedRun counts a run that failed or was stuck against its worker's
// health, and makes its step avoid that worker for workerAvoidTTL.
// handleFailedRun and stopStuckRuns call it. Nothing is stored.
func (m *Machine) recordFailedRun(r *run) {
	h := &r.worker.health
	isCounted := h.countFailure(m.now.Mono, r.job.def.ID)
	if r.step == nil {
		return
	}
	if isCounted && !h.record.Add(r.work()) {
		h.failedJobs-- // A full record decides as well as a longer one.
	}
	m.mustWeighFailures = true
	if r.step.failedAtByWorker == nil {
		r.step.failedAtByWorker = map[string]time.Duration{}
	}
	r.step.failedAtByWorker[r.worker.info.ID] = m.now.Mono
}

// recordSucceededRun clears the suspicion against the worker of a run that completed its task
// or, of a long-running task, is at work. Failures that did not make the worker
// suspect were those of the work. handleSucceededRun and observeWork call it.
func (m *Machine) recordSucceededRun(r *run) {
	h := &r.worker.health
	if !h.isSuspect() {
		for _, f := range h.record.Failures {
			for range f.Runs {
				m.failureRates.ObserveFailed(m.now.Mono, f.Work)
			}
		}
	}
	if h.failedJobs > 0 {
		m.mustWeighFailures = true
	}
	if h.isSuspect() {
		m.logDecision(r.worker.info.ID, "worker is no longer suspect", "reason", "run succeeded", "task", r.taskName)
	}
	h.countSuccess()
	m.failureRates.ObserveDone(m.now.Mono, r.work())
}

// workPeriod is the time at work for which a long-running task counts as one run that
// succeeded. A task that fails once a day then fails seldom, one that fails once a minute often.
const workPeriod = time.Minute

// observeWork records that a long-running task is at work. The first time it shows that its
// worker can start tasks, and clears the suspicion against it; later it says nothing about
// new starts. updateListedRun calls it for each run that an inventory lists as active.
func (m *Machine) observeWork(r *run) {
	if r.phase != phaseRunning || r.step == nil || !r.step.def.LongRunning || r.progressPercent < maxProgressPercent {
		return
	}
	switch {
	case r.workObservedAt == 0:
		m.recordSucceededRun(r)
	case m.now.Mono-r.workObservedAt >= workPeriod:
		m.failureRates.ObserveDone(m.now.Mono, r.work())
	default:
		return
	}
	r.workObservedAt = m.now.Mono
}

// maxWeighings bounds how often failures are weighed in a scheduling cycle. Each suspect worker
// lowers the rate of the work for the others.
const maxWeighings = 4

// weighFailures compares the failures on all workers with the rates of their work, if any has
// changed. It runs at the start of each scheduling cycle.
func (m *Machine) weighFailures() {
	if !m.mustWeighFailures {
		return
	}
	m.mustWeighFailures = false
	var workers []*worker
	var records []*failurerate.Record
	for _, w := range m.sortedWorkers {
		if len(w.health.record.Failures) > 0 {
			workers = append(workers, w)
			records = append(records, &w.health.record)
		}
	}
	for range maxWeighings {
		m.failureRates.Weigh(m.now.Mono, records)
		if !m.updateSuspects(workers) {
			return
		}
	}
}

// updateSuspects notes which workers are suspect by their weighed failures, and returns whether
// that has changed. weighFailures calls it.
func (m *Machine) updateSuspects(workers []*worker) (changed bool) {
	for _, w := range workers {
		h := &w.health
		if h.record.IsSuspect == h.isSuspect() {
			continue
		}
		changed = true
		h.record.IsSuspect = h.isSuspect()
		if h.record.IsSuspect {
			m.logDecision(w.info.ID, "worker is suspect", "failed_jobs", h.failedJobs, "evidence", h.evidence(),
				"quarantine_ms", h.quarantine().Milliseconds(), "failures", describeFailures(h.record.Failures))
		} else {
			m.logDecision(w.info.ID, "worker is no longer suspect", "reason", "its failed work fails on other workers too",
				"failed_jobs", h.failedJobs, "evidence", h.evidence())
		}
	}
	return changed
}

// describeFailures returns the failures by queue and image for a log line: the failed runs and
// their weight.
func describeFailures(failures []failurerate.Failure) string {
	var b strings.Builder
	for i, f := range failures {
		if i > 0 {
			b.WriteString(", ")
		}
		fmt.Fprintf(&b, "%s/%s %d (%.2f)", f.Work.Queue, f.Work.Image, f.Runs, f.Weight)
	}
	return b.String()
}

// Health counts the workers under suspicion and the best-effort runs by pace.
type Health struct {
	// Suspect is the number of suspect workers, Quarantined of those that get no tasks for now.
	// ClearedByRate workers would be suspect if their failed work did not fail on others too.
	Suspect, Quarantined, ClearedByRate int
	// FullPace, Slowed, AtFloor and Paused count the best-effort runs.
	FullPace, Slowed, AtFloor, Paused int
}

// Health returns the present counts. Package node exports them every second.
func (m *Machine) Health() Health {
	var h Health
	for _, w := range m.sortedWorkers {
		switch {
		case w.health.isSuspect():
			h.Suspect++
			if w.health.isQuarantined(m.now.Mono) {
				h.Quarantined++
			}
		case w.health.failedJobs >= suspectFailures:
			h.ClearedByRate++
		}
		if w.pacer != nil {
			h.addPaces(w)
		}
	}
	return h
}

// addPaces counts the best-effort runs of a worker.
func (h *Health) addPaces(w *worker) {
	_, bestEffort := w.sharingRuns()
	for _, r := range bestEffort {
		switch pace := r.knownPace(); {
		case pace == pacing.Paused:
			h.Paused++
		case pace <= pacing.Floor:
			h.AtFloor++
		case pace < pacing.Full:
			h.Slowed++
		default:
			h.FullPace++
		}
	}
}
