package scheduler

import (
	"time"

	"gypsumwinch/internal/jobstate"
	"gypsumwinch/internal/records"
	"gypsumwinch/internal/structs"
)

// Worker is a machine that runs tasks.
type Worker struct {
	ID       string
	Rack     string
	Capacity structs.Resources
	// Leaving means that the worker takes no further tasks.
	Leaving bool
}

// Event is an input of Apply: something that happened to the jobs or the
// workers of a data centre.
type Event interface{ event() }

// JobAdded adds a job that the jobs stream accepted. A job that is known, or
// that this scheduler has seen finish, is ignored.
type JobAdded struct {
	Job structs.Job
	// Age is the time since the acceptance of the job.
	Age time.Duration
	// Tasks holds the progress of the tasks by index. It is nil for a new job.
	Tasks []TaskProgress
	// Budget is the failure budget of the job: it counts the failures so far and
	// holds the workers on which they happened. Once it is exhausted, no further
	// attempt of the job starts.
	Budget jobstate.FailureBudget
}

// TaskProgress is the state of a task according to the jobs stream.
type TaskProgress struct {
	// Attempts is the number of attempts started.
	Attempts int
	Failures int
	// Done means that the task takes no further start.
	Done bool
	// LiveWorker is the worker of the live attempt, empty if there is none.
	LiveWorker string
}

// JobCancelled cancels a job. Its live attempts are stopped.
type JobCancelled struct{ Job string }

// JobRemoved removes a job that moved to another data centre.
type JobRemoved struct{ Job string }

// WorkerUp adds a worker, or marks one that was down as up.
type WorkerUp struct{ Worker Worker }

// WorkerDown marks a worker as down, so that nothing is placed there. Its
// attempts stay live until they are reported as ended.
type WorkerDown struct{ Worker string }

// WorkerChanged changes the capacity, rack or leaving flag of a worker.
type WorkerChanged struct{ Worker Worker }

// TaskStarted reports that a worker runs an attempt.
type TaskStarted struct{ Attempt structs.Attempt }

// TaskEnded reports that an attempt is no longer live. An attempt that was not
// sent, or whose start record was refused, ends as not_started.
type TaskEnded struct {
	Attempt structs.Attempt
	Result  records.TaskResult
	// Unrecorded means that the start record is not on the jobs stream, so
	// that the number of the attempt is used again. Its result is not_started.
	Unrecorded bool
}

// WorkerInventory reports which attempts a worker runs, after a time in which
// it could not be reached. Attempts that should not run there are
// stopped. Send it before WorkerUp, so that nothing is placed on a worker whose
// load is unknown.
type WorkerInventory struct {
	Worker  string
	Running []structs.Attempt
	// Allocated holds what the worker has allocated to the attempts. Without an
	// entry the declared size is assumed.
	Allocated map[structs.Attempt]structs.Resources
}

// UsageReport reports the resources that the tasks of a worker use.
type UsageReport struct {
	Worker string
	Tasks  []TaskUsage
}

// TaskUsage is what one attempt uses.
type TaskUsage struct {
	Attempt structs.Attempt
	Used    structs.Resources
}

// ConfigChanged replaces the cluster configuration.
type ConfigChanged struct{ Config structs.ClusterConfig }

// Withhold replaces the set of tasks that are not placed for now. A nil set
// releases all. The owner sends it when its term changes and when it becomes or
// ceases to be limited, that is, barred from starting tasks that a former owner
// may still run.
type Withhold struct{ Tasks map[structs.TaskID]bool }

// Tick advances the time. The owner sends one at least every second.
type Tick struct{}

func (JobAdded) event()        {}
func (JobCancelled) event()    {}
func (JobRemoved) event()      {}
func (WorkerUp) event()        {}
func (WorkerDown) event()      {}
func (WorkerChanged) event()   {}
func (TaskStarted) event()     {}
func (TaskEnded) event()       {}
func (UsageReport) event()     {}
func (WorkerInventory) event() {}
func (ConfigChanged) event()   {}
func (Withhold) event()        {}
func (Tick) event()            {}

// Action is something that the owner of the data centre has to carry out.
type Action interface{ action() }

// Placement is one attempt to start on a worker.
type Placement struct {
	Attempt structs.Attempt
	// Allocated is what the worker allocates to the attempt. It is at least the
	// declared size.
	Allocated structs.Resources
}

// Start starts a batch of attempts. Write their start records, send the start
// requests, then report each attempt as TaskStarted or TaskEnded.
type Start struct{ Placements []Placement }

// Stop stops an attempt. Report its end as TaskEnded.
type Stop struct {
	Attempt structs.Attempt
	Reason  string
}

// Checkpoint saves the work of an attempt and ends it. Report its end as
// TaskEnded with the result stopped.
type Checkpoint struct {
	Attempt structs.Attempt
	Reason  string
}

// Throttle limits the CPU time of an attempt to MilliCPU.
type Throttle struct {
	Attempt  structs.Attempt
	MilliCPU int64
	Reason   string
}

// Explain reports why a job waits, or that it is infeasible (Infeasible). An
// empty reason means that it no longer waits.
type Explain struct {
	Job        string
	Reason     string
	Infeasible bool
}

func (Start) action()      {}
func (Stop) action()       {}
func (Checkpoint) action() {}
func (Throttle) action()   {}
func (Explain) action()    {}

// Inventory is the recovered state: what a new owner knows when it builds its
// scheduler with Recover. Despite its name it is not the inventory of a worker
// (WorkerInventory), but holds those of all workers that have answered.
type Inventory struct {
	Config  structs.ClusterConfig
	Workers []Worker
	// Jobs holds the jobs that are not finished, from the jobs stream.
	Jobs []JobAdded
	// Cancelled holds the jobs among them that are cancelled.
	Cancelled []string
	// Running holds what each answering worker reports, by worker. A worker
	// without an entry has not answered: its live attempts stay live.
	Running map[string][]structs.Attempt
	// Allocated holds what the workers have allocated to the attempts, which
	// may be more than the declared size. Without an entry the declared size is
	// assumed.
	Allocated map[structs.Attempt]structs.Resources
	// Withheld holds the tasks that must not be placed for now.
	Withheld map[structs.TaskID]bool
}
