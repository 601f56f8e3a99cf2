package owner

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/matryer/is"

	"gypsumwinch/internal/cell"
)

// takeLargest returns the size of the longest record of the next batch, as the store counts it.
func (f *fixture) takeLargest() int {
	f.t.Helper()
	records, _, err := f.m.TakeBatch()
	if err != nil {
		f.t.Fatal(err)
	}
	largest := 0
	for _, r := range records {
		largest = max(largest, 1+len(r.Key)+len(r.Value))
	}
	return largest
}

// TestProgressOfARepeatedJobFitsARecord guards against an owner that records nothing any more: the store refuses the batch with the record of a job that has run a few thousand times.
func TestProgressOfARepeatedJobFitsARecord(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 1000)
	const done = 3999
	job := newJob("j", newStep(20, 500), newStep(20, 500))
	job.Repeat, job.FirstDueAt = done+1, f.time().Wall
	progress := &cell.Progress{State: cell.StateRunning}
	for k := range done {
		for s := range 2 {
			progress.Steps = append(progress.Steps, cell.StepProgress{Occurrence: k, Step: s, LastRun: 1, DoneTasks: strings.Repeat("1", 20)})
		}
	}
	is.NoErr(job.Validate())
	f.apply(JobSubmitted{Job: job, Progress: progress})
	f.m.Place(f.time(), unlimitedAdvice)
	f.m.markDirty(f.m.jobs["j"])
	is.Equal(max(f.takeLargest(), cell.MaxRecordBytes), cell.MaxRecordBytes)
}

// TestProgressOfALargeJobFitsARecord is the same for a job with the most tasks that runs as a whole, each task on a worker of its own with a long id, after each task has failed.
func TestProgressOfALargeJobFitsARecord(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 1000)
	rng := rand.New(rand.NewPCG(1, 1))
	progress := cell.StepProgress{LastRun: 12_000}
	for i := range cell.MaxTasksPerJob {
		progress.OpenRuns = append(progress.OpenRuns, cell.OpenRun{Index: i, Run: 12_000 - i, Worker: fmt.Sprintf("worker-%010x-%018x", i, rng.Uint64()), Born: 1_765_000_000_000 + rng.Int64N(1_000_000_000)})
		progress.SetFailedRuns(i, 1)
	}
	job := newJob("j", newStep(cell.MaxTasksPerJob, 500))
	is.NoErr(job.Validate())
	f.apply(JobSubmitted{Job: job, Progress: &cell.Progress{State: cell.StateRunning, Steps: []cell.StepProgress{progress}}})
	f.m.markDirty(f.m.jobs["j"])
	is.Equal(max(f.takeLargest(), cell.MaxRecordBytes), cell.MaxRecordBytes)
}

// TestDoneOccurrencesOutliveTheirSummary guards against occurrences that run again after a change of the owner, and against open runs that nobody stops, since the record only sums up the occurrences that are done.
func TestDoneOccurrencesOutliveTheirSummary(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 1000)
	job := newJob("j", newStep(1, 500), newStep(2, 100))
	job.Repeat, job.FirstDueAt = 3, f.time().Wall
	f.apply(JobSubmitted{Job: job, Progress: &cell.Progress{State: cell.StateRunning, Steps: []cell.StepProgress{
		{Occurrence: 0, Step: 0, LastRun: 1, DoneTasks: "1"},
		{Occurrence: 0, Step: 1, LastRun: 4, DoneTasks: "11", OpenRuns: []cell.OpenRun{{Index: 1, Run: 4, Worker: "gone", Born: 1}}},
		{Occurrence: 1, Step: 0, LastRun: 2, FailedRuns: map[int]int{0: 1}},
		{Occurrence: 1, Step: 1, LastRun: 1, DoneTasks: "10"},
		{Occurrence: 2, Step: 0, LastRun: 1, DoneTasks: "1"},
		{Occurrence: 2, Step: 1, LastRun: 1, DoneTasks: "11"},
	}}})
	j := f.m.jobs["j"]
	plain := j.progress()
	j.hasLongRecord = true
	value, err := j.encodeProgress()
	is.NoErr(err)
	recorded, err := cell.DecodeProgress(value)
	is.NoErr(err)
	is.Equal(recorded.DoneOccurrences, "101")
	is.Equal(len(recorded.Steps), 3)
	g := newFixture(t, 1000)
	g.apply(JobSubmitted{Job: job, Progress: recorded})
	restored := g.m.jobs["j"]
	is.Equal(len(restored.occurrences), 2) // the one that is not done and the one with an open run
	is.Equal(restored.doneOccurrences.String(), "101")
	is.Equal(restored.openRuns, 1)
	is.Equal(len(g.m.workers["gone"].runs), 1)
	for id, s := range j.steps {
		is.Equal(restored.steps[id].doneBits(), s.doneBits())
	}
	is.Equal(restored.steps[cell.StepID{Job: "j", Occurrence: 1}].tasks[0].failedRuns, 1)
	is.Equal(len(plain.Steps), 3)
	is.Equal(plain.DoneOccurrences, "101")
}
