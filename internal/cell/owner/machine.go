package owner

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"gypsumwinch/internal/cell"
	"gypsumwinch/internal/structs"
)

// Options are the owner's settings.
type Options struct {
	// Term is the fencing token of this ownership.
	Term int64
	// LeaseLimit is the longest lease that workers grant.
	LeaseLimit time.Duration
	// GangTimeout is how long a member of a gang waits for the others.
	GangTimeout time.Duration
	// RemoteFactor multiplies the run time of a task that runs outside the rack of
	// its data or its gang.
	RemoteFactor float64
	Seed         uint64
}

// Limits and periods of the owner.
const (
	// AuthorityTimeout is how long an owner renews leases without having reached
	// the store. Outages of the store last up to 9 s; a lease lasts 6 s more.
	AuthorityTimeout = 5 * time.Second
	// slowClock is the rate of the slowest clock of a worker, per the platform.
	slowClock = 0.98
	// leaseMargin is added to the end of a lease for calls in flight.
	leaseMargin = 200 * time.Millisecond
	// renewWait is how long a worker waits for an end before it answers; a third
	// of the longest lease leaves two more tries.
	renewWait = 1500 * time.Millisecond
	// busyWait is the same for a worker with runs, whose progress is watched.
	busyWait = 1100 * time.Millisecond
	// silentAfter is how long a worker may leave renewals unanswered before it
	// gets no new starts.
	silentAfter = 600 * time.Millisecond
	// renewRetry is the pause after a renewal without an answer.
	renewRetry = 150 * time.Millisecond
	// resendAfter is the pause before an order without an answer is sent again.
	resendAfter = 40 * time.Millisecond
	// stopRetry is the pause before a stop is sent again whose end is not listed.
	stopRetry = 1200 * time.Millisecond
)

// Machine is the owner's state. It is not safe for concurrent use.
type Machine struct {
	opts    Options
	started time.Duration
	now     Time
	rand    *rand.Rand

	config  *cell.Config
	jobs    map[cell.JobID]*job
	workers map[string]*worker
	// order lists the workers by id, for passes in a fixed order.
	order []*worker
	// waiting lists the steps that have tasks to start.
	waiting map[cell.StepID]*step
	// due lists jobs with occurrences to come.
	due    map[cell.JobID]*job
	queues map[string]*queueStats
	// authority is when the owner last reached the store.
	authority time.Duration

	dirty map[cell.JobID]*job
	// begun holds jobs whose first task has started since begunAt. Their state
	// may be 2 s old, so that it mostly shares a later record.
	begun    map[cell.JobID]*job
	begunAt  time.Duration
	batch    int
	batches  map[int]*batch
	needPass bool
	// lanes belongs to the pass under way, passes is its number.
	lanes  AdviceCapacity
	passes int
	// trustAll is true while quarantines are not kept.
	trustAll bool
	actions  []Action
}

// New returns an owner that has just begun.
func New(opts Options, now Time) *Machine {
	return &Machine{
		opts:      opts,
		started:   now.Mono,
		authority: now.Mono,
		now:       now,
		rand:      rand.New(rand.NewPCG(opts.Seed, uint64(opts.Term))),
		jobs:      map[cell.JobID]*job{},
		workers:   map[string]*worker{},
		waiting:   map[cell.StepID]*step{},
		due:       map[cell.JobID]*job{},
		queues:    map[string]*queueStats{},
		dirty:     map[cell.JobID]*job{},
		begun:     map[cell.JobID]*job{},
		batches:   map[int]*batch{},
	}
}

// Apply takes an event and returns what to do.
func (m *Machine) Apply(now Time, ev Event) []Action {
	m.now = now
	switch e := ev.(type) {
	case JobSubmitted:
		m.submit(e)
	case JobCancelled:
		m.cancel(e.Job)
	case ConfigChanged:
		m.config = e.Config
		m.needPass = true
	case WorkersListed:
		m.listWorkers(e)
	case RenewResult:
		m.renewed(e)
	case StartResult:
		m.startAnswered(e)
	case StopResult:
		m.stopAnswered(e)
	case PaceResult:
		m.paced(e)
	case AdviceResult:
		m.advised(e)
	case BatchStored:
		m.recorded(e.Batch)
	case HeartbeatStored:
		m.authority = now.Mono
	case Tick:
		m.tick()
	}
	return m.take()
}

