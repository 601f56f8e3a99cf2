// Package worker is a stand-in for a worker. It runs tasks as timers under a
// lease and records what ran when. It does not enforce its capacity, so that
// checks can see whether the scheduler does.
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

// Faults are the faults of a worker.
type Faults struct {
	control.Network
	// LieFree is added to the free room that the worker reports.
	LieFree structs.Resources `json:"lie_free,omitzero"`
	// FailAll fails every task as soon as it has started.
	FailAll bool `json:"fail_all,omitempty"`
	// AcceptAll grants every lease and obeys every holder.
	AcceptAll bool `json:"accept_all,omitempty"`
	// LoseStartAnswers aborts the connection after tasks were started.
	LoseStartAnswers bool `json:"lose_start_answers,omitempty"`
	// Dead stops all tasks without a report and aborts all connections. When
	// it ends, the worker is a new incarnation without a lease.
	Dead bool `json:"dead,omitempty"`
}

// Interval is a time during which an attempt ran.
type Interval struct {
	Attempt   structs.Attempt   `json:"attempt"`
	Resources structs.Resources `json:"resources"`
	Holder    string            `json:"holder"`
	Term      int64             `json:"term"`
	Start     time.Time         `json:"start"`
	// End is zero while the attempt runs.
	End    time.Time           `json:"end,omitzero"`
	Result workerclient.Result `json:"result,omitempty"`
}

// Observed is what a worker saw.
type Observed struct {
	Capacity  structs.Resources `json:"capacity"`
	Intervals []Interval        `json:"intervals"`
	// Leases counts granted and Refusals refused leases and operations.
	Leases   int `json:"leases"`
	Refusals int `json:"refusals"`
	// Messages counts all requests.
	Messages int `json:"messages"`
}

type task struct {
	start    workerclient.Start
	interval int
	payload  control.Payload
	timer    *time.Timer
	began    time.Time
	// done is the work done until since, at rate from then on.
	done  time.Duration
	since time.Time
	rate  float64
}

// progress returns the work done so far.
func (t *task) progress(now time.Time) time.Duration {
	return t.done + time.Duration(float64(now.Sub(t.since))*t.rate)
}

// Worker is the stand-in. It is safe for concurrent use.
type Worker struct {
	id       string
	capacity structs.Resources

	mu          sync.Mutex
	faults      Faults
	incarnation string
	holder      string
	term        int64
	expires     time.Time
	// tasksExpire is when running tasks end without a further renewal.
	tasksExpire time.Time
	expiry      *time.Timer
	running     map[structs.Attempt]*task
	ended       map[structs.Attempt]workerclient.Result
	finished    []workerclient.FinishedAttempt
	seq         int64
	observed    Observed
}

var _ control.Node = (*Worker)(nil)

// New returns a worker with the declared capacity.
func New(id string, capacity structs.Resources) *Worker {
	w := &Worker{id: id, capacity: capacity, observed: Observed{Capacity: capacity}}
	w.reset()
	return w
}

// reset begins a new incarnation. w.mu is held or w is not shared yet.
func (w *Worker) reset() {
	w.incarnation = rand.Text()
	w.holder = ""
	w.term = noTerm
	w.expires = time.Time{}
	w.running = make(map[structs.Attempt]*task)
	w.ended = make(map[structs.Attempt]workerclient.Result)
	w.finished = nil
	w.seq = 0
}

// noTerm is below every term.
const noTerm = -1

// SetFaults implements control.Node.
func (w *Worker) SetFaults(data json.RawMessage) error {
	var f Faults
	if err := json.Unmarshal(data, &f); err != nil {
		return eris.Wrap(err, "decode faults of a worker")
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if f.Dead && !w.faults.Dead {
		w.stopAll("")
		w.reset()
	}
	w.faults = f
	return nil
}

// Faults implements control.Node.
func (w *Worker) Faults() any {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.faults
}

// Observed implements control.Node.
func (w *Worker) Observed() any {
	w.mu.Lock()
	defer w.mu.Unlock()
	o := w.observed
	o.Intervals = append([]Interval(nil), w.observed.Intervals...)
	return o
}

// Close stops all tasks.
func (w *Worker) Close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopAll(workerclient.ResultStopped)
	if w.expiry != nil {
		w.expiry.Stop()
	}
}

