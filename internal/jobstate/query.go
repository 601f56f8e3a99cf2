package jobstate

import (
	"cmp"
	"slices"
	"time"

	"gypsumwinch/internal/structs"
)

// TaskState is the state of one task. The values are stored in snapshots and
// returned to callers.
type TaskState string

// The states of a task. All but Pending and Running are final.
const (
	Pending   TaskState = "pending"
	Running   TaskState = "running"
	Succeeded TaskState = "succeeded"
	Failed    TaskState = "failed"
	Cancelled TaskState = "cancelled"
	// Moved means that another data centre runs the task.
	Moved TaskState = "moved"
)

// JobStatus is the state of a job as callers see it.
type JobStatus struct {
	ID         string    `json:"id"`
	Team       string    `json:"team"`
	Class      string    `json:"class"`
	DataCentre string    `json:"data_centre"`
	Submitted  time.Time `json:"submitted"`
	// Cancelled is set once the job is cancelled. Attempts that ran at that time
	// may not have ended yet.
	Cancelled bool `json:"cancelled"`
	// MovedTo is the data centre to which the job has moved, or empty.
	MovedTo string `json:"moved_to,omitempty"`
	// Finished is set when every task is in a final state.
	Finished bool              `json:"finished"`
	Counts   map[TaskState]int `json:"counts"`
	Tasks    []TaskStatus      `json:"tasks"`
	// Explanation is the reason why the job waits. Status leaves it empty; the
	// VM that runs the scheduler fills it in.
	Explanation string `json:"explanation,omitempty"`
	// Unsatisfiable means that no worker can ever run a task of the job. Status
	// leaves it unset; the VM that runs the scheduler fills it in.
	Unsatisfiable bool `json:"never,omitempty"`
}

// TaskStatus is the state of one task as callers see it.
type TaskStatus struct {
	Index int       `json:"index"`
	State TaskState `json:"state"`
	// Worker is the worker of the live attempt, empty if there is none.
	Worker string `json:"worker,omitempty"`
	// Attempt is the number of attempts started.
	Attempt int `json:"attempt"`
	// Failures is the number of attempts that failed.
	Failures int `json:"failures,omitempty"`
}

// Job returns the specification of a job, and false if the job is unknown.
func (s *State) Job(id string) (structs.Job, bool) {
	j := s.jobs[id]
	if j == nil {
		return structs.Job{}, false
	}
	return j.spec, true
}

// AcceptedOffset returns the offset of the record that accepted a job, and false if
// the job is unknown.
func (s *State) AcceptedOffset(id string) (int64, bool) {
	j := s.jobs[id]
	if j == nil {
		return 0, false
	}
	return j.acceptedOffset, true
}

// Status returns the status of a job, with one entry per task, and false if the job
// is unknown.
func (s *State) Status(id string) (JobStatus, bool) {
	j := s.jobs[id]
	if j == nil {
		return JobStatus{}, false
	}
	status := JobStatus{
		ID: id, Team: j.spec.Team, Class: j.spec.Class,
		DataCentre: j.spec.DataCentre, Submitted: j.spec.AcceptedAt,
		Cancelled: j.isCancelled, MovedTo: j.movedTo, Finished: j.openTasks == 0,
		Counts: map[TaskState]int{}, Tasks: make([]TaskStatus, len(j.tasks)),
	}
	for i, t := range j.tasks {
		status.Counts[t.state]++
		status.Tasks[i] = TaskStatus{i, t.state, t.worker, t.attempts, t.failures}
	}
	return status, true
}

// Budget returns the failure budget of a job, or that of a new job if the id is
// unknown.
func (s *State) Budget(id string) FailureBudget {
	if j := s.jobs[id]; j != nil {
		return j.budget
	}
	return FailureBudget{}
}

// Now returns the latest append time read. It is the clock of the state; the local
// clock is never used.
func (s *State) Now() time.Time { return s.clock }

// OpenJobs returns the ids of the jobs with a task that is not in a final state, in
// the order of their acceptance.
func (s *State) OpenJobs() []string {
	var open []*job
	for _, j := range s.jobs {
		if j.openTasks > 0 {
			open = append(open, j)
		}
	}
	slices.SortFunc(open, func(a, b *job) int { return cmp.Compare(a.acceptedOffset, b.acceptedOffset) })
	ids := make([]string, len(open))
	for i, j := range open {
		ids[i] = j.spec.ID
	}
	return ids
}

// PendingTasks returns the tasks that wait for a start, by job in the order of
// acceptance and then by index.
func (s *State) PendingTasks() []structs.TaskID {
	var pending []structs.TaskID
	for _, id := range s.OpenJobs() {
		for i := range s.jobs[id].tasks {
			if s.jobs[id].tasks[i].state == Pending {
				pending = append(pending, structs.TaskID{Job: id, Index: i})
			}
		}
	}
	return pending
}

// RunningOn returns the live attempts on a worker, sorted by job id and task index.
func (s *State) RunningOn(worker string) []structs.Attempt {
	attempts := make([]structs.Attempt, 0, len(s.runningByWorker[worker]))
	for _, a := range s.runningByWorker[worker] {
		attempts = append(attempts, a)
	}
	slices.SortFunc(attempts, func(a, b structs.Attempt) int {
		return cmp.Or(cmp.Compare(a.Task.Job, b.Task.Job), cmp.Compare(a.Task.Index, b.Task.Index))
	})
	return attempts
}

// Running returns the live attempts of all workers, keyed by worker.
func (s *State) Running() map[string][]structs.Attempt {
	attempts := make(map[string][]structs.Attempt, len(s.runningByWorker))
	for worker := range s.runningByWorker {
		attempts[worker] = s.RunningOn(worker)
	}
	return attempts
}

// LiveAttempt returns the live attempt of a task, and false if there is none.
func (s *State) LiveAttempt(id structs.TaskID) (structs.Attempt, bool) {
	_, t := s.task(id)
	if t == nil || t.state != Running {
		return structs.Attempt{}, false
	}
	return structs.Attempt{Task: id, Number: t.attempts, Worker: t.worker}, true
}
