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

// maxTTL bounds a lease, against a holder that would keep it for ever.
const maxTTL = time.Hour

func (w *Worker) routes(e *echo.Echo) {
	e.PUT("/lease", w.handleLease)
	e.POST("/lease/release", w.handleRelease)
	e.GET("/tasks", w.handleTasks)
	e.POST("/tasks", w.handleStart)
	e.POST("/tasks/stop", w.handleStop)
	e.POST("/tasks/checkpoint", w.handleCheckpoint)
	e.POST("/tasks/throttle", w.handleThrottle)
}

// leased reports whether a lease lasts. w.mu is held.
func (w *Worker) leased() bool {
	return time.Now().Before(w.expires)
}

func (w *Worker) handleLease(c echo.Context) error {
	var in workerclient.LeaseRequest
	if err := c.Bind(&in); err != nil {
		return err
	}
	ttl := time.Duration(in.TTLMS) * time.Millisecond
	taskTTL := time.Duration(in.TaskTTLMS) * time.Millisecond
	if in.Holder == "" || ttl <= 0 || taskTTL < ttl || taskTTL > maxTTL {
		return echo.NewHTTPError(http.StatusBadRequest, "holder or duration is not valid")
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if refusal := w.refuseLease(in); refusal != "" {
		w.observed.Refusals++
		return c.JSON(http.StatusConflict, w.leaseAnswer(refusal))
	}
	w.holder = in.Holder
	w.term = in.Term
	w.renew(ttl, taskTTL)
	w.acknowledge(in.Ack)
	w.observed.Leases++
	answer := w.leaseAnswer("")
	answer.Granted = true
	answer.Report = w.report()
	return c.JSON(http.StatusOK, answer)
}

// handleRelease ends the lease of its holder. Running tasks go on.
func (w *Worker) handleRelease(c echo.Context) error {
	var in workerclient.Authority
	if err := c.Bind(&in); err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if in.Holder == w.holder && in.Term == w.term {
		w.expires = time.Now()
	}
	return c.NoContent(http.StatusNoContent)
}

// refuseLease returns why a lease is refused, or "". w.mu is held.
func (w *Worker) refuseLease(in workerclient.LeaseRequest) workerclient.Refusal {
	if w.faults.AcceptAll {
		return ""
	}
	if in.Term < w.term {
		return workerclient.RefusedTerm
	}
	if w.leased() && in.Holder != w.holder {
		return workerclient.RefusedHeld
	}
	return ""
}

// leaseAnswer describes the lease in force. w.mu is held.
func (w *Worker) leaseAnswer(refusal workerclient.Refusal) workerclient.LeaseAnswer {
	return workerclient.LeaseAnswer{
		Refusal: refusal, Holder: w.holder, Term: w.term, RemainingMS: w.remaining().Milliseconds(),
	}
}

// remaining returns how long the lease lasts. w.mu is held.
func (w *Worker) remaining() time.Duration {
	return max(time.Until(w.expires), 0)
}

// refuse returns why an operation is refused, or "". w.mu is held.
func (w *Worker) refuse(a workerclient.Authority) workerclient.Refusal {
	if w.faults.AcceptAll {
		return ""
	}
	var refusal workerclient.Refusal
	switch {
	case a.Term < w.term:
		refusal = workerclient.RefusedTerm
	case !w.leased() || a.Holder != w.holder || a.Term != w.term:
		refusal = workerclient.RefusedNoLease
	default:
		return ""
	}
	w.observed.Refusals++
	return refusal
}

func (w *Worker) handleTasks(c echo.Context) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	inventory := workerclient.Inventory{
		Holder: w.holder, Term: w.term, RemainingMS: w.remaining().Milliseconds(),
		Capacity: w.capacity, Running: []workerclient.RunningAttempt{}, Report: w.report(),
	}
	for attempt, t := range w.running {
		inventory.Running = append(inventory.Running, workerclient.RunningAttempt{
			Attempt: attempt, Resources: t.start.Resources, Service: t.start.Service,
			RanMS: now.Sub(t.began).Milliseconds(),
		})
	}
	return c.JSON(http.StatusOK, inventory)
}

