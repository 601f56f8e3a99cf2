// Package jobs measures the scheduling policy of the job plane in virtual time
// and compares it with baselines. Tests of the scheduler also use its
// simulation. It starts no processes and uses no network, and times of decisions
// are those of the scheduler alone. Read Cell first, then Run.
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

// Behaviour determines how the attempts of a simulation behave.
type Behaviour struct {
	// RunTime returns how long an attempt runs. Zero means that it runs until
	// it is stopped. Nil stands for the declared run time.
	RunTime func(structs.Attempt) time.Duration
	// Result returns how an attempt ends by itself. Nil stands for success.
	Result func(structs.Attempt) records.TaskResult
	// IgnoresCheckpoint reports whether a checkpoint never ends the attempt. Nil
	// stands for false.
	IgnoresCheckpoint func(structs.Attempt) bool
}

// Cell simulates the workers of a data centre in virtual time. It carries out
// the actions of the scheduler and checks that they keep the invariants. It is
// not safe for concurrent use.
type Cell struct {
	Sched     *scheduler.Scheduler
	Behaviour Behaviour
	// Violations holds a description of each broken invariant.
	Violations []string
	// FirstStart holds the time of the decision to start the first attempt of
	// each task.
	FirstStart map[structs.TaskID]time.Duration
	// Explained holds the last explanation of each job.
	Explained map[string]scheduler.Explain
	// Ends counts the finished attempts by result.
	Ends map[records.TaskResult]int
	// Delivered holds the events about attempts that the scheduler has received.
	// Applying one of them again must change nothing.
	Delivered []scheduler.Event
	// Placed, Stops, Checkpoints and Throttles count actions.
	Placed, Stops, Checkpoints, Throttles int

	config         structs.ClusterConfig
	now            time.Duration
	lastTick       time.Duration
	queue          eventQueue
	seq            int
	jobs           map[string]structs.Job
	workers        map[string]*cellWorker
	livePlacements map[structs.TaskID]scheduler.Placement
	// stream is the state that results from the records that an owner would
	// write.
	stream *jobstate.State
}

// cellWorker is a simulated worker with the resources allocated on it.
type cellWorker struct {
	spec                scheduler.Worker
	capacity, allocated structs.Resources
	isUp                bool
}

// NewCell returns a cell without workers.
func NewCell(config structs.ClusterConfig) *Cell {
	return &Cell{
		Sched:          scheduler.New(config),
		FirstStart:     map[structs.TaskID]time.Duration{},
		Explained:      map[string]scheduler.Explain{},
		Ends:           map[records.TaskResult]int{},
		jobs:           map[string]structs.Job{},
		workers:        map[string]*cellWorker{},
		livePlacements: map[structs.TaskID]scheduler.Placement{},
		stream:         jobstate.New(),
		config:         config,
	}
}

// Now returns the virtual time.
func (c *Cell) Now() time.Duration { return c.now }

// Live returns the live attempt of a task.
func (c *Cell) Live(id structs.TaskID) (structs.Attempt, bool) {
	p, ok := c.livePlacements[id]
	return p.Attempt, ok
}

// sortedPlacements returns the live placements ordered by task, so that runs are
// repeatable.
func (c *Cell) sortedPlacements() []scheduler.Placement {
	return slices.SortedFunc(maps.Values(c.livePlacements), func(a, b scheduler.Placement) int {
		x, y := a.Attempt.Task, b.Attempt.Task
		return cmp.Or(cmp.Compare(x.Job, y.Job), cmp.Compare(x.Index, y.Index))
	})
}

// LiveOn returns the number of live attempts on a worker.
func (c *Cell) LiveOn(worker string) int {
	n := 0
	for _, p := range c.livePlacements {
		if p.Attempt.Worker == worker {
			n++
		}
	}
	return n
}

// LiveCount returns the number of live attempts of a job.
func (c *Cell) LiveCount(job string) int {
	n := 0
	for id := range c.livePlacements {
		if id.Job == job {
			n++
		}
	}
	return n
}

// Used returns the resources allocated on all workers, and the capacity of all
// workers.
func (c *Cell) Used() (used, capacity structs.Resources) {
	for _, w := range c.workers {
		used = used.Add(w.allocated)
		capacity = capacity.Add(w.capacity)
	}
	return used, capacity
}

