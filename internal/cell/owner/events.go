// Package owner is the decision core of a cell's owner: it places tasks on
// workers, keeps the workers' leases, follows every run to its end and says
// what to record. It does no I/O, starts no goroutine and reads no clock.
// Events go in with their time, typed actions come out.
package owner

import (
	"time"

	"gypsumwinch/internal/cell"
)

// Time is the time of an event.
type Time struct {
	// Mono counts while the machine is suspended, too.
	Mono time.Duration
	// Wall is the time of day, which may jump.
	Wall time.Time
}

// Event is an input of the Machine.
type Event interface{ event() }

// JobSubmitted brings a job from topic jobs, with what is recorded of it.
type JobSubmitted struct {
	Job *cell.Job
	// Progress is nil for a job of which nothing is recorded.
	Progress *cell.Progress
}

// JobCancelled brings a cancelling from topic jobs.
type JobCancelled struct{ Job cell.JobID }

// ConfigChanged brings a version of the configuration.
type ConfigChanged struct{ Config *cell.Config }

// WorkersListed brings changed entries of the workers' topic.
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
	// Age is how long ago the answer was received by the VM that asked.
	Age time.Duration
	Err error
}

// BatchStored reports that the store accepted a batch of TakeBatch.
type BatchStored struct{ Batch int }

// HeartbeatStored reports that the store accepted a heartbeat of this owner.
type HeartbeatStored struct{}

// Tick brings the time alone.
type Tick struct{}

func (JobSubmitted) event()    {}
func (JobCancelled) event()    {}
func (ConfigChanged) event()   {}
func (WorkersListed) event()   {}
func (RenewResult) event()     {}
func (StartResult) event()     {}
func (StopResult) event()      {}
func (PaceResult) event()      {}
func (AdviceResult) event()    {}
func (BatchStored) event()     {}
func (HeartbeatStored) event() {}
func (Tick) event()            {}

// Action is an output of the Machine.
type Action interface{ action() }

// SendStart sends an order to start a run.
type SendStart struct{ Start cell.Start }

// SendStop sends an order to stop a run.
type SendStop struct{ Stop cell.Stop }

// SendPace sends an order to let a run work slower or faster.
type SendPace struct{ Pace cell.Pace }

// Renew renews a worker's lease and asks what runs there.
type Renew struct{ Renewal cell.Renewal }

// QueryAdvice asks the advice service which workers may run a step. An
// AdviceResult follows.
type QueryAdvice struct {
	Step    cell.StepID
	Workers []string
	// AnswerTime is how long the service needs for the answer.
	AnswerTime time.Duration
	// Urgent questions go before others.
	Urgent bool
}

// Publish makes states that are now recorded known on this VM.
type Publish struct {
	Job   cell.JobID
	State cell.State
}

// JobFinished reports that a job has a recorded final state and no open run, so
// that its submission can be deleted from the store.
type JobFinished struct{ Job cell.JobID }

// Resign ends the ownership.
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
