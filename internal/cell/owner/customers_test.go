package owner

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gypsumwinch/internal/cell"
	"gypsumwinch/internal/cell/shares"
	"gypsumwinch/internal/structs"
)

// newQuotaFixture returns a fixture whose worker has much room and whose customer c has a quota
// in milli-CPU.
func newQuotaFixture(t *testing.T, quota int64) *fixture {
	f := newFixture(t, 100_000)
	f.m.ledger = shares.NewLedger(0.1)
	f.setQuota(quota)
	return f
}

func (f *fixture) setQuota(quota int64) {
	config := *f.m.config
	config.Version++
	config.Customers = &cell.Customers{List: []cell.Customer{{Name: "c", Weight: 100, MaxRunning: structs.Resources{MilliCPU: quota}}}}
	config.Index()
	f.apply(ConfigChanged{Config: &config})
}

func customerJob(id cell.JobID, steps ...cell.Step) *cell.Job {
	j := newJob(id, steps...)
	j.Customer = "c"
	return j
}

func gangStep(count int, cpu int64) cell.Step {
	s := newStep(count, cpu)
	s.Gang = true
	return s
}

// starts returns the number of start requests since the last call.
func (f *fixture) starts() int {
	f.scheduleAndRecord()
	n := len(actionsOf[SendStart](f))
	f.clearActions()
	return n
}

// TestQuotaLimitsCustomersTogether guards QUOTA over several steps of a customer in one cycle;
// other customers and jobs without one go on.
func TestQuotaLimitsCustomersTogether(t *testing.T) {
	is := is.New(t)
	f := newQuotaFixture(t, 1000)
	f.apply(JobSubmitted{Job: customerJob("a", newStep(2, 300))})
	f.apply(JobSubmitted{Job: customerJob("b", newStep(2, 300))})
	f.apply(JobSubmitted{Job: newJob("none", newStep(5, 300))})
	is.Equal(f.starts(), 3+5)
	need, runs := f.m.ledger.Account("c").Running()
	is.Equal(need.MilliCPU, int64(900))
	is.Equal(runs, 3)
}

// TestRecordedRunsOfAFormerOwnerCount guards QUOTA over a takeover: runs on workers that are
// gone, of a job that has ended, and of occurrences that have no step yet all count until they
// are closed.
func TestRecordedRunsOfAFormerOwnerCount(t *testing.T) {
	is := is.New(t)
	f := newQuotaFixture(t, 1000)
	open := func(state cell.State) *cell.Progress {
		return &cell.Progress{State: state, Steps: []cell.StepProgress{{LastRun: 1, OpenRuns: []cell.OpenRun{{Run: 1, Worker: "gone", Born: 1, Addr: "gone:1"}}}}}
	}
	f.apply(JobSubmitted{Job: customerJob("new", newStep(4, 300))})
	f.apply(JobSubmitted{Job: customerJob("lost", newStep(1, 300)), Progress: open(cell.StateRunning)})
	f.apply(JobSubmitted{Job: customerJob("ended", newStep(1, 300)), Progress: open(cell.StateCancelled)})
	is.Equal(f.starts(), 1)
	f.now += AuthorityTimeout + 2*simLeaseLimit
	f.answerRenewal(cell.ActiveRun{Task: "new.0.0.0", Run: 1})
	f.apply(Tick{}) // the lease of the lost worker has ended
	is.Equal(f.starts(), 2)
}

// TestStoppedRunsCountUntilTheyEnd guards QUOTA while runs are being stopped, also after the
// worker has acknowledged the stop.
func TestStoppedRunsCountUntilTheyEnd(t *testing.T) {
	is := is.New(t)
	f := newQuotaFixture(t, 1000)
	f.apply(JobSubmitted{Job: customerJob("a", newStep(1, 800))})
	is.Equal(f.starts(), 1)
	f.apply(StartResult{Task: cell.TaskID{StepID: cell.StepID{Job: "a"}}, Run: 1, Worker: "w"})
	f.apply(JobCancelled{Job: "a"})
	f.apply(JobSubmitted{Job: customerJob("b", newStep(1, 800))})
	is.Equal(f.starts(), 0)
	f.apply(StopResult{Task: "a.0.0.0", Run: 1, Worker: "w"})
	is.Equal(f.starts(), 0)
	f.now += time.Millisecond
	f.answerRenewal()
	is.Equal(f.starts(), 1)
}

