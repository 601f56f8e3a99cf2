package owner

import (
	"strings"
	"time"

	"gypsumwinch/internal/cell"
)

// job is a job that is not over, or whose runs are not.
type job struct {
	def *cell.Job
	// queue is the job's queue in queueConfig.
	queue       *cell.Queue
	queueConfig *cell.Config
	state       cell.State
	// visible is the state that is in the store.
	visible cell.State
	// steps holds the steps of released occurrences that are not done.
	steps map[cell.StepID]*step
	// order lists them in the order of their release.
	order []*step
	// released counts the occurrences whose steps exist.
	released int
	// open counts the occurrences that are released and not done.
	open      int
	submitted time.Duration
	finished  time.Time
	// openRuns counts runs that are not closed.
	openRuns int
}

// step is one step of one occurrence.
type step struct {
	id   cell.StepID
	job  *job
	def  *cell.Step
	task []task
	done int
	// lastRun is the highest number of a run of the step.
	lastRun int
	// gangFailures counts the failed runs of a gang.
	gangFailures int
	gangCountRun int
	checkpoint   string
	// ready since all steps it depends on are done.
	ready   bool
	readyAt time.Duration
	// active counts runs that are not closed.
	active int
	advice adviceState
	// avoid is when a run of the step last failed on a worker.
	avoid map[string]time.Duration
}

// task is one task of a step.
type task struct {
	done   bool
	failed int
	// run is the open run, if any.
	run        *run
	checkpoint string
	// notBefore delays the restart of a task that lasts.
	notBefore time.Duration
}

// queueStats are what the owner learned about a queue.
type queueStats struct {
	// eligible is the learned share of workers that may run a step.
	eligible float64
	// runTime is the learned run time of a task.
	runTime time.Duration
}

const (
	// firstEligible is the share of eligible workers assumed before any answer.
	firstEligible = 0.5
	// learnRate is the weight of a new observation.
	learnRate = 0.1
)

func (m *Machine) stats(queue string) *queueStats {
	q, ok := m.queues[queue]
	if !ok {
		q = &queueStats{eligible: firstEligible}
		m.queues[queue] = q
	}
	return q
}

// queue returns a job's queue as configured now, or as it was at submission.
func (m *Machine) queue(j *job) *cell.Queue {
	if j.queueConfig == m.config && j.queue != nil {
		return j.queue
	}
	j.queueConfig = m.config
	j.queue = &j.def.Queue
	if m.config == nil {
		return j.queue
	}
	if q := m.config.QueueByName(j.def.Queue.Name); q != nil {
		j.queue = q
	}
	return j.queue
}

// submit takes a job over. A job that is known already stays as it is.
func (m *Machine) submit(e JobSubmitted) {
	if _, known := m.jobs[e.Job.ID]; known {
		return
	}
	j := &job{
		def:       e.Job,
		state:     cell.StateQueued,
		visible:   cell.StateQueued,
		steps:     map[cell.StepID]*step{},
		submitted: m.now.Mono - max(0, min(m.now.Wall.Sub(e.Job.AcceptedAt), time.Minute)),
	}
	if e.Progress != nil {
		j.state, j.visible = e.Progress.State, e.Progress.State
	}
	m.jobs[e.Job.ID] = j
	if j.state.IsFinal() {
		m.inheritRuns(j, e.Progress)
		m.dropIfOver(j)
		return
	}
	if e.Job.Repeat > 0 {
		m.due[e.Job.ID] = j
	}
	m.release(j, e.Progress)
	m.inheritRuns(j, e.Progress)
	m.updateReady(j)
	m.checkCompleted(j)
	m.needPass = true
}

// release creates the steps of every occurrence that is due.
func (m *Machine) release(j *job, progress *cell.Progress) {
	for j.released < j.def.Occurrences() && m.isDue(j, j.released) {
		m.releaseOccurrence(j, j.released, progress)
		j.released++
	}
	if j.released == j.def.Occurrences() {
		delete(m.due, j.def.ID)
	}
}

// isDue reports whether an occurrence may start.
func (m *Machine) isDue(j *job, occurrence int) bool {
	if j.def.Repeat == 0 {
		return true
	}
	at := j.def.FirstDueAt.Add(time.Duration(occurrence) * j.def.Interval)
	return !m.now.Wall.Before(at)
}

func (m *Machine) releaseOccurrence(j *job, occurrence int, progress *cell.Progress) {
	open := false
	for i := range j.def.Steps {
		s := &step{
			id:   cell.StepID{Job: j.def.ID, Occurrence: occurrence, Step: i},
			job:  j,
			def:  &j.def.Steps[i],
			task: make([]task, j.def.Steps[i].Count),
		}
		restoreStep(s, progress)
		j.steps[s.id] = s
		j.order = append(j.order, s)
		if s.done < len(s.task) {
			open = true
		}
	}
	if open {
		j.open++
	}
}

// restoreStep sets a step to what is recorded of it.
func restoreStep(s *step, progress *cell.Progress) {
	if progress == nil {
		return
	}
	for _, p := range progress.Steps {
		if p.Occurrence != s.id.Occurrence || p.Step != s.id.Step {
			continue
		}
		s.lastRun = p.LastRun
		for i := range s.task {
			if i < len(p.DoneTasks) && p.DoneTasks[i] == '1' {
				s.task[i].done = true
				s.done++
			}
			s.task[i].failed = p.FailedRuns[i]
		}
		if s.def.Gang {
			s.gangFailures = p.FailedRuns[0]
		}
	}
}

