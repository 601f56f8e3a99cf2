package owner

import (
	"maps"
	"slices"

	"github.com/rotisserie/eris"

	"gypsumwinch/internal/cell"
)

// batch is a set of records on its way to the store.
type batch struct {
	states map[cell.JobID]cell.State
	// starts are the runs whose orders may be sent once the batch is stored.
	starts []*run
	// cursors are the ends that the workers may forget once it is stored.
	cursors []cursorMark
}

// cursorMark is a cursor of one life of a worker.
type cursorMark struct {
	worker *worker
	life   int
	number int64
}

func (m *Machine) markDirty(j *job) {
	m.dirty[j.def.ID] = j
}

// TakeBatch returns the records of all jobs that changed since the last batch,
// or none. Apply takes a Recorded event once they are stored.
func (m *Machine) TakeBatch() (records []cell.KeyValue, number int, err error) {
	if len(m.dirty) == 0 {
		return nil, 0, nil
	}
	b := &batch{states: make(map[cell.JobID]cell.State, len(m.dirty))}
	for _, id := range slices.Sorted(maps.Keys(m.dirty)) {
		j := m.dirty[id]
		value, err := cell.EncodeProgress(j.progress())
		if err != nil {
			return nil, 0, eris.Wrapf(err, "job %s", id)
		}
		records = append(records, cell.KeyValue{Key: cell.ProgressKey(id), Value: value})
		b.states[id] = j.state
		b.starts = append(b.starts, j.recordingRuns()...)
	}
	for _, w := range m.order {
		if w.cursorSeen > w.cursorRecorded {
			b.cursors = append(b.cursors, cursorMark{worker: w, life: w.life, number: w.cursorSeen})
		}
	}
	clear(m.dirty)
	m.batch++
	m.batches[m.batch] = b
	return records, m.batch, nil
}

// recordingRuns returns the runs that wait for their record, and marks them as
// contained in a batch.
func (j *job) recordingRuns() []*run {
	var out []*run
	for _, s := range j.order {
		for i := range s.task {
			r := s.task[i].run
			if r != nil && r.phase == phasePlanned {
				r.phase = phaseRecording
				out = append(out, r)
			}
		}
	}
	return out
}

// recorded goes on with what waited for a batch.
func (m *Machine) recorded(number int) {
	b, ok := m.batches[number]
	if !ok {
		return
	}
	delete(m.batches, number)
	for _, id := range slices.Sorted(maps.Keys(b.states)) {
		state := b.states[id]
		j, ok := m.jobs[id]
		if !ok {
			continue
		}
		if j.visible != state {
			j.visible = state
			m.emit(Publish{Job: id, State: state})
		}
		m.dropIfOver(j)
	}
	for _, mark := range b.cursors {
		w := mark.worker
		if w.life == mark.life {
			w.cursorRecorded = max(w.cursorRecorded, mark.number)
		}
		m.renewIfDue(w)
	}
	m.sendRecorded(b.starts)
}

// advanceCursors lets workers forget ends that changed nothing to be recorded.
func (m *Machine) advanceCursors() {
	for _, w := range m.order {
		w.cursorRecorded = w.cursorSeen
	}
}
