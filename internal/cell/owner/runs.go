package owner

import (
	"errors"
	"slices"
	"time"

	"gypsumwinch/internal/cell"
	"gypsumwinch/internal/structs"
)

// phase is the phase of a run's life cycle.
type phase int

const (
	// phasePlanned: the capacity is allocated; the start is not recorded.
	phasePlanned phase = iota
	// phaseRecording: the record of the start is being written to the store.
	phaseRecording
	// phaseSent: the start request was sent; the worker has not answered.
	phaseSent
	// phaseRunning: the worker confirmed the start.
	phaseRunning
	// phaseStopping: the run is to be stopped.
	phaseStopping
	// phaseEnding: the run has finished, or its worker ends it because another
	// member of the gang has finished.
	phaseEnding
	// phaseRecovered: a former owner recorded the start; the worker has not
	// confirmed it to this owner.
	phaseRecovered
)

// run is one attempt of a task that may exist on its worker.
type run struct {
	id       cell.TaskID
	taskName string
	number   int
	job      *job
	// step is nil if the owner has no state of the step: for a recorded run of
	// a former owner whose job has a final state, or whose occurrence is not
	// due by the clock of this owner.
	step            *step
	worker          *worker
	workerStartedAt int64
	// listedBy is the start time of the incarnation whose inventory last listed
	// the run as active, or 0.
	listedBy int64
	// isListedActive is true if the last inventory of the worker lists the run as active.
	isListedActive bool

	allocated structs.Resources
	phase     phase
	ticket    string
	// ticketExpiresAt is when the ticket expires; it counts only if there is one.
	ticketExpiresAt time.Duration

	isRequestInFlight bool
	// requestBorn is the start time of the worker's process that the owner knew when it
	// sent the last request about the run.
	requestBorn int64
	// hasUnansweredStart is true once a start request got no answer; the worker
	// may still carry it out.
	hasUnansweredStart bool
	// hasMoved is true once the worker has restarted while the run was open. The new
	// incarnation does not remember that the former one had the run, so it carries out a
	// start request that arrives late.
	hasMoved bool
	// mustResend is true while the start request has to be sent again.
	mustResend  bool
	isRecovered bool
	// isResumed is true if the run began from a checkpoint.
	isResumed   bool
	plannedAt   time.Duration
	firstSentAt time.Duration
	nextSendAt  time.Duration
	// acknowledgedAt is when this owner received the worker's confirmation of
	// the start or stop of the run: an answer to the request or an inventory
	// that lists the run. For a member of a gang that ends with another member
	// it is when that member's end was received. The inventory of a renewal
	// that is sent later lists the run if it exists.
	acknowledgedAt     time.Duration
	isStopAcknowledged bool
	startedAt          time.Duration

	// pacePercent is the speed of the run in percent of its full speed; -1 if
	// unknown because a former owner may have set it or a request failed.
	pacePercent    int
	isPaceInFlight bool
	// pacedUntil is the reading of the worker's clock up to which the time for which the run
	// was slowed down is excluded from progressAt.
	pacedUntil time.Duration
	// tailLatencyMS is the tail response time of a task that serves users.
	tailLatencyMS float64

	progressPercent int
	// progressAt is when the progress last changed, on the worker's clock: the time
	// for which this VM was paused or an answer was late does not count.
	progressAt time.Duration
	// workObservedAt is when a long-running run was last observed to be at work, or 0.
	workObservedAt time.Duration
}

// openRun adds a run and allocates its capacity. It runs when a scheduling
// cycle plans a run and when a new owner recovers a recorded one.
func (m *Machine) openRun(r *run) {
	r.taskName = r.id.String()
	r.isRecovered = r.phase == phaseRecovered
	r.pacePercent = fullPacePercent
	if r.isRecovered {
		r.pacePercent = -1
	}
	r.worker.addRun(r)
	r.worker.used = r.worker.used.Add(r.allocated)
	r.job.openRuns++
	r.job.account.Open(r.share())
	if r.step != nil {
		r.step.openRuns++
	} else {
		r.job.runsWithoutStep = append(r.job.runsWithoutStep, r)
	}
}

