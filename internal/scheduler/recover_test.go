package scheduler_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gypsumwinch/internal/jobstate"
	"gypsumwinch/internal/records"
	"gypsumwinch/internal/scheduler"
	"gypsumwinch/internal/structs"
)

// startedAttempts returns the attempts that the actions start.
func startedAttempts(actions []scheduler.Action) []structs.Attempt {
	var out []structs.Attempt
	for _, a := range actions {
		if s, ok := a.(scheduler.Start); ok {
			for _, p := range s.Placements {
				out = append(out, p.Attempt)
			}
		}
	}
	return out
}

// stoppedAttempts returns the attempts that the actions stop.
func stoppedAttempts(actions []scheduler.Action) []structs.Attempt {
	var out []structs.Attempt
	for _, a := range actions {
		if s, ok := a.(scheduler.Stop); ok {
			out = append(out, s.Attempt)
		}
	}
	return out
}

func attempt(job string, index, number int, worker string) structs.Attempt {
	return structs.Attempt{Task: task(job, index), Number: number, Worker: worker}
}

// takeoverInventory returns the inventory of a new owner with two workers and a
// job of four tasks, one of which is live on w0 according to the jobs stream.
func takeoverInventory(running map[string][]structs.Attempt) scheduler.Inventory {
	return scheduler.Inventory{
		Config: testConfig(),
		Workers: []scheduler.Worker{
			{ID: "w0", Rack: "r0", Capacity: smallWorkerCapacity}, {ID: "w1", Rack: "r1", Capacity: smallWorkerCapacity},
		},
		Jobs: []scheduler.JobAdded{{
			Job:   newJob("j", "a", "report", 4, size(4, 4, 0), time.Hour),
			Tasks: []scheduler.TaskProgress{{Attempts: 1, LiveWorker: "w0"}, {}, {Attempts: 2}, {Done: true, Attempts: 1}},
		}},
		Running: running,
	}
}

// Guards against a second copy of a task after a takeover. Attempts that run
// have to be adopted, attempts that should not run have to be stopped before
// their task starts again, and a task on a worker that did not answer has to
// stay live.
func TestRecoverAdoptsRunningAttempts(t *testing.T) {
	is := is.New(t)
	unrecorded := attempt("j", 1, 1, "w0")
	stale := attempt("j", 2, 2, "w1")
	s, r := scheduler.Recover(0, takeoverInventory(map[string][]structs.Attempt{
		"w0": {attempt("j", 0, 1, "w0"), unrecorded},
		"w1": {stale},
	}))
	is.Equal(r.Unrecorded, []structs.Attempt{unrecorded})
	is.Equal(r.Lost, nil)
	is.Equal(stoppedAttempts(r.Actions), []structs.Attempt{stale})
	is.Equal(startedAttempts(r.Actions), nil) // task 2 waits for the end of its stale attempt
	got := startedAttempts(s.Apply(1, scheduler.TaskEnded{Attempt: stale, Result: records.TaskStopped}))
	is.Equal(got, []structs.Attempt{attempt("j", 2, 3, "w1")})
	is.NoErr(s.Check())

	unknown := attempt("other", 0, 1, "w1")
	s, r = scheduler.Recover(0, takeoverInventory(map[string][]structs.Attempt{
		"w0": {attempt("j", 0, 1, "w0"), unrecorded}, "w1": {unknown},
	}))
	is.Equal(stoppedAttempts(r.Actions), []structs.Attempt{unknown})
	is.Equal(startedAttempts(r.Actions), nil) // the load of w1 is unknown
	got = startedAttempts(s.Apply(1, scheduler.TaskEnded{Attempt: unknown, Result: records.TaskStopped}))
	is.Equal(got, []structs.Attempt{attempt("j", 2, 3, "w1")})

	s, r = scheduler.Recover(0, takeoverInventory(map[string][]structs.Attempt{"w1": nil}))
	is.Equal(r.Lost, nil)
	for _, a := range startedAttempts(r.Actions) {
		is.True(a.Task.Index != 0) // w0 did not answer
	}
	_, r = scheduler.Recover(0, takeoverInventory(map[string][]structs.Attempt{"w0": nil}))
	is.Equal(r.Lost, []structs.Attempt{attempt("j", 0, 1, "w0")})
	is.NoErr(s.Check())
}

// Guards against the start of a task that a former owner may still run, and
// against a withheld task that does not start after its release.
func TestWithheldTasksAreNotPlaced(t *testing.T) {
	is := is.New(t)
	inv := takeoverInventory(map[string][]structs.Attempt{"w0": {attempt("j", 0, 1, "w0")}, "w1": nil})
	inv.Withheld = map[structs.TaskID]bool{task("j", 1): true}
	s, r := scheduler.Recover(0, inv)
	started := startedAttempts(r.Actions)
	is.Equal(len(started), 1)
	is.Equal(started[0].Task, task("j", 2))
	reason, _ := s.Explanation("j")
	is.True(reason != "")
	is.Equal(startedAttempts(s.Apply(time.Hour, scheduler.Tick{})), nil)
	started = startedAttempts(s.Apply(time.Hour, scheduler.Withhold{}))
	is.Equal(len(started), 1)
	is.Equal(started[0].Task, task("j", 1))
}

