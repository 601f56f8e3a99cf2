package owner

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gypsumwinch/internal/cell"
	"gypsumwinch/internal/structs"
)

// fixture is a machine with one worker that has answered.
type fixture struct {
	t       *testing.T
	m       *Machine
	now     time.Duration
	actions []Action
	ended   []cell.FinishedRun
}

// manyLanes never limit questions.
var manyLanes = AdviceCapacity{FreeProxies: 1000, FreeForLongQueries: 1000, LongQueryTime: time.Second}

func newFixture(t *testing.T, capacity int64) *fixture {
	t.Helper()
	f := &fixture{t: t}
	f.m = New(Options{Term: 3, LeaseLimit: simLease, GangTimeout: simGang}, f.time())
	config := &cell.Config{Version: 1, Queues: []cell.Queue{{Name: "q", Service: "s", MaxAttempts: 2, CriticalPathFactor: 2}}}
	config.Index()
	f.apply(ConfigChanged{Config: config})
	f.apply(WorkersListed{Workers: []cell.Worker{{
		ID: "w", Service: "s", Addr: "w:1", Born: 1, Capacity: structs.Resources{MilliCPU: capacity, MemoryMB: 1000},
	}}})
	f.look()
	return f
}

func (f *fixture) time() Time { return Time{Mono: f.now, Wall: time.Unix(1000, 0).Add(f.now)} }

func (f *fixture) apply(ev Event) {
	f.now += time.Millisecond
	f.actions = append(f.actions, f.m.Apply(f.time(), ev)...)
}

// settle places tasks and stores what is to be recorded.
func (f *fixture) settle() {
	f.t.Helper()
	f.actions = append(f.actions, f.m.Place(f.time(), manyLanes)...)
	_, number, err := f.m.TakeBatch()
	if err != nil {
		f.t.Fatal(err)
	}
	if number > 0 {
		f.apply(BatchStored{Batch: number})
	}
}

// look answers a renewal with the given runs.
func (f *fixture) look(running ...cell.ActiveRun) {
	f.apply(RenewResult{Worker: "w", SentAt: f.now, Inventory: cell.Inventory{
		Clock: f.now, Born: 1, ActiveRuns: running, FinishedRuns: f.ended,
	}})
}

// taken returns the actions of a kind since the last call.
func taken[T Action](f *fixture) []T {
	var out []T
	for _, a := range f.actions {
		if x, ok := a.(T); ok {
			out = append(out, x)
		}
	}
	return out
}

func (f *fixture) forget() { f.actions = nil }

func newJob(id cell.JobID, steps ...cell.Step) *cell.Job {
	return &cell.Job{ID: id, Queue: cell.Queue{Name: "q", Service: "s", MaxAttempts: 2}, Spec: "x", Steps: steps,
		AcceptedAt: time.Unix(1000, 0)}
}

func newStep(count int, cpu int64) cell.Step {
	return cell.Step{Count: count, Need: structs.Resources{MilliCPU: cpu}, Estimate: time.Second}
}

// TestStartWaitsForItsRecord guards the successor's knowledge: no order leaves
// before the store has its record.
func TestStartWaitsForItsRecord(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 1000)
	f.apply(JobSubmitted{Job: newJob("j", newStep(1, 500))})
	f.actions = append(f.actions, f.m.Place(f.time(), manyLanes)...)
	is.Equal(len(taken[SendStart](f)), 0)
	f.settle()
	is.Equal(len(taken[SendStart](f)), 1)
}

// TestJobWaitsUntilATaskHasStarted guards the count of waiting jobs: a recorded
// start that the worker has not confirmed does not end the waiting.
func TestJobWaitsUntilATaskHasStarted(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 1000)
	f.apply(JobSubmitted{Job: newJob("j", newStep(1, 500))})
	f.settle()
	is.Equal(len(taken[Publish](f)), 0)
	start := taken[SendStart](f)[0].Start
	f.apply(StartResult{Task: start.Task, Run: start.Run, Worker: "w"})
	f.now += begunEvery
	f.apply(Tick{})
	f.settle()
	is.Equal(taken[Publish](f), []Publish{{Job: "j", State: cell.StateRunning}})
}

