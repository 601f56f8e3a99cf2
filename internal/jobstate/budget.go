package jobstate

import (
	"slices"

	"gypsumwinch/internal/records"
)

const (
	// MaxTaskFailures is the number of failed attempts after which a task fails.
	MaxTaskFailures = 5
	// MaxJobFailures is the number of failed attempts after which a job fails,
	// if none of its tasks ever succeeded and attempts failed on
	// MinFailedWorkers workers. It bounds the attempts of a large job that
	// fails on every worker; MaxTaskFailures alone would allow five per task.
	MaxJobFailures = 25
	// MinFailedWorkers is the number of distinct workers on which attempts must
	// fail before the job counts as the cause. With fewer, the workers may be
	// broken.
	MinFailedWorkers = 3
)

// FailureBudget counts the failed attempts of a job and decides when the job
// fails as a whole. The zero value is the budget of a new job. It is part of
// the jobs snapshot.
type FailureBudget struct {
	Failures  int  `json:"failures,omitempty"`
	Succeeded bool `json:"succeeded,omitempty"`
	// Workers holds up to MinFailedWorkers workers on which attempts failed.
	Workers []string `json:"workers,omitempty"`
}

// Count adds the result of an attempt that ran on worker. Results other than
// success and failure, such as a lost worker, do not count.
func (b *FailureBudget) Count(worker string, result records.TaskResult) {
	switch result {
	case records.TaskSucceeded:
		b.Succeeded = true
	case records.TaskFailed:
		b.Failures++
		if len(b.Workers) < MinFailedWorkers && !slices.Contains(b.Workers, worker) {
			b.Workers = append(slices.Clone(b.Workers), worker)
		}
	}
}

// FailsEverywhere reports whether the job itself causes its failures, rather than
// a broken worker: no task succeeded, and attempts failed on MinFailedWorkers
// workers.
func (b *FailureBudget) FailsEverywhere() bool {
	return !b.Succeeded && len(b.Workers) >= MinFailedWorkers
}

// Exhausted reports whether the job has failed too often to start another attempt.
func (b *FailureBudget) Exhausted() bool {
	return b.FailsEverywhere() && b.Failures >= MaxJobFailures
}