// closeRun removes a run that certainly does not exist on its worker: it
// finished, was refused or never sent, is missing in the inventory, or its
// lease or its worker's incarnation ended. It frees the capacity and lets
// the task start again; a gang that is not done is stopped as a whole. All
// ways in which a run ends lead here.
func (m *Machine) closeRun(r *run, reason string) {
	w := r.worker
	key := runKey{r.taskName, r.number}
	if w.runs[key] != r {
		return
	}
	w.removeRun(r)
	w.used = w.used.Sub(r.allocated)
	r.job.openRuns--
	r.job.account.Close(r.share())
	m.markDirty(r.job)
	m.isCycleNeeded = true
	if s := r.step; s != nil {
		s.openRuns--
		if r.hasRun() {
			s.idleSince = m.now.Mono
		}
		if t := &s.tasks[r.id.Index]; t.run == r {
			t.run = nil
			if r.hasRun() {
				t.idleSince = m.now.Mono
			}
		}
		if s.def.Gang && s.doneTasks < len(s.tasks) {
			m.stopGang(s, "member "+reason)
		}
		if s.isReady && s.doneTasks < len(s.tasks) && !s.job.state.IsFinal() {
			m.waitingSteps[s.id] = s
		}
		m.removeIfEnded(s.occurrence)
	} else {
		r.job.runsWithoutStep = slices.DeleteFunc(r.job.runsWithoutStep, func(o *run) bool { return o == r })
	}
	m.removeIfFinished(r.job)
}

// hasRun reports whether the worker has confirmed a run or listed its end. closeRun calls it: a start
// that was not sent, was refused or got no answer does not end the time for which a step has been idle.
func (r *run) hasRun() bool { return r.startedAt > 0 || r.phase == phaseEnding }

// stopGang stops all runs of a gang, so that the gang can start again as a
// whole. It runs when a member was closed before the gang was done, did not
// start in time or is stuck, or when a new owner finds members missing.
func (m *Machine) stopGang(s *step, reason string) {
	for i := range s.tasks {
		if r := s.tasks[i].run; r != nil && r.phase != phaseStopping {
			m.logDecision(r.taskName, "gang member is stopped", "run", r.number, "worker", r.worker.info.ID, "reason", reason)
			m.stopRun(r)
		}
	}
}

// stopWithGang stops a run and, if it is a member of a gang, the others with it: they would
// hold their capacity until the stop of this one is acknowledged, and then end alone. It runs
// when the start of the run may still be carried out but is not wanted any more.
func (m *Machine) stopWithGang(r *run, reason string) {
	m.stopRun(r)
	if r.step != nil && r.step.def.Gang {
		m.stopGang(r.step, reason)
	}
}

// stopRun stops a run. A run whose start request was not sent is closed at
// once; otherwise a stop request is sent once no other request about the run
// is in flight, and the run stays open until an inventory shows that it has
// ended. It runs when the run's job reaches a final state, its gang is
// stopped, it is stuck, or a refused start may still be carried out.
func (m *Machine) stopRun(r *run) {
	switch r.phase {
	case phasePlanned, phaseRecording:
		r.phase = phaseStopping
		m.closeRun(r, "not sent")
		return
	case phaseStopping, phaseEnding:
		return
	}
	r.phase = phaseStopping
	r.isStopAcknowledged = false
	r.nextSendAt = m.now.Mono
	m.resendRequest(r)
}

// mustBeListed reports whether the inventory of a renewal sent at a time
// lists the run if it exists on its worker. reconcile calls it for each run
// that the inventory does not list, and closes the run if it is true.
func (r *run) mustBeListed(sentAt time.Duration) bool {
	switch r.phase {
	case phaseRecovered:
		return true
	case phaseRunning, phaseEnding:
		return sentAt > r.acknowledgedAt
	case phaseStopping:
		return r.isRecovered || r.isStopAcknowledged && sentAt > r.acknowledgedAt
	default:
		return false
	}
}

// mayStartLate reports whether a worker that does not list the run may still start it: a
// start request without an answer may reach an incarnation that has neither had the run nor
// been told to stop it. reconcile then stops the run before it closes it.
func (r *run) mayStartLate() bool {
	return r.hasUnansweredStart && r.hasMoved && !r.isStopAcknowledged
}

// sendRecordedStarts sends the start requests of runs whose records are
// stored. handleBatchStored calls it with the planned runs of the batch. A
// run whose worker or ticket has become unusable since then is closed instead.
func (m *Machine) sendRecordedStarts(runs []*run) {
	var unsentSteps []*step
	if len(runs) > 0 {
		m.startDelay.observeRecord(m.now.Mono - runs[0].plannedAt)
	}
	for _, r := range runs {
		if r.phase != phaseRecording {
			continue
		}
		if reason := m.reasonNotToSend(r); reason != "" {
			m.logDecision(r.taskName, "start is not sent", "run", r.number, "worker", r.worker.info.ID, "reason", reason)
			unsentSteps = append(unsentSteps, r.step)
			r.phase = phasePlanned
			m.closeRun(r, "not sent: "+reason)
			continue
		}
		r.phase = phaseSent
		r.firstSentAt = m.now.Mono
		m.sendStart(r)
	}
	for _, s := range unsentSteps {
		if s != nil && s.def.Gang {
			m.stopGang(s, "start request of a member was not sent")
		}
	}
}

