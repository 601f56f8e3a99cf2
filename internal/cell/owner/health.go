package owner

import (
	"slices"
	"time"

	"gypsumwinch/internal/cell"
)

// health tracks failed runs of a worker, to detect workers on which all runs
// fail.
type health struct {
	// failedJobs counts the jobs that had a failed run here since the last
	// success.
	failedJobs int
	// lastFailedJob is the last of these jobs. Its further failures do not
	// count, since a job that can never succeed has many failed runs.
	lastFailedJob cell.JobID
	lastFailureAt time.Duration
}

const (
	// suspectFailures is the number of failed jobs from which a worker is
	// quarantined. A single failure is usually the fault of the task: 2 to 4 in
	// 100 runs fail.
	suspectFailures = 2
	// minQuarantine is the length of the first quarantine; each further failed
	// job doubles it.
	minQuarantine = time.Second
	// maxQuarantine bounds a quarantine, since workers recover within some
	// seconds.
	maxQuarantine = 16 * time.Second
	// maxQuarantinedFraction is the fraction of workers in quarantine above
	// which quarantines are suspended, since the cause is then not the workers.
	maxQuarantinedFraction = 0.3
	// workerAvoidTTL is how long a step avoids a worker on which one of its runs
	// failed.
	workerAvoidTTL = 6 * time.Second
	// idleQuarantine is how long after its last failure a suspect worker gets no task of
	// a step without a run. A disruption that made the worker fail may go on until
	// then; after it a job that could run may have nothing running for 3 s.
	idleQuarantine = 4 * time.Second
	// idleAvoidLimit is how long a step without a run goes on avoiding workers. A job
	// that could run may have nothing running for 3 s, and an answer of the advice
	// service takes up to a second.
	idleAvoidLimit = 1500 * time.Millisecond
)

// countFailure counts a failed run of a job on the worker. recordFailedRun
// calls it for each run that finished with outcome failed or was stuck; runs
// that were stopped, lost or ended with their gang do not count. A further
// failure of the last counted job only moves lastFailureAt, but a failure of
// any other job counts again, also of one that was counted before. So failedJobs
// rises with each failure if two jobs fail in turn, and can exceed the number
// of different jobs.
func (h *health) countFailure(now time.Duration, job cell.JobID) {
	h.lastFailureAt = now
	if h.failedJobs > 0 && h.lastFailedJob == job {
		return
	}
	h.failedJobs++
	h.lastFailedJob = job
}

// countSuccess resets the count of failed jobs, so that the worker is no
// longer suspect. handleSucceededRun calls it for each run that completed
// its task, except those of long-running tasks.
func (h *health) countSuccess() { h.failedJobs = 0 }

// isSuspect reports whether runs of several jobs in a row failed on a worker.
// After its quarantine a suspect worker gets one task at a time until one
// succeeds.
func (h *health) isSuspect() bool { return h.failedJobs >= suspectFailures }

// isQuarantined reports whether a worker gets no tasks for now because it is
// suspect and its last failure is recent. Scheduling cycles call it.
func (h *health) isQuarantined(now time.Duration) bool {
	if !h.isSuspect() {
		return false
	}
	duration := min(minQuarantine<<min(h.failedJobs-suspectFailures, 10), maxQuarantine)
	return now-h.lastFailureAt < duration
}

// updateQuarantineSuspension decides whether quarantines apply in this
// scheduling cycle. It runs at the start of each one.
func (m *Machine) updateQuarantineSuspension() {
	quarantined := 0
	for _, w := range m.sortedWorkers {
		if w.health.isQuarantined(m.now.Mono) {
			quarantined++
		}
	}
	m.isQuarantineSuspended = float64(quarantined) > maxQuarantinedFraction*float64(len(m.sortedWorkers))
}

// limitByHealth returns how many of n tasks of a step that fit may be placed on a
// worker, given its health and its present runs. Every computation of a
// worker's capacity for a step in a scheduling cycle uses it.
func (m *Machine) limitByHealth(w *worker, s *step, n int) int {
	switch {
	case m.isQuarantineSuspended || !w.health.isSuspect():
		return n
	case s.acceptsAllWorkers && m.now.Mono-w.health.lastFailureAt >= idleQuarantine:
		return n
	case w.health.isQuarantined(m.now.Mono):
		return 0
	default:
		return min(n, 1-len(w.runs))
	}
}