// inheritRuns takes over the runs that were open when the former owner ended.
func (m *Machine) inheritRuns(j *job, progress *cell.Progress) {
	if progress == nil {
		return
	}
	for _, p := range progress.Steps {
		s := j.steps[cell.StepID{Job: j.def.ID, Occurrence: p.Occurrence, Step: p.Step}]
		for _, o := range p.OpenRuns {
			m.inheritRun(j, s, p, o)
		}
		if s != nil && s.def.Gang && s.active > 0 && s.active < len(s.task)-s.done {
			// The former owner had ended some members; the others cannot work.
			m.stopGang(s, "members are missing")
		}
	}
}

func (m *Machine) inheritRun(j *job, s *step, p cell.StepProgress, o cell.OpenRun) {
	if p.Step >= len(j.def.Steps) {
		return
	}
	w := m.workerOrPlaceholder(o.Worker, o.Born)
	r := &run{
		id:     cell.TaskID{StepID: cell.StepID{Job: j.def.ID, Occurrence: p.Occurrence, Step: p.Step}, Index: o.Index},
		number: o.Run,
		job:    j,
		step:   s,
		worker: w,
		charge: j.def.Steps[p.Step].Charge(),
		phase:  phaseInherited,
		born:   o.Born,
	}
	if s != nil && o.Index < len(s.task) && s.task[o.Index].run == nil {
		s.task[o.Index].run = r
	}
	m.openRun(r)
	if j.state.IsFinal() || s == nil {
		m.stopRun(r)
	}
}

// releaseDue releases occurrences whose time has come.
func (m *Machine) releaseDue() {
	for _, j := range m.due {
		before := j.released
		m.release(j, nil)
		if j.released > before {
			m.updateReady(j)
			m.needPass = true
		}
	}
}

// updateReady puts steps whose dependencies are done on the waiting list.
func (m *Machine) updateReady(j *job) {
	if j.state.IsFinal() {
		return
	}
	for _, s := range j.order {
		if s.done == len(s.task) || s.ready {
			continue
		}
		if !m.dependenciesDone(s) {
			continue
		}
		s.ready = true
		s.readyAt = m.now.Mono
		m.waiting[s.id] = s
		m.needPass = true
	}
}

func (m *Machine) dependenciesDone(s *step) bool {
	for _, d := range s.def.DependsOn {
		before := s.job.steps[cell.StepID{Job: s.id.Job, Occurrence: s.id.Occurrence, Step: d}]
		if before == nil || before.done < len(before.task) {
			return false
		}
	}
	return true
}

// cancel ends a job at its caller's wish.
func (m *Machine) cancel(id cell.JobID) {
	j, ok := m.jobs[id]
	if !ok || j.state.IsFinal() {
		return
	}
	m.decide(string(id), "job is cancelled", "open_runs", j.openRuns)
	m.finish(j, cell.StateCancelled)
}

// finish ends a job and stops what still runs of it.
func (m *Machine) finish(j *job, state cell.State) {
	j.state = state
	j.finished = m.now.Wall
	m.markDirty(j)
	delete(m.due, j.def.ID)
	for _, s := range j.order {
		delete(m.waiting, s.id)
		for i := range s.task {
			if r := s.task[i].run; r != nil {
				m.stopRun(r)
			}
		}
	}
	m.needPass = true
}

// checkCompleted ends a job whose occurrences are all done.
func (m *Machine) checkCompleted(j *job) {
	if j.state.IsFinal() || j.released < j.def.Occurrences() || j.open > 0 {
		return
	}
	m.decide(string(j.def.ID), "job is completed", "queue", j.def.Queue.Name,
		"after_ms", (m.now.Mono - j.submitted).Milliseconds())
	m.finish(j, cell.StateCompleted)
}

// dropIfOver forgets a job that is over, recorded and has no open run.
func (m *Machine) dropIfOver(j *job) {
	if !j.state.IsFinal() || j.visible != j.state || j.openRuns > 0 {
		return
	}
	if _, dirty := m.dirty[j.def.ID]; dirty {
		return
	}
	delete(m.jobs, j.def.ID)
	m.emit(JobFinished{Job: j.def.ID})
}

// progress returns what is to be recorded of a job.
func (j *job) progress() *cell.Progress {
	p := &cell.Progress{State: j.state}
	if j.state.IsFinal() {
		p.FinishedAt = j.finished.Unix()
	}
	for _, s := range j.order {
		if sp, any := s.progress(j.state.IsFinal()); any {
			p.Steps = append(p.Steps, sp)
		}
	}
	return p
}

// progress returns what is to be recorded of a step; any is false if there is
// nothing. Of a job that is over only open runs matter.
func (s *step) progress(final bool) (p cell.StepProgress, any bool) {
	p = cell.StepProgress{Occurrence: s.id.Occurrence, Step: s.id.Step, LastRun: s.lastRun}
	for i := range s.task {
		t := &s.task[i]
		if r := t.run; r != nil {
			p.OpenRuns = append(p.OpenRuns, cell.OpenRun{Index: i, Run: r.number, Worker: r.worker.info.ID, Born: r.born})
		}
		if t.failed > 0 && !final && !s.def.Gang {
			p.SetFailedRuns(i, t.failed)
		}
	}
	if final {
		return p, len(p.OpenRuns) > 0
	}
	if s.def.Gang && s.gangFailures > 0 {
		p.SetFailedRuns(0, s.gangFailures)
	}
	if s.done > 0 {
		p.DoneTasks = s.doneString()
	}
	return p, s.lastRun > 0 || s.done > 0
}

// doneString has one character for each task, '1' for those that are done.
func (s *step) doneString() string {
	var b strings.Builder
	for i := range s.task {
		if s.task[i].done {
			b.WriteByte('1')
		} else {
			b.WriteByte('0')
		}
	}
	return b.String()
}
