package daemon

import (
	"maps"
	"time"

	"gypsumwinch/internal/ownership"
	"gypsumwinch/internal/records"
	"gypsumwinch/internal/scheduler"
	"gypsumwinch/internal/structs"
	"gypsumwinch/internal/workerclient"
)

const (
	// schedulerTickInterval is the period of the scheduler's time-driven
	// decisions.
	schedulerTickInterval = 100 * time.Millisecond
	// resendInterval is the time between two sends of a start or stop request
	// that a worker has not confirmed.
	resendInterval = time.Second
	// unansweredStartTimeout is how long a non-idempotent attempt whose start
	// request was not answered has to appear in a report of its worker before
	// it is stopped. It covers three lease renewals, since reports lag behind.
	unansweredStartTimeout = 10 * time.Second
	// activityTimeout is how long a worker counts as active after a task start
	// or a finished run.
	activityTimeout = 3 * time.Second
	// activeRenewalInterval is the time between lease renewals of an active
	// worker. With 93 workers and 69 starts a second in 14 data centres, it
	// adds about 60 renewals a second to the 31 that an owner sends anyway.
	activeRenewalInterval = 300 * time.Millisecond
	// leaseExpiryMargin allows for a lease request that reaches the worker late.
	// The ownership machine pauses requests to a silent worker for longer than
	// this.
	leaseExpiryMargin = 2 * time.Second
	// minRemainingLease is the remaining time of a worker's lease below which
	// no requests are sent to the worker.
	minRemainingLease = time.Second
)

// workerState is what this VM knows about a worker of its data centre. Times
// are on the daemon's clock.
type workerState struct {
	vm         structs.VM
	isUnlisted bool
	// firstListedAt is when the VM list first contained the worker.
	firstListedAt time.Duration

	leaseInFlight   bool
	lastLeaseSentAt time.Duration
	leaseExpiresAt  time.Duration
	leaseTerm       int64

	inventoryInFlight    bool
	inventory            *workerclient.Inventory
	inventoryRequestedAt time.Duration

	// lastActivityAt is when a start was last sent or a finished run last
	// reported.
	lastActivityAt time.Duration
	// isUp is true while the scheduler uses the worker. incarnation is that of
	// the inventory with which the use began.
	isUp        bool
	incarnation string
	lastReport  workerclient.Report
}

// markUp marks the worker as used by the scheduler in the incarnation of its
// inventory. The control loop calls it for each usable worker when the
// scheduler starts, and when reconcileInventory brings a worker up.
func (w *workerState) markUp() {
	w.isUp = true
	w.incarnation = w.inventory.Report.Incarnation
}

// hasTaskLeaseExpired reports whether every task that this VM's lease requests
// allowed to run must have ended.
func (w *workerState) hasTaskLeaseExpired(now time.Duration) bool {
	return now > w.lastLeaseSentAt+ownership.DefaultTaskLeaseTTL+leaseExpiryMargin
}

// startState is the state of an attempt from the scheduler's decision to the
// worker's confirmation.
type startState struct {
	placement scheduler.Placement
	// isLogged is set when the start record has been read back from the log.
	isLogged bool
	// sentWithoutRecord is set when the attempt was sent before its start
	// record was on the log.
	sentWithoutRecord bool
	sentAt            time.Duration
	inFlight          bool
	hasBeenSent       bool
	// answerLostAt is when the response to a start request was first lost, zero
	// if none was.
	answerLostAt time.Duration
	// isConfirmed is set when the worker has reported that the attempt runs.
	isConfirmed bool
}

// stopState is the state of an attempt that has to be stopped.
type stopState struct {
	needsCheckpoint bool
	sentAt          time.Duration
	inFlight        bool
	// confirmedAt is when the worker reported that the attempt does not run,
	// zero before.
	confirmedAt time.Duration
}

// ownerState is the state of a VM as the owner of its data centre. Only workers
// is in use while the VM is not the owner.
type ownerState struct {
	workers map[string]*workerState
	// pendingStartOwning is set from the StartOwning action until the scheduler
	// starts.
	pendingStartOwning *ownership.StartOwning
	owningSince        time.Duration
	// ownershipEndedAt is when the last ownership of this VM ended.
	ownershipEndedAt time.Duration
	scheduler        *scheduler.Scheduler
	term             int64
	isLimited        bool
	// schedulerEpoch counts the schedulers of this process. Events about
	// attempts of an earlier scheduler are ignored.
	schedulerEpoch    int
	lastSchedulerTick time.Duration
	// unknownWorkersExpireAt is when attempts on workers that this VM does not
	// know must have ended, zero if those attempts have been handled.
	unknownWorkersExpireAt time.Duration

	pendingStarts map[structs.Attempt]*startState
	pendingStops  map[structs.Attempt]*stopState
	pendingEnds   map[structs.Attempt]records.TaskResult
	checkpoints   map[structs.TaskID][]byte
	readyStarts   map[string][]structs.Attempt

	// recordsSinceSnapshot and lastSnapshotAt describe what a new VM has to read; see
	// recordSnapshotAge. They are kept on every VM, since any may become the owner.
	recordsSinceSnapshot int
	lastSnapshotAt       time.Duration
}