// TestCompletionIsShownOnceItIsRecorded guards against a job that is shown as
// completed and then run again by a successor.
func TestCompletionIsShownOnceItIsRecorded(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 1000)
	f.apply(JobSubmitted{Job: newJob("j", newStep(1, 500))})
	f.settle()
	start := taken[SendStart](f)[0].Start
	f.apply(StartResult{Task: start.Task, Run: start.Run, Worker: "w"})
	f.forget()
	f.ended = []cell.FinishedRun{{Number: 1, Task: "j.0.0.0", Run: 1, Outcome: cell.OutcomeDone}}
	f.look()
	is.Equal(len(taken[Publish](f)), 0)
	for _, r := range taken[Renew](f) {
		is.Equal(r.Renewal.Cursor, int64(0)) // the worker may not forget the end yet
	}
	f.settle()
	is.Equal(taken[Publish](f), []Publish{{Job: "j", State: cell.StateCompleted}})
	is.Equal(taken[Renew](f)[0].Renewal.Cursor, int64(1))
}

// TestRepeatedStopsCloseARun guards against a run that is never closed because
// each repeated stop moves the time after which a renewal must list it.
func TestRepeatedStopsCloseARun(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 1000)
	f.apply(JobSubmitted{Job: newJob("j", newStep(1, 500))})
	f.settle()
	start := taken[SendStart](f)[0].Start
	f.apply(StartResult{Task: start.Task, Run: start.Run, Worker: "w", Err: errNoAnswer})
	f.apply(JobCancelled{Job: "j"})
	stop := StopResult{Task: "j.0.0.0", Run: 1, Worker: "w"}
	f.apply(stop)
	f.now += time.Millisecond
	sent := f.now
	f.apply(stop) // the answer to a repetition, after the renewal was sent
	f.apply(RenewResult{Worker: "w", SentAt: sent, Inventory: cell.Inventory{Clock: f.now, Born: 1}})
	is.Equal(len(f.m.workers["w"].runs), 0)
}

// TestIncompleteGangIsStoppedAtTakeover guards against a gang of which the
// former owner had ended members: the others would hold their room for ever.
func TestIncompleteGangIsStoppedAtTakeover(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 1000)
	gang := newStep(2, 400)
	gang.Gang = true
	f.forget()
	f.apply(JobSubmitted{Job: newJob("j", gang), Progress: &cell.Progress{State: cell.StateRunning, Steps: []cell.StepProgress{
		{LastRun: 1, OpenRuns: []cell.OpenRun{{Index: 1, Run: 1, Worker: "w", Born: 1}}},
	}}})
	is.Equal(len(taken[SendStop](f)), 1)
}

// TestStuckRunStartsElsewhere guards against a task that waits for a worker on
// which tasks stand still.
func TestStuckRunStartsElsewhere(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 1000)
	f.apply(JobSubmitted{Job: newJob("j", newStep(1, 500))})
	f.settle()
	start := taken[SendStart](f)[0].Start
	f.apply(StartResult{Task: start.Task, Run: start.Run, Worker: "w"})
	row := cell.ActiveRun{Task: "j.0.0.0", Run: 1, Percent: 3}
	f.look(row)
	f.now += stuckAfter / 2
	f.look(row)
	is.Equal(len(taken[SendStop](f)), 0) // it may be slow
	f.now += stuckAfter
	f.look(row)
	is.Equal(len(taken[SendStop](f)), 1)
}

