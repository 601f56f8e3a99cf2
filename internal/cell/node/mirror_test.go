package node

import (
	"testing"

	"github.com/matryer/is"

	"gypsumwinch/internal/cell"
)

func jobRecord(t *testing.T, id cell.JobID, queue string) cell.Record {
	t.Helper()
	value, err := cell.EncodeJob(&cell.Job{ID: id, Queue: cell.Queue{Name: queue}, Steps: []cell.Step{{Count: 1}}})
	if err != nil {
		t.Fatal(err)
	}
	return cell.Record{Job: id, Kind: cell.RecordJob, Value: value}
}

func progressRecord(t *testing.T, id cell.JobID, p cell.Progress) cell.Record {
	t.Helper()
	value, err := cell.EncodeProgress(&p)
	if err != nil {
		t.Fatal(err)
	}
	return cell.Record{Job: id, Kind: cell.RecordProgress, Value: value}
}

// TestRepeatedSubmissionChangesNothing guards against a job that is revived by a
// submission which arrives again after its end or its cancelling.
func TestRepeatedSubmissionChangesNothing(t *testing.T) {
	is := is.New(t)
	m := newMirror()
	job := jobRecord(t, "a", "q")
	is.True(m.apply(job).fresh)
	is.True(!m.apply(job).fresh)
	m.apply(cell.Record{Job: "a", Kind: cell.RecordCancel, Value: []byte("1")})
	m.apply(job)
	state, known := m.state("a")
	is.True(known)
	is.Equal(state, cell.StateCancelled)
}

// TestFinalStateStays guards against an older record that is read after this VM
// was the owner.
func TestFinalStateStays(t *testing.T) {
	is := is.New(t)
	m := newMirror()
	m.apply(jobRecord(t, "a", "q"))
	m.publish("a", cell.StateCompleted)
	m.apply(progressRecord(t, "a", cell.Progress{State: cell.StateRunning}))
	state, _ := m.state("a")
	is.Equal(state, cell.StateCompleted)
}

// TestPendingCountsWaitingJobs guards the count that callers see per queue.
func TestPendingCountsWaitingJobs(t *testing.T) {
	is := is.New(t)
	m := newMirror()
	m.apply(jobRecord(t, "a", "q"))
	m.apply(jobRecord(t, "b", "q"))
	m.apply(jobRecord(t, "c", "other"))
	m.apply(progressRecord(t, "b", cell.Progress{State: cell.StateRunning}))
	is.Equal(m.pending("q"), 1)
}

// TestEndedJobWithOpenRunsIsTakenOver guards against runs of an ended job that a
// new owner does not know and so does not stop.
func TestEndedJobWithOpenRunsIsTakenOver(t *testing.T) {
	is := is.New(t)
	m := newMirror()
	m.apply(jobRecord(t, "a", "q"))
	m.apply(progressRecord(t, "a", cell.Progress{State: cell.StateCancelled, Steps: []cell.StepProgress{
		{LastRun: 1, OpenRuns: []cell.OpenRun{{Run: 1, Worker: "w"}}},
	}}))
	jobs := m.unfinishedJobs(func(cell.JobID, error) { t.Error("unreadable") })
	is.Equal(len(jobs), 1)
	m.apply(progressRecord(t, "a", cell.Progress{State: cell.StateCancelled}))
	is.Equal(len(m.unfinishedJobs(func(cell.JobID, error) {})), 0)
}

// TestStateOutlivesSubmission guards the answer about an ended job whose
// submission was dropped, and against its revival by a submission that arrives
// again then.
func TestStateOutlivesSubmission(t *testing.T) {
	is := is.New(t)
	m := newMirror()
	job := jobRecord(t, "a", "q")
	m.apply(job)
	m.apply(progressRecord(t, "a", cell.Progress{State: cell.StateCompleted}))
	is.Equal(m.over(), []cell.JobID{"a"})
	m.apply(cell.Record{Job: "a", Kind: cell.RecordJob})
	is.Equal(len(m.over()), 0)
	state, known := m.state("a")
	is.True(known)
	is.Equal(state, cell.StateCompleted)
	is.True(!m.apply(job).fresh)
	is.Equal(len(m.unfinishedJobs(func(cell.JobID, error) {})), 0)
}

// TestSubmissionReadAfterItsEnd guards a VM that reads the progress before the
// jobs: the ended job is not taken for a new one.
func TestSubmissionReadAfterItsEnd(t *testing.T) {
	is := is.New(t)
	m := newMirror()
	m.apply(progressRecord(t, "a", cell.Progress{State: cell.StateFailed}))
	is.True(!m.apply(jobRecord(t, "a", "q")).fresh)
	is.Equal(m.over(), []cell.JobID{"a"})
}
