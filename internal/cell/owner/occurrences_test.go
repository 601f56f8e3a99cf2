package owner

import (
	"fmt"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"gypsumwinch/internal/cell"
)

// repeatedJob returns a job of which all occurrences are due.
func (f *fixture) repeatedJob(id cell.JobID, repeat int, steps ...cell.Step) *cell.Job {
	job := newJob(id, steps...)
	job.Repeat, job.Interval = repeat, time.Second
	job.FirstDueAt = f.time().Wall.Add(-time.Duration(repeat) * job.Interval)
	return job
}

// runTasks starts what fits on worker w, confirms it and ends it as done, for a number of rounds. It returns how often
// each task was started.
func (f *fixture) runTasks(rounds int) map[string]int {
	f.t.Helper()
	started := map[string]int{}
	for range rounds {
		f.clearActions()
		f.apply(Tick{})
		f.scheduleAndRecord()
		for _, a := range actionsOf[SendStart](f) {
			started[a.Start.Task.String()]++
			f.apply(StartResult{Task: a.Start.Task, Run: a.Start.Run, Worker: "w"})
			f.finishedRuns = append(f.finishedRuns, cell.FinishedRun{
				Number: int64(len(f.finishedRuns) + 1), Task: a.Start.Task.String(), Run: a.Start.Run, Outcome: cell.OutcomeDone})
		}
		f.now += tickOfTests
		f.answerRenewal()
	}
	return started
}

const tickOfTests = 25 * time.Millisecond

// heapBytes returns the live bytes of the heap.
func heapBytes() int64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return int64(s.HeapAlloc)
}

// TestDueOccurrencesOfManyJobsFitInMemory guards against owners that are killed one after the other for their memory: each of
// many jobs released all of its due occurrences (review/11).
func TestDueOccurrencesOfManyJobsFitInMemory(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 16_000)
	const jobs, repeat, limit = 1500, 4000, 8 << 20
	f.m.occurrenceMemory = limit
	before := heapBytes()
	for n := range jobs {
		f.apply(JobSubmitted{Job: f.repeatedJob(simJobID(n), repeat, newStep(1, 1000))})
	}
	jobsOnly := int64(jobs) * 2000 // the definition and the state of a job
	for range 400 {                // 10 s on a full cell
		f.now += tickOfTests
		f.answerRenewal()
		f.apply(Tick{})
	}
	is.True(f.m.occurrenceBytes <= limit)
	is.True(heapBytes()-before < limit+jobsOnly)
	for _, j := range f.m.jobs {
		is.True(len(j.occurrences) > 0) // each job can run
	}
	// The jobs share the memory evenly.
	fewest, most := repeat, 0
	for _, j := range f.m.jobs {
		fewest, most = min(fewest, len(j.occurrences)), max(most, len(j.occurrences))
	}
	is.True(most <= 2*fewest+maxUnstartedOccurrences)
	// A job without repetition starts although thousands of occurrences were due before it.
	ordinary := newJob("ordinary", newStep(1, 1000))
	ordinary.AcceptedAt = f.time().Wall
	f.apply(JobSubmitted{Job: ordinary})
	f.clearActions()
	f.scheduleAndRecord()
	started := false
	for _, a := range actionsOf[SendStart](f) {
		started = started || a.Start.Task.Job == "ordinary"
	}
	is.True(started)
	runtime.KeepAlive(f)
}

// TestRepeatedJobWithABacklogCompletes guards against occurrences that are skipped, run twice or never run since only a part of
// those that are due exists, also after changes of the owner.
func TestRepeatedJobWithABacklogCompletes(t *testing.T) {
	is := is.New(t)
	const repeat = 100
	f := newFixture(t, 4000)
	job := f.repeatedJob("j", repeat, newStep(1, 1000), newStep(2, 500))
	job.Steps[1].DependsOn = []uint16{0}
	f.apply(JobSubmitted{Job: job})
	started := map[string]int{}
	for round := range 20 {
		for task, n := range f.runTasks(10) {
			started[task] += n
		}
		j := f.m.jobs["j"]
		if j == nil {
			break
		}
		is.True(len(j.occurrences) <= 2*maxUnstartedOccurrences) // those that are done are removed
		if round%5 == 4 {
			f = f.takeOver(j)
		}
	}
	is.Equal(f.m.jobs["j"], nil) // completed and removed
	is.Equal(len(started), 3*repeat)
	for task, n := range started {
		if n != 1 {
			t.Errorf("task %s was started %d times", task, n)
		}
	}
	is.Equal(f.m.occurrenceBytes, int64(0))
}

// takeOver returns a fixture of a new owner that has read the job's record.
func (f *fixture) takeOver(j *job) *fixture {
	f.t.Helper()
	value, err := j.encodeProgress()
	if err != nil {
		f.t.Fatal(err)
	}
	progress, err := cell.DecodeProgress(value)
	if err != nil {
		f.t.Fatal(err)
	}
	next := newFixture(f.t, 4000)
	next.now = f.now
	next.apply(JobSubmitted{Job: j.def, Progress: progress})
	return next
}

