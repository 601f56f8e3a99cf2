package owner

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gypsumwinch/internal/cell"
	"gypsumwinch/internal/structs"
)

// newHoldFixture returns a fixture with four workers, of which a and b are full and c is half
// full, with a gang of two whole workers that has tickets for c and d, and with a less urgent job
// of two small tasks that fit on c and d.
func newHoldFixture(t *testing.T) *fixture {
	t.Helper()
	f := newAdviceFixture(t, 4)
	config := &cell.Config{Version: 2, Queues: []cell.Queue{
		{Name: "q", Service: "s", MaxAttempts: 2, CriticalPathFactor: 5, Priority: 1, Advice: &slowAdvice},
		{Name: "low", Service: "s", MaxAttempts: 2, CriticalPathFactor: 9, Priority: 2},
	}}
	config.Index()
	f.apply(ConfigChanged{Config: config})
	f.submitLow("full", 5)
	f.schedule(unlimitedAdvice)
	f.apply(JobSubmitted{Job: newJob("g", newGang(2))})
	a := &f.gang().advice
	a.eligibleByWorker = map[string]bool{"a": false, "b": false, "c": true, "d": true}
	for _, id := range []string{"c", "d"} {
		a.putTicket(ticket{worker: f.m.workers[id], text: "t", expiresAt: f.now + slowAdvice.Validity, workerStartedAt: 1})
	}
	f.submitLow("small", 2)
	return f
}

func (f *fixture) submitLow(id cell.JobID, tasks int) {
	job := newJob(id, newStep(tasks, 500))
	job.Queue.Name = "low"
	f.apply(JobSubmitted{Job: job})
}

func (f *fixture) gang() *step { return f.m.jobs["g"].stepsInOrder[0] }

func (f *fixture) cycleOnly() {
	f.m.isCycleNeeded = true
	f.schedule(unlimitedAdvice)
}

// cycle runs a scheduling cycle and returns the open runs of the gang and of the small job.
func (f *fixture) cycle() (gang, small int) {
	f.cycleOnly()
	return f.m.jobs["g"].openRuns, f.m.jobs["small"].openRuns
}

// TestGangHoldsCapacityWhileItsTicketsAreValid guards wide gangs in a full cell: less urgent steps
// used each part of the capacity that became free, and gangs asked for advice again and again.
func TestGangHoldsCapacityWhileItsTicketsAreValid(t *testing.T) {
	is := is.New(t)
	f := newHoldFixture(t)
	gang, small := f.cycle()
	is.Equal(gang, 0)
	is.Equal(small, 0)
	is.Equal(f.m.Load().HoldingGangs, 1)
	for _, r := range f.m.workers["c"].runList {
		f.m.closeRun(r, "ended")
	}
	gang, _ = f.cycle()
	is.Equal(gang, 2)
}

// TestCapacityIsHeldNoLongerThanTickets guards less urgent jobs against capacity that stays idle
// for a gang that would have to ask for advice first.
func TestCapacityIsHeldNoLongerThanTickets(t *testing.T) {
	is := is.New(t)
	f := newHoldFixture(t)
	f.cycle()
	f.now += slowAdvice.Validity
	_, small := f.cycle()
	is.Equal(small, 2)
}

// TestCapacityOfALostWorkerIsNotHeldFor guards against a gang that holds a part of its capacity
// after one of its workers has begun to drain.
func TestCapacityOfALostWorkerIsNotHeldFor(t *testing.T) {
	is := is.New(t)
	f := newHoldFixture(t)
	f.cycle()
	f.m.workers["c"].info.Draining = true
	_, small := f.cycle()
	is.Equal(small, 2)
}

// TestNothingIsHeldInAHalfEmptyCell guards the rule that a job that could run has something
// running while under half of its service is in use.
func TestNothingIsHeldInAHalfEmptyCell(t *testing.T) {
	is := is.New(t)
	f := newHoldFixture(t)
	for _, id := range []string{"a", "b"} {
		f.m.workers[id].info.Capacity = structs.Resources{MilliCPU: 3000, MemoryMB: 1000}
		f.m.workers[id].info.Labels = nil
	}
	_, small := f.cycle()
	is.Equal(small, 2)
	is.Equal(f.m.Load().HoldingGangs, 0)
}

