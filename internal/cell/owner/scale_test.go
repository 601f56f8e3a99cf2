package owner

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"gypsumwinch/internal/cell"
	"gypsumwinch/internal/structs"
)

// newLargeOwner returns an owner of many workers that have answered it, of which most of
// the capacity is in use, and jobs that wait for advice.
func newLargeOwner(workers, waitingJobs int) *fixture {
	f := &fixture{}
	f.m = New(Options{Term: 3, LeaseLimit: simLeaseLimit, GangTimeout: simGangTimeout}, f.time())
	config := &cell.Config{Version: 1, Queues: []cell.Queue{{Name: "q", Service: "s", MaxAttempts: 2, CriticalPathFactor: 2,
		Advice: &cell.AdviceTiming{BaseTime: 200 * time.Millisecond, TimePerWorker: time.Millisecond, Validity: time.Second}}}}
	config.Index()
	f.apply(ConfigChanged{Config: config})
	rng := rand.New(rand.NewPCG(1, 1))
	for i := range workers {
		id := fmt.Sprintf("w%04d", i)
		f.apply(WorkersListed{Workers: []cell.Worker{{ID: id, Service: "s", Addr: id, Born: 1,
			Capacity: structs.Resources{MilliCPU: 32000, MemoryMB: 128000}, Labels: []string{"k", fmt.Sprintf("r%d", i/20)}}}})
		f.apply(RenewResult{Worker: id, SentAt: f.now, Inventory: cell.Inventory{Clock: f.now, Born: 1}})
		f.m.workers[id].used = structs.Resources{MilliCPU: int64(rng.IntN(32000)), MemoryMB: int64(rng.IntN(64000))}
		f.m.workers[id].isRenewalInFlight = true
	}
	for i := range waitingJobs {
		f.apply(JobSubmitted{Job: &cell.Job{ID: simJobID(i), Queue: config.Queues[0], Steps: []cell.Step{newStep(15, 5500)}, AcceptedAt: f.time().Wall}})
	}
	f.clearActions()
	return f
}

// BenchmarkSchedulingCycle measures a cycle in which every waiting step looks for workers
// to ask about, by the number of workers.
func BenchmarkSchedulingCycle(b *testing.B) {
	for _, workers := range []int{300, 1000, 3000} {
		b.Run(fmt.Sprintf("%d workers", workers), func(b *testing.B) {
			f := newLargeOwner(workers, 50)
			for b.Loop() {
				for _, s := range f.m.waitingSteps {
					s.advice.queriesInFlight, s.advice.nextQueryAt = 0, 0
				}
				f.m.isCycleNeeded = true
				f.m.Place(f.time(), unlimitedAdvice)
			}
		})
	}
}

// BenchmarkSchedulingCycleAfterTakeover measures a cycle in which many steps wait for
// workers, by the number of those of 3,000 that have answered the new owner.
func BenchmarkSchedulingCycleAfterTakeover(b *testing.B) {
	for _, answered := range []int{0, 300, 1000, 3000} {
		b.Run(fmt.Sprintf("%d answered", answered), func(b *testing.B) {
			f := newLargeOwner(3000, 1000)
			for i, w := range f.m.sortedWorkers {
				w.hasAnswered, w.lastSeen = i < answered, f.now
			}
			for b.Loop() {
				for _, s := range f.m.waitingSteps {
					s.advice.queriesInFlight, s.advice.nextQueryAt = 0, 0
				}
				f.m.isCycleNeeded = true
				f.m.Place(f.time(), unlimitedAdvice)
			}
		})
	}
}

// BenchmarkTick measures a tick, by the number of workers; each has eight runs.
func BenchmarkTick(b *testing.B) {
	for _, workers := range []int{300, 1000, 3000} {
		b.Run(fmt.Sprintf("%d workers", workers), func(b *testing.B) {
			f := newLargeOwner(workers, 0)
			for _, w := range f.m.sortedWorkers {
				for k := range 8 {
					w.addRun(&run{taskName: fmt.Sprint(k), phase: phaseRunning, worker: w})
				}
			}
			for b.Loop() {
				f.m.Apply(f.time(), Tick{})
			}
		})
	}
}

// TestTakeoverCallsWorkersStepByStep guards the takeover of a large cell: a new owner that
// calls all workers at once gets none of their answers in time, counts as isolated and
// resigns, and so does its successor. It must also reach all of them in the end, and not
// wait for those that do not answer.
func TestTakeoverCallsWorkersStepByStep(t *testing.T) {
	is := is.New(t)
	f := &fixture{t: t}
	f.m = New(Options{Term: 3, LeaseLimit: simLeaseLimit, GangTimeout: simGangTimeout}, f.time())
	var listed WorkersListed
	for i := range 3000 {
		listed.Workers = append(listed.Workers, cell.Worker{ID: fmt.Sprintf("w%04d", i), Service: "s", Addr: "a:1", Born: 1})
	}
	f.apply(listed)
	answered := 0
	for rounds := 0; answered < 2999; rounds++ {
		is.True(rounds < 100)
		f.now += 25 * time.Millisecond
		f.apply(Tick{})
		renewals := actionsOf[Renew](f)
		f.clearActions()
		first := 0
		for _, r := range renewals {
			if !f.m.workers[r.Renewal.Worker].hasAnswered {
				first++
			}
		}
		is.True(first <= 400) // at 200 ms a call
		for _, r := range renewals {
			if r.Renewal.Worker == "w0000" {
				f.apply(RenewResult{Worker: "w0000", SentAt: f.now, Err: errNoAnswer})
				continue
			}
			if !f.m.workers[r.Renewal.Worker].hasAnswered {
				answered++
			}
			f.apply(RenewResult{Worker: r.Renewal.Worker, SentAt: f.now, Inventory: cell.Inventory{Clock: f.now, Born: 1}})
		}
	}
	f.now += firstContactWindow
	f.apply(Tick{})
	is.True(f.m.firstContacts <= 1) // only w0000 has not answered
}

