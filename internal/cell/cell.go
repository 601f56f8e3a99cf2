// Package cell defines the types that the owner of a cell, the other entry VMs of
// the cell and the adapter to the users' platform share. They describe queues, jobs
// with their steps, workers, runs of tasks and recorded progress; the interfaces
// Store, WorkerClient and Advisor are what the adapter implements.
//
// A cell is all entry VMs and workers of a deployment; one elected entry VM, the
// owner, schedules its jobs. The package makes no scheduling decision and does no I/O: decisions are in package
// owner, the election of the owner is in package election, calls between entry VMs
// are in package node. Read Job first, then Progress and Store.
//
// Terms:
//
//   - Term: the number of one ownership period; each claim of the cell takes the
//     next one. The same number is the owner's fencing token in requests to workers
//     and the epoch of its appends to TopicProgress: workers and the store refuse an
//     owner once they know a later one.
//   - Incarnation: one process of a worker, from its start to its end, identified by
//     its start time (Born). Runs do not outlive the incarnation on which they
//     started.
//   - Advice service: a service of the platform that decides which workers may run a
//     step of certain queues. Its answer has a ticket for each of these workers: an
//     opaque token that expires and permits starts of the step's tasks there.
//   - Occurrence: one execution of all steps of a job. A repeated job has several,
//     numbered from 0, at fixed intervals; any other job has one.
//   - Gang: a step whose tasks make progress only while all of them run. Its tasks
//     start together, under one run number, and a run of the gang fails as a whole.
//   - Run: one attempt to execute a task on a worker. A later run of a step has a
//     higher number, and tasks that are placed together share one; a task and a run
//     number identify a run. Queue.MaxAttempts limits the failed runs. Packages
//     scheduler and daemon, which do not use cells, call a run an attempt.
//   - A run is open from its planning until the owner closes it, because the run
//     certainly does not exist on its worker any more. It occupies capacity
//     meanwhile. A run is finished when the worker lists it with an outcome.
//   - A task is done once a run has completed it, whatever became of its other runs.
//   - A job is finished when it has a final state; the owner removes it once that
//     state is recorded and no run of it is open.
package cell

import (
	"fmt"
	"maps"
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
	// Validity is how long a ticket may be used after the answer.
	Validity time.Duration `json:"v"`
}

// AnswerTime returns how long an answer about n workers takes.
func (a AdviceTiming) AnswerTime(n int) time.Duration {
	return a.BaseTime + time.Duration(n)*a.TimePerWorker
}

// Queue is a class of jobs with its objective. Submissions are routed to it by host
// and path prefix.
type Queue struct {
	Name       string `json:"n"`
	Host       string `json:"h,omitempty"`
	PathPrefix string `json:"-"`
	// Service is the name of the workers' service that runs the queue's tasks.
	Service string `json:"s"`
	// Priority orders the queues; 0 is the highest priority.
	Priority int `json:"p"`
	// MaxAttempts is the number of failed runs of a task after which its job fails; 0
	// is no limit.
	MaxAttempts int `json:"a"`
	// CriticalPathFactor sets the finish objective of a job: this factor times the
	// run time of the critical path, plus Target.
	CriticalPathFactor float64       `json:"k"`
	Target             time.Duration `json:"t"`
	// Advice is nil if every worker may run the queue's steps.
	Advice *AdviceTiming `json:"adv,omitempty"`
	// Public is true if calls on the queue need no API key.
	Public bool `json:"-"`
}

// Config is one version of the configuration that operators publish.
type Config struct {
	Version int64
	Queues  []Queue
	// Guarded is true for the names of services whose workers refuse a task that does
	// not fit.
	Guarded map[string]bool
	// MaxBody is the size limit of a request body in bytes.
	MaxBody int64
	// Customers is nil if the configuration has no customers. Calls then need no API key, and
	// no quota or share applies.
	Customers *Customers
	// queueByName, queuesByHost and services are built by Index, since a configuration may
	// have thousands of queues.
	queueByName  map[string]*Queue
	queuesByHost map[string][]*Queue
	services     map[string]bool
}

// Index builds the indexes that Queue, QueueByName and NamesService use. Whoever builds a
// Config calls it once Queues and Guarded are complete, before the Config is shared.
func (c *Config) Index() {
	c.queueByName = make(map[string]*Queue, len(c.Queues))
	c.queuesByHost = map[string][]*Queue{}
	c.services = make(map[string]bool, len(c.Guarded))
	for name := range c.Guarded {
		c.services[name] = true
	}
	for i := range c.Queues {
		q := &c.Queues[i]
		if q.Service != "" {
			c.services[q.Service] = true
		}
		c.queueByName[q.Name] = q
		c.queuesByHost[q.Host] = append(c.queuesByHost[q.Host], q)
	}
	if c.Customers != nil {
		c.Customers.index()
	}
}