// TestGangStartsWithinQuotaAsAWhole guards against a part of a gang that fills the quota, and
// against a gang that waits forever behind smaller steps of its customer.
func TestGangStartsWithinQuotaAsAWhole(t *testing.T) {
	is := is.New(t)
	f := newQuotaFixture(t, 1000)
	f.apply(JobSubmitted{Job: customerJob("first", newStep(1, 600))})
	is.Equal(f.starts(), 1)
	f.apply(JobSubmitted{Job: customerJob("gang", gangStep(2, 300))})
	late := customerJob("later", newStep(4, 100))
	late.Steps[0].Estimate = 2 * time.Second // a later deadline
	f.apply(JobSubmitted{Job: late})
	is.Equal(f.starts(), 0)
	f.finishedRuns = []cell.FinishedRun{{Number: 1, Task: "first.0.0.0", Run: 1, Outcome: cell.OutcomeDone}}
	f.answerRenewal()
	is.Equal(f.starts(), 2+4)
}

// TestStepAboveQuotaRunsAlone guards steps that do not fit into the quota: a gang may use the
// overshoot and a single task may be larger, each while nothing else runs; a larger gang waits.
func TestStepAboveQuotaRunsAlone(t *testing.T) {
	for _, c := range []struct {
		step cell.Step
		want int
	}{{gangStep(2, 550), 2}, {gangStep(2, 551), 0}, {newStep(1, 5000), 1}, {newStep(2, 1050), 1}} {
		is := is.New(t)
		f := newQuotaFixture(t, 1000)
		f.apply(JobSubmitted{Job: customerJob("a", newStep(1, 100))})
		is.Equal(f.starts(), 1)
		f.apply(JobSubmitted{Job: customerJob("b", c.step)})
		is.Equal(f.starts(), 0)
		f.finishedRuns = []cell.FinishedRun{{Number: 1, Task: "a.0.0.0", Run: 1, Outcome: cell.OutcomeDone}}
		f.answerRenewal()
		is.Equal(f.starts(), c.want)
	}
}

// TestLoweredQuotaStopsUnsentStarts guards QUOTA when the quota falls while the starts of a gang
// are being recorded, and against a kill of what runs already. A raised one is used at once.
func TestLoweredQuotaStopsUnsentStarts(t *testing.T) {
	is := is.New(t)
	f := newQuotaFixture(t, 1000)
	f.apply(JobSubmitted{Job: customerJob("a", newStep(1, 400))})
	is.Equal(f.starts(), 1)
	f.apply(StartResult{Task: cell.TaskID{StepID: cell.StepID{Job: "a"}}, Run: 1, Worker: "w"})
	f.apply(JobSubmitted{Job: customerJob("b", gangStep(2, 300))})
	f.m.Place(f.time(), unlimitedAdvice)
	_, number, err := f.m.TakeBatch()
	is.NoErr(err)
	f.setQuota(300)
	f.apply(BatchStored{Batch: number})
	is.Equal(len(actionsOf[SendStart](f)), 0)
	is.Equal(len(actionsOf[SendStop](f)), 0)
	_, runs := f.m.ledger.Account("c").Running()
	is.Equal(runs, 1)
	is.Equal(f.starts(), 0)
	f.setQuota(1000)
	is.Equal(f.starts(), 2)
	config := *f.m.config
	config.Customers = nil
	f.apply(ConfigChanged{Config: &config}) // the quota of a customer that is gone stays
	f.apply(JobSubmitted{Job: customerJob("c", newStep(1, 300))})
	is.Equal(f.starts(), 0)
}

// TestWaitForQuotaSendsNoQueries guards against advice proxies that are taken for steps which
// may not start: without room by the quota no query is sent, and steps of one customer query
// together for what it may start.
func TestWaitForQuotaSendsNoQueries(t *testing.T) {
	is := is.New(t)
	f := newLargeOwner(300, 0)
	f.t = t
	f.setQuota(22_000)
	f.m.ledger.Account("c").Open(shares.Run{Need: structs.Resources{MilliCPU: 11_000}})
	submit := func(id cell.JobID, tasks int) {
		j := customerJob(id, newStep(tasks, 5500))
		j.Queue, j.AcceptedAt = f.m.config.Queues[0], f.time().Wall
		f.apply(JobSubmitted{Job: j})
	}
	submit("a", 15)
	submit("b", 15)
	submit("c", 15)
	f.scheduleAndRecord()
	queries := actionsOf[QueryAdvice](f)
	is.True(len(queries) > 0)
	for _, q := range queries {
		is.Equal(q.Step.Job, cell.JobID("a")) // for the two tasks of the room that is left
	}
	f.m.ledger.Account("c").Open(shares.Run{Need: structs.Resources{MilliCPU: 11_000}})
	f.clearActions()
	submit("d", 1)
	f.scheduleAndRecord()
	is.Equal(len(actionsOf[QueryAdvice](f)), 0)
}