// TestFillingTasksYieldToServingOnes guards the targets of tasks that serve
// users from those that fill beside them, and that these go on afterwards.
func TestFillingTasksYieldToServingOnes(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 1000)
	serve, fill := newStep(1, 400), newStep(1, 900)
	serve.LongRunning, serve.TailTarget = true, 100*time.Millisecond
	fill.BestEffortCPU = true
	f.apply(JobSubmitted{Job: newJob("a", serve)})
	f.apply(JobSubmitted{Job: newJob("b", fill)})
	f.settle()
	starts := taken[SendStart](f)
	is.Equal(len(starts), 2) // the filling task's processors are not counted
	for _, s := range starts {
		f.apply(StartResult{Task: s.Start.Task, Run: s.Start.Run, Worker: "w"})
	}
	see := func(tail float64, percent int) int {
		f.forget()
		f.look(cell.ActiveRun{Task: "a.0.0.0", Run: 1, Percent: 100, Metric: tail}, cell.ActiveRun{Task: "b.0.0.0", Run: 1, Percent: percent})
		paces := taken[SendPace](f)
		if len(paces) == 0 {
			return -1
		}
		f.apply(PaceResult{Pace: paces[0].Pace})
		return paces[0].Pace.Percent
	}
	is.Equal(see(50, 1), -1)
	is.Equal(see(90, 2), 50)
	is.Equal(see(120, 3), 0)
	is.Equal(see(70, 4), -1)
	is.Equal(see(30, 5), hastenBy)
}

// TestOccurrencesAreNeverEarly guards the times of a repeated job.
func TestOccurrencesAreNeverEarly(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 1000)
	j := newJob("j", newStep(1, 100))
	j.Repeat, j.FirstDueAt, j.Interval = 2, time.Unix(1010, 0), 5*time.Second
	f.apply(JobSubmitted{Job: j})
	f.settle()
	is.Equal(len(taken[SendStart](f)), 0)
	for _, due := range []time.Duration{10 * time.Second, 15 * time.Second} {
		f.forget()
		f.now = due - 2*time.Millisecond
		f.apply(Tick{})
		f.settle()
		is.Equal(len(taken[SendStart](f)), 0)
		f.now = due
		f.look()
		f.apply(Tick{})
		f.settle()
		is.Equal(len(taken[SendStart](f)), 1)
	}
}

// TestGangWiderThanOneRoundIsAsked guards against a gang that never asks for
// advice, and so never runs, because one round of questions cannot promise it
// enough room.
func TestGangWiderThanOneRoundIsAsked(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 1000)
	config := &cell.Config{Version: 2, Queues: []cell.Queue{{Name: "q", Service: "s", MaxAttempts: 2, CriticalPathFactor: 2, Advice: &cell.AdviceTiming{}}}}
	config.Index()
	f.apply(ConfigChanged{Config: config})
	for i := range 2 * maxAsked {
		id := "v" + jobName(i)
		f.apply(WorkersListed{Workers: []cell.Worker{{ID: string(id), Service: "s", Addr: "w:1", Born: 1,
			Capacity: structs.Resources{MilliCPU: 1000, MemoryMB: 1000}}}})
		f.apply(RenewResult{Worker: string(id), SentAt: f.now, Inventory: cell.Inventory{Clock: f.now, Born: 1}})
		f.look()
	}
	gang := newStep(maxAsked, 1000)
	gang.Gang = true
	f.m.stats("q").eligible = 0.3
	f.apply(JobSubmitted{Job: newJob("j", gang)})
	f.forget()
	f.actions = append(f.actions, f.m.Place(f.time(), manyLanes)...)
	asked := 0
	for _, a := range taken[QueryAdvice](f) {
		is.True(len(a.Workers) <= questionSize)
		asked += len(a.Workers)
	}
	is.Equal(asked, maxAsked)
}

// TestCursorOfAFormerLifeIsNotSent guards against a task that runs twice: a worker
// that has started anew forgot ends that nobody had seen, since the first renewal
// after the failure carried the cursor of its former life.
func TestCursorOfAFormerLifeIsNotSent(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 1000)
	f.apply(JobSubmitted{Job: newJob("j", newStep(1, 500))})
	f.settle()
	start := taken[SendStart](f)[0].Start
	f.apply(StartResult{Task: start.Task, Run: start.Run, Worker: "w"})
	f.ended = []cell.FinishedRun{{Number: 7, Task: "j.0.0.0", Run: 1, Outcome: cell.OutcomeDone}}
	f.look()
	f.settle()
	is.Equal(f.m.workers["w"].safeCursor(), int64(7))
	f.apply(RenewResult{Worker: "w", SentAt: f.now, Err: errNoAnswer})
	f.forget()
	f.now += renewRetry
	f.apply(Tick{})
	is.Equal(taken[Renew](f)[0].Renewal.Cursor, int64(0))
}
