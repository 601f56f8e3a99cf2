package worker

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"gypsumwinch/internal/structs"
	"gypsumwinch/internal/workerclient"
	"gypsumwinch/standin/control"
)

// maxTTL limits the duration of a lease and of its tasks, so that no holder can keep a
// worker for ever.
const maxTTL = time.Hour

// routes adds the routes of the worker protocol. Handler calls it.
func (w *Worker) routes(e *echo.Echo) {
	e.PUT("/lease", w.handleLease)
	e.POST("/lease/release", w.handleRelease)
	e.GET("/tasks", w.handleTasks)
	e.POST("/tasks", w.handleStart)
	e.POST("/tasks/stop", w.handleStop)
	e.POST("/tasks/checkpoint", w.handleCheckpoint)
	e.POST("/tasks/throttle", w.handleThrottle)
}

// hasLease reports whether a lease is in force. w.mu is locked by the caller.
func (w *Worker) hasLease() bool {
	return time.Now().Before(w.leaseExpiresAt)
}

// handleLease serves PUT /lease: it grants or renews a lease and takes the holder's
// acknowledgement of finished runs.
func (w *Worker) handleLease(c echo.Context) error {
	var in workerclient.LeaseRequest
	if err := c.Bind(&in); err != nil {
		return err
	}
	ttl := time.Duration(in.TTLMS) * time.Millisecond
	taskTTL := time.Duration(in.TaskTTLMS) * time.Millisecond
	if in.Holder == "" || ttl <= 0 || taskTTL < ttl || taskTTL > maxTTL {
		return echo.NewHTTPError(http.StatusBadRequest, "lease request has no holder or an invalid duration")
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if refusal := w.leaseRefusal(in); refusal != "" {
		w.observed.Refusals++
		return c.JSON(http.StatusConflict, w.leaseAnswer(refusal))
	}
	w.holder = in.Holder
	w.term = in.Term
	w.renewLease(ttl, taskTTL)
	w.acknowledge(in.Ack)
	w.observed.Leases++
	answer := w.leaseAnswer("")
	answer.Granted = true
	answer.Report = w.report()
	return c.JSON(http.StatusOK, answer)
}

// handleRelease serves POST /lease/release: it ends the lease if the request comes
// from its holder in its term. Running tasks continue.
func (w *Worker) handleRelease(c echo.Context) error {
	var in workerclient.Authority
	if err := c.Bind(&in); err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if in.Holder == w.holder && in.Term == w.term {
		w.leaseExpiresAt = time.Now()
	}
	return c.NoContent(http.StatusNoContent)
}

// leaseRefusal returns why a lease request is refused, or "". handleLease calls it with
// w.mu locked.
func (w *Worker) leaseRefusal(in workerclient.LeaseRequest) workerclient.Refusal {
	if w.faults.AcceptAll {
		return ""
	}
	if in.Term < w.term {
		return workerclient.RefusedTerm
	}
	if w.hasLease() && in.Holder != w.holder {
		return workerclient.RefusedHeld
	}
	return ""
}

// leaseAnswer returns an answer that describes the last lease, for handleLease. w.mu is
// locked by the caller.
func (w *Worker) leaseAnswer(refusal workerclient.Refusal) workerclient.LeaseAnswer {
	return workerclient.LeaseAnswer{
		Refusal: refusal, Holder: w.holder, Term: w.term, RemainingMS: w.remainingTTL().Milliseconds(),
	}
}

// remainingTTL returns the time until the lease expires, 0 if it has. w.mu is locked by
// the caller.
func (w *Worker) remainingTTL() time.Duration {
	return max(time.Until(w.leaseExpiresAt), 0)
}

// operationRefusal returns why an operation on tasks is refused, or "", and counts the
// refusal. The handlers of operations call it with w.mu locked.
func (w *Worker) operationRefusal(a workerclient.Authority) workerclient.Refusal {
	if w.faults.AcceptAll {
		return ""
	}
	var refusal workerclient.Refusal
	switch {
	case a.Term < w.term:
		refusal = workerclient.RefusedTerm
	case !w.hasLease() || a.Holder != w.holder || a.Term != w.term:
		refusal = workerclient.RefusedNoLease
	default:
		return ""
	}
	w.observed.Refusals++
	return refusal
}

// handleTasks serves GET /tasks: the lease, the running attempts and the report. It
// needs no lease.
func (w *Worker) handleTasks(c echo.Context) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	inventory := workerclient.Inventory{
		Holder: w.holder, Term: w.term, RemainingMS: w.remainingTTL().Milliseconds(),
		Capacity: w.capacity, Running: []workerclient.RunningAttempt{}, Report: w.report(),
	}
	for attempt, t := range w.running {
		inventory.Running = append(inventory.Running, workerclient.RunningAttempt{
			Attempt: attempt, Resources: t.start.Resources, Service: t.start.Service,
			RanMS: now.Sub(t.startedAt).Milliseconds(),
		})
	}
	return c.JSON(http.StatusOK, inventory)
}

// handleStart serves POST /tasks: it starts attempts for the lease holder.
func (w *Worker) handleStart(c echo.Context) error {
	var in workerclient.StartRequest
	if err := c.Bind(&in); err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if refusal := w.operationRefusal(in.Authority); refusal != "" {
		return c.JSON(http.StatusConflict, workerclient.StartAnswer{Refusal: refusal})
	}
	answer := workerclient.StartAnswer{Tasks: make([]workerclient.StartResult, 0, len(in.Tasks))}
	for _, s := range in.Tasks {
		answer.Tasks = append(answer.Tasks, w.startAttempt(s))
	}
	if w.faults.LoseStartAnswers {
		control.Abort()
	}
	return c.JSON(http.StatusOK, answer)
}