// free returns the free capacity of each worker.
func (c *Cell) free() []structs.Resources {
	var out []structs.Resources
	for _, w := range c.workers {
		out = append(out, w.capacity.Sub(w.allocated))
	}
	return out
}

// AddWorker adds a worker, changes it, or brings it back after LoseWorker. A
// worker that comes up first reports the attempts that it still runs.
func (c *Cell) AddWorker(w scheduler.Worker) {
	known := c.workers[w.ID]
	if known == nil {
		known = &cellWorker{}
		c.workers[w.ID] = known
	}
	known.spec = w
	known.capacity = w.Capacity
	if !known.isUp {
		c.reportInventory(w.ID)
	}
	known.isUp = true
	c.Apply(scheduler.WorkerUp{Worker: w})
}

// AddWorkers adds n workers of equal capacity, perRack in each rack.
func (c *Cell) AddWorkers(prefix string, n, perRack int, capacity structs.Resources) {
	for i := range n {
		c.AddWorker(scheduler.Worker{
			ID: fmt.Sprintf("%s%04d", prefix, i), Rack: fmt.Sprintf("%s-rack%03d", prefix, i/perRack), Capacity: capacity,
		})
	}
}

// LoseWorker takes a worker down. Its attempts are reported as lost after the
// wait.
func (c *Cell) LoseWorker(id string, wait time.Duration) {
	c.workers[id].isUp = false
	for _, p := range c.sortedPlacements() {
		if p.Attempt.Worker == id {
			c.schedule(wait, scheduler.TaskEnded{Attempt: p.Attempt, Result: records.TaskLost})
		}
	}
	c.Apply(scheduler.WorkerDown{Worker: id})
}

// Submit adds a job. A repeated submission of a job that has not finished
// reaches the scheduler, too.
func (c *Cell) Submit(job structs.Job) {
	if known, again := c.jobs[job.ID]; again {
		job = known
	}
	job.AcceptedAt = epoch.Add(c.now)
	c.jobs[job.ID] = job
	effect := c.applyRecord(records.Record{JobAccepted: &records.JobAccepted{Job: job}})
	status, _ := c.stream.Status(job.ID)
	if effect.Kind == jobstate.JobAccepted || effect.Kind == jobstate.Ignored && !status.Finished {
		c.Apply(scheduler.JobAdded{Job: job})
	}
}

// ReportUsage gives the scheduler a usage report of each worker, with the result
// of use for each live attempt.
func (c *Cell) ReportUsage(use func(scheduler.Placement) structs.Resources) {
	reports := map[string][]scheduler.TaskUsage{}
	for _, p := range c.sortedPlacements() {
		w := p.Attempt.Worker
		reports[w] = append(reports[w], scheduler.TaskUsage{Attempt: p.Attempt, Used: use(p)})
	}
	for _, w := range slices.Sorted(maps.Keys(reports)) {
		c.Apply(scheduler.UsageReport{Worker: w, Tasks: reports[w]})
	}
}

// Apply gives an event to the scheduler and carries out its actions. It sends
// Ticks until the scheduler has no ready work.
func (c *Cell) Apply(ev scheduler.Event) {
	switch ev := ev.(type) {
	case scheduler.JobCancelled:
		c.applyRecord(records.Record{JobCancelled: &records.JobCancelled{Job: ev.Job}})
	case scheduler.ConfigChanged:
		c.config = ev.Config
	}
	c.perform(c.Sched.Apply(c.now, ev))
	for c.Sched.HasReadyWork() {
		c.perform(c.Sched.Apply(c.now, scheduler.Tick{}))
	}
}

// Advance lets virtual time pass, delivers the events that fall due and sends a
// Tick every second.
func (c *Cell) Advance(d time.Duration) {
	end := c.now + d
	for {
		next := c.lastTick + time.Second
		if len(c.queue) > 0 && c.queue[0].at < next {
			next = c.queue[0].at
		}
		if next > end {
			break
		}
		c.now = next
		if next == c.lastTick+time.Second {
			c.lastTick = next
			c.Apply(scheduler.Tick{})
			continue
		}
		c.deliver(heap.Pop(&c.queue).(event))
	}
	c.now = end
}

