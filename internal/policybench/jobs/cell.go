// Package jobs measures the scheduling policy of the job plane in virtual time
// and compares it with baselines.
package jobs

import (
	"cmp"
	"container/heap"
	"fmt"
	"maps"
	"slices"
	"time"

	"gypsumwinch/internal/jobstate"
	"gypsumwinch/internal/records"
	"gypsumwinch/internal/scheduler"
	"gypsumwinch/internal/structs"
)

// Delays of the simulated workers.
const (
	startDelay      = 50 * time.Millisecond
	stopDelay       = 200 * time.Millisecond
	checkpointDelay = time.Second
)

// Behaviour decides how the attempts of a simulation behave.
type Behaviour struct {
	// RunTime returns how long an attempt runs. Zero means that it runs until
	// it is stopped. Nil stands for the declared run time.
	RunTime func(structs.Attempt) time.Duration
	// Result returns how an attempt ends by itself. Nil stands for success.
	Result func(structs.Attempt) records.TaskResult
	// IgnoresCheckpoint tells that a checkpoint of the attempt never ends it.
	IgnoresCheckpoint func(structs.Attempt) bool
}

// Cell simulates the workers of a data centre in virtual time. It does what the
// scheduler's actions say and checks that they keep the invariants.
type Cell struct {
	Sched     *scheduler.Scheduler
	Behaviour Behaviour
	// Violations holds the broken invariants.
	Violations []string
	// FirstStart is when the first attempt of a task was decided.
	FirstStart map[structs.TaskID]time.Duration
	// Explained holds the last explanation by job.
	Explained map[string]scheduler.Explain
	// Ends counts the ends of attempts by result.
	Ends map[records.TaskResult]int
	// Delivered holds the events about attempts that the scheduler was given.
	// Giving it one again must change nothing.
	Delivered []scheduler.Event
	// Placed, Stops, Checkpoints and Throttles count actions.
	Placed, Stops, Checkpoints, Throttles int

	config  structs.ClusterConfig
	now     time.Duration
	ticked  time.Duration
	queue   eventQueue
	seq     int
	jobs    map[string]structs.Job
	workers map[string]*cellWorker
	live    map[structs.TaskID]scheduler.Placement
	// stream is the fold of the records that an owner would write.
	stream *jobstate.State
}

type cellWorker struct {
	spec           scheduler.Worker
	capacity, used structs.Resources
	up             bool
}

// NewCell returns a cell without workers.
func NewCell(config structs.ClusterConfig) *Cell {
	return &Cell{
		Sched:      scheduler.New(config),
		FirstStart: map[structs.TaskID]time.Duration{},
		Explained:  map[string]scheduler.Explain{},
		Ends:       map[records.TaskResult]int{},
		jobs:       map[string]structs.Job{},
		workers:    map[string]*cellWorker{},
		live:       map[structs.TaskID]scheduler.Placement{},
		stream:     jobstate.New(),
		config:     config,
	}
}

// Now returns the virtual time.
func (c *Cell) Now() time.Duration { return c.now }

// Live returns the live attempt of a task.
func (c *Cell) Live(id structs.TaskID) (structs.Attempt, bool) {
	p, ok := c.live[id]
	return p.Attempt, ok
}

// sorted returns the live placements by task, so that a run can be repeated.
func (c *Cell) sorted() []scheduler.Placement {
	return slices.SortedFunc(maps.Values(c.live), func(a, b scheduler.Placement) int {
		x, y := a.Attempt.Task, b.Attempt.Task
		return cmp.Or(cmp.Compare(x.Job, y.Job), cmp.Compare(x.Index, y.Index))
	})
}

// LiveOn returns the number of live attempts on a worker.
func (c *Cell) LiveOn(worker string) int {
	n := 0
	for _, p := range c.live {
		if p.Attempt.Worker == worker {
			n++
		}
	}
	return n
}

// LiveCount returns the number of live attempts of a job.
func (c *Cell) LiveCount(job string) int {
	n := 0
	for id := range c.live {
		if id.Job == job {
			n++
		}
	}
	return n
}

// Used returns what the attempts on all workers hold, and their capacity.
func (c *Cell) Used() (used, capacity structs.Resources) {
	for _, w := range c.workers {
		used = used.Add(w.used)
		capacity = capacity.Add(w.capacity)
	}
	return used, capacity
}

