package owner

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"gypsumwinch/internal/cell"
)

// silentTakeover returns an owner that has recovered a run on worker w, of which the former
// owner recorded the given bounds.
func silentTakeover(t *testing.T, bounds []LeaseBound) *fixture {
	t.Helper()
	f := &fixture{t: t}
	f.m = New(Options{Term: 3, LeaseLimit: simLeaseLimit, GangTimeout: simGangTimeout}, f.time())
	f.apply(FormerOwnersFenced{RenewalsEnd: f.now + AuthorityTimeout, Bounds: bounds})
	f.apply(JobSubmitted{Job: newJob("j", newStep(1, 500)), Progress: &cell.Progress{State: cell.StateRunning, Steps: []cell.StepProgress{
		{LastRun: 1, OpenRuns: []cell.OpenRun{{Run: 1, Worker: "w", Born: 1}}}}}})
	f.apply(WorkersListed{Workers: []cell.Worker{restartedWorker(1)}})
	return f
}

// silence fails the renewals of worker w until a time.
func (f *fixture) silence(until time.Duration) {
	for f.now < until {
		f.now += 25 * time.Millisecond
		f.apply(HeartbeatStored{SentAt: f.now})
		f.apply(RenewResult{Worker: "w", SentAt: f.now, Err: errors.New("no answer")})
		f.apply(Tick{})
	}
}

// storeStatement stores the present statement and returns it.
func (f *fixture) storeStatement() *LeaseStatement {
	f.apply(Tick{})
	s := f.m.LeaseStatement()
	f.apply(LeaseStatementStored{Version: s.Version})
	return s
}

// TestRecordedBoundEndsTheWaitForASilentWorker guards against runs of a lost worker that wait 11.3 s again after each change of the owner.
func TestRecordedBoundEndsTheWaitForASilentWorker(t *testing.T) {
	for name, c := range map[string]struct {
		born int64
		want time.Duration
	}{
		"same incarnation":    {1, 2 * time.Second},
		"another incarnation": {2, AuthorityTimeout + 6*time.Second},
		"unknown incarnation": {0, AuthorityTimeout + 6*time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := silentTakeover(t, []LeaseBound{{Worker: "w", Born: c.born, End: 2 * time.Second}})
			f.silence(c.want - 100*time.Millisecond)
			is.Equal(len(f.m.workers["w"].runs), 1)
			f.silence(c.want + 500*time.Millisecond)
			is.Equal(len(f.m.workers["w"].runs), 0)
		})
	}
}

// TestBoundsPassThroughASuccessor guards against a wait that begins anew with the owner after the next.
func TestBoundsPassThroughASuccessor(t *testing.T) {
	is := is.New(t)
	f := silentTakeover(t, []LeaseBound{{Worker: "w", Born: 1, End: 4 * time.Second}})
	f.now += 3 * time.Second // in a slow store
	s := f.storeStatement()
	is.Equal(s.Bounds, []LeaseBound{{Worker: "w", Born: 1, End: 4 * time.Second}})
	f = silentTakeover(t, nil)
	f.silence(600 * time.Millisecond)
	s = f.storeStatement()
	is.Equal(len(s.Bounds), 1)
	is.Equal(s.Bounds[0].End, f.m.leaseBound(f.m.workers["w"]))
}

// TestNamedLeaseIsNotExtended guards against a task that runs twice: a successor relies on a bound while the owner extends the lease.
func TestNamedLeaseIsNotExtended(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 1000)
	start := startOneTask(f)
	f.apply(StartResult{Task: start.Task, Run: start.Run, Worker: start.Worker})
	f.silence(2 * time.Second)
	named := f.storeStatement()
	is.Equal(len(named.Bounds), 1)
	w := f.m.workers["w"]
	end := w.leaseEnd
	run := cell.ActiveRun{Task: start.Task.String(), Run: start.Run, Percent: 10}
	f.answerRenewalAs(1, run)
	is.Equal(w.failedRenewals, 0)
	is.Equal(f.m.extendLease(w), end) // the record still names the worker
	is.True(!f.m.isUsable(w))
	f.apply(Tick{})
	f.apply(LeaseStatementStored{Version: named.Version}) // an earlier heartbeat
	is.Equal(f.m.extendLease(w), end)
	is.Equal(len(f.storeStatement().Bounds), 0)
	is.True(f.m.extendLease(w) > end)
	is.True(f.m.isUsable(w))
}

