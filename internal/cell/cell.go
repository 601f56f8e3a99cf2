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

// Advice describes the service that decides which workers may run a queue's
// steps.
type Advice struct {
	// Decision is the time of one answer, before the time for each worker.
	Decision time.Duration `json:"d"`
	// PerWorker is the time that each named worker adds.
	PerWorker time.Duration `json:"w"`
	// Validity is how long a ticket may be used.
	Validity time.Duration `json:"v"`
}

// Cost returns the time of one answer about n workers.
func (a Advice) Cost(n int) time.Duration {
	return a.Decision + time.Duration(n)*a.PerWorker
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
	// Slack times the longest chain of work, plus Target, is the objective.
	Slack  float64       `json:"k"`
	Target time.Duration `json:"t"`
	// Advice is nil if any worker may run the queue's steps.
	Advice *Advice `json:"adv,omitempty"`
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

// Named returns the queue with a name, or nil.
func (c *Config) Named(name string) *Queue {
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
	// Spread is the largest number of the step's tasks on one worker; 0 is no limit.
	Spread      int    `json:"s,omitempty"`
	Speculative bool   `json:"sp,omitempty"`
	LongRunning bool   `json:"lr,omitempty"`
	Image       string `json:"i,omitempty"`
	// TailTarget bounds the response times of a task that serves users.
	TailTarget time.Duration `json:"tt,omitempty"`
	// Fills marks tasks that use what others leave; their CPU is not counted.
	Fills bool `json:"f,omitempty"`
	// MayMiss is how many lasting tasks may be unavailable by our own action.
	MayMiss int `json:"mm,omitempty"`
}

// Charge is what a task of the step takes of a worker's capacity.
func (s *Step) Charge() structs.Resources {
	need := s.Need
	if s.Fills {
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
	// First is when occurrence 0 is due, Every the time between occurrences.
	First time.Time     `json:"f,omitzero"`
	Every time.Duration `json:"i,omitempty"`
	// Accepted is the time of day at the entry VM that accepted the job.
	Accepted time.Time `json:"t"`
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

// Final reports whether a job in this state stays in it.
func (s State) Final() bool {
	return s == StateCompleted || s == StateFailed || s == StateCancelled
}

// Ending says how a run ended.
type Ending string

// Endings of a run.
const (
	EndDone    Ending = "done"
	EndFailed  Ending = "failed"
	EndStopped Ending = "stopped"
	EndLapsed  Ending = "lapsed"
	EndBroken  Ending = "broken"
	EndAlone   Ending = "alone"
)

// Running is one run that a worker lists.
type Running struct {
	Task       string
	Run        int
	Checkpoint string
	// Percent is the share of the task's work that is done, 0 to 100; for a
	// lasting task 100 means at work.
	Percent int
	// Figure is the tail in ms of a serving task, else the milli-CPU in use.
	Figure float64
}

// Ended is one end that a worker lists.
type Ended struct {
	// Number counts the ends of one life of a worker, from 1.
	Number     int64
	Task       string
	Run        int
	How        Ending
	Checkpoint string
}

// Inventory is a worker's answer to a renewal of its lease.
type Inventory struct {
	// Clock is the worker's steady clock.
	Clock   time.Duration
	Born    int64
	Running []Running
	Ended   []Ended
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
	RefusedNone   Refusal = ""
	RefusedFence  Refusal = "fence"
	RefusedOld    Refusal = "old"
	RefusedLate   Refusal = "late"
	RefusedRoom   Refusal = "room"
	RefusedTicket Refusal = "ticket"
	// RefusedBusy is an unhealthy worker's answer; it did nothing.
	RefusedBusy Refusal = "busy"
	// RefusedInvalid is a malformed order.
	RefusedInvalid Refusal = "invalid"
	// RefusedGone means that another life of the worker answered.
	RefusedGone Refusal = "gone"
)

// Ticket permits the tasks of a step to start on a worker.
type Ticket struct {
	Worker string
	Ticket string
}
