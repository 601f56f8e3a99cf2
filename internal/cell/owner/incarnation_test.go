package owner

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gypsumwinch/internal/cell"
	"gypsumwinch/internal/structs"
)

// restartedWorker is the entry of worker w after its process has restarted.
func restartedWorker(born int64) cell.Worker {
	return cell.Worker{ID: "w", Service: "s", Addr: "w:1", Born: born, Capacity: structs.Resources{MilliCPU: 1000, MemoryMB: 1000}}
}

// startOneTask submits a job of one task and returns its start request.
func startOneTask(f *fixture) cell.Start {
	f.t.Helper()
	f.apply(JobSubmitted{Job: newJob("j", newStep(1, 500))})
	f.scheduleAndRecord()
	return actionsOf[SendStart](f)[0].Start
}

// answerRenewalAs answers a renewal sent now by the incarnation born.
func (f *fixture) answerRenewalAs(born int64, active ...cell.ActiveRun) {
	sentAt := f.now
	f.apply(RenewResult{Worker: "w", SentAt: sentAt, Inventory: cell.Inventory{Clock: f.now, Born: born, ActiveRuns: active}})
}

// TestRunAcceptedByANewIncarnationIsKept guards against a task that runs twice: a
// worker restarts under its id, accepts a start request that was meant for its
// former incarnation, and only then does the owner learn that it has restarted.
func TestRunAcceptedByANewIncarnationIsKept(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 1000)
	f.addWorker("z", 1000)
	start := startOneTask(f)
	f.apply(StartResult{Task: start.Task, Run: start.Run, Worker: start.Worker})
	f.apply(WorkersListed{Workers: []cell.Worker{restartedWorker(2)}})
	f.clearActions()
	f.scheduleAndRecord()
	is.Equal(len(actionsOf[SendStart](f)), 0) // the new incarnation has not been asked yet
	f.answerRenewalAs(2, cell.ActiveRun{Task: start.Task.String(), Run: start.Run, Percent: 10})
	f.scheduleAndRecord()
	is.Equal(len(actionsOf[SendStart](f)), 0)
	is.Equal(len(actionsOf[SendStop](f)), 0)
}

// TestRunThatANewIncarnationDoesNotListStartsAgain is the other side: once the new
// incarnation does not list the run, it ended with the former one.
func TestRunThatANewIncarnationDoesNotListStartsAgain(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 1000)
	f.addWorker("z", 1000)
	start := startOneTask(f)
	f.apply(StartResult{Task: start.Task, Run: start.Run, Worker: start.Worker})
	f.apply(WorkersListed{Workers: []cell.Worker{restartedWorker(2)}})
	f.clearActions()
	f.answerRenewalAs(2)
	f.scheduleAndRecord()
	starts := actionsOf[SendStart](f)
	is.Equal(len(starts), 1)
	is.Equal(starts[0].Start.Run, start.Run+1)
}

// TestListedRunEndsWithItsIncarnation guards the time after which lost work starts
// again: a run that the former incarnation listed needs no answer of the new one.
func TestListedRunEndsWithItsIncarnation(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 1000)
	f.addWorker("z", 1000)
	start := startOneTask(f)
	f.apply(StartResult{Task: start.Task, Run: start.Run, Worker: start.Worker})
	f.answerRenewalAs(1, cell.ActiveRun{Task: start.Task.String(), Run: start.Run, Percent: 10})
	f.clearActions()
	f.apply(WorkersListed{Workers: []cell.Worker{restartedWorker(2)}})
	f.scheduleAndRecord()
	is.Equal(len(actionsOf[SendStart](f)), 1)
}

