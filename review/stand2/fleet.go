//go:build review2

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Times of the minions, within the bounds of SYSTEM.md.
const (
	// maxHold is MaxHoldMs.
	maxHold = 6 * time.Second
	// stopTime is how long a stop takes; StopTimeoutMs is 900.
	stopTime = 200 * time.Millisecond
	// gangTimeout is GangTimeoutMs.
	gangTimeout = 3 * time.Second
	// startup is the time after which a task that lasts is at work.
	startup = 300 * time.Millisecond
	// paceDelay is PaceMs.
	paceDelay = 100 * time.Millisecond
)

// jobDef is what the fleet knows of a submitted job.
type jobDef struct {
	id    string
	spec  string
	steps []stepDef
}

// stepDef is one step of a job.
type stepDef struct {
	count int
	// cpu is in thousandths of a core, memory in MB.
	cpu    int64
	memory int64
	// spread is AntiAffinity, 0 for none.
	spread int
	// label is Requirements, empty for none.
	label string
	// life draws the time after which a run of a task that lasts fails; 0 is never. It is nil for a step
	// whose tasks end.
	life func() time.Duration
	// work is how long a task that ends takes at full speed. isHopeless is true for one that always fails then.
	work       time.Duration
	isHopeless bool
	// fills is true for tasks that fill (Fills).
	fills bool
	// target is TargetMs of tasks that serve; load returns the tail of their response times as a share of it,
	// without the tasks that fill beside them.
	target int64
	load   func() float64
}

// fleet is all minions of the deployment with one record of what they ran.
type fleet struct {
	mu      sync.Mutex
	workers []*worker
	jobs    map[string]*jobDef
	tasks   map[string]*taskState
	rec     *record
	// changed is closed when a run ends.
	changed chan struct{}
}

// taskState is what the minions have seen of a task.
type taskState struct {
	active  map[*run]bool
	lastEnd time.Time
	runs    int
	isDone  bool
}

// worker is a minion. The mutex of the fleet guards its fields.
type worker struct {
	f          *fleet
	id         string
	addr       string
	zone       string
	rack       string
	kind       string
	cpu, mem   int64
	born       int64
	startedAt  time.Time
	token      int64
	leaseEnd   time.Duration
	runs       map[string]*run
	highest    map[string]int
	ended      []endRow
	lastNumber int64
}

// run is one run of a task on a minion.
type run struct {
	task      string
	number    int
	step      *stepDef
	startedAt time.Time
	// failsAt is zero for a run that does not fail, stopsAt while no stop was ordered.
	failsAt time.Time
	stopsAt time.Time
	// worked is the work done until workedAt, at pace percent of full speed since; nextPace holds from
	// paceAt on.
	worked   time.Duration
	workedAt time.Time
	pace     int
	nextPace int
	paceAt   time.Time
}

// endRow is an end that a minion lists until it is acknowledged.
type endRow struct {
	number int64
	task   string
	run    int
	how    string
}

func newFleet(rec *record) *fleet {
	return &fleet{jobs: map[string]*jobDef{}, tasks: map[string]*taskState{}, rec: rec, changed: make(chan struct{})}
}

// add adds a minion.
func (f *fleet) add(id, addr, zone, rack string, cpu, mem int64) *worker {
	now := time.Now()
	w := &worker{f: f, id: id, addr: addr, zone: zone, rack: rack, cpu: cpu, mem: mem, born: now.UnixMilli(), startedAt: now,
		runs: map[string]*run{}, highest: map[string]int{}}
	f.workers = append(f.workers, w)
	return w
}

// addJob registers a job before it is submitted.
func (f *fleet) addJob(j *jobDef) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.jobs[j.id] = j
}

// task returns what is known of a task.
func (f *fleet) task(name string) *taskState {
	t := f.tasks[name]
	if t == nil {
		t = &taskState{active: map[*run]bool{}}
		f.tasks[name] = t
	}
	return t
}

// run ends what is due until stop is closed.
func (f *fleet) run(stop <-chan struct{}) {
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case now := <-ticker.C:
			f.mu.Lock()
			for _, w := range f.workers {
				w.tick(now)
			}
			f.mu.Unlock()
		}
	}
}

// clock returns the reading of the minion's steady clock.
func (w *worker) clock(now time.Time) time.Duration { return now.Sub(w.startedAt) }

