package check

import (
	"fmt"
	"slices"
	"time"

	"gypsumwinch/internal/structs"
	"gypsumwinch/standin/backendserver"
	"gypsumwinch/standin/worker"
)

// Runs returns the runs on all backend servers by request id.
func (o *Observation) Runs() map[string][]backendserver.Run {
	runs := make(map[string][]backendserver.Run)
	for _, server := range o.Servers {
		for _, run := range server.Runs {
			runs[run.ID] = append(runs[run.ID], run)
		}
	}
	return runs
}

// edge is the start or the end of the run of an attempt.
type edge struct {
	at       time.Time
	start    bool
	interval worker.Interval
}

// edges returns the starts and ends of intervals in order of time. At the same
// instant, ends come before starts, so that consecutive runs don't overlap. An
// interval that has not ended has only a start. Overlaps and overcommitment call it.
func edges(intervals []worker.Interval) []edge {
	var all []edge
	for _, i := range intervals {
		all = append(all, edge{at: i.Start, start: true, interval: i})
		if !i.End.IsZero() {
			all = append(all, edge{at: i.End, interval: i})
		}
	}
	slices.SortStableFunc(all, func(a, b edge) int {
		if c := a.at.Compare(b.at); c != 0 {
			return c
		}
		if a.start == b.start {
			return 0
		}
		if a.start {
			return 1
		}
		return -1
	})
	return all
}

// Capacity returns a message for each worker whose running tasks together exceeded
// its capacity at any instant.
func (o *Observation) Capacity() []string {
	var problems []string
	for id, w := range o.Workers {
		if p := overcommitment(id, w); p != "" {
			problems = append(problems, p)
		}
	}
	return problems
}

// overcommitment returns a message about the first instant at which the running tasks
// of a worker exceeded its capacity, or "". Capacity calls it for each worker.
func overcommitment(id string, w worker.Observed) string {
	var used structs.Resources
	for _, e := range edges(w.Intervals) {
		if !e.start {
			used = used.Sub(e.interval.Resources)
			continue
		}
		used = used.Add(e.interval.Resources)
		if !used.Fits(w.Capacity) {
			return fmt.Sprintf("worker %s ran tasks of %v on a capacity of %v from the start of %v at %v",
				id, used, w.Capacity, e.interval.Attempt, e.at.Format(time.RFC3339Nano))
		}
	}
	return ""
}

// Tasks returns the intervals of each task on all workers. Those of one worker are
// in order of their start.
func (o *Observation) Tasks() map[structs.TaskID][]worker.Interval {
	tasks := make(map[structs.TaskID][]worker.Interval)
	for _, w := range o.Workers {
		for _, i := range w.Intervals {
			tasks[i.Attempt.Task] = append(tasks[i.Attempt.Task], i)
		}
	}
	return tasks
}

// Overlaps returns a message for each task of which two attempts ran at the same
// time.
func (o *Observation) Overlaps() []string {
	var problems []string
	for task, intervals := range o.Tasks() {
		running := 0
		for _, e := range edges(intervals) {
			if !e.start {
				running--
				continue
			}
			running++
			if running > 1 {
				problems = append(problems, fmt.Sprintf("task %v ran twice at %v, on %s",
					task, e.at.Format(time.RFC3339Nano), e.interval.Attempt.Worker))
				break
			}
		}
	}
	return problems
}

// Slots returns a message for each backend server that ran more requests at a time
// than it has slots, and for each that had more than maxConnections connections.
func (o *Observation) Slots(maxConnections int) []string {
	var problems []string
	for id, s := range o.Servers {
		if s.MaxInFlight > s.Slots {
			problems = append(problems, fmt.Sprintf("server %s ran %d requests on %d slots", id, s.MaxInFlight, s.Slots))
		}
		if s.MaxConnections > maxConnections {
			problems = append(problems, fmt.Sprintf("server %s had %d connections of at most %d", id, s.MaxConnections, maxConnections))
		}
	}
	return problems
}

// Late returns a message for each run that began on a backend server more than limit
// after the server began to leave.
func (o *Observation) Late(limit time.Duration) []string {
	var problems []string
	for id, s := range o.Servers {
		for _, run := range s.Runs {
			if run.AfterLeavingMS > limit.Milliseconds() {
				problems = append(problems, fmt.Sprintf("server %s got request %s %d ms after it began to leave", id, run.ID, run.AfterLeavingMS))
			}
		}
	}
	return problems
}
