package owner

import (
	"strings"

	"gypsumwinch/internal/cell"
)

// encodeProgress returns the value of the job's progress record. Once it would be too long
// for the store, it is compressed: the store would refuse the batches of all jobs with it. TakeBatch calls it for each job that has changed.
func (j *job) encodeProgress() ([]byte, error) {
	p := j.progress()
	if !j.hasLongRecord {
		value, err := cell.EncodeProgress(p)
		if err != nil || 1+len(cell.ProgressKey(j.def.ID))+len(value) <= cell.MaxRecordBytes {
			return value, err
		}
		j.hasLongRecord = true
	}
	return cell.EncodeLongProgress(p)
}

// progress builds the progress record of the job. encodeProgress calls it.
func (j *job) progress() *cell.Progress {
	p := &cell.Progress{State: j.state}
	if j.state.IsFinal() {
		p.FinishedAt = j.finishedAt.Unix()
	} else if j.def.Repeat > 0 {
		p.DoneOccurrences = j.doneOccurrences.String()
	}
	for _, s := range j.stepsInOrder {
		if j.def.Repeat > 0 && s.occurrence.isDone() && s.openRuns == 0 {
			continue
		}
		if sp, ok := s.progress(j.state.IsFinal()); ok {
			p.Steps = append(p.Steps, sp)
		}
	}
	if j.state.IsFinal() {
		for _, r := range j.runsWithoutStep {
			p.Steps = append(p.Steps, cell.StepProgress{Occurrence: r.id.Occurrence, Step: r.id.Step, LastRun: r.number, OpenRuns: []cell.OpenRun{r.record()}})
		}
	}
	return p
}

// progress builds the part of the job's progress record that is about the
// step; ok is false if there is nothing to record. After the job's final
// state only open runs are recorded. job.progress calls it for each step.
func (s *step) progress(final bool) (p cell.StepProgress, ok bool) {
	p = cell.StepProgress{Occurrence: s.id.Occurrence, Step: s.id.Step, LastRun: s.lastRunNumber}
	for i := range s.tasks {
		t := &s.tasks[i]
		if r := t.run; r != nil {
			p.OpenRuns = append(p.OpenRuns, r.record())
		}
		if t.failedRuns > 0 && !final && !s.def.Gang {
			p.SetFailedRuns(i, t.failedRuns)
		}
		if t.run == nil && !t.isDone && !final && !s.def.Gang {
			p.SetCheckpoint(i, t.checkpoint)
		}
	}
	if final {
		return p, len(p.OpenRuns) > 0
	}
	if s.def.Gang && s.gangFailures > 0 {
		p.SetFailedRuns(0, s.gangFailures)
		p.LastFailedRun = s.lastFailedGangRun
	}
	if s.def.Gang && s.doneTasks == 0 {
		p.SetCheckpoint(0, s.checkpoint)
	}
	if s.doneTasks > 0 {
		p.DoneTasks = s.doneBits()
	}
	return p, s.lastRunNumber > 0 || s.doneTasks > 0
}

// record returns what the progress record of the job says about an open run.
func (r *run) record() cell.OpenRun {
	return cell.OpenRun{Index: r.id.Index, Run: r.number, Worker: r.worker.info.ID, Born: r.workerStartedAt, Addr: r.worker.info.Addr}
}

// doneBits returns one character per task for the progress record: '1' if
// the task is done, else '0'.
func (s *step) doneBits() string {
	var b strings.Builder
	for i := range s.tasks {
		if s.tasks[i].isDone {
			b.WriteByte('1')
		} else {
			b.WriteByte('0')
		}
	}
	return b.String()
}