// take returns the collected actions.
func (m *Machine) take() []Action {
	out := m.actions
	m.actions = nil
	return out
}

func (m *Machine) emit(a Action) {
	m.actions = append(m.actions, a)
}

func (m *Machine) decide(subject, message string, details ...any) {
	m.emit(LogDecision{Subject: subject, Message: message, Details: details})
}

// Place places tasks if anything changed since the last pass. The lanes say how
// many questions may be asked by it.
func (m *Machine) Place(now Time, lanes AdviceCapacity) []Action {
	m.now = now
	if m.needPass {
		m.needPass = false
		m.lanes = lanes
		m.pass()
	}
	return m.take()
}

// tick does what is due by time.
func (m *Machine) tick() {
	m.releaseDue()
	m.recordBegun()
	for _, w := range m.order {
		m.tickWorker(w)
	}
	if len(m.waiting) > 0 {
		m.needPass = true
	}
	if len(m.dirty) == 0 && len(m.batches) == 0 {
		m.advanceCursors()
	}
}

// begunEvery is how often the states of jobs that have begun are recorded.
const begunEvery = 500 * time.Millisecond

// recordBegun has the states of jobs recorded that have begun.
func (m *Machine) recordBegun() {
	if m.now.Mono-m.begunAt < begunEvery {
		return
	}
	m.begunAt = m.now.Mono
	for _, id := range slices.Sorted(maps.Keys(m.begun)) {
		j := m.begun[id]
		if j.visible == cell.StateQueued && m.jobs[id] == j {
			m.markDirty(j)
		}
	}
	clear(m.begun)
}

// State returns the recorded state of a job that the owner holds.
func (m *Machine) State(id cell.JobID) (cell.State, bool) {
	j, ok := m.jobs[id]
	if !ok {
		return 0, false
	}
	return j.visible, true
}

// Load is how full the cell is.
type Load struct {
	// UsableWorkers is the number of workers that may get new tasks; Capacity and
	// Used are their totals.
	UsableWorkers int
	Capacity      structs.Resources
	Used          structs.Resources
	// WaitingSteps have tasks to start, of which WaitingTasks.
	WaitingSteps int
	WaitingTasks int
}

// Load returns how full the cell is.
func (m *Machine) Load() Load {
	var l Load
	for _, w := range m.order {
		if !m.usable(w) {
			continue
		}
		l.UsableWorkers++
		l.Capacity = l.Capacity.Add(w.info.Capacity)
		l.Used = l.Used.Add(w.used)
	}
	l.WaitingSteps = len(m.waiting)
	for _, s := range m.waiting {
		l.WaitingTasks += len(s.task) - s.done - s.active
	}
	return l
}

// WorkerReach is how many workers are listed in the store and how many of them
// answer the owner.
type WorkerReach struct {
	ListedWorkers    int
	AnsweringWorkers int
}

// AnsweringFraction returns the fraction of listed workers that answer, 0 if none
// is listed.
func (r WorkerReach) AnsweringFraction() float64 {
	if r.ListedWorkers == 0 {
		return 0
	}
	return float64(r.AnsweringWorkers) / float64(r.ListedWorkers)
}

// WorkerReach returns the counts for a data centre and for all others. Workers that
// have not been called yet count as answering.
func (m *Machine) WorkerReach(dataCentre string) (own, others WorkerReach) {
	for _, w := range m.order {
		if !w.listed {
			continue
		}
		r := &others
		if w.info.DataCentre == dataCentre {
			r = &own
		}
		r.ListedWorkers++
		if w.failures == 0 {
			r.AnsweringWorkers++
		}
	}
	return own, others
}