// startAttempt starts an attempt unless it runs or has run; a repeated start request
// succeeds without effect. handleStart calls it with w.mu locked.
func (w *Worker) startAttempt(s workerclient.Start) workerclient.StartResult {
	started := workerclient.StartResult{Attempt: s.Attempt}
	if s.Attempt.Worker != w.id {
		started.Reason = "attempt is assigned to worker " + s.Attempt.Worker
		return started
	}
	if result, ok := w.resultByAttempt[s.Attempt]; ok && result == stoppedBeforeStart {
		started.Reason = "attempt was stopped before its start request arrived"
		return started
	}
	started.Started = true
	if _, ok := w.resultByAttempt[s.Attempt]; ok {
		return started
	}
	if _, ok := w.running[s.Attempt]; ok {
		return started
	}
	w.startTask(s)
	return started
}

// handleStop serves POST /tasks/stop: it stops attempts for the lease holder.
func (w *Worker) handleStop(c echo.Context) error {
	var in workerclient.StopRequest
	if err := c.Bind(&in); err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if refusal := w.operationRefusal(in.Authority); refusal != "" {
		return c.JSON(http.StatusConflict, workerclient.StopAnswer{Refusal: refusal})
	}
	for _, attempt := range in.Attempts {
		w.stopAttempt(attempt)
	}
	return c.JSON(http.StatusOK, workerclient.StopAnswer{Stopped: in.Attempts})
}

// stoppedBeforeStart is the entry in resultByAttempt of an attempt whose stop request
// arrived before its start request.
const stoppedBeforeStart workerclient.Result = ""

// stopAttempt stops an attempt. If it has not started, a start request that was
// delayed on the network and arrives later has no effect. handleStop calls it with w.mu
// locked.
func (w *Worker) stopAttempt(attempt structs.Attempt) {
	if t := w.running[attempt]; t != nil {
		w.finishTask(t, workerclient.ResultStopped)
		return
	}
	if _, ok := w.resultByAttempt[attempt]; !ok {
		w.resultByAttempt[attempt] = stoppedBeforeStart
	}
}

// checkpoint is the JSON format of workerclient.Checkpoint.Data.
type checkpoint struct {
	DoneMS int64 `json:"done_ms"`
}

// parseCheckpoint returns the work recorded in a checkpoint, as run time, or 0 if it
// can't be decoded. startTask calls it.
func parseCheckpoint(data []byte) time.Duration {
	var cp checkpoint
	if json.Unmarshal(data, &cp) != nil {
		return 0
	}
	return time.Duration(cp.DoneMS) * time.Millisecond
}

// handleCheckpoint serves POST /tasks/checkpoint: it returns checkpoints of those
// attempts that run.
func (w *Worker) handleCheckpoint(c echo.Context) error {
	var in workerclient.StopRequest
	if err := c.Bind(&in); err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if refusal := w.operationRefusal(in.Authority); refusal != "" {
		return c.JSON(http.StatusConflict, workerclient.CheckpointAnswer{Refusal: refusal})
	}
	answer := workerclient.CheckpointAnswer{Checkpoints: []workerclient.Checkpoint{}}
	now := time.Now()
	for _, attempt := range in.Attempts {
		t := w.running[attempt]
		if t == nil {
			continue
		}
		data, err := json.Marshal(checkpoint{DoneMS: t.progress(now).Milliseconds()})
		if err != nil {
			return err
		}
		answer.Checkpoints = append(answer.Checkpoints, workerclient.Checkpoint{Attempt: attempt, Data: data})
	}
	return c.JSON(http.StatusOK, answer)
}

// handleThrottle serves POST /tasks/throttle: it limits the CPU of those attempts that
// run and returns them.
func (w *Worker) handleThrottle(c echo.Context) error {
	var in workerclient.ThrottleRequest
	if err := c.Bind(&in); err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if refusal := w.operationRefusal(in.Authority); refusal != "" {
		return c.JSON(http.StatusConflict, workerclient.ThrottleAnswer{Refusal: refusal})
	}
	answer := workerclient.ThrottleAnswer{Throttled: []structs.Attempt{}}
	for _, throttle := range in.Throttles {
		t := w.running[throttle.Attempt]
		if t == nil {
			continue
		}
		w.throttle(t, throttle.MilliCPU)
		answer.Throttled = append(answer.Throttled, throttle.Attempt)
	}
	return c.JSON(http.StatusOK, answer)
}

// throttle limits a task to milliCPU, which slows it down in proportion to its declared
// CPU. 0, or a limit not below the declared CPU, restores full speed. handleThrottle
// calls it with w.mu locked.
func (w *Worker) throttle(t *task, milliCPU int64) {
	now := time.Now()
	t.doneAtUpdate = t.progress(now)
	t.updatedAt = now
	t.rate = 1
	declared := t.start.Resources.MilliCPU
	if milliCPU > 0 && declared > 0 && milliCPU < declared {
		t.rate = float64(milliCPU) / float64(declared)
	}
	w.schedule(t)
}
