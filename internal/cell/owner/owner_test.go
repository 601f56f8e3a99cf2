package owner

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gypsumwinch/internal/cell"
	"gypsumwinch/internal/structs"
)

// fixture is a Machine with one worker that has answered.
type fixture struct {
	t            *testing.T
	m            *Machine
	now          time.Duration
	actions      []Action
	finishedRuns []cell.FinishedRun
}

// unlimitedAdvice never limits advice queries.
var unlimitedAdvice = AdviceCapacity{FreeProxies: 1000, FreeForLongQueries: 1000, LongQueryTime: time.Second}

func newFixture(t *testing.T, capacity int64) *fixture {
	t.Helper()
	f := &fixture{t: t}
	f.m = New(Options{Term: 3, LeaseLimit: simLeaseLimit, GangTimeout: simGangTimeout}, f.time())
	config := &cell.Config{Version: 1, Queues: []cell.Queue{{Name: "q", Service: "s", MaxAttempts: 2, CriticalPathFactor: 2}}}
	config.Index()
	f.apply(ConfigChanged{Config: config})
	f.apply(WorkersListed{Workers: []cell.Worker{{
		ID: "w", Service: "s", Addr: "w:1", Born: 1, Capacity: structs.Resources{MilliCPU: capacity, MemoryMB: 1000},
	}}})
	f.answerRenewal()
	return f
}

func (f *fixture) time() Time { return Time{Mono: f.now, Wall: time.Unix(1000, 0).Add(f.now)} }

func (f *fixture) apply(ev Event) {
	f.now += time.Millisecond
	f.actions = append(f.actions, f.m.Apply(f.time(), ev)...)
}

// scheduleAndRecord runs a scheduling cycle and stores the resulting batch.
func (f *fixture) scheduleAndRecord() {
	f.t.Helper()
	f.actions = append(f.actions, f.m.Place(f.time(), unlimitedAdvice)...)
	_, number, err := f.m.TakeBatch()
	if err != nil {
		f.t.Fatal(err)
	}
	if number > 0 {
		f.apply(BatchStored{Batch: number})
	}
}

// answerRenewal answers a renewal of worker w with the given runs.
func (f *fixture) answerRenewal(active ...cell.ActiveRun) {
	f.apply(RenewResult{Worker: "w", SentAt: f.now, Inventory: cell.Inventory{
		Clock: f.now, Born: 1, ActiveRuns: active, FinishedRuns: f.finishedRuns,
	}})
}

// actionsOf returns the collected actions of one type.
func actionsOf[T Action](f *fixture) []T {
	var out []T
	for _, a := range f.actions {
		if x, ok := a.(T); ok {
			out = append(out, x)
		}
	}
	return out
}

func (f *fixture) clearActions() { f.actions = nil }

func newJob(id cell.JobID, steps ...cell.Step) *cell.Job {
	return &cell.Job{ID: id, Queue: cell.Queue{Name: "q", Service: "s", MaxAttempts: 2}, Spec: "x", Steps: steps,
		AcceptedAt: time.Unix(1000, 0)}
}

func newStep(count int, cpu int64) cell.Step {
	return cell.Step{Count: count, Need: structs.Resources{MilliCPU: cpu}, Estimate: time.Second}
}

// TestStartWaitsForItsRecord guards the takeover by a successor, which has to
// know all runs: no start request is sent before the run is recorded.
func TestStartWaitsForItsRecord(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 1000)
	f.apply(JobSubmitted{Job: newJob("j", newStep(1, 500))})
	f.actions = append(f.actions, f.m.Place(f.time(), unlimitedAdvice)...)
	is.Equal(len(actionsOf[SendStart](f)), 0)
	f.scheduleAndRecord()
	is.Equal(len(actionsOf[SendStart](f)), 1)
}

