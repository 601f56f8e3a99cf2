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

// Renewed is the result of a Renew action.
type Renewed struct {
	Worker string
	// Sent is when the call was sent.
	Sent      time.Duration
	Inventory cell.Inventory
	Refused   cell.Refusal
	Err       error
}

// Started is the result of a SendStart action.
type Started struct {
	Task    cell.TaskID
	Run     int
	Worker  string
	Clock   time.Duration
	Refused cell.Refusal
	Err     error
}

// Stopped is the result of a SendStop action.
type Stopped struct {
	Task    string
	Run     int
	Worker  string
	Refused cell.Refusal
	Err     error
}

// Paced is the result of a SendPace action.
type Paced struct {
	Pace    cell.Pace
	Refused cell.Refusal
	Err     error
}

// Advised is the result of an Ask action.
type Advised struct {
	Step   cell.StepID
	Asked  []string
	Answer cell.Advised
	// Age is how long ago the answer was received by the VM that asked.
	Age time.Duration
	Err error
}

// Recorded says that a batch is in the store.
type Recorded struct{ Batch int }

// StoreReached says that the store accepted a beat of this ownership.
type StoreReached struct{}

// Tick brings the time alone.
type Tick struct{}

func (JobSubmitted) event()  {}
func (JobCancelled) event()  {}
func (ConfigChanged) event() {}
func (WorkersListed) event() {}
func (Renewed) event()       {}
func (Started) event()       {}
func (Stopped) event()       {}
func (Paced) event()         {}
func (Advised) event()       {}
func (Recorded) event()      {}
func (StoreReached) event()  {}
func (Tick) event()          {}

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

// Ask asks the advice service which workers may run a step.
type Ask struct {
	Step    cell.StepID
	Workers []string
	// Cost is the time that the answer takes.
	Cost time.Duration
	// Urgent questions go before others.
	Urgent bool
}

// Publish makes states that are now recorded known on this VM.
type Publish struct {
	Job   cell.JobID
	State cell.State
}

// Over says that a job has ended, is recorded so and has no open run, so that
// its submission is needed no longer.
type Over struct{ Job cell.JobID }

// Resign ends the ownership.
type Resign struct{ Reason string }

// Decide is a line for the log about a decision.
type Decide struct {
	Subject string
	Message string
	Details []any
}

func (SendStart) action() {}
func (SendStop) action()  {}
func (SendPace) action()  {}
func (Renew) action()     {}
func (Ask) action()       {}
func (Publish) action()   {}
func (Over) action()      {}
func (Resign) action()    {}
func (Decide) action()    {}