// reasonNotToSend returns why a recorded start is of no use any more, or "". Recording
// may take as long as an outage of the store; a worker refuses an expired ticket, and
// the platform charges for the refusal. sendRecordedStarts calls it.
func (m *Machine) reasonNotToSend(r *run) string {
	switch {
	case !m.isUsable(r.worker) || r.worker.info.Born != r.workerStartedAt:
		return "worker is not usable"
	case r.ticket != "" && m.now.Mono >= r.ticketExpiresAt:
		return "ticket has expired"
	case m.isOverQuota(r):
		return "quota of the customer has been lowered"
	default:
		return ""
	}
}

// sendStart sends a start request for a run: the first one after the run is
// recorded, and a retry each time one got no answer.
func (m *Machine) sendStart(r *run) {
	w := r.worker
	r.isRequestInFlight = true
	r.requestBorn = w.info.Born
	r.mustResend = false
	r.isResumed = r.isResumed || r.step.checkpointOf(r.id.Index) != ""
	m.emit(SendStart{Start: cell.Start{
		Task:       r.id,
		Run:        r.number,
		Worker:     w.info.ID,
		Addr:       w.info.Addr,
		Spec:       r.job.def.Spec,
		LeaseEnd:   m.startLease(w),
		Token:      m.opts.Term,
		Checkpoint: r.step.checkpointOf(r.id.Index),
		Ticket:     r.ticket,
	}})
}

// checkpointOf returns the checkpoint from which a task resumes, or "" to
// start from the beginning. sendStart calls it for each start request.
func (s *step) checkpointOf(index int) string {
	if s.def.Gang {
		return s.checkpoint
	}
	return s.tasks[index].checkpoint
}

// handleStartResponse processes a StartResult: a confirmation, a refusal, or
// a failed call, which resendRequest repeats.
func (m *Machine) handleStartResponse(e StartResult) {
	w, ok := m.workers[e.Worker]
	if !ok {
		return
	}
	r, ok := w.runs[runKey{e.Task.String(), e.Run}]
	if !ok {
		return
	}
	r.isRequestInFlight = false
	// A confirmation by a former process of the worker, which may be processed after an answer
	// of the next one, says nothing about the next one, neither does its clock.
	isOfFormerProcess := e.Refusal == cell.RefusedNone && r.requestBorn != w.info.Born
	if e.Err != nil || isOfFormerProcess {
		r.mustResend = true
		// A request that was not sent cannot be carried out later.
		r.hasUnansweredStart = r.hasUnansweredStart || !errors.Is(e.Err, cell.ErrPermitExpired)
		r.nextSendAt = m.now.Mono + requestRetryInterval
		return
	}
	if e.Refusal == cell.RefusedNone {
		m.handleStartConfirmed(r, e.Clock)
		return
	}
	m.handleStartRefused(r, e.Refusal)
}

// handleStartConfirmed marks a run as running after its worker accepted the
// start request, unless an inventory has already confirmed it or it is being
// stopped. It also keeps the reading of the worker's clock.
// handleStartResponse calls it.
func (m *Machine) handleStartConfirmed(r *run, clock time.Duration) {
	w := r.worker
	if clock > 0 {
		w.clock, w.clockReadAt = max(w.clock, clock), m.now.Mono
	}
	if r.phase != phaseSent {
		return
	}
	m.markRunning(r)
}

// markRunning marks a run as confirmed by its worker: by the answer to the
// start request or by an inventory that lists the run. A job is queued until
// one of its tasks is running.
func (m *Machine) markRunning(r *run) {
	r.phase = phaseRunning
	r.isRecovered = false
	r.acknowledgedAt = m.now.Mono
	r.startedAt = m.now.Mono
	r.progressAt, r.pacedUntil = r.worker.clock, r.worker.clock
	if r.job.state == cell.StateQueued {
		r.job.state = cell.StateRunning
		m.startedJobs[r.job.def.ID] = r.job
	}
}

