package structs

import (
	"fmt"
	"time"
)

// Job is a set of task groups that a caller submits together.
type Job struct {
	// ID is a ULID that the caller generates.
	ID    string `json:"id"`
	Team  string `json:"team"`
	Class string `json:"class"`
	// DataCentre is the assigned data centre, whose owner schedules the job.
	DataCentre string `json:"data_centre"`
	// NonIdempotent is copied from the class when the job is accepted. A task of such
	// a job is never repeated after an attempt that may have run.
	NonIdempotent bool `json:"non_idempotent,omitempty"`
	// AcceptedAt is the time of day at which the job was accepted.
	AcceptedAt time.Time   `json:"submitted"`
	Groups     []TaskGroup `json:"groups"`
}

// TaskCount returns the number of tasks in all groups.
func (j *Job) TaskCount() int {
	n := 0
	for _, g := range j.Groups {
		n += g.Count
	}
	return n
}

// TaskGroup is a group of equal tasks of a job.
type TaskGroup struct {
	Name  string `json:"name"`
	Count int    `json:"count"`
	// Resources is what the caller declares that one task needs.
	Resources Resources `json:"resources"`
	// Gang means that all tasks start at the same time or none does.
	Gang bool `json:"gang"`
	// Service means that the tasks run until they are stopped.
	Service bool `json:"service"`
	// RunTime is the run time of one task that the caller declares, zero if unknown.
	RunTime time.Duration `json:"run_time"`
	// Payload is passed to the worker unchanged.
	Payload []byte `json:"payload,omitempty"`
}

// TaskID identifies a task. Index numbers the tasks of all groups of the job from 0,
// in the order of the groups.
type TaskID struct {
	Job   string `json:"job"`
	Index int    `json:"index"`
}

// String returns the id as job/index.
func (t TaskID) String() string {
	return fmt.Sprintf("%s/%d", t.Job, t.Index)
}

// Attempt is one start of a task on a worker.
type Attempt struct {
	Task TaskID `json:"task"`
	// Number counts the attempts of the task from 1.
	Number int    `json:"number"`
	Worker string `json:"worker"`
}
