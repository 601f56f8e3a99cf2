package owner

import (
	"time"

	"gypsumwinch/internal/cell"
	"gypsumwinch/internal/structs"
)

// phase is how far a run is.
type phase int

const (
	// phasePlanned: room is reserved, nothing is recorded.
	phasePlanned phase = iota
	// phaseRecording: the record of the start is on its way to the store.
	phaseRecording
	// phaseSent: the order was sent and is not answered.
	phaseSent
	// phaseRunning: the worker confirmed the start.
	phaseRunning
	// phaseStopping: the run is to end.
	phaseStopping
	// phaseEnding: another member's end was the end of this run, too.
	phaseEnding
	// phaseInherited: a former owner recorded the start.
	phaseInherited
)

// run is a run that may be on its worker.
type run struct {
	id     cell.TaskID
	name   string
	number int
	job    *job
	// step is nil if the step is not held any more.
	step   *step
	worker *worker
	born   int64
	charge structs.Resources
	phase  phase
	ticket string

	inFlight bool
	// unanswered is true once an order to start was left without an answer: it
	// may be carried out later.
	unanswered bool
	inherited  bool
	firstSent  time.Duration
	nextSend   time.Duration
	// settledAt is when the order that decides the run's fate was answered;
	// a renewal sent later lists the run if it is there.
	settledAt time.Duration
	settled   bool
	startedAt time.Duration

	// pace is the share of its speed at which the run works, in percent; -1 if a
	// former owner may have set it.
	pace   int
	pacing bool
	// figure is the tail in ms of a serving task.
	figure float64

	percent   int
	percentAt time.Duration
}

// openRun reserves a run's room.
func (m *Machine) openRun(r *run) {
	r.name = r.id.String()
	r.inherited = r.phase == phaseInherited
	r.pace = fullPace
	if r.inherited {
		r.pace = -1
	}
	r.percentAt = m.now.Mono
	r.worker.addRun(r)
	r.worker.used = r.worker.used.Add(r.charge)
	r.job.openRuns++
	if r.step != nil {
		r.step.active++
	}
}

// closeRun ends a run that is certainly not on its worker any more.
func (m *Machine) closeRun(r *run, reason string) {
	w := r.worker
	key := runKey{r.name, r.number}
	if w.runs[key] != r {
		return
	}
	w.removeRun(r)
	w.used = w.used.Sub(r.charge)
	r.job.openRuns--
	m.markDirty(r.job)
	m.needPass = true
	if s := r.step; s != nil {
		s.active--
		if s.task[r.id.Index].run == r {
			s.task[r.id.Index].run = nil
		}
		if s.def.Gang && s.done < len(s.task) {
			m.stopGang(s, "member "+reason)
		}
		if s.ready && s.done < len(s.task) && !s.job.state.IsFinal() {
			m.waiting[s.id] = s
		}
	}
	m.dropIfOver(r.job)
}

// stopGang ends all runs of a gang, so that it can start again as a whole.
func (m *Machine) stopGang(s *step, reason string) {
	for i := range s.task {
		if r := s.task[i].run; r != nil && r.phase != phaseStopping {
			m.decide(r.name, "gang member is stopped", "run", r.number, "worker", r.worker.info.ID, "reason", reason)
			m.stopRun(r)
		}
	}
}

// stopRun makes a run end. One whose order was not sent ends at once.
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
	r.settled = false
	r.nextSend = m.now.Mono
	m.tickRun(r)
}

// mustBeListed reports whether an inventory whose question was sent at a time
// lists the run if it is on its worker.
func (r *run) mustBeListed(sent time.Duration) bool {
	switch r.phase {
	case phaseInherited:
		return true
	case phaseRunning, phaseEnding:
		return sent > r.settledAt
	case phaseStopping:
		return r.inherited || r.settled && sent > r.settledAt
	default:
		return false
	}
}

// sendRecorded sends the orders whose records are stored.
func (m *Machine) sendRecorded(runs []*run) {
	var broken []*step
	for _, r := range runs {
		if r.phase != phaseRecording {
			continue
		}
		if !m.usable(r.worker) || r.worker.info.Born != r.born {
			m.decide(r.name, "start is not sent", "run", r.number, "worker", r.worker.info.ID, "reason", "worker is not usable")
			broken = append(broken, r.step)
			r.phase = phasePlanned
			m.closeRun(r, "worker not usable")
			continue
		}
		r.phase = phaseSent
		r.firstSent = m.now.Mono
		m.sendStart(r)
	}
	for _, s := range broken {
		if s != nil && s.def.Gang {
			m.stopGang(s, "a member was not sent")
		}
	}
}

// sendStart sends the order to start a run, again if need be.
func (m *Machine) sendStart(r *run) {
	w := r.worker
	r.inFlight = true
	m.emit(SendStart{Start: cell.Start{
		Task:       r.id,
		Run:        r.number,
		Worker:     w.info.ID,
		Addr:       w.info.Addr,
		Spec:       r.job.def.Spec,
		LeaseEnd:   m.extendLease(w),
		Token:      m.opts.Term,
		Checkpoint: r.step.checkpointOf(r.id.Index),
		Ticket:     r.ticket,
	}})
}

// checkpointOf returns the checkpoint from which a task goes on.
func (s *step) checkpointOf(index int) string {
	if s.def.Gang {
		return s.checkpoint
	}
	return s.task[index].checkpoint
}

