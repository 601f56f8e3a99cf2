package owner

import (
	"fmt"
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

// TestProgressOfALargeJobFitsARecord is the same for a job with the most tasks that runs as a whole, after each task has failed.
func TestProgressOfALargeJobFitsARecord(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 1000)
	progress := cell.StepProgress{LastRun: 12_000}
	for i := range cell.MaxTasksPerJob {
		progress.OpenRuns = append(progress.OpenRuns, cell.OpenRun{Index: i, Run: 12_000 - i, Worker: fmt.Sprintf("i-%010x", i%1300), Born: 1_765_000_000_000})
		progress.SetFailedRuns(i, 1)
	}
	job := newJob("j", newStep(cell.MaxTasksPerJob, 500))
	is.NoErr(job.Validate())
	f.apply(JobSubmitted{Job: job, Progress: &cell.Progress{State: cell.StateRunning, Steps: []cell.StepProgress{progress}}})
	f.m.markDirty(f.m.jobs["j"])
	is.Equal(max(f.takeLargest(), cell.MaxRecordBytes), cell.MaxRecordBytes)
}