// Guards against a second copy of a task: a repeated TaskEnded of an earlier
// attempt must not end the later attempt on the same worker.
func TestRepeatedEndOfEarlierAttempt(t *testing.T) {
	is := is.New(t)
	s := scheduler.New(testConfig())
	s.Apply(0, scheduler.WorkerUp{Worker: scheduler.Worker{ID: "w0", Rack: "r", Capacity: smallWorkerCapacity}})
	first := startedAttempts(s.Apply(0, scheduler.JobAdded{Job: newJob("j", "a", "report", 1, size(1, 1, 0), time.Hour)}))
	ended := scheduler.TaskEnded{Attempt: first[0], Result: records.TaskLost}
	is.Equal(len(startedAttempts(s.Apply(0, ended))), 1)
	is.Equal(len(startedAttempts(s.Apply(0, ended))), 0)
}

// Guards against wrong attempt numbers after a failed start. The number of a
// start whose record was refused is used again; a recorded start that was not
// sent uses up its number.
func TestAttemptNumberAfterFailedStart(t *testing.T) {
	for _, unrecorded := range []bool{true, false} {
		is := is.New(t)
		s := scheduler.New(testConfig())
		s.Apply(0, scheduler.WorkerUp{Worker: scheduler.Worker{ID: "w0", Rack: "r", Capacity: smallWorkerCapacity}})
		first := startedAttempts(s.Apply(0, scheduler.JobAdded{Job: newJob("j", "a", "report", 1, size(1, 1, 0), time.Hour)}))
		is.Equal(len(first), 1)
		s.Apply(0, scheduler.TaskEnded{Attempt: first[0], Result: records.TaskNotStarted, Unrecorded: unrecorded})
		var again []structs.Attempt
		for now := time.Second; len(again) == 0 && now < time.Minute; now += time.Second {
			again = startedAttempts(s.Apply(now, scheduler.Tick{}))
		}
		want := 2
		if unrecorded {
			want = 1
		}
		is.Equal(len(again), 1)
		is.Equal(again[0].Number, want)
	}
}

// excludeWorker is a Filter that rules out the worker with this id.
type excludeWorker string

func (f excludeWorker) Allows(_ *scheduler.PlacementRequest, w *scheduler.WorkerState) bool {
	return w.ID != string(f)
}

// Guards against a scheduler that ignores a filter of its policy.
func TestPolicyFilterIsApplied(t *testing.T) {
	is := is.New(t)
	policy := scheduler.DefaultPolicy()
	policy.Filters = append(policy.Filters, excludeWorker("w0"))
	s := scheduler.NewWithPolicy(testConfig(), policy)
	for _, id := range []string{"w0", "w1"} {
		s.Apply(0, scheduler.WorkerUp{Worker: scheduler.Worker{ID: id, Rack: "r", Capacity: smallWorkerCapacity}})
	}
	got := startedAttempts(s.Apply(0, scheduler.JobAdded{Job: newJob("j", "a", "report", 4, size(4, 4, 0), time.Hour)}))
	is.Equal(len(got), 2)
	for _, a := range got {
		is.Equal(a.Worker, "w1")
	}
}

// Guards against a second run of a job whose events are repeated, and against a
// run of a job that is added after its cancellation.
func TestDuplicatedAndReorderedEvents(t *testing.T) {
	is := is.New(t)
	s := scheduler.New(testConfig())
	s.Apply(0, scheduler.WorkerUp{Worker: scheduler.Worker{ID: "w0", Rack: "r", Capacity: smallWorkerCapacity}})
	added := scheduler.JobAdded{Job: newJob("j", "a", "report", 1, size(1, 1, 0), time.Hour)}
	first := startedAttempts(s.Apply(0, added))
	is.Equal(len(first), 1)
	is.Equal(len(startedAttempts(s.Apply(0, added))), 0)
	ended := scheduler.TaskEnded{Attempt: first[0], Result: records.TaskSucceeded}
	s.Apply(1, ended)
	is.Equal(len(startedAttempts(s.Apply(1, ended))), 0)
	is.Equal(len(startedAttempts(s.Apply(1, added))), 0)
	s.Apply(1, scheduler.JobCancelled{Job: "k"})
	is.Equal(len(startedAttempts(s.Apply(2, scheduler.JobAdded{Job: newJob("k", "a", "report", 1, size(1, 1, 0), 0)}))), 0)
}

// Guards against the loss of attempts, failures and live workers between the
// state of the jobs stream and the inventory of a new owner.
func TestJobsFromStreamState(t *testing.T) {
	is := is.New(t)
	state := jobstate.New()
	at := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	job := newJob("j", "a", "report", 3, size(1, 1, 0), time.Hour)
	job.AcceptedAt = at
	a := attempt("j", 0, 1, "w0")
	for _, r := range []records.Record{
		{JobAccepted: &records.JobAccepted{Job: job}},
		{TaskStart: &records.TaskStart{Attempt: a}},
		{TaskStart: &records.TaskStart{Attempt: attempt("j", 1, 1, "w1")}},
		{TaskEnd: &records.TaskEnd{Attempt: a, Result: records.TaskFailed}},
	} {
		state.Apply(state.Next(), at, r)
	}
	jobs, cancelled := scheduler.Jobs(state, at.Add(time.Minute))
	is.Equal(len(cancelled), 0)
	is.Equal(len(jobs), 1)
	is.Equal(jobs[0].Age, time.Minute)
	is.Equal(jobs[0].Budget, jobstate.FailureBudget{Failures: 1, Workers: []string{"w0"}})
	is.Equal(jobs[0].Tasks, []scheduler.TaskProgress{{Attempts: 1, Failures: 1}, {Attempts: 1, LiveWorker: "w1"}, {}})
}
