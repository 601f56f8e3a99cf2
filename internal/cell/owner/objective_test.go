package owner

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"gypsumwinch/internal/cell"
	"gypsumwinch/internal/structs"
)

// TestFailedGangKeepsItsPlace guards against a gang that failed once and then waits behind work
// with more time: a caller's objective counts the failed run.
func TestFailedGangKeepsItsPlace(t *testing.T) {
	for _, isLearning := range []bool{false, true} {
		t.Run(fmt.Sprint(isLearning), func(t *testing.T) {
			is := is.New(t)
			f := newLearningFixture(t, isLearning, "w")
			f.m.config.Queues[0].CriticalPathFactor = 2.2
			f.m.config.Queues = append(f.m.config.Queues, cell.Queue{Name: "slack", Service: "s", MaxAttempts: 2, CriticalPathFactor: 4})
			f.m.config.Index()
			gang := newStep(2, 2000)
			gang.Gang = true
			f.startsOf(newJob("gang", gang))
			for _, s := range actionsOf[SendStart](f) {
				f.apply(StartResult{Task: s.Start.Task, Run: s.Start.Run, Worker: "w"})
			}
			f.now += 1600 * time.Millisecond
			other := newJob("other", gang)
			other.Queue.Name, other.AcceptedAt = "slack", f.time().Wall
			f.apply(JobSubmitted{Job: other})
			f.finishedRuns = []cell.FinishedRun{
				{Number: 1, Task: "gang.0.0.0", Run: 1, Outcome: cell.OutcomeFailed},
				{Number: 2, Task: "gang.0.0.1", Run: 1, Outcome: cell.OutcomeGangBroken},
			}
			f.answerRenewal()
			f.clearActions()
			f.m.jobs["gang"].steps[cell.StepID{Job: "gang"}].failedAtByWorker = nil // the worker is the only one
			f.scheduleAndRecord()
			starts := actionsOf[SendStart](f)
			is.Equal(len(starts), 2)
			first := map[bool]cell.JobID{false: "other", true: "gang"}[isLearning]
			is.Equal(starts[0].Start.Task.Job, first)
		})
	}
}

// TestObjectiveCountsWaves guards against a wide step that counts as late from its start,
// although only a part of its tasks can run at once.
func TestObjectiveCountsWaves(t *testing.T) {
	is := is.New(t)
	f := newLearningFixture(t, true, "x", "y")
	f.m.config.Customers = &cell.Customers{List: []cell.Customer{{Name: "c", MaxRunning: structs.Resources{MilliCPU: 1000}}}}
	f.m.config.Index()
	f.m.refreshSpeeds()
	objective := func(customer string, step cell.Step) time.Duration {
		j := &job{def: newJob("j", step)}
		j.def.Customer = customer
		return f.m.objective(j, &f.m.config.Queues[0])
	}
	gang := newStep(8, 500)
	gang.Gang = true
	is.Equal(objective("", newStep(4, 500)), 2*time.Second)  // a quarter of 8 cores holds 4 tasks
	is.Equal(objective("", newStep(8, 500)), 4*time.Second)  // two waves
	is.Equal(objective("c", newStep(8, 500)), 8*time.Second) // two tasks at once
	is.Equal(objective("", gang), 2*time.Second)

	f.apply(JobSubmitted{Job: newJob("j", newStep(12, 500))})
	j := f.m.jobs["j"]
	is.Equal(f.m.remainingRunTime(j.occurrences[0]), 3*time.Second)
	j.stepsInOrder[0].doneTasks = 4
	is.Equal(f.m.remainingRunTime(j.occurrences[0]), 2*time.Second)
}

// TestObjectiveDoesNotOverflow guards against an overflow of the objective of a wide step
// or a long chain with the highest valid estimate, which makes its job the most urgent one.
func TestObjectiveDoesNotOverflow(t *testing.T) {
	is := is.New(t)
	f := newLearningFixture(t, true, "x")
	f.m.refreshSpeeds()
	wide := newStep(4000, 1000)
	wide.Estimate = 365 * 24 * time.Hour
	chain := make([]cell.Step, cell.MaxStepsPerJob)
	for i := range chain {
		chain[i] = newStep(1, 1000)
		chain[i].Estimate, chain[i].DependsOn = wide.Estimate, []uint16{uint16(i - 1)}
	}
	for _, steps := range [][]cell.Step{{wide}, chain} {
		j := &job{def: newJob("j", steps...)}
		objective := f.m.objective(j, &f.m.config.Queues[0])
		is.True(objective > 364*24*time.Hour)
		is.True(f.now+maxLateFactor*objective > objective)
		is.True(f.m.remainingStepTime(&occurrence{job: j}, 0) > 364*24*time.Hour)
	}
}
