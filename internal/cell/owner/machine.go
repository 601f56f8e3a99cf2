package owner

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"gypsumwinch/internal/cell"
	"gypsumwinch/internal/cell/failurerate"
	"gypsumwinch/internal/cell/shares"
	"gypsumwinch/internal/structs"
)

// Options are the settings of an owner; they do not change during its term.
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
	// QuotaOvershoot is the fraction by which what a customer has running may exceed its
	// quota.
	QuotaOvershoot float64
	// CycleClock is the clock by which a long scheduling cycle yields; with nil, none does.
	CycleClock func() time.Duration
	// LearnRunTimes makes the owner learn run times and the speeds of workers from finished
	// runs; otherwise it expects the mean of a caller's estimate and of the queue.
	LearnRunTimes bool
	// OccurrenceMemory bounds what the open occurrences of all repeated jobs take in memory, in
	// bytes; 0 is defaultOccurrenceMemory.
	OccurrenceMemory int64
	// OwnedAt is when the claim of this term was sent, on the clock of Time.Mono.
	OwnedAt time.Duration
	Seed    uint64
}

// Timeouts and intervals of the owner.
const (
	// AuthorityTimeout is how long an owner renews leases after the store last
	// accepted its heartbeat. Outages of the store last up to 9 s; leases last
	// another 6 s after the last renewal.
	AuthorityTimeout = 5 * time.Second
	// lateRequestMargin is how late a worker may carry out a request of a former owner
	// that has ended.
	lateRequestMargin = 2 * time.Second
	// minClockRate is the rate of the slowest worker clock, as the platform
	// specifies it.
	minClockRate = 0.98
	// leaseMargin is added to the end of a lease for calls in flight.
	leaseMargin = 200 * time.Millisecond
	// idlePollTimeout is how long a worker may delay its answer to a renewal to
	// wait for a run to finish. It leaves time for two more tries within the
	// longest lease.
	idlePollTimeout = 1500 * time.Millisecond
	// busyPollTimeout applies instead to a worker with runs, whose progress is
	// monitored.
	busyPollTimeout = 1100 * time.Millisecond
	// maxPollTimeout is the longest time for which a worker delays its answer.
	maxPollTimeout = 2 * time.Second
	// pollsPerSecond is the rate of renewals above which idlePollTimeout and
	// busyPollTimeout grow, up to maxPollTimeout. A renewal costs the owner 0.15 ms of
	// processor time, so that 3,000 workers took half of its share.
	pollsPerSecond = 1500
	// renewalResponseTimeout is how late a worker's answer to a renewal may be
	// before the worker gets no more starts.
	renewalResponseTimeout = 600 * time.Millisecond
	// renewalRetryInterval is the shortest delay before a failed renewal is sent again,
	// maxRenewalRetryDelay the longest; see renewalRetryDelay.
	renewalRetryInterval    = 150 * time.Millisecond
	maxRenewalRetryDelay    = time.Second
	renewalRetriesPerSecond = 500
	// requestRetryInterval is the delay before a start or stop request without
	// an answer is sent again.
	requestRetryInterval = 40 * time.Millisecond
	// stopRetryInterval is the delay before a stop request is repeated whose run
	// the worker does not list as finished.
	stopRetryInterval = 1200 * time.Millisecond
)

