package owner

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gypsumwinch/internal/cell"
	"gypsumwinch/internal/malformed"
	"gypsumwinch/internal/structs"
)

// extreme returns a number at the edge of a range, or a common one.
func extreme(rng *rand.Rand) int64 {
	values := []int64{math.MinInt64, -1, 0, 1, 2, 3, math.MaxInt32, math.MaxInt64}
	return values[rng.IntN(len(values))]
}

// taskName returns the name of a task that may exist, or a malformed one.
func taskName(rng *rand.Rand) string {
	names := []string{"", "j", "j.0.0", "j.0.0.0", "j.0.0.99", "j.0.9.0", "j.-1.0.0", "j.0.0.99999999999999999999", "...", "k.0.0.0"}
	return names[rng.IntN(len(names))]
}

// TestMalformedInventoriesDoNotEndTheOwner guards the owner against workers that list
// tasks, run numbers, outcomes and clocks that cannot be.
func TestMalformedInventoriesDoNotEndTheOwner(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	f := newFixture(t, 1000)
	f.addWorker("z", 1000)
	gang := newStep(2, 400)
	gang.Gang = true
	f.apply(JobSubmitted{Job: newJob("j", newStep(2, 300), gang)})
	outcomes := []cell.RunOutcome{cell.OutcomeDone, cell.OutcomeFailed, cell.OutcomeStopped, cell.OutcomeGangBroken, "", "unknown"}
	for range 3000 {
		inv := cell.Inventory{Clock: time.Duration(extreme(rng)), Born: extreme(rng)}
		for range rng.IntN(3) {
			inv.ActiveRuns = append(inv.ActiveRuns, cell.ActiveRun{Task: taskName(rng), Run: int(extreme(rng)), Percent: int(extreme(rng)), Metric: math.NaN()})
			inv.FinishedRuns = append(inv.FinishedRuns, cell.FinishedRun{Number: extreme(rng), Task: taskName(rng), Run: int(extreme(rng)), Outcome: outcomes[rng.IntN(len(outcomes))]})
		}
		worker := []string{"w", "z", "absent"}[rng.IntN(3)]
		f.apply(RenewResult{Worker: worker, SentAt: f.now, Inventory: inv})
		f.apply(StopResult{Task: taskName(rng), Run: int(extreme(rng)), Worker: worker, Refusal: cell.Refusal("unknown")})
		f.apply(Tick{})
		f.scheduleAndRecord()
		f.clearActions()
	}
}

// TestMalformedRecordsDoNotEndTheOwner guards a takeover: whatever the store holds about
// a job is refused by its decoder or can be loaded and scheduled.
func TestMalformedRecordsDoNotEndTheOwner(t *testing.T) {
	job := newJob("j", newStep(2, 300), cell.Step{Count: 1, DependsOn: []uint16{0}, Need: structs.Resources{MilliCPU: 100}, Gang: true})
	job.Repeat, job.Interval, job.FirstDueAt = 2, time.Second, time.Unix(1000, 0)
	validJob, err := cell.EncodeJob(job)
	if err != nil {
		t.Fatal(err)
	}
	progress := &cell.Progress{State: cell.StateRunning, Steps: []cell.StepProgress{{
		DoneTasks: "10", FailedRuns: map[int]int{1: 1}, LastRun: 2, OpenRuns: []cell.OpenRun{{Index: 1, Run: 2, Worker: "w", Born: 1}},
	}}}
	validProgress, err := cell.EncodeProgress(progress)
	if err != nil {
		t.Fatal(err)
	}
	i, loaded := 0, 0
	progressVariants := [][]byte{validProgress}
	for v := range malformed.Variants(3, 2000, validProgress) {
		progressVariants = append(progressVariants, v)
	}
	for value := range malformed.Variants(4, 2000, validJob, validJob) {
		i++
		f := newFixture(t, 1000)
		j, err := cell.DecodeJob(cell.JobID(fmt.Sprintf("%016x", i)), value)
		if err != nil {
			j = job
		}
		p, err := cell.DecodeProgress(progressVariants[i])
		if err != nil {
			p = progress
		}
		loaded++
		f.apply(JobSubmitted{Job: j, Progress: p})
		f.apply(Tick{})
		f.scheduleAndRecord()
		f.answerRenewal()
		f.apply(JobCancelled{Job: j.ID})
		f.scheduleAndRecord()
	}
	if loaded == 0 {
		t.Fatal("no record was loaded")
	}
}

// TestOddWorkersDoNotEndTheOwner guards the owner against entries of other writers that pass
// the decoder: odd names, capacities and start times, and changes of all of them under the id
// of a worker with runs (issue 28).
func TestOddWorkersDoNotEndTheOwner(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 6))
	f := newFixture(t, 1000)
	gang := newStep(2, 400)
	gang.Gang = true
	f.apply(JobSubmitted{Job: newJob("j", newStep(2, 300), gang)})
	ids := []string{"w", "z", "y", "~"}
	texts := []string{"s", "other", "w:1", "10.0.0.1:80", "a"}
	text := func() string { return texts[rng.IntN(len(texts))] }
	capacity := func() int64 { return []int64{1, 500, 1000, 1 << 40}[rng.IntN(4)] }
	for i := range 3000 {
		ev := WorkersListed{}
		for range rng.IntN(3) {
			ev.Workers = append(ev.Workers, cell.Worker{
				ID: ids[rng.IntN(len(ids))], Service: text(), Addr: text(), DataCentre: text(), Born: max(0, extreme(rng)), Labels: texts[:rng.IntN(len(texts))],
				Capacity: structs.Resources{MilliCPU: capacity(), MemoryMB: capacity(), Accelerators: capacity()}, Draining: rng.IntN(3) == 0, Remaining: time.Duration(max(0, extreme(rng))),
			})
		}
		for range rng.IntN(2) {
			ev.Removed = append(ev.Removed, ids[rng.IntN(len(ids))])
		}
		f.apply(ev)
		id := ids[rng.IntN(len(ids))]
		f.apply(RenewResult{Worker: id, SentAt: f.now, Inventory: cell.Inventory{Clock: f.now, Born: max(0, extreme(rng))}})
		if i%50 == 0 {
			f.apply(JobSubmitted{Job: newJob(cell.JobID(fmt.Sprintf("%016x", i)), newStep(2, 300))})
		}
		f.apply(Tick{})
		f.scheduleAndRecord()
		f.m.WorkerReach("a")
		f.clearActions()
	}
}