// tickRun sends again what was left without an answer.
func (m *Machine) tickRun(r *run) {
	if r.inFlight || m.now.Mono < r.nextSend || r.worker.info.Addr == "" {
		return
	}
	switch r.phase {
	case phaseSent:
		if r.step.def.Gang && m.now.Mono-r.firstSent > m.opts.GangTimeout/2 {
			m.stopGang(r.step, "a member did not start in time")
			return
		}
		if r.unanswered {
			m.sendStart(r)
		}
	case phaseStopping:
		r.inFlight = true
		r.nextSend = m.now.Mono + stopRetry
		m.emit(SendStop{Stop: cell.Stop{Task: r.name, Run: r.number, Worker: r.worker.info.ID, Addr: r.worker.info.Addr, Token: m.opts.Term}})
	}
}

// startAnswered processes the answer to an order to start a run.
func (m *Machine) startAnswered(e StartResult) {
	w, ok := m.workers[e.Worker]
	if !ok {
		return
	}
	r, ok := w.runs[runKey{e.Task.String(), e.Run}]
	if !ok {
		return
	}
	r.inFlight = false
	if e.Err != nil {
		r.unanswered = true
		r.nextSend = m.now.Mono + resendAfter
		return
	}
	if e.Refusal == cell.RefusedNone {
		m.startConfirmed(r, e.Clock)
		return
	}
	m.startRefused(r, e.Refusal)
}

func (m *Machine) startConfirmed(r *run, clock time.Duration) {
	w := r.worker
	if clock > 0 {
		w.clock, w.clockAt = max(w.clock, clock), m.now.Mono
	}
	if r.phase != phaseSent {
		return
	}
	m.running(r)
}

// running notes that a run is on its worker. A job counts as waiting until one
// of its tasks has started.
func (m *Machine) running(r *run) {
	r.phase = phaseRunning
	r.inherited = false
	r.settledAt = m.now.Mono
	r.startedAt = m.now.Mono
	r.percentAt = m.now.Mono
	if r.job.state == cell.StateQueued {
		r.job.state = cell.StateRunning
		m.begun[r.job.def.ID] = r.job
	}
}

// startRefused puts the task back. A run of which an earlier order was left
// without an answer is stopped first, since that order may still be carried out.
func (m *Machine) startRefused(r *run, refused cell.Refusal) {
	w := r.worker
	m.decide(r.name, "start is refused", "run", r.number, "worker", w.info.ID, "reason", string(refused))
	switch refused {
	case cell.RefusedStaleToken:
		m.emit(Resign{Reason: "worker " + w.info.ID + " knows a higher token"})
		return
	case cell.RefusedTicket:
		if r.step != nil {
			r.step.advice.drop(w)
		}
	case cell.RefusedBusy, cell.RefusedCapacity:
		w.avoidUntil = m.now.Mono + refusedPause
	case cell.RefusedIncarnation:
		w.known = false
		w.renewAt = m.now.Mono
	}
	if r.unanswered && refused != cell.RefusedIncarnation {
		m.stopRun(r)
		return
	}
	m.closeRun(r, "start refused")
}

// refusedPause keeps tasks away from a worker that refused one for want of room
// or health; both change with the next end there.
const refusedPause = 400 * time.Millisecond

// stopAnswered processes the answer to an order to stop a run.
func (m *Machine) stopAnswered(e StopResult) {
	w, ok := m.workers[e.Worker]
	if !ok {
		return
	}
	if e.Refusal == cell.RefusedStaleToken {
		m.emit(Resign{Reason: "worker " + w.info.ID + " knows a higher token"})
		return
	}
	r, ok := w.runs[runKey{e.Task, e.Run}]
	if !ok || r.phase != phaseStopping {
		return
	}
	r.inFlight = false
	switch {
	case e.Err != nil:
		r.nextSend = m.now.Mono + resendAfter
	case e.Refusal == cell.RefusedIncarnation:
		m.closeRun(r, "worker started anew")
	case e.Refusal == cell.RefusedNone && !r.settled:
		// Later answers to repeated stops change nothing: a renewal sent after
		// the first one lists the run if it is there.
		r.settled = true
		r.settledAt = m.now.Mono
	}
}

// runListed takes over what a worker says of a run.
func (m *Machine) runListed(r *run, row cell.ActiveRun) {
	switch r.phase {
	case phaseSent, phaseInherited, phaseRecording:
		m.running(r)
	case phaseEnding:
		if m.now.Mono-r.settledAt > endPatience {
			r.phase = phaseRunning
			m.stopRun(r)
		}
	}
	if row.Percent != r.percent {
		r.percent = row.Percent
		r.percentAt = m.now.Mono
	}
	r.figure = row.Metric
	m.keepCheckpoint(r, row.Checkpoint)
}

// endPatience is how long a member of an ended gang may go on before it is
// stopped; workers end the others at once.
const endPatience = time.Second

// keepCheckpoint keeps a newer checkpoint. A gang has one for all members.
func (m *Machine) keepCheckpoint(r *run, checkpoint string) {
	if checkpoint == "" || r.step == nil {
		return
	}
	if r.step.def.Gang {
		r.step.checkpoint = checkpoint
		return
	}
	r.step.task[r.id.Index].checkpoint = checkpoint
}