// TestRemovedWorkerStaysNamed guards against a lease that is extended although a record names the worker, after its entry was gone for a while.
func TestRemovedWorkerStaysNamed(t *testing.T) {
	is := is.New(t)
	f := silentTakeover(t, []LeaseBound{{Worker: "w", Born: 1, End: 2 * time.Second}})
	f.storeStatement()
	f.apply(WorkersListed{Removed: []string{"w"}})
	f.silence(3 * time.Second)
	is.Equal(f.m.workers["w"], nil)
	f.apply(WorkersListed{Workers: []cell.Worker{restartedWorker(1)}})
	f.answerRenewalAs(1)
	w := f.m.workers["w"]
	is.Equal(f.m.extendLease(w), time.Duration(0))
	is.Equal(len(f.storeStatement().Bounds), 0)
	is.True(f.m.extendLease(w) > 0)
}

// TestNoWorkerIsNamedInAnOutage guards against tasks that are lost because their lease cannot be extended until the store is back.
func TestNoWorkerIsNamedInAnOutage(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 1000)
	start := startOneTask(f)
	f.apply(StartResult{Task: start.Task, Run: start.Run, Worker: start.Worker})
	f.apply(HeartbeatStored{SentAt: f.now})
	f.now += maxStatementStoreAge
	for range 10 {
		f.now += 25 * time.Millisecond
		f.apply(RenewResult{Worker: "w", SentAt: f.now, Err: errors.New("no answer")})
		f.apply(Tick{})
	}
	is.Equal(len(f.m.LeaseStatement().Bounds), 0)
}

// TestLeaseOfTheFormerOwnerIsWaitedOut guards against a task that runs twice: a worker falls silent before this owner could extend its lease.
func TestLeaseOfTheFormerOwnerIsWaitedOut(t *testing.T) {
	is := is.New(t)
	f := silentTakeover(t, nil)
	f.now = AuthorityTimeout + time.Second // the store has accepted no heartbeat
	f.answerRenewalAs(1, cell.ActiveRun{Task: "j.0.0.0", Run: 1, Percent: 10})
	answered := f.now
	is.Equal(f.m.workers["w"].leaseEnd, time.Duration(0))
	f.apply(RenewResult{Worker: "w", SentAt: f.now, Err: errors.New("no answer")})
	f.now = answered + simLeaseLimit - 100*time.Millisecond
	f.apply(Tick{})
	is.Equal(len(f.m.workers["w"].runs), 1)
}

// TestFailedEndAfterALapseIsNotCounted guards against a job that fails for an attempt which the platform does not count: the lease lapsed before the end was taken note of.
func TestFailedEndAfterALapseIsNotCounted(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 1000)
	start := startOneTask(f)
	f.apply(StartResult{Task: start.Task, Run: start.Run, Worker: start.Worker})
	w := f.m.workers["w"]
	bound := f.m.leaseBound(w)
	f.silence(bound - 50*time.Millisecond)
	is.Equal(len(w.runs), 1) // until the lease has lapsed, an end that is listed counts
	f.silence(bound + 50*time.Millisecond)
	is.Equal(len(w.runs), 0)
	f.finishedRuns = []cell.FinishedRun{{Number: 1, Task: start.Task.String(), Run: start.Run, Outcome: cell.OutcomeFailed}}
	f.answerRenewal()
	task := &f.m.jobs["j"].steps[start.Task.StepID].tasks[0]
	is.Equal(task.failedRuns, 0)
	is.True(!f.m.jobs["j"].state.IsFinal())
	is.Equal(w.processedCursor, int64(1))
}