// handleStartRefused processes the refusal of a start request;
// handleStartResponse calls it. It closes the run, so that its task starts
// elsewhere. If an earlier start request got no answer, the run is stopped
// first, since the worker may still carry that request out. This is not
// needed if another incarnation of the worker refused: the process that may
// have received the earlier request has ended, and its runs with it.
//
// A stale token means that the worker has answered a later owner: this owner
// resigns and leaves the run as it is for that owner. If the worker refused
// the ticket (the advice service's permission to start the step there), the
// ticket is not used again. A worker that lacks capacity or health gets no
// tasks for refusalBackoff, and one that has restarted gets none until it
// answers a renewal.
func (m *Machine) handleStartRefused(r *run, refusal cell.Refusal) {
	w := r.worker
	m.logDecision(r.taskName, "start is refused", "run", r.number, "worker", w.info.ID, "reason", string(refusal))
	switch refusal {
	case cell.RefusedStaleToken:
		m.emit(Resign{Reason: "worker " + w.info.ID + " reports a higher fencing token"})
		return
	case cell.RefusedTicket:
		if r.step != nil {
			r.step.advice.expireTicket(w)
		}
	case cell.RefusedBusy, cell.RefusedCapacity:
		w.backoffUntil = m.now.Mono + refusalBackoff
	case cell.RefusedIncarnation:
		w.hasAnswered = false
		w.nextRenewalAt = m.now.Mono
	}
	if r.hasUnansweredStart && refusal != cell.RefusedIncarnation {
		m.stopWithGang(r, "start of a member was refused")
		return
	}
	m.closeRun(r, "start refused")
}

// refusalBackoff is how long a worker gets no tasks after it refused one for
// lack of capacity or health. Both change when the next run finishes there.
const refusalBackoff = 400 * time.Millisecond

// handleStopResponse processes a StopResult. It closes the run only if
// another incarnation of the worker answered; else a later inventory shows
// that the run has ended. After a stale token this owner resigns.
func (m *Machine) handleStopResponse(e StopResult) {
	w, ok := m.workers[e.Worker]
	if !ok {
		return
	}
	if e.Refusal == cell.RefusedStaleToken {
		m.emit(Resign{Reason: "worker " + w.info.ID + " reports a higher fencing token"})
		return
	}
	r, ok := w.runs[runKey{e.Task, e.Run}]
	if !ok || r.phase != phaseStopping {
		return
	}
	r.isRequestInFlight = false
	switch {
	case e.Err != nil:
		r.nextSendAt = m.now.Mono + requestRetryInterval
	case e.Refusal == cell.RefusedIncarnation:
		m.closeRun(r, "lost: worker has restarted")
	case r.requestBorn != w.info.Born:
		// A former process may have answered; the next one has to be told to stop the run too.
		r.nextSendAt = m.now.Mono
	case e.Refusal == cell.RefusedNone && !r.isStopAcknowledged:
		// The answers to repeated stop requests change nothing: a renewal sent
		// after the first answer lists the run if it exists.
		r.isStopAcknowledged = true
		r.acknowledgedAt = m.now.Mono
	}
}

// updateListedRun updates an open run from a worker's inventory that lists
// it as active: its phase, progress and checkpoint. It stops a run that its
// worker should have ended with its gang. reconcile calls it.
func (m *Machine) updateListedRun(r *run, listed cell.ActiveRun) {
	switch r.phase {
	case phaseSent, phaseRecovered, phaseRecording:
		m.markRunning(r)
	case phaseEnding:
		if m.now.Mono-r.acknowledgedAt > gangEndTimeout {
			r.phase = phaseRunning
			m.stopRun(r)
		}
	}
	if listed.Percent != r.progressPercent {
		r.progressPercent = listed.Percent
		r.progressAt = r.worker.clock
	}
	r.tailLatencyMS = listed.Metric
	m.observeWork(r)
	m.saveCheckpoint(r, listed.Checkpoint)
}

// gangEndTimeout is how long the other members of a finished gang may remain
// before they are stopped; workers normally end them at once.
const gangEndTimeout = time.Second

// saveCheckpoint keeps the latest checkpoint of a task for its next run. A
// gang has one checkpoint for all members. It runs for each open run that an
// inventory lists as active or newly finished.
func (m *Machine) saveCheckpoint(r *run, checkpoint string) {
	if checkpoint == "" || r.step == nil {
		return
	}
	if r.step.def.Gang {
		r.step.checkpoint = checkpoint
		return
	}
	r.step.tasks[r.id.Index].checkpoint = checkpoint
}
