package owner

import (
	"cmp"
	"math"
	"slices"
	"time"

	"gypsumwinch/internal/cell"
	"gypsumwinch/internal/cell/failurerate"
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
	// record holds the counted failures of which the work is known, with their weights.
	record failurerate.Record
}

const (
	// suspectFailures is the number of failed jobs from which a worker is
	// quarantined. A single failure is usually the fault of the task: 2 to 4 in
	// 100 runs fail.
	suspectFailures = 2
	// suspectEvidence is the weight of failures from which a worker is quarantined. Two
	// failures suffice of work of which up to 17 in 100 runs fail on other workers. With 1.4, 14 %
	// of the workers that fail everything got a fifth more runs than by a count of failures.
	suspectEvidence = 1.0
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
	// idleAvoidLimit is how long a step without a run goes on avoiding workers at most; see
	// idleAvoidTime.
	idleAvoidLimit = 1500 * time.Millisecond
)

// countFailure counts a failed run of a job on the worker, and returns whether it
// counts. recordFailedRun calls it for each run that finished with outcome failed or
// was stuck; runs that were stopped, lost or ended with their gang do not count. A further
// failure of the last counted job only moves lastFailureAt, but a failure of
// any other job counts again, also of one that was counted before. So failedJobs
// rises with each failure if two jobs fail in turn, and can exceed the number
// of different jobs.
func (h *health) countFailure(now time.Duration, job cell.JobID) bool {
	h.lastFailureAt = now
	if h.failedJobs > 0 && h.lastFailedJob == job {
		return false
	}
	h.failedJobs++
	h.lastFailedJob = job
	return true
}

// countSuccess resets the count of failed jobs, so that the worker is no
// longer suspect. recordSucceededRun calls it for each run that completed
// its task and each run of a long-running task that is at work.
func (h *health) countSuccess() {
	h.failedJobs = 0
	h.record = failurerate.Record{}
}

// evidence returns how many failures of work that usually succeeds the counted failures
// weigh as much as.
func (h *health) evidence() float64 { return float64(h.failedJobs) - h.record.Explained() }

// isSuspect reports whether runs of several jobs in a row failed on a worker, of work
// that fails less often on other workers.
// After its quarantine a suspect worker gets one task at a time until one
// succeeds.
func (h *health) isSuspect() bool {
	return h.failedJobs >= suspectFailures && h.evidence() >= suspectEvidence
}

// isQuarantined reports whether a worker gets no tasks for now because it is
// suspect and its last failure is recent. Scheduling cycles call it.
func (h *health) isQuarantined(now time.Duration) bool {
	return h.isSuspect() && now-h.lastFailureAt < h.quarantine()
}

// quarantine returns how long a suspect worker gets no tasks after its last failure.
func (h *health) quarantine() time.Duration {
	doublings := min(max(int(math.Round(h.evidence()))-suspectFailures, 0), 10)
	return min(minQuarantine<<doublings, maxQuarantine)
}

// updateQuarantineSuspension decides whether quarantines apply in this
// scheduling cycle. It runs at the start of each one.
func (m *Machine) updateQuarantineSuspension() {
	m.weighFailures()
	quarantined, suspects := 0, 0
	for _, w := range m.sortedWorkers {
		if !w.health.isSuspect() {
			continue
		}
		suspects++
		if w.health.isQuarantined(m.now.Mono) {
			quarantined++
		}
	}
	m.measureUsedCPU(suspects > 0)
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
	case m.mustTrySuspectWorkers(s):
		return s.limitOfTrial(n)
	case w.health.isQuarantined(m.now.Mono):
		return 0
	default:
		return min(n, 1-w.runsThatMayEnd())
	}
}

// runsThatMayEnd counts the runs of a worker but those of long-running tasks that are at work:
// these do not end, so that the worker would never be tried with another task.
func (w *worker) runsThatMayEnd() int {
	n := 0
	for _, r := range w.runList {
		if r.workObservedAt == 0 {
			n++
		}
	}
	return n
}