// deliver gives a due event to the scheduler. The end of an attempt that is no
// longer live is dropped; otherwise its resources are freed first. Advance calls
// it.
func (c *Cell) deliver(e event) {
	if ended, ok := e.payload.(scheduler.TaskEnded); ok {
		p, live := c.livePlacements[ended.Attempt.Task]
		if !live || p.Attempt != ended.Attempt {
			return
		}
		c.Ends[ended.Result]++
		delete(c.livePlacements, ended.Attempt.Task)
		w := c.workers[ended.Attempt.Worker]
		w.allocated = w.allocated.Sub(p.Allocated)
		c.recordEnd(ended)
	}
	c.Delivered = append(c.Delivered, e.payload)
	c.Apply(e.payload)
}

// schedule queues an event for delivery after d.
func (c *Cell) schedule(d time.Duration, ev scheduler.Event) {
	c.seq++
	heap.Push(&c.queue, event{c.now + d, c.seq, ev})
}

// perform carries out the actions of the scheduler on the simulated workers.
func (c *Cell) perform(actions []scheduler.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case scheduler.Start:
			c.start(a.Placements)
		case scheduler.Stop:
			c.Stops++
			c.scheduleStop(a.Attempt, stopDelay)
		case scheduler.Checkpoint:
			c.Checkpoints++
			if ignores := c.Behaviour.IgnoresCheckpoint; ignores == nil || !ignores(a.Attempt) {
				c.scheduleStop(a.Attempt, checkpointDelay)
			}
		case scheduler.Throttle:
			c.Throttles++
		case scheduler.Explain:
			c.Explained[a.Job] = a
		}
	}
}

// scheduleStop schedules the end of an attempt that the scheduler stops or
// checkpoints. Workers that are down report nothing.
func (c *Cell) scheduleStop(a structs.Attempt, delay time.Duration) {
	if p, live := c.livePlacements[a.Task]; !live || p.Attempt != a {
		c.addViolation("the scheduler stops or checkpoints %v, which is not live", a)
	}
	if w := c.workers[a.Worker]; w != nil && w.isUp {
		c.schedule(delay, scheduler.TaskEnded{Attempt: a, Result: records.TaskStopped})
	}
}

// start starts the placements of one Start action and checks that no task runs
// twice, that each worker is up and that none exceeds its capacity.
func (c *Cell) start(placements []scheduler.Placement) {
	for _, p := range placements {
		c.Placed++
		id := p.Attempt.Task
		if other, live := c.livePlacements[id]; live {
			c.addViolation("%v starts on %s while attempt %d runs on %s", id, p.Attempt.Worker, other.Attempt.Number, other.Attempt.Worker)
		}
		w := c.workers[p.Attempt.Worker]
		if w == nil || !w.isUp {
			c.addViolation("%v starts on worker %s, which is not up", id, p.Attempt.Worker)
			continue
		}
		c.recordStart(p.Attempt)
		w.allocated = w.allocated.Add(p.Allocated)
		if !w.allocated.Fits(w.capacity) {
			c.addViolation("worker %s holds %v of %v", p.Attempt.Worker, w.allocated, w.capacity)
		}
		c.livePlacements[id] = p
		if _, again := c.FirstStart[id]; !again {
			c.FirstStart[id] = c.now
		}
		c.schedule(startDelay, scheduler.TaskStarted{Attempt: p.Attempt})
		c.scheduleCompletion(p.Attempt)
	}
	c.checkGangs(placements)
}

// scheduleCompletion schedules the event that ends an attempt by itself.
// Services, and attempts with a run time of zero, get none. It is called when an
// attempt starts.
func (c *Cell) scheduleCompletion(a structs.Attempt) {
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
	c.schedule(startDelay+run, scheduler.TaskEnded{Attempt: a, Result: result})
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
			c.addViolation("%d of %d members of gang %s start", n, job.Groups[g].Count, job.ID)
		}
	}
}

func (c *Cell) addViolation(format string, args ...any) {
	c.Violations = append(c.Violations, fmt.Sprintf("%v: ", c.now)+fmt.Sprintf(format, args...))
}

// groupIndex returns the index of the task group that holds the task with this
// index in the job, or -1 if there is none.
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

// event is an event that the scheduler receives at a later time; seq orders
// events that fall due at the same time.
type event struct {
	at      time.Duration
	seq     int
	payload scheduler.Event
}

// eventQueue is a heap of events ordered by time, then by the order of their
// addition.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }

// Less orders the events for container/heap.
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
