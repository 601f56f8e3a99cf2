package structs

import (
	"fmt"
	"time"
)

// Job is a set of task groups that a caller submits together.
type Job struct {
	// ID is a ULID chosen by the submitter.
	ID    string `json:"id"`
	Team  string `json:"team"`
	Class string `json:"class"`
	// DataCentre is the home data centre, whose owner schedules the job.
	DataCentre string `json:"data_centre"`
	// NonIdempotent is copied from the class at acceptance. An attempt of such
	// a job that may have run is never repeated.
	NonIdempotent bool `json:"non_idempotent,omitempty"`
	// AcceptedAt is the wall clock time of acceptance.
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

// TaskGroup is a number of equal tasks.
type TaskGroup struct {
	Name  string `json:"name"`
	Count int    `json:"count"`
	// Resources is the declared size of one task.
	Resources Resources `json:"resources"`
	// Gang means that all tasks start at once or none does.
	Gang bool `json:"gang"`
	// Service means that the tasks run until they are stopped.
	Service bool `json:"service"`
	// RunTime is the declared run time of one task, zero if unknown.
	RunTime time.Duration `json:"run_time"`
	// Payload is passed to the worker unchanged.
	Payload []byte `json:"payload,omitempty"`
}

// TaskID identifies a task. Index counts through all groups of the job.
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
	// Number counts the starts of the task from 1.
	Number int    `json:"number"`
	Worker string `json:"worker"`
}
