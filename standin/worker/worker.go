// Package worker is a stand-in for a worker: an HTTP server that runs tasks as timers
// under a lease and records the interval in which each attempt ran. It executes no
// programs, and it does not enforce its capacity, so that checks can detect a
// scheduler that exceeds it. Read Worker first.
package worker

import (
	"crypto/rand"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"gypsumwinch/internal/structs"
	"gypsumwinch/internal/workerclient"
	"gypsumwinch/standin/control"
)

// Faults are the faults that a worker injects, as set on the control endpoint.
type Faults struct {
	control.Network
	// LieFree is added to the free resources that the worker reports, which are then
	// wrong.
	LieFree structs.Resources `json:"lie_free,omitzero"`
	// FailAll makes each task fail as soon as it has started or is throttled.
	FailAll bool `json:"fail_all,omitempty"`
	// AcceptAll grants each lease request and executes the operations of any holder.
	AcceptAll bool `json:"accept_all,omitempty"`
	// LoseStartAnswers executes start requests and then closes the connection without
	// an answer.
	LoseStartAnswers bool `json:"lose_start_answers,omitempty"`
	// Dead stops all tasks without a report and aborts all connections. Afterwards
	// the worker is a new incarnation without a lease.
	Dead bool `json:"dead,omitempty"`
}

// Interval is the time during which an attempt ran, with the lease holder and term
// under which it was started.
type Interval struct {
	Attempt   structs.Attempt   `json:"attempt"`
	Resources structs.Resources `json:"resources"`
	Holder    string            `json:"holder"`
	Term      int64             `json:"term"`
	Start     time.Time         `json:"start"`
	// End is zero while the attempt runs. Result is empty until then, and stays empty
	// if the worker died.
	End    time.Time           `json:"end,omitzero"`
	Result workerclient.Result `json:"result,omitempty"`
}

// Observed is what a worker reports on the control endpoint. It covers all
// incarnations.
type Observed struct {
	Capacity  structs.Resources `json:"capacity"`
	Intervals []Interval        `json:"intervals"`
	// Leases counts granted lease requests; Refusals counts refused lease requests
	// and operations.
	Leases   int `json:"leases"`
	Refusals int `json:"refusals"`
	// Messages counts all requests, also those that a network fault aborts.
	Messages int `json:"messages"`
}

// task is a running attempt, guarded by Worker.mu.
type task struct {
	start workerclient.Start
	// intervalIndex is the index of the attempt in Observed.Intervals.
	intervalIndex int
	payload       control.Payload
	timer         *time.Timer
	startedAt     time.Time
	// doneAtUpdate is the work done by updatedAt, as run time at full speed. Since
	// then the task proceeds at rate, a fraction of the full speed.
	doneAtUpdate time.Duration
	updatedAt    time.Time
	rate         float64
}

// progress returns the work done by now, as run time at full speed. Checkpoints and
// throttling use it.
func (t *task) progress(now time.Time) time.Duration {
	return t.doneAtUpdate + time.Duration(float64(now.Sub(t.updatedAt))*t.rate)
}

// Worker is the stand-in for a worker. It is safe for concurrent use.
type Worker struct {
	id       string
	capacity structs.Resources

	mu             sync.Mutex
	faults         Faults
	incarnation    string
	holder         string
	term           int64
	leaseExpiresAt time.Time
	// tasksExpireAt is when running tasks are stopped unless the lease is renewed;
	// tasksTimer fires then.
	tasksExpireAt time.Time
	tasksTimer    *time.Timer
	running       map[structs.Attempt]*task
	// resultByAttempt holds the attempts that must not start again.
	resultByAttempt map[structs.Attempt]workerclient.Result
	// finished holds the finished runs that no holder has acknowledged, by sequence
	// number; lastSeq is the highest one.
	finished []workerclient.FinishedAttempt
	lastSeq  int64
	observed Observed
}

var _ control.Node = (*Worker)(nil)

// New returns a worker without a lease that reports the given capacity. Close stops
// it.
func New(id string, capacity structs.Resources) *Worker {
	w := &Worker{id: id, capacity: capacity, observed: Observed{Capacity: capacity}}
	w.startIncarnation()
	return w
}

// startIncarnation resets the worker to a new incarnation without a lease or tasks.
// New calls it, and SetFaults with w.mu locked when the worker dies.
func (w *Worker) startIncarnation() {
	w.incarnation = rand.Text()
	w.holder = ""
	w.term = noTerm
	w.leaseExpiresAt = time.Time{}
	w.running = make(map[structs.Attempt]*task)
	w.resultByAttempt = make(map[structs.Attempt]workerclient.Result)
	w.finished = nil
	w.lastSeq = 0
}

// noTerm is lower than any term of a holder, so that a new incarnation accepts any.
const noTerm = -1

// SetFaults implements control.Node. The data is a Faults object.
func (w *Worker) SetFaults(data json.RawMessage) error {
	var f Faults
	if err := json.Unmarshal(data, &f); err != nil {
		return eris.Wrap(err, "decode faults of a worker")
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if f.Dead && !w.faults.Dead {
		w.stopAll("")
		w.startIncarnation()
	}
	w.faults = f
	return nil
}

// Faults implements control.Node. It returns a Faults value.
func (w *Worker) Faults() any {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.faults
}

// Observed implements control.Node. It returns an Observed value.
func (w *Worker) Observed() any {
	w.mu.Lock()
	defer w.mu.Unlock()
	o := w.observed
	o.Intervals = append([]Interval(nil), w.observed.Intervals...)
	return o
}

// Close stops all tasks and the timer of the lease.
func (w *Worker) Close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopAll(workerclient.ResultStopped)
	if w.tasksTimer != nil {
		w.tasksTimer.Stop()
	}
}

