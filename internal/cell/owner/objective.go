package owner

import (
	"math"
	"time"

	"gypsumwinch/internal/cell"
	"gypsumwinch/internal/structs"
)

// The finish objective of a job as its caller is owed it counts the runs that fail by the work's
// own fault, and the waves of a step that is too wide to run at once. A job is otherwise taken
// for a late one as soon as a run has failed, and goes behind work that has more time.

// waveRoomFraction is the fraction of the capacity of a service's workers that a step may count
// on; a wider one takes several waves.
const waveRoomFraction = 0.25

// maxPath bounds the expected time of a step and of a job, so that the multiples of it in the
// objective do not overflow. It is the highest estimate of a run time that is accepted.
const maxPath = 365 * 24 * time.Hour

// expectation is what is expected of one step of a job, and when it was computed.
type expectation struct {
	// mean is the run time of a task, failures are the failed runs of a gang or, of another
	// step, those of the task with the most. width is how many tasks may run at once.
	mean     time.Duration
	failures int
	width    int
	at       time.Duration
	// isSet is false before the first computation.
	isSet bool
}

// pathEstimate is an estimate that takes a pass over all steps and dependencies of a job. Every
// cycle uses it for each waiting step of the job.
type pathEstimate struct {
	value, at time.Duration
	// queue is the configuration of the job's queue that was used, nil before the first computation.
	queue *cell.Queue
}

const (
	// estimateIntervalPerStep and estimateIntervalPerDependency are more than a hundred times the
	// processor time that an estimate takes, up to maxEstimateInterval. Estimates of jobs with up to
	// 40 steps are computed in each cycle.
	estimateIntervalPerStep       = 100 * time.Microsecond
	estimateIntervalPerDependency = 4 * time.Microsecond
	maxEstimateInterval           = time.Second
)

// estimateIntervalOf returns how often estimates that go through the whole job are computed.
func estimateIntervalOf(def *cell.Job) time.Duration {
	interval := time.Duration(0)
	for i := range def.Steps {
		interval += estimateIntervalPerStep + time.Duration(len(def.Steps[i].DependsOn))*estimateIntervalPerDependency
	}
	return min(interval, maxEstimateInterval)
}

// get returns the estimate, which it computes again if it is older than the interval.
func (e *pathEstimate) get(now, interval time.Duration, q *cell.Queue, compute func() time.Duration) time.Duration {
	if e.queue != q || now-e.at >= interval {
		*e = pathEstimate{value: compute(), at: now, queue: q}
	}
	return e.value
}

// currentObjective returns the objective of a job, up to estimateInterval old.
func (m *Machine) currentObjective(j *job, q *cell.Queue) time.Duration {
	return j.objectiveEstimate.get(m.now.Mono, j.estimateInterval, q, func() time.Duration { return m.objective(j, q) })
}

// currentRemainingTime returns the remaining run time of an occurrence, up to estimateInterval old.
func (m *Machine) currentRemainingTime(o *occurrence) time.Duration {
	return o.remainingEstimate.get(m.now.Mono, o.job.estimateInterval, m.currentQueue(o.job), func() time.Duration { return m.remainingRunTime(o) })
}

// expectationOf returns what is expected of a step of a job. It is computed again after
// expectationTTL and after a failed run of the job. learnedRunTime, owedRunTime and
// remainingStepTime call it.
func (m *Machine) expectationOf(j *job, step int) *expectation {
	if j.expectations == nil {
		j.expectations = make([]expectation, len(j.def.Steps))
	}
	e := &j.expectations[step]
	if !e.isSet || m.now.Mono-e.at >= expectationTTL {
		*e = expectation{
			mean:     m.learning.meanRunTime(m.now.Mono, workOf(j, step)),
			failures: failuresOf(j, step),
			width:    m.waveWidth(j, &j.def.Steps[step]),
			at:       m.now.Mono, isSet: true,
		}
	}
	return e
}

// owedRunTime returns the time of a step that counts in the finish objective.
func (m *Machine) owedRunTime(j *job, step int) time.Duration {
	if m.learning.model == nil {
		return m.expectedRunTime(j, step)
	}
	e := m.expectationOf(j, step)
	return e.timeOf(e.failures + wavesOf(j.def.Steps[step].Count, e.width))
}

// remainingStepTime returns the time that the unfinished tasks of a step need. remainingRunTime
// calls it for each step that is not done.
func (m *Machine) remainingStepTime(o *occurrence, step int) time.Duration {
	j := o.job
	if m.learning.model == nil {
		return m.expectedRunTime(j, step)
	}
	e := m.expectationOf(j, step)
	remaining := j.def.Steps[step].Count
	if s := j.steps[cell.StepID{Job: j.def.ID, Occurrence: o.number, Step: step}]; s != nil {
		remaining -= s.doneTasks
	}
	return e.timeOf(wavesOf(remaining, e.width))
}

// timeOf returns the time of a number of runs one after the other, at most maxPath.
func (e *expectation) timeOf(runs int) time.Duration {
	return min(e.mean, maxPath/time.Duration(runs)) * time.Duration(runs)
}

// failuresOf counts the failed runs of a step, 0 for a repeated job, which is never late.
func failuresOf(j *job, step int) int {
	s := j.steps[cell.StepID{Job: j.def.ID, Step: step}]
	if s == nil || j.def.Repeat > 0 {
		return 0
	}
	failures := s.gangFailures
	for i := range s.tasks {
		failures = max(failures, s.tasks[i].failedRuns)
	}
	return failures
}

// wavesOf returns how many times width tasks must run one after the other.
func wavesOf(tasks, width int) int {
	return max((tasks+width-1)/width, 1)
}

// waveWidth returns how many tasks of a step may count on running at once: as many as fit into
// waveRoomFraction of the workers, and as the customer may run. The members of a gang run at
// once in any case.
func (m *Machine) waveWidth(j *job, s *cell.Step) int {
	if s.Gang {
		return s.Count
	}
	width := s.Count
	if room, ok := m.learning.rooms[m.currentQueue(j).Service]; ok {
		width = min(width, countFitting(s.Charge(), scaleResources(room, waveRoomFraction)))
	}
	if m.config != nil {
		if c := m.config.Customer(j.def.Customer); c != nil {
			width = min(width, countFitting(s.Need, orUnlimited(c.MaxRunning)))
		}
	}
	return max(width, 1)
}

// orUnlimited replaces the amounts of a quota that are 0, which is no limit.
func orUnlimited(r structs.Resources) structs.Resources {
	for _, amount := range []*int64{&r.MilliCPU, &r.MemoryMB, &r.Accelerators} {
		if *amount == 0 {
			*amount = math.MaxInt64
		}
	}
	return r
}
