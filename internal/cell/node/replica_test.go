package node

import (
	"slices"
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

// TestRepeatedSubmissionChangesNothing guards against a job that is started
// again by a submission which is repeated after the job has ended or was
// cancelled.
func TestRepeatedSubmissionChangesNothing(t *testing.T) {
	is := is.New(t)
	r := newReplica()
	job := jobRecord(t, "a", "q")
	is.True(r.apply(job).isNew)
	is.True(!r.apply(job).isNew)
	r.apply(cell.Record{Job: "a", Kind: cell.RecordCancel, Value: []byte("1")})
	r.apply(job)
	is.True(r.isCancelled("a"))
	state, known := r.state("a")
	is.True(known)
	is.Equal(state, cell.StateQueued)
}

// TestCancellationThatComesTooLateIsNotShown guards against a job that is shown as cancelled and then as completed, or the other way round on a VM that reads late.
func TestCancellationThatComesTooLateIsNotShown(t *testing.T) {
	is := is.New(t)
	r := newReplica()
	r.apply(jobRecord(t, "a", "q"))
	r.apply(progressRecord(t, "a", cell.Progress{State: cell.StateRunning}))
	r.apply(cell.Record{Job: "a", Kind: cell.RecordCancel, Value: []byte("1")})
	state, _ := r.state("a")
	is.Equal(state, cell.StateRunning)
	r.apply(progressRecord(t, "a", cell.Progress{State: cell.StateCompleted}))
	state, _ = r.state("a")
	is.Equal(state, cell.StateCompleted)
}

// TestFinalStateStays guards against a final state that is overwritten by an
// older record, which this VM reads after it was the owner.
func TestFinalStateStays(t *testing.T) {
	is := is.New(t)
	r := newReplica()
	r.apply(jobRecord(t, "a", "q"))
	r.setState("a", cell.StateCompleted)
	r.apply(progressRecord(t, "a", cell.Progress{State: cell.StateRunning}))
	state, _ := r.state("a")
	is.Equal(state, cell.StateCompleted)
}

// TestPendingCountsWaitingJobs guards the count of pending jobs that callers
// see for each queue.
func TestPendingCountsWaitingJobs(t *testing.T) {
	is := is.New(t)
	r := newReplica()
	r.apply(jobRecord(t, "a", "q"))
	r.apply(jobRecord(t, "b", "q"))
	r.apply(jobRecord(t, "c", "other"))
	r.apply(progressRecord(t, "b", cell.Progress{State: cell.StateRunning}))
	is.Equal(r.pendingCount("q"), 1)
}

// TestFinishedJobWithOpenRunsIsTakenOver guards against open runs of a finished
// job that a new owner does not know and so does not stop.
func TestFinishedJobWithOpenRunsIsTakenOver(t *testing.T) {
	is := is.New(t)
	r := newReplica()
	r.apply(jobRecord(t, "a", "q"))
	r.apply(progressRecord(t, "a", cell.Progress{State: cell.StateCancelled, Steps: []cell.StepProgress{
		{LastRun: 1, OpenRuns: []cell.OpenRun{{Run: 1, Worker: "w"}}},
	}}))
	jobs := slices.Collect(r.unfinishedJobs(func(cell.JobID, error) { t.Error("unreadable") }))
	is.Equal(len(jobs), 1)
	r.apply(progressRecord(t, "a", cell.Progress{State: cell.StateCancelled}))
	is.Equal(len(slices.Collect(r.unfinishedJobs(func(cell.JobID, error) {}))), 0)
}

// TestStateOutlivesSubmission guards against losing the state of a finished job
// when its submission is deleted, and against starting the job again when the
// submission is then repeated.
func TestStateOutlivesSubmission(t *testing.T) {
	is := is.New(t)
	r := newReplica()
	job := jobRecord(t, "a", "q")
	r.apply(job)
	r.apply(progressRecord(t, "a", cell.Progress{State: cell.StateCompleted}))
	is.Equal(r.finishedSubmissions(), []cell.JobID{"a"})
	r.apply(cell.Record{Job: "a", Kind: cell.RecordJob})
	is.Equal(len(r.finishedSubmissions()), 0)
	state, known := r.state("a")
	is.True(known)
	is.Equal(state, cell.StateCompleted)
	is.True(!r.apply(job).isNew)
	is.Equal(len(slices.Collect(r.unfinishedJobs(func(cell.JobID, error) {}))), 0)
}

// TestSubmissionReadAfterFinalState guards against a finished job being treated
// as new by a VM that reads topic progress before topic jobs.
func TestSubmissionReadAfterFinalState(t *testing.T) {
	is := is.New(t)
	r := newReplica()
	r.apply(progressRecord(t, "a", cell.Progress{State: cell.StateFailed}))
	is.True(!r.apply(jobRecord(t, "a", "q")).isNew)
	is.Equal(r.finishedSubmissions(), []cell.JobID{"a"})
}
