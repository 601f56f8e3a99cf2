package owner

import (
	"cmp"
	"container/heap"
	"time"

	"gypsumwinch/internal/cell"
)

// The occurrences of repeated jobs that are due exist in memory only if their tasks may soon be
// placed. Thousands of them may be due at once, for each of many jobs, so that they share a budget
// of the cell: the next occurrence is always one of the job that occupies least of it, of several
// such jobs the one that has been due for longest.

const (
	// defaultOccurrenceMemory applies if Options.OccurrenceMemory is 0.
	defaultOccurrenceMemory = 16 << 20
	// occurrenceBaseBytes is what an occurrence takes in memory, the others what each of its
	// steps, each step with tasks and each task take in addition. All steps exist at the same
	// time if none depends on another.
	occurrenceBaseBytes = 512
	stepStateBytes      = 5
	stepBytes           = 640
	taskBytes           = 64
	// sharedFraction of the budget is for all occurrences. The rest is for jobs of which none
	// is open, so that jobs whose occurrences last cannot keep out the others.
	sharedFraction = 0.5
	// maxUnstartedOccurrences bounds the open occurrences of a job of which no task was placed yet. A
	// scheduling cycle places those of one Tick, so that a job may start 320 a second.
	maxUnstartedOccurrences = 8
	// idleReleaseInterval is how often a job without a run may exceed maxUnstartedOccurrences by
	// one: those that are open may wait for workers that others do not need. A job that could
	// run may have nothing running for 3 s.
	idleReleaseInterval = 250 * time.Millisecond
)

// estimateOccurrenceBytes returns what an open occurrence of a job takes in memory.
func estimateOccurrenceBytes(def *cell.Job) int64 {
	n := int64(occurrenceBaseBytes)
	for i := range def.Steps {
		n += stepStateBytes
		if count := def.Steps[i].Count; count > 0 {
			n += stepBytes + int64(count)*taskBytes
		}
	}
	return n
}

// releaseDueOccurrences releases occurrences of all repeated jobs that have become due, as far as
// there is memory. It runs on each Tick.
func (m *Machine) releaseDueOccurrences() {
	due := m.releaseQueue[:0]
	for _, j := range m.recurringJobs {
		if m.mayRelease(j) {
			due = append(due, j)
		}
	}
	heap.Init(&due)
	for len(due) > 0 {
		j := due[0]
		if !m.releaseNext(j) || !m.mayRelease(j) {
			heap.Pop(&due)
			continue
		}
		heap.Fix(&due, 0)
	}
	m.releaseQueue = due
}

// releaseOccurrences releases the due occurrences of a job that is added.
func (m *Machine) releaseOccurrences(j *job) {
	for m.mayRelease(j) && m.releaseNext(j) {
	}
}

// mayRelease reports whether the next occurrence of a job is due and the job may have one more
// open, apart from memory.
func (m *Machine) mayRelease(j *job) bool {
	if !j.findNextOccurrence() {
		delete(m.recurringJobs, j.def.ID)
		return false
	}
	if m.now.Wall.Before(j.dueAt(j.nextOccurrence)) || !j.hasRoomForOccurrence() {
		return false
	}
	return j.unstartedOccurrences < maxUnstartedOccurrences ||
		j.openRuns == 0 && m.now.Mono-j.lastReleaseAt >= idleReleaseInterval
}

// findNextOccurrence advances nextOccurrence to one that is neither open nor done, and reports
// whether there is one.
func (j *job) findNextOccurrence() bool {
	for j.nextOccurrence < j.def.Occurrences() && (j.occurrences[j.nextOccurrence] != nil || j.doneOccurrences.has(j.nextOccurrence)) {
		j.nextOccurrence++
	}
	return j.nextOccurrence < j.def.Occurrences()
}

// hasRoomForOccurrence reports whether the tasks of the open occurrences and of one more stay
// below the limit of a job, so that the job's record is not too long for the store.
func (j *job) hasRoomForOccurrence() bool {
	return len(j.occurrences) == 0 || (len(j.occurrences)+1)*j.tasksPerOccurrence <= cell.MaxTasksPerJob
}

// releaseNext opens the next occurrence of a job, unless there is no memory for it. One without a
// task is done at once.
func (m *Machine) releaseNext(j *job) bool {
	if j.tasksPerOccurrence == 0 {
		j.doneOccurrences.add(j.nextOccurrence)
		m.completeIfDone(j)
		return !j.state.IsFinal()
	}
	budget := m.occurrenceMemory
	if len(j.occurrences) > 0 {
		budget = int64(sharedFraction * float64(budget))
	}
	if m.occurrenceBytes > 0 && m.occurrenceBytes+j.occurrenceBytes > budget {
		return false
	}
	o := m.openOccurrence(j, j.nextOccurrence)
	j.lastReleaseAt = m.now.Mono
	o.blockSteps()
	m.queueReadySteps(o)
	m.isCycleNeeded = true
	return true
}

// releaseQueue is a heap of jobs with due occurrences; the first one releases next.
type releaseQueue []*job

func (q releaseQueue) Len() int { return len(q) }

func (q releaseQueue) Less(a, b int) bool {
	x, y := q[a], q[b]
	return cmp.Or(
		cmp.Compare(int64(len(x.occurrences))*x.occurrenceBytes, int64(len(y.occurrences))*y.occurrenceBytes),
		x.dueAt(x.nextOccurrence).Compare(y.dueAt(y.nextOccurrence)),
		cmp.Compare(x.def.ID, y.def.ID),
	) < 0
}

func (q releaseQueue) Swap(a, b int) { q[a], q[b] = q[b], q[a] }

// Push implements heap.Interface; nothing is pushed.
func (q *releaseQueue) Push(x any) { *q = append(*q, x.(*job)) }

// Pop implements heap.Interface.
func (q *releaseQueue) Pop() any {
	last := (*q)[len(*q)-1]
	(*q)[len(*q)-1] = nil
	*q = (*q)[:len(*q)-1]
	return last
}
