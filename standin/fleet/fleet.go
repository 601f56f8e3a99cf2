// Package fleet is a stand-in for the workers and the advice service of the users'
// platform, with HTTP handlers that speak its protocol. All workers of a fleet share one
// record of the jobs, so that it sees each rule that is broken: two runs of one task, a
// run after an end that was acknowledged, a worker over its capacity, and so on. Read
// Fleet first, then rules.go.
package fleet

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Times of the workers.
const (
	// tickInterval is how often ends of runs and of leases are looked for.
	tickInterval = 10 * time.Millisecond
	// stopTime is how long a worker takes to stop a run.
	stopTime = 80 * time.Millisecond
	// StopTimeout is the longest time that a worker may take to stop a run.
	StopTimeout = 200 * time.Millisecond
	// MaxLease is the longest lease that a worker grants.
	MaxLease = 6 * time.Second
	// GangTimeout is how long a run of a gang waits for the others.
	GangTimeout = 3 * time.Second
	// TicketValidity is how long a ticket may be used.
	TicketValidity = 1500 * time.Millisecond
)

// Step is one step of a job.
type Step struct {
	Count        int
	MilliCPU     int64
	MemoryMB     int64
	Duration     time.Duration
	DependsOn    []int
	Gang         bool
	FailureRate  float64
	NeedsTickets bool
}

// Job is what the fleet must know of a job to run and judge its tasks.
type Job struct {
	ID string
	// Spec is what each start must carry.
	Spec        string
	Steps       []Step
	MaxAttempts int
}

// Fleet is a set of workers. It is safe for concurrent use.
type Fleet struct {
	mu         sync.Mutex
	rng        *rand.Rand
	workers    map[string]*Worker
	jobs       map[string]*jobRecord
	tasks      map[string]*taskRecord
	gangs      map[gangKey]*gang
	tickets    map[string]time.Time
	violations []string
	starts     int
	changed    chan struct{}
	startedAt  time.Time
}

// New returns a fleet without workers.
func New(seed uint64) *Fleet {
	return &Fleet{
		rng:       rand.New(rand.NewPCG(seed, 1)),
		workers:   map[string]*Worker{},
		jobs:      map[string]*jobRecord{},
		tasks:     map[string]*taskRecord{},
		gangs:     map[gangKey]*gang{},
		tickets:   map[string]time.Time{},
		changed:   make(chan struct{}),
		startedAt: time.Now(),
	}
}

// Worker is one worker. Its fields are guarded by the mutex of the fleet.
type Worker struct {
	fleet *Fleet
	// ID names the worker, also after a restart.
	ID        string
	milliCPU  int64
	memoryMB  int64
	born      int64
	startedAt time.Time
	token     int64
	leaseEnd  time.Duration
	runs      map[string]*run
	// highestRun is the highest run of a task that was stopped or has ended here.
	highestRun map[string]int
	finished   []*finishedRun
	lastNumber int64
	// orderFault is the fault of the orders that arrive.
	orderFault OrderFault
	failsAll   bool
}

// OrderFault is what happens to the orders (starts, stops and renewals) of a worker.
type OrderFault struct {
	// LoseShare is the share of the orders that are carried out and not answered.
	LoseShare float64
	// LateShare is the share that is not answered and carried out only after LateBy.
	LateShare float64
	LateBy    time.Duration
}

// run is one run of a task on a worker.
type run struct {
	task      string
	number    int
	worker    *Worker
	step      *Step
	startedAt time.Time
	// endedAt is when the run ended; zero while it is active.
	endedAt time.Time
	// isLate is true if the worker carried the order to start out late.
	isLate bool
	// workEndsAt is when the task's work is done; zero while a gang waits.
	workEndsAt time.Time
	fails      bool
	// stopsAt is when a stop takes effect; zero if none was ordered.
	stopsAt time.Time
}

// finishedRun is an end that a worker lists until it is acknowledged.
type finishedRun struct {
	number  int64
	task    string
	run     int
	outcome string
	end     *taskEnd
}

// gangKey identifies one run of a gang.
type gangKey struct {
	step string
	run  int
}

// gang is one run of a gang, with its members by task.
type gang struct {
	members    map[string]*run
	size       int
	isComplete bool
}

// AddWorker adds a worker of a size and returns it.
func (f *Fleet) AddWorker(id string, milliCPU, memoryMB int64) *Worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := &Worker{fleet: f, ID: id, milliCPU: milliCPU, memoryMB: memoryMB}
	w.reset(time.Now())
	f.workers[id] = w
	return w
}

// reset makes the worker a new process that knows nothing of before.
func (w *Worker) reset(now time.Time) {
	w.born = max(now.UnixMilli(), w.born+1)
	w.startedAt = now
	w.token, w.leaseEnd, w.lastNumber = 0, 0, 0
	w.runs = map[string]*run{}
	w.highestRun = map[string]int{}
	w.finished = nil
}

