package owner

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gypsumwinch/internal/cell"
)

// startWithoutAnswer plans a task that needs label a on worker w; its start request gets no answer.
func startWithoutAnswer(t *testing.T) *fixture {
	t.Helper()
	f, step := newLabelFixture(t)
	f.apply(JobSubmitted{Job: newJob("j", step)})
	f.scheduleAndRecord()
	start := actionsOf[SendStart](f)[0].Start
	f.apply(StartResult{Task: start.Task, Run: start.Run, Worker: "w", Err: errNoAnswer})
	f.clearActions()
	return f
}

// TestUnansweredStartIsNotRepeatedToAnUnsuitableWorker guards against a start request that is sent again although its
// worker has become unsuitable: the run was planned on another process of the worker, or before it began to drain.
func TestUnansweredStartIsNotRepeatedToAnUnsuitableWorker(t *testing.T) {
	draining, otherService, smaller := labelledWorker(1, "a"), labelledWorker(2, "a"), labelledWorker(2, "a")
	draining.Draining = true
	otherService.Service = "other"
	smaller.Capacity.MilliCPU = 400
	for name, ev := range map[string]WorkersListed{
		"restarted as another kind":       {Workers: []cell.Worker{labelledWorker(2, "b")}},
		"restarted with another service":  {Workers: []cell.Worker{otherService}},
		"restarted with smaller capacity": {Workers: []cell.Worker{smaller}},
		"draining":                        {Workers: []cell.Worker{draining}},
		"unlisted":                        {Removed: []string{"w"}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := startWithoutAnswer(t)
			f.apply(ev)
			f.answerRenewalAs(f.m.workers["w"].info.Born)
			f.now += requestRetryInterval
			f.apply(Tick{})
			is.Equal(len(actionsOf[SendStart](f)), 0)
			is.Equal(len(actionsOf[SendStop](f)), 1) // the worker may still carry out the first request
		})
	}
}

// TestUnansweredStartWaitsForTheEntryOfARestartedWorker guards against a start request that is sent again to a process
// of which only the start time is known, and against one that is given up although the process is suitable.
func TestUnansweredStartWaitsForTheEntryOfARestartedWorker(t *testing.T) {
	is := is.New(t)
	f := startWithoutAnswer(t)
	f.answerRenewalAs(2)
	f.now += requestRetryInterval
	f.apply(Tick{})
	is.Equal(len(actionsOf[SendStart](f)), 0)
	is.Equal(len(actionsOf[SendStop](f)), 0)
	f.apply(WorkersListed{Workers: []cell.Worker{labelledWorker(2, "a")}})
	f.apply(Tick{})
	is.Equal(len(actionsOf[SendStart](f)), 1)
}

// TestUnansweredStartWaitsForASilentWorker guards against a start request that reaches the next process of a worker before
// its answer to a renewal shows that there is one.
func TestUnansweredStartWaitsForASilentWorker(t *testing.T) {
	is := is.New(t)
	f := startWithoutAnswer(t)
	f.apply(RenewResult{Worker: "w", SentAt: f.now, Err: errNoAnswer})
	f.now += requestRetryInterval
	f.apply(Tick{})
	is.Equal(len(actionsOf[SendStart](f)), 0)
	f.now += time.Second
	f.apply(Tick{})
	f.answerRenewalAs(1)
	f.apply(Tick{})
	is.Equal(len(actionsOf[SendStart](f)), 1)
}

// TestTicketOfAFormerProcessIsNotSentAgain guards against start requests that a worker refuses: a ticket is valid during
// one life of a worker.
func TestTicketOfAFormerProcessIsNotSentAgain(t *testing.T) {
	is := is.New(t)
	f := startWithoutAnswer(t)
	r := f.m.workers["w"].runs[runKey{"j.0.0.0", 1}]
	r.ticket, r.ticketExpiresAt = "t", f.now+time.Minute
	f.apply(WorkersListed{Workers: []cell.Worker{labelledWorker(2, "a")}})
	f.answerRenewalAs(2)
	f.now += requestRetryInterval
	f.apply(Tick{})
	is.Equal(len(actionsOf[SendStart](f)), 0)
	is.Equal(len(actionsOf[SendStop](f)), 1)
}
