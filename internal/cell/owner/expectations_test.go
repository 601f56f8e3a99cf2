package owner

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"gypsumwinch/internal/cell"
)

// newLearningFixture returns a fixture without worker w that learns run times, if isLearning.
func newLearningFixture(t *testing.T, isLearning bool, workers ...string) *fixture {
	t.Helper()
	f := newFixture(t, 4000)
	f.m.opts.LearnRunTimes, f.m.opts.RemoteFactor = isLearning, 2
	f.m.learning = newLearning(f.m.opts)
	f.apply(WorkersListed{Removed: []string{"w"}})
	for _, id := range workers {
		f.addWorker(id, 4000)
	}
	return f
}

// runJob places a job, confirms its starts, lists its runs as done after a time and returns the
// tasks with their workers.
func (f *fixture) runJob(job *cell.Job, runTime time.Duration) (placed []string) {
	f.t.Helper()
	f.apply(JobSubmitted{Job: job})
	f.clearActions()
	f.scheduleAndRecord()
	starts := actionsOf[SendStart](f)
	for _, s := range starts {
		placed = append(placed, s.Start.Task.String()+" "+s.Start.Worker)
		f.apply(StartResult{Task: s.Start.Task, Run: s.Start.Run, Worker: s.Start.Worker})
	}
	f.now += runTime
	finished := map[string][]cell.FinishedRun{}
	for _, s := range starts {
		number := f.m.workers[s.Start.Worker].processedCursor + int64(len(finished[s.Start.Worker])) + 1
		finished[s.Start.Worker] = append(finished[s.Start.Worker],
			cell.FinishedRun{Number: number, Task: s.Start.Task.String(), Run: s.Start.Run, Outcome: cell.OutcomeDone})
	}
	for _, id := range slices.Sorted(maps.Keys(finished)) {
		f.apply(RenewResult{Worker: id, SentAt: f.now, Inventory: cell.Inventory{Clock: f.now, Born: 1, FinishedRuns: finished[id]}})
	}
	f.scheduleAndRecord()
	f.clearActions()
	return placed
}

// TestExpectedRunTimeIsLearned guards against run times that stay at a rough estimate although
// many runs of its kind have ended, against gangs whose members count as one run each, and
// against a changed estimate while nothing is to be learned.
func TestExpectedRunTimeIsLearned(t *testing.T) {
	for _, isLearning := range []bool{false, true} {
		t.Run(fmt.Sprint(isLearning), func(t *testing.T) {
			is := is.New(t)
			f := newLearningFixture(t, isLearning, "x")
			step := newStep(2, 500)
			step.Gang, step.Estimate = true, 10*time.Second
			for i := range 30 {
				f.runJob(newJob(simJobID(i), step), time.Second)
			}
			f.apply(JobSubmitted{Job: newJob("j", step)})
			got := f.m.expectedRunTime(f.m.jobs["j"], 0)
			if !isLearning {
				is.Equal(got, (10*time.Second+f.m.statsFor("q").meanRunTime)/2)
				return
			}
			is.True(got > 800*time.Millisecond && got < 2*time.Second)
			is.True(f.m.learning.model.Queues(f.now, 1)[0].Samples <= 30)
		})
	}
}

// TestResumedRunsAreNotLearned guards against run times that look short since the work was done
// by an earlier run.
func TestResumedRunsAreNotLearned(t *testing.T) {
	is := is.New(t)
	f := newLearningFixture(t, true, "x")
	f.apply(JobSubmitted{Job: newJob("j", newStep(1, 500)), Progress: &cell.Progress{State: cell.StateRunning,
		Steps: []cell.StepProgress{{LastRun: 1, Checkpoints: map[int]string{0: "c"}}}}})
	f.runJob(newJob("other", newStep(1, 500)), time.Second)
	is.Equal(len(f.m.learning.model.Queues(f.now, 1)), 1)
	is.True(f.m.learning.model.Queues(f.now, 1)[0].Samples <= 1)
}

// TestSpeedsAreLearnedIfTheLastRunIsNot guards against steps that teach nothing about workers
// since their last run is left out: a task that is run again ends last.
func TestSpeedsAreLearnedIfTheLastRunIsNot(t *testing.T) {
	is := is.New(t)
	f := newLearningFixture(t, true, "x", "y")
	f.apply(JobSubmitted{Job: newJob("j", newStep(3, 2000)), Progress: &cell.Progress{State: cell.StateRunning,
		Steps: []cell.StepProgress{{LastRun: 1, Checkpoints: map[int]string{2: "c"}}}}})
	f.runJob(newJob("other", newStep(1, 500)), time.Second)
	is.Equal(f.m.jobs["j"], nil)                                       // done
	is.Equal(f.m.learning.model.WorkerSpeed(f.now, "x", 1).Samples, 2) // a run of each job
}