// Restart ends the worker's process with all its runs and starts another one under the
// same ID.
func (w *Worker) Restart() {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	for _, r := range w.runs {
		w.fleet.forget(r)
	}
	w.reset(time.Now())
}

// SetOrderFault sets the fault of the orders that arrive from now on.
func (w *Worker) SetOrderFault(fault OrderFault) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	w.orderFault = fault
}

// SetFailsAll sets whether each run that starts here from now on fails.
func (w *Worker) SetFailsAll(fails bool) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	w.failsAll = fails
}

// Born returns the start time of the worker's process in Unix milliseconds.
func (w *Worker) Born() int64 {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	return w.born
}

// Run looks for ends until stop is closed.
func (f *Fleet) Run(stop <-chan struct{}) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case now := <-ticker.C:
			f.tick(now)
		}
	}
}

// tick ends what is due.
func (f *Fleet) tick(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, w := range f.workers {
		w.expireLease(now)
		for _, r := range w.runs {
			if outcome := r.dueOutcome(now); outcome != "" {
				f.end(r, outcome)
			}
		}
	}
}

// clock returns the reading of the worker's clock.
func (w *Worker) clock(now time.Time) time.Duration { return now.Sub(w.startedAt) }

// expireLease ends all runs if the lease has expired. Ends that are not acknowledged yet
// then no longer count as taken note of, also if nothing ran any more: an owner that did not
// hear of them gives the runs up when the lease has expired.
func (w *Worker) expireLease(now time.Time) {
	if w.clock(now) <= w.leaseEnd {
		return
	}
	for _, e := range w.finished {
		e.end.leaseExpired = true
	}
	for _, r := range w.runs {
		w.fleet.end(r, "lapsed")
	}
}

// dueOutcome returns the outcome of a run that has ended by now, else "".
func (r *run) dueOutcome(now time.Time) string {
	switch {
	case r.worker.runs[r.task] != r:
		return ""
	case !r.stopsAt.IsZero() && !now.Before(r.stopsAt):
		return "stopped"
	case r.workEndsAt.IsZero():
		if now.Sub(r.startedAt) > GangTimeout {
			return "alone"
		}
		return ""
	case now.Before(r.workEndsAt):
		return ""
	case r.fails:
		return "failed"
	default:
		return "done"
	}
}

// percent returns the progress of a run.
func (r *run) percent(now time.Time) int {
	if r.workEndsAt.IsZero() {
		return 0
	}
	left := float64(r.workEndsAt.Sub(now)) / float64(r.step.Duration)
	return int(100 * max(0, min(1, 1-left)))
}

// end ends a run and lists it; the other runs of its gang end with it.
func (f *Fleet) end(r *run, outcome string) {
	w := r.worker
	if w.runs[r.task] != r {
		return
	}
	f.list(r, outcome)
	g := f.gangs[gangKey{stepOf(r.task), r.number}]
	if !r.step.Gang || g == nil {
		return
	}
	delete(g.members, r.task)
	for _, member := range g.members {
		memberOutcome := "broken"
		if outcome == "done" && g.isComplete {
			memberOutcome = "done"
		}
		delete(g.members, member.task)
		f.list(member, memberOutcome)
	}
}

// list removes a run from its worker and lists its end there.
func (f *Fleet) list(r *run, outcome string) {
	w := r.worker
	delete(w.runs, r.task)
	w.highestRun[r.task] = max(w.highestRun[r.task], r.number)
	w.lastNumber++
	end := f.recordEnd(r, outcome)
	w.finished = append(w.finished, &finishedRun{number: w.lastNumber, task: r.task, run: r.number, outcome: outcome, end: end})
	f.notify()
}

// forget removes a run that ended with its worker's process.
func (f *Fleet) forget(r *run) {
	f.removeActive(r)
	g := f.gangs[gangKey{stepOf(r.task), r.number}]
	if !r.step.Gang || g == nil {
		return
	}
	delete(g.members, r.task)
	for _, member := range g.members {
		delete(g.members, member.task)
		if member.worker != r.worker {
			f.list(member, "broken")
		}
	}
}

// notify wakes the renewals that wait for an end.
func (f *Fleet) notify() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// stepOf returns the name of a task's step: job.occurrence.step.
func stepOf(task string) string { return task[:strings.LastIndexByte(task, '.')] }

// parseTask returns the job and the step of a task's name.
func parseTask(task string) (job string, step int, err error) {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return "", 0, fmt.Errorf("task name %q does not have 4 parts", task)
	}
	step, err = strconv.Atoi(parts[2])
	return parts[0], step, err
}