// TestUnansweredStartIsStoppedOnANewIncarnation guards against a start request that
// a new incarnation carries out late, after the task has started again elsewhere.
func TestUnansweredStartIsStoppedOnANewIncarnation(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 1000)
	f.addWorker("z", 1000)
	start := startOneTask(f)
	f.apply(StartResult{Task: start.Task, Run: start.Run, Worker: start.Worker, Err: errNoAnswer})
	f.answerRenewalAs(1, cell.ActiveRun{Task: start.Task.String(), Run: start.Run, Percent: 10})
	f.clearActions()
	f.apply(WorkersListed{Workers: []cell.Worker{restartedWorker(2)}})
	f.answerRenewalAs(2)
	f.scheduleAndRecord()
	is.Equal(len(actionsOf[SendStart](f)), 0) // only the answer to the stop request decides
	stops := actionsOf[SendStop](f)
	is.Equal(len(stops), 1)
	f.apply(StopResult{Task: stops[0].Stop.Task, Run: stops[0].Stop.Run, Worker: "w"})
	f.now += time.Millisecond
	f.answerRenewalAs(2)
	f.scheduleAndRecord()
	is.Equal(len(actionsOf[SendStart](f)), 1)
}

// TestConfirmedRunWithAnUnansweredStartIsStoppedOnANewIncarnation guards against a start request without an answer that a new incarnation carries out late, when the repeated request had been confirmed.
func TestConfirmedRunWithAnUnansweredStartIsStoppedOnANewIncarnation(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 1000)
	f.addWorker("z", 1000)
	start := startOneTask(f)
	f.apply(StartResult{Task: start.Task, Run: start.Run, Worker: start.Worker, Err: errNoAnswer})
	f.now += requestRetryInterval
	f.apply(Tick{})
	f.apply(StartResult{Task: start.Task, Run: start.Run, Worker: start.Worker}) // the repeated request
	f.clearActions()
	f.apply(WorkersListed{Workers: []cell.Worker{restartedWorker(2)}})
	f.now += time.Millisecond
	f.answerRenewalAs(2)
	f.scheduleAndRecord()
	is.Equal(len(actionsOf[SendStart](f)), 0) // only the answer to the stop request decides
	stops := actionsOf[SendStop](f)
	is.Equal(len(stops), 1)
	f.apply(StopResult{Task: stops[0].Stop.Task, Run: stops[0].Stop.Run, Worker: "w"})
	f.now += time.Millisecond
	f.answerRenewalAs(2)
	f.scheduleAndRecord()
	is.Equal(len(actionsOf[SendStart](f)), 1)
}

// TestAnswerOfAFormerIncarnationIsIgnored guards against a worker that is taken back
// to its former incarnation by an answer that was under way when it restarted.
func TestAnswerOfAFormerIncarnationIsIgnored(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 1000)
	start := startOneTask(f)
	f.apply(StartResult{Task: start.Task, Run: start.Run, Worker: start.Worker})
	sentAt := f.now
	f.now += 100 * time.Millisecond
	f.apply(WorkersListed{Workers: []cell.Worker{restartedWorker(2)}})
	f.apply(RenewResult{Worker: "w", SentAt: sentAt, Inventory: cell.Inventory{Clock: f.now, Born: 1}})
	is.Equal(f.m.workers["w"].info.Born, int64(2))
}

// TestCursorNeedsAFreshAnswer guards against a finished run that is forgotten unseen: while
// a record waits for a slow store, no renewal is in flight that would fail when the worker
// restarts, and the new incarnation would apply the cursor of the former one.
func TestCursorNeedsAFreshAnswer(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 1000)
	start := startOneTask(f)
	f.apply(StartResult{Task: start.Task, Run: start.Run, Worker: start.Worker})
	f.finishedRuns = []cell.FinishedRun{{Number: 1, Task: start.Task.String(), Run: start.Run, Outcome: cell.OutcomeDone}}
	f.answerRenewal()
	_, number, err := f.m.TakeBatch()
	is.NoErr(err)
	f.clearActions()
	f.now += 500 * time.Millisecond // the store is slow
	f.apply(BatchStored{Batch: number})
	renewals := actionsOf[Renew](f)
	is.Equal(len(renewals), 1)
	is.Equal(renewals[0].Renewal.Cursor, int64(0)) // another incarnation may receive it
	f.clearActions()
	f.answerRenewal()
	f.apply(Tick{})
	renewals = actionsOf[Renew](f)
	is.Equal(len(renewals), 1)
	is.Equal(renewals[0].Renewal.Cursor, int64(1)) // the worker has just shown that it is the same
	f.clearActions()
	f.answerRenewal()
	f.apply(Tick{})
	is.Equal(actionsOf[Renew](f)[0].Renewal.Cursor, int64(0)) // nothing new
}
