package owner

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"gypsumwinch/internal/cell"
	"gypsumwinch/internal/cell/expect"
	"gypsumwinch/internal/cell/failurerate"
	"gypsumwinch/internal/cell/shares"
)

// job is a job that is not in a final state or still has open runs.
type job struct {
	def *cell.Job
	// account is that of the job's customer.
	account *shares.Account
	// isExcess is true for a job beyond the rate that its customer may submit.
	isExcess bool
	// queue is the job's queue as of queueConfig.
	queue       *cell.Queue
	queueConfig *cell.Config
	state       cell.State
	// recordedState is the state that the store holds.
	recordedState cell.State
	// steps holds the steps of open occurrences that are ready or have recorded progress.
	steps map[cell.StepID]*step
	// stepsInOrder lists the steps in the order of their creation.
	stepsInOrder []*step
	// occurrences are the open ones by number, doneOccurrences those that are done.
	occurrences     map[int]*occurrence
	doneOccurrences occurrenceSet
	// nextOccurrence is the lowest one that may still have to be released, lastReleaseAt when
	// one was released last.
	nextOccurrence int
	lastReleaseAt  time.Duration
	// unstartedOccurrences counts the open ones of which no run was planned yet.
	unstartedOccurrences int
	// occurrenceBytes is what an open occurrence takes in memory.
	occurrenceBytes int64
	// tasksPerOccurrence is the number of tasks of all steps, stepsWithTasks that of the steps
	// that have any.
	tasksPerOccurrence, stepsWithTasks int
	submittedAt                        time.Duration
	// objectiveEstimate is the job's objective.
	objectiveEstimate pathEstimate
	// estimateInterval is how often estimates that go through the whole job are computed.
	estimateInterval time.Duration
	// expectations has the predicted run time of each step; see learnedRunTime.
	expectations []expectation
	finishedAt   time.Time
	// hasLongRecord is true once the record of the job was too long for the store.
	hasLongRecord bool
	// openRuns counts the runs that are not closed.
	openRuns int
	// runsWithoutStep are those of them that have no step; see run.step.
	runsWithoutStep []*run
}

// step is one step of one occurrence.
type step struct {
	id  cell.StepID
	job *job
	// occurrence is the one that the step belongs to.
	occurrence *occurrence
	def        *cell.Step
	tasks      []task
	doneTasks  int
	// lastRunNumber is the highest number of a run of the step.
	lastRunNumber int
	// gangFailures counts the failed runs of a gang.
	gangFailures      int
	lastFailedGangRun int
	checkpoint        string
	// isReady is true once all steps that this one depends on are done.
	isReady bool
	readyAt time.Duration
	// openRuns counts the runs that are not closed.
	openRuns int
	advice   adviceState
	// failedAtByWorker is when a run of the step last failed, by worker id.
	failedAtByWorker map[string]time.Duration
	// idleSince is when the step became ready or the last run of it that had started was closed.
	idleSince time.Duration
	// speedPreference is which workers the step prefers in the present scheduling cycle.
	speedPreference speedPreference
	// siblings has the finished runs of the step whose workers are not compared yet.
	siblings  *expect.Siblings
	quotaWait quotaWait
	// acceptsAllWorkers is true while the step avoids no worker; placeStep sets it, for a
	// long-running step before it places each task.
	acceptsAllWorkers bool
	// waitingSince is since when the task of a long-running step that is to be placed has had no
	// run; placeStep sets it.
	waitingSince time.Duration
	// outcomes are those of the finished runs of the step.
	outcomes failurerate.Outcomes
}

// task is one task of a step.
type task struct {
	isDone     bool
	failedRuns int
	// run is the open run, if any.
	run        *run
	checkpoint string
	// notBefore delays the restart of a long-running task.
	notBefore time.Duration
	// idleSince is when the last run that had started was closed, or 0.
	idleSince time.Duration
}

