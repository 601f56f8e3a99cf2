// Package cell holds the types that a cell's owner, its other entry VMs and the
// adapter to the users' platform share: queues, jobs with steps, workers and
// what became of each task.
package cell

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"gypsumwinch/internal/structs"
)

// JobID is the caller's id of a job.
type JobID string

// AdviceTiming is how long the advice service of a queue needs for an answer, and
// how long the answer may be used. The service decides which workers may run the
// queue's steps.
type AdviceTiming struct {
	// BaseTime is the part of an answer's time that does not depend on the workers.
	BaseTime time.Duration `json:"d"`
	// TimePerWorker is added for each worker that the query names.
	TimePerWorker time.Duration `json:"w"`
	// Validity is how long a ticket may be used.
	Validity time.Duration `json:"v"`
}

// AnswerTime returns how long an answer about n workers takes.
func (a AdviceTiming) AnswerTime(n int) time.Duration {
	return a.BaseTime + time.Duration(n)*a.TimePerWorker
}

// Queue is a route of the configuration: a class of jobs with its target.
type Queue struct {
	Name       string `json:"n"`
	Host       string `json:"h,omitempty"`
	PathPrefix string `json:"-"`
	// Service names the workers that run the queue's tasks.
	Service string `json:"s"`
	// Priority 0 goes first.
	Priority int `json:"p"`
	// MaxAttempts is the number of failed runs after which a task is given up.
	MaxAttempts int `json:"a"`
	// CriticalPathFactor sets the finish objective of a job: this factor times the
	// run time of the critical path, plus Target.
	CriticalPathFactor float64       `json:"k"`
	Target             time.Duration `json:"t"`
	// Advice is nil if any worker may run the queue's steps.
	Advice *AdviceTiming `json:"adv,omitempty"`
}

// Config is one version of the operators' configuration.
type Config struct {
	Version int64
	Queues  []Queue
	// Guarded tells for each service whether its workers refuse what does not fit.
	Guarded map[string]bool
	// MaxBody is the largest request body in bytes.
	MaxBody int64
	// byName is built by Index; a configuration may have thousands of queues.
	byName map[string]*Queue
	byHost map[string][]*Queue
}

// Index prepares a configuration for look-ups. It is called once the queues are
// complete.
func (c *Config) Index() {
	c.byName = make(map[string]*Queue, len(c.Queues))
	c.byHost = map[string][]*Queue{}
	for i := range c.Queues {
		q := &c.Queues[i]
		c.byName[q.Name] = q
		c.byHost[q.Host] = append(c.byHost[q.Host], q)
	}
}

// Queue returns the queue with the longest path prefix for a host and path, or
// nil.
func (c *Config) Queue(host, path string) *Queue {
	var best *Queue
	for _, q := range c.byHost[host] {
		if strings.HasPrefix(path, q.PathPrefix) && (best == nil || len(q.PathPrefix) > len(best.PathPrefix)) {
			best = q
		}
	}
	return best
}

// QueueByName returns the queue with a name, or nil.
func (c *Config) QueueByName(name string) *Queue {
	return c.byName[name]
}

// Step is a group of equal tasks of a job.
type Step struct {
	Count int               `json:"n"`
	Need  structs.Resources `json:"r"`
	// Estimate is the caller's rough run time of a task.
	Estimate time.Duration `json:"e,omitempty"`
	// DependsOn numbers the steps whose tasks must all be done first.
	DependsOn     []int `json:"d,omitempty"`
	Checkpointing bool  `json:"c,omitempty"`
	// Gang tasks work only while all of one run are present.
	Gang      bool `json:"g,omitempty"`
	RackLocal bool `json:"rl,omitempty"`
	// Label is one that the worker must have; empty if any will do.
	Label    string `json:"l,omitempty"`
	DataRack string `json:"dr,omitempty"`
	// MaxPerWorker is the largest number of the step's tasks on one worker; 0 is no limit.
	MaxPerWorker int    `json:"s,omitempty"`
	Speculative  bool   `json:"sp,omitempty"`
	LongRunning  bool   `json:"lr,omitempty"`
	Image        string `json:"i,omitempty"`
	// TailTarget bounds the response times of a task that serves users.
	TailTarget time.Duration `json:"tt,omitempty"`
	// BestEffortCPU marks tasks that use the CPU time that others leave; their CPU
	// does not count against a worker's capacity.
	BestEffortCPU bool `json:"f,omitempty"`
	// MaxUnavailable is how many long-running tasks may be unavailable at once
	// because the scheduler stopped them.
	MaxUnavailable int `json:"mm,omitempty"`
}

// Charge is what a task of the step takes of a worker's capacity.
func (s *Step) Charge() structs.Resources {
	need := s.Need
	if s.BestEffortCPU {
		need.MilliCPU = 0
	}
	return need
}

