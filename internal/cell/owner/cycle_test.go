package owner

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"gypsumwinch/internal/cell"
)

// wideWorkflow returns a job of a first stage and a second one, each step of which depends on the whole first stage.
func wideWorkflow(id cell.JobID, first, second int) *cell.Job {
	job := newJob(id, slices.Repeat([]cell.Step{newStep(1, 1000)}, first+second)...)
	dependencies := make([]uint16, first)
	for i := range dependencies {
		dependencies[i] = uint16(i)
	}
	for i := first; i < first+second; i++ {
		job.Steps[i].DependsOn = dependencies
	}
	return job
}

// firstStageDone is the progress of such a job.
func firstStageDone(first int) *cell.Progress {
	p := &cell.Progress{State: cell.StateRunning}
	for i := range first {
		p.Steps = append(p.Steps, cell.StepProgress{Step: i, LastRun: 1, DoneTasks: "1"})
	}
	return p
}

// allocatedBytes returns what a call allocates.
func allocatedBytes(f func()) int64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return int64(after.TotalAlloc - before.TotalAlloc)
}

// TestCycleIsLinearInTheStepsOfAJob guards against a cell that stands still for seconds: a scheduling cycle went through all steps and
// dependencies of a job for each of its waiting steps (review/14). Each such pass allocates 8 bytes for each step, so that
// the allocated memory shows their number on any machine.
func TestCycleIsLinearInTheStepsOfAJob(t *testing.T) {
	is := is.New(t)
	const first, second = 60, 900
	for _, learns := range []bool{false, true} {
		f := newFixture(t, 1000)
		f.m.learning = newLearning(Options{LearnRunTimes: learns, RemoteFactor: 2})
		f.apply(JobSubmitted{Job: wideWorkflow("j", first, second), Progress: firstStageDone(first)})
		is.Equal(len(f.m.waitingSteps), second)
		const perStep = 1000 // bytes; a pass allocates 7,680
		is.True(allocatedBytes(func() { f.m.Place(f.time(), unlimitedAdvice) }) < perStep*(first+second))
	}
}

// TestLongCycleYields guards against leases that lapse, and jobs that run on after they were cancelled, since renewals and cancellations
// wait for a scheduling cycle (review/12 and review/14).
func TestLongCycleYields(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 5000)
	clock := time.Duration(0)
	f.m.opts.CycleClock = func() time.Duration { // 0.1 ms a step
		clock += clockInterval * 100 * time.Microsecond
		return clock
	}
	const jobs, steps = 20, 900
	for n := range jobs {
		job := wideWorkflow(simJobID(n), 1, steps)
		job.AcceptedAt = job.AcceptedAt.Add(time.Duration(n) * time.Second)
		f.apply(JobSubmitted{Job: job, Progress: firstStageDone(1)})
	}
	f.clearActions()
	f.actions = append(f.actions, f.m.Place(f.time(), unlimitedAdvice)...)
	slices, cancelled := 1, simJobID(0)
	f.apply(JobCancelled{Job: cancelled}) // the one whose turn is first
	for f.m.inProgress != nil {
		slices++
		before := clock
		f.actions = append(f.actions, f.m.Place(f.time(), unlimitedAdvice)...)
		is.True(clock-before <= maxCycleSlice+2*clockInterval*100*time.Microsecond)
		f.apply(Tick{}) // leases are renewed meanwhile
	}
	is.True(slices >= jobs*steps/10/int(maxCycleSlice/time.Millisecond)) // ranking and placing take twice as many
	is.Equal(len(f.m.workers["w"].runList), 5)
	for _, r := range f.m.workers["w"].runList {
		is.Equal(r.job.def.ID, simJobID(1)) // the next one
	}
}

// TestOrderOfACycleSurvivesItsSlices guards against a cycle that places steps in another order, or some of them twice or never, if it
// yields.
func TestOrderOfACycleSurvivesItsSlices(t *testing.T) {
	is := is.New(t)
	placed := func(clock func() time.Duration) (order []string) {
		weights := map[string]float64{}
		for n := range 8 {
			weights[fmt.Sprintf("c%d", n)] = float64(100 + 50*n)
		}
		f := newSharedFixture(t, weights)
		f.m.opts.CycleClock = clock
		for n := range 40 {
			f.addWorker(fmt.Sprintf("w%02d", n), 2000)
		}
		for n := range 400 {
			f.submitFor(fmt.Sprintf("c%d", n%8), simJobID(n), newStep(1+n%3, 500))
		}
		for ok := true; ok; ok = f.m.inProgress != nil {
			f.m.Place(f.time(), unlimitedAdvice)
		}
		for _, w := range f.m.sortedWorkers {
			for _, r := range w.runList {
				order = append(order, w.info.ID+" "+r.taskName)
			}
		}
		return order
	}
	whole := placed(nil)
	now := time.Duration(0)
	divided := placed(func() time.Duration { now += maxCycleSlice; return now })
	is.True(len(whole) >= 64)
	is.Equal(whole, divided)
}

// TestFullCellSkipsTasksThatCannotFit guards against cycles whose cost is the product of the waiting steps and the workers, and against
// a memory of what does not fit that keeps smaller tasks, or those of the next cycle, from their workers.
func TestFullCellSkipsTasksThatCannotFit(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 3500)
	for n := range 100 {
		f.apply(JobSubmitted{Job: newJob(simJobID(n), newStep(1, 1000))})
	}
	f.apply(JobSubmitted{Job: newJob("smaller", newStep(1, 500))})
	f.scheduleAndRecord()
	is.Equal(len(f.m.workers["w"].runList), 4)
	is.Equal(len(f.m.notFitting), 1)
	q := f.m.currentQueue(f.m.jobs[simJobID(50)])
	is.True(f.m.isKnownNotToFit(f.m.jobs[simJobID(50)].stepsInOrder[0], q))
	f.apply(JobCancelled{Job: f.m.workers["w"].runList[0].job.def.ID})
	f.answerRenewal()
	f.scheduleAndRecord()
	f.apply(StopResult{Task: f.m.workers["w"].runList[0].taskName, Run: 1, Worker: "w"})
	f.now += time.Second
	f.answerRenewal()
	f.scheduleAndRecord()
	is.Equal(len(f.m.workers["w"].runList), 4)
}