func (w *Worker) handleStart(c echo.Context) error {
	var in workerclient.StartRequest
	if err := c.Bind(&in); err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if refusal := w.refuse(in.Authority); refusal != "" {
		return c.JSON(http.StatusConflict, workerclient.StartAnswer{Refusal: refusal})
	}
	answer := workerclient.StartAnswer{Tasks: make([]workerclient.StartResult, 0, len(in.Tasks))}
	for _, s := range in.Tasks {
		answer.Tasks = append(answer.Tasks, w.startOne(s))
	}
	if w.faults.LoseStartAnswers {
		control.Abort()
	}
	return c.JSON(http.StatusOK, answer)
}

// startOne starts an attempt unless it runs or has run. w.mu is held.
func (w *Worker) startOne(s workerclient.Start) workerclient.StartResult {
	started := workerclient.StartResult{Attempt: s.Attempt}
	if s.Attempt.Worker != w.id {
		started.Reason = "attempt names worker " + s.Attempt.Worker
		return started
	}
	if result, ok := w.ended[s.Attempt]; ok && result == neverRan {
		started.Reason = "attempt was stopped before it was started"
		return started
	}
	started.Started = true
	if _, ok := w.ended[s.Attempt]; ok {
		return started
	}
	if _, ok := w.running[s.Attempt]; ok {
		return started
	}
	w.begin(s)
	return started
}

func (w *Worker) handleStop(c echo.Context) error {
	var in workerclient.StopRequest
	if err := c.Bind(&in); err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if refusal := w.refuse(in.Authority); refusal != "" {
		return c.JSON(http.StatusConflict, workerclient.StopAnswer{Refusal: refusal})
	}
	for _, attempt := range in.Attempts {
		w.stopOne(attempt)
	}
	return c.JSON(http.StatusOK, workerclient.StopAnswer{Stopped: in.Attempts})
}

// neverRan marks an attempt that was stopped before its start arrived.
const neverRan workerclient.Result = ""

// stopOne stops an attempt. A start that was delayed on the network and arrives
// later has no effect. w.mu is held.
func (w *Worker) stopOne(attempt structs.Attempt) {
	if t := w.running[attempt]; t != nil {
		w.end(t, workerclient.ResultStopped)
		return
	}
	if _, ok := w.ended[attempt]; !ok {
		w.ended[attempt] = neverRan
	}
}

// checkpoint is the format of Checkpoint.Data.
type checkpoint struct {
	DoneMS int64 `json:"done_ms"`
}

// parseCheckpoint returns the work that a checkpoint holds.
func parseCheckpoint(data []byte) time.Duration {
	var cp checkpoint
	if json.Unmarshal(data, &cp) != nil {
		return 0
	}
	return time.Duration(cp.DoneMS) * time.Millisecond
}

func (w *Worker) handleCheckpoint(c echo.Context) error {
	var in workerclient.StopRequest
	if err := c.Bind(&in); err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if refusal := w.refuse(in.Authority); refusal != "" {
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

func (w *Worker) handleThrottle(c echo.Context) error {
	var in workerclient.ThrottleRequest
	if err := c.Bind(&in); err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if refusal := w.refuse(in.Authority); refusal != "" {
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

// throttle changes the rate of a task. w.mu is held.
func (w *Worker) throttle(t *task, milliCPU int64) {
	now := time.Now()
	t.done = t.progress(now)
	t.since = now
	t.rate = 1
	declared := t.start.Resources.MilliCPU
	if milliCPU > 0 && declared > 0 && milliCPU < declared {
		t.rate = float64(milliCPU) / float64(declared)
	}
	w.schedule(t)
}
