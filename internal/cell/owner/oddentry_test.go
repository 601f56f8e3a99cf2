package owner

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gypsumwinch/internal/cell"
)

// TestRunsOfAnUnlistedWorkerAreRenewedAndStopped guards against runs that lapse, or go on after
// their job is cancelled, since the newest entry of their worker is odd and names no worker to
// use (issue 28): leases are renewed and runs stopped at the address of the last good entry, no
// task starts there, and the worker is used again after its next good entry.
func TestRunsOfAnUnlistedWorkerAreRenewedAndStopped(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 1000)
	start := startOneTask(f)
	f.apply(StartResult{Task: start.Task, Run: start.Run, Worker: "w"})
	active := cell.ActiveRun{Task: start.Task.String(), Run: start.Run, Percent: 10}
	f.answerRenewal(active)
	good := f.m.workers["w"].info
	f.apply(WorkersListed{Removed: []string{"w"}})
	f.clearActions()
	leaseEnd := time.Duration(0)
	f.apply(JobSubmitted{Job: newJob("other", newStep(1, 100))})
	for range 20 { // 10 s: longer than the longest lease
		f.now += 500 * time.Millisecond
		f.apply(HeartbeatStored{SentAt: f.now})
		f.apply(Tick{})
		f.scheduleAndRecord()
		for _, r := range actionsOf[Renew](f) {
			is.Equal(r.Renewal.Addr, good.Addr)
			leaseEnd = max(leaseEnd, r.Renewal.LeaseEnd)
		}
		f.clearActions()
		active.Percent++
		f.answerRenewal(active)
		is.Equal(len(actionsOf[SendStart](f)), 0)
	}
	is.True(leaseEnd > f.now) // renewed all the while
	is.Equal(len(f.m.workers["w"].runs), 1)

	f.apply(JobCancelled{Job: "j"})
	stops := actionsOf[SendStop](f)
	is.Equal(len(stops), 1)
	is.Equal(stops[0].Stop.Addr, good.Addr)

	f.clearActions()
	f.apply(WorkersListed{Workers: []cell.Worker{good}})
	f.answerRenewal(active)
	f.apply(Tick{})
	f.scheduleAndRecord()
	is.Equal(len(actionsOf[SendStart](f)), 1) // of the other job
}

// TestEntryWithAnotherAddressOfARunningWorkerIsNotUsed guards against an entry of another writer
// that is complete and has another address than that at which the same incarnation of the
// worker answers: its leases would be renewed and its runs stopped there (issue 28).
func TestEntryWithAnotherAddressOfARunningWorkerIsNotUsed(t *testing.T) {
	for _, born := range []int64{0, 1} {
		is := is.New(t)
		f := newFixture(t, 1000)
		start := startOneTask(f)
		f.apply(StartResult{Task: start.Task, Run: start.Run, Worker: "w"})
		active := cell.ActiveRun{Task: start.Task.String(), Run: start.Run, Percent: 10}
		f.answerRenewal(active)
		good := f.m.workers["w"].info
		odd := good
		odd.Addr, odd.Born = "10.9.9.9:1", born
		f.apply(WorkersListed{Workers: []cell.Worker{odd}})
		f.clearActions()
		f.apply(JobSubmitted{Job: newJob("other", newStep(1, 100))})
		f.scheduleAndRecord()
		is.Equal(len(actionsOf[SendStart](f)), 0)
		f.answerRenewal(active)
		f.apply(JobCancelled{Job: "j"})
		f.now += 2 * time.Second
		f.apply(Tick{})
		is.True(len(actionsOf[Renew](f)) > 0)
		for _, r := range actionsOf[Renew](f) {
			is.Equal(r.Renewal.Addr, good.Addr)
		}
		is.Equal(actionsOf[SendStop](f)[0].Stop.Addr, good.Addr)

		f.apply(WorkersListed{Workers: []cell.Worker{good}})
		f.answerRenewal(active)
		f.apply(Tick{})
		f.scheduleAndRecord()
		is.Equal(len(actionsOf[SendStart](f)), 1)

		// A later incarnation may be at another address.
		moved := good
		moved.Addr, moved.Born = "10.9.9.9:1", 2
		f.apply(WorkersListed{Workers: []cell.Worker{moved}})
		is.Equal(f.m.workers["w"].info.Addr, moved.Addr)
	}
}

// TestEntryWithAStartTimeInTheFutureIsNoRestart guards against an entry of another writer whose
// start time is later than the time of day: the worker counted as restarted, and its runs
// were started elsewhere while they went on (issue 28).
func TestEntryWithAStartTimeInTheFutureIsNoRestart(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 1000)
	f.addWorker("z", 1000)
	start := startOneTask(f)
	f.apply(StartResult{Task: start.Task, Run: start.Run, Worker: start.Worker})
	active := cell.ActiveRun{Task: start.Task.String(), Run: start.Run, Percent: 10}
	f.apply(RenewResult{Worker: start.Worker, SentAt: f.now, Inventory: cell.Inventory{Clock: f.now, Born: 1, ActiveRuns: []cell.ActiveRun{active}}})
	f.clearActions()
	odd := f.m.workers[start.Worker].info
	odd.Born = f.time().Wall.Add(time.Hour).UnixMilli()
	f.apply(WorkersListed{Workers: []cell.Worker{odd}})
	f.scheduleAndRecord()
	is.Equal(len(actionsOf[SendStart](f)), 0)
	is.Equal(len(f.m.workers[start.Worker].runs), 1)
	is.True(!f.m.isUsable(f.m.workers[start.Worker]))

	restarted := odd
	restarted.Born = f.time().Wall.Add(time.Second).UnixMilli() // clocks differ by seconds
	f.apply(WorkersListed{Workers: []cell.Worker{restarted}})
	f.scheduleAndRecord()
	is.Equal(len(actionsOf[SendStart](f)), 1)
}