// Job is a job as its caller submitted it, with the queue as it was then.
type Job struct {
	ID    JobID `json:"-"`
	Queue Queue `json:"q"`
	// Spec is passed to each task as it is.
	Spec  string `json:"s"`
	Steps []Step `json:"p"`
	// Repeat is the number of occurrences; 0 for a job that runs once, at once.
	Repeat int `json:"k,omitempty"`
	// FirstDueAt is when occurrence 0 is due, Interval the time between occurrences.
	FirstDueAt time.Time     `json:"f,omitzero"`
	Interval   time.Duration `json:"i,omitempty"`
	// AcceptedAt is the time of day, on the clock of the entry VM that accepted the
	// job.
	AcceptedAt time.Time `json:"t"`
}

// Occurrences returns how often the steps run.
func (j *Job) Occurrences() int {
	if j.Repeat > 0 {
		return j.Repeat
	}
	return 1
}

// StepID names one step of one occurrence of a job.
type StepID struct {
	Job        JobID
	Occurrence int
	Step       int
}

// String returns the name that workers and the advice service know.
func (s StepID) String() string {
	return string(s.Job) + "." + strconv.Itoa(s.Occurrence) + "." + strconv.Itoa(s.Step)
}

// TaskID names one task.
type TaskID struct {
	StepID
	Index int
}

// String returns the name that workers know.
func (t TaskID) String() string {
	return t.StepID.String() + "." + strconv.Itoa(t.Index)
}

// ParseTaskID parses the name of a task.
func ParseTaskID(s string) (TaskID, error) {
	parts := strings.Split(s, ".")
	if len(parts) != 4 {
		return TaskID{}, fmt.Errorf("task name %q does not have 4 parts", s)
	}
	var n [3]int
	for i, p := range parts[1:] {
		v, err := strconv.Atoi(p)
		if err != nil || v < 0 {
			return TaskID{}, fmt.Errorf("task name %q: part %q is not a number", s, p)
		}
		n[i] = v
	}
	return TaskID{StepID: StepID{Job: JobID(parts[0]), Occurrence: n[0], Step: n[1]}, Index: n[2]}, nil
}

// State is the state of a job as callers see it.
type State byte

// States of a job.
const (
	StateQueued    State = 'q'
	StateRunning   State = 'r'
	StateCompleted State = 'c'
	StateFailed    State = 'f'
	StateCancelled State = 'x'
)

// IsFinal reports whether a job never leaves this state.
func (s State) IsFinal() bool {
	return s == StateCompleted || s == StateFailed || s == StateCancelled
}

// RunOutcome is how a run finished, in the worker's words.
type RunOutcome string

// Outcomes of a run.
const (
	OutcomeDone           RunOutcome = "done"
	OutcomeFailed         RunOutcome = "failed"
	OutcomeStopped        RunOutcome = "stopped"
	OutcomeLeaseExpired   RunOutcome = "lapsed"
	OutcomeGangBroken     RunOutcome = "broken"
	OutcomeGangIncomplete RunOutcome = "alone"
)

// ActiveRun is a run that a worker lists as running.
type ActiveRun struct {
	Task       string
	Run        int
	Checkpoint string
	// Percent is the share of the task's work that is done, 0 to 100; for a
	// lasting task 100 means at work.
	Percent int
	// Metric is the tail response time in ms of a task that serves users, else the
	// milli-CPU in use.
	Metric float64
}

// FinishedRun is a run that a worker lists as finished.
type FinishedRun struct {
	// Number counts the ends of one life of a worker, from 1.
	Number     int64
	Task       string
	Run        int
	Outcome    RunOutcome
	Checkpoint string
}

// Inventory is a worker's answer to a renewal of its lease.
type Inventory struct {
	// Clock is the worker's steady clock.
	Clock        time.Duration
	Born         int64
	ActiveRuns   []ActiveRun
	FinishedRuns []FinishedRun
}

// Worker is a worker as it reports itself in the store.
type Worker struct {
	ID         string
	Service    string
	Addr       string
	DataCentre string
	Born       int64
	Capacity   structs.Resources
	// Labels are its kind and its rack, in this order.
	Labels   []string
	Draining bool
	// Remaining is the least time until a draining worker leaves.
	Remaining time.Duration
}

// Rack returns the worker's rack.
func (w *Worker) Rack() string {
	if len(w.Labels) == 0 {
		return ""
	}
	return w.Labels[len(w.Labels)-1]
}

// HasLabel reports whether the worker has a label; every worker has the empty one.
func (w *Worker) HasLabel(label string) bool {
	if label == "" {
		return true
	}
	for _, l := range w.Labels {
		if l == label {
			return true
		}
	}
	return false
}

// Refusal is the reason of a worker that did not start a run.
type Refusal string

// Reasons of a refused start.
const (
	RefusedNone         Refusal = ""
	RefusedStaleToken   Refusal = "fence"
	RefusedOldRun       Refusal = "old"
	RefusedLeaseExpired Refusal = "late"
	RefusedCapacity     Refusal = "room"
	RefusedTicket       Refusal = "ticket"
	// RefusedBusy is an unhealthy worker's answer; it did nothing.
	RefusedBusy Refusal = "busy"
	// RefusedInvalid is a malformed order.
	RefusedInvalid Refusal = "invalid"
	// RefusedIncarnation means that another incarnation of the worker answered.
	RefusedIncarnation Refusal = "gone"
)

// Ticket permits the tasks of a step to start on a worker.
type Ticket struct {
	Worker string
	Ticket string
}
