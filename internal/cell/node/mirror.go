package node

import (
	"bytes"
	"sync"
	"time"

	"gypsumwinch/internal/cell"
)

// mirror is this VM's copy of topics jobs and progress. Of a job that is over
// only the state is kept.
type mirror struct {
	mu   sync.Mutex
	jobs map[cell.JobID]*entry
	// live holds the jobs that are not over, for counts.
	live map[cell.JobID]*entry
}

// entry is what the store holds of a job.
type entry struct {
	queue     string
	submitted bool
	// stored is true while the submission is in the store.
	stored    bool
	cancelled bool
	state     cell.State
	// job and progress are the encoded records, progress with its first byte.
	job      []byte
	progress []byte
	// openRuns is true if the progress of an ended job lists open runs.
	openRuns bool
	// seen is when the submission was seen, in boot time.
	seen time.Duration
	// finishedSeen is when a final state was seen, in boot time seconds.
	finishedSeen int64
}

func newMirror() *mirror {
	return &mirror{jobs: map[cell.JobID]*entry{}, live: map[cell.JobID]*entry{}}
}

// change is what a record changed.
type change struct {
	record cell.Record
	// fresh is true if the record is not a repetition.
	fresh bool
}

// apply takes one record over.
func (m *mirror) apply(r cell.Record) change {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(r.Value) == 0 {
		m.drop(r)
		return change{record: r}
	}
	e, ok := m.jobs[r.Job]
	if !ok {
		e = &entry{state: cell.StateQueued}
		m.jobs[r.Job] = e
		m.live[r.Job] = e
	}
	switch r.Kind {
	case cell.RecordJob:
		return change{record: r, fresh: e.setJob(r.Value)}
	case cell.RecordCancel:
		fresh := !e.cancelled
		e.cancelled = true
		return change{record: r, fresh: fresh}
	default:
		m.setProgress(r.Job, e, r.Value)
		return change{record: r, fresh: true}
	}
}

// drop takes the drop of a key over. The state of a job outlives its submission.
func (m *mirror) drop(r cell.Record) {
	if r.Kind == cell.RecordProgress {
		delete(m.jobs, r.Job)
		delete(m.live, r.Job)
		return
	}
	if e, ok := m.jobs[r.Job]; ok && r.Kind == cell.RecordJob {
		e.stored = false
		e.job = nil
	}
}

// over returns the jobs that have ended without open runs and whose submissions
// are still in the store.
func (m *mirror) over() []cell.JobID {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []cell.JobID
	for id, e := range m.jobs {
		if e.stored && e.state.IsFinal() && !e.openRuns {
			out = append(out, id)
		}
	}
	return out
}

func (e *entry) setJob(value []byte) bool {
	e.stored = true
	if e.submitted {
		if e.job == nil && (!e.state.IsFinal() || e.openRuns) {
			e.job = bytes.Clone(value)
		}
		return false
	}
	e.submitted = true
	e.seen = boot()
	if e.state.IsFinal() && !e.openRuns {
		// A submission that arrives again after the job's end.
		return false
	}
	e.queue = cell.DecodeQueueName(value)
	e.job = bytes.Clone(value)
	return true
}

// openMark is how the encoding of progress lists open runs.
var openMark = []byte(`"o":[`)

func (m *mirror) setProgress(id cell.JobID, e *entry, value []byte) {
	state := cell.State(value[0])
	if e.state.IsFinal() && !state.IsFinal() {
		// An older record, read after this VM was the owner.
		return
	}
	e.state = state
	e.openRuns = bytes.Contains(value, openMark)
	e.progress = bytes.Clone(value)
	if !e.state.IsFinal() {
		return
	}
	if e.finishedSeen == 0 {
		e.finishedSeen = int64(boot().Seconds())
	}
	delete(m.live, id)
	if !e.openRuns {
		e.job, e.progress = nil, nil
	}
}

// state returns a job's state as this VM knows it.
func (m *mirror) state(id cell.JobID) (s cell.State, known bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	e, ok := m.jobs[id]
	if !ok {
		return 0, false
	}
	if e.cancelled && !e.state.IsFinal() {
		return cell.StateCancelled, true
	}
	return e.state, true
}

// publish sets the state of a job that this VM has recorded as owner.
func (m *mirror) publish(id cell.JobID, s cell.State) {
	m.mu.Lock()
	defer m.mu.Unlock()
	e, ok := m.jobs[id]
	if !ok {
		return
	}
	e.state = s
	if s.IsFinal() {
		delete(m.live, id)
		if e.finishedSeen == 0 {
			e.finishedSeen = int64(boot().Seconds())
		}
	}
}

// cancelled reports whether a job's caller has cancelled it.
func (m *mirror) cancelled(id cell.JobID) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	e, ok := m.jobs[id]
	return ok && e.cancelled
}

// pending counts a queue's jobs of which no task has started.
func (m *mirror) pending(queue string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := 0
	for _, e := range m.live {
		if e.queue == queue && e.state == cell.StateQueued && !e.cancelled {
			n++
		}
	}
	return n
}

// unfinished is a job that a new owner has to take over.
type unfinished struct {
	job       *cell.Job
	progress  *cell.Progress
	cancelled bool
}

// unfinishedJobs decodes the jobs that are not over, or of which runs are open.
func (m *mirror) unfinishedJobs(report func(id cell.JobID, err error)) []unfinished {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []unfinished
	for id, e := range m.jobs {
		if e.job == nil || e.state.IsFinal() && !e.openRuns {
			continue
		}
		u := unfinished{cancelled: e.cancelled}
		var err error
		if u.job, err = cell.DecodeJob(id, e.job); err != nil {
			report(id, err)
			continue
		}
		if e.progress != nil {
			if u.progress, err = cell.DecodeProgress(e.progress); err != nil {
				report(id, err)
				continue
			}
		}
		out = append(out, u)
	}
	return out
}

// expired returns up to most jobs that ended before a time in boot seconds.
func (m *mirror) expired(before int64, most int) []cell.JobID {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []cell.JobID
	for id, e := range m.jobs {
		if len(out) == most {
			break
		}
		if e.state.IsFinal() && !e.openRuns && e.finishedSeen != 0 && e.finishedSeen < before {
			out = append(out, id)
		}
	}
	return out
}

// pendingByQueue counts the jobs of each queue of which no task has started.
func (m *mirror) pendingByQueue() map[string]int32 {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := map[string]int32{}
	for _, e := range m.live {
		if e.state == cell.StateQueued && !e.cancelled {
			out[e.queue]++
		}
	}
	return out
}

// forget drops what was seen before a time, on a VM that does not follow the
// jobs and so does not hear of their ends.
func (m *mirror) forget(before time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for id, e := range m.jobs {
		if e.seen < before {
			delete(m.jobs, id)
			delete(m.live, id)
		}
	}
}

// size counts the jobs.
func (m *mirror) size() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.jobs)
}