// free returns the free capacity of each worker.
func (c *Cell) free() []structs.Resources {
	var out []structs.Resources
	for _, w := range c.workers {
		out = append(out, w.capacity.Sub(w.used))
	}
	return out
}

// AddWorker adds a worker or changes it.
func (c *Cell) AddWorker(w scheduler.Worker) {
	known := c.workers[w.ID]
	if known == nil {
		known = &cellWorker{}
		c.workers[w.ID] = known
	}
	known.spec = w
	known.capacity = w.Capacity
	if !known.up {
		c.inventory(w.ID)
	}
	known.up = true
	c.Apply(scheduler.WorkerUp{Worker: w})
}

// AddWorkers adds n equal workers in racks of perRack.
func (c *Cell) AddWorkers(prefix string, n, perRack int, capacity structs.Resources) {
	for i := range n {
		c.AddWorker(scheduler.Worker{
			ID: fmt.Sprintf("%s%04d", prefix, i), Rack: fmt.Sprintf("%s-rack%03d", prefix, i/perRack), Capacity: capacity,
		})
	}
}

// LoseWorker ends a worker. Its attempts are reported as lost after the wait.
func (c *Cell) LoseWorker(id string, wait time.Duration) {
	c.workers[id].up = false
	for _, p := range c.sorted() {
		if p.Attempt.Worker == id {
			c.after(wait, scheduler.TaskEnded{Attempt: p.Attempt, Result: records.TaskLost})
		}
	}
	c.Apply(scheduler.WorkerDown{Worker: id})
}

// Submit adds a job. A repeated submission of a job that has not ended reaches
// the scheduler too.
func (c *Cell) Submit(job structs.Job) {
	if known, again := c.jobs[job.ID]; again {
		job = known
	}
	job.AcceptedAt = epoch.Add(c.now)
	c.jobs[job.ID] = job
	effect := c.record(records.Record{JobAccepted: &records.JobAccepted{Job: job}})
	status, _ := c.stream.Status(job.ID)
	if effect.Kind == jobstate.JobAccepted || effect.Kind == jobstate.Ignored && !status.Finished {
		c.Apply(scheduler.JobAdded{Job: job})
	}
}

// ReportUsage reports for each live attempt what use returns.
func (c *Cell) ReportUsage(use func(scheduler.Placement) structs.Resources) {
	reports := map[string][]scheduler.TaskUsage{}
	for _, p := range c.sorted() {
		w := p.Attempt.Worker
		reports[w] = append(reports[w], scheduler.TaskUsage{Attempt: p.Attempt, Used: use(p)})
	}
	for _, w := range slices.Sorted(maps.Keys(reports)) {
		c.Apply(scheduler.UsageReport{Worker: w, Tasks: reports[w]})
	}
}

// Apply gives an event to the scheduler and carries out the actions.
func (c *Cell) Apply(ev scheduler.Event) {
	switch ev := ev.(type) {
	case scheduler.JobCancelled:
		c.record(records.Record{JobCancelled: &records.JobCancelled{Job: ev.Job}})
	case scheduler.ConfigChanged:
		c.config = ev.Config
	}
	c.perform(c.Sched.Apply(c.now, ev))
	for c.Sched.HasReadyWork() {
		c.perform(c.Sched.Apply(c.now, scheduler.Tick{}))
	}
}

// Advance lets virtual time pass, with a Tick every second.
func (c *Cell) Advance(d time.Duration) {
	end := c.now + d
	for {
		next := c.ticked + time.Second
		if len(c.queue) > 0 && c.queue[0].at < next {
			next = c.queue[0].at
		}
		if next > end {
			break
		}
		c.now = next
		if next == c.ticked+time.Second {
			c.ticked = next
			c.Apply(scheduler.Tick{})
			continue
		}
		c.deliver(heap.Pop(&c.queue).(event))
	}
	c.now = end
}

func (c *Cell) deliver(e event) {
	if ended, ok := e.ev.(scheduler.TaskEnded); ok {
		p, live := c.live[ended.Attempt.Task]
		if !live || p.Attempt != ended.Attempt {
			return
		}
		c.Ends[ended.Result]++
		delete(c.live, ended.Attempt.Task)
		w := c.workers[ended.Attempt.Worker]
		w.used = w.used.Sub(p.Allocated)
		c.recordEnd(ended)
	}
	c.Delivered = append(c.Delivered, e.ev)
	c.Apply(e.ev)
}