// Handler implements control.Node. It serves the protocol of workers and counts each
// request.
func (w *Worker) Handler() http.Handler {
	e := control.NewEcho(func() control.Network {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.observed.Messages++
		network := w.faults.Network
		network.Down = network.Down || w.faults.Dead
		return network
	})
	w.routes(e)
	return e
}

// startTask starts an attempt from its checkpoint and records its interval.
// startAttempt calls it with w.mu locked.
func (w *Worker) startTask(s workerclient.Start) {
	now := time.Now()
	t := &task{start: s, payload: control.ParsePayload(s.Payload), startedAt: now, updatedAt: now, rate: 1}
	t.doneAtUpdate = parseCheckpoint(s.Checkpoint)
	t.intervalIndex = len(w.observed.Intervals)
	w.observed.Intervals = append(w.observed.Intervals, Interval{
		Attempt: s.Attempt, Resources: s.Resources, Holder: w.holder, Term: w.term, Start: now,
	})
	w.running[s.Attempt] = t
	w.schedule(t)
}

// schedule sets the timer that finishes a task after its remaining run time. A
// service that does not fail has no end and gets no timer. It is called at the start
// and at each throttling, with w.mu locked.
func (w *Worker) schedule(t *task) {
	if t.timer != nil {
		t.timer.Stop()
	}
	remaining := time.Duration(float64(t.payload.RunTime()-t.doneAtUpdate) / t.rate)
	result := workerclient.ResultSucceeded
	if t.payload.Fail {
		result = workerclient.ResultFailed
	}
	if w.faults.FailAll {
		remaining = 0
		result = workerclient.ResultFailed
	}
	if t.start.Service && result == workerclient.ResultSucceeded {
		return
	}
	incarnation := w.incarnation
	t.timer = time.AfterFunc(remaining, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.incarnation == incarnation && w.running[t.start.Attempt] == t {
			w.finishTask(t, result)
		}
	})
}

// finishTask removes a running task and adds a finished run to the reports, or none if
// result is empty. It is called when a task completes or is stopped, with w.mu locked.
func (w *Worker) finishTask(t *task, result workerclient.Result) {
	now := time.Now()
	if t.timer != nil {
		t.timer.Stop()
	}
	delete(w.running, t.start.Attempt)
	w.observed.Intervals[t.intervalIndex].End = now
	w.observed.Intervals[t.intervalIndex].Result = result
	if result == "" {
		return
	}
	w.resultByAttempt[t.start.Attempt] = result
	w.lastSeq++
	w.finished = append(w.finished, workerclient.FinishedAttempt{
		Seq: w.lastSeq, Attempt: t.start.Attempt, Result: result, RanMS: now.Sub(t.startedAt).Milliseconds(),
	})
}

// stopAll finishes all running tasks with the given result. It is called when the
// worker is closed or dies and when the lease has expired, with w.mu locked.
func (w *Worker) stopAll(result workerclient.Result) {
	for _, t := range w.running {
		w.finishTask(t, result)
	}
}

// renewLease sets the lease to end after ttl and sets the timer that stops the tasks
// after taskTTL. handleLease calls it for each granted request with w.mu locked.
func (w *Worker) renewLease(ttl, taskTTL time.Duration) {
	now := time.Now()
	w.leaseExpiresAt = now.Add(ttl)
	w.tasksExpireAt = now.Add(taskTTL)
	if w.tasksTimer != nil {
		w.tasksTimer.Stop()
	}
	w.tasksTimer = time.AfterFunc(taskTTL, w.stopExpiredTasks)
}

// stopExpiredTasks stops all tasks unless the lease was renewed meanwhile. It runs
// taskTTL after a renewal.
func (w *Worker) stopExpiredTasks() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if time.Now().Before(w.tasksExpireAt) {
		return
	}
	w.stopAll(workerclient.ResultLapsed)
}

// report returns the report for the lease holder: unacknowledged finished runs, usage
// of running tasks and free resources. It is part of the answers to lease and
// inventory requests. w.mu is locked by the caller.
func (w *Worker) report() workerclient.Report {
	r := workerclient.Report{
		Worker: w.id, Incarnation: w.incarnation,
		Finished: append([]workerclient.FinishedAttempt(nil), w.finished...),
		Free:     w.capacity,
	}
	for attempt, t := range w.running {
		used := t.start.Resources
		if factor := t.payload.UsageFactor; factor > 0 {
			used.MilliCPU = int64(float64(used.MilliCPU) * factor)
			used.MemoryMB = int64(float64(used.MemoryMB) * factor)
		}
		r.Usage = append(r.Usage, workerclient.Usage{Attempt: attempt, Used: used})
		r.Free = r.Free.Sub(t.start.Resources)
	}
	r.Free = r.Free.Add(w.faults.LieFree)
	return r
}

// acknowledge removes the finished runs that the holder has acknowledged, if it refers
// to this incarnation. handleLease calls it with w.mu locked.
func (w *Worker) acknowledge(ack workerclient.Ack) {
	if ack.Incarnation != w.incarnation {
		return
	}
	for len(w.finished) > 0 && w.finished[0].Seq <= ack.Seq {
		w.finished = w.finished[1:]
	}
}
