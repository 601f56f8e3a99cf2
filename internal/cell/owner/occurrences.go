package owner

import (
	"slices"
	"strings"
	"time"

	"gypsumwinch/internal/cell"
)

// occurrence is a released occurrence of a job. It is removed from memory once it is done and
// has no open run; the job then only keeps its number.
type occurrence struct {
	job    *job
	number int
	// dueAt is when the occurrence was due, on the clock of Time.Mono.
	dueAt time.Duration
	// steps are those of its steps that exist, in the order of their creation.
	steps []*step
	// isStepDone is true for the steps that are done or have no task, by step index.
	isStepDone []bool
	// openSteps counts the others.
	openSteps int
	// blockedSteps are the steps that wait for others.
	blockedSteps []blockedStep
	// remainingEstimate is the time that the open steps need.
	remainingEstimate pathEstimate
	// hasStarted is true once a run of it was planned.
	hasStarted bool
}

// blockedStep is a step that waits for the steps on which it depends.
type blockedStep struct {
	step uint16
	// nextDependency is the first entry of DependsOn that was not done when it was last
	// checked. A done step stays done, so that each entry is passed once.
	nextDependency uint16
}

// isDone reports whether all steps of the occurrence are done.
func (o *occurrence) isDone() bool { return o.openSteps == 0 }

// openOccurrence creates an occurrence. It is called for the only occurrence of a job, for each
// one that is released and for each one with recorded progress. Its steps are created once they
// are ready or if progress of them is recorded.
func (m *Machine) openOccurrence(j *job, number int) *occurrence {
	o := &occurrence{job: j, number: number, dueAt: m.dueTime(j, number), isStepDone: make([]bool, len(j.def.Steps))}
	for i := range j.def.Steps {
		o.isStepDone[i] = j.def.Steps[i].Count == 0
		if !o.isStepDone[i] {
			o.openSteps++
		}
	}
	if o.isDone() {
		j.doneOccurrences.add(number)
	}
	j.occurrences[number] = o
	j.unstartedOccurrences++
	m.occurrenceBytes += j.occurrenceBytes
	return o
}

// dueTime returns when an occurrence was due on the clock of Time.Mono, or now if it is not due yet.
func (m *Machine) dueTime(j *job, number int) time.Duration {
	if j.def.Repeat == 0 {
		return j.submittedAt
	}
	return m.now.Mono - max(0, m.now.Wall.Sub(j.dueAt(number)))
}

// dueAt returns the time of day at which an occurrence of a repeated job is due.
func (j *job) dueAt(number int) time.Time {
	return j.def.FirstDueAt.Add(time.Duration(number) * j.def.Interval)
}

// ensureStep returns a step of the occurrence, which it creates if it does not exist yet.
func (o *occurrence) ensureStep(index int) *step {
	id := cell.StepID{Job: o.job.def.ID, Occurrence: o.number, Step: index}
	if s := o.job.steps[id]; s != nil {
		return s
	}
	def := &o.job.def.Steps[index]
	s := &step{
		id:         id,
		job:        o.job,
		occurrence: o,
		def:        def,
		tasks:      make([]task, def.Count),
	}
	o.steps = append(o.steps, s)
	o.job.steps[s.id] = s
	o.job.stepsInOrder = append(o.job.stepsInOrder, s)
	return s
}

// blockSteps lists the steps that are not done as blocked, so that queueReadySteps finds those
// that can start. It is called once for each occurrence, after its progress is restored.
func (o *occurrence) blockSteps() {
	o.blockedSteps = make([]blockedStep, 0, o.openSteps)
	for i, done := range o.isStepDone {
		if !done {
			o.blockedSteps = append(o.blockedSteps, blockedStep{step: uint16(i)})
		}
	}
}

// queueReadySteps adds the steps of an occurrence whose dependencies are done to waitingSteps.
// It runs when the occurrence is released and when a step of it is done.
func (m *Machine) queueReadySteps(o *occurrence) {
	if o.job.state.IsFinal() {
		return
	}
	blocked := o.blockedSteps[:0]
	for _, b := range o.blockedSteps {
		if o.isStepDone[b.step] {
			continue
		}
		if o.isBlocked(&b) {
			blocked = append(blocked, b)
			continue
		}
		m.queueStep(o.ensureStep(int(b.step)))
	}
	if len(blocked) == 0 {
		blocked = nil
	}
	o.blockedSteps = blocked
}

// queueStep adds a step whose dependencies are done to waitingSteps.
func (m *Machine) queueStep(s *step) {
	s.isReady = true
	s.readyAt, s.idleSince = m.now.Mono, m.now.Mono
	m.waitingSteps[s.id] = s
	m.isCycleNeeded = true
}

// isBlocked reports whether a step on which b depends is not done.
func (o *occurrence) isBlocked(b *blockedStep) bool {
	dependencies := o.job.def.Steps[b.step].DependsOn
	for int(b.nextDependency) < len(dependencies) && o.isStepDone[dependencies[b.nextDependency]] {
		b.nextDependency++
	}
	return int(b.nextDependency) < len(dependencies)
}