// tick ends the runs that are due.
func (w *worker) tick(now time.Time) {
	hasLapsed := w.clock(now) > w.leaseEnd
	for _, r := range w.runs {
		switch {
		case hasLapsed:
			w.end(r, "lapsed", now)
		case !r.stopsAt.IsZero() && !now.Before(r.stopsAt):
			w.end(r, "stopped", now)
		case !r.failsAt.IsZero() && !now.Before(r.failsAt):
			w.end(r, "failed", now)
		case r.step.life == nil && r.advance(now) >= r.step.work:
			how := "done"
			if r.step.isHopeless {
				how = "failed"
			}
			w.f.task(r.task).isDone = !r.step.isHopeless
			w.end(r, how, now)
		}
	}
}

// advance adds the work done since the last call and returns all of it.
func (r *run) advance(now time.Time) time.Duration {
	if !r.paceAt.IsZero() && !now.Before(r.paceAt) {
		r.pace, r.paceAt = r.nextPace, time.Time{}
	}
	r.worked += now.Sub(r.workedAt) * time.Duration(r.pace) / 100
	r.workedAt = now
	return r.worked
}

// disturbance is what a task that fills adds, at full pace, to the tail of the tasks that serve beside it, as
// a share of their target.
const disturbance = 0.02

// tail returns the tail of a run that serves, in ms.
func (w *worker) tail(r *run) float64 {
	share := r.step.load()
	for _, o := range w.runs {
		if o.step.fills {
			share += disturbance * float64(o.pace) / 100
		}
	}
	return share * float64(r.step.target)
}

// end ends a run and lists it.
func (w *worker) end(r *run, how string, now time.Time) {
	delete(w.runs, r.task)
	w.highest[r.task] = max(w.highest[r.task], r.number)
	w.lastNumber++
	w.ended = append(w.ended, endRow{w.lastNumber, r.task, r.number, how})
	t := w.f.task(r.task)
	delete(t.active, r)
	t.lastEnd = now
	w.f.rec.line("%s ends %s run %d: %s", w.id, r.task, r.number, how)
	close(w.f.changed)
	w.f.changed = make(chan struct{})
}

// order is the body of any order to a minion.
type order struct {
	Task         string
	Run          int
	Spec         string
	DeadlineMs   int64
	FencingToken int64
	AckCursor    int64
	WaitMs       int64
	Percent      int
}

// handler returns the HTTP handler of a minion.
func (w *worker) handler() http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		var o order
		if json.Unmarshal(body, &o) != nil {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		if r.Header.Get("X-Gypsumwinch-Expected-Instance") != w.id {
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		w.f.mu.Lock()
		status, reason := w.carryOut(r.URL.Path, o, time.Now())
		w.f.mu.Unlock()
		answer := map[string]any{"born": w.born}
		if reason != "" {
			answer["Reason"] = reason
		}
		if status == http.StatusOK && r.URL.Path == "/v1/hold" {
			w.awaitEnd(r.Context(), time.Duration(o.WaitMs)*time.Millisecond)
			w.listRuns(answer)
		}
		answer["ClockMs"] = w.clock(time.Now()).Milliseconds()
		rw.Header().Set("Content-Type", "application/json")
		rw.WriteHeader(status)
		_ = json.NewEncoder(rw).Encode(answer)
	})
}

// carryOut carries out an order with the mutex of the fleet locked.
func (w *worker) carryOut(path string, o order, now time.Time) (status int, reason string) {
	if o.FencingToken < w.token {
		return http.StatusConflict, "fence"
	}
	w.token = o.FencingToken
	w.tick(now)
	deadline := min(time.Duration(o.DeadlineMs)*time.Millisecond, w.clock(now)+maxHold)
	switch path {
	case "/v1/run-start":
		if deadline <= w.clock(now) {
			return http.StatusConflict, "late"
		}
		w.leaseEnd = max(w.leaseEnd, deadline)
		return w.start(o, now)
	case "/v1/run-stop":
		r := w.runs[o.Task]
		switch {
		case r == nil || r.number != o.Run:
			w.highest[o.Task] = max(w.highest[o.Task], o.Run)
		case r.stopsAt.IsZero():
			r.stopsAt = now.Add(stopTime)
		}
	case "/v1/hold":
		w.leaseEnd = max(w.leaseEnd, deadline)
		for len(w.ended) > 0 && w.ended[0].number <= o.AckCursor {
			w.ended = w.ended[1:]
		}
	case "/v1/pace":
		if r := w.runs[o.Task]; r != nil && r.number == o.Run && r.step.fills {
			r.nextPace, r.paceAt = o.Percent, now.Add(paceDelay)
			w.f.rec.line("%s paces %s run %d to %d %%", w.id, o.Task, o.Run, o.Percent)
		}
	default:
		return http.StatusNotFound, ""
	}
	return http.StatusOK, ""
}

