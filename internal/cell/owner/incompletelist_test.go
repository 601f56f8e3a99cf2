package owner

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gypsumwinch/internal/cell"
)

// answerIncompletely answers a renewal of worker w with a list of finished runs that is cut off.
func (f *fixture) answerIncompletely(finished ...cell.FinishedRun) {
	f.now += time.Millisecond
	f.apply(RenewResult{Worker: "w", SentAt: f.now, Inventory: cell.Inventory{Clock: f.now, Born: 1, FinishedRuns: finished, MayHaveMoreFinished: true}})
}

// startTwoTasks starts a job of two tasks and confirms their runs.
func startTwoTasks(f *fixture, step cell.Step) {
	f.t.Helper()
	f.apply(JobSubmitted{Job: newJob("j", step)})
	f.scheduleAndRecord()
	for _, s := range actionsOf[SendStart](f) {
		f.apply(StartResult{Task: s.Start.Task, Run: s.Start.Run, Worker: "w"})
	}
	f.clearActions()
}

func finishedRun(number int64, task string, outcome cell.RunOutcome) cell.FinishedRun {
	return cell.FinishedRun{Number: number, Task: task, Run: 1, Outcome: outcome}
}

// TestRunBeyondAnIncompleteListIsKept guards against a task that runs again although it is done:
// a worker lists a bounded number of finished runs, and a run beyond them was closed as missing.
func TestRunBeyondAnIncompleteListIsKept(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 1000)
	f.addWorker("z", 1000)
	startTwoTasks(f, newStep(2, 500))
	f.answerIncompletely(finishedRun(1, "j.0.0.0", cell.OutcomeDone))
	f.scheduleAndRecord()
	is.Equal(len(actionsOf[SendStart](f)), 0)
	renewals := actionsOf[Renew](f)
	is.Equal(renewals[len(renewals)-1].Renewal.Cursor, int64(1))
	is.Equal(renewals[len(renewals)-1].Renewal.Wait, time.Duration(0)) // the other one is ready to be listed
	f.finishedRuns = []cell.FinishedRun{finishedRun(2, "j.0.0.1", cell.OutcomeDone)}
	f.answerRenewal()
	f.scheduleAndRecord()
	is.Equal(len(actionsOf[SendStart](f)), 0)
	is.Equal(actionsOf[Publish](f)[len(actionsOf[Publish](f))-1].State, cell.StateCompleted)
}

// TestFailureBeyondAnIncompleteListCounts guards against attempts beyond the limit of a queue: the
// failure of a run that had been closed as missing was not counted.
func TestFailureBeyondAnIncompleteListCounts(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 1000)
	startTwoTasks(f, newStep(2, 500))
	f.answerIncompletely(finishedRun(1, "j.0.0.0", cell.OutcomeDone))
	f.scheduleAndRecord()
	f.finishedRuns = []cell.FinishedRun{finishedRun(2, "j.0.0.1", cell.OutcomeFailed)}
	f.answerRenewal()
	is.Equal(f.m.jobs["j"].stepsInOrder[0].tasks[1].failedRuns, 1)
}

// TestRecoveredRunBeyondAnIncompleteListIsKept guards against the same after a takeover, when the
// former owners have acknowledged nothing for a while.
func TestRecoveredRunBeyondAnIncompleteListIsKept(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 1000)
	f.apply(openRunOn("j", cell.OpenRun{Run: 1, Worker: "w", Born: 1}))
	f.clearActions()
	f.answerIncompletely(finishedRun(1, "k.0.0.0", cell.OutcomeDone))
	f.scheduleAndRecord()
	is.Equal(len(f.m.workers["w"].runs), 1)
	is.Equal(len(actionsOf[SendStart](f)), 0)
}

// TestStoppedRunBeyondAnIncompleteListIsKept guards against a run that is stopped, ends as done at
// that moment, and starts again since its end is not in the list yet.
func TestStoppedRunBeyondAnIncompleteListIsKept(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 1000)
	startTwoTasks(f, newStep(2, 500))
	r := f.m.workers["w"].runs[runKey{"j.0.0.1", 1}]
	f.m.stopRun(r)
	f.apply(StopResult{Task: "j.0.0.1", Run: 1, Worker: "w"})
	f.answerIncompletely(finishedRun(1, "j.0.0.0", cell.OutcomeDone))
	is.Equal(len(f.m.workers["w"].runs), 1)
	f.finishedRuns = []cell.FinishedRun{finishedRun(2, "j.0.0.1", cell.OutcomeDone)}
	f.answerRenewal()
	f.scheduleAndRecord()
	is.Equal(actionsOf[Publish](f)[len(actionsOf[Publish](f))-1].State, cell.StateCompleted)
}

// TestRunBeyondAnIncompleteListIsNotStuck guards against a finished run that counts as stuck, and
// against its worker, because the list that would show its end is not complete.
func TestRunBeyondAnIncompleteListIsNotStuck(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 1000)
	startTwoTasks(f, newStep(2, 500))
	f.answerRenewal(cell.ActiveRun{Task: "j.0.0.0", Run: 1, Percent: 3}, cell.ActiveRun{Task: "j.0.0.1", Run: 1, Percent: 3})
	f.clearActions()
	f.now += 2 * minStuckTimeout
	f.answerIncompletely(finishedRun(1, "j.0.0.0", cell.OutcomeDone))
	is.Equal(len(actionsOf[SendStop](f)), 0)
}

// TestOrderOfFinishedRunsDoesNotMatter guards against an end that is acknowledged and not processed: the list was read as if it
// were in the order of the numbers.
func TestOrderOfFinishedRunsDoesNotMatter(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 1000)
	startTwoTasks(f, newStep(2, 500))
	f.finishedRuns = []cell.FinishedRun{finishedRun(2, "j.0.0.1", cell.OutcomeDone), finishedRun(1, "j.0.0.0", cell.OutcomeDone)}
	f.answerRenewal()
	is.Equal(f.m.jobs["j"].state, cell.StateCompleted)
}