// Handler implements control.Node.
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

// begin starts an attempt. w.mu is held.
func (w *Worker) begin(s workerclient.Start) {
	now := time.Now()
	t := &task{start: s, payload: control.ParsePayload(s.Payload), began: now, since: now, rate: 1}
	t.done = parseCheckpoint(s.Checkpoint)
	t.interval = len(w.observed.Intervals)
	w.observed.Intervals = append(w.observed.Intervals, Interval{
		Attempt: s.Attempt, Resources: s.Resources, Holder: w.holder, Term: w.term, Start: now,
	})
	w.running[s.Attempt] = t
	w.schedule(t)
}

// schedule sets the timer for the end of a task. w.mu is held.
func (w *Worker) schedule(t *task) {
	if t.timer != nil {
		t.timer.Stop()
	}
	remaining := time.Duration(float64(t.payload.RunTime()-t.done) / t.rate)
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
			w.end(t, result)
		}
	})
}

// end ends a running task and reports it, unless result is empty. w.mu is held.
func (w *Worker) end(t *task, result workerclient.Result) {
	now := time.Now()
	if t.timer != nil {
		t.timer.Stop()
	}
	delete(w.running, t.start.Attempt)
	w.observed.Intervals[t.interval].End = now
	w.observed.Intervals[t.interval].Result = result
	if result == "" {
		return
	}
	w.ended[t.start.Attempt] = result
	w.seq++
	w.finished = append(w.finished, workerclient.FinishedAttempt{
		Seq: w.seq, Attempt: t.start.Attempt, Result: result, RanMS: now.Sub(t.began).Milliseconds(),
	})
}

// stopAll ends all running tasks. w.mu is held.
func (w *Worker) stopAll(result workerclient.Result) {
	for _, t := range w.running {
		w.end(t, result)
	}
}

// renew extends the lease and sets the timer that ends the tasks. w.mu is held.
func (w *Worker) renew(ttl, taskTTL time.Duration) {
	now := time.Now()
	w.expires = now.Add(ttl)
	w.tasksExpire = now.Add(taskTTL)
	if w.expiry != nil {
		w.expiry.Stop()
	}
	w.expiry = time.AfterFunc(taskTTL, w.lapse)
}

func (w *Worker) lapse() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if time.Now().Before(w.tasksExpire) {
		return
	}
	w.stopAll(workerclient.ResultLapsed)
}

// report returns the report for the holder. w.mu is held.
func (w *Worker) report() workerclient.Report {
	r := workerclient.Report{
		Worker: w.id, Incarnation: w.incarnation,
		Finished: append([]workerclient.FinishedAttempt(nil), w.finished...),
		Free:     w.capacity,
	}
	for attempt, t := range w.running {
		used := t.start.Resources
		if f := t.payload.UsageFactor; f > 0 {
			used.MilliCPU = int64(float64(used.MilliCPU) * f)
			used.MemoryMB = int64(float64(used.MemoryMB) * f)
		}
		r.Usage = append(r.Usage, workerclient.Usage{Attempt: attempt, Used: used})
		r.Free = r.Free.Sub(t.start.Resources)
	}
	r.Free = r.Free.Add(w.faults.LieFree)
	return r
}

// acknowledge drops finished attempts that the holder has taken over. w.mu is
// held.
func (w *Worker) acknowledge(ack workerclient.Ack) {
	if ack.Incarnation != w.incarnation {
		return
	}
	for len(w.finished) > 0 && w.finished[0].Seq <= ack.Seq {
		w.finished = w.finished[1:]
	}
}