func newOwnerState() ownerState {
	return ownerState{workers: map[string]*workerState{}}
}

// startOwning records that this VM owns the data centre. The scheduler starts
// once the jobs stream has been read up to the present. runOwnershipAction
// calls it for a StartOwning action: when ownership begins, and again when the
// term changes or the owner stops being limited.
func (c *control) startOwning(a ownership.StartOwning) {
	if c.scheduler != nil {
		// The term changes without a StopOwning when an owner that took over
		// during an outage of the log appends its claim; the scheduler's state
		// stays valid.
		c.term = a.Term
		c.isLimited = a.Limited
		c.scheduleUnknownWorkerExpiry()
		c.applySchedulerEvent(scheduler.Withhold{Tasks: c.withheldTasks()})
		return
	}
	c.pendingStartOwning = &a
	c.owningSince = c.now()
	c.d.wakeReader(records.JobsStream(c.d.settings.DataCentre))
	c.logger.Info("owning the data centre", "term", a.Term, "limited", a.Limited)
}

// stopOwning removes the broker, the scheduler and its attempts from the owner
// state; the list of workers stays. runOwnershipAction calls it for a
// StopOwning action, when the authority to grant slots or to start tasks ends.
func (c *control) stopOwning(a ownership.StopOwning) {
	c.logger.Info("no longer owning the data centre", "term", a.Term, "reason", a.Reason)
	c.stopBroker()
	c.pendingStartOwning = nil
	c.ownershipEndedAt = c.now()
	c.scheduler = nil
	c.pendingStarts, c.pendingStops, c.pendingEnds, c.checkpoints, c.readyStarts = nil, nil, nil, nil, nil
	for _, w := range c.workers {
		w.isUp = false
		w.inventory = nil
	}
}

// isJobsStreamCurrent reports whether the job state includes everything that
// was on the log when ownership began, as far as the log can be read.
// startScheduler calls it at each slow tick until it is true.
func (c *control) isJobsStreamCurrent() bool {
	s := c.streams[records.JobsStream(c.d.settings.DataCentre)]
	if !s.hasReachedEnd || !c.jobs.Complete() {
		return false
	}
	return s.lastEndSentAt >= c.owningSince || !s.isReachable
}

// startScheduler builds the scheduler from the jobs stream and the workers'
// inventories, as soon as both are available. tickJobs calls it at each slow
// tick between startOwning and the start of the scheduler.
func (c *control) startScheduler() {
	a := c.pendingStartOwning
	config := c.config.Current().Config
	if a == nil || config == nil || !c.isJobsStreamCurrent() {
		return
	}
	c.pendingStartOwning = nil
	c.term = a.Term
	c.isLimited = a.Limited
	c.schedulerEpoch++
	c.scheduleUnknownWorkerExpiry()
	c.pendingStarts = map[structs.Attempt]*startState{}
	c.pendingStops = map[structs.Attempt]*stopState{}
	c.pendingEnds = map[structs.Attempt]records.TaskResult{}
	c.checkpoints = map[structs.TaskID][]byte{}
	c.readyStarts = map[string][]structs.Attempt{}
	sched, recovery := scheduler.Recover(c.now(), c.schedulerInventory(config))
	c.scheduler = sched
	for _, attempt := range recovery.Unrecorded {
		c.adoptAttempt(attempt)
	}
	c.runSchedulerActions(recovery.Actions)
	for _, attempt := range recovery.Lost {
		c.endMissingAttempt(attempt)
	}
	for _, w := range c.workers {
		if w.isUp && w.inventory != nil {
			c.handleReport(w, w.inventory.Report)
		}
	}
	c.logger.Info("scheduling jobs", "term", c.term, "limited", c.isLimited, "workers", len(c.workers))
}

