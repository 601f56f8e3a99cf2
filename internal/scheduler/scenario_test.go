package scheduler_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"gypsumwinch/internal/policybench/jobs"
	"gypsumwinch/internal/records"
	"gypsumwinch/internal/scheduler"
	"gypsumwinch/internal/structs"
)

func size(cpu, mem, acc int64) structs.Resources {
	return structs.Resources{MilliCPU: cpu * 1000, MemoryMB: mem * 1000, Accelerators: acc}
}

// newCell returns a cell of n workers with 8 cores and 16 GB, two per rack.
func newCell(n int) *jobs.Cell {
	cell := jobs.NewCell(testConfig())
	cell.AddWorkers("w", n, 2, smallWorkerCapacity)
	return cell
}

func newJob(id, team, class string, count int, need structs.Resources, run time.Duration) structs.Job {
	return structs.Job{ID: id, Team: team, Class: class, Groups: []structs.TaskGroup{{
		Count: count, Resources: need, RunTime: run, Gang: class == "train", Service: class == "web",
	}}}
}

func task(job string, index int) structs.TaskID { return structs.TaskID{Job: job, Index: index} }

func checkCell(t *testing.T, cell *jobs.Cell) {
	t.Helper()
	is := is.New(t)
	is.Equal(len(cell.Violations), 0)
	is.NoErr(cell.Sched.Check())
}

// Guards against urgent work that waits behind less urgent work when all
// workers are full, also when that work ignores checkpoints or is a gang or a
// service.
func TestUrgentStartsOnFullCell(t *testing.T) {
	for _, class := range []string{"report", "train", "web"} {
		for _, ignoresCheckpoint := range []bool{false, true} {
			t.Run(fmt.Sprint(class, ignoresCheckpoint), func(t *testing.T) {
				is := is.New(t)
				cell := newCell(4)
				cell.Behaviour.IgnoresCheckpoint = func(structs.Attempt) bool { return ignoresCheckpoint }
				cell.Submit(newJob("patient", "a", class, 16, size(2, 4, 0), time.Hour))
				cell.Advance(time.Minute)
				is.Equal(cell.LiveCount("patient"), 16)
				begin := cell.Now()
				for i := range 8 {
					cell.Submit(newJob(fmt.Sprint("u", i), "b", "hotline", 1, size(2, 4, 0), 10*time.Second))
				}
				cell.Advance(8 * time.Second)
				for i := range 8 {
					at, started := cell.FirstStart[task(fmt.Sprint("u", i), 0)]
					is.True(started)
					is.True(at-begin < 8*time.Second)
				}
				cell.Advance(3 * time.Minute)
				is.Equal(cell.LiveCount("patient"), 16) // the less urgent work runs again
				checkCell(t, cell)
			})
		}
	}
}

// Guards against the preemption, or a retry after a failure, of work that must
// run at most once.
func TestNonIdempotentWorkRunsOnce(t *testing.T) {
	is := is.New(t)
	cell := newCell(1)
	cell.Behaviour.Result = func(a structs.Attempt) records.TaskResult {
		if a.Task.Job == "order" {
			return records.TaskFailed
		}
		return records.TaskSucceeded
	}
	cell.Submit(newJob("order", "a", "order", 4, size(2, 4, 0), time.Minute))
	cell.Submit(newJob("u", "b", "hotline", 1, size(2, 4, 0), time.Second))
	cell.Advance(20 * time.Second)
	is.Equal(cell.Checkpoints+cell.Stops, 0)
	cell.Advance(time.Hour)
	is.Equal(cell.Placed, 5)
	is.Equal(cell.Ends[records.TaskFailed], 4)
	checkCell(t, cell)
}

// Guards against two gangs that each hold a part of the workers and wait for
// the rest for ever, also after the loss of workers left a gang incomplete.
func TestGangsDoNotDeadlock(t *testing.T) {
	is := is.New(t)
	cell := newCell(4)
	cell.Submit(newJob("g1", "a", "train", 3, size(8, 16, 0), 30*time.Minute))
	cell.Submit(newJob("g2", "b", "train", 3, size(8, 16, 0), 30*time.Minute))
	cell.Advance(time.Minute)
	is.Equal(cell.LiveCount("g1")+cell.LiveCount("g2"), 3)
	cell.LoseWorker("w0000", 15*time.Second)
	cell.LoseWorker("w0001", 15*time.Second)
	cell.Advance(2 * time.Minute)
	is.Equal(cell.LiveCount("g1")+cell.LiveCount("g2"), 0) // two workers cannot hold a gang of three
	cell.AddWorker(scheduler.Worker{ID: "w0000", Rack: "r", Capacity: smallWorkerCapacity})
	cell.Advance(2 * time.Hour)
	is.Equal(cell.Ends[records.TaskSucceeded], 6)
	checkCell(t, cell)
}