// TestBacklogOfAFormerBuildLoadsInBoundedMemory guards against an owner that opens all occurrences up to the last recorded one:
// builds before released them all, and list those that are done step by step.
func TestBacklogOfAFormerBuildLoadsInBoundedMemory(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 4000)
	progress := &cell.Progress{State: cell.StateRunning}
	for k := range 2000 {
		progress.Steps = append(progress.Steps, cell.StepProgress{Occurrence: k, LastRun: 1, DoneTasks: "1"})
	}
	progress.Steps = append(progress.Steps,
		cell.StepProgress{Occurrence: 2100, LastRun: 3, FailedRuns: map[int]int{0: 1}},
		cell.StepProgress{Occurrence: 3999, LastRun: 1, OpenRuns: []cell.OpenRun{{Run: 1, Worker: "w", Born: 1}}})
	f.apply(JobSubmitted{Job: f.repeatedJob("j", 4000, newStep(1, 1000)), Progress: progress})
	j := f.m.jobs["j"]
	is.Equal(j.doneOccurrences.String(), strings.Repeat("1", 2000))
	is.Equal(len(j.occurrences), 2+maxUnstartedOccurrences)
	is.Equal(j.occurrences[2100].steps[0].tasks[0].failedRuns, 1)
	is.Equal(j.occurrences[3999].steps[0].openRuns, 1)
}

// TestStuckOccurrencesDoNotBlockLaterOnes guards against a job that has nothing running for 3 s: no open occurrence may use the
// workers with room, which the next one could.
func TestStuckOccurrencesDoNotBlockLaterOnes(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 4000)
	f.apply(JobSubmitted{Job: f.repeatedJob("j", 1000, newStep(1, 1000))})
	stuck := f.m.jobs["j"].stepsInOrder
	is.Equal(len(stuck), maxUnstartedOccurrences)
	readyAt := f.now
	for started := map[string]int{}; len(started) == 0; started = f.runTasks(1) {
		for _, s := range stuck {
			s.idleSince, s.failedAtByWorker = f.now, map[string]time.Duration{"w": f.now}
		}
		is.True(f.now-readyAt < maxIdleTime)
	}
}

// TestJobsWithAnOpenOccurrenceLeaveMemoryToOthers guards against jobs that never run since the occurrences of others, which do
// not end, take all memory.
func TestJobsWithAnOpenOccurrenceLeaveMemoryToOthers(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 0)
	f.m.occurrenceMemory = 1 << 20
	for n := range 20 {
		f.apply(JobSubmitted{Job: f.repeatedJob(simJobID(n), 4000, newStep(1, 1000))})
	}
	for range 4000 {
		f.now += tickOfTests
		f.apply(Tick{})
	}
	for n := range 100 {
		id := cell.JobID(fmt.Sprintf("late-%d", n))
		f.apply(JobSubmitted{Job: f.repeatedJob(id, 4000, newStep(1, 1000))})
		is.Equal(len(f.m.jobs[id].occurrences) > 0, true)
	}
	is.True(f.m.occurrenceBytes <= f.m.occurrenceMemory)
}

// emptySteps returns n steps without a task.
func emptySteps(n int) []cell.Step { return make([]cell.Step, n) }

// TestStepsWithoutTasksTakeNoMemory guards against a small job that ends every owner for its memory: the bound of its open
// occurrences counted tasks, and most of its steps had none (review/13).
func TestStepsWithoutTasksTakeNoMemory(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 16_000)
	const jobs, limit = 100, 16 << 20
	f.m.occurrenceMemory = limit
	steps := append(emptySteps(cell.MaxStepsPerJob-1), newStep(1, 1000))
	steps[len(steps)-1].DependsOn = []uint16{0, 7, 998}
	before := heapBytes()
	for n := range jobs {
		f.apply(JobSubmitted{Job: f.repeatedJob(simJobID(n), 4000, steps...)})
	}
	started := f.runTasks(100)
	is.Equal(len(started), 100*16) // the worker is always full
	is.True(f.m.occurrenceBytes <= limit)
	is.True(heapBytes()-before < limit)
	runtime.KeepAlive(f)
}

// TestBoundOfOccurrencesCountsSteps guards against occurrences of many steps that take more memory than they are
// counted with.
func TestBoundOfOccurrencesCountsSteps(t *testing.T) {
	is := is.New(t)
	for _, steps := range [][]cell.Step{
		{newStep(1, 1)}, {newStep(4000, 1)},
		append(emptySteps(999), newStep(1, 1)),
		slices.Repeat([]cell.Step{newStep(1, 1)}, 1000),
	} {
		f := newFixture(t, 0)
		before := heapBytes()
		for n := range 400 {
			f.apply(JobSubmitted{Job: f.repeatedJob(simJobID(n), 4000, steps...)})
		}
		used := heapBytes() - before
		open := 0
		for _, j := range f.m.jobs {
			open += len(j.occurrences)
		}
		is.True(open > 0)
		is.True(used < f.m.occurrenceBytes+400*2000)
		runtime.KeepAlive(f)
	}
}

// TestJobWithoutTasksCompletes guards against a job that never ends since none of its steps has a task, and against one that
// opens all of its occurrences.
func TestJobWithoutTasksCompletes(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 1000)
	f.apply(JobSubmitted{Job: newJob("once", emptySteps(2)...)})
	f.apply(JobSubmitted{Job: f.repeatedJob("often", 4000, emptySteps(1000)...)})
	is.Equal(len(f.m.jobs["often"].occurrences), 0)
	f.scheduleAndRecord()
	is.Equal(len(f.m.jobs), 0)
	is.Equal(actionsOf[Publish](f), []Publish{{Job: "often", State: cell.StateCompleted}, {Job: "once", State: cell.StateCompleted}})
}