// schedulerInventory returns what the scheduler starts from: the configuration,
// workers, jobs, cancelled jobs, withheld tasks and running attempts. It marks
// the workers that it returns as up and all others as not up. Workers without a valid lease or
// inventory are left out; reconcileInventory adds them later. startScheduler
// calls it once per ownership.
func (c *control) schedulerInventory(config *structs.ClusterConfig) scheduler.Inventory {
	inv := scheduler.Inventory{
		Config:    *config,
		Running:   map[string][]structs.Attempt{},
		Allocated: map[structs.Attempt]structs.Resources{},
	}
	for id, w := range c.workers {
		w.isUp = false
		if w.inventory == nil || c.now() >= w.leaseExpiresAt {
			continue
		}
		w.markUp()
		inv.Workers = append(inv.Workers, schedulerWorker(w))
		inv.Running[id] = runningAttempts(w.inventory)
		maps.Copy(inv.Allocated, allocatedResources(w.inventory))
	}
	inv.Jobs, inv.Cancelled = scheduler.Jobs(c.jobs, time.Now())
	inv.Withheld = c.withheldTasks()
	return inv
}

// withheldTasks returns the tasks that a limited owner must not start, because
// a former owner may still run them on workers that this VM cannot reach; nil
// if the owner is not limited. Package ownership decides whether it is: an
// owner is limited while unknown tasks may run on some worker or a former owner
// may still have authority, and an interim owner in any case, unless leases on
// a majority of the workers allow it to start inherited tasks.
//
// The result has all pending tasks: those of open jobs that have neither
// finished nor a running attempt according to the job state. Any of them may be
// running nevertheless, since an owner may start a task before its record is on
// the log while the log is unreachable; see mayStartWithoutRecord. Tasks of
// jobs that are accepted later are not withheld, until the set is computed
// again.
//
// The control loop calls it when the scheduler starts, and when the term or
// isLimited changes while this VM is the owner.
func (c *control) withheldTasks() map[structs.TaskID]bool {
	if !c.isLimited {
		return nil
	}
	tasks := map[structs.TaskID]bool{}
	for _, task := range c.jobs.PendingTasks() {
		tasks[task] = true
	}
	return tasks
}

// schedulerWorker converts a worker to the form that the scheduler takes. The
// control loop calls it when the scheduler starts, and when a worker comes up
// or its listed state or capacity changes.
func schedulerWorker(w *workerState) scheduler.Worker {
	return scheduler.Worker{
		ID: w.vm.ID, Rack: w.vm.Rack, Capacity: w.vm.Capacity,
		Leaving: w.vm.State == structs.VMLeaving,
	}
}

// allocatedResources returns the resources that a worker has allocated to each
// of its attempts, which may exceed the declared sizes. The control loop calls
// it for each inventory that it passes to the scheduler.
func allocatedResources(inventory *workerclient.Inventory) map[structs.Attempt]structs.Resources {
	sizes := make(map[structs.Attempt]structs.Resources, len(inventory.Running))
	for _, r := range inventory.Running {
		sizes[r.Attempt] = r.Resources
	}
	return sizes
}

// runningAttempts returns the attempts that an inventory lists as running. The
// control loop calls it for each inventory that it passes to the scheduler.
func runningAttempts(inventory *workerclient.Inventory) []structs.Attempt {
	attempts := make([]structs.Attempt, len(inventory.Running))
	for i, r := range inventory.Running {
		attempts[i] = r.Attempt
	}
	return attempts
}

// applySchedulerEvent passes an event to the scheduler and runs the actions
// that it returns. It does nothing while there is no scheduler. The control
// loop calls it for records of the jobs stream, reports, responses and
// inventories of workers, changes of workers, of the configuration and of the
// owner's term, and the scheduler's tick.
func (c *control) applySchedulerEvent(ev scheduler.Event) {
	if c.scheduler == nil {
		return
	}
	c.runSchedulerActions(c.scheduler.Apply(c.now(), ev))
}

// runSchedulerActions runs the actions of the scheduler. applySchedulerEvent
// calls it after each event, and startScheduler once with the actions of the
// recovery.
func (c *control) runSchedulerActions(actions []scheduler.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case scheduler.Start:
			c.logStarts(a.Placements)
		case scheduler.Stop:
			c.stopAttempt(a.Attempt, false)
		case scheduler.Checkpoint:
			c.stopAttempt(a.Attempt, true)
		case scheduler.Throttle:
			c.sendThrottle(a)
		}
	}
}

// maySendTo reports whether this VM may send start, stop and throttle requests
// to a worker now. It is called at the moment of each such request.
func (c *control) maySendTo(w *workerState) bool {
	now := c.now()
	authority := c.ownershipMachine.Authority(now)
	return authority.MayStartTasks && authority.Term == c.term && w != nil && now < w.leaseExpiresAt-minRemainingLease
}