// Customer returns the customer with a name, or nil if the configuration does not have it. The
// owner calls it to find the quota and the weight of a job's customer.
func (c *Config) Customer(name string) *Customer {
	if c.Customers == nil || name == "" {
		return nil
	}
	return c.Customers.ByName(name)
}

// Queue returns the queue for a caller's HTTP request, or nil: host is the host name
// of the request without a port, path the path of its URL. Of the queues of the
// host, the one with the longest matching path prefix is used. The adapter calls it
// for each request of a caller: submissions, cancellations and queries of a state.
func (c *Config) Queue(host, path string) *Queue {
	var best *Queue
	for _, q := range c.queuesByHost[host] {
		if strings.HasPrefix(path, q.PathPrefix) && (best == nil || len(q.PathPrefix) > len(best.PathPrefix)) {
			best = q
		}
	}
	return best
}

// QueueByName returns the queue with the given name, or nil. The owner calls it to
// find the current settings of a job's queue.
func (c *Config) QueueByName(name string) *Queue {
	return c.queueByName[name]
}

// NamesService reports whether the configuration names a service of workers, or no service at
// all. Package node calls it for the entry of each worker.
func (c *Config) NamesService(name string) bool {
	return len(c.services) == 0 || c.services[name]
}

// AddServices adds the services that the configuration names to a set. Package node calls it.
func (c *Config) AddServices(set map[string]bool) { maps.Copy(set, c.services) }

// Step is a group of equal tasks of a job. Steps may depend on each other.
type Step struct {
	Count int               `json:"n"`
	Need  structs.Resources `json:"r"`
	// Estimate is the caller's estimate of the run time of a task.
	Estimate time.Duration `json:"e,omitempty"`
	// DependsOn has the indexes of the steps whose tasks must all be done first. A job may have
	// half a million of them; MaxStepsPerJob fits into their type.
	DependsOn     []uint16 `json:"d,omitempty"`
	Checkpointing bool     `json:"c,omitempty"`
	// Gang means that the tasks make progress only while all of them run at the same
	// time, under the same run number.
	Gang      bool `json:"g,omitempty"`
	RackLocal bool `json:"rl,omitempty"`
	// Label is a label that the worker must have; empty if any worker will do.
	Label    string `json:"l,omitempty"`
	DataRack string `json:"dr,omitempty"`
	// MaxPerWorker limits how many of the step's tasks run on one worker; 0 is no
	// limit.
	MaxPerWorker int    `json:"s,omitempty"`
	Speculative  bool   `json:"sp,omitempty"`
	LongRunning  bool   `json:"lr,omitempty"`
	Image        string `json:"i,omitempty"`
	// TailTarget is the objective for the tail response time of a task that serves
	// users; 0 for other tasks.
	TailTarget time.Duration `json:"tt,omitempty"`
	// BestEffortCPU marks tasks that use the CPU time that others leave; their CPU
	// does not count against a worker's capacity.
	BestEffortCPU bool `json:"f,omitempty"`
	// MaxUnavailable is how many long-running tasks may be unavailable at once
	// because the scheduler stopped them.
	MaxUnavailable int `json:"mm,omitempty"`
}

// Charge returns what a task of the step counts against a worker's capacity: Need,
// except that the CPU of a best-effort task (BestEffortCPU) counts as 0. The owner
// calls it to count how many tasks fit on a worker, to rate a worker for a task or an
// advice query, to reserve capacity while advice queries are in flight, and to
// allocate the capacity of a run that it plans or recovers.
func (s *Step) Charge() structs.Resources {
	need := s.Need
	if s.BestEffortCPU {
		need.MilliCPU = 0
	}
	return need
}

// Job is a job as its caller submitted it. Queue is a copy from the configuration
// that was in force at that time.
type Job struct {
	ID    JobID `json:"-"`
	Queue Queue `json:"q"`
	// Customer is the name of the customer whose API key submitted the job, or "" if there is
	// none. The key itself is not kept.
	Customer string `json:"u,omitempty"`
	// Spec is passed to each task unchanged.
	Spec  string `json:"s"`
	Steps []Step `json:"p"`
	// Repeat is the number of occurrences of a repeated job; 0 for a job that runs
	// once, as soon as it can.
	Repeat int `json:"k,omitempty"`
	// FirstDueAt is when occurrence 0 is due, Interval the time between occurrences.
	FirstDueAt time.Time     `json:"f,omitzero"`
	Interval   time.Duration `json:"i,omitempty"`
	// AcceptedAt is the time of day, on the clock of the entry VM that accepted the
	// job.
	AcceptedAt time.Time `json:"t"`
}

// Occurrences returns how many times all steps run: Repeat, but at least once. The
// owner calls it to see whether occurrences are still to be released.
func (j *Job) Occurrences() int {
	if j.Repeat > 0 {
		return j.Repeat
	}
	return 1
}

// StepID identifies one step of one occurrence of a job.
type StepID struct {
	Job        JobID
	Occurrence int
	Step       int
}

