package owner

import (
	"maps"
	"slices"

	"github.com/rotisserie/eris"

	"gypsumwinch/internal/cell"
)

// batch is a set of records that is being written to the store.
type batch struct {
	states map[cell.JobID]cell.State
	// plannedRuns are the runs to start once the batch is stored.
	plannedRuns []*run
	// cursors are the finished runs that workers may drop once the batch is
	// stored.
	cursors []workerCursor
}

// workerCursor is a cursor into the finished runs of one incarnation of a
// worker.
type workerCursor struct {
	worker      *worker
	incarnation int
	cursor      int64
}

func (m *Machine) markDirty(j *job) {
	m.dirtyJobs[j.def.ID] = j
}

// maxBatchBytes is the size from which a batch takes no more records. The store
// accepts 2 MB in one append, and a record may have 256 KB.
const maxBatchBytes = 1 << 20

// TakeBatch returns the progress records of the jobs that have changed since
// the last batch, up to maxBatchBytes, with the number of the batch, or none.
// Package node calls it after the events at hand are applied, while no other
// batch is being stored. After storing the records the caller applies
// BatchStored with number. Only then are the planned runs of the batch sent to
// their workers. The cursors that workers receive then include the finished runs
// whose consequences are stored, so that workers may drop them; a batch that
// does not hold all changes leaves the cursors as they are.
func (m *Machine) TakeBatch() (records []cell.KeyValue, number int, err error) {
	if len(m.dirtyJobs) == 0 {
		return nil, 0, nil
	}
	b := &batch{states: make(map[cell.JobID]cell.State, len(m.dirtyJobs))}
	size := 0
	for _, id := range slices.Sorted(maps.Keys(m.dirtyJobs)) {
		if size >= maxBatchBytes {
			break
		}
		j := m.dirtyJobs[id]
		delete(m.dirtyJobs, id)
		value, err := j.encodeProgress()
		if err != nil {
			return nil, 0, eris.Wrapf(err, "job %s", id)
		}
		size += len(value)
		records = append(records, cell.KeyValue{Key: cell.ProgressKey(id), Value: value})
		b.states[id] = j.state
		b.plannedRuns = append(b.plannedRuns, j.takePlannedRuns()...)
	}
	for _, w := range m.sortedWorkers {
		if len(m.dirtyJobs) == 0 && w.processedCursor > w.recordedCursor {
			b.cursors = append(b.cursors, workerCursor{worker: w, incarnation: w.incarnation, cursor: w.processedCursor})
		}
	}
	m.lastBatch++
	m.pendingBatches[m.lastBatch] = b
	return records, m.lastBatch, nil
}

// takePlannedRuns returns the runs of a job whose start is not recorded yet
// and moves them to phaseRecording. TakeBatch calls it for each job of the
// batch.
func (j *job) takePlannedRuns() []*run {
	var out []*run
	for _, s := range j.stepsInOrder {
		for i := range s.tasks {
			r := s.tasks[i].run
			if r != nil && r.phase == phasePlanned {
				r.phase = phaseRecording
				out = append(out, r)
			}
		}
	}
	return out
}

// handleBatchStored continues what waited for a batch to be stored. It runs
// for each BatchStored: it publishes changed states, removes finished jobs,
// advances the cursors of workers and sends the start requests of the
// planned runs.
func (m *Machine) handleBatchStored(number int) {
	b, ok := m.pendingBatches[number]
	if !ok {
		return
	}
	delete(m.pendingBatches, number)
	for _, id := range slices.Sorted(maps.Keys(b.states)) {
		state := b.states[id]
		j, ok := m.jobs[id]
		if !ok {
			continue
		}
		if j.recordedState != state {
			j.recordedState = state
			m.emit(Publish{Job: id, State: state})
		}
		m.removeIfFinished(j)
	}
	for _, wc := range b.cursors {
		w := wc.worker
		if w.incarnation == wc.incarnation {
			w.recordedCursor = max(w.recordedCursor, wc.cursor)
		}
		m.renewIfDue(w)
	}
	m.sendRecordedStarts(b.plannedRuns)
}

// advanceCursors lets workers drop finished runs that changed nothing that
// has to be recorded. It runs on each Tick while no record is pending;
// reconcile does the same for one worker.
func (m *Machine) advanceCursors() {
	for _, w := range m.sortedWorkers {
		w.recordedCursor = w.processedCursor
	}
}
