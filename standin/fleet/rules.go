package fleet

import (
	"fmt"
	"slices"
	"time"
)

// jobRecord is what the fleet knows of a job.
type jobRecord struct {
	Job
	// isRejected is true once all attempts to submit the job have been refused as not run.
	isRejected bool
	hasStarted bool
}

// taskRecord is what the fleet knows of the runs of a task.
type taskRecord struct {
	active []*run
	// runs are all runs, also those that have ended.
	runs   []*run
	starts []time.Time
	ends   []*taskEnd
	// isReported is true once a broken rule of the task has been reported, so that one
	// fault does not fill the report.
	isReported bool
}

// taskEnd is one end of a task.
type taskEnd struct {
	run     int
	worker  string
	outcome string
	at      time.Time
	// isAcknowledged is true once the owner has acknowledged the end.
	isAcknowledged bool
	// leaseExpired is true if the worker's lease expired before the acknowledgement.
	leaseExpired bool
}

// countsAsNoted reports whether the owner has taken note of the end.
func (e *taskEnd) countsAsNoted() bool { return e.isAcknowledged && !e.leaseExpired }

// AddJob registers a job before it is submitted for the first time.
func (f *Fleet) AddJob(j Job) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.jobs[j.ID] = &jobRecord{Job: j}
}

// RejectJob reports that all attempts to submit a job were refused as not run.
func (f *Fleet) RejectJob(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	j := f.jobs[id]
	j.isRejected = true
	if j.hasStarted {
		f.addViolation("REFUSED", "job %s ran, and all attempts to submit it were refused", id)
	}
}

// IsDone reports whether all tasks of a job have ended as done, and names one that has not.
func (f *Fleet) IsDone(id string) (done bool, missing string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for step := range f.jobs[id].Steps {
		if ok, task := f.isStepDone(f.jobs[id], step); !ok {
			return false, task
		}
	}
	return true, ""
}

// FailedAttempts returns the highest number of failed runs of a task of the job.
func (f *Fleet) FailedAttempts(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	highest := 0
	for step, s := range f.jobs[id].Steps {
		runs := map[int]bool{}
		for i := range s.Count {
			failed := 0
			for _, e := range f.task(taskName(id, step, i)).ends {
				if e.outcome == "failed" {
					failed++
					runs[e.run] = true
				}
			}
			highest = max(highest, failed)
		}
		if s.Gang {
			highest = max(highest, len(runs))
		}
	}
	return highest
}

// RunningTasks returns the tasks of a job that run.
func (f *Fleet) RunningTasks(id string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var running []string
	for step, s := range f.jobs[id].Steps {
		for i := range s.Count {
			if name := taskName(id, step, i); len(f.task(name).active) > 0 {
				running = append(running, name)
			}
		}
	}
	return running
}

// Run is one run of a task as its worker has seen it.
type Run struct {
	Task      string
	Number    int
	Worker    string
	StartedAt time.Time
	// EndedAt is zero while the run is active.
	EndedAt time.Time
	// IsLate is true if the worker carried the order to start out late.
	IsLate bool
}

// Runs returns all runs of a job's tasks.
func (f *Fleet) Runs(id string) []Run {
	f.mu.Lock()
	defer f.mu.Unlock()
	var runs []Run
	for step, s := range f.jobs[id].Steps {
		for i := range s.Count {
			for _, r := range f.task(taskName(id, step, i)).runs {
				runs = append(runs, Run{Task: r.task, Number: r.number, Worker: r.worker.ID, StartedAt: r.startedAt, EndedAt: r.endedAt, IsLate: r.isLate})
			}
		}
	}
	return runs
}

// Starts returns the number of runs that have started.
func (f *Fleet) Starts() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.starts
}

// Violations returns the broken rules so far.
func (f *Fleet) Violations() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.violations)
}

// taskName returns the name of a task of the first occurrence.
func taskName(job string, step, index int) string {
	return fmt.Sprintf("%s.0.%d.%d", job, step, index)
}

func (f *Fleet) addViolation(rule, format string, args ...any) {
	at := time.Since(f.startedAt).Seconds()
	f.violations = append(f.violations, fmt.Sprintf("%.3f %s: %s", at, rule, fmt.Sprintf(format, args...)))
}

func (f *Fleet) task(name string) *taskRecord {
	t, ok := f.tasks[name]
	if !ok {
		t = &taskRecord{}
		f.tasks[name] = t
	}
	return t
}

// report adds a broken rule of a task, once.
func (f *Fleet) report(t *taskRecord, rule, format string, args ...any) {
	if !t.isReported {
		t.isReported = true
		f.addViolation(rule, format, args...)
	}
}

