package owner

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gypsumwinch/internal/cell"
)

// takeOverRunOf returns a new owner of a running job whose recorded progress is that of a
// former owner, which started the job's task on a worker. The store does not list the worker.
func takeOverRunOf(t *testing.T, info cell.Worker) *fixture {
	t.Helper()
	former := newFixture(t, 4000)
	former.apply(WorkersListed{Workers: []cell.Worker{info}, Removed: []string{"w"}})
	former.apply(Tick{})
	former.apply(RenewResult{Worker: info.ID, SentAt: former.now, Inventory: cell.Inventory{Clock: former.now, Born: info.Born}})
	job := newJob("j", newStep(1, 500))
	former.apply(JobSubmitted{Job: job})
	former.actions = append(former.actions, former.m.Place(former.time(), unlimitedAdvice)...)
	records, _, err := former.m.TakeBatch()
	if err != nil || len(records) != 1 {
		t.Fatalf("%d records, error %v", len(records), err)
	}
	progress, err := cell.DecodeProgress(records[0].Value)
	if err != nil {
		t.Fatal(err)
	}
	f := newFixture(t, 4000)
	f.apply(JobSubmitted{Job: job, Progress: progress})
	f.clearActions()
	return f
}

// TestRunOnAnUnlistedWorkerIsStoppedAfterATakeover guards against a task of a cancelled job that
// runs on until its lease lapses because the store no longer lists its worker.
func TestRunOnAnUnlistedWorkerIsStoppedAfterATakeover(t *testing.T) {
	is := is.New(t)
	f := takeOverRunOf(t, cell.Worker{ID: "u", Service: "s", Addr: "u:1", Born: 7, Capacity: newJob("j", newStep(1, 500)).Steps[0].Need})
	f.apply(JobCancelled{Job: "j"})
	f.apply(Tick{})
	stops := actionsOf[SendStop](f)
	is.Equal(len(stops), 1)
	is.Equal(stops[0].Stop.Addr, "u:1")
	is.Equal(actionsOf[Renew](f)[0].Renewal.Addr, "u:1")
	f.apply(StopResult{Task: "j.0.0.0", Run: 1, Worker: "u"})
	f.apply(RenewResult{Worker: "u", SentAt: f.now, Inventory: cell.Inventory{Clock: f.now, Born: 7}})
	is.Equal(len(f.m.workers["u"].runs), 0)
}

// TestRunOnAnUnlistedWorkerGoesOnAfterATakeover guards against work that is lost with its lease
// because the store does not list its worker while the owner changes.
func TestRunOnAnUnlistedWorkerGoesOnAfterATakeover(t *testing.T) {
	is := is.New(t)
	f := takeOverRunOf(t, cell.Worker{ID: "u", Service: "s", Addr: "u:1", Born: 7, Capacity: newJob("j", newStep(1, 500)).Steps[0].Need})
	f.apply(Tick{})
	f.apply(RenewResult{Worker: "u", SentAt: f.now, Inventory: cell.Inventory{Clock: f.now, Born: 7, ActiveRuns: []cell.ActiveRun{{Task: "j.0.0.0", Run: 1, Percent: 10}}}})
	f.now += time.Second
	f.clearActions()
	f.apply(Tick{})
	f.apply(RenewResult{Worker: "u", SentAt: f.now, Inventory: cell.Inventory{Clock: f.now, Born: 7, ActiveRuns: []cell.ActiveRun{{Task: "j.0.0.0", Run: 1, Percent: 20}}}})
	f.now += 2 * time.Second
	f.apply(Tick{})
	is.True(f.m.workers["u"].leaseEnd > f.now) // the lease is renewed
	is.True(!f.m.isUsable(f.m.workers["u"]))   // but nothing new starts there
}