// currentQueue returns a job's queue as configured now, or as it was at
// submission if the configuration no longer has it. Scheduling cycles and
// the handlers of failed runs and advice call it; the result is cached until
// the next ConfigChanged.
func (m *Machine) currentQueue(j *job) *cell.Queue {
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

// addJob adds a submitted job with its recorded progress. It runs for each
// JobSubmitted: when a new owner takes over the unfinished jobs, and later
// for each new submission. It ignores a job that is already known. A job
// with a final state is added only to stop the runs that are still open.
func (m *Machine) addJob(e JobSubmitted) {
	if _, known := m.jobs[e.Job.ID]; known {
		return
	}
	j := m.newJobState(e)
	m.jobs[e.Job.ID] = j
	m.contention.uncountedJobs = append(m.contention.uncountedJobs, j)
	if j.state.IsFinal() {
		m.recoverRuns(j, e.Progress)
		m.removeIfFinished(j)
		return
	}
	m.restoreOccurrences(j, e.Progress)
	if e.Job.Repeat > 0 {
		m.recurringJobs[e.Job.ID] = j
	} else if len(j.occurrences) == 0 && j.doneOccurrences.count == 0 {
		m.openOccurrence(j, 0)
	}
	for _, o := range j.occurrences {
		o.blockSteps()
	}
	m.recoverRuns(j, e.Progress)
	for _, o := range j.occurrencesInOrder() {
		m.queueReadySteps(o)
		m.removeIfEnded(o)
	}
	if j.def.Repeat > 0 {
		m.releaseOccurrences(j)
	}
	m.completeIfDone(j)
	m.isCycleNeeded = true
}

// newJobState returns the state of a submitted job without occurrences. addJob calls it.
func (m *Machine) newJobState(e JobSubmitted) *job {
	j := &job{
		def:              e.Job,
		account:          m.ledger.Account(e.Job.Customer),
		state:            cell.StateQueued,
		recordedState:    cell.StateQueued,
		steps:            map[cell.StepID]*step{},
		occurrences:      map[int]*occurrence{},
		occurrenceBytes:  estimateOccurrenceBytes(e.Job),
		estimateInterval: estimateIntervalOf(e.Job),
		submittedAt:      m.now.Mono - max(0, min(m.now.Wall.Sub(e.Job.AcceptedAt), time.Minute)),
	}
	if e.Progress != nil {
		j.state, j.recordedState = e.Progress.State, e.Progress.State
	}
	for i := range e.Job.Steps {
		if n := e.Job.Steps[i].Count; n > 0 {
			j.tasksPerOccurrence += n
			j.stepsWithTasks++
		}
	}
	return j
}

// occurrencesInOrder returns the open occurrences in the order of their numbers.
func (j *job) occurrencesInOrder() []*occurrence {
	return slices.SortedFunc(maps.Values(j.occurrences), func(a, b *occurrence) int { return cmp.Compare(a.number, b.number) })
}

// recoverRuns restores the runs that were open when the former owner
// stopped. addJob calls it for each job; a new submission has no such runs.
func (m *Machine) recoverRuns(j *job, progress *cell.Progress) {
	if progress == nil {
		return
	}
	for _, p := range progress.Steps {
		s := j.steps[cell.StepID{Job: j.def.ID, Occurrence: p.Occurrence, Step: p.Step}]
		for _, o := range p.OpenRuns {
			m.recoverRun(j, s, p, o)
		}
		if s != nil && s.def.Gang && s.openRuns > 0 && s.openRuns < len(s.tasks)-s.doneTasks {
			// The former owner had closed the runs of some members; the others
			// cannot make progress without them.
			m.stopGang(s, "members are missing")
		}
	}
}

// recoverRun opens one recorded run again in phaseRecovered, until its
// worker lists it or turns out not to have it. It stops the run at once if
// the job has a final state or no longer has the step. recoverRuns calls it
// for each recorded open run.
func (m *Machine) recoverRun(j *job, s *step, p cell.StepProgress, open cell.OpenRun) {
	if p.Step >= len(j.def.Steps) {
		return
	}
	if s != nil && open.Index >= len(s.tasks) {
		s = nil
	}
	w := m.workerOrPlaceholder(open)
	r := &run{
		id:              cell.TaskID{StepID: cell.StepID{Job: j.def.ID, Occurrence: p.Occurrence, Step: p.Step}, Index: open.Index},
		number:          open.Run,
		job:             j,
		step:            s,
		worker:          w,
		allocated:       j.def.Steps[p.Step].Charge(),
		phase:           phaseRecovered,
		workerStartedAt: open.Born,
	}
	if _, known := w.runs[runKey{r.id.String(), r.number}]; known {
		return
	}
	if s != nil && s.tasks[open.Index].run == nil {
		s.tasks[open.Index].run = r
	}
	m.openRun(r)
	if j.state.IsFinal() || s == nil {
		m.stopRun(r)
	}
}

// cancelJob cancels a job on request of its caller. It runs for each
// JobCancelled and ignores a job that is unknown or has a final state.
func (m *Machine) cancelJob(id cell.JobID) {
	j, ok := m.jobs[id]
	if !ok || j.state.IsFinal() {
		return
	}
	m.logDecision(string(id), "job is cancelled", "open_runs", j.openRuns)
	m.finishJob(j, cell.StateCancelled)
}

// finishJob sets the final state of a job and stops its runs. It runs when a
// job is cancelled, completed or failed. The job is removed later, by
// removeIfFinished.
func (m *Machine) finishJob(j *job, state cell.State) {
	j.state = state
	j.finishedAt = m.now.Wall
	m.markDirty(j)
	delete(m.recurringJobs, j.def.ID)
	for _, s := range j.stepsInOrder {
		delete(m.waitingSteps, s.id)
		for i := range s.tasks {
			if r := s.tasks[i].run; r != nil {
				m.stopRun(r)
			}
		}
	}
	m.isCycleNeeded = true
}

// completeIfDone completes a job once all its occurrences are done. It runs
// when an occurrence is done and when a job is added.
func (m *Machine) completeIfDone(j *job) {
	if j.state.IsFinal() || j.doneOccurrences.count < j.def.Occurrences() {
		return
	}
	m.logDecision(string(j.def.ID), "job is completed", "queue", j.def.Queue.Name,
		"after_ms", (m.now.Mono - j.submittedAt).Milliseconds())
	m.finishJob(j, cell.StateCompleted)
}

// removeIfFinished removes a job whose final state is recorded and that has
// no open run. It runs whenever one of these may have become true: after a
// batch was stored, after a run was closed and when a job is added.
func (m *Machine) removeIfFinished(j *job) {
	if !j.state.IsFinal() || j.recordedState != j.state || j.openRuns > 0 {
		return
	}
	if _, dirty := m.dirtyJobs[j.def.ID]; dirty {
		return
	}
	delete(m.jobs, j.def.ID)
	m.occurrenceBytes -= int64(len(j.occurrences)) * j.occurrenceBytes
	m.emit(JobFinished{Job: j.def.ID})
}