// Guards against a large task or a gang that never starts because small tasks
// take each bit of capacity that becomes free.
func TestSmallTasksDoNotStarveLargeOnes(t *testing.T) {
	for _, large := range []structs.Job{
		newJob("large", "a", "report", 1, size(8, 16, 0), time.Minute),
		newJob("large", "a", "train", 3, size(8, 16, 0), time.Minute),
	} {
		is := is.New(t)
		cell := newCell(4)
		for i := range 900 {
			cell.Submit(newJob(fmt.Sprint("s", i), "a", "report", 4, size(1, 2, 0), 20*time.Second))
			if i == 50 {
				cell.Submit(large)
			}
			cell.Advance(time.Second)
		}
		_, started := cell.FirstStart[task("large", 0)]
		is.True(started)
		checkCell(t, cell)
	}
}

// Guards against unused quota that other teams cannot borrow, and against
// borrowed quota that its team cannot reclaim.
func TestQuotaIsBorrowedAndReclaimed(t *testing.T) {
	is := is.New(t)
	cell := newCell(4)
	cell.Submit(newJob("a", "a", "report", 16, size(2, 4, 0), 3*time.Hour))
	is.Equal(cell.LiveCount("a"), 16) // twice the quota of the team
	cell.Submit(newJob("b", "b", "report", 16, size(2, 4, 0), 3*time.Hour))
	cell.Advance(time.Minute)
	is.Equal(cell.LiveCount("a"), 8)
	is.Equal(cell.LiveCount("b"), 8)
	checkpoints := cell.Checkpoints
	cell.Advance(30 * time.Minute)
	is.Equal(cell.Checkpoints, checkpoints) // the teams do not preempt each other
	checkCell(t, cell)
}

// Guards against a team above its quota that starts work before a team within
// its quota, or preempts the work of that team.
func TestTeamWithinQuotaComesFirst(t *testing.T) {
	is := is.New(t)
	cell := newCell(4)
	cell.Behaviour.RunTime = func(a structs.Attempt) time.Duration {
		if a.Task == task("a", 0) {
			return 5 * time.Second
		}
		return time.Hour
	}
	cell.Submit(newJob("a", "a", "report", 10, size(2, 4, 0), time.Hour))
	cell.Submit(newJob("b", "b", "report", 6, size(2, 4, 0), time.Hour))
	cell.Submit(newJob("more", "a", "report", 1, size(2, 4, 0), time.Hour))
	cell.Submit(newJob("due", "b", "report", 1, size(2, 4, 0), time.Hour))
	cell.Advance(6 * time.Second)
	is.Equal(cell.LiveCount("due"), 1)
	is.Equal(cell.LiveCount("more"), 0)
	cell.Submit(newJob("urgent", "a", "hotline", 1, size(2, 4, 0), time.Minute))
	cell.Advance(6 * time.Second)
	is.Equal(cell.LiveCount("urgent"), 1)
	is.Equal(cell.LiveCount("b")+cell.LiveCount("due"), 7) // preempts its own team
	checkCell(t, cell)
}

// Guards against a job that waits without an explanation although it can never
// run, because of its size, its gang, its class or its team.
func TestJobsThatCanNeverRun(t *testing.T) {
	cases := []struct {
		job    structs.Job
		reason string
	}{
		{newJob("j", "a", "report", 1, size(9, 1, 0), 0), "large enough"},
		{newJob("j", "a", "report", 1, size(1, 1, 1), 0), "large enough"},
		{newJob("j", "a", "train", 5, size(8, 1, 0), 0), "gang"},
		{newJob("j", "a", "nope", 1, size(1, 1, 0), 0), "class"},
		{newJob("j", "nope", "report", 1, size(1, 1, 0), 0), "team"},
	}
	for _, c := range cases {
		is := is.New(t)
		cell := newCell(4)
		cell.Submit(c.job)
		is.True(cell.Explained["j"].Infeasible)
		is.True(strings.Contains(cell.Explained["j"].Reason, c.reason))
		is.Equal(cell.Placed, 0)
	}
	is := is.New(t)
	cell := newCell(2)
	cell.Submit(newJob("fill", "a", "report", 2, size(8, 1, 0), time.Hour))
	cell.Submit(newJob("j", "a", "report", 1, size(8, 1, 0), time.Minute))
	is.True(!cell.Explained["j"].Infeasible)
	is.True(strings.Contains(cell.Explained["j"].Reason, "quota") || strings.Contains(cell.Explained["j"].Reason, "capacity"))
	for _, id := range []string{"w0000", "w0001"} {
		cell.AddWorker(scheduler.Worker{ID: id, Rack: "r", Capacity: size(4, 16, 0)})
	}
	cell.Advance(time.Second)
	is.True(cell.Explained["j"].Infeasible)
	cell.Apply(scheduler.JobCancelled{Job: "fill"})
	cell.AddWorker(scheduler.Worker{ID: "big", Rack: "r", Capacity: smallWorkerCapacity})
	cell.Advance(5 * time.Second)
	_, started := cell.FirstStart[task("j", 0)]
	is.True(started)
}