// TestLaterAddressOfAnUnlistedWorkerCounts guards against calls to the address of a former
// process of a worker that has started again elsewhere: the answer of another worker there
// would count as the end of its runs.
func TestLaterAddressOfAnUnlistedWorkerCounts(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 4000)
	for i, open := range []cell.OpenRun{{Run: 1, Worker: "u", Born: 7, Addr: "old:1"}, {Run: 1, Worker: "u", Born: 9, Addr: "new:1"}, {Run: 1, Worker: "u", Born: 8, Addr: "mid:1"}} {
		id := cell.JobID([]string{"j", "k", "l"}[i])
		f.apply(JobSubmitted{Job: newJob(id, newStep(1, 500)), Progress: &cell.Progress{State: cell.StateRunning, Steps: []cell.StepProgress{{LastRun: 1, OpenRuns: []cell.OpenRun{open}}}}})
	}
	f.apply(Tick{})
	renewals := actionsOf[Renew](f)
	is.Equal(renewals[len(renewals)-1].Renewal.Addr, "new:1")
	f.apply(RenewResult{Worker: "u", SentAt: f.now, Refusal: cell.RefusedIncarnation})
	is.Equal(len(f.m.workers["u"].runs), 0) // all processes up to the one at new:1 have ended
}

// TestUnknownRunOnAnUnlistedWorkerIsStopped guards against a run that goes on until its
// lease ends: a worker whose entry had disappeared was forgotten at once if it had no known
// run, and was not called again.
func TestUnknownRunOnAnUnlistedWorkerIsStopped(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 1000)
	f.apply(WorkersListed{Removed: []string{"w"}})
	f.apply(Tick{})
	f.answerRenewal(cell.ActiveRun{Task: "j.0.0.0", Run: 1})
	is.Equal(len(actionsOf[SendStop](f)), 1)
}

// TestUnlistedWorkerIsForgotten guards against workers that are called for ever after they
// have left.
func TestUnlistedWorkerIsForgotten(t *testing.T) {
	t.Run("no answer", func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t, 1000)
		f.apply(WorkersListed{Removed: []string{"w"}})
		for range silentRenewals {
			f.apply(RenewResult{Worker: "w", SentAt: f.now, Err: errNoAnswer})
		}
		f.apply(Tick{})
		is.Equal(len(f.m.workers), 0)
	})
	t.Run("lease has expired", func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t, 1000)
		f.apply(WorkersListed{Removed: []string{"w"}})
		for end := f.now + simLeaseLimit + time.Second; f.now < end; f.now += 100 * time.Millisecond {
			f.answerRenewal()
			f.apply(Tick{})
		}
		is.Equal(len(f.m.workers), 0)
	})
}

// openRunOn returns a running job with one recorded run.
func openRunOn(id cell.JobID, open cell.OpenRun) JobSubmitted {
	return JobSubmitted{Job: newJob(id, newStep(1, 500)), Progress: &cell.Progress{State: cell.StateRunning, Steps: []cell.StepProgress{{LastRun: 1, OpenRuns: []cell.OpenRun{open}}}}}
}

// TestRecordWithoutAnAddressKeepsTheKnownOne guards against an unlisted worker that cannot be
// called any more since a record of a previous build, which has no address, is a later one.
func TestRecordWithoutAnAddressKeepsTheKnownOne(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 4000)
	f.clearActions()
	f.apply(openRunOn("j", cell.OpenRun{Run: 1, Worker: "u", Born: 7, Addr: "u:1"}))
	f.apply(openRunOn("k", cell.OpenRun{Run: 1, Worker: "u", Born: 9}))
	f.apply(Tick{})
	is.Equal(f.m.workers["u"].info.Addr, "u:1")
	is.Equal(f.m.workers["u"].info.Born, int64(7)) // the incarnation at that address
}

// TestListedWorkerIsCalledAtItsListedAddress guards against a recorded address that replaces
// that of the list: its start time would be set too, so that the restart of the worker
// goes unnoticed.
func TestListedWorkerIsCalledAtItsListedAddress(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 4000)
	f.apply(WorkersListed{Workers: []cell.Worker{{ID: "u", Service: "s", Addr: "u:1", Born: 7, Capacity: newStep(1, 4000).Need}}})
	f.apply(openRunOn("j", cell.OpenRun{Run: 1, Worker: "u", Born: 9, Addr: "u:2"}))
	is.Equal(f.m.workers["u"].info.Addr, "u:1")
	is.Equal(f.m.workers["u"].info.Born, int64(7))
}