// workerAuthority returns the authority that requests to a worker carry. Its
// term is that of the worker's lease, which is a later round than the owner's
// term if another VM tried to take over and got a lease on the worker.
func (c *control) workerAuthority(w *workerState) workerclient.Authority {
	return workerclient.Authority{Holder: c.d.instance, Term: w.leaseTerm}
}

// reconcileInventory compares the attempts that run on a worker with the job
// state and brings the worker up: it adopts attempts without a recorded start
// and stops recorded ones that the worker does not list.
// inventoryAnswered.apply calls it; it does nothing unless this VM has a
// scheduler, the worker is down and its lease is valid.
func (c *control) reconcileInventory(w *workerState) {
	if c.scheduler == nil || w.isUp || c.now() >= w.leaseExpiresAt {
		return
	}
	attempts := runningAttempts(w.inventory)
	running := map[structs.Attempt]bool{}
	for _, a := range attempts {
		running[a] = true
	}
	w.markUp()
	c.applySchedulerEvent(scheduler.WorkerInventory{Worker: w.vm.ID, Running: attempts, Allocated: allocatedResources(w.inventory)})
	for _, a := range attempts {
		live, ok := c.jobs.LiveAttempt(a.Task)
		if recorded := ok && live == a; !recorded && c.pendingStops[a] == nil && c.pendingStarts[a] == nil {
			c.adoptAttempt(a)
		}
	}
	missing := c.jobs.RunningOn(w.vm.ID)
	for a, s := range c.pendingStarts {
		if a.Worker == w.vm.ID && s.sentWithoutRecord && !s.isLogged {
			missing = append(missing, a)
		}
	}
	for _, a := range missing {
		if !running[a] && !hasFinishedRun(w.inventory, a) {
			// A start request may still be in flight, so the worker has to
			// confirm that the attempt will not run.
			c.stopAttempt(a, false)
		}
	}
	c.applySchedulerEvent(scheduler.WorkerUp{Worker: schedulerWorker(w)})
	c.handleReport(w, w.inventory.Report)
}

// adoptAttempt appends the start record of an attempt that a former owner
// started during an outage of the log. The control loop calls it when the
// scheduler starts and when a worker comes up, for running attempts without a
// recorded start.
func (c *control) adoptAttempt(a structs.Attempt) {
	c.pendingStarts[a] = &startState{sentWithoutRecord: true, hasBeenSent: true, isConfirmed: true}
	c.logTaskStart(a)
}

// endMissingAttempt ends an attempt that does not run on its worker. If the
// worker lists it as a finished run, the end is left to handleReport, which has
// the result. startScheduler calls it for each attempt that the recovery
// reports as lost.
func (c *control) endMissingAttempt(a structs.Attempt) {
	w := c.workers[a.Worker]
	if w == nil || w.inventory == nil || !hasFinishedRun(w.inventory, a) {
		c.endAttempt(a, records.TaskLost)
	}
}

// hasFinishedRun reports whether the inventory lists the attempt as a finished
// run. reconcileInventory and endMissingAttempt call it for recorded attempts
// that do not run.
func hasFinishedRun(inventory *workerclient.Inventory, a structs.Attempt) bool {
	for _, f := range inventory.Report.Finished {
		if f.Attempt == a {
			return true
		}
	}
	return false
}

// handleWorkerRestart handles a worker with a new incarnation. The attempts of
// the previous incarnation ended without a report, although the worker's lease
// continues. leaseAnswered.apply calls it when a report contains a new
// incarnation.
func (c *control) handleWorkerRestart(w *workerState) {
	c.logger.Warn("a worker restarted", "worker", w.vm.ID)
	c.markWorkerDown(w)
	c.requestInventory(w.vm.ID)
}

// markWorkerDown takes a worker out of service until its inventory is known
// again. The control loop calls it when the worker has restarted or its lease
// has expired.
func (c *control) markWorkerDown(w *workerState) {
	w.isUp = false
	w.inventory = nil
	c.applySchedulerEvent(scheduler.WorkerDown{Worker: w.vm.ID})
}

// handleWorkerChange passes the new state or capacity of a worker that is up to
// the scheduler. updateWorkers calls it when the VM list shows the change.
func (c *control) handleWorkerChange(w *workerState) {
	if w.isUp {
		c.applySchedulerEvent(scheduler.WorkerChanged{Worker: schedulerWorker(w)})
	}
}