// String returns the step's name, job.occurrence.step. It is sent to the advice
// service in queries about the step, and names the step in the owner's log. Workers
// receive the names of tasks instead (TaskID.String).
func (s StepID) String() string {
	return string(s.Job) + "." + strconv.Itoa(s.Occurrence) + "." + strconv.Itoa(s.Step)
}

// TaskID identifies one task of a step.
type TaskID struct {
	StepID
	Index int
}

// String returns the name that workers use: job.occurrence.step.index.
func (t TaskID) String() string {
	return t.StepID.String() + "." + strconv.Itoa(t.Index)
}

// ParseTaskID parses a task name in the form that TaskID.String returns. Workers list
// runs by this name. The owner parses it when a worker lists a finished run that the
// owner no longer tracks.
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

// State is the state of a job as callers see it. Its value is the first byte of an
// encoded Progress.
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

// RunOutcome is how a run finished, as the worker reports it.
type RunOutcome string

// Outcomes of a run.
const (
	OutcomeDone   RunOutcome = "done"
	OutcomeFailed RunOutcome = "failed"
	// OutcomeStopped means that the worker carried out a stop request.
	OutcomeStopped RunOutcome = "stopped"
	// OutcomeLeaseExpired means that the lease was not renewed in time.
	OutcomeLeaseExpired RunOutcome = "lapsed"
	// OutcomeGangBroken means that another member of the gang ended early.
	OutcomeGangBroken RunOutcome = "broken"
	// OutcomeGangIncomplete means that the gang was not complete within its timeout.
	OutcomeGangIncomplete RunOutcome = "alone"
)

// ActiveRun is a run that a worker lists as running.
type ActiveRun struct {
	Task       string
	Run        int
	Checkpoint string
	// Percent is how much of the task's work is done, 0 to 100. For a long-running
	// task 100 means that it is working.
	Percent int
	// Metric is the tail response time in ms of a task that serves users, else the
	// milli-CPU in use.
	Metric float64
}

// FinishedRun is a run that a worker lists as finished.
type FinishedRun struct {
	// Number counts the finished runs of one incarnation of a worker, from 1.
	Number     int64
	Task       string
	Run        int
	Outcome    RunOutcome
	Checkpoint string
}

// Inventory is a worker's answer to a renewal of its lease: the runs that it has.
type Inventory struct {
	// Clock is the time on the worker's monotonic clock.
	Clock time.Duration
	// Born identifies the incarnation that answered, like Worker.Born.
	Born         int64
	ActiveRuns   []ActiveRun
	FinishedRuns []FinishedRun
	// MayHaveMoreFinished is true if FinishedRuns may be incomplete: a worker lists a
	// bounded number of finished runs, and the next ones once these are acknowledged. A run
	// that such an inventory does not list may have finished.
	MayHaveMoreFinished bool
}

// Worker is the entry that a worker writes about itself to the store.
type Worker struct {
	ID         string
	Service    string
	Addr       string
	DataCentre string
	// Born identifies the incarnation of the worker: the time at which its process
	// started, in Unix milliseconds.
	Born     int64
	Capacity structs.Resources
	// Labels has the worker's kind and its rack, in this order.
	Labels   []string
	Draining bool
	// Remaining is the minimum time before a draining worker leaves.
	Remaining time.Duration
}

// Rack returns the worker's rack, which is its last label, or "" if it has none. The
// owner compares it with Step.DataRack when it rates a worker for a task.
func (w *Worker) Rack() string {
	if len(w.Labels) == 0 {
		return ""
	}
	return w.Labels[len(w.Labels)-1]
}

// HasLabel reports whether the worker has a label; it is true for the empty label.
// The owner calls it with Step.Label for each worker that it considers for a step.
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

// Refusal is a worker's reason for refusing a request. The worker did not carry the
// request out.
type Refusal string

// Reasons for refused requests.
const (
	// RefusedNone means that the worker did not refuse the request.
	RefusedNone Refusal = ""
	// RefusedStaleToken means that the worker knows a higher fencing token.
	RefusedStaleToken Refusal = "fence"
	// RefusedOldRun means that the worker had a later run of the task, or this one
	// has finished there.
	RefusedOldRun Refusal = "old"
	// RefusedLeaseExpired means that the requested lease has already ended.
	RefusedLeaseExpired Refusal = "late"
	// RefusedCapacity means that the worker has no capacity for the task.
	RefusedCapacity Refusal = "room"
	// RefusedTicket means that the ticket does not permit the start.
	RefusedTicket Refusal = "ticket"
	// RefusedBusy is the answer of an unhealthy worker.
	RefusedBusy Refusal = "busy"
	// RefusedInvalid means that the request was malformed.
	RefusedInvalid Refusal = "invalid"
	// RefusedIncarnation means that another incarnation of the worker answered.
	RefusedIncarnation Refusal = "gone"
)

// Ticket is the advice service's permission to start the tasks of a step on a
// worker: an opaque token that expires.
type Ticket struct {
	Worker string
	Ticket string
}
