package owner

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"gypsumwinch/internal/cell"
	"gypsumwinch/internal/structs"
)

// TestBatchStaysWithinTheLimitOfTheStore guards the end of a long outage: the changes
// of all jobs since its begin are larger than the store accepts in one append, which
// would be refused and repeated for ever. Cursors wait for the last part.
func TestBatchStaysWithinTheLimitOfTheStore(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 1000)
	const jobs = 120
	for i := range jobs {
		id := cell.JobID(fmt.Sprintf("%016x", i))
		f.apply(JobSubmitted{Job: newJob(id, newStep(1000, 900))})
		// A record of 25 KB: many failed runs.
		f.m.jobs[id].stepsInOrder[0].lastRunNumber = 1
		for k := range 1000 {
			f.m.jobs[id].stepsInOrder[0].tasks[k].failedRuns = 1_000_000_000_000_000_000
		}
		f.m.markDirty(f.m.jobs[id])
	}
	f.m.workers["w"].processedCursor = 7
	seen := map[string]bool{}
	for batches := 0; len(f.m.dirtyJobs) > 0; batches++ {
		is.True(batches < jobs)
		records, number, err := f.m.TakeBatch()
		is.NoErr(err)
		size := 0
		for _, r := range records {
			size += len(r.Key) + len(r.Value)
			seen[strings.TrimPrefix(r.Key, "s/")] = true
		}
		is.True(size < 2<<20)
		isLast := len(f.m.dirtyJobs) == 0
		f.apply(BatchStored{Batch: number})
		is.Equal(f.m.workers["w"].recordedCursor == 7, isLast)
	}
	is.Equal(len(seen), jobs)
}

// TestRecordedOccurrenceIsRestoredBeforeItIsDue guards against tasks that run again after
// a takeover by a VM whose clock is behind: an occurrence that the former owner had
// released is not due yet for the new owner.
func TestRecordedOccurrenceIsRestoredBeforeItIsDue(t *testing.T) {
	f := newFixture(t, 4000)
	j := newJob("a", cell.Step{Count: 2, Need: structs.Resources{MilliCPU: 500}})
	j.Repeat, j.Interval, j.FirstDueAt = 2, time.Second, f.time().Wall
	f.apply(JobSubmitted{Job: j, Progress: &cell.Progress{State: cell.StateRunning, Steps: []cell.StepProgress{
		{Occurrence: 0, DoneTasks: "11", LastRun: 2},
		{Occurrence: 1, DoneTasks: "10", LastRun: 4, OpenRuns: []cell.OpenRun{{Index: 1, Run: 4, Worker: "w", Born: 1}}},
	}}})
	if stops := actionsOf[SendStop](f); len(stops) > 0 {
		t.Errorf("%s run %d is stopped", stops[0].Stop.Task, stops[0].Stop.Run)
	}
	f.now += 2 * time.Second
	f.apply(Tick{})
	f.scheduleAndRecord()
	for _, a := range actionsOf[SendStart](f) {
		t.Errorf("%s is started again as run %d", a.Start.Task, a.Start.Run)
	}
}

// TestGangRunCountsAsOneFailureAcrossATakeover guards against a job that is given up too
// early: two members of one gang run fail, and the owner changes between their ends.
func TestGangRunCountsAsOneFailureAcrossATakeover(t *testing.T) {
	is := is.New(t)
	former := newFixture(t, 4000)
	gang := cell.Step{Count: 2, Need: structs.Resources{MilliCPU: 500}, Estimate: time.Second, Gang: true}
	former.apply(JobSubmitted{Job: newJob("a", gang)})
	former.scheduleAndRecord()
	starts := actionsOf[SendStart](former)
	is.Equal(len(starts), 2)
	for i, a := range starts {
		former.finishedRuns = append(former.finishedRuns, cell.FinishedRun{
			Number: int64(i + 1), Task: a.Start.Task.String(), Run: a.Start.Run, Outcome: cell.OutcomeFailed,
		})
	}
	both := former.finishedRuns
	former.finishedRuns = both[:1]
	former.answerRenewal(cell.ActiveRun{Task: starts[1].Start.Task.String(), Run: starts[1].Start.Run})
	records, _, err := former.m.TakeBatch()
	is.NoErr(err)
	is.Equal(len(records), 1)
	progress, err := cell.DecodeProgress(records[0].Value)
	is.NoErr(err)

	next := newFixture(t, 4000)
	next.apply(JobSubmitted{Job: newJob("a", gang), Progress: progress})
	next.finishedRuns = both
	next.answerRenewal()
	records, _, err = next.m.TakeBatch()
	is.NoErr(err)
	is.Equal(len(records), 1)
	is.True(cell.State(records[0].Value[0]) != cell.StateFailed) // 1 of 2 attempts
}

// TestCheckpointOfAnEndedRunSurvivesATakeover guards against work that is done twice: a
// run was stopped, its end was taken note of, and the owner changes before the task is
// started again.
func TestCheckpointOfAnEndedRunSurvivesATakeover(t *testing.T) {
	for name, isGang := range map[string]bool{"task": false, "gang": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			former := newFixture(t, 4000)
			step := cell.Step{Count: 1, Need: structs.Resources{MilliCPU: 500}, Estimate: time.Second, Checkpointing: true, Gang: isGang}
			former.apply(JobSubmitted{Job: newJob("a", step)})
			former.scheduleAndRecord()
			starts := actionsOf[SendStart](former)
			is.Equal(len(starts), 1)
			former.finishedRuns = []cell.FinishedRun{{
				Number: 1, Task: starts[0].Start.Task.String(), Run: starts[0].Start.Run, Outcome: cell.OutcomeStopped, Checkpoint: "saved",
			}}
			former.answerRenewal()
			records, _, err := former.m.TakeBatch()
			is.NoErr(err)
			progress, err := cell.DecodeProgress(records[0].Value)
			is.NoErr(err)

			next := newFixture(t, 4000)
			next.apply(JobSubmitted{Job: newJob("a", step), Progress: progress})
			next.scheduleAndRecord()
			starts = actionsOf[SendStart](next)
			is.Equal(len(starts), 1)
			is.Equal(starts[0].Start.Checkpoint, "saved")
		})
	}
}