// TestUrgentTaskAvoidsHeldCapacity guards a gang against urgent tasks that are placed before it
// in each cycle and would use the capacity that it held in the last one, while there is other.
func TestUrgentTaskAvoidsHeldCapacity(t *testing.T) {
	is := is.New(t)
	f := newHoldFixture(t)
	f.apply(JobCancelled{Job: "small"})
	f.submitLow("more", 1)
	f.cycleOnly()
	// The larger worker is the worse fit.
	f.apply(WorkersListed{Workers: []cell.Worker{{ID: "e", Service: "s", Addr: "e:1", Born: 1,
		Capacity: structs.Resources{MilliCPU: 1200, MemoryMB: 1000}}}})
	f.apply(RenewResult{Worker: "e", SentAt: f.now, Inventory: cell.Inventory{Clock: f.now, Born: 1}})
	f.cycleOnly() // the third small task starts there, so that over half of the cell is in use
	f.cycleOnly()
	is.Equal(f.m.Load().HoldingGangs, 1)
	urgent := newJob("u", newStep(1, 400))
	urgent.Queue = cell.Queue{Name: "now", Service: "s", MaxAttempts: 2, CriticalPathFactor: 9, Target: time.Minute}
	f.apply(JobSubmitted{Job: urgent})
	f.cycleOnly()
	is.Equal(f.m.jobs["u"].stepsInOrder[0].tasks[0].run.worker.info.ID, "e")
}

// TestNothingIsHeldOfAHalfEmptyService guards the same rule while other services are full: it
// counts the capacity of the job's service only.
func TestNothingIsHeldOfAHalfEmptyService(t *testing.T) {
	is := is.New(t)
	f := newHoldFixture(t)
	for _, id := range []string{"a", "b"} {
		f.m.workers[id].info.Service = "other"
	}
	_, small := f.cycle()
	is.Equal(small, 2)
	is.Equal(f.m.Load().HoldingGangs, 0)
}

// TestLongRunningTaskUsesHeldCapacity guards the rule that a long-running task that could run
// has a run within seconds however full its service is; gangs in turn may hold for longer.
func TestLongRunningTaskUsesHeldCapacity(t *testing.T) {
	is := is.New(t)
	f := newHoldFixture(t)
	step := newStep(1, 500)
	step.LongRunning = true
	job := newJob("long", step)
	job.Queue.Name = "low"
	f.apply(JobSubmitted{Job: job})
	_, small := f.cycle()
	is.Equal(small, 0)
	is.Equal(f.m.Load().HoldingGangs, 1)
	is.Equal(f.m.jobs["long"].openRuns, 1)
}

// TestPlacesAreSoughtForFewGangs guards the owner's processor against thousands of waiting gangs:
// each looks at the runs of all workers for which it has tickets, in each cycle.
func TestPlacesAreSoughtForFewGangs(t *testing.T) {
	is := is.New(t)
	f := newHoldFixture(t)
	for i := range 3 * maxHoldAttempts {
		j := newJob(simJobID(i), newGang(2))
		f.apply(JobSubmitted{Job: j})
		f.m.jobs[j.ID].stepsInOrder[0].advice.putTicket(ticket{worker: f.m.workers["a"], text: "t", expiresAt: f.now + slowAdvice.Validity, workerStartedAt: 1})
	}
	f.m.isCycleNeeded = true
	f.schedule(AdviceCapacity{LongQueryTime: time.Second})
	is.Equal(f.m.hold.attempts, maxHoldAttempts)
}

// TestNothingIsHeldInVain guards less urgent jobs against capacity that is held although the gang
// cannot start while its tickets are valid, starts in the first cycle in which it fits, is asking
// for other tickets or leaves the capacity to others.
func TestNothingIsHeldInVain(t *testing.T) {
	setEstimate := func(d time.Duration) func(f *fixture) {
		return func(f *fixture) { f.m.jobs["full"].def.Steps[0].Estimate = d }
	}
	for _, c := range []struct {
		name   string
		change func(f *fixture)
		want   int
	}{
		{"held", func(*fixture) {}, 0},
		{"runs end after the tickets", setEstimate(time.Minute), 2},
		{"runs of unknown length", setEstimate(0), 2},
		{"long-running tasks", func(f *fixture) { f.m.jobs["full"].def.Steps[0].LongRunning = true }, 2},
		{"query in flight", func(f *fixture) { f.gang().advice.queriesInFlight++ }, 2},
		{"excess jobs", func(f *fixture) { f.m.jobs["g"].isExcess, f.m.jobs["small"].isExcess = true, true }, 2},
		{"quick advice", func(f *fixture) {
			quick := slowAdvice
			quick.BaseTime = 10 * time.Millisecond
			f.m.config.Queues[0].Advice = &quick
		}, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newHoldFixture(t)
			c.change(f)
			_, small := f.cycle()
			is.New(t).Equal(small, c.want)
		})
	}
}

// TestGangsHoldAPartOfAService guards against gangs that together leave nothing to others.
func TestGangsHoldAPartOfAService(t *testing.T) {
	is := is.New(t)
	f := newHoldFixture(t)
	f.m.adviceCapacity = unlimitedAdvice
	f.m.resetHoldState()
	f.m.holdRoom(f.gang(), &f.m.config.Queues[0], 1)
	is.Equal(f.m.hold.held, int64(1000)) // a single gang may be above the bound
	f.m.holdRoom(f.gang(), &f.m.config.Queues[0], 1)
	is.Equal(f.m.hold.held, int64(1000))
}
