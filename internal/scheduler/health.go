package scheduler

import (
	"slices"
	"time"

	"gypsumwinch/internal/records"
)

const (
	// quarantineFailedJobs is the number of different jobs that fail on a
	// worker, with no success in between, before the worker is quarantined.
	quarantineFailedJobs = 3
	// quarantineFailures is the number of failures, with no success in between,
	// of jobs that succeed elsewhere, before the worker is quarantined.
	quarantineFailures = 8
	// quarantinedWorkersDivisor limits the quarantined workers to
	// 1/quarantinedWorkersDivisor of all workers. If more fail, the tasks are
	// the more likely cause.
	quarantinedWorkersDivisor = 2
	// maxRecordedFailedJobs bounds the list of jobs on a worker that fails and
	// cannot be quarantined.
	maxRecordedFailedJobs = 16
	// minHealthyProbeRunTime is how long a probe runs before the worker counts
	// as healthy although the probe, for example a service, has not ended.
	minHealthyProbeRunTime = time.Minute
	minProbeInterval       = 30 * time.Second
	maxProbeInterval       = 30 * time.Minute
	minStartPause          = 2 * time.Second
	maxStartPause          = time.Minute
	minRetryDelay          = time.Second
	maxRetryDelay          = time.Minute
	maxBackoffDoublings    = 10
	notStartedRetryDelay   = time.Second
)

// backoff returns initial doubled the given number of times, at most longest.
// It sets the delays of retries, of probes, and of starts on a worker that
// refused one.
func backoff(initial, longest time.Duration, doublings int) time.Duration {
	return min(initial<<min(doublings, maxBackoffDoublings), longest)
}

// health is the failure record of a worker.
type health struct {
	// failedJobs holds the jobs that failed here since the last success.
	failedJobs []string
	// failuresOfSucceededJobs counts failures of jobs that succeed elsewhere.
	failuresOfSucceededJobs int
	isQuarantined           bool
	// isProbing means that the quarantined worker takes one task as a probe.
	isProbing  bool
	probeDueAt time.Duration
	probeCount int
	// consecutiveRefusals counts starts refused in a row.
	consecutiveRefusals int
}

// isHealthy reports whether a worker takes tasks as far as its health is
// concerned: it is not quarantined, or it is being probed and has neither a
// probe task nor a reservation. isSchedulable calls it, when the index entry of
// the worker is updated and when a search considers the worker.
func (w *WorkerState) isHealthy() bool {
	return !w.health.isQuarantined || w.health.isProbing && len(w.reservations) == 0 && w.probeTask() == nil
}

// probeTask returns the task that probes a quarantined worker, or nil. Tasks
// that have run since before the probe was due, such as those from before the
// quarantine, are no probes. It is called when it is decided whether the worker
// takes a task, and on each Tick while it is probed.
func (w *WorkerState) probeTask() *task {
	for _, t := range w.tasks {
		if t.startedAt >= w.health.probeDueAt {
			return t
		}
	}
	return nil
}

// updateHealth updates the health of a worker on each TaskEnded, except if the
// start of the attempt is not on the jobs stream. A worker that refused a start
// is paused.
func (s *Scheduler) updateHealth(w *WorkerState, j *job, result records.TaskResult) {
	switch result {
	case records.TaskSucceeded:
		s.resetHealth(w)
	case records.TaskFailed:
		s.recordFailure(w, j)
	case records.TaskNotStarted:
		w.pausedUntil = s.now + backoff(minStartPause, maxStartPause, w.health.consecutiveRefusals)
		w.health.consecutiveRefusals++
	}
	s.cache.refreshWorker(w)
}

// resetHealth deletes the failure record of a worker and ends its quarantine.
// It is called when an attempt has succeeded there or a probe has run for long
// enough.
func (s *Scheduler) resetHealth(w *WorkerState) {
	if w.health.isQuarantined {
		s.quarantinedWorkers--
	}
	w.health = health{}
}