// Machine is the state of the owner. It is not safe for concurrent use.
type Machine struct {
	opts      Options
	startedAt time.Duration
	now       Time
	rand      *rand.Rand

	config  *cell.Config
	jobs    map[cell.JobID]*job
	workers map[string]*worker
	// sortedWorkers lists the workers by id, so that scheduling cycles are
	// deterministic.
	sortedWorkers []*worker
	// waitingSteps are the steps with tasks to start.
	waitingSteps map[cell.StepID]*step
	// recurringJobs are the jobs with occurrences that are not released yet.
	recurringJobs map[cell.JobID]*job
	// occurrenceMemory is the budget of the open occurrences in bytes, occurrenceBytes what they
	// take.
	occurrenceMemory, occurrenceBytes int64
	// releaseQueue is reused by releaseDueOccurrences.
	releaseQueue releaseQueue
	statsByQueue map[string]*queueStats
	// ledger has what each customer has running, and its quota.
	ledger *shares.Ledger
	// contention is what the order between customers depends on.
	contention contention
	learning   learning
	startDelay startDelay
	// storeReachedAt is when the last heartbeat was sent that the store accepted.
	storeReachedAt time.Duration
	// formerRenewalsEnd is until when a former owner may renew leases.
	formerRenewalsEnd time.Duration
	// formerBounds are the bounds that the former owner recorded, by worker id.
	formerBounds map[string]LeaseBound
	// leaseStatement is the present statement, nil before the first Tick.
	leaseStatement *LeaseStatement
	// haveBoundsChanged is true if bounds may be lower than those of leaseStatement.
	haveBoundsChanged bool
	// removedStated is statedInVersion of the workers that were removed while their
	// lease was stated, by id.
	removedStated map[string]int64

	dirtyJobs map[cell.JobID]*job
	// startedJobs are the jobs whose first task has started since
	// startedJobsFlushedAt. The recorded state of a job may be up to 2 s late,
	// so this change usually shares a record with a later one.
	startedJobs          map[cell.JobID]*job
	startedJobsFlushedAt time.Duration
	lastBatch            int
	pendingBatches       map[int]*batch
	isCycleNeeded        bool
	// inProgress is the scheduling cycle that has yielded or is running, nil if there is none;
	// cycle is the number of the last one that has begun to place tasks.
	inProgress *schedulingCycle
	cycle      int
	// notFitting has the kinds of tasks that found no worker in the current scheduling cycle.
	notFitting map[fitKey]bool
	// adviceCapacity is that of the last call of Place.
	adviceCapacity AdviceCapacity
	// isQuarantineSuspended is true while quarantines do not apply.
	isQuarantineSuspended bool
	// failureRates are those of the work; mustWeighFailures is true if failures on workers
	// have changed since they were last weighed.
	failureRates      *failurerate.Model
	mustWeighFailures bool
	// usedCPUByService is the fraction of the CPUs in use in the current scheduling cycle; nil
	// if no worker is suspect.
	usedCPUByService map[string]float64
	// firstContacts counts the recent renewals to workers that have not answered this
	// owner, from each Tick on; see maxFirstContacts.
	firstContacts int
	// silentWorkers counts the workers whose last renewal failed, at the last Tick.
	silentWorkers int
	// usableWorkers are those of sortedWorkers that may get new tasks in the current
	// scheduling cycle.
	usableWorkers []*worker
	// candidates is reused by rateCandidates, waitingRuns by resendRequests.
	candidates  []candidate
	hold        holdState
	waitingRuns []*run
	actions     []Action
}

// New returns the Machine of an owner whose term begins now.
func New(opts Options, now Time) *Machine {
	return &Machine{
		opts:           opts,
		startedAt:      now.Mono,
		storeReachedAt: opts.OwnedAt,

		formerRenewalsEnd: now.Mono + AuthorityTimeout,

		now:              now,
		rand:             rand.New(rand.NewPCG(opts.Seed, uint64(opts.Term))),
		jobs:             map[cell.JobID]*job{},
		workers:          map[string]*worker{},
		waitingSteps:     map[cell.StepID]*step{},
		recurringJobs:    map[cell.JobID]*job{},
		occurrenceMemory: cmp.Or(opts.OccurrenceMemory, defaultOccurrenceMemory),
		statsByQueue:     map[string]*queueStats{},
		notFitting:       map[fitKey]bool{},
		ledger:           shares.NewLedger(opts.QuotaOvershoot),
		learning:         newLearning(opts),
		dirtyJobs:        map[cell.JobID]*job{},
		startedJobs:      map[cell.JobID]*job{},
		pendingBatches:   map[int]*batch{},
		formerBounds:     map[string]LeaseBound{},
		removedStated:    map[string]int64{},
		failureRates:     failurerate.New(),
	}
}

// Apply processes an event and returns the actions to carry out. The caller
// applies events one at a time, in the order in which they arrive.
func (m *Machine) Apply(now Time, ev Event) []Action {
	m.now = now
	switch e := ev.(type) {
	case JobSubmitted:
		m.addJob(e)
	case JobCancelled:
		m.cancelJob(e.Job)
	case ConfigChanged:
		m.config = e.Config
		m.configureCustomers()
		m.isCycleNeeded = true
	case WorkersListed:
		m.updateWorkers(e)
	case RenewResult:
		m.handleRenewal(e)
	case StartResult:
		m.handleStartResponse(e)
	case StopResult:
		m.handleStopResponse(e)
	case PaceResult:
		m.handlePaceResponse(e)
	case AdviceResult:
		m.handleAdvice(e)
	case BatchStored:
		m.handleBatchStored(e.Batch)
	case HeartbeatStored:
		m.storeReachedAt = max(m.storeReachedAt, e.SentAt)
	case FormerOwnersFenced:
		m.formerRenewalsEnd = e.RenewalsEnd
		m.keepFormerBounds(e.Bounds)
	case LeaseStatementStored:
		m.handleLeaseStatementStored(e.Version)
	case Tick:
		m.tick()
	}
	return m.takeActions()
}

// takeActions returns the actions collected since the last call and clears
// them. Apply and Place end with it.
func (m *Machine) takeActions() []Action {
	out := m.actions
	m.actions = nil
	return out
}

func (m *Machine) emit(a Action) {
	m.actions = append(m.actions, a)
}

func (m *Machine) logDecision(subject, message string, details ...any) {
	m.emit(LogDecision{Subject: subject, Message: message, Details: details})
}