// Guards against a faulty worker that fails the attempts of all jobs, and
// against a faulty job that fails everywhere and makes healthy workers be
// quarantined.
func TestFaultyWorkerAndFaultyJob(t *testing.T) {
	is := is.New(t)
	cell := newCell(6)
	failuresByWorker := map[string]int{}
	isRepaired := false
	cell.Behaviour.Result = func(a structs.Attempt) records.TaskResult {
		if strings.HasPrefix(a.Task.Job, "broken") || a.Worker == "w0002" && !isRepaired {
			failuresByWorker[a.Worker]++
			return records.TaskFailed
		}
		return records.TaskSucceeded
	}
	cell.Submit(newJob("broken", "a", "report", 40, size(1, 1, 0), time.Second))
	cell.Advance(10 * time.Minute)
	is.True(cell.Placed <= 40+25) // attempts of a job that fails everywhere are bounded
	for i := range 4 {
		cell.Submit(newJob(fmt.Sprint("broken", i), "a", "report", 6, size(8, 1, 0), time.Second))
	}
	cell.Advance(time.Minute)
	cell.Submit(newJob("whole", "a", "report", 24, size(2, 4, 0), time.Second))
	is.Equal(cell.LiveCount("whole"), 24) // the faulty jobs quarantined no worker
	cell.Advance(time.Minute)
	clear(failuresByWorker)
	maxConcurrent := 0 // concurrent tasks on the faulty worker once it is quarantined
	submit := func(from, to int) {
		for i := from; i < to; i++ {
			cell.Submit(newJob(fmt.Sprint("j", i), "a", "report", 20, size(2, 4, 0), 2*time.Second))
			if i >= 5 {
				maxConcurrent = max(maxConcurrent, cell.LiveOn("w0002"))
			}
			cell.Advance(3 * time.Second)
		}
	}
	submit(0, 200)
	is.Equal(len(failuresByWorker), 1)         // attempts failed on no other worker
	is.True(maxConcurrent <= 1)                // a probe is one task
	is.True(failuresByWorker["w0002"] <= 8+12) // quarantined, then probed with backoff
	isRepaired = true
	cell.Advance(time.Hour)
	before := cell.Placed
	submit(200, 210)
	is.Equal(cell.Placed-before, 200)
	cell.Submit(newJob("all", "a", "report", 24, size(2, 4, 0), time.Minute))
	is.Equal(cell.LiveCount("all"), 24) // the repaired worker takes tasks after its probe
	checkCell(t, cell)
}

// Guards against a worker that stays quarantined for ever because its probe is
// a service, which does not end, or because a task from before the quarantine
// still runs.
func TestServiceAsProbe(t *testing.T) {
	is := is.New(t)
	cell := newCell(2)
	failures := 0
	cell.Behaviour.Result = func(a structs.Attempt) records.TaskResult {
		if a.Worker == "w0000" {
			failures++
			return records.TaskFailed
		}
		return records.TaskSucceeded
	}
	cell.Submit(newJob("old", "a", "web", 2, size(1, 2, 0), 0))
	for i := range 8 {
		cell.Submit(newJob(fmt.Sprint("j", i), "a", "report", 14, size(1, 2, 0), time.Second))
		cell.Advance(time.Minute)
	}
	is.True(failures >= 18+2 && failures <= 18+4) // three jobs fail before the quarantine, then probes
	cell.Submit(newJob("new", "a", "web", 14, size(1, 2, 0), 0))
	cell.Advance(time.Hour)
	is.Equal(cell.LiveOn("w0000"), 8)
	checkCell(t, cell)
}

// Guards against a scheduler whose counters are wrong, or that starts no
// further job, after 10,000 jobs were cancelled at once.
func TestMassCancellation(t *testing.T) {
	is := is.New(t)
	cell := newCell(4)
	for i := range 10_000 {
		cell.Submit(newJob(fmt.Sprint("j", i), "a", "report", 1, size(2, 4, 0), time.Hour))
	}
	for i := range 10_000 {
		cell.Apply(scheduler.JobCancelled{Job: fmt.Sprint("j", i)})
	}
	cell.Submit(newJob("next", "b", "report", 16, size(2, 4, 0), time.Hour))
	cell.Advance(time.Second)
	is.Equal(cell.LiveCount("next"), 16)
	is.Equal(cell.Stops, 16)
	checkCell(t, cell)
}

