package jobstate

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"gypsumwinch/internal/records"
	"gypsumwinch/internal/structs"
)

// partBytes is the size at which a snapshot part is closed. It keeps a part far
// below the size of a batch that the log accepts.
const partBytes = 128 << 10

type snapshotPart struct {
	Clock    time.Time       `json:"clock"`
	Term     int64           `json:"term"`
	Jobs     []snapshotJob   `json:"jobs,omitempty"`
	Finished []snapshotDated `json:"finished,omitempty"`
	Early    []snapshotDated `json:"early,omitempty"`
}

type snapshotJob struct {
	Spec      structs.Job    `json:"spec"`
	Accepted  int64          `json:"accepted"`
	At        time.Time      `json:"at"`
	Cancelled bool           `json:"cancelled,omitempty"`
	MovedTo   string         `json:"moved_to,omitempty"`
	Tasks     []snapshotTask `json:"tasks"`
	Budget    FailureBudget  `json:"budget"`
}

// snapshotTask stands for Count consecutive tasks in the same state.
type snapshotTask struct {
	Count    int       `json:"n"`
	State    TaskState `json:"state"`
	Attempts int       `json:"attempts,omitempty"`
	Failures int       `json:"failures,omitempty"`
	Worker   string    `json:"worker,omitempty"`
}

type snapshotDated struct {
	ID string    `json:"id"`
	At time.Time `json:"at"`
}

// Encode returns the parts of a snapshot of all records before Next. The id
// tells the snapshots of a stream apart, term is the term of the writer. The
// state must be complete.
func (s *State) Encode(id string, term int64) ([]records.JobSnapshot, error) {
	if s.incomplete {
		return nil, fmt.Errorf("encode jobs snapshot: state has a gap at offset %d", s.gapFrom)
	}
	var states []json.RawMessage
	part := snapshotPart{Clock: s.clock, Term: s.term}
	part.Finished = encodeDated(s.finished)
	part.Early = encodeDated(s.earlyAge)
	size := 0
	flush := func() error {
		data, err := json.Marshal(part)
		if err != nil {
			return fmt.Errorf("encode jobs snapshot: %w", err)
		}
		states = append(states, data)
		part = snapshotPart{Clock: s.clock, Term: s.term}
		size = 0
		return nil
	}
	for _, j := range s.sorted() {
		encoded := encodeJob(j)
		part.Jobs = append(part.Jobs, encoded)
		size += jobBytes(&encoded)
		if size >= partBytes {
			if err := flush(); err != nil {
				return nil, err
			}
		}
	}
	if len(part.Jobs) > 0 || len(states) == 0 {
		if err := flush(); err != nil {
			return nil, err
		}
	}
	parts := make([]records.JobSnapshot, len(states))
	for i, state := range states {
		parts[i] = records.JobSnapshot{
			ID: id, LastIncludedOffset: s.next - 1, Part: i, Parts: len(states), State: state, Term: term,
		}
	}
	return parts, nil
}

func encodeDated(list []datedJob) []snapshotDated {
	var out []snapshotDated
	for _, d := range list {
		out = append(out, snapshotDated{d.id, d.at})
	}
	return out
}

func (s *State) sorted() []*job {
	jobs := make([]*job, 0, len(s.jobs))
	for _, j := range s.jobs {
		jobs = append(jobs, j)
	}
	slices.SortFunc(jobs, func(a, b *job) int { return cmp.Compare(a.accepted, b.accepted) })
	return jobs
}

// jobBytes estimates the encoded size of a job.
func jobBytes(j *snapshotJob) int {
	const fixed, perGroup, perTask = 300, 200, 80
	n := fixed + perTask*len(j.Tasks)
	for _, g := range j.Spec.Groups {
		n += perGroup + len(g.Payload)*4/3
	}
	return n
}

func encodeJob(j *job) snapshotJob {
	out := snapshotJob{
		Spec: j.spec, Accepted: j.accepted, At: j.at, Cancelled: j.cancelled, MovedTo: j.movedTo,
		Budget: j.budget,
	}
	for _, t := range j.tasks {
		st := snapshotTask{1, t.state, t.attempts, t.failures, t.worker}
		if n := len(out.Tasks); n > 0 {
			last := out.Tasks[n-1]
			last.Count = 1
			if last == st {
				out.Tasks[n-1].Count++
				continue
			}
		}
		out.Tasks = append(out.Tasks, st)
	}
	return out
}

// applyIncomplete keeps records until a whole snapshot covers the gap.
func (s *State) applyIncomplete(e entry) Effect {
	s.buffer = append(s.buffer, e)
	snap := e.rec.JobSnapshot
	if snap == nil || snap.Parts < 1 || snap.Part < 0 || snap.Part >= snap.Parts {
		return Effect{Kind: Buffered}
	}
	if snap.LastIncludedOffset < s.buffer[0].offset-1 {
		return Effect{Kind: Buffered, Reason: "snapshot ends before the gap does"}
	}
	key := fmt.Sprintf("%s@%d/%d", snap.ID, snap.LastIncludedOffset, snap.Parts)
	if s.parts[key] == nil {
		s.parts[key] = make([]*records.JobSnapshot, snap.Parts)
	}
	s.parts[key][snap.Part] = snap
	if slices.Contains(s.parts[key], nil) {
		return Effect{Kind: Buffered}
	}
	if err := s.restore(s.parts[key]); err != nil {
		delete(s.parts, key)
		return Effect{Kind: Buffered, Reason: err.Error()}
	}
	return Effect{Kind: Restored}
}

// restore rebuilds the state from the parts of one snapshot and the records
// after it.
func (s *State) restore(parts []*records.JobSnapshot) error {
	decoded := make([]snapshotPart, len(parts))
	for i, p := range parts {
		if err := json.Unmarshal(p.State, &decoded[i]); err != nil {
			return fmt.Errorf("decode jobs snapshot %s part %d: %w", p.ID, i, err)
		}
	}
	next, buffer := s.next, s.buffer
	s.StartAt(parts[0].LastIncludedOffset + 1)
	for _, part := range decoded {
		s.load(part)
	}
	for _, e := range buffer {
		if e.offset >= s.next {
			s.next = e.offset + 1
			s.fold(e.at, e.rec)
		}
	}
	s.next = next
	return nil
}

func (s *State) load(part snapshotPart) {
	s.clock = part.Clock
	s.term = part.Term
	for _, f := range part.Finished {
		s.finished = append(s.finished, datedJob{f.ID, f.At})
	}
	for _, e := range part.Early {
		s.early[e.ID] = true
		s.earlyAge = append(s.earlyAge, datedJob{e.ID, e.At})
	}
	for _, sj := range part.Jobs {
		j := &job{
			spec: sj.Spec, accepted: sj.Accepted, at: sj.At, cancelled: sj.Cancelled, movedTo: sj.MovedTo,
			budget: sj.Budget,
		}
		for _, st := range sj.Tasks {
			for range st.Count {
				s.loadTask(j, st)
			}
		}
		s.jobs[j.spec.ID] = j
	}
}

func (s *State) loadTask(j *job, st snapshotTask) {
	index := len(j.tasks)
	j.tasks = append(j.tasks, task{st.State, st.Attempts, st.Failures, st.Worker})
	if st.State == Pending || st.State == Running {
		j.open++
	}
	if st.State == Running {
		id := structs.TaskID{Job: j.spec.ID, Index: index}
		s.addRunning(structs.Attempt{Task: id, Number: st.Attempts, Worker: st.Worker})
	}
}