// start carries out an order to start a run.
func (w *worker) start(o order, now time.Time) (status int, reason string) {
	s := w.f.stepOf(o.Task)
	if s == nil || o.Spec != w.f.jobs[jobOf(o.Task)].spec {
		return http.StatusBadRequest, ""
	}
	old := w.runs[o.Task]
	if old != nil && old.number == o.Run {
		return http.StatusOK, ""
	}
	if o.Run <= w.highest[o.Task] {
		return http.StatusConflict, "old"
	}
	if old != nil {
		w.end(old, "stopped", now)
	}
	r := &run{task: o.Task, number: o.Run, step: s, startedAt: now, workedAt: now, pace: 100}
	if s.life != nil {
		if life := s.life(); life > 0 {
			r.failsAt = now.Add(life)
		}
	}
	w.runs[o.Task] = r
	t := w.f.task(o.Task)
	t.active[r] = true
	t.runs++
	w.f.rec.line("%s starts %s run %d", w.id, o.Task, o.Run)
	return http.StatusOK, ""
}

// awaitEnd waits until the minion has an end to list, or for the given time.
func (w *worker) awaitEnd(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		w.f.mu.Lock()
		hasEnd, changed := len(w.ended) > 0, w.f.changed
		w.f.mu.Unlock()
		if hasEnd {
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// maxListedEnds is the number of ends in one answer.
const maxListedEnds = 500

// listRuns adds the lists of runs to the answer to a hold.
func (w *worker) listRuns(answer map[string]any) {
	w.f.mu.Lock()
	defer w.f.mu.Unlock()
	now := time.Now()
	w.tick(now)
	running, finished := [][]any{}, [][]any{}
	for _, r := range w.runs {
		percent, metric := 0, float64(r.step.cpu)
		switch {
		case r.step.life == nil:
			percent = int(100 * r.advance(now) / r.step.work)
		case now.Sub(r.startedAt) >= startup:
			percent = 100
		}
		if r.step.target > 0 {
			metric = math.Round(w.tail(r))
		}
		running = append(running, []any{r.task, r.number, "", percent, metric})
	}
	for _, e := range w.ended[:min(len(w.ended), maxListedEnds)] {
		finished = append(finished, []any{e.number, e.task, e.run, e.how, ""})
	}
	answer["Running"], answer["Finished"] = running, finished
}

// hasRoomTwice reports whether the minions have room for a task of a step twice over, also regarding
// AntiAffinity and Requirements, and the share of the processors of the service in use.
func (f *fleet) hasRoomTwice(s *stepDef) (twice bool, used float64) {
	var total, free, room int64
	for _, w := range f.workers {
		cpu, mem, same := w.cpu, w.mem, 0
		for _, r := range w.runs {
			if !r.step.fills {
				cpu -= r.step.cpu
			}
			mem -= r.step.memory
			if r.step == s {
				same++
			}
		}
		total += w.cpu
		free += cpu
		if s.label != "" && s.label != w.kind && s.label != w.rack {
			continue
		}
		fits := mem / s.memory
		if s.spread > 0 {
			fits = min(fits, int64(s.spread-same))
		}
		if !s.fills {
			fits = min(fits, cpu/s.cpu)
		}
		room += max(0, fits)
	}
	return room >= 2, 1 - float64(free)/float64(total)
}

// jobOf returns the job of a task's name ID.K.STEP.INDEX.
func jobOf(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}

// stepOf returns the step of a task, or nil if no client sent it.
func (f *fleet) stepOf(task string) *stepDef {
	parts := strings.Split(task, ".")
	j := f.jobs[parts[0]]
	if j == nil || len(parts) != 4 {
		return nil
	}
	step, err := strconv.Atoi(parts[2])
	if err != nil || step < 0 || step >= len(j.steps) {
		return nil
	}
	return &j.steps[step]
}

// taskNames returns the tasks of a job.
func (j *jobDef) taskNames() []string {
	var names []string
	for i, s := range j.steps {
		for k := range s.count {
			names = append(names, fmt.Sprintf("%s.0.%d.%d", j.id, i, k))
		}
	}
	return names
}