// Guards against a worker that is over-committed by tasks that use ten times
// what they declare, and against a class whose sizes are never learned.
func TestUnderdeclaredSizes(t *testing.T) {
	is := is.New(t)
	cell := newCell(4)
	usage := func(p scheduler.Placement) structs.Resources { return size(1, 5, 0) }
	submit := func(id string) {
		cell.Submit(newJob(id, "a", "report", 12, structs.Resources{MilliCPU: 100, MemoryMB: 500}, 10*time.Second))
	}
	submit("first")
	cell.ReportUsage(usage)
	is.Equal(cell.Throttles, 12)
	is.True(cell.Checkpoints > 0) // no worker can hold 12 of them at the size they use
	cell.Advance(2 * time.Minute)
	is.Equal(cell.Ends[records.TaskSucceeded], 12)
	checkpoints := cell.Checkpoints
	submit("second")
	used, _ := cell.Used()
	is.True(used.MemoryMB >= 12*5000)
	cell.ReportUsage(usage)
	is.Equal(cell.Throttles, 12) // the learned size holds what they use
	is.Equal(cell.Checkpoints, checkpoints)
	checkCell(t, cell)
}

// Guards against free accelerators that no task can use because work without
// need of them holds the CPU and memory of their worker.
func TestAcceleratorsAreNotStranded(t *testing.T) {
	is := is.New(t)
	cell := newCell(2)
	cell.AddWorkers("x", 1, 1, structs.Resources{MilliCPU: 8000, MemoryMB: 16000, Accelerators: 2})
	cell.Submit(newJob("plain", "a", "report", 8, size(2, 4, 0), time.Hour))
	for i := range 8 {
		a, _ := cell.Live(task("plain", i))
		is.True(strings.HasPrefix(a.Worker, "w")) // workers without accelerators are used first
	}
	cell.Submit(newJob("more", "a", "report", 4, size(2, 4, 0), time.Hour))
	is.Equal(cell.LiveCount("more"), 4) // no other capacity is free
	cell.Submit(newJob("acc", "a", "report", 2, size(2, 4, 1), time.Hour))
	cell.Advance(3 * time.Second)
	is.Equal(cell.LiveCount("acc"), 2)
	checkCell(t, cell)
}

// Guards against less urgent work that is lost with a worker that leaves, and
// against urgent work that is stopped there instead of finished.
func TestWorkMovesOffLeavingWorker(t *testing.T) {
	is := is.New(t)
	cell := newCell(1)
	cell.Submit(newJob("batch", "a", "report", 1, size(1, 2, 0), time.Hour))
	cell.Submit(newJob("web", "a", "web", 1, size(1, 2, 0), 0))
	cell.Submit(newJob("u", "a", "hotline", 1, size(1, 2, 0), time.Minute))
	cell.AddWorkers("x", 1, 1, smallWorkerCapacity)
	cell.AddWorker(scheduler.Worker{ID: "w0000", Rack: "r", Capacity: smallWorkerCapacity, Leaving: true})
	cell.Advance(10 * time.Second)
	is.Equal(cell.LiveOn("w0000"), 1)
	is.Equal(cell.LiveOn("x0000"), 2)
	cell.Advance(time.Minute)
	is.Equal(cell.Ends[records.TaskSucceeded], 1)
	is.Equal(cell.Ends[records.TaskLost], 0)
	checkCell(t, cell)
}

// Guards against a service that loses all its tasks with one rack, and against
// batch work that is spread instead of packed.
func TestServicesSpreadOverRacks(t *testing.T) {
	is := is.New(t)
	cell := newCell(10)
	cell.Submit(newJob("batch", "a", "report", 4, size(1, 2, 0), time.Hour))
	workers := map[string]bool{}
	for i := range 4 {
		a, _ := cell.Live(task("batch", i))
		workers[a.Worker] = true
	}
	is.Equal(len(workers), 1) // batch work is packed
	cell.Submit(newJob("web", "a", "web", 10, size(1, 2, 0), 0))
	racks := map[string]int{}
	for i := range 10 {
		a, _ := cell.Live(task("web", i))
		racks[a.Worker[:4]+string('0'+(a.Worker[4]-'0')/2)]++
	}
	is.Equal(len(racks), 5)
	for _, n := range racks {
		is.Equal(n, 2)
	}
}
