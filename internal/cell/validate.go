package cell

import (
	"time"

	"github.com/rotisserie/eris"
)

// Limits of a job. Larger ones are refused when they are submitted: a job that cannot
// be held in memory would take down each owner in turn.
const (
	// MaxTasksPerJob bounds the tasks of one occurrence of a job. The record of a job
	// lists its open runs with 60 bytes each; the store accepts records of 256 KB.
	MaxTasksPerJob = 4_000
	// MaxStepsPerJob bounds the steps of a job.
	MaxStepsPerJob = 1_000
	// maxOccurrences bounds the occurrences of a repeated job. The record of a job
	// has a character about each one that is done if it would be too long otherwise.
	maxOccurrences = 4_000
	// maxAmount bounds an amount of one resource, so that sums of amounts do not
	// overflow.
	maxAmount = int64(1) << 40
	// maxDuration bounds the durations of a job, so that multiples of them do not
	// overflow.
	maxDuration = 365 * 24 * time.Hour
)

// Validate returns an error that names the first value of the job that no owner can
// work with. The adapter calls it for each submission, and DecodeJob for each stored one.
func (j *Job) Validate() error {
	if len(j.Steps) == 0 || len(j.Steps) > MaxStepsPerJob {
		return eris.Errorf("job %s has %d steps; it must have 1 to %d", j.ID, len(j.Steps), MaxStepsPerJob)
	}
	if j.Repeat < 0 || j.Repeat > maxOccurrences {
		return eris.Errorf("job %s has %d occurrences; it may have up to %d", j.ID, j.Repeat, maxOccurrences)
	}
	if j.Interval < 0 || j.Interval > maxDuration {
		return eris.Errorf("job %s has an interval of %v; it must be 0 to %v", j.ID, j.Interval, maxDuration)
	}
	if j.Repeat > 0 && (j.FirstDueAt.Year() < 1970 || j.FirstDueAt.Year() > 9999) {
		return eris.Errorf("job %s is first due in the year %d; it must be 1970 to 9999", j.ID, j.FirstDueAt.Year())
	}
	tasks := 0
	for i := range j.Steps {
		if err := j.Steps[i].validate(i); err != nil {
			return eris.Wrapf(err, "job %s: step %d", j.ID, i)
		}
		tasks += j.Steps[i].Count
		if tasks > MaxTasksPerJob {
			return eris.Errorf("job %s has more than %d tasks", j.ID, MaxTasksPerJob)
		}
	}
	return nil
}

// validate checks one step; index is its position in the job.
func (s *Step) validate(index int) error {
	if s.Count < 0 || s.Count > MaxTasksPerJob {
		return eris.Errorf("%d tasks; it may have up to %d", s.Count, MaxTasksPerJob)
	}
	for _, amount := range []int64{s.Need.MilliCPU, s.Need.MemoryMB, s.Need.Accelerators} {
		if amount < 0 || amount > maxAmount {
			return eris.Errorf("a task needs %d of a resource; it must be 0 to %d", amount, maxAmount)
		}
	}
	for _, d := range s.DependsOn {
		if int(d) >= index {
			return eris.Errorf("depends on step %d, which is not an earlier one", d)
		}
	}
	if s.Estimate < 0 || s.Estimate > maxDuration || s.TailTarget < 0 || s.TailTarget > maxDuration {
		return eris.Errorf("estimate %v or tail target %v is not 0 to %v", s.Estimate, s.TailTarget, maxDuration)
	}
	if s.MaxPerWorker < 0 || s.MaxUnavailable < 0 {
		return eris.Errorf("limits of %d tasks on a worker and %d unavailable tasks must not be negative", s.MaxPerWorker, s.MaxUnavailable)
	}
	return nil
}

// validate returns an error that names the first value of the record that does not
// describe a progress.
func (p *Progress) validate() error {
	switch p.State {
	case StateQueued, StateRunning, StateCompleted, StateFailed, StateCancelled:
	default:
		return eris.Errorf("state %q is not known", byte(p.State))
	}
	if len(p.DoneOccurrences) > maxOccurrences {
		return eris.Errorf("%d occurrences; a job has up to %d", len(p.DoneOccurrences), maxOccurrences)
	}
	for _, s := range p.Steps {
		if s.Occurrence < 0 || s.Step < 0 || s.LastRun < 0 {
			return eris.Errorf("occurrence %d, step %d or run %d is negative", s.Occurrence, s.Step, s.LastRun)
		}
		for _, o := range s.OpenRuns {
			if o.Index < 0 || o.Run < 0 || o.Worker == "" {
				return eris.Errorf("open run %d of task %d on worker %q is not valid", o.Run, o.Index, o.Worker)
			}
		}
	}
	return nil
}