// recordFailure handles the end of a failed attempt for updateHealth. It
// quarantines a worker on which too many jobs fail, and delays the next probe
// if the worker is quarantined and was being probed. Failures of a job that
// fails everywhere do not count: one that has failed on
// jobstate.SpreadOfFailure workers while no attempt of it has succeeded.
func (s *Scheduler) recordFailure(w *WorkerState, j *job) {
	if j.budget.FailsEverywhere() {
		s.clearFailures(j)
		return
	}
	h := &w.health
	if len(h.failedJobs) < maxRecordedFailedJobs && !slices.Contains(h.failedJobs, j.spec.ID) {
		h.failedJobs = append(h.failedJobs, j.spec.ID)
		if !j.budget.Succeeded {
			j.failureWorkers = append(j.failureWorkers, w)
		}
	}
	if j.budget.Succeeded {
		h.failuresOfSucceededJobs++
	}
	if h.isQuarantined {
		// Attempts from before the quarantine do not count.
		if h.isProbing {
			s.scheduleProbe(w)
		}
		return
	}
	isFaulty := len(h.failedJobs) >= quarantineFailedJobs || h.failuresOfSucceededJobs >= quarantineFailures
	if isFaulty && (s.quarantinedWorkers+1)*quarantinedWorkersDivisor <= len(s.cache.workerList) {
		h.isQuarantined = true
		s.quarantinedWorkers++
		s.scheduleProbe(w)
		s.requeueReservationsOn(w)
	}
}

// clearFailures removes the failures of a job that fails everywhere from the
// records of its workers, and ends quarantines that are no longer justified. It
// is called on each failure of such a job.
func (s *Scheduler) clearFailures(j *job) {
	for _, w := range j.failureWorkers {
		h := &w.health
		h.failedJobs = slices.DeleteFunc(h.failedJobs, func(id string) bool { return id == j.spec.ID })
		if h.isQuarantined && len(h.failedJobs) < quarantineFailedJobs && h.failuresOfSucceededJobs < quarantineFailures {
			s.quarantinedWorkers--
			w.health = health{failedJobs: h.failedJobs, failuresOfSucceededJobs: h.failuresOfSucceededJobs}
			s.cache.refreshWorker(w)
			s.queue.onCapacityFreed(w)
		}
	}
	j.failureWorkers = nil
}

// scheduleProbe sets the time of the next probe of a quarantined worker. It is
// called when the quarantine begins and when a probe has failed.
func (s *Scheduler) scheduleProbe(w *WorkerState) {
	w.health.isProbing = false
	w.health.probeDueAt = s.now + backoff(minProbeInterval, maxProbeInterval, w.health.probeCount)
	w.health.probeCount++
}

// resumeWorkers runs on each Tick. It lets workers take tasks whose pause has
// ended, whose probe is due or whose probe has run for long enough.
func (s *Scheduler) resumeWorkers() {
	for _, w := range s.cache.workerList {
		pauseEnded := w.pausedUntil != 0 && s.now >= w.pausedUntil
		probeDue := w.health.isQuarantined && !w.health.isProbing && s.now >= w.health.probeDueAt
		probePassed := w.health.isProbing && w.hasPassedProbe(s.now)
		if !pauseEnded && !probeDue && !probePassed {
			continue
		}
		if probePassed {
			s.resetHealth(w)
		}
		if pauseEnded {
			w.pausedUntil = 0
		}
		if probeDue {
			w.health.isProbing = true
		}
		s.cache.refreshWorker(w)
		s.queue.onCapacityFreed(w)
	}
}

// hasPassedProbe reports whether the probe on a worker has run for long enough.
// resumeWorkers calls it on each Tick for workers that are probed.
func (w *WorkerState) hasPassedProbe(now time.Duration) bool {
	t := w.probeTask()
	return t != nil && t.hasStarted && now >= t.startedAt+minHealthyProbeRunTime
}
