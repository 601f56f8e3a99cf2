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

// gangAdvice takes a second for 30 workers, a third of the time for which a job that could run may have nothing running.
var gangAdvice = cell.AdviceTiming{BaseTime: 702 * time.Millisecond, TimePerWorker: 10 * time.Millisecond, Validity: 1500 * time.Millisecond}

// newGangFixture returns a fixture with idle workers that hold three tasks each.
func newGangFixture(t *testing.T, workers int) *fixture {
	t.Helper()
	f := &fixture{t: t}
	f.m = New(Options{Term: 3, LeaseLimit: simLeaseLimit, GangTimeout: simGangTimeout}, f.time())
	config := &cell.Config{Version: 1, Queues: []cell.Queue{
		{Name: "q", Service: "s", MaxAttempts: 2, CriticalPathFactor: 2, Priority: 1, Advice: &gangAdvice},
	}}
	config.Index()
	f.apply(ConfigChanged{Config: config})
	for i := range workers {
		f.apply(WorkersListed{Workers: []cell.Worker{{ID: fmt.Sprintf("w%03d", i), Service: "s", Addr: "a", Born: 1,
			Capacity: structs.Resources{MilliCPU: 3000}}}})
	}
	return f
}

// placeWithAdvice submits a gang, answers its queries until it is planned, cancels it and returns the number of rounds.
func (f *fixture) placeWithAdvice(id cell.JobID, count int, eligible float64, random *rand.Rand) int {
	f.t.Helper()
	f.apply(JobSubmitted{Job: newJob(id, newGang(count))})
	isEligible := map[string]bool{}
	for round := 0; ; round++ {
		for _, w := range f.m.sortedWorkers {
			f.m.Apply(f.time(), RenewResult{Worker: w.info.ID, SentAt: f.now, Inventory: cell.Inventory{Clock: f.now, Born: 1}})
		}
		f.clearActions()
		f.schedule(unlimitedAdvice)
		queries := actionsOf[QueryAdvice](f)
		if len(queries) == 0 {
			if f.m.jobs[id].openRuns != count {
				f.t.Fatalf("gang %s has %d runs and sends no query", id, f.m.jobs[id].openRuns)
			}
			f.apply(JobCancelled{Job: id})
			return round
		}
		f.now += gangAdvice.AnswerTime(queryWorkers)
		for _, q := range queries {
			answer := cell.AdviceAnswer{}
			for _, w := range q.Workers {
				if _, known := isEligible[w]; !known {
					isEligible[w] = random.Float64() < eligible
				}
				if isEligible[w] {
					answer.Eligible = append(answer.Eligible, cell.Ticket{Worker: w, Ticket: "t"})
				}
			}
			f.apply(AdviceResult{Step: q.Step, AskedWorkers: q.Workers, Answer: answer})
		}
	}
}

// TestGangNeedsAtMostTwoRoundsOfAdvice guards against a gang that could run and has nothing running for 3 s.
func TestGangNeedsAtMostTwoRoundsOfAdvice(t *testing.T) {
	is := is.New(t)
	f := newGangFixture(t, 350)
	random := rand.New(rand.NewPCG(1, 1))
	rounds := map[int]int{}
	for i := range 3000 {
		rounds[f.placeWithAdvice(simJobID(i), 4+random.IntN(40), 0.3, random)]++
	}
	t.Logf("rounds: %v", rounds)
	is.Equal(rounds[1]+rounds[2], 3000)
}

// TestFirstGangOfAnOwnerNeedsAtMostTwoRoundsOfAdvice guards against an owner that learns too slowly how many workers are eligible.
func TestFirstGangOfAnOwnerNeedsAtMostTwoRoundsOfAdvice(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(2, 1))
	rounds := map[int]int{}
	for i := range 1000 {
		f := newGangFixture(t, 350)
		rounds[f.placeWithAdvice(simJobID(i), 4+random.IntN(40), 0.3, random)]++
	}
	t.Logf("rounds: %v", rounds)
	is.Equal(rounds[1]+rounds[2], 1000)
}

// TestIdleGangAsksWhetherItsWorkersSuffice guards against a gang that never asks since too few workers are expected to be eligible.
func TestIdleGangAsksWhetherItsWorkersSuffice(t *testing.T) {
	is := is.New(t)
	f := newGangFixture(t, 10)
	f.apply(JobSubmitted{Job: newJob("j", newGang(20))}) // 15 of 30 are expected
	for end := f.now + maxIdleTime - time.Second; f.now < end; f.now += 25 * time.Millisecond {
		for _, w := range f.m.sortedWorkers {
			f.m.Apply(f.time(), RenewResult{Worker: w.info.ID, SentAt: f.now, Inventory: cell.Inventory{Clock: f.now, Born: 1}})
		}
		f.schedule(unlimitedAdvice)
		if f.now < idleAvoidLimit {
			is.Equal(len(actionsOf[QueryAdvice](f)), 0)
		}
		f.m.isCycleNeeded = true
	}
	is.True(len(actionsOf[QueryAdvice](f)) > 0)
}