// TestJobWaitsUntilATaskHasStarted guards the count of queued jobs: a recorded
// start that the worker has not confirmed leaves the job queued.
func TestJobWaitsUntilATaskHasStarted(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 1000)
	f.apply(JobSubmitted{Job: newJob("j", newStep(1, 500))})
	f.scheduleAndRecord()
	is.Equal(len(actionsOf[Publish](f)), 0)
	start := actionsOf[SendStart](f)[0].Start
	f.apply(StartResult{Task: start.Task, Run: start.Run, Worker: "w"})
	f.now += startedJobsFlushInterval
	f.apply(Tick{})
	f.scheduleAndRecord()
	is.Equal(actionsOf[Publish](f), []Publish{{Job: "j", State: cell.StateRunning}})
}

// TestCompletionIsShownOnceItIsRecorded guards against a job that is published
// as completed and then run again by a successor.
func TestCompletionIsShownOnceItIsRecorded(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 1000)
	f.apply(JobSubmitted{Job: newJob("j", newStep(1, 500))})
	f.scheduleAndRecord()
	start := actionsOf[SendStart](f)[0].Start
	f.apply(StartResult{Task: start.Task, Run: start.Run, Worker: "w"})
	f.clearActions()
	f.finishedRuns = []cell.FinishedRun{{Number: 1, Task: "j.0.0.0", Run: 1, Outcome: cell.OutcomeDone}}
	f.answerRenewal()
	is.Equal(len(actionsOf[Publish](f)), 0)
	for _, r := range actionsOf[Renew](f) {
		is.Equal(r.Renewal.Cursor, int64(0)) // the worker must still list the finished run
	}
	f.scheduleAndRecord()
	is.Equal(actionsOf[Publish](f), []Publish{{Job: "j", State: cell.StateCompleted}})
	is.Equal(actionsOf[Renew](f)[0].Renewal.Cursor, int64(1))
}

// TestRepeatedStopsCloseARun guards against a run that is never closed because
// each repeated stop request moves the time from which a renewal must list the
// run.
func TestRepeatedStopsCloseARun(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 1000)
	f.apply(JobSubmitted{Job: newJob("j", newStep(1, 500))})
	f.scheduleAndRecord()
	start := actionsOf[SendStart](f)[0].Start
	f.apply(StartResult{Task: start.Task, Run: start.Run, Worker: "w", Err: errNoAnswer})
	f.apply(JobCancelled{Job: "j"})
	stop := StopResult{Task: "j.0.0.0", Run: 1, Worker: "w"}
	f.apply(stop)
	f.now += time.Millisecond
	sentAt := f.now
	f.apply(stop) // the answer to a repeated request, after the renewal was sent
	f.apply(RenewResult{Worker: "w", SentAt: sentAt, Inventory: cell.Inventory{Clock: f.now, Born: 1}})
	is.Equal(len(f.m.workers["w"].runs), 0)
}

// TestIncompleteGangIsStoppedAtTakeover guards against a gang of which the
// former owner had closed the runs of some members: the other members would hold
// their capacity for ever.
func TestIncompleteGangIsStoppedAtTakeover(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 1000)
	gang := newStep(2, 400)
	gang.Gang = true
	f.clearActions()
	f.apply(JobSubmitted{Job: newJob("j", gang), Progress: &cell.Progress{State: cell.StateRunning, Steps: []cell.StepProgress{
		{LastRun: 1, OpenRuns: []cell.OpenRun{{Index: 1, Run: 1, Worker: "w", Born: 1}}},
	}}})
	is.Equal(len(actionsOf[SendStop](f)), 1)
}

// TestStuckRunStartsElsewhere guards against a task that stays on a worker on
// which runs make no progress.
func TestStuckRunStartsElsewhere(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 1000)
	f.apply(JobSubmitted{Job: newJob("j", newStep(1, 500))})
	f.scheduleAndRecord()
	start := actionsOf[SendStart](f)[0].Start
	f.apply(StartResult{Task: start.Task, Run: start.Run, Worker: "w"})
	listed := cell.ActiveRun{Task: "j.0.0.0", Run: 1, Percent: 3}
	f.answerRenewal(listed)
	f.now += minStuckTimeout / 2
	f.answerRenewal(listed)
	is.Equal(len(actionsOf[SendStop](f)), 0) // it may be slow
	f.now += minStuckTimeout
	f.answerRenewal(listed)
	is.Equal(len(actionsOf[SendStop](f)), 1)
}

