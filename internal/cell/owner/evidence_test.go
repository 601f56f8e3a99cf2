package owner

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"gypsumwinch/internal/cell"
)

// finishRun opens a run of a job of its own on a worker and finishes it.
func (f *fixture) finishRun(id cell.JobID, image, worker string, outcome cell.RunOutcome) {
	def := newJob(id, newStep(1, 1))
	def.Steps[0].Image = image
	f.finishRunOf(f.step(def), worker, outcome)
}

// step returns the step of a job that is not scheduled.
func (f *fixture) step(def *cell.Job) *step {
	def.Queue.MaxAttempts = 0
	j := &job{def: def, account: f.m.ledger.Account(def.Customer), state: cell.StateRunning, steps: map[cell.StepID]*step{}}
	return &step{id: cell.StepID{Job: def.ID}, job: j, def: &def.Steps[0], tasks: make([]task, def.Steps[0].Count)}
}

// finishRunOf opens a run of a step on a worker and finishes it.
func (f *fixture) finishRunOf(s *step, worker string, outcome cell.RunOutcome) {
	w := f.m.workers[worker]
	s.lastRunNumber++
	r := &run{id: cell.TaskID{StepID: s.id}, number: s.lastRunNumber, job: s.job, step: s, worker: w, phase: phaseRunning}
	f.m.openRun(r)
	w.processedCursor++
	f.m.now = f.time()
	f.m.handleFinishedRun(w, cell.FinishedRun{Number: w.processedCursor, Task: r.taskName, Run: r.number, Outcome: outcome})
	delete(f.m.dirtyJobs, s.job.def.ID)
	f.m.updateQuarantineSuspension()
}

// suspects returns the ids of the suspect workers.
func (f *fixture) suspects() (ids []string) {
	for _, w := range f.m.sortedWorkers {
		if w.health.isSuspect() {
			ids = append(ids, w.info.ID)
		}
	}
	return ids
}

// newFleetFixture has n workers w00, w01 and so on.
func newFleetFixture(t *testing.T, n int) *fixture {
	f := newFixture(t, 1000)
	for i := range n {
		f.addWorker(fmt.Sprintf("w%02d", i), 1000)
	}
	return f
}

// TestImageThatFailsEverywhereMakesNoWorkerSuspect guards against sound workers in quarantine because of jobs of an image
// that fails wherever it runs.
func TestImageThatFailsEverywhereMakesNoWorkerSuspect(t *testing.T) {
	is := is.New(t)
	f := newFleetFixture(t, 10)
	for i := range 40 {
		f.now += 20 * time.Millisecond
		f.finishRun(cell.JobID(fmt.Sprintf("b%d", i)), "broken", fmt.Sprintf("w%02d", i%10), cell.OutcomeFailed)
	}
	is.Equal(len(f.suspects()), 0)
}

// TestStepThatFailsElsewhereClearsItsWorkers guards against a suspicion that stays although the failed jobs fail on other
// workers too.
func TestStepThatFailsElsewhereClearsItsWorkers(t *testing.T) {
	is := is.New(t)
	f := newFleetFixture(t, 10)
	a, b := f.step(newJob("a", newStep(1, 1))), f.step(newJob("b", newStep(1, 1)))
	f.finishRunOf(a, "w00", cell.OutcomeFailed)
	f.finishRunOf(b, "w00", cell.OutcomeFailed)
	is.Equal(f.suspects(), []string{"w00"})
	f.finishRunOf(a, "w01", cell.OutcomeFailed)
	f.finishRunOf(b, "w02", cell.OutcomeFailed)
	is.Equal(len(f.suspects()), 0)
}

// TestWorkersThatFailEverythingAreAvoided guards against failure rates under which workers that fail all runs hide each
// other: 14 % of them do so at once for 6.5 s, and each must be suspect after few runs.
func TestWorkersThatFailEverythingAreAvoided(t *testing.T) {
	is := is.New(t)
	const workers, bad, fewRuns = 50, 7, 4
	f := newFleetFixture(t, workers)
	failed := map[string]int{}
	for i := range 6500 / 5 {
		f.now += 4 * time.Millisecond
		id := fmt.Sprintf("w%02d", i%workers)
		switch {
		case i%workers >= bad && f.m.rand.Float64() < 0.04:
			f.finishRun(cell.JobID(fmt.Sprintf("j%d", i)), "web", id, cell.OutcomeFailed)
		case i%workers >= bad:
			f.finishRun(cell.JobID(fmt.Sprintf("j%d", i)), "web", id, cell.OutcomeDone)
		case !f.m.workers[id].health.isSuspect():
			failed[id]++
			f.finishRun(cell.JobID(fmt.Sprintf("j%d", i)), "web", id, cell.OutcomeFailed)
		}
	}
	for i := range bad {
		id := fmt.Sprintf("w%02d", i)
		is.True(f.m.workers[id].health.isSuspect())
		is.True(failed[id] <= fewRuns)
	}
}

// TestLongRunningTaskAtWorkClearsItsWorker guards against a worker that stays suspect for good because it runs long-running
// tasks only, which do not succeed.
func TestLongRunningTaskAtWorkClearsItsWorker(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 1000)
	f.addWorker("x", 0)
	lasting := newStep(1, 100)
	lasting.LongRunning = true
	f.apply(JobSubmitted{Job: newJob("l", lasting)})
	f.scheduleAndRecord()
	start := actionsOf[SendStart](f)[0].Start
	f.suspectWorkers() // while the run starts
	f.apply(StartResult{Task: start.Task, Run: start.Run, Worker: "w"})
	listed := cell.ActiveRun{Task: start.Task.String(), Run: start.Run, Percent: 30}
	f.answerRenewal(listed)
	is.True(f.m.workers["w"].health.isSuspect())
	listed.Percent = 100
	f.answerRenewal(listed)
	is.True(!f.m.workers["w"].health.isSuspect())
	f.suspectWorkers()
	f.answerRenewal(listed) // the run that is at work says nothing about new starts
	is.True(f.m.workers["w"].health.isSuspect())
}

// TestSuspectWorkerWithLongRunningTasksIsTried guards against a suspect worker that gets no task while it has a long-running one.
func TestSuspectWorkerWithLongRunningTasksIsTried(t *testing.T) {
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
	f.apply(StartResult{Task: start.Task, Run: start.Run, Worker: "w"})
	f.answerRenewal(cell.ActiveRun{Task: start.Task.String(), Run: start.Run, Percent: 100})
	f.suspectWorkers()
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
	f := newFixture(t, 0)
	const workers = 8
	for i := range workers {
		f.addWorker(fmt.Sprintf("w%d", i), 1000)
	}
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
			id := fmt.Sprintf("w%d", i/10)
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