// TestTakeoverCallsWorkersWithRunsFirst guards against runs whose leases end although their
// workers and the new owner are well: it reaches thousands of idle workers before them.
func TestTakeoverCallsWorkersWithRunsFirst(t *testing.T) {
	is := is.New(t)
	f := &fixture{t: t}
	f.m = New(Options{Term: 3, LeaseLimit: simLeaseLimit, GangTimeout: simGangTimeout}, f.time())
	var open []cell.OpenRun
	for i := range maxFirstContacts {
		open = append(open, cell.OpenRun{Index: i, Run: 1, Worker: fmt.Sprintf("w%04d", 2999-i), Born: 1})
	}
	f.apply(JobSubmitted{Job: newJob("j", newStep(maxFirstContacts, 500)), Progress: &cell.Progress{State: cell.StateRunning, Steps: []cell.StepProgress{{LastRun: 1, OpenRuns: open}}}})
	var listed WorkersListed
	for i := range 3000 {
		listed.Workers = append(listed.Workers, cell.Worker{ID: fmt.Sprintf("w%04d", i), Service: "s", Addr: "a:1", Born: 1})
	}
	f.apply(listed)
	f.apply(Tick{})
	for _, r := range actionsOf[Renew](f) {
		is.True(len(f.m.workers[r.Renewal.Worker].runs) > 0)
	}
	is.Equal(len(actionsOf[Renew](f)), maxFirstContacts)
}

// TestRenewalsOfALargeCellAreSpread guards against an owner whose processor is taken by the
// renewals of thousands of workers, so that answers wait and leases end. A small cell keeps
// the shorter waits, within which stuck runs are seen.
func TestRenewalsOfALargeCellAreSpread(t *testing.T) {
	is := is.New(t)
	for workers, want := range map[int]time.Duration{48: idlePollTimeout, 1300: idlePollTimeout, 3000: 2 * time.Second, 9000: 2 * time.Second} {
		f := newLargeOwner(workers, 0)
		w := f.m.sortedWorkers[0]
		is.Equal(f.m.renewalPollTimeout(w), want)
		w.addRun(&run{taskName: "a", phase: phaseRunning, worker: w})
		is.Equal(f.m.renewalPollTimeout(w), max(busyPollTimeout, min(want, time.Duration(workers)*time.Second/pollsPerSecond)))
	}
}

// TestUnreachableWorkersDoNotKeepOthersUncalled guards against a new owner that never calls
// part of the workers: those of a data centre that is cut off, whose calls end after half a
// second, would take the room for first calls again and again.
func TestUnreachableWorkersDoNotKeepOthersUncalled(t *testing.T) {
	is := is.New(t)
	f := &fixture{t: t}
	f.m = New(Options{Term: 3, LeaseLimit: simLeaseLimit, GangTimeout: simGangTimeout}, f.time())
	var listed WorkersListed
	for i := range 3000 {
		listed.Workers = append(listed.Workers, cell.Worker{ID: fmt.Sprintf("w%04d", i), Service: "s", Addr: "a:1", Born: 1})
	}
	f.apply(listed)
	failsAt := map[string]time.Duration{}
	answered := 0
	// apply passes an event at the present time and answers the renewals that follow.
	apply := func(ev Event) {
		queue := []Event{ev}
		for len(queue) > 0 {
			actions := f.m.Apply(f.time(), queue[0])
			queue = queue[1:]
			for _, a := range actions {
				r, ok := a.(Renew)
				switch {
				case !ok || f.m.workers[r.Renewal.Worker].hasAnswered:
				case r.Renewal.Worker < "w0600":
					failsAt[r.Renewal.Worker] = f.now + 500*time.Millisecond
				default:
					answered++
					queue = append(queue, RenewResult{Worker: r.Renewal.Worker, SentAt: f.now, Inventory: cell.Inventory{Clock: f.now, Born: 1}})
				}
			}
		}
	}
	for end := f.now + 4*time.Second; answered < 2400; f.now += 25 * time.Millisecond {
		is.True(f.now < end)
		for id, at := range failsAt {
			if f.now >= at {
				delete(failsAt, id)
				apply(RenewResult{Worker: id, SentAt: f.now, Err: errNoAnswer})
			}
		}
		apply(Tick{})
	}
}

// TestRetriesOfSilentWorkersAreSpread guards against an owner whose processor is taken by
// renewals of workers that are cut off, each of which opens a connection. A few silent
// workers are called again as soon as before.
func TestRetriesOfSilentWorkersAreSpread(t *testing.T) {
	is := is.New(t)
	for silent, want := range map[int]time.Duration{8: renewalRetryInterval, 75: renewalRetryInterval, 250: 500 * time.Millisecond, 900: time.Second} {
		f := newLargeOwner(1000, 0)
		for _, w := range f.m.sortedWorkers[:silent] {
			w.failedRenewals = 1
		}
		f.apply(Tick{})
		f.apply(RenewResult{Worker: "w0000", SentAt: f.now, Err: errNoAnswer})
		is.Equal(f.m.workers["w0000"].nextRenewalAt-f.now, want)
	}
}
