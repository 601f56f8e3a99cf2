package owner

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"gypsumwinch/internal/cell"
)

// silentTakeover returns an owner that has recovered a run on worker w.
func silentTakeover(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{t: t}
	f.m = New(Options{Term: 3, LeaseLimit: simLeaseLimit, GangTimeout: simGangTimeout}, f.time())
	f.apply(FormerOwnersFenced{RenewalsEnd: f.now + AuthorityTimeout})
	f.apply(JobSubmitted{Job: newJob("j", newStep(1, 500)), Progress: &cell.Progress{State: cell.StateRunning, Steps: []cell.StepProgress{
		{LastRun: 1, OpenRuns: []cell.OpenRun{{Run: 1, Worker: "w", Born: 1}}}}}})
	f.apply(WorkersListed{Workers: []cell.Worker{restartedWorker(1)}})
	return f
}

// TestLeaseOfTheFormerOwnerIsWaitedOut guards against a task that runs twice: a worker falls silent before this owner could extend its lease.
func TestLeaseOfTheFormerOwnerIsWaitedOut(t *testing.T) {
	is := is.New(t)
	f := silentTakeover(t)
	f.now = AuthorityTimeout + time.Second // the store has accepted no heartbeat
	f.answerRenewalAs(1, cell.ActiveRun{Task: "j.0.0.0", Run: 1, Percent: 10})
	answered := f.now
	is.Equal(f.m.workers["w"].leaseEnd, time.Duration(0))
	f.apply(RenewResult{Worker: "w", SentAt: f.now, Err: errors.New("no answer")})
	f.now = answered + simLeaseLimit - 100*time.Millisecond
	f.apply(Tick{})
	is.Equal(len(f.m.workers["w"].runs), 1)
}