// handleReport handles a worker's report about finished and running attempts.
// The control loop calls it for each granted lease, whose response contains a
// report, and for the report in the inventory when the scheduler starts or the
// worker comes up.
func (c *control) handleReport(w *workerState, report workerclient.Report) {
	w.lastReport = report
	if c.scheduler == nil || !w.isUp {
		return
	}
	if len(report.Finished) > 0 {
		w.lastActivityAt = c.now()
	}
	for _, f := range report.Finished {
		c.endAttempt(f.Attempt, taskResult(f.Result))
	}
	usage := scheduler.UsageReport{Worker: w.vm.ID}
	for _, u := range report.Usage {
		if s := c.pendingStarts[u.Attempt]; s != nil && s.answerLostAt != 0 && !s.isConfirmed {
			c.handleStartResult(workerclient.StartResult{Attempt: u.Attempt, Started: true})
		}
		usage.Tasks = append(usage.Tasks, scheduler.TaskUsage{Attempt: u.Attempt, Used: u.Used})
	}
	c.applySchedulerEvent(usage)
}

// taskResult converts the result that a worker reports to the one in an end
// record. handleReport calls it for each finished run.
func taskResult(r workerclient.Result) records.TaskResult {
	switch r {
	case workerclient.ResultSucceeded:
		return records.TaskSucceeded
	case workerclient.ResultFailed:
		return records.TaskFailed
	case workerclient.ResultStopped:
		return records.TaskStopped
	}
	return records.TaskLost
}

// acknowledgement returns the acknowledgement of the reported finished runs
// whose end is on the log. Later ones are not acknowledged, so that no result
// is lost if this VM fails. requestLease calls it for each lease request, which
// carries the acknowledgement.
func (c *control) acknowledgement(w *workerState) workerclient.Ack {
	ack := workerclient.Ack{Incarnation: w.lastReport.Incarnation}
	if c.scheduler == nil || !w.isUp {
		return ack // the report was not handled
	}
	for _, f := range w.lastReport.Finished {
		if live, ok := c.jobs.LiveAttempt(f.Attempt.Task); ok && live == f.Attempt {
			break
		}
		if s := c.pendingStarts[f.Attempt]; s != nil && !s.isLogged {
			break
		}
		ack.Seq = f.Seq
	}
	return ack
}

// tickJobs makes the time-driven decisions of an owner. It runs on the control
// loop at each slow tick and, without a pending or running scheduler, does
// nothing.
func (c *control) tickJobs() {
	if c.pendingStartOwning != nil {
		c.startScheduler()
	}
	if c.scheduler == nil {
		return
	}
	c.checkWorkerLeases()
	c.endOnUnknownWorkers()
	c.renewActiveLeases()
	c.resendDue()
	if c.now()-c.lastSchedulerTick >= schedulerTickInterval || c.scheduler.HasReadyWork() {
		c.lastSchedulerTick = c.now()
		c.applySchedulerEvent(scheduler.Tick{})
	}
	c.writeJobsSnapshot()
}

// renewActiveLeases renews the leases of active workers, to which a start was
// sent or which reported a finished run within activityTimeout, after
// activeRenewalInterval instead of ownership.DefaultRenewInterval, because the
// responses report finished runs. tickJobs calls it at each slow tick, only on
// the owner and once its scheduler runs.
func (c *control) renewActiveLeases() {
	now := c.now()
	for id, w := range c.workers {
		if w.isUp && now-w.lastActivityAt < activityTimeout && now-w.lastLeaseSentAt >= activeRenewalInterval {
			c.requestLease(id, max(c.term, w.leaseTerm), ownership.DefaultLeaseTTL)
		}
	}
}

// checkWorkerLeases takes workers out of service whose lease has expired. Their
// attempts have ended, since only the owner renews leases. It also ends the
// attempts on a worker once its task lease has expired, and requests missing
// inventories. tickJobs calls it at each slow tick.
func (c *control) checkWorkerLeases() {
	now := c.now()
	for id, w := range c.workers {
		if w.isUp && now > w.leaseExpiresAt {
			c.logger.Warn("lease of a worker expired", "worker", id)
			c.markWorkerDown(w)
		}
		if !w.isUp && w.inventory == nil && now < w.leaseExpiresAt && now-w.inventoryRequestedAt >= resendInterval {
			c.requestInventory(id)
		}
		if w.isUp || w.lastLeaseSentAt == 0 || !w.hasTaskLeaseExpired(now) {
			continue
		}
		// The former owner may still renew the lease of a worker that a limited
		// owner never reached.
		if c.isLimited && w.leaseTerm < c.term {
			continue
		}
		for _, a := range c.jobs.RunningOn(id) {
			c.endAttempt(a, records.TaskLost)
		}
		c.endUnlogged(id)
		if w.isUnlisted {
			delete(c.workers, id)
		}
	}
}
