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

// targetPartBytes is the estimated size at which Encode closes a snapshot part. It
// keeps a part far below the largest batch that the log accepts.
const targetPartBytes = 128 << 10

// snapshotPart is the stored form of one part of a snapshot. Finished and Early
// are in the first part only.
type snapshotPart struct {
	Clock    time.Time             `json:"clock"`
	Term     int64                 `json:"term"`
	Jobs     []snapshotJob         `json:"jobs,omitempty"`
	Finished []snapshotExpiringJob `json:"finished,omitempty"`
	Early    []snapshotExpiringJob `json:"early,omitempty"`
}

// snapshotJob is the stored form of a job.
type snapshotJob struct {
	Spec      structs.Job    `json:"spec"`
	Accepted  int64          `json:"accepted"`
	At        time.Time      `json:"at"`
	Cancelled bool           `json:"cancelled,omitempty"`
	MovedTo   string         `json:"moved_to,omitempty"`
	Tasks     []snapshotTask `json:"tasks"`
	Budget    FailureBudget  `json:"budget"`
}

// snapshotTask is the stored form of Count consecutive tasks with equal fields.
type snapshotTask struct {
	Count    int       `json:"n"`
	State    TaskState `json:"state"`
	Attempts int       `json:"attempts,omitempty"`
	Failures int       `json:"failures,omitempty"`
	Worker   string    `json:"worker,omitempty"`
}

// snapshotExpiringJob is the stored form of an expiringJob.
type snapshotExpiringJob struct {
	ID string    `json:"id"`
	At time.Time `json:"at"`
}

// Encode returns the parts of a snapshot of all records before Next. id
// distinguishes the snapshots of a stream; term is the term of the owner that
// writes it. It fails if the state is not complete.
func (s *State) Encode(id string, term int64) ([]records.JobSnapshot, error) {
	if s.isIncomplete {
		return nil, fmt.Errorf("encode jobs snapshot: state has a gap at offset %d", s.gapStart)
	}
	var states []json.RawMessage
	part := snapshotPart{Clock: s.clock, Term: s.term}
	part.Finished = encodeExpiringJobs(s.finishedJobs)
	part.Early = encodeExpiringJobs(s.earlyCancellations)
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
	for _, j := range s.jobsByAcceptance() {
		encoded := encodeJob(j)
		part.Jobs = append(part.Jobs, encoded)
		size += estimatedJobBytes(&encoded)
		if size >= targetPartBytes {
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

// encodeExpiringJobs converts a list of expiring jobs to its stored form for Encode.
func encodeExpiringJobs(list []expiringJob) []snapshotExpiringJob {
	var out []snapshotExpiringJob
	for _, d := range list {
		out = append(out, snapshotExpiringJob{d.id, d.at})
	}
	return out
}

// jobsByAcceptance returns all jobs in the order of their acceptance, so that equal
// states have equal snapshots.
func (s *State) jobsByAcceptance() []*job {
	jobs := make([]*job, 0, len(s.jobs))
	for _, j := range s.jobs {
		jobs = append(jobs, j)
	}
	slices.SortFunc(jobs, func(a, b *job) int { return cmp.Compare(a.acceptedOffset, b.acceptedOffset) })
	return jobs
}

// estimatedJobBytes estimates the encoded size of a job, to size the parts of a
// snapshot.
func estimatedJobBytes(j *snapshotJob) int {
	const fixed, perGroup, perTask = 300, 200, 80
	n := fixed + perTask*len(j.Tasks)
	for _, g := range j.Spec.Groups {
		n += perGroup + len(g.Payload)*4/3
	}
	return n
}

// encodeJob converts a job to its stored form for Encode. Consecutive tasks with
// equal fields share one entry.
func encodeJob(j *job) snapshotJob {
	out := snapshotJob{
		Spec: j.spec, Accepted: j.acceptedOffset, At: j.acceptedAt, Cancelled: j.isCancelled, MovedTo: j.movedTo,
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

// applyIncomplete buffers a record that follows a gap. Once all parts of a snapshot
// that covers the gap are read, it restores the state from them.
func (s *State) applyIncomplete(e logEntry) Effect {
	s.buffer = append(s.buffer, e)
	snap := e.record.JobSnapshot
	if snap == nil || snap.Parts < 1 || snap.Part < 0 || snap.Part >= snap.Parts {
		return Effect{Kind: Buffered}
	}
	if snap.LastIncludedOffset < s.buffer[0].offset-1 {
		return Effect{Kind: Buffered, Reason: "snapshot ends before the gap does"}
	}
	key := fmt.Sprintf("%s@%d/%d", snap.ID, snap.LastIncludedOffset, snap.Parts)
	if s.snapshotParts[key] == nil {
		s.snapshotParts[key] = make([]*records.JobSnapshot, snap.Parts)
	}
	s.snapshotParts[key][snap.Part] = snap
	if slices.Contains(s.snapshotParts[key], nil) {
		return Effect{Kind: Buffered}
	}
	if err := s.restore(s.snapshotParts[key]); err != nil {
		delete(s.snapshotParts, key)
		return Effect{Kind: Buffered, Reason: err.Error()}
	}
	return Effect{Kind: Restored}
}

// restore rebuilds the state from the parts of one snapshot and the buffered
// records after it. applyIncomplete calls it when the last part was read.
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
		s.loadPart(part)
	}
	for _, e := range buffer {
		if e.offset >= s.next {
			s.next = e.offset + 1
			s.applyRecord(e.at, e.record)
		}
	}
	s.next = next
	return nil
}

// loadPart adds the content of one snapshot part to the state during restore.
func (s *State) loadPart(part snapshotPart) {
	s.clock = part.Clock
	s.term = part.Term
	for _, f := range part.Finished {
		s.finishedJobs = append(s.finishedJobs, expiringJob{f.ID, f.At})
	}
	for _, e := range part.Early {
		s.isCancelledEarly[e.ID] = true
		s.earlyCancellations = append(s.earlyCancellations, expiringJob{e.ID, e.At})
	}
	for _, sj := range part.Jobs {
		j := &job{
			spec: sj.Spec, acceptedOffset: sj.Accepted, acceptedAt: sj.At, isCancelled: sj.Cancelled, movedTo: sj.MovedTo,
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

// loadTask appends one task to a job that is being loaded from a snapshot.
func (s *State) loadTask(j *job, st snapshotTask) {
	index := len(j.tasks)
	j.tasks = append(j.tasks, task{st.State, st.Attempts, st.Failures, st.Worker})
	if st.State == Pending || st.State == Running {
		j.openTasks++
	}
	if st.State == Running {
		id := structs.TaskID{Job: j.spec.ID, Index: index}
		s.addRunningAttempt(structs.Attempt{Task: id, Number: st.Attempts, Worker: st.Worker})
	}
}
