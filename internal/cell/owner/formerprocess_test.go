package owner

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gypsumwinch/internal/cell"
)

// TestStartConfirmedByAFormerProcessIsRepeated guards against a run that counts as running on a process which does not have
// it, and against the clock of the former process: a lease that seems to end an hour later keeps the tasks of a
// worker from starting again for that long. The answers of both processes wait while the owner is frozen.
func TestStartConfirmedByAFormerProcessIsRepeated(t *testing.T) {
	is := is.New(t)
	f, step := newLabelFixture(t)
	f.apply(JobSubmitted{Job: newJob("j", step)})
	f.scheduleAndRecord()
	start := actionsOf[SendStart](f)[0].Start
	f.apply(WorkersListed{Workers: []cell.Worker{labelledWorker(2, "a")}})
	f.answerRenewalAs(2)
	f.clearActions()
	f.apply(StartResult{Task: start.Task, Run: start.Run, Worker: "w", Clock: time.Hour})
	f.now += requestRetryInterval
	f.apply(Tick{})
	is.Equal(len(actionsOf[SendStart](f)), 1)
	f.answerRenewalAs(2)
	w := f.m.workers["w"]
	is.True(f.m.leaseBound(w) < f.now+simLeaseLimit+time.Second)
}

// TestStopConfirmedByAFormerProcessIsRepeated guards against a task that runs twice: the next process of the worker, which was
// not told to stop the run, may carry out a start request without an answer after the task has started elsewhere.
func TestStopConfirmedByAFormerProcessIsRepeated(t *testing.T) {
	is := is.New(t)
	f := startWithoutAnswer(t)
	f.m.stopRun(f.m.workers["w"].runs[runKey{"j.0.0.0", 1}])
	f.apply(WorkersListed{Workers: []cell.Worker{labelledWorker(2, "a")}})
	f.answerRenewalAs(2)
	f.clearActions()
	f.apply(StopResult{Task: "j.0.0.0", Run: 1, Worker: "w"})
	f.now += time.Millisecond
	f.answerRenewalAs(2)
	is.Equal(len(f.m.workers["w"].runs), 1)
	f.apply(Tick{})
	is.Equal(len(actionsOf[SendStop](f)), 1)
	f.apply(StopResult{Task: "j.0.0.0", Run: 1, Worker: "w"})
	f.now += time.Millisecond
	f.answerRenewalAs(2)
	is.Equal(len(f.m.workers["w"].runs), 0)
}

// TestPaceOfAFormerProcessIsForgotten guards against a best-effort task that disturbs the serving ones on its worker: it
// counts as paused, as it was on the former process, and no pace is sent.
func TestPaceOfAFormerProcessIsForgotten(t *testing.T) {
	is := is.New(t)
	f, step := newLabelFixture(t)
	f.apply(JobSubmitted{Job: newJob("j", step)})
	f.scheduleAndRecord()
	r := f.m.workers["w"].runs[runKey{"j.0.0.0", 1}]
	r.pacePercent = 0
	f.apply(WorkersListed{Workers: []cell.Worker{labelledWorker(2, "a")}})
	is.Equal(r.pacePercent, -1)
}

// TestRunsOutliveARefusalAtAFormerAddress guards against a task that runs twice: an entry of an earlier process was read late,
// and the answer of another worker at its address counted as the end of the runs of the later process.
func TestRunsOutliveARefusalAtAFormerAddress(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 4000)
	f.apply(openRunOn("j", cell.OpenRun{Run: 1, Worker: "u", Born: 9, Addr: "new:1"}))
	f.apply(WorkersListed{Workers: []cell.Worker{{ID: "u", Service: "s", Addr: "old:1", Born: 7, Capacity: newStep(1, 4000).Need}}})
	f.clearActions()
	f.apply(Tick{})
	for _, r := range actionsOf[Renew](f) {
		is.True(r.Renewal.Addr != "old:1")
	}
	is.Equal(len(f.m.workers["u"].runs), 1)
}