func (c *Cell) after(d time.Duration, ev scheduler.Event) {
	c.seq++
	heap.Push(&c.queue, event{c.now + d, c.seq, ev})
}

func (c *Cell) perform(actions []scheduler.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case scheduler.Start:
			c.start(a.Placements)
		case scheduler.Stop:
			c.Stops++
			c.end(a.Attempt, stopDelay)
		case scheduler.Checkpoint:
			c.Checkpoints++
			if ignores := c.Behaviour.IgnoresCheckpoint; ignores == nil || !ignores(a.Attempt) {
				c.end(a.Attempt, checkpointDelay)
			}
		case scheduler.Throttle:
			c.Throttles++
		case scheduler.Explain:
			c.Explained[a.Job] = a
		}
	}
}

func (c *Cell) end(a structs.Attempt, delay time.Duration) {
	if p, live := c.live[a.Task]; !live || p.Attempt != a {
		c.violate("%v is told to end and is not live", a)
	}
	if w := c.workers[a.Worker]; w != nil && w.up {
		c.after(delay, scheduler.TaskEnded{Attempt: a, Result: records.TaskStopped})
	}
}

func (c *Cell) start(placements []scheduler.Placement) {
	for _, p := range placements {
		c.Placed++
		id := p.Attempt.Task
		if other, live := c.live[id]; live {
			c.violate("%v starts on %s while attempt %d runs on %s", id, p.Attempt.Worker, other.Attempt.Number, other.Attempt.Worker)
		}
		w := c.workers[p.Attempt.Worker]
		if w == nil || !w.up {
			c.violate("%v starts on worker %s, which is not up", id, p.Attempt.Worker)
			continue
		}
		c.recordStart(p.Attempt)
		w.used = w.used.Add(p.Allocated)
		if !w.used.Fits(w.capacity) {
			c.violate("worker %s holds %v of %v", p.Attempt.Worker, w.used, w.capacity)
		}
		c.live[id] = p
		if _, again := c.FirstStart[id]; !again {
			c.FirstStart[id] = c.now
		}
		c.after(startDelay, scheduler.TaskStarted{Attempt: p.Attempt})
		c.planEnd(p.Attempt)
	}
	c.checkGangs(placements)
}

func (c *Cell) planEnd(a structs.Attempt) {
	group := groupOf(c.jobs[a.Task.Job], a.Task.Index)
	run := group.RunTime
	if c.Behaviour.RunTime != nil {
		run = c.Behaviour.RunTime(a)
	}
	if run == 0 || group.Service {
		return
	}
	result := records.TaskSucceeded
	if c.Behaviour.Result != nil {
		result = c.Behaviour.Result(a)
	}
	c.after(startDelay+run, scheduler.TaskEnded{Attempt: a, Result: result})
}

// checkGangs checks that the members of a gang that start for the first time
// start together.
func (c *Cell) checkGangs(placements []scheduler.Placement) {
	count := map[string]int{}
	for _, p := range placements {
		if p.Attempt.Number == 1 {
			count[fmt.Sprint(p.Attempt.Task.Job, "/", groupIndex(c.jobs[p.Attempt.Task.Job], p.Attempt.Task.Index))]++
		}
	}
	for _, p := range placements {
		job := c.jobs[p.Attempt.Task.Job]
		g := groupIndex(job, p.Attempt.Task.Index)
		n := count[fmt.Sprint(job.ID, "/", g)]
		if p.Attempt.Number == 1 && job.Groups[g].Gang && n != job.Groups[g].Count {
			c.violate("%d of %d members of gang %s start", n, job.Groups[g].Count, job.ID)
		}
	}
}

func (c *Cell) violate(format string, args ...any) {
	c.Violations = append(c.Violations, fmt.Sprintf("%v: ", c.now)+fmt.Sprintf(format, args...))
}

func groupIndex(job structs.Job, index int) int {
	for g := range job.Groups {
		if index < job.Groups[g].Count {
			return g
		}
		index -= job.Groups[g].Count
	}
	return -1
}

func groupOf(job structs.Job, index int) *structs.TaskGroup {
	return &job.Groups[groupIndex(job, index)]
}

type event struct {
	at  time.Duration
	seq int
	ev  scheduler.Event
}

// eventQueue is a heap of events by time, then by the order of their addition.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].seq < q[j].seq
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push adds an event, for container/heap.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop removes the last event, for container/heap.
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}
