package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gypsumwinch/internal/policybench/jobs"
	"gypsumwinch/internal/records"
	"gypsumwinch/internal/scheduler"
	"gypsumwinch/internal/structs"
)

// testConfig returns classes of kind batch, gang and service, and two teams
// each of which has half of a data centre of four workers as its quota.
func testConfig() structs.ClusterConfig {
	half := structs.Resources{MilliCPU: 16000, MemoryMB: 32000, Accelerators: 4}
	return structs.ClusterConfig{
		Classes: []structs.Class{
			{Name: "hotline", Kind: structs.KindBatch, StartTarget: 8 * time.Second, FinishTarget: time.Minute},
			{Name: "report", Kind: structs.KindBatch, StartTarget: 10 * time.Minute, FinishTarget: 2 * time.Hour},
			{Name: "order", Kind: structs.KindBatch, StartTarget: 10 * time.Minute, FinishTarget: 2 * time.Hour, NonIdempotent: true},
			{Name: "train", Kind: structs.KindGang, StartTarget: 5 * time.Minute, FinishTarget: 2 * time.Hour},
			{Name: "web", Kind: structs.KindService, StartTarget: 2 * time.Minute},
		},
		Teams: []structs.Team{{Name: "a", Quota: half}, {Name: "b", Quota: half}},
	}
}

var smallWorkerCapacity = structs.Resources{MilliCPU: 8000, MemoryMB: 16000}

func drawJob(t *rapid.T, n int) structs.Job {
	class := rapid.SampledFrom([]string{"hotline", "report", "order", "train", "web"}).Draw(t, "class")
	group := structs.TaskGroup{
		Count: rapid.IntRange(1, 6).Draw(t, "count"),
		Resources: structs.Resources{
			MilliCPU:     rapid.Int64Range(1, 9).Draw(t, "cpu") * 1000,
			MemoryMB:     rapid.Int64Range(1, 9).Draw(t, "mem") * 2000,
			Accelerators: max(0, rapid.Int64Range(-6, 2).Draw(t, "acc")),
		},
		Gang:    class == "train",
		Service: class == "web",
		RunTime: time.Duration(rapid.IntRange(1, 300).Draw(t, "run")) * time.Second,
	}
	return structs.Job{
		ID: fmt.Sprintf("j%03d", n), Class: class, Groups: []structs.TaskGroup{group},
		NonIdempotent: class == "order",
		Team:          rapid.SampledFrom([]string{"a", "b"}).Draw(t, "team"),
	}
}

// resultOf returns the result with which an attempt ends. It depends on the
// attempt alone; three of the six possible results are successes.
func resultOf(a structs.Attempt) records.TaskResult {
	results := []records.TaskResult{
		records.TaskSucceeded, records.TaskSucceeded, records.TaskSucceeded,
		records.TaskFailed, records.TaskLost, records.TaskNotStarted,
	}
	return results[(len(a.Worker)+int(a.Worker[len(a.Worker)-1])+a.Task.Index+a.Number)%len(results)]
}

// Guards against over-commitment of a worker, a second live attempt of a task,
// a partial start of a gang and a start on a worker that is down, under any mix
// of submissions, cancellations, failures, usage reports, worker changes,
// takeovers and duplicated events. Every start and end has to be valid on the
// jobs stream. Guards also against a task that is never queued again: once the
// faults end, every job has to finish.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cell := jobs.NewCell(testConfig())
		cell.Behaviour.Result = resultOf
		cell.Behaviour.RunTime = func(a structs.Attempt) time.Duration {
			return time.Duration(1+(a.Task.Index*37+a.Number*13)%200) * time.Second
		}
		cell.Behaviour.IgnoresCheckpoint = func(a structs.Attempt) bool { return a.Number%3 == 0 }
		workerIDs := []string{"w0", "w1", "w2", "w3"}
		worker := func(id string) scheduler.Worker {
			w := scheduler.Worker{ID: id, Rack: "r" + id[1:], Capacity: smallWorkerCapacity}
			if id == "w3" {
				w.Capacity.Accelerators = 2
			}
			return w
		}
		for _, id := range workerIDs {
			cell.AddWorker(worker(id))
		}
		var submitted []structs.Job
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 13).Draw(t, "step") {
			case 0, 1, 2, 3:
				job := drawJob(t, len(submitted))
				submitted = append(submitted, job)
				cell.Submit(job)
			case 4:
				if len(submitted) > 0 {
					job := rapid.SampledFrom(submitted).Draw(t, "again")
					cell.Submit(job)
				}
			case 5:
				if len(submitted) > 0 {
					job := rapid.SampledFrom(submitted).Draw(t, "cancelled")
					cell.Apply(scheduler.JobCancelled{Job: job.ID})
				}
			case 6:
				cell.LoseWorker(rapid.SampledFrom(workerIDs).Draw(t, "lost"), 20*time.Second)
			case 7:
				w := worker(rapid.SampledFrom(workerIDs).Draw(t, "up"))
				w.Leaving = rapid.Bool().Draw(t, "leaving")
				cell.AddWorker(w)
			case 8:
				config := testConfig()
				config.Classes[1].StartTarget = time.Duration(rapid.IntRange(1, 1000).Draw(t, "target")) * time.Second
				cell.Apply(scheduler.ConfigChanged{Config: config})
			case 10:
				if len(submitted) == 0 {
					continue
				}
				id := task(rapid.SampledFrom(submitted).Draw(t, "withheld").ID, 0)
				before, _ := cell.Live(id)
				cell.TakeOver(map[structs.TaskID]bool{id: true})
				if after, live := cell.Live(id); live && after != before {
					t.Fatalf("withheld task %v was started", id)
				}
			case 11:
				if len(cell.Delivered) > 0 {
					cell.Apply(rapid.SampledFrom(cell.Delivered).Draw(t, "repeated"))
				}
			case 9:
				cell.ReportUsage(func(p scheduler.Placement) structs.Resources {
					return p.Allocated.Times(int64(1 + p.Attempt.Task.Index%3))
				})
			default:
				cell.Advance(time.Duration(rapid.IntRange(1, 400).Draw(t, "seconds")) * time.Second)
			}
			if len(cell.Violations) > 0 {
				t.Fatal(cell.Violations)
			}
			if err := cell.Sched.Check(); err != nil {
				t.Fatal(err)
			}
		}
		cell.Apply(scheduler.ConfigChanged{Config: testConfig()})
		cell.Apply(scheduler.Withhold{})
		cell.Behaviour = jobs.Behaviour{RunTime: func(structs.Attempt) time.Duration { return time.Minute }}
		for _, id := range workerIDs {
			cell.AddWorker(worker(id))
		}
		for _, job := range submitted {
			if job.Class == "web" {
				cell.Apply(scheduler.JobCancelled{Job: job.ID})
			}
		}
		cell.Advance(12 * time.Hour)
		for _, job := range submitted {
			reason, never := cell.Sched.Explanation(job.ID)
			if !never && (reason != "" || cell.LiveCount(job.ID) > 0) {
				t.Fatalf("job %s is not finished long after the last fault: %q, %d tasks live", job.ID, reason, cell.LiveCount(job.ID))
			}
		}
		if err := cell.Sched.Check(); err != nil {
			t.Fatal(err)
		}
		if len(cell.Violations) > 0 {
			t.Fatal(cell.Violations)
		}
	})
}