// recordStart judges and records a start that a worker carries out.
func (f *Fleet) recordStart(r *run, j *jobRecord, step int) {
	t := f.task(r.task)
	f.starts++
	j.hasStarted = true
	if j.isRejected {
		f.report(t, "REFUSED", "task %s starts, and all attempts to submit its job were refused", r.task)
	}
	for _, other := range t.active {
		f.report(t, "TWICE", "run %d of %s starts on %s while run %d is on %s", r.number, r.task, r.worker.ID, other.number, other.worker.ID)
	}
	for _, dependency := range j.Steps[step].DependsOn {
		if done, missing := f.isStepDone(j, dependency); !done {
			f.report(t, "ORDER", "run %d of %s starts and %s is not done", r.number, r.task, missing)
		}
	}
	t.active = append(t.active, r)
	t.runs = append(t.runs, r)
	t.starts = append(t.starts, r.startedAt)
	f.judgeEnds(r.task, t, j.MaxAttempts)
	f.judgeCapacity(r.worker)
}

// isStepDone reports whether all tasks of a step have ended as done, and names one that
// has not. One end of a member stands for its whole gang.
func (f *Fleet) isStepDone(j *jobRecord, step int) (done bool, missing string) {
	for i := range j.Steps[step].Count {
		name := taskName(j.ID, step, i)
		isDone := slices.ContainsFunc(f.task(name).ends, func(e *taskEnd) bool { return e.outcome == "done" })
		switch {
		case isDone && j.Steps[step].Gang:
			return true, ""
		case !isDone:
			missing = name
		}
	}
	return missing == "", missing
}

// judgeCapacity checks that the runs of a worker fit.
func (f *Fleet) judgeCapacity(w *Worker) {
	var milliCPU, memoryMB int64
	for _, r := range w.runs {
		milliCPU += r.step.MilliCPU
		memoryMB += r.step.MemoryMB
	}
	if milliCPU > w.milliCPU || memoryMB > w.memoryMB {
		f.addViolation("LIMIT", "worker %s has runs of %d milli-CPU and %d MB, and a capacity of %d and %d", w.ID, milliCPU, memoryMB, w.milliCPU, w.memoryMB)
	}
}

// judgeEnds checks that no run started after an end that the owner has taken note of and
// after which there must be none. It runs at each start and each acknowledgement.
func (f *Fleet) judgeEnds(name string, t *taskRecord, maxAttempts int) {
	var failures []time.Time
	for _, e := range t.ends {
		switch {
		case !e.countsAsNoted():
		case e.outcome == "done" && t.startedAfter(e.at):
			f.report(t, "TWICE", "task %s started after run %d had ended done on %s, which was acknowledged", name, e.run, e.worker)
		case e.outcome == "failed":
			failures = append(failures, e.at)
		}
	}
	slices.SortFunc(failures, time.Time.Compare)
	if maxAttempts > 0 && len(failures) >= maxAttempts && t.startedAfter(failures[maxAttempts-1]) {
		f.report(t, "BUDGET", "task %s started after %d runs had failed", name, maxAttempts)
	}
}

// startedAfter reports whether a run started after a time.
func (t *taskRecord) startedAfter(at time.Time) bool {
	return slices.ContainsFunc(t.starts, func(start time.Time) bool { return start.After(at) })
}

// recordEnd records the end of a run.
func (f *Fleet) recordEnd(r *run, outcome string) *taskEnd {
	f.removeActive(r)
	t := f.task(r.task)
	end := &taskEnd{run: r.number, worker: r.worker.ID, outcome: outcome, at: time.Now()}
	t.ends = append(t.ends, end)
	return end
}

// removeActive removes a run from the active runs of its task.
func (f *Fleet) removeActive(r *run) {
	t := f.task(r.task)
	if r.endedAt.IsZero() {
		r.endedAt = time.Now()
	}
	t.active = slices.DeleteFunc(t.active, func(o *run) bool { return o == r })
}

// acknowledge drops the ends of a worker up to a number, which the owner has taken note of.
func (f *Fleet) acknowledge(w *Worker, cursor int64) {
	for len(w.finished) > 0 && w.finished[0].number <= cursor {
		e := w.finished[0]
		w.finished = w.finished[1:]
		e.end.isAcknowledged = true
		job, _, err := parseTask(e.task)
		if j := f.jobs[job]; err == nil && j != nil {
			f.judgeEnds(e.task, f.task(e.task), j.MaxAttempts)
		}
	}
}