// mustAcceptAllWorkers reports whether a step has had no run for idleAvoidLimit, so
// that it no longer avoids workers. placeStep calls it once in each scheduling cycle:
// the answer must not change while the step's tasks are placed. Each task of a
// long-running step must run, whether others do or not.
func (m *Machine) mustAcceptAllWorkers(s *step) bool {
	return (s.openRuns == 0 || s.def.LongRunning) && m.now.Mono-s.idleSince >= idleAvoidLimit
}

// avoidsWorker reports whether a run of a step recently failed on a worker, unless
// the step accepts all workers.
func (m *Machine) avoidsWorker(s *step, w *worker) bool {
	return !s.acceptsAllWorkers && m.failedRecentlyOn(s, w)
}

// failedRecentlyOn reports whether a run of a step recently failed on a worker.
func (m *Machine) failedRecentlyOn(s *step, w *worker) bool {
	at, failed := s.failedAtByWorker[w.info.ID]
	return failed && m.now.Mono-at < workerAvoidTTL
}

// isLastChoice reports whether a step uses a worker only if no other has room: the
// worker is suspect, or a run of the step recently failed there.
func (m *Machine) isLastChoice(s *step, w *worker) bool {
	return w.health.isSuspect() || m.failedRecentlyOn(s, w)
}

// recordFailedRun counts a run that failed or was stuck against its worker's
// health, and makes its step avoid that worker for workerAvoidTTL.
// handleFailedRun and stopStuckRuns call it. Nothing is stored.
func (m *Machine) recordFailedRun(r *run) {
	r.worker.health.countFailure(m.now.Mono, r.job.def.ID)
	if r.step == nil {
		return
	}
	if r.step.failedAtByWorker == nil {
		r.step.failedAtByWorker = map[string]time.Duration{}
	}
	r.step.failedAtByWorker[r.worker.info.ID] = m.now.Mono
}

const (
	// minStuckTimeout is the minimum time without progress after which a run
	// counts as stuck. Runs of the shortest tasks advance by one percent every
	// 10 ms.
	minStuckTimeout = time.Second
	// stuckRunTimeFraction of the step's expected run time must have passed as
	// well. The slowest tasks take 7 times the mean, and 5 times as long again
	// on slow workers; even these advance by one percent within this fraction.
	stuckRunTimeFraction = 0.4
	// maxProgressPercent is the progress of a run that is about to finish.
	maxProgressPercent = 100
)

// stopStuckRuns stops the runs of a worker that make no progress, so that
// their tasks start elsewhere. A gang is stopped as a whole. It runs after
// each inventory of the worker was processed.
func (m *Machine) stopStuckRuns(w *worker) {
	for _, r := range slices.Clone(w.runList) {
		if !m.isStuck(r) {
			continue
		}
		m.logDecision(r.taskName, "run is stuck", "run", r.number, "worker", w.info.ID, "percent", r.progressPercent,
			"still_ms", (w.clock - r.progressAt).Milliseconds())
		m.recordFailedRun(r)
		if r.step.def.Gang {
			m.stopGang(r.step, "a member is stuck")
			continue
		}
		m.stopRun(r)
	}
}

// isStuck reports whether a run is stuck: it is listed as active, and its worker has listed
// the same progress for minStuckTimeout or, if longer, stuckRunTimeFraction of the
// step's expected run time, on the worker's clock. Runs of long-running tasks, runs at
// maxProgressPercent and runs without a step are never stuck. Members of a gang make
// progress only while all of them run, so the time of a gang begins with its last
// member. stopStuckRuns calls it for each run of a worker.
func (m *Machine) isStuck(r *run) bool {
	if r.phase != phaseRunning || !r.isListedActive || r.step == nil || r.step.def.LongRunning || r.progressPercent >= maxProgressPercent {
		return false
	}
	limit := max(minStuckTimeout, time.Duration(stuckRunTimeFraction*float64(m.expectedRunTime(r.job, r.id.Step))))
	if r.step.def.Gang {
		complete, since := r.step.runningSince()
		if !complete || m.now.Mono-since <= limit {
			return false
		}
	}
	return r.worker.clock-r.progressAt > limit
}

// runningSince reports whether every task of a step has a confirmed run, and when the
// last of them was confirmed. isStuck calls it for gangs.
func (s *step) runningSince() (complete bool, since time.Duration) {
	for i := range s.tasks {
		r := s.tasks[i].run
		if r == nil || r.phase != phaseRunning {
			return false, 0
		}
		since = max(since, r.startedAt)
	}
	return true, since
}
