package owner

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gypsumwinch/internal/cell"
)

// refuseRenewal answers a renewal of worker w with the refusal of a worker with another id at its address.
func (f *fixture) refuseRenewal() {
	f.apply(RenewResult{Worker: "w", SentAt: f.now, Refusal: cell.RefusedIncarnation})
}

// startsWithin returns the start requests that are sent within a time in which worker z answers and w is replaced.
func (f *fixture) startsWithin(d time.Duration) []SendStart {
	for end := f.now + d; f.now < end; f.now += 100 * time.Millisecond {
		f.refuseRenewal()
		f.apply(RenewResult{Worker: "z", SentAt: f.now, Inventory: cell.Inventory{Clock: f.now, Born: 1}})
		f.apply(Tick{})
		f.scheduleAndRecord()
	}
	return actionsOf[SendStart](f)
}

// TestRunOfAReplacedWorkerStartsAgainAtOnce guards against a job that has nothing running for 11.3 s: a worker with another
// id answers at the address, so that the former one and its runs have ended.
func TestRunOfAReplacedWorkerStartsAgainAtOnce(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 1000)
	start := startOneTask(f)
	f.apply(StartResult{Task: start.Task, Run: start.Run, Worker: "w"})
	f.answerRenewal(cell.ActiveRun{Task: start.Task.String(), Run: start.Run, Percent: 10})
	f.addWorker("z", 1000)
	f.clearActions()
	starts := f.startsWithin(time.Second)
	is.Equal(len(starts), 1)
	is.Equal(starts[0].Start.Worker, "z")
}

// TestRecoveredRunOfAReplacedWorkerStartsAgainAtOnce is the same after a takeover (LOST 3 on desai-pramaan-grown, issue 25).
func TestRecoveredRunOfAReplacedWorkerStartsAgainAtOnce(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 1000)
	f.m = New(Options{Term: 4, LeaseLimit: simLeaseLimit, GangTimeout: simGangTimeout}, f.time())
	config := &cell.Config{Version: 1, Queues: []cell.Queue{{Name: "q", Service: "s", MaxAttempts: 2, CriticalPathFactor: 2}}}
	config.Index()
	f.apply(ConfigChanged{Config: config})
	f.apply(WorkersListed{Workers: []cell.Worker{restartedWorker(1)}})
	f.addWorker("z", 1000)
	f.apply(JobSubmitted{Job: newJob("j", newStep(1, 500)), Progress: &cell.Progress{State: cell.StateRunning,
		Steps: []cell.StepProgress{{LastRun: 1, OpenRuns: []cell.OpenRun{{Run: 1, Worker: "w", Born: 1}}}}}})
	f.clearActions()
	starts := f.startsWithin(time.Second)
	is.Equal(len(starts), 1)
	is.Equal(starts[0].Start.Worker, "z")
}

// TestRunOfALaterIncarnationOutlivesARefusalOfTheFormer is the other side: the entry of the worker is older than the
// recorded run, so that the refusal at the former address says nothing about the run.
func TestRunOfALaterIncarnationOutlivesARefusalOfTheFormer(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 1000)
	f.addWorker("z", 1000)
	f.apply(JobSubmitted{Job: newJob("j", newStep(1, 500)), Progress: &cell.Progress{State: cell.StateRunning,
		Steps: []cell.StepProgress{{LastRun: 1, OpenRuns: []cell.OpenRun{{Run: 1, Worker: "w", Born: 2}}}}}})
	f.clearActions()
	is.Equal(len(f.startsWithin(time.Second)), 0)
}
