// Package owner is the decision core of a cell's owner. A cell is all entry VMs
// and workers of a deployment; one elected entry VM, the owner, schedules its
// jobs. The package places tasks on workers, renews the workers' leases,
// tracks every run until it has finished and determines what has to be recorded
// in the store.
//
// The package performs no I/O, starts no goroutines and reads no clock: package
// node carries the actions out. Package election decides which VM is the owner.
//
// Start with Machine: Apply takes an Event with its time, Place runs a
// scheduling cycle, and both return the Actions that the caller has to carry
// out. TakeBatch returns the records to store.
//
// Package cell defines the terms that both packages use, among them open and
// finished runs and finished jobs. In addition:
//
//   - The owner closes a run when it is finished. A run is given up when the
//     owner, or a former owner, closes it although the worker has not listed it
//     as finished. This happens, for example, when the worker's lease has
//     expired. The worker may still list the run as finished later, once it
//     answers again.
//   - A task is done once a run of it had outcome done, or once a member of its
//     gang had; a step is done when all its tasks are, an occurrence when all
//     its steps are. A long-running task is never done: it is started again.
//   - The incarnation of a worker is identified by its start time (Born,
//     workerStartedAt). The field worker.incarnation only counts the
//     incarnations that this owner has seen.
//   - An inventory is a worker's answer to a renewal of its lease.
//   - A serving task is a task that serves users: its step has a TailTarget. A
//     best-effort task uses the CPU time that others leave (BestEffortCPU).
//   - The pace of a run is the percentage of its full speed at which its worker
//     runs it. The owner sets it for best-effort tasks, so that they do not slow
//     down the serving tasks on the same worker.
package owner

import (
	"time"

	"gypsumwinch/internal/cell"
)

// Time is the time of an event.
type Time struct {
	// Mono is a monotonic clock that also advances while the VM is suspended.
	Mono time.Duration
	// Wall is the time of day, which may jump.
	Wall time.Time
}

// Event is an input of the Machine.
type Event interface{ event() }

// JobSubmitted reports a job from topic jobs with its recorded progress.
type JobSubmitted struct {
	Job *cell.Job
	// Progress is nil if nothing is recorded.
	Progress *cell.Progress
}

// JobCancelled reports a cancellation from topic jobs.
type JobCancelled struct{ Job cell.JobID }

// ConfigChanged reports a new version of the configuration.
type ConfigChanged struct{ Config *cell.Config }

// WorkersListed reports changed entries of topic workers.
type WorkersListed struct {
	Workers []cell.Worker
	Removed []string
}

// RenewResult is the answer to a Renew action, or its failure.
type RenewResult struct {
	Worker string
	// SentAt is when the call was sent, on the clock of Time.Mono.
	SentAt    time.Duration
	Inventory cell.Inventory
	Refusal   cell.Refusal
	Err       error
}

// StartResult is the answer to a SendStart action, or its failure.
type StartResult struct {
	Task    cell.TaskID
	Run     int
	Worker  string
	Clock   time.Duration
	Refusal cell.Refusal
	Err     error
}

// StopResult is the answer to a SendStop action, or its failure.
type StopResult struct {
	Task    string
	Run     int
	Worker  string
	Refusal cell.Refusal
	Err     error
}

// PaceResult is the answer to a SendPace action, or its failure.
type PaceResult struct {
	Pace    cell.Pace
	Refusal cell.Refusal
	Err     error
}

// AdviceResult is the answer to a QueryAdvice action, or its failure.
type AdviceResult struct {
	Step         cell.StepID
	AskedWorkers []string
	Answer       cell.AdviceAnswer
	// Age is the time since the advice proxy received the answer.
	Age time.Duration
	Err error
}

// BatchStored reports that the store accepted a batch of TakeBatch.
type BatchStored struct{ Batch int }

// FormerOwnersFenced reports until when a former owner may renew leases. Until it is
// applied, a former owner counts as active for AuthorityTimeout after the start of the
// term.
type FormerOwnersFenced struct {
	// RenewalsEnd is on the clock of Time.Mono.
	RenewalsEnd time.Duration
	// Bounds are the bounds that the former owner recorded; nil leaves earlier ones as
	// they are.
	Bounds []LeaseBound
}

// LeaseStatementStored reports that the store accepted a heartbeat with a statement of
// LeaseStatement.
type LeaseStatementStored struct{ Version int64 }

// HeartbeatStored reports that the store accepted a heartbeat of this owner, or a
// batch of its term.
type HeartbeatStored struct {
	// SentAt is when the call was sent, on the clock of Time.Mono.
	SentAt time.Duration
}

// Tick reports that time has passed.
type Tick struct{}

func (JobSubmitted) event()         {}
func (JobCancelled) event()         {}
func (ConfigChanged) event()        {}
func (WorkersListed) event()        {}
func (RenewResult) event()          {}
func (StartResult) event()          {}
func (StopResult) event()           {}
func (PaceResult) event()           {}
func (AdviceResult) event()         {}
func (BatchStored) event()          {}
func (HeartbeatStored) event()      {}
func (LeaseStatementStored) event() {}
func (FormerOwnersFenced) event()   {}
func (Tick) event()                 {}

// Action is an output of the Machine.
type Action interface{ action() }

// SendStart requests the start of a run from its worker. A StartResult follows.
type SendStart struct{ Start cell.Start }

// SendStop requests the stop of a run from its worker. A StopResult follows.
type SendStop struct{ Stop cell.Stop }

// SendPace requests another speed of a run from its worker. A PaceResult
// follows.
type SendPace struct{ Pace cell.Pace }

// Renew renews a worker's lease and asks for its inventory. A RenewResult
// follows.
type Renew struct{ Renewal cell.Renewal }

// QueryAdvice asks the advice service which workers may run a step. An
// AdviceResult follows.
type QueryAdvice struct {
	Step    cell.StepID
	Workers []string
	// AnswerTime is how long the service needs for the answer.
	AnswerTime time.Duration
	// Urgent queries are sent before others.
	Urgent bool
}

// Publish makes a state that is now recorded visible to callers of this VM.
type Publish struct {
	Job   cell.JobID
	State cell.State
}

// JobFinished reports that a job has a recorded final state and no open run, so
// that its submission can be deleted from the store.
type JobFinished struct{ Job cell.JobID }

// Resign requires the caller to give up the ownership of the cell.
type Resign struct{ Reason string }

// LogDecision asks for a log line about a decision on a job, task or worker.
type LogDecision struct {
	Subject string
	Message string
	Details []any
}

func (SendStart) action()   {}
func (SendStop) action()    {}
func (SendPace) action()    {}
func (Renew) action()       {}
func (QueryAdvice) action() {}
func (Publish) action()     {}
func (JobFinished) action() {}
func (Resign) action()      {}
func (LogDecision) action() {}