// mustTrySuspectWorkers reports whether a step that accepts all workers starts on suspect ones
// although their last failure is recent. The worker may fail again, which costs an attempt;
// but the failures may have been those of the work, and a job that could run may have
// nothing running for 3 s while under half of its service is in use. In a fuller cell the
// step waits for the other workers. A long-running task has no limit of attempts and must
// run at any time within 9 s of its last run.
func (m *Machine) mustTrySuspectWorkers(s *step) bool {
	if !s.acceptsAllWorkers {
		return false
	}
	if s.def.LongRunning && m.now.Mono-s.waitingSince >= idleQuarantine {
		return true
	}
	used, known := m.usedCPUByService[m.currentQueue(s.job).Service]
	return known && used < maxUsedForTrials
}

// maxUsedForTrials is the part of the CPUs of a service below which mustTrySuspectWorkers
// applies.
const maxUsedForTrials = 0.5

// limitOfTrial returns how many of n tasks a step that must start on suspect workers
// may start there: one, so that the others keep their attempts. A gang starts as a whole,
// and each long-running task must run.
func (s *step) limitOfTrial(n int) int {
	if s.def.Gang || s.def.LongRunning {
		return n
	}
	return min(n, 1-s.openRuns)
}

// measureUsedCPU measures the fraction of the CPUs of each service that is in use, if any
// worker is suspect; see mustTrySuspectWorkers.
func (m *Machine) measureUsedCPU(isNeeded bool) {
	m.usedCPUByService = nil
	if !isNeeded {
		return
	}
	used, capacity := map[string]int64{}, map[string]int64{}
	for _, w := range m.sortedWorkers {
		if w.isListed {
			used[w.info.Service] += w.used.MilliCPU
			capacity[w.info.Service] += w.info.Capacity.MilliCPU
		}
	}
	m.usedCPUByService = map[string]float64{}
	for service, total := range capacity {
		if total > 0 {
			m.usedCPUByService[service] = float64(used[service]) / float64(total)
		}
	}
}

// mustAcceptAllWorkers reports whether a step has had no run for idleAvoidTime, so
// that it no longer avoids workers. placeStep calls it once in each scheduling cycle:
// the answer must not change while the step's tasks are placed. Each task of a
// long-running step must run, whether others do or not, so that the one that has waited
// longest counts first; see acceptWorkersFor.
func (m *Machine) mustAcceptAllWorkers(s *step, q *cell.Queue) bool {
	if !s.def.LongRunning {
		return s.openRuns == 0 && m.now.Mono-s.idleSince >= m.idleAvoidTime(q)
	}
	s.waitingSince = m.now.Mono
	for i := range s.tasks {
		if s.tasks[i].run == nil && !s.tasks[i].isDone {
			s.waitingSince = min(s.waitingSince, s.taskIdleSince(i))
		}
	}
	return m.now.Mono-s.waitingSince >= idleAvoidLimit
}

// acceptWorkersFor sets which workers a long-running step accepts for one of its tasks,
// which has a waiting time of its own: in a step of many tasks some run always ended a short
// time ago. placeStep calls it before it places each task.
func (m *Machine) acceptWorkersFor(s *step, index int) {
	if s.def.LongRunning {
		s.waitingSince = s.taskIdleSince(index)
		s.acceptsAllWorkers = m.now.Mono-s.waitingSince >= idleAvoidLimit
	}
}

// taskIdleSince returns since when a task without a run has been waiting for one.
func (s *step) taskIdleSince(index int) time.Duration {
	return max(s.tasks[index].idleSince, s.readyAt)
}

// sortByWaitingTime sorts tasks without a run by their waiting time, the longest first, since
// the tasks behind the first one that finds no worker are not placed.
func (s *step) sortByWaitingTime(indexes []int) {
	slices.SortStableFunc(indexes, func(a, b int) int { return cmp.Compare(s.taskIdleSince(a), s.taskIdleSince(b)) })
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
// step's expected run time, on the worker's clock. The time for which the owner slowed the run
// down does not count (excludePacedTime). Runs of long-running tasks, runs at
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