// Place runs a scheduling cycle if anything has changed since the last one, or goes on with one
// that has yielded (Options.CycleClock). The cycle sends no more advice queries than capacity permits. Package node
// calls it every few milliseconds, after it has applied the waiting events.
func (m *Machine) Place(now Time, capacity AdviceCapacity) []Action {
	m.now = now
	m.adviceCapacity = capacity
	if m.inProgress == nil && m.isCycleNeeded {
		m.isCycleNeeded = false
		m.beginCycle()
	}
	if m.inProgress != nil {
		m.continueCycle()
	}
	return m.takeActions()
}

// tick does what is due at the current time; it runs for each Tick, which
// package node applies at a short fixed interval. It releases occurrences
// that are due and marks started jobs for recording. It calls workers that have not
// answered this owner. For each worker it closes the runs of an expired lease, sends the
// next renewal, repeats unanswered start and stop requests and removes the worker if it is
// unused. It requests a scheduling cycle if steps are waiting, and advances the cursors of
// all workers if nothing waits to be recorded.
func (m *Machine) tick() {
	m.startDelay.observeTick(m.now.Mono)
	m.releaseDueOccurrences()
	m.flushStartedJobs()
	m.callNewWorkers()
	for _, w := range m.sortedWorkers {
		m.tickWorker(w)
	}
	m.updateLeaseStatement()
	m.logLearned()
	if len(m.waitingSteps) > 0 {
		m.isCycleNeeded = true
	}
	if len(m.dirtyJobs) == 0 && len(m.pendingBatches) == 0 {
		m.advanceCursors()
	}
}

// startedJobsFlushInterval is how often the states of started jobs are recorded.
const startedJobsFlushInterval = 500 * time.Millisecond

// flushStartedJobs marks the jobs that have started as dirty, so that their
// running state is recorded. It runs on each Tick, but does so only every
// startedJobsFlushInterval.
func (m *Machine) flushStartedJobs() {
	if m.now.Mono-m.startedJobsFlushedAt < startedJobsFlushInterval {
		return
	}
	m.startedJobsFlushedAt = m.now.Mono
	for _, id := range slices.Sorted(maps.Keys(m.startedJobs)) {
		j := m.startedJobs[id]
		if j.recordedState == cell.StateQueued && m.jobs[id] == j {
			m.markDirty(j)
		}
	}
	clear(m.startedJobs)
}

// State returns the recorded state of a job, or false if the owner does not hold
// the job.
func (m *Machine) State(id cell.JobID) (cell.State, bool) {
	j, ok := m.jobs[id]
	if !ok {
		return 0, false
	}
	return j.recordedState, true
}

// Load is the usage of the usable workers and the backlog of the cell.
type Load struct {
	// UsableWorkers is the number of workers that may get new tasks; Capacity and
	// Used are their totals.
	UsableWorkers int
	Capacity      structs.Resources
	Used          structs.Resources
	// WaitingSteps is the number of steps with tasks to start, WaitingTasks the
	// number of these tasks.
	WaitingSteps int
	WaitingTasks int
	// SlowWorkers and FastWorkers are the numbers of workers that are known to be slower or
	// faster than usual.
	SlowWorkers int
	FastWorkers int
	// HoldingGangs is the number of gangs that held capacity in the last scheduling cycle, and
	// HeldCPU what they held, in thousandths of a core.
	HoldingGangs int
	HeldCPU      int64
}

// Load returns the current load of the cell. Package node writes it to the
// log once per second.
func (m *Machine) Load() Load {
	var l Load
	for _, w := range m.sortedWorkers {
		if !m.isUsable(w) {
			continue
		}
		l.UsableWorkers++
		l.Capacity = l.Capacity.Add(w.info.Capacity)
		l.Used = l.Used.Add(w.used)
	}
	l.SlowWorkers, l.FastWorkers = m.learning.slowWorkers, m.learning.fastWorkers
	l.HoldingGangs, l.HeldCPU = m.hold.gangs, m.hold.held
	l.WaitingSteps = len(m.waitingSteps)
	for _, s := range m.waitingSteps {
		l.WaitingTasks += len(s.tasks) - s.doneTasks - s.openRuns
	}
	return l
}

// WorkerCount returns the number of workers that the owner knows. Package node derives
// the timeout of renewals from it.
func (m *Machine) WorkerCount() int { return len(m.sortedWorkers) }

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

// WorkerReach returns the counts for a data centre and for all others.
// Workers that have not been called yet count as answering. Package node
// calls it after each Tick, and resigns if this VM has for a while reached
// too few workers outside its own data centre.
func (m *Machine) WorkerReach(dataCentre string) (own, others WorkerReach) {
	for _, w := range m.sortedWorkers {
		if !w.isListed {
			continue
		}
		r := &others
		if w.info.DataCentre == dataCentre {
			r = &own
		}
		r.ListedWorkers++
		if w.failedRenewals == 0 {
			r.AnsweringWorkers++
		}
	}
	return own, others
}
