package owner

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"gypsumwinch/internal/cell"
)

// finishRun opens a run of a job of its own on a worker and finishes it.
func (f *fixture) finishRun(number int, worker string, outcome cell.RunOutcome) {
	def := newJob(simJobID(number), newStep(1, 1))
	def.Queue.MaxAttempts, def.Steps[0].Image = 0, "image"
	j := &job{def: def, account: f.m.ledger.Account(def.Customer), state: cell.StateRunning, steps: map[cell.StepID]*step{}, occurrences: map[int]*occurrence{}}
	s := f.m.openOccurrence(j, 0).ensureStep(0)
	w := f.m.workers[worker]
	r := &run{id: cell.TaskID{StepID: s.id}, number: 1, job: j, step: s, worker: w, phase: phaseRunning}
	f.m.openRun(r)
	f.m.now = f.time()
	f.m.handleFinishedRun(w, cell.FinishedRun{Task: r.taskName, Run: r.number, Outcome: outcome})
	f.m.updateQuarantineSuspension()
}

// newFleetFixture has n workers w00, w01 and so on.
func newFleetFixture(t *testing.T, n int) *fixture {
	f := newFixture(t, 0)
	for i := range n {
		f.addWorker(fmt.Sprintf("w%02d", i), 1000)
	}
	return f
}

// TestImageThatFailsEverywhereMakesNoWorkerSuspect guards against sound workers in quarantine because of jobs of an image
// that fails wherever it runs. The first worker is suspect until others have failed it too.
func TestImageThatFailsEverywhereMakesNoWorkerSuspect(t *testing.T) {
	is := is.New(t)
	f := newFleetFixture(t, 10)
	f.finishRun(100, "w00", cell.OutcomeFailed)
	f.finishRun(101, "w00", cell.OutcomeFailed)
	is.True(f.m.workers["w00"].health.isSuspect())
	for i := range 36 {
		f.finishRun(i, fmt.Sprintf("w%02d", 1+i%9), cell.OutcomeFailed)
	}
	for _, w := range f.m.sortedWorkers {
		is.True(!w.health.isSuspect())
	}
}

// TestWorkersThatFailEverythingAreAvoided guards against failure rates under which workers that fail all runs hide each
// other: 14 % of them do so at once for 6.5 s, and each must be suspect after few runs.
func TestWorkersThatFailEverythingAreAvoided(t *testing.T) {
	is := is.New(t)
	const workers, bad, fewRuns = 50, 7, 4
	f := newFleetFixture(t, workers)
	failed := map[string]int{}
	for i := range 6500 / 5 {
		f.now += 5 * time.Millisecond
		id, outcome := fmt.Sprintf("w%02d", i%workers), cell.OutcomeDone
		if i%workers < bad || f.m.rand.Float64() < 0.04 {
			outcome = cell.OutcomeFailed
		}
		if f.m.workers[id].health.isSuspect() {
			continue
		}
		f.finishRun(i, id, outcome)
		if outcome == cell.OutcomeFailed {
			failed[id]++
		}
	}
	for i := range bad {
		id := fmt.Sprintf("w%02d", i)
		is.True(f.m.workers[id].health.isSuspect())
		is.True(failed[id] <= fewRuns)
	}
}

// TestLongRunningTaskAtWorkClearsItsWorker guards against a worker that stays suspect for good, or gets no task while it is
// suspect, because it runs long-running tasks, which do not succeed.
func TestLongRunningTaskAtWorkClearsItsWorker(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 1000)
	for i := range 5 {
		f.addWorker(string(rune('a'+i)), 0)
	}
	lasting := newStep(1, 100)
	lasting.LongRunning = true
	f.apply(JobSubmitted{Job: newJob("l", lasting)})
	f.scheduleAndRecord()
	start := actionsOf[SendStart](f)[0].Start
	w := f.m.workers["w"]
	w.health = health{failedJobs: suspectFailures, lastFailureAt: f.now} // while the run starts
	f.apply(StartResult{Task: start.Task, Run: start.Run, Worker: "w"})
	listed := cell.ActiveRun{Task: start.Task.String(), Run: start.Run, Percent: 30}
	f.answerRenewal(listed)
	is.True(w.health.isSuspect())
	listed.Percent = 100
	f.answerRenewal(listed)
	is.True(!w.health.isSuspect())
	w.health = health{failedJobs: suspectFailures, lastFailureAt: f.now}
	f.answerRenewal(listed) // the run that is at work says nothing about new starts
	is.True(w.health.isSuspect())
	f.now += minQuarantine
	f.clearActions()
	f.apply(JobSubmitted{Job: newJob("j", newStep(2, 100))})
	f.scheduleAndRecord()
	is.Equal(len(actionsOf[SendStart](f)), 1)
}

// TestLongRunningTaskHasItsOwnWaitingTime guards against a long-running task that waits for as long as runs of its step go on
// failing on other workers: each of them frees room only on the worker that the step then avoids.
func TestLongRunningTaskHasItsOwnWaitingTime(t *testing.T) {
	is := is.New(t)
	const workers = 8
	f := newFleetFixture(t, workers)
	lasting := newStep(workers, 800)
	lasting.LongRunning = true
	f.apply(JobSubmitted{Job: newJob("l", lasting)})
	f.scheduleAndRecord()
	s := f.m.jobs["l"].stepsInOrder[0]
	failed := map[string][]cell.FinishedRun{}
	var lastRunAt [workers]time.Duration
	for i := range 10 * workers {
		f.now += 100 * time.Millisecond
		if i%10 == 0 {
			id := fmt.Sprintf("w%02d", i/10)
			r := f.m.workers[id].runList[0]
			failed[id] = []cell.FinishedRun{{Number: 1, Task: r.taskName, Run: r.number, Outcome: cell.OutcomeFailed}}
		}
		for _, w := range f.m.sortedWorkers {
			f.apply(RenewResult{Worker: w.info.ID, SentAt: f.now, Inventory: cell.Inventory{Clock: f.now, Born: 1, FinishedRuns: failed[w.info.ID]}})
		}
		f.apply(Tick{})
		f.scheduleAndRecord()
		for k := range s.tasks {
			if s.tasks[k].run != nil {
				lastRunAt[k] = f.now
			}
			is.True(f.now-lastRunAt[k] < maxIdleTime)
		}
	}
}
