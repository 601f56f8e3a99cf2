package owner

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gypsumwinch/internal/cell"
)

// TestRequestsUnderWayAtTheTakeoverAreWaitedFor guards against a task that starts twice, since a worker that restarted carries out a start of an ended owner late and this owner does not reach it.
func TestRequestsUnderWayAtTheTakeoverAreWaitedFor(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 1000)
	f.apply(FormerOwnersFenced{RenewalsEnd: f.now}) // the processes of all former owners have ended
	f.apply(JobSubmitted{Job: newJob("j", newStep(1, 500)), Progress: &cell.Progress{State: cell.StateRunning, Steps: []cell.StepProgress{
		{LastRun: 1, OpenRuns: []cell.OpenRun{{Run: 1, Worker: "dead", Born: 1}}},
	}}})
	for f.now < lateRequestMargin+simLeaseLimit {
		f.now += 25 * time.Millisecond
		f.answerRenewal()
		f.apply(HeartbeatStored{SentAt: f.now})
		f.apply(Tick{})
		f.scheduleAndRecord()
	}
	is.Equal(len(actionsOf[SendStart](f)), 0)
}

// TestRefusalSentBeforeARestartWasSeenProvesNothing guards against runs of a new incarnation that are given up by the late answer to a call of the one before.
func TestRefusalSentBeforeARestartWasSeenProvesNothing(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 1000)
	start := startOneTask(f)
	f.apply(StartResult{Task: start.Task, Run: start.Run, Worker: "w"})
	sentAt := f.now
	f.now += 100 * time.Millisecond
	f.apply(WorkersListed{Workers: []cell.Worker{restartedWorker(2)}})
	f.apply(RenewResult{Worker: "w", SentAt: sentAt, Refusal: cell.RefusedIncarnation})
	is.Equal(len(f.m.workers["w"].runs), 1)
}
