package owner

import (
	"testing"

	"github.com/matryer/is"

	"gypsumwinch/internal/cell"
	"gypsumwinch/internal/structs"
)

// TestQuarantineGrowsWithFailuresOfDifferentJobs guards against workers that fail
// all they start: they got new jobs every few seconds. One job that can never be
// done does not make its worker suspect.
func TestQuarantineGrowsWithFailuresOfDifferentJobs(t *testing.T) {
	is := is.New(t)
	var h health
	for range 5 {
		h.failed(0, "poison")
	}
	is.True(!h.suspect())
	h.failed(0, "a")
	is.True(h.quarantined(quarantineBase - 1))
	is.True(!h.quarantined(quarantineBase))
	is.True(h.suspect()) // one task at a time until one succeeds
	h.failed(0, "b")
	is.True(h.quarantined(2*quarantineBase - 1))
	for _, job := range []cell.JobID{"c", "d", "e", "f", "g", "h", "i", "k", "l", "m", "n", "o"} {
		h.failed(0, job)
	}
	is.True(!h.quarantined(quarantineMost))
	h.succeeded()
	is.True(!h.suspect())
}

// addWorker adds a worker beside that of the fixture.
func (f *fixture) addWorker(id string, capacity int64) {
	f.apply(WorkersListed{Workers: []cell.Worker{{
		ID: id, Service: "s", Addr: id + ":1", Born: 1, Capacity: structs.Resources{MilliCPU: capacity, MemoryMB: 1000},
	}}})
	f.apply(RenewResult{Worker: id, SentAt: f.now, Inventory: cell.Inventory{Clock: f.now, Born: 1}})
}

// fail has the only run on worker w end failed.
func (f *fixture) fail(number int64, run int) {
	f.t.Helper()
	start := taken[SendStart](f)[0].Start
	f.apply(StartResult{Task: start.Task, Run: start.Run, Worker: start.Worker})
	f.forget()
	f.ended = []cell.FinishedRun{{Number: number, Task: start.Task.String(), Run: run, Outcome: cell.OutcomeFailed}}
	f.look()
}

// TestFailedTaskIsNotRetriedOnItsWorker guards against jobs that are given up
// because all attempts of a task ran on the same bad worker.
func TestFailedTaskIsNotRetriedOnItsWorker(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 1000)
	f.apply(JobSubmitted{Job: newJob("j", newStep(1, 500))})
	f.settle()
	f.fail(1, 1)
	f.settle()
	is.Equal(len(taken[SendStart](f)), 0) // no other worker
	f.addWorker("other", 1000)
	f.settle()
	is.Equal(taken[SendStart](f)[0].Start.Worker, "other")
}

// TestFailedTaskReturnsToItsWorkerAtLast guards against jobs that never run again
// where only one worker may run them.
func TestFailedTaskReturnsToItsWorkerAtLast(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 1000)
	f.apply(JobSubmitted{Job: newJob("j", newStep(1, 500))})
	f.settle()
	f.fail(1, 1)
	f.settle()
	is.Equal(len(taken[SendStart](f)), 0)
	f.now += avoidFor
	f.look()
	f.apply(Tick{})
	f.settle()
	is.Equal(taken[SendStart](f)[0].Start.Worker, "w")
}

// TestSuspectWorkerIsTriedWithOneTask guards the way back of a worker: after its
// quarantine one task shows whether it is sound.
func TestSuspectWorkerIsTriedWithOneTask(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 1000)
	w := f.m.workers["w"]
	w.health = health{streak: suspectStreak, failedAt: f.now - quarantineMost}
	for i := range 5 {
		f.addWorker(string(rune('a'+i)), 0)
	}
	f.apply(JobSubmitted{Job: newJob("j", newStep(2, 500))})
	f.settle()
	is.Equal(len(taken[SendStart](f)), 1)
}