// TestLongRunningTaskGetsQuotaFirst guards a long-running task without a run against smaller
// tasks of its customer that take each part of the quota that becomes free.
func TestLongRunningTaskGetsQuotaFirst(t *testing.T) {
	is := is.New(t)
	f := newQuotaFixture(t, 1000)
	f.apply(JobSubmitted{Job: customerJob("a", newStep(1, 300))})
	f.apply(JobSubmitted{Job: customerJob("b", newStep(1, 600))})
	is.Equal(f.starts(), 2)
	lasting := newStep(1, 400)
	lasting.LongRunning = true
	f.apply(JobSubmitted{Job: customerJob("lasts", lasting)})
	small := customerJob("small", newStep(3, 100))
	small.Steps[0].Estimate = 2 * time.Second // a later deadline
	f.apply(JobSubmitted{Job: small})
	f.now += quotaHoldLimit
	f.answerRenewal(cell.ActiveRun{Task: "a.0.0.0", Run: 1}, cell.ActiveRun{Task: "b.0.0.0", Run: 1})
	is.Equal(f.starts(), 0)
	f.finishedRuns = []cell.FinishedRun{{Number: 1, Task: "a.0.0.0", Run: 1, Outcome: cell.OutcomeDone}}
	f.answerRenewal(cell.ActiveRun{Task: "b.0.0.0", Run: 1})
	f.scheduleAndRecord()
	is.Equal(actionsOf[SendStart](f)[0].Start.Task.Job, cell.JobID("lasts"))
	is.Equal(len(actionsOf[SendStart](f)), 1)
}

// TestLargeTaskGetsItsPartOfTheQuota guards a task that needs much of the quota against a stream of small tasks of its
// customer, which come after it and take each part that becomes free.
func TestLargeTaskGetsItsPartOfTheQuota(t *testing.T) {
	is := is.New(t)
	f := newQuotaFixture(t, 1000)
	for i := range 10 {
		f.apply(JobSubmitted{Job: customerJob(simJobID(i), newStep(1, 100))})
	}
	is.Equal(f.starts(), 10)
	f.apply(JobSubmitted{Job: customerJob("large", newStep(2, 300))})
	later := customerJob("later", newStep(100, 100))
	later.Steps[0].Estimate = 2 * time.Second
	f.apply(JobSubmitted{Job: later})
	for i := range 3 {
		is.Equal(f.starts(), 0)
		f.finish(simJobID(i))
	}
	is.Equal(f.startedJobs(), []cell.JobID{"large"})
	f.m.isCycleNeeded = true
	is.Equal(f.starts(), 0)
	f.now += quotaHoldLimit // by then the rest of the quota is not kept free for its second task
	f.finish(simJobID(3))
	is.Equal(f.startedJobs(), []cell.JobID{"later"})
}

// TestLoweredQuotaStopsUnansweredStarts guards QUOTA against a start that is sent again although the quota has fallen below
// what is running: the worker may not have received it.
func TestLoweredQuotaStopsUnansweredStarts(t *testing.T) {
	is := is.New(t)
	f := newQuotaFixture(t, 1000)
	f.apply(JobSubmitted{Job: customerJob("a", newStep(1, 400))})
	f.apply(JobSubmitted{Job: customerJob("b", newStep(1, 400))})
	is.Equal(f.starts(), 2)
	f.apply(StartResult{Task: cell.TaskID{StepID: cell.StepID{Job: "a"}}, Run: 1, Worker: "w"})
	f.apply(StartResult{Task: cell.TaskID{StepID: cell.StepID{Job: "b"}}, Run: 1, Worker: "w", Err: cell.ErrAdviceBusy})
	f.setQuota(300)
	f.now += requestRetryInterval
	f.apply(Tick{})
	is.Equal(len(actionsOf[SendStart](f)), 0)
	is.Equal(len(actionsOf[SendStop](f)), 1)
}