// markStepDone marks a step as done and the occurrence with its last one. completeTask calls it.
func (m *Machine) markStepDone(s *step) {
	o := s.occurrence
	if o.isStepDone[s.id.Step] {
		return
	}
	o.isStepDone[s.id.Step] = true
	o.openSteps--
	if o.isDone() {
		o.job.doneOccurrences.add(o.number)
	}
}

// markStarted records that a run of the occurrence was planned.
func (o *occurrence) markStarted() {
	if !o.hasStarted {
		o.hasStarted = true
		o.job.unstartedOccurrences--
	}
}

// removeIfEnded removes an occurrence of a repeated job that is done and has no open run. It runs
// when a step is done, when a run was closed and when a job is added.
func (m *Machine) removeIfEnded(o *occurrence) {
	j := o.job
	if j.def.Repeat == 0 || !o.isDone() || j.occurrences[o.number] != o {
		return
	}
	for _, s := range o.steps {
		if s.openRuns > 0 {
			return
		}
	}
	for _, s := range o.steps {
		delete(j.steps, s.id)
		delete(m.waitingSteps, s.id)
	}
	j.stepsInOrder = slices.DeleteFunc(j.stepsInOrder, func(s *step) bool { return s.occurrence == o })
	delete(j.occurrences, o.number)
	o.markStarted()
	m.occurrenceBytes -= j.occurrenceBytes
}

// restoreOccurrences opens the occurrences with recorded progress that are not done or have open
// runs. The former owner has released them, also if they are not due yet by the clock of this VM:
// their progress would be lost otherwise. addJob calls it.
func (m *Machine) restoreOccurrences(j *job, progress *cell.Progress) {
	if progress == nil {
		return
	}
	j.restoreDoneOccurrences(progress)
	for i := range progress.Steps {
		p := &progress.Steps[i]
		if p.Occurrence >= j.def.Occurrences() || p.Step >= len(j.def.Steps) {
			continue
		}
		isDone := j.doneOccurrences.has(p.Occurrence)
		if isDone && len(p.OpenRuns) == 0 {
			continue
		}
		o := j.occurrences[p.Occurrence]
		if o == nil {
			o = m.openOccurrence(j, p.Occurrence)
		}
		o.restoreStep(p, isDone)
	}
}

// restoreDoneOccurrences finds the occurrences that are done in a record: those that it sums up,
// and those of which it lists all steps as done.
func (j *job) restoreDoneOccurrences(progress *cell.Progress) {
	for k, c := range progress.DoneOccurrences {
		if c == '1' && k < j.def.Occurrences() {
			j.doneOccurrences.add(k)
		}
	}
	doneSteps := map[int]int{}
	for i := range progress.Steps {
		p := &progress.Steps[i]
		if p.Step < len(j.def.Steps) && p.Occurrence < j.def.Occurrences() && isComplete(p, j.def.Steps[p.Step].Count) {
			doneSteps[p.Occurrence]++
		}
	}
	for k, n := range doneSteps {
		if n == j.stepsWithTasks {
			j.doneOccurrences.add(k)
		}
	}
}

// isComplete reports whether the record of a step of count tasks lists all of them as done.
func isComplete(p *cell.StepProgress, count int) bool {
	return count > 0 && len(p.DoneTasks) >= count && !strings.Contains(p.DoneTasks[:count], "0")
}

// restoreStep sets the done tasks, failed runs, checkpoints and last run number of a step from
// its recorded progress.
func (o *occurrence) restoreStep(p *cell.StepProgress, isOccurrenceDone bool) {
	o.markStarted()
	s := o.ensureStep(p.Step)
	s.lastRunNumber = p.LastRun
	for i := range s.tasks {
		t := &s.tasks[i]
		t.isDone = isOccurrenceDone || i < len(p.DoneTasks) && p.DoneTasks[i] == '1'
		if t.isDone {
			s.doneTasks++
		}
		t.failedRuns = p.FailedRuns[i]
		t.checkpoint = p.Checkpoints[i]
	}
	if s.def.Gang {
		s.gangFailures = p.FailedRuns[0]
		s.lastFailedGangRun = p.LastFailedRun
		s.checkpoint = p.Checkpoints[0]
	}
	switch {
	case isOccurrenceDone:
		o.openSteps = 0
		for i := range o.isStepDone {
			o.isStepDone[i] = true
		}
	case s.doneTasks == len(s.tasks) && !o.isStepDone[p.Step]:
		o.isStepDone[p.Step] = true
		o.openSteps--
	}
}

// occurrenceSet is a set of occurrences by number.
type occurrenceSet struct {
	bits  []uint64
	count int
}

func (s *occurrenceSet) has(k int) bool {
	return k/64 < len(s.bits) && s.bits[k/64]&(1<<(k%64)) != 0
}

func (s *occurrenceSet) add(k int) {
	if s.has(k) {
		return
	}
	for k/64 >= len(s.bits) {
		s.bits = append(s.bits, 0)
	}
	s.bits[k/64] |= 1 << (k % 64)
	s.count++
}

// String returns one character for each number up to the highest one: '1' if it is in the set.
func (s *occurrenceSet) String() string {
	var b strings.Builder
	for k, left := 0, s.count; left > 0; k++ {
		if s.has(k) {
			b.WriteByte('1')
			left--
		} else {
			b.WriteByte('0')
		}
	}
	return b.String()
}