// TestOccurrencesAreNeverEarly guards the due times of a recurring job.
func TestOccurrencesAreNeverEarly(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 1000)
	j := newJob("j", newStep(1, 100))
	j.Repeat, j.FirstDueAt, j.Interval = 2, time.Unix(1010, 0), 5*time.Second
	f.apply(JobSubmitted{Job: j})
	f.scheduleAndRecord()
	is.Equal(len(actionsOf[SendStart](f)), 0)
	for _, dueAt := range []time.Duration{10 * time.Second, 15 * time.Second} {
		f.clearActions()
		f.now = dueAt - 2*time.Millisecond
		f.apply(Tick{})
		f.scheduleAndRecord()
		is.Equal(len(actionsOf[SendStart](f)), 0)
		f.now = dueAt
		f.answerRenewal()
		f.apply(Tick{})
		f.scheduleAndRecord()
		is.Equal(len(actionsOf[SendStart](f)), 1)
	}
}

// TestGangLargerThanOneQueryRoundGetsAdvice guards against a gang that never
// sends advice queries, and so never runs, because one round of queries cannot
// find enough capacity for it.
func TestGangLargerThanOneQueryRoundGetsAdvice(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 1000)
	config := &cell.Config{Version: 2, Queues: []cell.Queue{{Name: "q", Service: "s", MaxAttempts: 2, CriticalPathFactor: 2, Advice: &cell.AdviceTiming{}}}}
	config.Index()
	f.apply(ConfigChanged{Config: config})
	for i := range 2 * maxQueriedWorkers {
		id := "v" + simJobID(i)
		f.apply(WorkersListed{Workers: []cell.Worker{{ID: string(id), Service: "s", Addr: "w:1", Born: 1,
			Capacity: structs.Resources{MilliCPU: 1000, MemoryMB: 1000}}}})
		f.apply(RenewResult{Worker: string(id), SentAt: f.now, Inventory: cell.Inventory{Clock: f.now, Born: 1}})
		f.answerRenewal()
	}
	gang := newStep(maxQueriedWorkers, 1000)
	gang.Gang = true
	f.m.statsFor("q").eligibleFraction = 0.3
	f.apply(JobSubmitted{Job: newJob("j", gang)})
	f.clearActions()
	f.actions = append(f.actions, f.m.Place(f.time(), unlimitedAdvice)...)
	queried := 0
	for _, query := range actionsOf[QueryAdvice](f) {
		is.True(len(query.Workers) <= queryWorkers)
		queried += len(query.Workers)
	}
	is.Equal(queried, maxQueriedWorkers)
}

// TestCursorOfAFormerLifeIsNotSent guards against a task that runs twice: if the
// first renewal after a failure carries the cursor of the former incarnation, a
// restarted worker drops finished runs that the owner has not seen.
func TestCursorOfAFormerLifeIsNotSent(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 1000)
	f.apply(JobSubmitted{Job: newJob("j", newStep(1, 500))})
	f.scheduleAndRecord()
	start := actionsOf[SendStart](f)[0].Start
	f.apply(StartResult{Task: start.Task, Run: start.Run, Worker: "w"})
	f.finishedRuns = []cell.FinishedRun{{Number: 7, Task: "j.0.0.0", Run: 1, Outcome: cell.OutcomeDone}}
	f.answerRenewal()
	f.scheduleAndRecord()
	is.Equal(f.m.cursorToSend(f.m.workers["w"]), int64(7))
	f.apply(RenewResult{Worker: "w", SentAt: f.now, Err: errNoAnswer})
	f.clearActions()
	f.now += renewalRetryInterval
	f.apply(Tick{})
	is.Equal(actionsOf[Renew](f)[0].Renewal.Cursor, int64(0))
}
